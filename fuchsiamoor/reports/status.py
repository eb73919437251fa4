"""What one daemon tells operators about itself, as typed data."""

from enum import StrEnum
from typing import NamedTuple


class LeaseState(StrEnum):
    """Whether a member may serve its shards of a domain now."""

    RENEWED = "renewed"
    VOUCHED = "vouched"
    LAPSED = "lapsed"
    NONE = "none"


class UpstreamStatus(NamedTuple):
    """The upstream beside the daemon.

    Parameters
    ----------
    incarnation : str
        Empty until it has announced itself.
    ready : bool
    limit : int
        Requests that it may be given at once, ramp included.
    in_flight : int
    """

    incarnation: str
    ready: bool
    limit: int
    in_flight: int


class DomainStatus(NamedTuple):
    """One ownership domain as this daemon knows it.

    Parameters
    ----------
    domain : str
    term : int
    coordinator : str
        Member id, empty if unknown.
    table_revision : int
    lease : LeaseState
        Of this daemon.
    owned_shards : int
        By this daemon.
    pending_shards : int
        Of the whole domain: served by nobody yet.
    unowned_shards : int
        Of the whole domain.
    shards_by_instance : dict of str to int
        Owners of the whole domain.
    """

    domain: str
    term: int
    coordinator: str
    table_revision: int
    lease: LeaseState
    owned_shards: int
    pending_shards: int
    unowned_shards: int
    shards_by_instance: dict[str, int]


class MemberStatus(NamedTuple):
    """Another daemon, and where an operator reaches it."""

    member_id: str
    instance: str
    service: str
    data_centre: str
    operator_address: str


class OverrideStatus(NamedTuple):
    """Whether an override is met.

    Parameters
    ----------
    override : str
        Its subject and its hold in words.
    met : bool
    reason : str
        Why it is not met, empty if it is.
    """

    override: str
    met: bool
    reason: str


class Status(NamedTuple):
    """Everything that a daemon tells about its state.

    Parameters
    ----------
    instance : str
    member_id : str
    service : str
    region : str
    data_centre : str
    configuration_revision : int
    apply_id : str
    ready : bool
        Whether it takes requests of callers.
    leaving : bool
    store_reachable : bool
        Whether its last call to the store was answered.
    upstream : UpstreamStatus
    domains : tuple of DomainStatus
    members : tuple of MemberStatus
        All that it knows, itself included.
    data_centres_out : tuple of str
    overrides : tuple of OverrideStatus
        Those that this daemon can judge.
    """

    instance: str
    member_id: str
    service: str
    region: str
    data_centre: str
    configuration_revision: int
    apply_id: str
    ready: bool
    leaving: bool
    store_reachable: bool
    upstream: UpstreamStatus
    domains: tuple[DomainStatus, ...]
    members: tuple[MemberStatus, ...]
    data_centres_out: tuple[str, ...]
    overrides: tuple[OverrideStatus, ...]


class Explanation(NamedTuple):
    """Where a key is served and why.

    Parameters
    ----------
    service, tenant, key : str
    domain : str
    shard : int
    isolated : bool
        Whether the key has a shard to itself.
    owner : str
        Member id, empty if there is none.
    data_centre : str
        Of the owner.
    state : str
        ``owned``, ``pending`` or ``unowned``.
    epoch : int
    table_revision : int
    coordinator : str
    lease : LeaseState or None
        None unless the answering daemon is the owner.
    override : OverrideStatus or None
        The one that concerns the key.
    loss_wait_ms : int
        Longest wait before a new owner may serve, after the loss is noticed.
    candidates : tuple of str
        Instances that could take over.
    """

    service: str
    tenant: str
    key: str
    domain: str
    shard: int
    isolated: bool
    owner: str
    data_centre: str
    state: str
    epoch: int
    table_revision: int
    coordinator: str
    lease: LeaseState | None
    override: OverrideStatus | None
    loss_wait_ms: int
    candidates: tuple[str, ...]

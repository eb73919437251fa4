"""Status and explanation that a daemon returns to operators."""

from enum import StrEnum
from typing import NamedTuple


class LeaseState(StrEnum):
    """Whether a member may serve its shards of a domain now."""

    RENEWED = "renewed"
    VOUCHED = "vouched"
    LAPSED = "lapsed"
    NONE = "none"


class UpstreamStatus(NamedTuple):
    """State of the daemon's own upstream.

    Parameters
    ----------
    incarnation : str
        Empty until the upstream has announced itself.
    ready : bool
        Whether the upstream accepts requests.
    limit : int
        Current concurrency limit, with the cold-start ramp applied.
    in_flight : int
        Requests running at the upstream.
    """

    incarnation: str
    ready: bool
    limit: int
    in_flight: int


class DomainStatus(NamedTuple):
    """State of one ownership domain, from this daemon's table.

    Parameters
    ----------
    domain : str
    term : int
    coordinator : str
        Member id; empty if unknown.
    table_revision : int
    lease : LeaseState
        State of this daemon's lease.
    owned_shards : int
        Shards owned by this daemon.
    pending_shards : int
        Shards of the domain with an owner that does not serve them yet.
    unowned_shards : int
        Shards of the domain without an owner.
    shards_by_instance : dict of str to int
        Number of shards that each instance owns in the domain.
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
    """A daemon of the deployment and the address of its operator API."""

    member_id: str
    instance: str
    service: str
    data_centre: str
    operator_address: str


class OverrideStatus(NamedTuple):
    """Whether the current owners satisfy an override.

    Parameters
    ----------
    override : str
        Description of the keys that it applies to and the place that must own them.
    met : bool
    reason : str
        Why it is not met; empty if it is met.
    """

    override: str
    met: bool
    reason: str


class Status(NamedTuple):
    """State of one daemon.

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
        Whether the daemon accepts callers' requests.
    leaving : bool
    store_reachable : bool
        Whether the store answered the daemon's last call.
    upstream : UpstreamStatus
    domains : tuple of DomainStatus
    members : tuple of MemberStatus
        All members known to the daemon, itself included.
    data_centres_out : tuple of str
    overrides : tuple of OverrideStatus
        Overrides that this daemon can evaluate.
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
    """Where a key is served, and why there.

    Parameters
    ----------
    service, tenant, key : str
    domain : str
    shard : int
    isolated : bool
        Whether the key has a shard of its own.
    owner : str
        Member id of the owner; empty if there is none.
    data_centre : str
        Data centre of the owner.
    state : str
        ``owned``, ``pending`` or ``unowned``.
    epoch : int
    table_revision : int
    coordinator : str
    lease : LeaseState or None
        None unless the answering daemon is the owner.
    override : OverrideStatus or None
        The most specific override that applies to the key.
    loss_wait_ms : int
        Longest time from the detection of the owner's loss until a new owner may
        serve the key.
    candidates : tuple of str
        Instances that could become the owner.
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

"""Registrations of daemons in the store, and a directory of them.

Each instance has one registration, bound to a lease, and without a lease one record of
its latest daemon process and one of its latest leave. A write that takes keys from an
owner expects the versions of the first two unchanged, so that it fails if the instance
has registered again meanwhile.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.core import addresses, errors, members
from fuchsiamoor.peers import codec
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.store import port
from fuchsiamoor.traffic import upstreams

REGISTRATION_PREFIX = "fuchsiamoor/instances/"
RUNS_PREFIX = "fuchsiamoor/runs/"
LEAVES_PREFIX = "fuchsiamoor/leaves/"
CLAIMS_PREFIX = "fuchsiamoor/claims/"
TABLE_PREFIX = "fuchsiamoor/ranges/"
# A registration may lapse by an outage of the store, so its daemon is still called for
# this time.
KEEP_LAPSED_MS = 8_000
# No store has a key at this version.
UNKNOWN_VERSION = -1


class Registration(NamedTuple):
    """One daemon process and its local upstream.

    Parameters
    ----------
    instance : str
    run : str
        Nonce that identifies the daemon process.
    peer_host : str
    peer_port : int
        Address at which other daemons reach it.
    region, data_centre : str
    service : str
    owner : str
        Name of the upstream's incarnation as an owner; empty while there is none.
    ended : str
        Owner at this instance that certainly holds no keys any more; empty if there
        is none.
    slots : int
        Requests that the upstream runs at a time.
    is_open : bool
        Whether the upstream accepts new requests.
    lease_id : str
    """

    instance: str
    run: str
    peer_host: str
    peer_port: int
    region: str
    data_centre: str
    service: str
    owner: str
    ended: str
    slots: int
    is_open: bool
    lease_id: str


class RunRecord(NamedTuple):
    """The latest daemon process of an instance; its record outlives its lease.

    Parameters
    ----------
    run : str
        Nonce that identifies the daemon process.
    owner : str
        Latest incarnation of the upstream that this process, or one before it, has
        heard of; empty if there is none.
    live_owner : str
        Owner that the registration written with this record names as live.
    previous_version : int
        Store version of the record that this one replaced; `UNKNOWN_VERSION` in
        records of earlier versions of the program, which name no live owner.
    """

    run: str
    owner: str
    live_owner: str = ""
    previous_version: int = UNKNOWN_VERSION

    ADDED_FIELDS = 2


class Leave(NamedTuple):
    """The latest incarnation at an instance that has announced to leave.

    Parameters
    ----------
    owner : str
    """

    owner: str


class Claim(NamedTuple):
    """An owner's claim to its rows, after the store came back from a copy.

    Parameters
    ----------
    era : int
        Era of the store in which it was made.
    owner : str
    version : int
        Newest version of the range table that its daemon knows or has tried to write.
    """

    era: int
    owner: str
    version: int


@dataclass(slots=True)
class Directory:
    """Registrations of all instances, by instance.

    Parameters
    ----------
    registered : dict of str to Registration
        Registrations in the store.
    versions : dict of str to int
        Store version of each of these.
    run_versions : dict of str to int
        Store version of each instance's record of its latest daemon process.
    run_records : dict of str to RunRecord
        Each of these records that can be read.
    left_owners : dict of str to str
        Incarnation of each instance's upstream that has announced to leave.
    leave_versions : dict of str to int
        Store version of each of these.
    claims : dict of str to Claim
        Latest claim of each instance.
    lapsed : dict of str to (Registration, int)
        Registrations whose lease ended, with the time; their daemons may still be
        reachable.
    revision : int
        Number of changes of the registrations so far.
    """

    registered: dict[str, Registration] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    run_versions: dict[str, int] = field(default_factory=dict)
    run_records: dict[str, RunRecord] = field(default_factory=dict)
    left_owners: dict[str, str] = field(default_factory=dict)
    leave_versions: dict[str, int] = field(default_factory=dict)
    claims: dict[str, Claim] = field(default_factory=dict)
    lapsed: dict[str, tuple[Registration, int]] = field(default_factory=dict)
    revision: int = 0


def registration_key(instance: str) -> str:
    """Return the store key of an instance's registration."""
    return REGISTRATION_PREFIX + instance


def runs_key(instance: str) -> str:
    """Return the store key of the record of an instance's latest daemon process."""
    return RUNS_PREFIX + instance


def leave_key(instance: str) -> str:
    """Return the store key of the record of an instance's latest leave."""
    return LEAVES_PREFIX + instance


def claim_key(instance: str) -> str:
    """Return the store key of an instance's claim."""
    return CLAIMS_PREFIX + instance


def table_key(service: str) -> str:
    """Return the store key of a service's range table."""
    return TABLE_PREFIX + service


def encode_registration(registration: Registration) -> bytes:
    """Return a registration encoded in CBOR."""
    return codec.encode_record(registration)


def encode_run_record(record: RunRecord) -> bytes:
    """Return a run's record encoded in CBOR."""
    return codec.encode_record(record)


def encode_leave(leave: Leave) -> bytes:
    """Return a leave encoded in CBOR."""
    return codec.encode_record(leave)


def encode_claim(claim: Claim) -> bytes:
    """Return a claim encoded in CBOR."""
    return codec.encode_record(claim)


def apply_entry(directory: Directory, entry: port.Entry) -> bool:
    """Apply a store entry to the directory; return False if its key is of another kind.

    Raises
    ------
    FrameError
        If a registration or a leave is malformed.
    ValueError
        If its fields contradict each other or its key.
    """
    if entry.key.startswith(RUNS_PREFIX):
        _apply_run_record(directory, entry)
        return True
    if entry.key.startswith(LEAVES_PREFIX):
        _apply_leave(directory, entry)
        return True
    if entry.key.startswith(CLAIMS_PREFIX):
        _apply_claim(directory, entry)
        return True
    if not entry.key.startswith(REGISTRATION_PREFIX):
        return False
    instance = entry.key.removeprefix(REGISTRATION_PREFIX)
    if entry.version >= directory.versions.get(instance, 0):
        found = _decode_registration(instance, entry.value)
        directory.registered[instance] = found
        directory.versions[instance] = entry.version
        directory.lapsed.pop(instance, None)
        directory.revision += 1
    return True


def _apply_run_record(directory: Directory, entry: port.Entry) -> None:
    instance = entry.key.removeprefix(RUNS_PREFIX)
    if entry.version < directory.run_versions.get(instance, 0):
        return
    directory.run_versions[instance] = entry.version
    directory.run_records.pop(instance, None)
    record = _read_run_record(instance, entry.value)
    if record is not None:
        directory.run_records[instance] = record


def _read_run_record(instance: str, value: bytes) -> RunRecord | None:
    """Decode a run's record; None if it cannot be read.

    One that cannot be read is written again with the next registration.
    """
    try:
        record = codec.decode_record(RunRecord, value)
        for owner in (record.owner, record.live_owner):
            if owner:
                _check_owner(instance, owner)
    except (errors.FrameError, ValueError):
        return None
    return record


def _apply_leave(directory: Directory, entry: port.Entry) -> None:
    instance = entry.key.removeprefix(LEAVES_PREFIX)
    if entry.version < directory.leave_versions.get(instance, 0):
        return
    directory.leave_versions[instance] = entry.version
    # What an odd entry replaces counts as not recorded, so that it is written again.
    directory.left_owners.pop(instance, None)
    owner = codec.decode_record(Leave, entry.value).owner
    _check_owner(instance, owner)
    directory.left_owners[instance] = owner


def _apply_claim(directory: Directory, entry: port.Entry) -> None:
    instance = entry.key.removeprefix(CLAIMS_PREFIX)
    found = codec.decode_record(Claim, entry.value)
    _check_owner(instance, found.owner)
    known = directory.claims.get(instance)
    if known is None or found.era >= known.era:
        directory.claims[instance] = found


def _decode_registration(instance: str, value: bytes) -> Registration:
    found = codec.decode_record(Registration, value)
    if found.instance != instance:
        raise ValueError(
            f"instance: found {found.instance!r:.40}, expected that of key"
        )
    if not (found.run and found.peer_host):
        raise ValueError("run and peer_host: found none")
    if not 0 < found.peer_port <= addresses.PORT_MAX:
        raise ValueError(f"peer_port: found {found.peer_port}, expected a port")
    if not 0 <= found.slots <= upstreams.SLOTS_MAX:
        raise ValueError(
            f"slots: found {found.slots}, expected 0 to {upstreams.SLOTS_MAX}"
        )
    for owner in (found.owner, found.ended):
        if owner:
            _check_owner(instance, owner)
    return found


def _check_owner(instance: str, owner: str) -> None:
    """Raise `ValueError` unless an owner is an incarnation at an instance."""
    tables.incarnation_of(owner)
    if tables.instance_of(owner) != instance:
        raise ValueError(f"owner: found {owner!r:.80}, expected one of {instance}")


def apply_deletion(directory: Directory, key: str, now_ms: int) -> None:
    """Apply the deletion of a store key to the directory."""
    if key.startswith(LEAVES_PREFIX):
        instance = key.removeprefix(LEAVES_PREFIX)
        directory.left_owners.pop(instance, None)
        directory.leave_versions.pop(instance, None)
        return
    if not key.startswith(REGISTRATION_PREFIX):
        return
    instance = key.removeprefix(REGISTRATION_PREFIX)
    found = directory.registered.pop(instance, None)
    directory.versions.pop(instance, None)
    directory.revision += 1
    if found is not None:
        directory.lapsed[instance] = (found, now_ms)


def apply_listing(
    directory: Directory, entries: Iterable[port.Entry], now_ms: int
) -> None:
    """Mark registrations as lapsed that are missing from a complete listing."""
    present = {entry.key for entry in entries}
    for instance in list(directory.registered):
        if registration_key(instance) not in present:
            apply_deletion(directory, registration_key(instance), now_ms)


def drop_lapsed(directory: Directory, keep_ms: int, now_ms: int) -> list[str]:
    """Drop registrations that lapsed over `keep_ms` ago; return their instances."""
    expired = [
        instance
        for instance, (_, since_ms) in directory.lapsed.items()
        if now_ms - since_ms > keep_ms
    ]
    for instance in expired:
        del directory.lapsed[instance]
        directory.revision += 1
    return expired


def find_registration(directory: Directory, instance: str) -> Registration | None:
    """Return an instance's registration, or its lapsed one if there is no other."""
    found = directory.registered.get(instance)
    if found is not None:
        return found
    lapsed = directory.lapsed.get(instance)
    return lapsed[0] if lapsed else None


def list_others(directory: Directory, instance: str) -> list[Registration]:
    """Return the registrations of all other instances, without lapsed ones."""
    return [
        found for found in directory.registered.values() if found.instance != instance
    ]


def list_service(directory: Directory, service: str) -> list[Registration]:
    """Return the registrations of a service, lapsed ones included."""
    lapsed = [found for found, _ in directory.lapsed.values()]
    return [
        found
        for found in [*directory.registered.values(), *lapsed]
        if found.service == service and found.owner
    ]


def make_peer(registration: Registration) -> members.Member:
    """Return the daemon as a member that peer links connect to."""
    address = addresses.Address(registration.peer_host, registration.peer_port)
    return members.Member(
        member_id=members.make_member_id(registration.instance, registration.run),
        instance=registration.instance,
        service=registration.service,
        region=registration.region,
        data_centre=registration.data_centre,
        peer_address=address,
        caller_address=address,
        operator_address=address,
        checks_grants=True,
        slots=registration.slots,
        connections=0,
    )

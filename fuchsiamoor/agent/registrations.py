"""Registrations: what each daemon tells of itself in the store.

Of one instance there is one registration, under a lease, and one count of its runs,
without. A write that takes keys from an owner names both versions, so that it fails if
the instance has registered again meanwhile.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.core import addresses, members
from fuchsiamoor.peers import codec
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.store import port

REGISTRATION_PREFIX = "fuchsiamoor/instances/"
RUNS_PREFIX = "fuchsiamoor/runs/"
TABLE_PREFIX = "fuchsiamoor/ranges/"


class Registration(NamedTuple):
    """One run of a daemon and the upstream beside it.

    Parameters
    ----------
    instance : str
    run : str
        Nonce of the daemon's run.
    peer_host : str
    peer_port : int
    region, data_centre : str
    service : str
    owner : str
        Name of the upstream's incarnation as an owner, empty while it is unknown.
    ended : str
        Owner here that is known to hold nothing any more, empty if there is none.
    slots : int
    is_open : bool
        Whether the upstream takes new work.
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


@dataclass(slots=True)
class Directory:
    """What is known of all instances.

    Parameters
    ----------
    registered : dict of str to Registration
        As the store holds them.
    versions : dict of str to int
        Store version of each of these.
    run_versions : dict of str to int
        Store version of each instance's count of runs.
    lapsed : dict of str to (Registration, int)
        Registrations that lapsed, with the time; they may still be reachable.
    """

    registered: dict[str, Registration] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    run_versions: dict[str, int] = field(default_factory=dict)
    lapsed: dict[str, tuple[Registration, int]] = field(default_factory=dict)


def registration_key(instance: str) -> str:
    """Return where an instance's registration is kept."""
    return REGISTRATION_PREFIX + instance


def runs_key(instance: str) -> str:
    """Return where the count of an instance's runs is kept."""
    return RUNS_PREFIX + instance


def table_key(service: str) -> str:
    """Return where a service's range table is kept."""
    return TABLE_PREFIX + service


def encode_registration(registration: Registration) -> bytes:
    """Return a registration in CBOR."""
    return codec.encode_record(registration)


def apply_entry(directory: Directory, entry: port.Entry) -> bool:
    """Take in a registration or count of runs; False for other keys.

    Raises
    ------
    FrameError
        If a registration is malformed.
    """
    if entry.key.startswith(RUNS_PREFIX):
        instance = entry.key.removeprefix(RUNS_PREFIX)
        known = directory.run_versions.get(instance, 0)
        directory.run_versions[instance] = max(known, entry.version)
        return True
    if not entry.key.startswith(REGISTRATION_PREFIX):
        return False
    instance = entry.key.removeprefix(REGISTRATION_PREFIX)
    if entry.version >= directory.versions.get(instance, 0):
        found = codec.decode_record(Registration, entry.value)
        directory.registered[instance] = found
        directory.versions[instance] = entry.version
        directory.lapsed.pop(instance, None)
    return True


def apply_deletion(directory: Directory, key: str, now_ms: int) -> None:
    """Take in that a key is gone."""
    if not key.startswith(REGISTRATION_PREFIX):
        return
    instance = key.removeprefix(REGISTRATION_PREFIX)
    found = directory.registered.pop(instance, None)
    directory.versions.pop(instance, None)
    if found is not None:
        directory.lapsed[instance] = (found, now_ms)


def apply_listing(
    directory: Directory, entries: Iterable[port.Entry], now_ms: int
) -> None:
    """Take in a whole listing; what it does not name is gone."""
    listed = {entry.key for entry in entries}
    for instance in list(directory.registered):
        if registration_key(instance) not in listed:
            apply_deletion(directory, registration_key(instance), now_ms)


def drop_lapsed(directory: Directory, keep_ms: int, now_ms: int) -> list[str]:
    """Drop registrations that lapsed a while ago; return their instances."""
    old = [
        instance
        for instance, (_, since_ms) in directory.lapsed.items()
        if now_ms - since_ms > keep_ms
    ]
    for instance in old:
        del directory.lapsed[instance]
    return old


def find_registration(directory: Directory, instance: str) -> Registration | None:
    """Return the newest registration known, a lapsed one if there is no other."""
    found = directory.registered.get(instance)
    if found is not None:
        return found
    departed = directory.lapsed.get(instance)
    return departed[0] if departed else None


def list_service(directory: Directory, service: str) -> list[Registration]:
    """Return the registrations of a service, lapsed ones included."""
    lapsed = [found for found, _ in directory.lapsed.values()]
    return [
        found
        for found in [*directory.registered.values(), *lapsed]
        if found.service == service and found.owner
    ]


def make_peer(registration: Registration) -> members.Member:
    """Return the daemon as links between daemons name it."""
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


def has_ended(directory: Directory, owner: str) -> bool:
    """Return whether an owner certainly holds nothing: its instance says so.

    An address has one listener, so that a later incarnation there is proof as well.
    """
    found = directory.registered.get(tables.instance_of(owner))
    if found is None:
        return False
    if found.owner == owner:
        return False
    return found.ended == owner or found.owner != ""

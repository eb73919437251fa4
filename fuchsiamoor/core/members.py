"""Members: running daemons of a deployment, as other daemons see them."""

from typing import NamedTuple

from fuchsiamoor.core.addresses import Address


class Member(NamedTuple):
    """One process of a daemon, from its start to its end.

    Parameters
    ----------
    member_id : str
        ``INSTANCE#NONCE``; a restarted daemon is a new member.
    instance : str
    service : str
        Service of the upstream beside it.
    region : str
    data_centre : str
    peer_address : Address
        Where it accepts links from other daemons.
    caller_address : Address
    operator_address : Address
    checks_grants : bool
        Whether the upstream refuses requests without a valid fenced grant.
    slots : int
        Number of requests that the upstream runs at a time.
    connections : int
        Number of connections that the upstream accepts.
    registered_version : int
        The store's version of the registration, 0 until registered. Of two members of
        one instance, the one with the higher version is current.
    replaces : tuple of str
        Earlier members of the instance that listened at the same peer address, newest
        first. They have ended, since an address can have only one listener.
    """

    member_id: str
    instance: str
    service: str
    region: str
    data_centre: str
    peer_address: Address
    caller_address: Address
    operator_address: Address
    checks_grants: bool
    slots: int
    connections: int
    registered_version: int = 0
    replaces: tuple[str, ...] = ()


def make_member_id(instance: str, nonce: str) -> str:
    """Return the member id of one process of the daemon beside ``instance``."""
    return f"{instance}#{nonce}"


def instance_of(member_id: str) -> str:
    """Return the instance of a member by its id.

    Examples
    --------
    >>> instance_of("almaty-1-a#5f3c")
    'almaty-1-a'
    """
    return member_id.rpartition("#")[0]


def run_of(member_id: str) -> str:
    """Return the nonce in a member id, which identifies the daemon's process.

    Examples
    --------
    >>> run_of("almaty-1-a#5f3c")
    '5f3c'
    """
    return member_id.rpartition("#")[2]

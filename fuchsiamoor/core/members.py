"""Members: a daemon's run beside one upstream instance, as the others see it."""

from typing import NamedTuple

from fuchsiamoor.core.addresses import Address


class Member(NamedTuple):
    """One run of a daemon.

    Parameters
    ----------
    member_id : str
        ``INSTANCE#NONCE``; a restarted daemon is a new member.
    instance : str
    service : str
        The service of the upstream beside it.
    region : str
    data_centre : str
    peer_address : Address
        Where its peer links are accepted.
    caller_address : Address
    operator_address : Address
    checks_grants : bool
        Whether the upstream refuses work without a live fenced grant.
    slots : int
        Requests that the upstream runs at once.
    connections : int
        Connections that the upstream accepts.
    registered_version : int
        The store's version of the registration, 0 until registered. Of two members with
        one instance, the one with the higher version holds it.
    replaces : tuple of str
        Earlier members of the instance that listened at the same peer address, newest
        first. They are over, as an address has one listener.
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
    """Name one run of the daemon beside ``instance``."""
    return f"{instance}#{nonce}"


def instance_of(member_id: str) -> str:
    """Return the instance that a member's name gives.

    Examples
    --------
    >>> instance_of("almaty-1-a#5f3c")
    'almaty-1-a'
    """
    return member_id.rpartition("#")[0]


def run_of(member_id: str) -> str:
    """Return the run that a member's name gives.

    Examples
    --------
    >>> run_of("almaty-1-a#5f3c")
    '5f3c'
    """
    return member_id.rpartition("#")[2]

"""The directory: the latest registration of every instance.

Registrations come from the store's listing, its watch, and other daemons. Of two for
one instance the higher version stands. A listing also tells what is gone: anything up
to its version that it does not name.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from fuchsiamoor.core import members


@dataclass(slots=True)
class Directory:
    """Registrations by instance.

    Parameters
    ----------
    by_instance : dict of str to Member
    by_id : dict of str to Member
        The same members by member id.
    listed_version : int
        Version of the newest listing taken in.
    """

    by_instance: dict[str, members.Member] = field(default_factory=dict)
    by_id: dict[str, members.Member] = field(default_factory=dict)
    listed_version: int = 0


def make_directory() -> Directory:
    """Return an empty directory."""
    return Directory()


def add_member(directory: Directory, member: members.Member) -> bool:
    """Take in one registration and return whether it is news."""
    known = directory.by_instance.get(member.instance)
    if known is not None:
        if member.registered_version <= known.registered_version:
            return False
        del directory.by_id[known.member_id]
    elif member.registered_version <= directory.listed_version:
        return False
    directory.by_instance[member.instance] = member
    directory.by_id[member.member_id] = member
    return True


def remove_instance(directory: Directory, instance: str, version: int) -> bool:
    """Drop an instance whose registration was deleted at a store version."""
    known = directory.by_instance.get(instance)
    if known is None or known.registered_version > version:
        return False
    del directory.by_instance[instance]
    del directory.by_id[known.member_id]
    return True


def apply_listing(
    directory: Directory, version: int, listed: Iterable[members.Member]
) -> bool:
    """Take in a whole listing of the store and return whether it is news."""
    if version < directory.listed_version:
        return False
    by_instance = {member.instance: member for member in listed}
    changed = False
    for instance in list(directory.by_instance):
        if instance not in by_instance:
            changed |= remove_instance(directory, instance, version)
    for member in by_instance.values():
        changed |= add_member(directory, member)
    directory.listed_version = version
    return changed


def is_superseded(directory: Directory, member: members.Member) -> bool:
    """Return whether a later registration holds this member's instance.

    A member that has not registered yet is not superseded by whom it will replace.
    """
    known = directory.by_instance.get(member.instance)
    return (
        known is not None
        and member.registered_version > 0
        and known.member_id != member.member_id
        and known.registered_version > member.registered_version
    )


def find_newest_version(directory: Directory) -> int:
    """Return the highest registration version known."""
    return max(
        (member.registered_version for member in directory.by_instance.values()),
        default=0,
    )


def hash_directory(directory: Directory) -> int:
    """Return a hash that two equal directories share."""
    lines = sorted(
        f"{member.member_id} {member.registered_version}"
        for member in directory.by_instance.values()
    )
    return xxhash.xxh3_64_intdigest("\n".join(lines).encode())

"""Directory of members: the latest registration of every instance.

Registrations arrive by listings and watches of the store and by gossip, in any order.
Of two registrations of an instance, the one with the higher version wins. A listing
also removes instances: those that it lacks and that registered up to its version.
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
        Version of the newest listing applied.
    """

    by_instance: dict[str, members.Member] = field(default_factory=dict)
    by_id: dict[str, members.Member] = field(default_factory=dict)
    listed_version: int = 0


def make_directory() -> Directory:
    """Return an empty directory."""
    return Directory()


def add_member(directory: Directory, member: members.Member) -> bool:
    """Apply one registration and return whether it changed the directory."""
    current = directory.by_instance.get(member.instance)
    if current is not None:
        if member.registered_version <= current.registered_version:
            return False
        del directory.by_id[current.member_id]
    elif member.registered_version <= directory.listed_version:
        return False
    directory.by_instance[member.instance] = member
    directory.by_id[member.member_id] = member
    return True


def remove_instance(directory: Directory, instance: str, version: int) -> bool:
    """Remove an instance whose registration was deleted at a store version.

    Returns whether it changed the directory: a later registration stays.
    """
    current = directory.by_instance.get(instance)
    if current is None or current.registered_version > version:
        return False
    del directory.by_instance[instance]
    del directory.by_id[current.member_id]
    return True


def apply_listing(
    directory: Directory, version: int, listed: Iterable[members.Member]
) -> bool:
    """Apply a complete listing of the store and return whether it changed anything."""
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
    """Return whether a later run of the member's instance has registered.

    A member that has not registered yet is not superseded: the registration in the
    directory is then that of the run which it will replace.
    """
    current = directory.by_instance.get(member.instance)
    return (
        current is not None
        and member.registered_version > 0
        and current.member_id != member.member_id
        and current.registered_version > member.registered_version
    )


def find_newest_version(directory: Directory) -> int:
    """Return the highest registration version in the directory, 0 if it is empty."""
    return max(
        (member.registered_version for member in directory.by_instance.values()),
        default=0,
    )


def hash_directory(directory: Directory) -> int:
    """Return a hash by which two daemons compare their directories."""
    lines = sorted(
        f"{member.member_id} {member.registered_version}"
        for member in directory.by_instance.values()
    )
    return xxhash.xxh3_64_intdigest("\n".join(lines).encode())

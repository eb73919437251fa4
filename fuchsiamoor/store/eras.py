"""Eras of the store: how often it has come back from a copy.

After a restore, revisions and lease ids go back and are given out again, so that each
means something only together with the era in which it was read. Versions and lease ids
carry their era. Era 0 stands for a store that names none.
"""

# Bits of a version below its era; a store that changes 1,000 times a second fills them
# in 34 years.
REVISION_BITS = 40
# Eras that fit beside the counts of range tables in the integers that JSON readers
# represent exactly.
ERA_MAX = 2**20 - 1


def make_version(era: int, revision: int) -> int:
    """Return the version of a revision; versions of later eras are higher.

    Raises
    ------
    ValueError
        If the revision is out of range.

    Examples
    --------
    >>> make_version(0, 7), make_version(1, 7) > make_version(0, 8)
    (7, True)
    """
    if not 0 <= revision < 1 << REVISION_BITS:
        raise ValueError(f"revision: found {revision}, expected up to 40 bits")
    return era << REVISION_BITS | revision


def era_of(version: int) -> int:
    """Return the era in which a version was read."""
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """Return the store's own revision."""
    return version & ((1 << REVISION_BITS) - 1)


def make_lease_id(era: int, number: int) -> str:
    """Return the id of a lease that was granted in an era.

    Examples
    --------
    >>> make_lease_id(0, 7), make_lease_id(2, 7)
    ('7', '2-7')
    """
    return f"{era}-{number}" if era else str(number)


def split_lease_id(lease_id: str) -> tuple[int, int]:
    """Return the era and the store's own number of a lease.

    Raises
    ------
    ValueError
        If the id is malformed.

    Examples
    --------
    >>> split_lease_id("2-7")
    (2, 7)
    """
    era, separator, number = lease_id.rpartition("-")
    return (int(era) if separator else 0), int(number)


def is_of_earlier_era(
    era: int, versions: tuple[int, ...], lease_ids: tuple[str, ...] = ()
) -> bool:
    """Return whether any version or lease is of an era before the given one.

    A version of 0 stands for a key that does not exist, in any era.
    """
    read_in = [era_of(version) for version in versions if version]
    granted_in = [split_lease_id(lease_id)[0] for lease_id in lease_ids if lease_id]
    return min([*read_in, *granted_in], default=era) < era

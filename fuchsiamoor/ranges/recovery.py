"""Plans the first range table of an era, after the store came back from a copy.

The newest table of the era before is adopted. A row stays with its owner if that one
claims it; see `docs/design/store-eras.md` for what a claim excludes. All that an era
granted has run out a while after its end; until then the other rows have no owner.
"""

from collections.abc import Collection, Mapping

from fuchsiamoor.ranges import table as tables


def plan_adoption(
    table: tables.RangeTable,
    era: int,
    claims: Mapping[str, int],
    live_owners: Collection[str] = (),
) -> tables.RangeTable:
    """Return the first table of an era.

    Parameters
    ----------
    table : RangeTable
        Newest known table of an earlier era.
    era : int
        Present era of the store.
    claims : mapping of str to int
        By owner, the newest version of the table that its daemon knows or has tried to
        write.
    live_owners : collection of str, optional
        Owners that keep rows without a claim, under new fences: none before all that
        earlier eras granted has run out.
    """
    version = tables.make_version(era, 1)
    rows = []
    for row in table.rows:
        if is_claimed(table, row.owner, claims):
            rows.append(row)
            continue
        owner = row.owner if row.owner in live_owners else tables.NO_OWNER
        rows.append(tables.Row(row.first, row.last, owner, version))
    return tables.RangeTable(table.service, version, tables.merge_rows(rows))


def is_claimed(table: tables.RangeTable, owner: str, claims: Mapping[str, int]) -> bool:
    """Return whether a claim shows that an owner still has its rows of a table."""
    return owner in claims and claims[owner] <= table.version


def are_all_claimed(table: tables.RangeTable, claims: Mapping[str, int]) -> bool:
    """Return whether each row of a table has an owner that claims it."""
    return all(is_claimed(table, row.owner, claims) for row in table.rows)


def has_unowned_rows(table: tables.RangeTable) -> bool:
    """Return whether any row of a table has no owner."""
    return any(row.owner == tables.NO_OWNER for row in table.rows)

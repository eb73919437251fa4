from fuchsiamoor.ranges import recovery
from fuchsiamoor.ranges import table as tables

A, B, C = "a/i-1@1", "b/i-2@2", "c/i-3@3"
NEWEST = 9
TABLE = tables.RangeTable(
    "stock",
    NEWEST,
    (
        tables.Row(0, 99, A, 4, "t1"),
        tables.Row(100, 199, B, 9, "", A),
        tables.Row(200, 65_535, C, 7),
    ),
)
FIRST = tables.make_version(2, 1)


def test_claimed_rows_stay_as_they_are():
    claims = {A: NEWEST, B: NEWEST - 1, C: 3}
    adopted = recovery.plan_adoption(TABLE, 2, claims)
    assert recovery.are_all_claimed(TABLE, claims)
    assert adopted == tables.RangeTable("stock", FIRST, TABLE.rows)


def test_rows_without_a_claim_have_no_owner_before_the_earlier_era_has_run_out():
    adopted = recovery.plan_adoption(TABLE, 2, {A: NEWEST})
    assert adopted.rows[1:] == (tables.Row(100, 65_535, tables.NO_OWNER, FIRST),)
    assert recovery.has_unowned_rows(adopted)


# The owner may have given keys away in a table that the adopter does not know.
def test_a_claim_by_a_newer_table_does_not_cover_rows_of_an_older_one():
    claims = {A: NEWEST, B: NEWEST, C: NEWEST + 1}
    adopted = recovery.plan_adoption(TABLE, 2, claims)
    assert not recovery.are_all_claimed(TABLE, claims)
    assert adopted.rows[2].owner == tables.NO_OWNER


def test_live_owners_keep_unclaimed_rows_afterwards_under_new_fences():
    adopted = recovery.plan_adoption(TABLE, 2, {A: NEWEST}, {A, C})
    assert adopted.rows == (
        TABLE.rows[0],
        tables.Row(100, 199, tables.NO_OWNER, FIRST),
        tables.Row(200, 65_535, C, FIRST),
    )


def test_an_adopted_table_can_be_stored():
    adopted = recovery.plan_adoption(TABLE, 2, {A: NEWEST, B: 2, C: 2})
    assert tables.decode_table(tables.encode_table(adopted)) == adopted
    assert tables.era_of(adopted.version) == 2 and not tables.is_first(adopted)

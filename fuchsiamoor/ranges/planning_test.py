from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.ranges import planning
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.traffic import catalog

OWNERS = [f"10.0.0.{n}/i@{n}" for n in range(1, 7)]


def make_standing(owners=OWNERS, present=(), ended=(), cold=()):
    holders = tuple(planning.Holder(o, 18.0, o in cold) for o in owners)
    return planning.Standing(holders, frozenset([*owners, *present]), frozenset(ended))


def count_by_owner(table):
    counted = {}
    for row in table.rows:
        counted[row.owner] = counted.get(row.owner, 0) + tables.count_keys(row)
    return counted


def make_first(owners=OWNERS):
    return planning.plan_next(tables.make_empty_table("s"), make_standing(owners))


def test_the_first_table_is_even():
    counted = count_by_owner(make_first())
    assert set(counted) == set(OWNERS)
    assert max(counted.values()) - min(counted.values()) <= planning.PIECE_KEYS


def test_a_plan_that_is_met_changes_nothing():
    assert planning.plan_next(make_first(), make_standing()) is None


def test_a_lost_owners_keys_go_to_all_others_and_nothing_else_moves():
    before = make_first()
    lost, *others = OWNERS
    after = planning.plan_next(before, make_standing(others, ended=[lost]))
    assert lost not in count_by_owner(after)
    kept = {row for row in before.rows if row.owner != lost}
    for row in kept:
        assert tables.find_row(after, row.first).owner == row.owner
    counted = count_by_owner(after)
    assert max(counted.values()) < 1.3 * catalog.KEY_COUNT / 5


def test_an_absent_owner_that_may_still_hold_keeps_its_rows():
    before = make_first()
    assert planning.plan_next(before, make_standing(OWNERS[1:])) is None


def test_a_leaving_owner_is_asked_to_let_go_and_keeps_the_keys_until_then():
    before = make_first()
    leaving, *others = OWNERS
    after = planning.plan_next(before, make_standing(others, present=[leaving]))
    rows = [row for row in after.rows if row.owner == leaving]
    assert sum(map(tables.count_keys, rows)) == count_by_owner(before)[leaving]
    assert all(row.moving_to in others for row in rows)
    assert planning.plan_next(after, make_standing(others, present=[leaving])) is None


def test_a_cold_holder_gets_nothing_that_others_can_hold():
    before = make_first(OWNERS[:5])
    cold = OWNERS[5]
    assert planning.plan_next(before, make_standing(cold=[cold])) is None
    warm = planning.plan_next(before, make_standing())
    moving = [row for row in warm.rows if row.moving_to == cold]
    assert 0 < sum(map(tables.count_keys, moving)) <= catalog.KEY_COUNT / 6


def test_with_nobody_to_give_to_nothing_is_planned():
    assert planning.plan_next(make_first(), make_standing([], ended=OWNERS)) is None


@given(st.data())
def test_plans_always_cover_all_keys_and_never_take_from_the_living(data):
    table = make_first()
    for _ in range(4):
        usable = data.draw(st.lists(st.sampled_from(OWNERS), unique=True))
        rest = [owner for owner in OWNERS if owner not in usable]
        ended = [owner for owner in rest if data.draw(st.booleans())]
        present = [owner for owner in rest if owner not in ended]
        standing = make_standing(usable, present, ended)
        planned = planning.plan_next(table, standing)
        if planned is None:
            continue
        assert tables.decode_table(tables.encode_table(planned)) == planned
        assert planned.version == table.version + 1
        for row in planned.rows:
            for key in (row.first, row.last):
                before = tables.find_row(table, key)
                if before.owner in (*usable, *present):
                    assert row.owner == before.owner
                elif row.owner != before.owner:
                    assert row.fence == planned.version > before.fence
        table = planned

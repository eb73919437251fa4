from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.ranges import planning
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.traffic import catalog

OWNERS = [f"10.0.0.{n}/i@{n}" for n in range(1, 7)]


def make_owner_states(owners=OWNERS, registered=(), ended=(), cold=()):
    candidates = tuple(planning.Candidate(o, 18.0, o in cold) for o in owners)
    return planning.OwnerStates(
        candidates, frozenset([*owners, *registered]), frozenset(ended)
    )


def count_by_owner(table):
    counted = {}
    for row in table.rows:
        counted[row.owner] = counted.get(row.owner, 0) + tables.count_keys(row)
    return counted


def make_first(owners=OWNERS):
    return planning.plan_next_table(
        tables.make_empty_table("s"), make_owner_states(owners)
    )


def test_first_table_assigns_equal_numbers_of_keys():
    counted = count_by_owner(make_first())
    assert set(counted) == set(OWNERS)
    assert max(counted.values()) - min(counted.values()) <= planning.SPLIT_KEYS_MIN


def test_no_new_table_without_a_change_of_owners():
    assert planning.plan_next_table(make_first(), make_owner_states()) is None


def test_keys_of_a_lost_owner_go_to_all_others_and_no_other_keys_move():
    before = make_first()
    lost, *others = OWNERS
    after = planning.plan_next_table(before, make_owner_states(others, ended=[lost]))
    assert lost not in count_by_owner(after)
    kept = {row for row in before.rows if row.owner != lost}
    for row in kept:
        assert tables.find_row(after, row.first).owner == row.owner
    counted = count_by_owner(after)
    assert max(counted.values()) < 1.3 * catalog.KEY_COUNT / 5


def test_absent_owner_that_may_still_hold_keys_keeps_its_rows():
    before = make_first()
    assert planning.plan_next_table(before, make_owner_states(OWNERS[1:])) is None


def test_leaving_owner_owns_its_keys_until_it_releases_them():
    before = make_first()
    leaving, *others = OWNERS
    after = planning.plan_next_table(
        before, make_owner_states(others, registered=[leaving])
    )
    rows = [row for row in after.rows if row.owner == leaving]
    assert sum(map(tables.count_keys, rows)) == count_by_owner(before)[leaving]
    assert all(row.moving_to in others for row in rows)
    assert (
        planning.plan_next_table(after, make_owner_states(others, registered=[leaving]))
        is None
    )


def test_cold_candidate_gets_no_keys_while_warm_ones_exist():
    before = make_first(OWNERS[:5])
    cold = OWNERS[5]
    assert planning.plan_next_table(before, make_owner_states(cold=[cold])) is None
    warm = planning.plan_next_table(before, make_owner_states())
    moving = [row for row in warm.rows if row.moving_to == cold]
    assert 0 < sum(map(tables.count_keys, moving)) <= catalog.KEY_COUNT / 6


def test_no_table_is_planned_without_candidates():
    assert (
        planning.plan_next_table(make_first(), make_owner_states([], ended=OWNERS))
        is None
    )


@given(st.data())
def test_plans_cover_all_keys_and_never_reassign_keys_of_live_owners(data):
    table = make_first()
    for _ in range(4):
        usable = data.draw(st.lists(st.sampled_from(OWNERS), unique=True))
        rest = [owner for owner in OWNERS if owner not in usable]
        ended = [owner for owner in rest if data.draw(st.booleans())]
        registered = [owner for owner in rest if owner not in ended]
        states = make_owner_states(usable, registered, ended)
        planned = planning.plan_next_table(table, states)
        if planned is None:
            continue
        assert tables.decode_table(tables.encode_table(planned)) == planned
        assert planned.version == table.version + 1
        for row in planned.rows:
            for key in (row.first, row.last):
                before = tables.find_row(table, key)
                if before.owner in (*usable, *registered):
                    assert row.owner == before.owner
                elif row.owner != before.owner:
                    assert row.fence == planned.version > before.fence
        table = planned

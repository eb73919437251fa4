from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.ownership import drafts, isolation, placement
from fuchsiamoor.testing import ownership_data as builders

TABLE = builders.make_table(("a#1", "b#1", "a#1", "b#1"))


def plan(table, rates, now_ms=0, held=(), cooling_keys=None):
    load = builders.make_load(shard_rates={0: 100}, hot_keys=rates)
    loads = {"a#1": load, "b#1": builders.make_load(shard_rates={1: 100})}
    return isolation.plan_isolation(
        table, loads, held, cooling_keys or isolation.CoolingKeys(), now_ms
    )


def isolate(table, key_hash):
    draft = drafts.make_draft(table, "a#1")
    drafts.isolate_key(draft, key_hash)
    return drafts.finish_draft(draft)


def test_only_a_key_above_the_hot_rate_is_isolated():
    assert plan(TABLE, {8: 50, 9: 5}).isolate == (8,)


def test_an_isolated_key_keeps_its_owner():
    table = isolate(TABLE, 9)
    assert table.isolated == {9: 4}
    assert table.owners == (*TABLE.owners, "b#1")
    assert table.epochs[4] == table.revision
    assert plan(table, {9: 50}).isolate == ()


def test_a_held_key_is_isolated_at_any_rate_and_never_merged():
    assert plan(TABLE, {}, held=[9]).isolate == (9,)
    table = isolate(TABLE, 9)
    cooling_keys = isolation.CoolingKeys()
    plan(table, {}, 0, [9], cooling_keys)
    assert plan(table, {}, 100_000, [9], cooling_keys).merge == ()


def test_a_cooled_key_is_merged_once_both_shards_have_one_owner():
    table = isolate(TABLE, 9)
    cooling_keys = isolation.CoolingKeys()
    assert plan(table, {}, 0, (), cooling_keys).merge == ()
    assert plan(table, {}, 60_000, (), cooling_keys).merge == (9,)
    apart = table._replace(owners=(*TABLE.owners, "a#1"))
    away = plan(apart, {}, 60_000, (), cooling_keys)
    assert away.merge == ()
    assert away.moves == (placement.Move(4, "a#1", "b#1"),)


@given(st.dictionaries(st.integers(0, 1 << 63), st.integers(1, 1_000), max_size=200))
def test_the_number_of_hot_keys_is_bounded(rates):
    assert len(plan(TABLE, rates).isolate) <= isolation.MAX_HOT_KEYS

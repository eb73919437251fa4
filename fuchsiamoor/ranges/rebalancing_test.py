"""Rebalancing of a hot range: a third of the requests for a few adjacent keys."""

from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.ranges import demand as demands
from fuchsiamoor.ranges import rebalancing
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.testing.rebalancing_data import (
    BUSY,
    IDLE,
    OTHER,
    make_demand,
    make_hot_range,
    make_move_source,
    make_table,
    make_utilization,
)

NOW_MS = demands.WINDOW_MS
INTERVAL_MS = 870


def find_moving(table):
    return [row for row in table.rows if row.moving_to]


def sum_work_ms(demand, row):
    return sum(s.work_ms for s in demand.samples if row.first <= s.key <= row.last)


def test_hot_range_is_split_so_that_both_owners_have_equal_load():
    # 200 requests a second of 100 ms are twice what ten slots can do.
    demand = make_demand(make_hot_range(5_000, 100, per_s=200))
    table = make_table()
    source = make_move_source(table, demand, NOW_MS)
    assert source.utilization.asked_percent == 200
    planned = rebalancing.plan_move(table, source, make_utilization(IDLE, 100))
    (moving,) = find_moving(planned)
    assert moving.owner == BUSY
    assert moving.moving_to == IDLE
    share = sum_work_ms(demand, moving) / sum_work_ms(demand, table.rows[0])
    assert 0.2 <= share <= 0.3


def test_requests_for_keys_of_other_owners_are_not_counted():
    demand = make_demand(make_hot_range(50_000, 100, per_s=200))
    assert make_move_source(make_table(), demand, NOW_MS).utilization.asked_percent == 0


def test_load_of_a_new_row_is_scaled_to_the_window():
    demand = make_demand(make_hot_range(5_000, 100, per_s=200, for_ms=1_000))
    assert (
        make_move_source(make_table(), demand, 1_000).utilization.asked_percent == 200
    )


def test_single_hot_key_is_not_moved():
    demand = make_demand([(n, 5_000) for n in range(1, NOW_MS, 5)])
    source = make_move_source(make_table(), demand, NOW_MS)
    assert (
        rebalancing.plan_move(make_table(), source, make_utilization(IDLE, 0)) is None
    )


def test_owner_below_the_least_utilization_moves_no_keys():
    own = make_utilization(BUSY, rebalancing.MOVE_MIN_PERCENT - 1)
    asked = [make_utilization(IDLE, 0)]
    assert rebalancing.choose_receiver(own, asked, INTERVAL_MS) is None


def test_no_keys_move_if_all_owners_are_overloaded():
    own = make_utilization(BUSY, 210)
    asked = [make_utilization(IDLE, 200), make_utilization(OTHER, 140)]
    assert rebalancing.choose_receiver(own, asked, INTERVAL_MS) is None


def test_cold_or_leaving_owner_gets_no_keys():
    own = make_utilization(BUSY, 200)
    asked = [make_utilization(IDLE, 0, takes_keys=False), make_utilization(OTHER, 90)]
    assert rebalancing.choose_receiver(own, asked, INTERVAL_MS).owner == OTHER


def test_of_equally_loaded_receivers_the_next_to_report_is_chosen():
    own = make_utilization(BUSY, 200, report_in_ms=0)
    asked = [
        make_utilization(IDLE, 20, report_in_ms=100),
        make_utilization(OTHER, 20, report_in_ms=400),
    ]
    assert rebalancing.choose_receiver(own, asked, INTERVAL_MS).owner == OTHER


@given(
    st.lists(
        st.tuples(st.integers(1, NOW_MS), st.integers(0, 20_000)),
        min_size=1,
        max_size=80,
    ),
    st.integers(0, 150),
)
def test_plan_covers_all_keys_and_moves_only_keys_of_the_source(
    requests, receiver_percent
):
    table = make_table()
    source = make_move_source(table, make_demand(requests, 900.0), NOW_MS)
    receiver = make_utilization(IDLE, receiver_percent)
    if source.utilization.asked_percent <= receiver_percent:
        return
    planned = rebalancing.plan_move(table, source, receiver)
    if planned is None:
        return
    assert tables.decode_table(tables.encode_table(planned)) == planned
    for row in find_moving(planned):
        assert row.last <= 20_000
    assert {row.owner for row in planned.rows} == {BUSY, IDLE, OTHER}

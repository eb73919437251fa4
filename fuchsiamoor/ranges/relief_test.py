"""The load of a hot stretch: a third of the requests on some neighbouring keys."""

from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.ranges import demand as demands
from fuchsiamoor.ranges import relief
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.testing.balance_data import (
    BUSY,
    IDLE,
    OTHER,
    make_demand,
    make_giver,
    make_hot_stretch,
    make_table,
    make_utilization,
)

NOW_MS = demands.WINDOW_MS
INTERVAL_MS = 870


def find_moving(table):
    return [row for row in table.rows if row.moving_to]


def list_work(demand, row):
    return sum(s.work_ms for s in demand.samples if row.first <= s.key <= row.last)


def test_a_hot_stretch_is_cut_so_that_both_have_as_much():
    # 200 requests a second of 100 ms are twice what ten slots can do.
    demand = make_demand(make_hot_stretch(5_000, 100, per_s=200))
    table = make_table()
    giver = make_giver(table, demand, NOW_MS)
    assert giver.told.asked_percent == 200
    planned = relief.plan_relief(table, giver, make_utilization(IDLE, 100))
    (moving,) = find_moving(planned)
    assert moving.owner == BUSY
    assert moving.moving_to == IDLE
    share = list_work(demand, moving) / list_work(demand, table.rows[0])
    assert 0.2 <= share <= 0.3


def test_requests_elsewhere_do_not_count():
    demand = make_demand(make_hot_stretch(50_000, 100, per_s=200))
    assert make_giver(make_table(), demand, NOW_MS).told.asked_percent == 0


def test_a_row_that_is_new_is_not_taken_for_idle():
    demand = make_demand(make_hot_stretch(5_000, 100, per_s=200, for_ms=1_000))
    assert make_giver(make_table(), demand, 1_000).told.asked_percent == 200


def test_one_hot_key_cannot_be_cut():
    demand = make_demand([(n, 5_000) for n in range(1, NOW_MS, 5)])
    giver = make_giver(make_table(), demand, NOW_MS)
    assert relief.plan_relief(make_table(), giver, make_utilization(IDLE, 0)) is None


def test_an_owner_that_can_do_its_work_gives_nothing():
    own = make_utilization(BUSY, relief.GIVING_PERCENT - 1)
    asked = [make_utilization(IDLE, 0)]
    assert relief.choose_receiver(own, asked, INTERVAL_MS) is None


def test_when_all_have_too_much_to_do_nothing_moves():
    own = make_utilization(BUSY, 210)
    asked = [make_utilization(IDLE, 200), make_utilization(OTHER, 140)]
    assert relief.choose_receiver(own, asked, INTERVAL_MS) is None


def test_one_that_is_cold_or_leaves_gets_nothing():
    own = make_utilization(BUSY, 200)
    asked = [make_utilization(IDLE, 0, takes_keys=False), make_utilization(OTHER, 90)]
    assert relief.choose_receiver(own, asked, INTERVAL_MS).owner == OTHER


def test_of_two_that_are_alike_the_one_that_reports_sooner_is_taken():
    own = make_utilization(BUSY, 200, report_in_ms=0)
    asked = [
        make_utilization(IDLE, 20, report_in_ms=100),
        make_utilization(OTHER, 20, report_in_ms=400),
    ]
    assert relief.choose_receiver(own, asked, INTERVAL_MS).owner == OTHER


@given(
    st.lists(
        st.tuples(st.integers(1, NOW_MS), st.integers(0, 20_000)),
        min_size=1,
        max_size=80,
    ),
    st.integers(0, 150),
)
def test_a_plan_covers_all_keys_and_takes_only_the_givers(requests, receiver_percent):
    table = make_table()
    giver = make_giver(table, make_demand(requests, 900.0), NOW_MS)
    receiver = make_utilization(IDLE, receiver_percent)
    if giver.told.asked_percent <= receiver_percent:
        return
    planned = relief.plan_relief(table, giver, receiver)
    if planned is None:
        return
    assert tables.decode_table(tables.encode_table(planned)) == planned
    for row in find_moving(planned):
        assert row.last <= 20_000
    assert {row.owner for row in planned.rows} == {BUSY, IDLE, OTHER}

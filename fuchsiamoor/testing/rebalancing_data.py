"""Builders of key ranges, request samples and utilization reports for tests."""

from fuchsiamoor.core.messages import Utilization
from fuchsiamoor.ranges import demand as demands
from fuchsiamoor.ranges import rebalancing
from fuchsiamoor.ranges import table as tables

BUSY, IDLE, OTHER = "10.0.0.1/i@1", "10.0.0.2/i@1", "10.0.0.3/i@1"


def make_table(*rows: tables.Row) -> tables.RangeTable:
    """Return a table of the given rows, or one of three owners with a third each."""
    thirds = (
        tables.Row(0, 20_000, BUSY, 1),
        tables.Row(20_001, 40_000, IDLE, 1),
        tables.Row(40_001, 65_535, OTHER, 1),
    )
    return tables.RangeTable("stock", 7, rows or thirds)


def make_utilization(owner: str, asked_percent: int, **changes) -> Utilization:
    """Return the utilization report of a warm owner with ten slots."""
    utilization = Utilization(owner, asked_percent, 10, 100, True, 0)
    return utilization._replace(**changes)


def make_demand(requests, work_ms: float = 100.0) -> demands.Demand:
    """Return the demand recorded for requests given as (time in ms, key)."""
    demand = demands.Demand()
    for at_ms, key in requests:
        demands.record_request(demand, key, work_ms, at_ms)
    return demand


def make_hot_range(
    first: int, keys: int, per_s: int, for_ms: int = demands.WINDOW_MS
) -> list[tuple[int, int]]:
    """Return (time in ms, key) of requests spread evenly over adjacent keys."""
    count = per_s * for_ms // 1000
    return [(n * for_ms // count + 1, first + n * 7 % keys) for n in range(count)]


def make_move_source(table: tables.RangeTable, demand: demands.Demand, now_ms: int):
    """Return the busy owner of ten slots, which has owned its rows since time 0."""
    rows = [row for row in table.rows if row.owner == BUSY]
    demands.list_recent_samples(demand, rows, 0)
    samples = demands.list_recent_samples(demand, rows, now_ms)
    asked_percent = demands.compute_utilization_percent(demand, samples, 10)
    return rebalancing.MoveSource(make_utilization(BUSY, asked_percent), samples)

"""Rebalancing: moves keys from an overloaded owner to one with less load.

A row is split at the key where the work on one side is closest to the work to be moved,
which also splits a hot range of adjacent keys. The receiver is the least loaded of a
few sampled owners, as in balanced allocation with several choices. The source decides:
it knows its own load best, and a slightly stale load of the receiver does no harm.
"""

from collections.abc import Collection, Sequence
from typing import NamedTuple

from fuchsiamoor.core.messages import Utilization
from fuchsiamoor.ranges import demand as demands
from fuchsiamoor.ranges import table as tables

# Least utilization at which an owner moves keys, in percent of its slots: moving keys
# have no owner for half a heartbeat, and a load peak of a few seconds that the owner
# can almost serve ends before the lower load has made up for that.
MOVE_MIN_PERCENT = 150
# Least difference in utilization for which keys move, so that the receiver has capacity
# for them.
DIFFERENCE_MIN_PERCENT = 80
# Largest difference taken into account: refused callers retry and are counted again,
# so that a larger difference overstates the load.
DIFFERENCE_MAX_PERCENT = 100
# Bounds of the work moved by a split, relative to the target work.
CUT_MAX_RATIO = 1.3
CUT_MIN_RATIO = 0.2
# Cost of waiting for a receiver's heartbeat, in percent of its slots per second.
WAIT_COST_PERCENT_PER_S = 60
# Time from the source's heartbeat until the receiver's daemon may grant the keys.
HANDOVER_MS = 250
# An owner with this many rows moves no more keys, so that tables stay short.
ROWS_MAX = 32


class MoveSource(NamedTuple):
    """The overloaded owner, which decides about the move.

    Parameters
    ----------
    utilization : Utilization
        Its utilization.
    samples : sequence of Sample
        Samples of the window on its rows.
    """

    utilization: Utilization
    samples: Sequence[demands.Sample]


def choose_receiver(
    own: Utilization, candidates: Collection[Utilization], interval_ms: int
) -> Utilization | None:
    """Return the owner that is to get keys, None if none has much less load."""
    if own.asked_percent < MOVE_MIN_PERCENT:
        return None
    eligible = [
        other
        for other in candidates
        if other.takes_keys
        and own.asked_percent - other.asked_percent >= DIFFERENCE_MIN_PERCENT
    ]
    if not eligible:
        return None

    def cost(other: Utilization) -> float:
        wait_ms = (other.report_in_ms - own.report_in_ms - HANDOVER_MS) % interval_ms
        return other.asked_percent + WAIT_COST_PERCENT_PER_S * wait_ms / 1000

    return min(eligible, key=cost)


def plan_move(
    table: tables.RangeTable, source: MoveSource, receiver: Utilization
) -> tables.RangeTable | None:
    """Return a table in which keys of the source are to move, None if no split fits."""
    owned = tables.list_rows(table, source.utilization.owner)
    rows = [row for row in owned if not row.moving_to]
    if not rows or len(rows) >= ROWS_MAX:
        return None
    difference = min(
        source.utilization.asked_percent - receiver.asked_percent,
        DIFFERENCE_MAX_PERCENT,
    )
    # Percent of the slots of both owners that a millisecond of work takes.
    percent_per_ms = _compute_percent_per_ms(
        source.utilization
    ) + _compute_percent_per_ms(receiver)
    target_work_ms = difference / percent_per_ms * demands.WINDOW_MS
    key_range = _find_cut(rows, source.samples, target_work_ms)
    if key_range is None:
        return None
    planned = []
    for row in table.rows:
        if (
            row.owner != source.utilization.owner
            or not row.first <= key_range[0] <= row.last
        ):
            planned.append(row)
            continue
        sizes = [
            key_range[0] - row.first,
            key_range[1] - key_range[0] + 1,
            row.last - key_range[1],
        ]
        planned += [
            part._replace(moving_to=receiver.owner)
            if part.first == key_range[0]
            else part
            for part in tables.split_row(row, sizes)
        ]
    return tables.RangeTable(table.service, table.version + 1, tuple(planned))


def _compute_percent_per_ms(utilization: Utilization) -> float:
    return max(utilization.work_percent, 1) / max(utilization.slots, 1)


def _find_cut(
    rows: Sequence[tables.Row], samples: Sequence[demands.Sample], target_work_ms: float
) -> tuple[int, int] | None:
    """Return the keys at one end of a row whose work is closest to a target.

    Parameters
    ----------
    rows : sequence of Row
    samples : sequence of Sample
    target_work_ms : float
        Work to move, as run time of the samples.

    Returns
    -------
    tuple of int or None
        First and last key.
    """
    best, best_deviation = None, CUT_MAX_RATIO - 1
    for row in rows:
        work_by_key: dict[int, float] = {}
        for sample in samples:
            if row.first <= sample.key <= row.last:
                work_by_key[sample.key] = (
                    work_by_key.get(sample.key, 0.0) + sample.work_ms
                )
        keys = sorted(work_by_key)
        total, before = sum(work_by_key.values()), 0.0
        for index, key in enumerate(keys):
            # The row is split halfway between this key and the next requested one.
            before += work_by_key[key]
            last = (key + keys[index + 1]) // 2 if index + 1 < len(keys) else row.last
            sides = [((row.first, last), before)]
            if last < row.last:
                sides.append(((last + 1, row.last), total - before))
            for key_range, work in sides:
                deviation = abs(work - target_work_ms) / target_work_ms
                too_little = work < CUT_MIN_RATIO * target_work_ms
                if too_little or work > CUT_MAX_RATIO * target_work_ms:
                    continue
                if best is None or deviation < best_deviation:
                    best, best_deviation = key_range, deviation
    return best

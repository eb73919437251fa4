"""Relief: which of its keys an owner that has too much to do gives to one with less.

The keys of a row are cut where the work on both sides fits best, which also splits a
stretch of hot neighbours. The receiver is the least loaded of a few that were asked, as
in balanced allocation with several choices; the one who decides is the giver, which
knows its own load best and loses nothing if the receiver's is a little old.
"""

from collections.abc import Collection, Sequence
from typing import NamedTuple

from fuchsiamoor.core.messages import Utilization
from fuchsiamoor.ranges import demand as demands
from fuchsiamoor.ranges import table as tables

# An owner asked for less than this, in percent of what its slots can do, gives nothing
# away: keys on their way have no owner for half a heartbeat, and a hot spell of seconds
# that it almost bears is over before that has paid.
GIVING_PERCENT = 150
# Least difference of two owners, in percent of their slots, for which keys move: the
# receiver is to have room for what it gets.
DIFFERENCE_MIN = 80
# Largest difference that is believed: callers that were refused come again, and are
# counted again.
DIFFERENCE_MAX = 100
# A cut may give this much more than is wanted, or this much less.
EXCESS_MAX = 1.3
EXCESS_MIN = 0.2
# What waiting for a receiver's heartbeat weighs, in percent of its slots each second.
REPORT_WEIGHT_PER_S = 60
# Time from the giver's heartbeat to the receiver's knowing that it may be granted.
HAND_OVER_MS = 250
# Rows of one owner beyond which it gives no more, so that tables stay short.
ROWS_MAX = 32


class Giver(NamedTuple):
    """The owner that decides.

    Parameters
    ----------
    told : Utilization
        Its own.
    samples : sequence of Sample
        Of the window, on its rows.
    """

    told: Utilization
    samples: Sequence[demands.Sample]


def choose_receiver(
    own: Utilization, asked: Collection[Utilization], interval_ms: int
) -> Utilization | None:
    """Return who is to get keys, None if nobody has far less to do."""
    if own.asked_percent < GIVING_PERCENT:
        return None
    able = [
        other
        for other in asked
        if other.takes_keys
        and own.asked_percent - other.asked_percent >= DIFFERENCE_MIN
    ]
    if not able:
        return None

    def cost(other: Utilization) -> float:
        wait_ms = (other.report_in_ms - own.report_in_ms - HAND_OVER_MS) % interval_ms
        return other.asked_percent + REPORT_WEIGHT_PER_S * wait_ms / 1000

    return min(able, key=cost)


def plan_relief(
    table: tables.RangeTable, giver: Giver, receiver: Utilization
) -> tables.RangeTable | None:
    """Return the table in which keys of the giver are to move, None without a cut."""
    owned = tables.list_rows(table, giver.told.owner)
    rows = [row for row in owned if not row.moving_to]
    if not rows or len(rows) >= ROWS_MAX:
        return None
    difference = min(giver.told.asked_percent - receiver.asked_percent, DIFFERENCE_MAX)
    # What a millisecond of work takes of the slots of both, in percent.
    both = _weigh_work(giver.told) + _weigh_work(receiver)
    wanted = difference / both * demands.WINDOW_MS
    piece = _find_piece(rows, giver.samples, wanted)
    if piece is None:
        return None
    planned = []
    for row in table.rows:
        if row.owner != giver.told.owner or not row.first <= piece[0] <= row.last:
            planned.append(row)
            continue
        sizes = [piece[0] - row.first, piece[1] - piece[0] + 1, row.last - piece[1]]
        planned += [
            part._replace(moving_to=receiver.owner) if part.first == piece[0] else part
            for part in tables.split_row(row, sizes)
        ]
    return tables.RangeTable(table.service, table.version + 1, tuple(planned))


def _weigh_work(told: Utilization) -> float:
    return max(told.work_percent, 1) / max(told.slots, 1)


def _find_piece(
    rows: Sequence[tables.Row], samples: Sequence[demands.Sample], wanted: float
) -> tuple[int, int] | None:
    """Return the keys at an end of a row whose work is nearest to what is wanted.

    Parameters
    ----------
    rows : sequence of Row
    samples : sequence of Sample
    wanted : float
        In milliseconds of the samples' work.

    Returns
    -------
    tuple of int or None
        First and last key.
    """
    best, best_off = None, EXCESS_MAX - 1
    for row in rows:
        work_of: dict[int, float] = {}
        for sample in samples:
            if row.first <= sample.key <= row.last:
                work_of[sample.key] = work_of.get(sample.key, 0.0) + sample.work_ms
        keys = sorted(work_of)
        total, before = sum(work_of.values()), 0.0
        for index, key in enumerate(keys):
            # The cut lies between this key and the next one that is asked for.
            before += work_of[key]
            last = (key + keys[index + 1]) // 2 if index + 1 < len(keys) else row.last
            sides = [((row.first, last), before)]
            if last < row.last:
                sides.append(((last + 1, row.last), total - before))
            for piece, work in sides:
                off = abs(work - wanted) / wanted
                too_little = work < EXCESS_MIN * wanted
                if too_little or work > EXCESS_MAX * wanted:
                    continue
                if best is None or off < best_off:
                    best, best_off = piece, off
    return best

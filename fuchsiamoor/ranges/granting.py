"""A daemon's side of range ownership: what the upstream beside it may hold now.

The daemon grants the rows that the table gives to the upstream's incarnation, for as
long as it has evidence that its registration stands, and writes the table itself when
the upstream has let go of a row that is to move.
"""

import bisect
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.ranges import table as tables
from fuchsiamoor.traffic import upstreams

# Time for which a confirmed registration counts, from the sending of the question. A
# store that is away is borne as long, and a lost owner's keys wait as long.
EVIDENCE_MS = 8_500
# Longest hold granted at once: four heartbeats. An upstream that fell silent beside a
# living daemon is replaced after it.
HOLD_MS = 3_500
# An upstream's clock may run this much slow.
CLOCK_SLOWNESS = 0.02
# Margin for the daemon's own rounding of times, in milliseconds.
MARGIN_MS = 20
# Smallest piece that a row is granted in, in keys. An upstream keeps a whole piece
# while it works on any of its keys, so that small ones go sooner.
PIECE_KEYS = 512
# Pieces granted at once; the answer to a heartbeat has room for some hundred rows.
PIECES_MAX = 64
# Shorter holds than this are not worth granting, in milliseconds.
HOLD_MIN_MS = 100


class Grant(NamedTuple):
    """A row granted to the upstream."""

    first: int
    last: int
    fence: int
    handover: str


class Grants(NamedTuple):
    """The answer to a heartbeat: everything that the upstream is to hold.

    Parameters
    ----------
    rows : tuple of Grant
    hold_ms : int
        From the sending of the heartbeat.
    """

    rows: tuple[Grant, ...]
    hold_ms: int


@dataclass(slots=True)
class Granting:
    """State of one run beside one incarnation.

    Parameters
    ----------
    owner : str
    granted_until_ms : int
        Latest end of any hold granted by this run, on its own clock.
    left_out_at : dict of (int, int) to int
        For the keys of each moving row, the sequence of the first heartbeat that was
        answered without them.
    tokens : list of ReleasedRange
        Handed in by the upstream and not yet written.
    served : tuple of Grant
        Rows of the last answer.
    served_until_ms : int
        End of the last answer's hold.
    """

    owner: str
    granted_until_ms: int = 0
    left_out_at: dict[tuple[int, int], int] = field(default_factory=dict)
    tokens: list[upstreams.ReleasedRange] = field(default_factory=list)
    served: tuple[Grant, ...] = ()
    served_until_ms: int = 0


def make_granting(owner: str) -> Granting:
    """Return the state of a run that has granted nothing."""
    return Granting(owner)


def compute_hold_ms(evidence_until_ms: int, hold_max_ms: int, now_ms: int) -> int:
    """Return how long an upstream may hold keys that are granted now.

    Parameters
    ----------
    evidence_until_ms : int
        Monotonic time up to which the registration certainly stands.
    hold_max_ms : int
        Longest hold that the upstream accepts.
    now_ms : int

    Examples
    --------
    >>> compute_hold_ms(5_000, 10_000, 1_000)
    3500
    >>> compute_hold_ms(3_000, 10_000, 1_000)
    1941
    """
    left_ms = (evidence_until_ms - now_ms - MARGIN_MS) / (1 + CLOCK_SLOWNESS)
    return min(int(left_ms), hold_max_ms, HOLD_MS)


def answer_heartbeat(
    granting: Granting,
    table: tables.RangeTable | None,
    heartbeat: upstreams.UpstreamHeartbeat,
    evidence_until_ms: int,
    hold_max_ms: int,
    now_ms: int,
) -> Grants | None:
    """Decide what the upstream holds after this heartbeat; None renews nothing."""
    granting.tokens += heartbeat.released
    if table is None:
        return None
    rows = tables.list_rows(table, granting.owner)
    granting.left_out_at = {
        (row.first, row.last): _left_out_at(granting, row, heartbeat.sequence)
        for row in rows
        if row.moving_to
    }
    hold_ms = compute_hold_ms(evidence_until_ms, hold_max_ms, now_ms)
    if hold_ms < HOLD_MIN_MS:
        return None
    stays = [row for row in rows if not row.moving_to]
    keys = sum(tables.count_keys(row) for row in stays)
    piece_keys = max(PIECE_KEYS, -(-keys // PIECES_MAX))
    held = sorted(heartbeat.held)
    grants = tuple(
        grant for row in stays for grant in _make_grants(row, held, piece_keys)
    )
    granting.served = grants
    granting.served_until_ms = now_ms + hold_ms
    granting.granted_until_ms = max(granting.granted_until_ms, now_ms + hold_ms)
    return Grants(grants, hold_ms)


def _make_grants(
    row: tables.Row, held: Iterable[upstreams.HeldRange], piece_keys: int
) -> Iterable[Grant]:
    """Return what is granted for a row: pieces of it once its keys are held.

    The token names the keys that were released together, which come in one piece.
    """
    is_held = _covers(held, row)
    if not is_held and row.handover:
        yield Grant(row.first, row.last, row.fence, row.handover)
        return
    for first in range(row.first, row.last + 1, piece_keys):
        yield Grant(first, min(first + piece_keys - 1, row.last), row.fence, "")


def _covers(held: Iterable[upstreams.HeldRange], row: tables.Row) -> bool:
    """Return whether what is held, in order, has all keys of a row under its fence."""
    first = row.first
    for item in held:
        if item.fence == row.fence and item.first <= first <= item.last:
            first = item.last + 1
    return first > row.last


def find_grant(granting: Granting, key: int, now_ms: int) -> Grant | None:
    """Return the grant under which the upstream holds a key now, None without one."""
    if now_ms >= granting.served_until_ms:
        return None
    served = granting.served
    index = bisect.bisect_right(served, key, key=_first_of) - 1
    if index < 0 or key > served[index].last:
        return None
    return served[index]


def _first_of(grant: Grant) -> int:
    return grant.first


def _left_out_at(granting: Granting, row: tables.Row, default: int) -> int:
    """Return the first heartbeat answered without a row, which may have been cut."""
    for (first, last), sequence in granting.left_out_at.items():
        if first <= row.first and row.last <= last:
            return sequence
    return default


def plan_releases(
    granting: Granting,
    table: tables.RangeTable,
    heartbeat: upstreams.UpstreamHeartbeat,
) -> tables.RangeTable | None:
    """Return the table in which released keys have their new owners, None if none has.

    Keys go once the upstream was answered without them before this heartbeat, and
    reports that it neither holds nor works on them; the rest of a row stays behind.
    """
    version = table.version + 1
    rows = []
    for row in table.rows:
        if not _was_left_out(granting, row, heartbeat):
            rows.append(row)
            continue
        for piece, is_held in _cut_by_holds(row, heartbeat.held):
            if is_held:
                rows.append(piece)
            else:
                rows += _hand_over(piece, granting.tokens, version)
    if tuple(rows) == table.rows:
        return None
    return tables.RangeTable(table.service, version, tables.merge_rows(rows))


def _was_left_out(
    granting: Granting, row: tables.Row, heartbeat: upstreams.UpstreamHeartbeat
) -> bool:
    if row.owner != granting.owner or not row.moving_to:
        return False
    return _left_out_at(granting, row, heartbeat.sequence) < heartbeat.sequence


def _cut_by_holds(
    row: tables.Row, held: Iterable[upstreams.HeldRange]
) -> list[tuple[tables.Row, bool]]:
    """Cut a row into the pieces that are held and those that are not, in order."""
    pieces, first = [], row.first
    for item in sorted(held):
        if item.last < first or item.first > row.last:
            continue
        if item.first > first:
            pieces.append((row._replace(first=first, last=item.first - 1), False))
        start, end = max(first, item.first), min(item.last, row.last)
        pieces.append((row._replace(first=start, last=end), True))
        first = end + 1
    if first <= row.last:
        pieces.append((row._replace(first=first), False))
    return pieces


def _hand_over(
    row: tables.Row, tokens: Iterable[upstreams.ReleasedRange], version: int
) -> list[tables.Row]:
    """Cut a released row by the tokens that came for it, the newest last."""
    pieces = [tables.Row(row.first, row.last, row.moving_to, version)]
    for token in tokens:
        cut = []
        for piece in pieces:
            first, last = max(piece.first, token.first), min(piece.last, token.last)
            if first > last:
                cut.append(piece)
                continue
            sizes = [first - piece.first, last - first + 1, piece.last - last]
            for part in tables.split_row(piece, sizes):
                is_named = part.first == first
                cut.append(part._replace(handover=token.handover) if is_named else part)
        pieces = cut
    return pieces


def forget_tokens(granting: Granting, table: tables.RangeTable) -> None:
    """Drop the tokens of keys that the incarnation no longer owns in a table."""
    owned = tables.list_rows(table, granting.owner)
    granting.tokens = [
        token
        for token in granting.tokens
        if any(row.first <= token.last and token.first <= row.last for row in owned)
    ]

"""Grants of key ranges by a daemon to its upstream, renewed with every heartbeat.

The daemon grants the rows that the range table assigns to the upstream's incarnation,
for as long as its own registration is certainly valid. Once the upstream has released
keys that are to move, the daemon writes the table with their new owner. A handover
token that the upstream reports with released keys is passed on to the new owner, so
that it starts warm.
"""

import bisect
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.ranges import table as tables
from fuchsiamoor.traffic import upstreams

# Time for which a registration is valid, from the sending of the request that confirmed
# it. Owners keep their keys in a store outage of up to this length; the keys of a lost
# owner wait about as long for a new one.
REGISTRATION_VALID_MS = 8_500
# Longest hold that one heartbeat grants: four heartbeats. An upstream that stops its
# heartbeats while its daemon is alive is replaced after it.
HOLD_MS = 3_500
# Largest ratio by which an upstream's clock may run slow.
CLOCK_DRIFT_RATIO = 0.02
# Margin for the rounding of times in the daemon, in milliseconds.
MARGIN_MS = 20
# Smallest range into which a row is divided for grants, in keys. An upstream holds a
# whole grant while it works on any of its keys, so small grants are released sooner.
GRANT_KEYS_MIN = 512
# Largest number of grants in one answer; the answer to a heartbeat has room for a few
# hundred rows.
GRANTS_MAX = 64
# Largest sum of the encoded grants of one answer, in bytes. An answer of over 4 KiB
# acknowledges nothing; the rest is for its frame.
GRANTS_BYTES_MAX = 3_900
# Brackets, quotes and commas of one grant, in bytes.
GRANT_FRAME_BYTES = 8
# Shorter holds are not granted, in milliseconds.
HOLD_MIN_MS = 100


class Grant(NamedTuple):
    """A key range granted to the upstream, both ends included."""

    first: int
    last: int
    fence: int
    handover: str


class Grants(NamedTuple):
    """The answer to a heartbeat: all ranges that the upstream is to hold.

    Parameters
    ----------
    rows : tuple of Grant
    hold_ms : int
        Duration of the hold, from the sending of the heartbeat.
    """

    rows: tuple[Grant, ...]
    hold_ms: int


@dataclass(slots=True)
class GrantState:
    """Grants of one daemon process to one incarnation of its upstream.

    Parameters
    ----------
    owner : str
    last_hold_until_ms : int
        Latest end of any hold granted by this process, by the daemon's clock.
    excluded_from_sequence : dict of (int, int) to int
        For each moving row, by its keys: sequence number of the first heartbeat that
        was answered without it.
    handover_tokens : list of ReleasedRange
        Released by the upstream and not yet written to the table.
    current_grants : tuple of Grant
        Grants of the last answer.
    current_until_ms : int
        End of the hold of the last answer.
    was_ended : bool
        Whether the incarnation has ever counted as ended, even if it came back.
    """

    owner: str
    last_hold_until_ms: int = 0
    excluded_from_sequence: dict[tuple[int, int], int] = field(default_factory=dict)
    handover_tokens: list[upstreams.ReleasedRange] = field(default_factory=list)
    current_grants: tuple[Grant, ...] = ()
    current_until_ms: int = 0
    was_ended: bool = False


def make_grant_state(owner: str) -> GrantState:
    """Return a state without grants."""
    return GrantState(owner)


def compute_hold_ms(registered_until_ms: int, hold_max_ms: int, now_ms: int) -> int:
    """Return for how long keys may be granted now.

    Parameters
    ----------
    registered_until_ms : int
        Monotonic time until which the registration is certainly valid.
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
    left_ms = (registered_until_ms - now_ms - MARGIN_MS) / (1 + CLOCK_DRIFT_RATIO)
    return min(int(left_ms), hold_max_ms, HOLD_MS)


def answer_heartbeat(
    state: GrantState,
    table: tables.RangeTable | None,
    heartbeat: upstreams.UpstreamHeartbeat,
    registered_until_ms: int,
    hold_max_ms: int,
    now_ms: int,
) -> Grants | None:
    """Return what the upstream may hold after a heartbeat; None renews nothing."""
    state.handover_tokens += heartbeat.released
    if table is None:
        return None
    rows = tables.list_rows(table, state.owner)
    state.excluded_from_sequence = {
        (row.first, row.last): _find_excluded_from_sequence(
            state, row, heartbeat.sequence
        )
        for row in rows
        if row.moving_to
    }
    hold_ms = compute_hold_ms(registered_until_ms, hold_max_ms, now_ms)
    if hold_ms < HOLD_MIN_MS:
        return None
    staying = [row for row in rows if not row.moving_to]
    keys = sum(tables.count_keys(row) for row in staying)
    grant_keys = max(GRANT_KEYS_MIN, -(-keys // GRANTS_MAX))
    held = sorted(heartbeat.held)
    grants = _fit_answer(
        [grant for row in staying for grant in _make_grants(row, held, grant_keys)],
        held,
    )
    state.current_grants = grants
    state.current_until_ms = now_ms + hold_ms
    state.last_hold_until_ms = max(state.last_hold_until_ms, now_ms + hold_ms)
    return Grants(grants, hold_ms)


def _fit_answer(
    grants: list[Grant], held: Iterable[upstreams.HeldRange]
) -> tuple[Grant, ...]:
    """Return the grants for which one answer has room, those that are held first.

    The others follow with later heartbeats. A grant that is held no longer names a
    token, so that it takes less room then.
    """
    if sum(map(_count_bytes, grants)) <= GRANTS_BYTES_MAX:
        return tuple(grants)
    fitting, left_bytes = [], GRANTS_BYTES_MAX
    for grant in sorted(grants, key=lambda grant: not _holds_all_keys(held, grant)):
        size_bytes = _count_bytes(grant)
        if size_bytes <= left_bytes:
            fitting.append(grant)
            left_bytes -= size_bytes
    return tuple(sorted(fitting))


def _count_bytes(grant: Grant) -> int:
    """Return the bytes that a grant takes in an answer, as text."""
    numbers = f"{grant.first}{grant.last}{grant.fence}"
    return len(numbers) + len(grant.handover) + GRANT_FRAME_BYTES


def _make_grants(
    row: tables.Row, held: Iterable[upstreams.HeldRange], grant_keys: int
) -> Iterable[Grant]:
    """Yield the grants of a row: several ranges, or the whole row with its token.

    The token belongs to all keys that were released together, so that a row that is not
    held yet is granted undivided.
    """
    is_held = _holds_all_keys(held, row)
    if not is_held and row.handover:
        yield Grant(row.first, row.last, row.fence, row.handover)
        return
    for first in range(row.first, row.last + 1, grant_keys):
        yield Grant(first, min(first + grant_keys - 1, row.last), row.fence, "")


def _holds_all_keys(
    held: Iterable[upstreams.HeldRange], row: tables.Row | Grant
) -> bool:
    """Return whether sorted ranges cover all keys of a row under its fence."""
    first = row.first
    for item in held:
        if item.fence == row.fence and item.first <= first <= item.last:
            first = item.last + 1
    return first > row.last


def find_grant(state: GrantState, key: int, now_ms: int) -> Grant | None:
    """Return the grant under which the upstream holds a key now, None without one."""
    if now_ms >= state.current_until_ms:
        return None
    current_grants = state.current_grants
    index = bisect.bisect_right(current_grants, key, key=_get_first) - 1
    if index < 0 or key > current_grants[index].last:
        return None
    return current_grants[index]


def _get_first(grant: Grant) -> int:
    return grant.first


def _find_excluded_from_sequence(
    state: GrantState, row: tables.Row, default: int
) -> int:
    """Return the sequence number of the first heartbeat answered without a row.

    The row may be a part of the row that was excluded, which has been split since.
    """
    for (first, last), sequence in state.excluded_from_sequence.items():
        if first <= row.first and row.last <= last:
            return sequence
    return default


def plan_releases(
    state: GrantState,
    table: tables.RangeTable,
    heartbeat: upstreams.UpstreamHeartbeat,
) -> tables.RangeTable | None:
    """Return a table in which released keys have their new owner, None if none has.

    Keys move once an answer to an earlier heartbeat has left them out and the upstream
    reports in this one that it neither holds nor works on them. The rest of a row
    stays.
    """
    version = table.version + 1
    rows = []
    for row in table.rows:
        if not _was_excluded(state, row, heartbeat):
            rows.append(row)
            continue
        for part, is_held in _split_by_held(row, heartbeat.held):
            if is_held:
                rows.append(part)
            else:
                rows += _hand_over(part, state.handover_tokens, version)
    if tuple(rows) == table.rows:
        return None
    return tables.RangeTable(table.service, version, tables.merge_rows(rows))


def _was_excluded(
    state: GrantState, row: tables.Row, heartbeat: upstreams.UpstreamHeartbeat
) -> bool:
    if row.owner != state.owner or not row.moving_to:
        return False
    return (
        _find_excluded_from_sequence(state, row, heartbeat.sequence)
        < heartbeat.sequence
    )


def _split_by_held(
    row: tables.Row, held: Iterable[upstreams.HeldRange]
) -> list[tuple[tables.Row, bool]]:
    """Split a row into parts that are held and parts that are not, in order."""
    parts, first = [], row.first
    for item in sorted(held):
        if item.last < first or item.first > row.last:
            continue
        if item.first > first:
            parts.append((row._replace(first=first, last=item.first - 1), False))
        start, end = max(first, item.first), min(item.last, row.last)
        parts.append((row._replace(first=start, last=end), True))
        first = end + 1
    if first <= row.last:
        parts.append((row._replace(first=first), False))
    return parts


def _hand_over(
    row: tables.Row, handover_tokens: Iterable[upstreams.ReleasedRange], version: int
) -> list[tables.Row]:
    """Assign a released row to its new owner, in parts with one token at most.

    Where several tokens cover a key, the one reported last applies.
    """
    segments = [tables.Row(row.first, row.last, row.moving_to, version)]
    for token in handover_tokens:
        split = []
        for segment in segments:
            first, last = max(segment.first, token.first), min(segment.last, token.last)
            if first > last:
                split.append(segment)
                continue
            sizes = [first - segment.first, last - first + 1, segment.last - last]
            for part in tables.split_row(segment, sizes):
                has_token = part.first == first
                split.append(
                    part._replace(handover=token.handover) if has_token else part
                )
        segments = split
    return segments


def drop_tokens(state: GrantState, table: tables.RangeTable) -> None:
    """Drop the tokens of keys that the incarnation no longer owns in the table."""
    owned = tables.list_rows(table, state.owner)
    state.handover_tokens = [
        token
        for token in state.handover_tokens
        if any(row.first <= token.last and token.first <= row.last for row in owned)
    ]

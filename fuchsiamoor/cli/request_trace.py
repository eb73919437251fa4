"""Extracts one request's log lines and the daemons' state before it.

The input is the logs of all daemons. A line may have other text before its JSON, as
log collectors prepend. Lines that cannot be parsed are skipped and counted.
"""

import json
from collections.abc import Iterable
from typing import NamedTuple, TypedDict

# Events that change a daemon's state; a trace has the last of each before the request.
STATE_EVENTS = frozenset(
    (
        "catalog in force",
        "data centre out of service",
        "range table in force",
        "registered",
        "registration lapsed",
        "started",
        "stopping",
        "store lost",
        "store regained",
        "upstream ended",
        "upstream leaves",
        "upstream started",
    )
)
_COMMON_FIELDS = ("time", "level", "event", "instance")


class LogLine(TypedDict):
    """A parsed log line; each kind of event has further fields."""

    time: str
    level: str
    event: str
    instance: str


class Trace(NamedTuple):
    """Log lines about one request.

    Parameters
    ----------
    lines : list of LogLine
        Lines of the request and of the calls made for it, ordered by time.
    beliefs : list of LogLine
        For each instance with such lines, its last state event of each kind before
        its first line.
    unreadable : int
        Number of lines that could not be parsed.
    """

    lines: list[LogLine]
    beliefs: list[LogLine]
    unreadable: int


def trace_request(request_id: str, logs: Iterable[str]) -> Trace:
    """Find the log lines of a request.

    Parameters
    ----------
    request_id : str
        Calls that an upstream makes for the request have this id, a dot and a suffix.
    logs : iterable of str
        Lines of the daemons' logs, in any order.
    """
    lines: list[LogLine] = []
    state_lines: list[LogLine] = []
    unreadable = 0
    for text in logs:
        line = _read_line(text)
        if line is None:
            unreadable += bool(text.strip())
        elif _belongs_to_request(line, request_id):
            lines.append(line)
        elif line["event"] in STATE_EVENTS:
            state_lines.append(line)
    lines.sort(key=lambda line: line["time"])
    return Trace(lines, _select_state_lines(lines, state_lines), unreadable)


def _read_line(text: str) -> LogLine | None:
    start = text.find("{")
    try:
        line = json.loads(text[start:]) if start >= 0 else None
    except ValueError:
        return None
    if not isinstance(line, dict) or not all(name in line for name in _COMMON_FIELDS):
        return None
    return line


def _belongs_to_request(line: LogLine, request_id: str) -> bool:
    found = str(line.get("request", ""))
    return found == request_id or found.startswith(f"{request_id}.")


def _select_state_lines(
    lines: list[LogLine], state_lines: list[LogLine]
) -> list[LogLine]:
    first_times: dict[str, str] = {}
    for line in lines:
        first_times.setdefault(line["instance"], line["time"])
    latest: dict[tuple[str, str], LogLine] = {}
    for line in sorted(state_lines, key=lambda line: line["time"]):
        instance = line["instance"]
        if instance in first_times and line["time"] <= first_times[instance]:
            latest[instance, line["event"]] = line
    return sorted(latest.values(), key=lambda line: (line["instance"], line["time"]))


def format_trace(request_id: str, trace: Trace) -> str:
    """Return the text of ``explain-request``."""
    if not trace.lines:
        return f"no line names request {request_id}"
    page = [f"request {request_id}", ""]
    page += [_format_line(line) for line in trace.lines]
    page += ["", "state of the daemons before the request:"]
    page += [_format_line(line) for line in trace.beliefs]
    if trace.unreadable:
        page.append(f"{trace.unreadable} lines could not be read")
    return "\n".join(page)


def _format_line(line: LogLine) -> str:
    rest = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in _COMMON_FIELDS
    )
    clock = line["time"].partition("T")[2][:12]
    return f"  {clock} {line['instance']:<15} {line['event']}: {rest}"

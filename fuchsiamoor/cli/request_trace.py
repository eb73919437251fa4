"""The lines of one request, from the logs of all daemons, with what they believed.

A line may have other text before its JSON, as log collectors write. Lines that cannot
be read are passed over and counted.
"""

import json
from collections.abc import Iterable
from typing import NamedTuple, TypedDict

# Events that change what a daemon believes; the last of each before the request counts.
BELIEFS = frozenset(
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
_HEAD = ("time", "level", "event", "instance")


class LogLine(TypedDict):
    """One line, with the fields of its kind of event."""

    time: str
    level: str
    event: str
    instance: str


class Trace(NamedTuple):
    """What the logs say of one request.

    Parameters
    ----------
    lines : list of LogLine
        Of the request and of the calls made for it, in order of time.
    beliefs : list of LogLine
        For each instance among them, the last of each kind before its first line.
    unreadable : int
    """

    lines: list[LogLine]
    beliefs: list[LogLine]
    unreadable: int


def trace_request(request_id: str, logs: Iterable[str]) -> Trace:
    """Gather the lines of a request.

    Parameters
    ----------
    request_id : str
        Calls that an upstream makes for it have this id, a dot and a suffix.
    logs : iterable of str
    """
    lines: list[LogLine] = []
    believed: list[LogLine] = []
    unreadable = 0
    for text in logs:
        line = _read_line(text)
        if line is None:
            unreadable += bool(text.strip())
        elif _concerns(line, request_id):
            lines.append(line)
        elif line["event"] in BELIEFS:
            believed.append(line)
    lines.sort(key=lambda line: line["time"])
    return Trace(lines, _select_beliefs(lines, believed), unreadable)


def _read_line(text: str) -> LogLine | None:
    start = text.find("{")
    try:
        line = json.loads(text[start:]) if start >= 0 else None
    except ValueError:
        return None
    if not isinstance(line, dict) or not all(name in line for name in _HEAD):
        return None
    return line


def _concerns(line: LogLine, request_id: str) -> bool:
    found = str(line.get("request", ""))
    return found == request_id or found.startswith(f"{request_id}.")


def _select_beliefs(lines: list[LogLine], believed: list[LogLine]) -> list[LogLine]:
    first: dict[str, str] = {}
    for line in lines:
        first.setdefault(line["instance"], line["time"])
    latest: dict[tuple[str, str], LogLine] = {}
    for line in sorted(believed, key=lambda line: line["time"]):
        instance = line["instance"]
        if instance in first and line["time"] <= first[instance]:
            latest[instance, line["event"]] = line
    return sorted(latest.values(), key=lambda line: (line["instance"], line["time"]))


def format_trace(request_id: str, trace: Trace) -> str:
    """Return one page on a request."""
    if not trace.lines:
        return f"no line names request {request_id}"
    page = [f"request {request_id}", ""]
    page += [_format_line(line) for line in trace.lines]
    page += ["", "what the daemons believed before:"]
    page += [_format_line(line) for line in trace.beliefs]
    if trace.unreadable:
        page.append(f"{trace.unreadable} lines could not be read")
    return "\n".join(page)


def _format_line(line: LogLine) -> str:
    rest = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in _HEAD
    )
    clock = line["time"].partition("T")[2][:12]
    return f"  {clock} {line['instance']:<15} {line['event']}: {rest}"

"""Structured event log of request processing, rate-limited by kind of event.

Each kind has its own limit of lines a second; events above it are counted, and the
counts are logged. Failed requests have a limit of their own, so that routine lines
never crowd them out. ``docs/EVENTS.md`` lists all kinds; it is generated from `KINDS`.
"""

from collections.abc import Callable
from typing import NamedTuple

from loguru import logger


class Kind(NamedTuple):
    """One kind of event.

    Parameters
    ----------
    name : str
        Value of the line's ``event`` field.
    level : str
    max_per_s : int
        Largest number of lines a second; further events are only counted.
    fields : tuple of str
        Fields in addition to time, level, event and instance.
    meaning : str
        Description for the generated page.
    """

    name: str
    level: str
    max_per_s: int
    fields: tuple[str, ...]
    meaning: str


_REQUEST = ("request", "route", "service", "key")

KINDS = (
    Kind(
        "request served",
        "info",
        10,
        (*_REQUEST, "status", "target", "arrivals", "refusals", "ownerless_ms")
        + ("elapsed_ms", "catalog_version", "table_version"),
        "The entry daemon gave an upstream's answer; target is the instance chosen.",
    ),
    Kind(
        "request not served",
        "info",
        200,
        (*_REQUEST, "status", "reason", "detail", "target", "arrivals", "refusals")
        + ("ownerless_ms", "elapsed_ms", "catalog_version", "table_version"),
        "The entry daemon ended a request with a failure; reason and detail are those "
        "of the last instance that was asked, no-target if there was none.",
    ),
    Kind(
        "request sent again",
        "info",
        50,
        (*_REQUEST, "target", "reason", "arrivals", "tokens"),
        "An upstream had the request and it goes to another; tokens are what is left "
        "of the budget for repeats.",
    ),
    Kind(
        "quota exceeded",
        "info",
        20,
        ("request", "route", "organisation", "retry_after_ms"),
        "A request was refused because its organisation has no credit left.",
    ),
    Kind(
        "request cancelled",
        "info",
        20,
        ("request", "route"),
        "The caller left before its answer.",
    ),
    Kind(
        "run ended",
        "info",
        10,
        ("request", "route", "waited_ms", "run_ms", "status", "running", "waiting")
        + ("work_percent", "cold_for_ms", "fence"),
        "The daemon beside the upstream has its answer; running and waiting are the "
        "gate's figures then.",
    ),
    Kind(
        "run refused",
        "info",
        100,
        ("request", "route", "reason", "detail", "running", "waiting", "work_percent")
        + ("cold_for_ms", "retry_after_ms", "overtaken_percent", "evidence_ms")
        + ("table_version",),
        "The daemon beside the upstream refused the request before it ran; "
        "overtaken_percent is the share of the slots that requests which come before "
        "it have lately filled.",
    ),
    Kind(
        "run cut",
        "warning",
        100,
        ("request", "stopping_for_ms"),
        "A stopping daemon ended while another one waited for this request's answer.",
    ),
    Kind(
        "answer lost",
        "warning",
        100,
        ("request", "route", "reason", "detail", "run_ms"),
        "The upstream had the request and no whole answer came.",
    ),
    Kind(
        "heartbeat waited",
        "info",
        10,
        ("owner", "ranges", "waited_ms"),
        "The upstream's heartbeat was answered, with its keys, once this daemon had "
        "been registered.",
    ),
    Kind(
        "bytes cut",
        "warning",
        10,
        ("part", "size_bytes"),
        "Too many received bytes were held, and the connection with the most of them "
        "was cut; part is what they belong to.",
    ),
)
_BY_NAME = {kind.name: kind for kind in KINDS}
WINDOW_MS = 1_000


class EventLog:
    """Writes events of `KINDS` to the log, within the limit of each kind.

    Parameters
    ----------
    now_ms : callable
        Monotonic time, in milliseconds.
    """

    def __init__(self, now_ms: Callable[[], int]):
        self._now_ms = now_ms
        self._window_start_ms = 0
        self._written: dict[str, int] = {}
        self._dropped: dict[str, int] = {}

    def emit(self, name: str, **fields: object) -> None:
        """Write one event, or count it if its kind has reached its limit."""
        kind = _BY_NAME[name]
        now_ms = self._now_ms()
        if now_ms - self._window_start_ms >= WINDOW_MS:
            self._start_window(now_ms)
        written = self._written.get(name, 0)
        if written >= kind.max_per_s:
            self._dropped[name] = self._dropped.get(name, 0) + 1
            return
        self._written[name] = written + 1
        logger.bind(**fields).log(kind.level.upper(), name)

    def _start_window(self, now_ms: int) -> None:
        self._window_start_ms = now_ms
        self._written.clear()
        if self._dropped:
            dropped, self._dropped = self._dropped, {}
            logger.bind(left_out=dropped).info("events left out")


def format_page() -> str:
    """Return ``docs/EVENTS.md``, the page that lists all kinds of events."""
    lines = [
        "# Events in the log",
        "",
        "Generated by `python -m fuchsiamoor.agent.event_log`. Every line is one JSON",
        "object with `time`, `level`, `event` and `instance`. A kind writes at most",
        "the lines a second given here; `events left out` counts the others, by kind,",
        "and `log lines dropped` what a reader that stood still made the daemon drop.",
        "Changes of what a daemon believes (start, stop, registration, catalog, range",
        "table, upstream, store, evacuation) are few and always written.",
        "",
    ]
    for kind in KINDS:
        lines += [
            f"## {kind.name}",
            "",
            kind.meaning,
            "",
            f"Level {kind.level}, at most {kind.max_per_s} a second. Fields: "
            + ", ".join(f"`{name}`" for name in kind.fields)
            + ".",
            "",
        ]
    return "\n".join(lines)


if __name__ == "__main__":
    print(format_page(), end="")

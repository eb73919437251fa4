import inspect
import re
from pathlib import Path

import loguru

from fuchsiamoor.agent import caller_requests, event_log, local_execution

PAGE = Path(__file__).parents[2] / "docs" / "EVENTS.md"


def _collect(play):
    lines = []
    loguru.logger.remove()
    loguru.logger.add(lambda message: lines.append(message.record), level="DEBUG")
    play()
    return [(line["message"], line["extra"]) for line in lines]


def test_the_events_page_matches_the_kinds():
    assert PAGE.read_text() == event_log.format_page()


def test_each_kind_has_its_own_limit_and_dropped_lines_are_counted():
    clock = [1_000]
    log = event_log.EventLog(lambda: clock[0])

    def play():
        for _ in range(15):
            log.emit("request served", request="a")
        log.emit("answer lost", request="b")
        clock[0] += event_log.WINDOW_MS
        log.emit("request served", request="c")

    lines = _collect(play)
    names = [name for name, _ in lines]
    assert names.count("request served") == 11
    assert names.count("answer lost") == 1
    assert ("events left out", {"left_out": {"request served": 5}}) in lines


def test_every_emitted_event_has_only_fields_of_its_kind():
    kinds = {kind.name: kind for kind in event_log.KINDS}
    source = inspect.getsource(caller_requests) + inspect.getsource(local_execution)
    emitted = re.findall(r'events\.emit\(\s*"([^"]+)"(.*?)\n    +\)', source, re.DOTALL)
    assert emitted
    for name, body in emitted:
        fields = set(re.findall(r"(?<![\w.])(\w+)=(?!=)", body))
        assert fields <= set(kinds[name].fields) | {"status"}, name

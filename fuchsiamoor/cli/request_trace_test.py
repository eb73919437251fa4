import json
import pathlib
import re

import pytest
from typer.testing import CliRunner

from fuchsiamoor.agent import event_log
from fuchsiamoor.cli import main, request_trace

OPERATIONS = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"


def _write(time, instance, event, **fields):
    head = {"time": f"2026-01-01T00:00:{time}", "level": "info"}
    return json.dumps({**head, "event": event, "instance": instance, **fields})


LOGS = [
    "  7.1 node-b " + _write("09.000", "b", "run refused", request="a1.f", reason="x"),
    _write("01.000", "b", "upstream started", owner="b/i@1"),
    _write("05.000", "b", "store lost"),
    _write("02.000", "b", "store lost"),
    _write("08.000", "a", "request not served", request="a1", status=503),
    _write("08.000", "a", "request not served", request="a12", status=503),
    _write("09.500", "b", "store regained"),
    "not a line",
    "",
]


def test_lines_are_ordered_with_the_state_before_the_request():
    trace = request_trace.trace_request("a1", LOGS)
    assert [line["event"] for line in trace.lines] == [
        "request not served",
        "run refused",
    ]
    assert [(line["event"], line["time"][-6:]) for line in trace.beliefs] == [
        ("upstream started", "01.000"),
        ("store lost", "05.000"),
    ]
    assert trace.unreadable == 1


@pytest.mark.parametrize("arguments", [["a1"], ["a1", "--json"]])
def test_command_reads_logs_from_standard_input(arguments):
    found = CliRunner().invoke(
        main.app, ["explain-request", *arguments], input="\n".join(LOGS)
    )
    assert found.exit_code == 0
    assert "run refused" in found.output
    assert "a12" not in found.output


def test_request_without_log_lines_is_wrong_input():
    found = CliRunner().invoke(main.app, ["explain-request", "zz"], input="")
    assert found.exit_code == 2
    assert "no line names request zz" in found.output


def test_log_lines_quoted_on_the_page_have_all_fields_of_their_kind():
    kinds = {kind.name: kind for kind in event_log.KINDS}
    names = "|".join(kinds)
    quoted = re.findall(rf"({names}): (.*)", OPERATIONS.read_text())
    assert len(quoted) >= 3
    for name, rest in quoted:
        fields = re.findall(r"(?:^| )([a-z_]+)=", rest)
        assert fields == [f for f in kinds[name].fields if f in fields]
        assert set(fields) == set(kinds[name].fields)

import io
import json

import loguru
import pytest

from fuchsiamoor.daemon import logs


@pytest.fixture(name="stream")
def _stream():
    stream = io.StringIO()
    logs.make_logger("almaty-1-a", stream)
    yield stream
    loguru.logger.remove()
    loguru.logger.configure(extra={})


def test_line_is_json_with_its_bound_fields(stream):
    loguru.logger.bind(term=3, epoch=9, revision=7).info("shards lost")
    line = json.loads(stream.getvalue())
    assert line.pop("time")
    assert line == {
        "level": "info",
        "event": "shards lost",
        "instance": "almaty-1-a",
        "term": 3,
        "epoch": 9,
        "revision": 7,
    }


def test_any_bound_value_is_written_on_one_line(stream):
    try:
        raise ValueError("two\nlines {braces}")
    except ValueError:
        loguru.logger.bind(value=object(), name="ü\n").exception("failed {x}", x=1)
    assert stream.getvalue().count("\n") == 1
    line = json.loads(stream.getvalue())
    assert line["event"] == "failed 1"
    assert "two" in line["exception"]


def test_debug_lines_are_not_written(stream):
    loguru.logger.debug("every request")
    assert stream.getvalue() == ""

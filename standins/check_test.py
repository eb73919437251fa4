import json

import pytest

from fuchsiamoor.testing.standins_data import make_call, make_run
from standins import check

OTHER = {"run": "r2", "token": "t2"}
REFUSED = {"verdict": "not-run", "status": 503, "answer_token": None}
ABORTED = make_run(**OTHER, instance="b", epoch=4, start_ms=105.0, aborted=True)


def list_breach_kinds(runs, calls):
    return [breach.kind for breach in check.find_breaches(runs, calls)]


@pytest.mark.parametrize(
    ("runs", "calls"),
    [
        pytest.param([make_run()], [make_call()], id="one complete run"),
        pytest.param([], [make_call(**REFUSED)], id="refused"),
        pytest.param([make_run(aborted=True)], [make_call(**REFUSED)], id="aborted"),
        pytest.param([make_run(), ABORTED], [make_call()], id="aborted is no owner"),
        pytest.param(
            [make_run(end_ms=None)],
            [make_call(verdict="may-have-run", answer_token=None)],
            id="lost",
        ),
        pytest.param(
            [make_run(), make_run(run="r2")],
            [make_call(idempotent=True)],
            id="idempotent twice",
        ),
        pytest.param(
            [
                make_run(),
                make_run(**OTHER, instance="b", epoch=6, start_ms=110.0, end_ms=115.0),
            ],
            [make_call(), make_call(token="t2", answer_token="t2", served_by="b")],
            id="moved",
        ),
        pytest.param(
            [make_run(key=""), make_run(**OTHER, key="", instance="b", epoch=0)],
            [
                make_call(key=""),
                make_call(key="", token="t2", answer_token="t2", served_by="b"),
            ],
            id="without a key",
        ),
    ],
)
def test_consistent_records_give_no_breach(runs, calls):
    assert list_breach_kinds(runs, calls) == []


@pytest.mark.parametrize(
    ("runs", "calls", "expected"),
    [
        (
            [make_run(), make_run(**OTHER, instance="b", epoch=6, start_ms=109.0)],
            [],
            ["two owners"],
        ),
        (
            [
                make_run(end_ms=300.0),
                make_run(**OTHER, start_ms=101.0, end_ms=102.0),
                make_run(run="r3", instance="b", epoch=6, start_ms=200.0),
            ],
            [],
            ["two owners"],
        ),
        (
            [make_run(), make_run(**OTHER, epoch=4, start_ms=120.0)],
            [],
            ["lower epoch"],
        ),
        (
            [make_run(), make_run(**OTHER, instance="b", start_ms=120.0)],
            [],
            ["shared epoch"],
        ),
        ([make_run(), make_run(run="r2")], [make_call()], ["run twice"]),
        (
            [make_run(end_ms=None), make_run(run="r2", start_ms=120.0)],
            [make_call()],
            ["run twice"],
        ),
        ([make_run()], [make_call(**REFUSED)], ["not-run ran"]),
        ([make_run(end_ms=None)], [make_call(**REFUSED)], ["not-run ran"]),
        ([make_run()], [make_call(answer_token="t2")], ["wrong answer"]),
        ([], [make_call(**REFUSED | {"answer_token": "t2"})], ["wrong answer"]),
        ([make_run()], [make_call(answer_token=None)], ["wrong answer"]),
        ([], [make_call()], ["ran without a run"]),
        ([make_run(end_ms=None)], [make_call()], ["ran without a run"]),
        ([make_run(aborted=True)], [make_call()], ["ran without a run"]),
        ([make_run()], [make_call(served_by="b")], ["wrong served-by"]),
        ([make_run(region="astana")], [make_call()], ["outside home regions"]),
        ([make_run(tenant="other")], [make_call()], ["altered request"]),
    ],
)
def test_each_kind_of_breach_is_reported(runs, calls, expected):
    assert list_breach_kinds(runs, calls) == expected


def write_lines(path, *lines):
    path.write_text("".join(json.dumps(line) + "\n" for line in lines))


def write_records(directory, run, call):
    start = run._asdict() | {"event": "start"}
    end = {"event": "end", "run": run.run, "end_ms": run.end_ms, "aborted": ""}
    write_lines(directory / "upstream-a.jsonl", start, end)
    record = call._asdict() | {"home_regions": sorted(call.home_regions)}
    write_lines(directory / "caller-1.jsonl", record)


def test_exit_status_reports_breaches_and_missing_records(tmp_path, capsys):
    assert check.check_directory(tmp_path) == 2
    write_records(tmp_path, make_run(), make_call())
    assert check.check_directory(tmp_path) == 0
    with (tmp_path / "upstream-a.jsonl").open("a") as journal:
        journal.write('{"event": "sta')
    assert check.check_directory(tmp_path) == 0
    write_records(tmp_path, make_run(), make_call(**REFUSED))
    assert check.check_directory(tmp_path) == 1
    assert "not-run ran: t1 on a" in capsys.readouterr().out

import json
import pathlib

import httpx
import pytest

from fuchsiamoor.cli import main
from fuchsiamoor.cli.exit_status import ExitStatus
from fuchsiamoor.core import requests, verdicts
from fuchsiamoor.reports import counts, status
from fuchsiamoor.testing import documents_data, reports_data, tool_shell

GOLDEN = pathlib.Path(__file__).parent / "main_golden"
RAN = requests.Answer("r", verdicts.Ran(), 200)
FAILED = requests.Answer("r", verdicts.NotRun(verdicts.Reason.NO_OWNER), 503)


@pytest.fixture(name="shell")
def _shell(tmp_path, monkeypatch):
    return tool_shell.Shell(tmp_path, monkeypatch)


def test_help_of_every_command_matches_the_golden_file(shell):
    shell.run("fuchsiamoor --help")
    for command in main.app.registered_commands:
        shell.run(f"fuchsiamoor {command.name or command.callback.__name__} --help")
    shell.run("fuchsiamoor data-centre out --help")
    shell.run("fuchsiamoor data-centre in --help")
    shell.check_golden(GOLDEN / "help.txt")


def test_output_of_a_first_configuration_and_its_changes(shell):
    shell.write("fleet.json")
    shell.run("fuchsiamoor check fleet.json")
    shell.run("fuchsiamoor diff fleet.json")
    shell.run("fuchsiamoor apply fleet.json")
    shell.run("fuchsiamoor apply fleet.json --based-on 0")
    shell.run("fuchsiamoor diff fleet.json")
    override = documents_data.make_override("data_centre", "almaty-1", tenant="default")
    shell.write("fleet.json", overrides=[override], moves_per_minute=5)
    shell.run("fuchsiamoor diff fleet.json")
    shell.run("fuchsiamoor apply fleet.json --based-on 1")
    shell.run("fuchsiamoor apply fleet.json --based-on 1")
    shell.run("fuchsiamoor data-centre out almaty-2")
    shell.run("fuchsiamoor data-centre out almaty-2")
    shell.run("fuchsiamoor data-centre in moon-1")
    shell.run("fuchsiamoor data-centre in almaty-2")
    shell.run("fuchsiamoor apply fleet.json --based-on 1")
    shell.check_golden(GOLDEN / "changes.txt")


def test_output_for_invalid_files_and_refused_calls(shell):
    shell.write("fleet.json")
    shell.run("fuchsiamoor apply fleet.json --based-on 0")
    shell.write("wrong.json", moves_per_minute=-1, tenant={})
    shell.run("fuchsiamoor check wrong.json")
    shell.run("fuchsiamoor check wrong.json --json")
    shell.run("fuchsiamoor check missing.json")
    held = documents_data.make_override("instance", "almaty-9-a")
    shell.write("held.json", overrides=[held])
    shell.run("fuchsiamoor diff held.json")
    shell.write("moved.json", tenants={"clinics": {"home_regions": ["almaty"]}})
    shell.run("fuchsiamoor diff moved.json")
    shell.run("fuchsiamoor apply moved.json --based-on 1")
    shell.run("fuchsiamoor --daemon nowhere status")
    shell.run("fuchsiamoor explain k --service none")
    shell.run("fuchsiamoor status", FUCHSIAMOOR_OPERATOR_KEY="wrong")
    shell.run("fuchsiamoor --key-file missing.key status")
    shell.check_golden(GOLDEN / "refusals.txt")


def test_concurrent_applies_conflict(shell):
    shell.write("fleet.json")
    shell.run("fuchsiamoor apply fleet.json --based-on 0")
    shell.write("dana.json", moves_per_minute=5)
    shell.write("erik.json", moves_per_minute=6, data_centres_out=["astana-1"])
    shell.run("fuchsiamoor apply dana.json --based-on 1")
    shell.run("fuchsiamoor apply erik.json --based-on 1 --operator erik")
    shell.run("fuchsiamoor apply erik.json --based-on 1 --operator erik --json")
    shell.check_golden(GOLDEN / "race.txt")


def test_apply_output_with_lost_answers_and_slow_daemons(shell):
    shell.write("fleet.json")
    shell.fleet.response_errors = [httpx.ReadError("reset"), httpx.ReadTimeout("late")]
    shell.run("fuchsiamoor apply fleet.json --based-on 0")
    slow = shell.fleet.daemons["10.0.0.3:7003"]
    slow.adopts_after_calls = slow.status_calls + 3
    shell.write("next.json", moves_per_minute=5)
    shell.run("fuchsiamoor apply next.json --based-on 1")
    slow.adopts_after_calls = 10_000
    shell.write("last.json", moves_per_minute=6)
    shell.run("fuchsiamoor apply last.json --based-on 2 --wait-s 2")
    del shell.fleet.daemons["10.0.0.2:7003"]
    shell.run("fuchsiamoor apply last.json --based-on 2 --wait-s 1 --json")
    shell.fleet.response_errors = [httpx.ReadError("reset")] * 20
    shell.run("fuchsiamoor data-centre out almaty-2")
    shell.fleet.daemons.clear()
    shell.run("fuchsiamoor apply last.json --based-on 2")
    shell.check_golden(GOLDEN / "lost.txt")


def test_output_of_status_and_explain(shell):
    shell.write("fleet.json", data_centres_out=["astana-2"])
    shell.run("fuchsiamoor apply fleet.json --based-on 0")
    first, second, third = shell.fleet.daemons.values()
    first.base_status = first.base_status._replace(
        overrides=(
            status.OverrideStatus("stock key k-1 held to almaty-9-a", True, ""),
            status.OverrideStatus("stock held to almaty-1", True, ""),
        )
    )
    second.base_status = second.base_status._replace(
        leaving=True,
        overrides=(
            status.OverrideStatus(
                "stock key k-1 held to almaty-9-a", False, "almaty-9-a is unknown"
            ),
        ),
        domains=(reports_data.make_domain_status(table_revision=10, owned_shards=0),),
    )
    third.base_status = third.base_status._replace(
        ready=False,
        upstream=status.UpstreamStatus("", False, 0, 0),
        domains=(reports_data.make_domain_status(domain="booking@astana", term=7),),
    )
    shell.run("fuchsiamoor status")
    del shell.fleet.daemons["10.0.0.3:7003"]
    shell.run("fuchsiamoor status")
    first.explanation = first.explanation._replace(owner="almaty-2-a#1", lease=None)
    second.explanation = second.explanation._replace(
        owner="almaty-2-a#1", lease=status.LeaseState.VOUCHED, isolated=True
    )
    shell.run("fuchsiamoor explain chair-7 --service stock")
    first.explanation = first.explanation._replace(
        owner="", data_centre="", state="unowned", candidates=(), coordinator=""
    )
    shell.run("fuchsiamoor explain chair-7 --service stock --tenant clinics")
    shell.check_golden(GOLDEN / "status.txt")


def test_output_of_report_with_and_without_counts(shell):
    shell.write("fleet.json")
    shell.run("fuchsiamoor apply fleet.json --based-on 0")
    shell.run("fuchsiamoor report")
    for index, daemon in enumerate(shell.fleet.daemons.values(), start=1):
        made = daemon.metrics
        made.by_period = counts.make_counts(0)
        made.slow_after_us = {"stock": 250_000}
        for minute in range(90):
            made.data_centres_out = frozenset({"almaty-2"} if minute > 85 else ())
            made.flush(minute * counts.MINUTE_MS)
            for number in range(20):
                latency_us = 2_000 * number * index
                made.record_answer("stock", RAN, latency_us)
                made.record_upstream_answer("stock", latency_us)
            if minute > 80 and index == 1:
                made.record_answer("stock", FAILED, 0)
                made.record_answer("stock", RAN, 400_000)
                found = counts.find_current_counts(made.by_period, "stock")
                found.moved_planned += 3 * (minute % 2)
                found.moved_unplanned += 1
                found.unavailable_shard_ms += 1_500
    shell.run("fuchsiamoor report")
    shell.check_golden(GOLDEN / "report.txt")


@pytest.mark.parametrize(
    "line",
    ["status", "report", "configuration", "explain k --service stock", "diff f.json"],
)
def test_reporting_commands_print_json(shell, line):
    shell.write("f.json")
    shell.run("fuchsiamoor apply f.json --based-on 0")
    found = shell.run(f"fuchsiamoor {line} --json")
    assert found.exit_code == ExitStatus.OK
    assert isinstance(json.loads(found.stdout), dict)
    assert found.stderr == ""


def test_printed_configuration_has_no_difference(shell):
    shell.write("fleet.json")
    shell.run("fuchsiamoor apply fleet.json --based-on 0")
    text = shell.run("fuchsiamoor configuration").stdout
    pathlib.Path("printed.json").write_text(text)
    found = shell.run("fuchsiamoor diff printed.json")
    assert found.stdout == "no difference from revision 1\n"

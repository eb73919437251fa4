"""Checks upstream journals against caller records for consistency violations.

``python -m standins.check DIR`` reads ``upstream-*.jsonl`` and ``caller-*.jsonl`` and
prints each breach. A run counts unless its upstream aborted it: a run without a
recorded end may have taken effect. Exit status 0: no breach, 1: breaches, 2: no runs
or no calls.
"""

import argparse
import sys
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from standins import programs


class Run(NamedTuple):
    """A run in an upstream's journal; ``end_ms`` is None if no end was recorded."""

    run: str
    token: str
    service: str
    tenant: str
    key: str
    epoch: int
    region: str
    instance: str
    start_ms: float
    end_ms: float | None
    aborted: bool


class Call(NamedTuple):
    """A request and its outcome in a caller's records."""

    token: str
    service: str
    tenant: str
    key: str
    idempotent: bool
    home_regions: frozenset[str]
    verdict: str
    reason: str
    status: int
    answer_token: str | None
    served_by: str
    sent_ms: float
    received_ms: float


class Breach(NamedTuple):
    """A violation of one of the router's guarantees."""

    kind: str
    detail: str


def read_runs(directory: Path) -> list[Run]:
    """Read the runs from the journals of all upstreams."""
    runs = []
    for path in sorted(directory.glob("upstream-*.jsonl")):
        lines = programs.read_json_lines(path)
        ends = {line["run"]: line for line in lines if line["event"] == "end"}
        for line in lines:
            if line["event"] != "start":
                continue
            end = ends.get(line["run"], {})
            line["end_ms"] = end.get("end_ms")
            line["aborted"] = bool(end.get("aborted"))
            runs.append(Run(**{name: line[name] for name in Run._fields}))
    return runs


def read_calls(directory: Path) -> list[Call]:
    """Read the calls from the records of all callers."""
    calls = []
    for path in sorted(directory.glob("caller-*.jsonl")):
        for line in programs.read_json_lines(path):
            line["home_regions"] = frozenset(line["home_regions"])
            calls.append(Call(**{name: line[name] for name in Call._fields}))
    return calls


def _describe(run: Run) -> str:
    return f"{run.token} on {run.instance} under epoch {run.epoch}"


def _find_ownership_breaches(runs: list[Run]) -> Iterator[Breach]:
    """Find runs of one key that overlap, share an epoch or return to a lower epoch."""
    by_key = defaultdict(list)
    for run in runs:
        if run.key:
            by_key[run.service, run.tenant, run.key].append(run)
    for key, key_runs in by_key.items():
        key_runs.sort(key=lambda run: run.start_ms)
        running: list[Run] = []
        highest_epoch_run = key_runs[0]
        for run in key_runs:
            running = [other for other in running if (other.end_ms or 0) > run.start_ms]
            for other in running:
                if other.instance != run.instance:
                    detail = f"{key}: {_describe(run)}, while {_describe(other)}"
                    yield Breach("two owners", detail)
            detail = f"{key}: {_describe(run)}, after {_describe(highest_epoch_run)}"
            if run.epoch < highest_epoch_run.epoch:
                yield Breach("lower epoch", detail)
            if (
                run.epoch == highest_epoch_run.epoch
                and run.instance != highest_epoch_run.instance
            ):
                yield Breach("shared epoch", detail)
            running.append(run)
            highest_epoch_run = max(highest_epoch_run, run, key=lambda run: run.epoch)


def _find_call_breaches(call: Call, runs: list[Run]) -> Iterator[Breach]:
    described_runs = ", ".join(_describe(run) for run in runs)
    if not call.idempotent and len(runs) > 1:
        yield Breach("run twice", described_runs)
    if call.verdict == "not-run" and runs:
        yield Breach("not-run ran", described_runs)
    if call.verdict == "ran" and not any(run.end_ms for run in runs):
        yield Breach("ran without a run", f"{call.token}: status {call.status}")
        return
    if call.answer_token != call.token and (call.answer_token or call.verdict == "ran"):
        yield Breach("wrong answer", f"{call.token} received {call.answer_token}")
    if call.verdict == "ran" and call.served_by not in {run.instance for run in runs}:
        yield Breach("wrong served-by", f"{call.served_by} for {described_runs}")
    for run in runs:
        if (run.service, run.tenant, run.key) != (call.service, call.tenant, call.key):
            yield Breach("altered request", f"{_describe(run)}: {call} as {run}")
        if run.region not in call.home_regions:
            home_regions = sorted(call.home_regions)
            yield Breach(
                "outside home regions", f"{_describe(run)}, home {home_regions}"
            )


def find_breaches(runs: list[Run], calls: list[Call]) -> list[Breach]:
    """Return every breach found in the runs and calls."""
    effective_runs = [run for run in runs if not run.aborted]
    by_token = defaultdict(list)
    for run in effective_runs:
        by_token[run.token].append(run)
    breaches = list(_find_ownership_breaches(effective_runs))
    for call in calls:
        breaches.extend(_find_call_breaches(call, by_token.pop(call.token, [])))
    return breaches


def check_directory(directory: Path) -> int:
    """Print every breach and a summary; return the exit status."""
    runs, calls = read_runs(directory), read_calls(directory)
    breaches = find_breaches(runs, calls)
    for breach in breaches:
        print(f"{breach.kind}: {breach.detail}")
    aborted = sum(run.aborted for run in runs)
    print(
        f"{len(calls)} calls, {len(runs)} runs ({aborted} aborted), "
        f"{len(breaches)} breaches"
    )
    if not runs or not calls:
        return 2
    return 1 if breaches else 0


def main() -> None:
    """Check the directory given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("directory", type=Path)
    sys.exit(check_directory(parser.parse_args().directory))


if __name__ == "__main__":
    main()

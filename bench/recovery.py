"""Measures how long keys are unavailable after failures and planned moves.

``python -m bench.recovery [--service NAME] [--events kill,pause,...]`` starts all
processes of ``examples/dala.json`` and prints one table. A key's unavailable time is
its longest time without a successful request; the table shows for each event the median
of the affected keys, the worst key, and the verdicts of all requests.
"""

import argparse
import asyncio
import json
import os
import platform
import signal
import statistics
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

from standins import caller, check, deployment, programs

EXAMPLE = programs.REPOSITORY_ROOT / "examples" / "dala.json"
KEY_COUNT = 40
REQUESTS_PER_S = 800
DEADLINE_MS = 5_000
AFFECTED_GAP_MS = 300
BEFORE_MS = 1_000
AFTER_MS = 6_000
SETTLE_MS = 14_000


class Result(NamedTuple):
    """Effect of one event on the requests.

    Parameters
    ----------
    event : str
    gaps_ms : list of float
        Longest time without a successful request for each key, starting with the last
        requests before the event.
    verdicts : dict of str to int
        Number of requests by verdict.
    """

    event: str
    gaps_ms: list[float]
    verdicts: dict[str, int]


class EventContext(NamedTuple):
    """The deployment that an event acts on and the caller that sends requests to it."""

    started: deployment.Deployment
    sender: caller.Caller


Event = Callable[[EventContext], Awaitable[list[str]]]


def _find_busiest_owner(context: EventContext) -> str:
    recent = context.sender.calls[-400:]
    owners = Counter(call.served_by for call in recent if call.served_by)
    return owners.most_common(1)[0][0]


async def _find_coordinator(context: EventContext) -> str:
    _, answer = await deployment.call_operator(context.started, "GET", "/v1/status")
    domain = f"{context.sender.workload.service}@aktobe+almaty+astana"
    for entry in answer["domains"]:
        if entry["domain"] == domain:
            return entry["coordinator"].partition("#")[0]
    raise LookupError(f"no coordinator of {domain} in the status")


def _signal_instances(context: EventContext, names: list[str], number: int) -> None:
    """Signal the processes of instances and stop sending requests to them."""
    urls = deployment.list_urls(context.started)
    for name in names:
        if urls[name] in context.sender.urls:
            context.sender.urls.remove(urls[name])
        deployment.send_signal(context.started, name, number)


async def _kill(context: EventContext) -> list[str]:
    names = [_find_busiest_owner(context)]
    _signal_instances(context, names, signal.SIGKILL)
    return names


async def _kill_coordinator(context: EventContext) -> list[str]:
    names = [await _find_coordinator(context)]
    _signal_instances(context, names, signal.SIGKILL)
    return names


async def _kill_upstream(context: EventContext) -> list[str]:
    name = _find_busiest_owner(context)
    deployment.send_signal(context.started, name, signal.SIGKILL, ["upstream"])
    return [name]


async def _kill_data_centre(context: EventContext) -> list[str]:
    lost = context.started.instances[_find_busiest_owner(context)].spec["data_centre"]
    names = [
        name
        for name, instance in context.started.instances.items()
        if instance.spec["data_centre"] == lost
    ]
    _signal_instances(context, names, signal.SIGKILL)
    return names


async def _pause(context: EventContext) -> list[str]:
    names = [_find_busiest_owner(context)]
    _signal_instances(context, names, signal.SIGSTOP)
    return names


async def _terminate(context: EventContext) -> list[str]:
    name = _find_busiest_owner(context)
    await deployment.terminate(context.started, name, ["daemon"])
    return [name]


async def _take_data_centre_out_and_back(context: EventContext) -> list[str]:
    name = _find_busiest_owner(context)
    out = [context.started.instances[name].spec["data_centre"]]
    await _set_data_centres_out(context, out)
    await asyncio.sleep(AFTER_MS / 1000)
    await _set_data_centres_out(context, [])
    return []


async def _set_data_centres_out(context: EventContext, data_centres: list[str]) -> None:
    _, current = await deployment.call_operator(
        context.started, "GET", "/v1/configuration"
    )
    document = current["document"] | {"data_centres_out": data_centres}
    await deployment.apply_configuration(context.started, document, current["revision"])


EVENTS: dict[str, Event] = {
    "kill": _kill,
    "kill-upstream": _kill_upstream,
    "kill-coordinator": _kill_coordinator,
    "pause": _pause,
    "sigterm": _terminate,
    "data-centre-out-in": _take_data_centre_out_and_back,
    "kill-data-centre": _kill_data_centre,
}


async def _measure(context: EventContext, event: str) -> Result:
    calls = context.sender.calls
    await asyncio.sleep(BEFORE_MS / 1000)
    first_index = len(calls)
    names = await EVENTS[event](context)
    await asyncio.sleep(AFTER_MS / 1000)
    recent = calls[max(0, first_index - 100) :]
    summary = caller.summarize(recent, max(call.received_ms for call in recent))
    await _restore(context, names)
    verdicts = Counter(call.verdict for call in calls[first_index:])
    return Result(event, list(summary.longest_gaps_ms.values()), dict(verdicts))


async def _restore(context: EventContext, names: list[str]) -> None:
    for name in names:
        deployment.send_signal(context.started, name, signal.SIGCONT)
    await asyncio.gather(*(_restart_exited(context.started, name) for name in names))
    await deployment.wait_ready(context.started, names)
    context.sender.urls[:] = deployment.list_urls(context.started).values()
    await asyncio.sleep(SETTLE_MS / 1000)


async def _restart_exited(started: deployment.Deployment, name: str) -> None:
    processes = started.instances[name].processes
    if processes["daemon"].returncode is not None:
        await deployment.start_daemon(started, name)
    if processes["upstream"].returncode is not None:
        await deployment.start_upstream(started, name)


async def run(service: str, events: list[str], timing: dict[str, int]) -> list[Result]:
    """Measure events one after another on the same deployment."""
    example = json.loads(EXAMPLE.read_text())
    example["timing"] = timing
    directory = Path(tempfile.mkdtemp(prefix="fuchsiamoor-recovery-"))
    started = await deployment.start_deployment(example, directory)
    home_regions = {
        tenant: entry["home_regions"]
        for tenant, entry in example["configuration"]["tenants"].items()
    }
    keys = tuple(("default", f"key-{number}") for number in range(KEY_COUNT))
    plan = caller.Workload(
        service, keys, home_regions, REQUESTS_PER_S, deadline_ms=DEADLINE_MS
    )
    urls = list(deployment.list_urls(started).values())
    sender = caller.make_caller(plan, urls, directory / "caller-1.jsonl")
    try:
        caller.start(sender)
        await asyncio.sleep(SETTLE_MS / 1000)
        context = EventContext(started, sender)
        results = [await _measure(context, event) for event in events]
        await caller.stop(sender)
    finally:
        await deployment.stop_deployment(started)
    print(
        f"checker: {'clean' if check.check_directory(directory) == 0 else 'BREACHES'}"
    )
    return results


def print_table(service: str, results: list[Result]) -> None:
    """Print one line for each event."""
    machine = f"{os.cpu_count()} cores, Python {platform.python_version()}"
    print(f"service {service}, {machine}; times in ms")
    print(f"{'event':<20}{'keys':>6}{'median':>8}{'worst':>8}  verdicts")
    for result in results:
        affected = [gap for gap in result.gaps_ms if gap > AFFECTED_GAP_MS]
        median = statistics.median(affected) if affected else 0
        worst = max(result.gaps_ms)
        print(
            f"{result.event:<20}{len(affected):>6}{median:>8.0f}{worst:>8.0f}"
            f"  {result.verdicts}"
        )


def main() -> None:
    """Measure the events given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--service", default="stock")
    parser.add_argument("--events", default=",".join(EVENTS))
    parser.add_argument("--timing", default="{}", help="JSON overrides of the timing")
    options = parser.parse_args()
    results = asyncio.run(
        run(options.service, options.events.split(","), json.loads(options.timing))
    )
    print_table(options.service, results)


if __name__ == "__main__":
    main()

"""Unavailable time for each key under losses and planned moves, over real processes.

``python -m bench.recovery [--service NAME] [--events kill,pause,...]`` starts the whole
of ``examples/dala.json`` and prints one table: for every event the longest time without
a success, over the keys that were affected and in the worst of them, and the requests
that did not run.
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
    """What one event did.

    Parameters
    ----------
    event : str
    gaps_ms : list of float
        Longest time without a success of each key, from just before the event.
    verdicts : dict of str to int
    """

    event: str
    gaps_ms: list[float]
    verdicts: dict[str, int]


class Scene(NamedTuple):
    """What an event acts on."""

    started: deployment.Deployment
    sender: caller.Caller


Event = Callable[[Scene], Awaitable[list[str]]]


def _busiest_owner(scene: Scene) -> str:
    recent = scene.sender.calls[-400:]
    owners = Counter(call.served_by for call in recent if call.served_by)
    return owners.most_common(1)[0][0]


async def _find_coordinator(scene: Scene) -> str:
    _, answer = await deployment.call_operator(scene.started, "GET", "/v1/status")
    domain = f"{scene.sender.workload.service}@aktobe+almaty+astana"
    for entry in answer["domains"]:
        if entry["domain"] == domain:
            return entry["coordinator"].partition("#")[0]
    raise LookupError(f"no coordinator of {domain} in the status")


def _signal(scene: Scene, names: list[str], number: int) -> None:
    urls = deployment.list_urls(scene.started)
    for name in names:
        if urls[name] in scene.sender.urls:
            scene.sender.urls.remove(urls[name])
        deployment.send_signal(scene.started, name, number)


async def _kill(scene: Scene) -> list[str]:
    names = [_busiest_owner(scene)]
    _signal(scene, names, signal.SIGKILL)
    return names


async def _kill_coordinator(scene: Scene) -> list[str]:
    names = [await _find_coordinator(scene)]
    _signal(scene, names, signal.SIGKILL)
    return names


async def _kill_upstream(scene: Scene) -> list[str]:
    name = _busiest_owner(scene)
    deployment.send_signal(scene.started, name, signal.SIGKILL, ["upstream"])
    return [name]


async def _kill_data_centre(scene: Scene) -> list[str]:
    lost = scene.started.instances[_busiest_owner(scene)].spec["data_centre"]
    names = [
        name
        for name, instance in scene.started.instances.items()
        if instance.spec["data_centre"] == lost
    ]
    _signal(scene, names, signal.SIGKILL)
    return names


async def _pause(scene: Scene) -> list[str]:
    names = [_busiest_owner(scene)]
    _signal(scene, names, signal.SIGSTOP)
    return names


async def _terminate(scene: Scene) -> list[str]:
    name = _busiest_owner(scene)
    await deployment.terminate(scene.started, name, ["daemon"])
    return [name]


async def _data_centre_out(scene: Scene) -> list[str]:
    name = _busiest_owner(scene)
    out = [scene.started.instances[name].spec["data_centre"]]
    await _set_out(scene, out)
    await asyncio.sleep(AFTER_MS / 1000)
    await _set_out(scene, [])
    return []


async def _set_out(scene: Scene, data_centres: list[str]) -> None:
    _, in_force = await deployment.call_operator(
        scene.started, "GET", "/v1/configuration"
    )
    document = in_force["document"] | {"data_centres_out": data_centres}
    await deployment.apply_configuration(scene.started, document, in_force["revision"])


EVENTS: dict[str, Event] = {
    "kill": _kill,
    "kill-upstream": _kill_upstream,
    "kill-coordinator": _kill_coordinator,
    "pause": _pause,
    "sigterm": _terminate,
    "data-centre-out-in": _data_centre_out,
    "kill-data-centre": _kill_data_centre,
}


async def _measure(scene: Scene, event: str) -> Result:
    calls = scene.sender.calls
    await asyncio.sleep(BEFORE_MS / 1000)
    first = len(calls)
    names = await EVENTS[event](scene)
    await asyncio.sleep(AFTER_MS / 1000)
    seen = calls[max(0, first - 100) :]
    summary = caller.summarize(seen, max(call.received_ms for call in seen))
    await _restore(scene, names)
    verdicts = Counter(call.verdict for call in calls[first:])
    return Result(event, list(summary.longest_gaps_ms.values()), dict(verdicts))


async def _restore(scene: Scene, names: list[str]) -> None:
    for name in names:
        deployment.send_signal(scene.started, name, signal.SIGCONT)
    await asyncio.gather(*(_start_ended(scene.started, name) for name in names))
    await deployment.wait_ready(scene.started, names)
    scene.sender.urls[:] = deployment.list_urls(scene.started).values()
    await asyncio.sleep(SETTLE_MS / 1000)


async def _start_ended(started: deployment.Deployment, name: str) -> None:
    processes = started.instances[name].processes
    if processes["daemon"].returncode is not None:
        await deployment.start_daemon(started, name)
    if processes["upstream"].returncode is not None:
        await deployment.start_upstream(started, name)


async def run(service: str, events: list[str], timing: dict[str, int]) -> list[Result]:
    """Measure events one after another on one deployment."""
    example = json.loads(EXAMPLE.read_text())
    example["timing"] = timing
    directory = Path(tempfile.mkdtemp(prefix="fuchsiamoor-recovery-"))
    started = await deployment.start_deployment(example, directory)
    homes = {
        tenant: entry["home_regions"]
        for tenant, entry in example["configuration"]["tenants"].items()
    }
    keys = tuple(("default", f"key-{number}") for number in range(KEY_COUNT))
    plan = caller.Workload(
        service, keys, homes, REQUESTS_PER_S, deadline_ms=DEADLINE_MS
    )
    urls = list(deployment.list_urls(started).values())
    sender = caller.make_caller(plan, urls, directory / "caller-1.jsonl")
    try:
        caller.start(sender)
        await asyncio.sleep(SETTLE_MS / 1000)
        scene = Scene(started, sender)
        results = [await _measure(scene, event) for event in events]
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
    """Measure what the command line asks for."""
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

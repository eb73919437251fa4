"""Demonstrates failover and graceful stop on a deployment under load.

Starts ``examples/dala.json``, sends requests, kills an instance that owns keys, stops
another daemon with SIGTERM and runs the checker. Exit status 0 if the
daemon exits with 0, every request sent since its stop has run and the checker finds
no breach.
"""

import argparse
import asyncio
import json
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

from standins import caller, check, deployment, programs

EXAMPLE_PATH = programs.REPOSITORY_ROOT / "examples" / "dala.json"
KEY_COUNT = 60
LOAD_MS = 2000
TENANT = "default"


def _make_workload(
    example: dict, service: str, keyless: bool = False
) -> caller.Workload:
    home_regions = {
        tenant: entry["home_regions"]
        for tenant, entry in example["configuration"]["tenants"].items()
    }
    keys = tuple((TENANT, f"chair-{number}") for number in range(KEY_COUNT))
    if keyless:
        keys = ((TENANT, ""),)
    return caller.Workload(service, keys, home_regions, requests_per_s=100)


def _count_keys_by_owner(calls: list[check.Call]) -> Counter:
    return Counter({call.key: call.served_by for call in calls}.values())


async def _keep_sending(duration_ms: int) -> None:
    await asyncio.sleep(duration_ms / 1000)


async def _wait_until_served(
    sender: caller.Caller, since_ms: float, description: str, *keys: tuple[str, str]
) -> None:
    """Wait until calls sent after ``since_ms`` succeed for the keys, by default all."""

    async def is_served() -> bool:
        successes = caller.find_first_successes(sender, since_ms)
        return successes.keys() >= set(keys or sender.workload.keys)

    await deployment.wait_until(is_served, description)


async def _kill_owner(started: deployment.Deployment, stock: caller.Caller) -> str:
    """Kill the instance that owns a key and wait until another one serves the key."""
    last_success = next(call for call in reversed(stock.calls) if call.verdict == "ran")
    key, owner = last_success.key, last_success.served_by
    killed_ms = programs.monotonic_ms()
    deployment.send_signal(started, owner, signal.SIGKILL)
    print(f"killed {owner} (daemon and upstream), the owner of {key}", flush=True)
    stock.urls.remove(deployment.list_urls(started)[owner])

    await _wait_until_served(stock, killed_ms, f"{key} served again", (TENANT, key))
    success = caller.find_first_successes(stock, killed_ms)[TENANT, key]
    elapsed_ms = success.received_ms - killed_ms
    print(f"{key} is served by {success.served_by}, {elapsed_ms:.0f} ms after the loss")
    return owner


async def _stop_daemon(
    started: deployment.Deployment, name: str, callers: list[caller.Caller]
) -> bool:
    """Stop a daemon with SIGTERM under load; return whether no request was cut."""
    since_ms = programs.monotonic_ms()
    [status] = await deployment.terminate(started, name, ["daemon"])
    elapsed_ms = programs.monotonic_ms() - since_ms
    await _keep_sending(LOAD_MS)
    calls = [
        call for sender in callers for call in sender.calls if call.sent_ms > since_ms
    ]
    verdicts = Counter(call.verdict for call in calls)
    print(f"stopped daemon {name} (SIGTERM): status {status} after {elapsed_ms:.0f} ms")
    print(f"  {len(calls)} requests since then: {dict(verdicts)}", flush=True)
    return status == 0 and verdicts.keys() == {"ran"}


async def run(instance_count: int | None, directory: Path) -> int:
    """Run the demo in a directory; return the exit status."""
    start_ms = programs.monotonic_ms()
    example = json.loads(EXAMPLE_PATH.read_text())
    started = await deployment.start_deployment(example, directory, instance_count)
    try:
        elapsed_ms = programs.monotonic_ms() - start_ms
        count = len(started.instances)
        print(f"started a store and {count} upstreams, each with its daemon")
        print(f"  ready after {elapsed_ms:.0f} ms, files in {directory}", flush=True)
        succeeded = await _run_under_load(started, example)
    finally:
        await deployment.stop_deployment(started)
    print("checking the upstreams' journals against the callers' records")
    status = check.check_directory(directory)
    elapsed_ms = programs.monotonic_ms() - start_ms
    print(
        f"{'passed' if succeeded and status == 0 else 'failed'} in {elapsed_ms:.0f} ms"
    )
    return status if succeeded else 1


async def _run_under_load(started: deployment.Deployment, example: dict) -> bool:
    """Send to two services during failures; return whether the graceful stop worked."""
    urls = list(deployment.list_urls(started).values())
    workloads = [
        _make_workload(example, "stock"),
        _make_workload(example, "booking", keyless=True),
    ]
    senders = [
        caller.make_caller(
            workload, urls, started.directory / f"caller-{workload.service}.jsonl"
        )
        for workload in workloads
    ]
    for sender in senders:
        caller.start(sender)
    try:
        succeeded = await _inject_failures(started, *senders)
    finally:
        summaries = [await caller.stop(sender) for sender in senders]
    for workload, summary in zip(workloads, summaries, strict=True):
        gap_ms = max(summary.longest_gaps_ms.values())
        print(f"{workload.service}: {summary.verdicts}, longest gap {gap_ms:.0f} ms")
    return succeeded


async def _inject_failures(
    started: deployment.Deployment, stock: caller.Caller, booking: caller.Caller
) -> bool:
    start_ms = programs.monotonic_ms()
    await _wait_until_served(stock, 0, "every key served")
    elapsed_ms = programs.monotonic_ms() - start_ms
    print(f"every key is served, {elapsed_ms:.0f} ms after the first request")
    await _keep_sending(LOAD_MS)
    owners = dict(_count_keys_by_owner(stock.calls))
    print(f"owners of {KEY_COUNT} keys of the stock service: {owners}", flush=True)
    killed_owner = await _kill_owner(started, stock)
    booking.urls = list(stock.urls)
    others = [name for name in owners if name and name != killed_owner]
    return await _stop_daemon(started, others[0], [stock, booking])


def main() -> None:
    """Run the demo in a new temporary directory."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--upstreams", type=int, help="how many instances to start")
    options = parser.parse_args()
    directory = Path(tempfile.mkdtemp(prefix="fuchsiamoor-demo-"))
    sys.exit(asyncio.run(run(options.upstreams, directory)))


if __name__ == "__main__":
    main()

"""A deployment under load that loses one owner and stops another daemon gracefully.

Starts ``examples/dala.json``, serves real requests, kills an instance, stops a daemon
with SIGTERM and runs the checker. Exit status 0 if everything held.
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

EXAMPLE = programs.REPOSITORY_ROOT / "examples" / "dala.json"
KEY_COUNT = 60
SERVE_MS = 2000
TENANT = "default"


def _make_plan(example: dict, service: str, keyless: bool = False) -> caller.Workload:
    homes = {
        tenant: entry["home_regions"]
        for tenant, entry in example["configuration"]["tenants"].items()
    }
    keys = tuple((TENANT, f"chair-{number}") for number in range(KEY_COUNT))
    if keyless:
        keys = ((TENANT, ""),)
    return caller.Workload(service, keys, homes, requests_per_s=100)


def _count_owners(calls: list[check.Call]) -> Counter:
    return Counter({call.key: call.served_by for call in calls}.values())


async def _serve_for(duration_ms: int) -> None:
    await asyncio.sleep(duration_ms / 1000)


async def _wait_served(
    sender: caller.Caller, since_ms: float, what: str, *keys: tuple[str, str]
) -> None:
    """Wait until each of the keys has been served since a moment."""

    async def is_served() -> bool:
        served = caller.find_served(sender, since_ms)
        return served.keys() >= set(keys or sender.workload.keys)

    await deployment.wait_until(is_served, what)


async def _lose_owner(started: deployment.Deployment, stock: caller.Caller) -> str:
    """Kill the instance that owns a key and wait until the key is served again."""
    lost = next(call for call in reversed(stock.calls) if call.verdict == "ran")
    key, owner = lost.key, lost.served_by
    killed_ms = programs.monotonic_ms()
    deployment.send_signal(started, owner, signal.SIGKILL)
    print(f"killed {owner} (daemon and upstream), the owner of {key}", flush=True)
    stock.urls.remove(deployment.list_urls(started)[owner])

    await _wait_served(stock, killed_ms, f"{key} served again", (TENANT, key))
    again = caller.find_served(stock, killed_ms)[TENANT, key]
    elapsed_ms = again.received_ms - killed_ms
    print(f"{key} is served by {again.served_by}, {elapsed_ms:.0f} ms after the loss")
    return owner


async def _stop_daemon(
    started: deployment.Deployment, name: str, callers: list[caller.Caller]
) -> bool:
    """Stop a daemon with SIGTERM under load; return whether no request was cut."""
    since_ms = programs.monotonic_ms()
    [status] = await deployment.terminate(started, name, ["daemon"])
    elapsed_ms = programs.monotonic_ms() - since_ms
    await _serve_for(SERVE_MS)
    calls = [
        call for sender in callers for call in sender.calls if call.sent_ms > since_ms
    ]
    verdicts = Counter(call.verdict for call in calls)
    print(f"stopped daemon {name} (SIGTERM): status {status} after {elapsed_ms:.0f} ms")
    print(f"  {len(calls)} requests since then: {dict(verdicts)}", flush=True)
    return status == 0 and verdicts.keys() == {"ran"}


async def run(upstreams: int | None, directory: Path) -> int:
    """Run the demonstration; return the exit status."""
    began_ms = programs.monotonic_ms()
    example = json.loads(EXAMPLE.read_text())
    started = await deployment.start_deployment(example, directory, upstreams)
    try:
        elapsed_ms = programs.monotonic_ms() - began_ms
        count = len(started.instances)
        print(f"started a store and {count} upstreams, each with its daemon")
        print(f"  ready after {elapsed_ms:.0f} ms, files in {directory}", flush=True)
        held = await _demonstrate(started, example)
    finally:
        await deployment.stop_deployment(started)
    print("checking the upstreams' journals against the callers' records")
    status = check.check_directory(directory)
    elapsed_ms = programs.monotonic_ms() - began_ms
    print(f"{'passed' if held and status == 0 else 'failed'} in {elapsed_ms:.0f} ms")
    return status if held else 1


async def _demonstrate(started: deployment.Deployment, example: dict) -> bool:
    """Send to two services at once while instances come and go."""
    urls = list(deployment.list_urls(started).values())
    plans = [_make_plan(example, "stock"), _make_plan(example, "booking", keyless=True)]
    senders = [
        caller.make_caller(
            plan, urls, started.directory / f"caller-{plan.service}.jsonl"
        )
        for plan in plans
    ]
    for sender in senders:
        caller.start(sender)
    try:
        held = await _lose_and_stop(started, *senders)
    finally:
        summaries = [await caller.stop(sender) for sender in senders]
    for plan, summary in zip(plans, summaries, strict=True):
        gap_ms = max(summary.longest_gaps_ms.values())
        print(f"{plan.service}: {summary.verdicts}, longest gap {gap_ms:.0f} ms")
    return held


async def _lose_and_stop(
    started: deployment.Deployment, stock: caller.Caller, booking: caller.Caller
) -> bool:
    began_ms = programs.monotonic_ms()
    await _wait_served(stock, 0, "every key served")
    elapsed_ms = programs.monotonic_ms() - began_ms
    print(f"every key is served, {elapsed_ms:.0f} ms after the first request")
    await _serve_for(SERVE_MS)
    owners = dict(_count_owners(stock.calls))
    print(f"owners of {KEY_COUNT} keys of the stock service: {owners}", flush=True)
    lost = await _lose_owner(started, stock)
    booking.urls = list(stock.urls)
    others = [name for name in owners if name and name != lost]
    return await _stop_daemon(started, others[0], [stock, booking])


def main() -> None:
    """Run on a directory of its own."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--upstreams", type=int, help="how many instances to start")
    options = parser.parse_args()
    directory = Path(tempfile.mkdtemp(prefix="fuchsiamoor-demo-"))
    sys.exit(asyncio.run(run(options.upstreams, directory)))


if __name__ == "__main__":
    main()

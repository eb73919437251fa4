"""End-to-end tests: real processes on a small deployment, closed by the checker."""

import asyncio
import json
import signal
from collections import Counter
from contextlib import asynccontextmanager

import pytest

from standins import caller, check, deployment, programs

EXAMPLE = json.loads((programs.CHECKOUT / "examples" / "dala.json").read_text())
UPSTREAMS = 4
SERVICE = "stock"
KEYS = tuple(("default", f"chair-{number}") for number in range(24))
HOME_REGIONS = {
    tenant: entry["home_regions"]
    for tenant, entry in EXAMPLE["configuration"]["tenants"].items()
}
CALLS_ENOUGH = 100


@asynccontextmanager
async def open_deployment(directory, **options):
    started = await deployment.start_deployment(
        EXAMPLE, directory, UPSTREAMS, **options
    )
    try:
        yield started
    finally:
        await deployment.stop_deployment(started)


@asynccontextmanager
async def open_caller(started, name="1", **changes):
    plan = caller.Plan(SERVICE, KEYS, HOME_REGIONS, **changes)
    urls = list(deployment.list_urls(started).values())
    sender = caller.make_caller(plan, urls, started.directory / f"caller-{name}.jsonl")
    caller.start(sender)
    try:
        yield sender
    finally:
        await caller.stop(sender)


async def wait_for_calls(sender, count=CALLS_ENOUGH):
    wanted = len(sender.calls) + count

    async def is_reached():
        return len(sender.calls) >= wanted

    await deployment.wait_until(is_reached, f"{count} calls")


async def wait_for_every_key(sender, since_ms):
    """Wait until every key has been served by a request sent after a moment."""

    async def is_served():
        return len(caller.find_served(sender, since_ms)) == len(sender.plan.keys)

    await deployment.wait_until(is_served, "every key served")


def busiest_owner(sender):
    owners = Counter(call.served_by for call in sender.calls if call.verdict == "ran")
    return owners.most_common(1)[0][0]


def verdicts_of(sender):
    return set(Counter(call.verdict for call in sender.calls))


def run(directory, scenario, **options):
    async def main():
        async with open_deployment(directory, **options) as started:
            await scenario(started)

    asyncio.run(main())
    assert check.check_directory(directory) == 0


def test_serves_every_key_from_every_daemon(tmp_path):
    async def scenario(started):
        async with open_caller(started) as sender:
            await wait_for_every_key(sender, 0)
            await wait_for_calls(sender)
        assert verdicts_of(sender) == {"ran"}

    run(tmp_path, scenario)


def test_serves_a_tenant_in_its_home_region_only(tmp_path):
    async def scenario(started):
        keys = tuple(("aktobe-clinics", f"chair-{number}") for number in range(8))
        async with open_caller(started) as sender:
            sender.plan = sender.plan._replace(keys=keys)
            await wait_for_every_key(sender, 0)
        served = {call.served_by for call in sender.calls if call.key in dict(keys)}
        assert served <= {"aktobe-1-stock-a", ""}

    run(tmp_path, scenario)


def test_killed_owner_is_replaced(tmp_path):
    async def scenario(started):
        async with open_caller(started) as sender:
            await wait_for_every_key(sender, 0)
            owner = busiest_owner(sender)
            deployment.send_signal(started, owner, signal.SIGKILL)
            killed_ms = programs.monotonic_ms()
            await wait_for_every_key(sender, killed_ms)
            await deployment.start_instance(started, owner)
            await deployment.wait_ready(started, [owner])
            await wait_for_every_key(sender, programs.monotonic_ms())

    run(tmp_path, scenario)


def test_sigterm_of_a_daemon_cuts_no_request(tmp_path):
    async def scenario(started):
        async with open_caller(started, run_ms=50) as sender:
            await wait_for_every_key(sender, 0)
            owner = busiest_owner(sender)
            statuses = await deployment.terminate(started, owner, ["daemon"])
            assert statuses == [0]
            await wait_for_every_key(sender, programs.monotonic_ms())
        assert verdicts_of(sender) == {"ran"}

    run(tmp_path, scenario)


def test_sigterm_of_an_upstream_cuts_no_request(tmp_path):
    async def scenario(started):
        async with open_caller(started, run_ms=50) as sender:
            await wait_for_every_key(sender, 0)
            owner = busiest_owner(sender)
            statuses = await deployment.terminate(started, owner, ["upstream"])
            assert statuses == [0]
            await wait_for_every_key(sender, programs.monotonic_ms())
        assert verdicts_of(sender) == {"ran"}

    run(tmp_path, scenario)


@pytest.mark.parametrize("parts", [["daemon"], ["upstream"], ["daemon", "upstream"]])
def test_paused_owner_returns_as_if_nothing_had_happened(tmp_path, parts):
    async def scenario(started):
        async with open_caller(started, deadline_ms=2000) as sender:
            await wait_for_every_key(sender, 0)
            owner = busiest_owner(sender)
            sender.urls.remove(deployment.list_urls(started)[owner])
            deployment.send_signal(started, owner, signal.SIGSTOP, parts)
            await wait_for_every_key(sender, programs.monotonic_ms())
            deployment.send_signal(started, owner, signal.SIGCONT, parts)
            sender.urls.append(deployment.list_urls(started)[owner])
            await wait_for_calls(sender)
            await wait_for_every_key(sender, programs.monotonic_ms())

    run(tmp_path, scenario)


@pytest.mark.parametrize("mode", ["down", "unavailable", "slow"])
def test_store_outage_stops_no_owner(tmp_path, mode):
    async def scenario(started):
        async with open_caller(started) as sender:
            await wait_for_every_key(sender, 0)
            await deployment.control_store(started, mode, delay_ms=3000)
            await wait_for_calls(sender, 400)
            await deployment.control_store(started, "up")
            await wait_for_every_key(sender, programs.monotonic_ms())
            document = EXAMPLE["configuration"] | {"moves_per_minute": 30}
            revision = await deployment.apply_configuration(started, document, 1)
            assert revision == 2
        assert verdicts_of(sender) == {"ran"}

    run(tmp_path, scenario)


def test_lost_answers_of_the_store_lose_no_assignment(tmp_path):
    async def scenario(started):
        async with open_caller(started) as sender:
            await wait_for_every_key(sender, 0)
            await deployment.control_store(started, "lose-answers", count=3)
            deployment.send_signal(started, busiest_owner(sender), signal.SIGKILL)
            await wait_for_every_key(sender, programs.monotonic_ms())

    run(tmp_path, scenario)

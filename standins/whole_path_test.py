"""End-to-end tests: real processes on a small deployment, closed by the checker."""

import asyncio
import signal

import pytest

from fuchsiamoor.core import keys, members
from standins import caller, deployment, programs, relay
from standins.testing import scenes

OUTAGE_CALLS = 250
BROKEN_LINK_CALLS = 200


def test_serves_every_key_from_every_daemon(run):
    async def scenario(started, name):
        async with scenes.open_caller(started, name) as sender:
            await scenes.wait_for_calls(sender)
        assert scenes.verdicts_of(sender) == {"ran"}

    run(scenario)


def test_serves_a_tenant_in_its_home_region_only(run):
    clinics = tuple(("aktobe-clinics", f"chair-{number}") for number in range(8))

    async def scenario(started, name):
        inside = {"aktobe-1-stock-a"}
        async with scenes.open_caller(
            started, name, keys=clinics, entries=inside
        ) as sender:
            await scenes.wait_for_calls(sender)
            outside = deployment.list_urls(started).keys() - inside
            await refuse_outside(started, f"{name}-outside", outside)
        assert scenes.verdicts_of(sender) == {"ran"}
        assert {call.served_by for call in sender.calls} == inside

    async def refuse_outside(started, name, outside):
        sender = scenes.make_caller(started, name, entries=outside, keys=clinics)
        calls = [
            await caller.call_once(sender, tenant, key, "POST")
            for tenant, key in clinics
        ]
        await caller.stop(sender)
        assert {(call.verdict, call.reason) for call in calls} == {
            ("not-run", "outside-home-regions")
        }

    run(scenario)


def test_killed_owner_is_replaced(run):
    async def scenario(started, name):
        async with scenes.open_caller(started, name) as sender:
            owner = scenes.busiest_owner(sender)
            deployment.send_signal(started, owner, signal.SIGKILL)
            await scenes.wait_for_every_key(sender, programs.monotonic_ms())
            await deployment.restore_instance(started, owner)
            await scenes.wait_for_every_key(sender, programs.monotonic_ms())

    run(scenario)


@pytest.mark.parametrize("parts", [["daemon"], ["upstream"]])
def test_sigterm_cuts_no_request(run, parts):
    async def scenario(started, name):
        async with scenes.open_caller(started, name, run_ms=50) as sender:
            owner = scenes.busiest_owner(sender)
            assert await deployment.terminate(started, owner, parts) == [0]
            await scenes.wait_for_every_key(sender, programs.monotonic_ms())
            await deployment.restore_instance(started, owner)
        assert scenes.verdicts_of(sender) == {"ran"}

    run(scenario)


@pytest.mark.parametrize("parts", [["daemon"], ["upstream"], ["daemon", "upstream"]])
def test_paused_owner_returns_as_if_nothing_had_happened(run, parts):
    async def scenario(started, name):
        async with scenes.open_caller(started, name, deadline_ms=2000) as sender:
            owner = scenes.busiest_owner(sender)
            url = deployment.list_urls(started)[owner]
            sender.urls.remove(url)
            deployment.send_signal(started, owner, signal.SIGSTOP, parts)
            await scenes.wait_for_every_key(sender, programs.monotonic_ms())
            deployment.send_signal(started, owner, signal.SIGCONT, parts)
            sender.urls.append(url)
            await scenes.wait_for_every_key(sender, programs.monotonic_ms())

    run(scenario)


@pytest.mark.parametrize("mode", ["down", "unavailable", "slow"])
def test_store_outage_stops_no_owner(run, mode):
    async def scenario(started, name):
        async with scenes.open_caller(started, name) as sender:
            await deployment.control_store(started, mode, delay_ms=2000)
            await scenes.wait_for_calls(sender, OUTAGE_CALLS)
            await deployment.control_store(started, "up")
            await scenes.wait_for_every_key(sender, programs.monotonic_ms())
        assert scenes.verdicts_of(sender) == {"ran"}

    run(scenario)


def test_lost_answers_of_the_store_lose_no_assignment(run):
    async def scenario(started, name):
        async with scenes.open_caller(started, name) as sender:
            owner = scenes.busiest_owner(sender)
            await deployment.control_store(started, "lose-answers", count=3)
            deployment.send_signal(started, owner, signal.SIGKILL)
            await scenes.wait_for_every_key(sender, programs.monotonic_ms())
            await deployment.restore_instance(started, owner)

    run(scenario)


async def choose_victim(started, role):
    """Return the stock domain's coordinator, or another owner once there is one."""
    domain = keys.make_domain_id(
        scenes.SERVICE, frozenset(scenes.HOME_REGIONS["default"])
    )
    victims = []

    async def is_found():
        _, status = await deployment.call_operator(started, "GET", "/v1/status")
        [view] = [view for view in status["domains"] if view["domain"] == domain]
        coordinator = members.instance_of(view["coordinator"])
        others = view["shards_by_instance"].keys() - {coordinator}
        victims[:] = [coordinator] if role == "coordinator" else sorted(others)
        return bool(victims)

    await deployment.wait_until(is_found, f"{role} found")
    return victims[0]


@pytest.mark.parametrize(
    ("role", "links", "mode"),
    [
        ("coordinator", ["peer"], "cut"),
        ("other", ["peer"], "cut"),
        ("coordinator", ["peer"], "freeze"),
        ("other", ["peer"], "freeze"),
        ("coordinator", ["store"], "freeze"),
        ("other", ["store"], "cut"),
        ("coordinator", ["peer", "store"], "cut"),
        ("other", ["peer", "store"], "freeze"),
    ],
)
def test_daemon_behind_a_broken_link_shares_no_key(run, role, links, mode):
    async def scenario(started, name):
        async with scenes.open_caller(started, name, deadline_ms=2000) as sender:
            victim = await choose_victim(started, role)
            sender.urls.remove(deployment.list_urls(started)[victim])
            placed = [started.relays[f"{victim}/{link}"] for link in links]
            await asyncio.gather(*(relay.set_mode(link, mode) for link in placed))
            await scenes.wait_for_calls(sender, BROKEN_LINK_CALLS)
            await scenes.wait_for_every_key(sender, programs.monotonic_ms())
            await asyncio.gather(*(relay.set_mode(link, "pass") for link in placed))
            await scenes.wait_for_every_key(sender, programs.monotonic_ms())

    run(scenario)

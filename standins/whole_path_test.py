"""End-to-end tests of the request path on real processes, verified by the checker."""

import asyncio
import signal

import pytest

from fuchsiamoor.core import keys, members
from standins import caller, deployment, programs
from standins.testing import end_to_end

OUTAGE_CALLS = 250
BROKEN_LINK_CALLS = 200


def test_serves_every_key_from_every_daemon(run):
    async def scenario(started, name):
        async with end_to_end.open_caller(started, name) as sender:
            await end_to_end.wait_for_calls(sender)
        assert end_to_end.list_verdicts(sender) == {"ran"}

    run(scenario)


def test_serves_a_tenant_in_its_home_region_only(run):
    clinics = tuple(("aktobe-clinics", f"chair-{number}") for number in range(8))

    async def scenario(started, name):
        inside = {"aktobe-1-stock-a"}
        async with end_to_end.open_caller(
            started, name, keys=clinics, entry_instances=inside
        ) as sender:
            await end_to_end.wait_for_calls(sender)
            outside = deployment.list_urls(started).keys() - inside
            await check_refused_outside(started, f"{name}-outside", outside)
        assert end_to_end.list_verdicts(sender) == {"ran"}
        assert {call.served_by for call in sender.calls} == inside

    async def check_refused_outside(started, name, outside):
        sender = end_to_end.make_caller(
            started, name, entry_instances=outside, keys=clinics
        )
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
        async with end_to_end.open_caller(started, name) as sender:
            owner = end_to_end.find_busiest_owner(sender)
            deployment.send_signal(started, owner, signal.SIGKILL)
            await end_to_end.wait_until_all_keys_served(sender, programs.monotonic_ms())
            await deployment.restore_instance(started, owner)
            await end_to_end.wait_until_all_keys_served(sender, programs.monotonic_ms())

    run(scenario)


@pytest.mark.parametrize("parts", [["daemon"], ["upstream"]])
def test_sigterm_cuts_no_request(run, parts):
    async def scenario(started, name):
        async with end_to_end.open_caller(started, name, run_ms=50) as sender:
            owner = end_to_end.find_busiest_owner(sender)
            assert await deployment.terminate(started, owner, parts) == [0]
            await end_to_end.wait_until_all_keys_served(sender, programs.monotonic_ms())
            await deployment.restore_instance(started, owner)
        assert end_to_end.list_verdicts(sender) == {"ran"}

    run(scenario)


@pytest.mark.parametrize("parts", [["daemon"], ["upstream"], ["daemon", "upstream"]])
def test_paused_owner_returns_as_if_nothing_had_happened(run, parts):
    async def scenario(started, name):
        async with end_to_end.open_caller(started, name, deadline_ms=2000) as sender:
            owner = end_to_end.find_busiest_owner(sender)
            url = deployment.list_urls(started)[owner]
            sender.urls.remove(url)
            deployment.send_signal(started, owner, signal.SIGSTOP, parts)
            await end_to_end.wait_until_all_keys_served(sender, programs.monotonic_ms())
            deployment.send_signal(started, owner, signal.SIGCONT, parts)
            sender.urls.append(url)
            await end_to_end.wait_until_all_keys_served(sender, programs.monotonic_ms())

    run(scenario)


@pytest.mark.parametrize("mode", ["down", "unavailable", "slow"])
def test_store_outage_stops_no_owner(run, mode):
    async def scenario(started, name):
        async with end_to_end.open_caller(started, name) as sender:
            await deployment.set_store_mode(started, mode, delay_ms=2000)
            await end_to_end.wait_for_calls(sender, OUTAGE_CALLS)
            await deployment.set_store_mode(started, "up")
            await end_to_end.wait_until_all_keys_served(sender, programs.monotonic_ms())
        assert end_to_end.list_verdicts(sender) == {"ran"}

    run(scenario)


def test_lost_store_answers_lose_no_assignment(run):
    async def scenario(started, name):
        async with end_to_end.open_caller(started, name) as sender:
            owner = end_to_end.find_busiest_owner(sender)
            await deployment.set_store_mode(started, "lose-answers", count=3)
            deployment.send_signal(started, owner, signal.SIGKILL)
            await end_to_end.wait_until_all_keys_served(sender, programs.monotonic_ms())
            await deployment.restore_instance(started, owner)

    run(scenario)


async def choose_instance(started, role):
    """Return the stock domain's coordinator or, for another role, another owner."""
    domain = keys.make_domain_id(
        end_to_end.SERVICE, frozenset(end_to_end.HOME_REGIONS["default"])
    )
    candidates = []

    async def is_found():
        _, status = await deployment.call_operator(started, "GET", "/v1/status")
        [view] = [view for view in status["domains"] if view["domain"] == domain]
        coordinator = members.instance_of(view["coordinator"])
        others = view["shards_by_instance"].keys() - {coordinator}
        candidates[:] = [coordinator] if role == "coordinator" else sorted(others)
        return bool(candidates)

    await deployment.wait_until(is_found, f"{role} found")
    return candidates[0]


async def set_modes(started, instance, links, mode):
    """Set the mode of the relays in front of an instance's links."""
    await asyncio.gather(
        *(
            deployment.set_relay_mode(started, f"{instance}/{link}", mode)
            for link in links
        )
    )


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
def test_key_has_one_owner_while_links_of_a_daemon_are_broken(run, role, links, mode):
    async def scenario(started, name):
        async with end_to_end.open_caller(started, name, deadline_ms=2000) as sender:
            instance = await choose_instance(started, role)
            sender.urls.remove(deployment.list_urls(started)[instance])
            await set_modes(started, instance, links, mode)
            await end_to_end.wait_for_calls(sender, BROKEN_LINK_CALLS)
            await end_to_end.wait_until_all_keys_served(sender, programs.monotonic_ms())
            await set_modes(started, instance, links, "pass")
            await end_to_end.wait_until_all_keys_served(sender, programs.monotonic_ms())

    run(scenario)

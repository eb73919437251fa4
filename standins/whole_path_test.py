"""End-to-end tests: real processes on a small deployment, closed by the checker."""

import asyncio
import json
import signal
from collections import Counter
from contextlib import asynccontextmanager

import pytest

from fuchsiamoor.core import keys, members
from standins import caller, check, deployment, programs, relay

EXAMPLE = json.loads((programs.CHECKOUT / "examples" / "dala.json").read_text())
UPSTREAMS = 4
SERVICE = "stock"
KEYS = tuple(("default", f"chair-{number}") for number in range(24))
HOME_REGIONS = {
    tenant: entry["home_regions"]
    for tenant, entry in EXAMPLE["configuration"]["tenants"].items()
}
CALLS_ENOUGH = 100
OUTAGE_CALLS = 250
BROKEN_LINK_CALLS = 200
SERVED_TIMEOUT_MS = 15_000


RELAYED = [
    spec["instance"]
    for spec in EXAMPLE["instances"][:UPSTREAMS]
    if spec["service"] == SERVICE
]


class Shared:
    """One deployment for all tests; a test that fails has it started anew."""

    def __init__(self, make_directory):
        self.make_directory = make_directory
        self.runner = asyncio.Runner()
        self.started = None

    def stop(self):
        if self.started is not None:
            self.runner.run(deployment.stop_deployment(self.started))
        self.started = None

    def run(self, name, scenario):
        """Run a scenario under load, then the checker over all records so far."""
        if self.started is None:
            starting = deployment.start_deployment(
                EXAMPLE, self.make_directory("deployment"), UPSTREAMS, RELAYED
            )
            self.started = self.runner.run(starting)
        try:
            self.runner.run(scenario(self.started, name))
            assert check.check_directory(self.started.directory) == 0
        except BaseException:
            self.stop()
            raise


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    made = Shared(tmp_path_factory.mktemp)
    yield made
    made.stop()
    made.runner.close()


@pytest.fixture
def run(shared, request):
    return lambda scenario: shared.run(request.node.name, scenario)


def make_caller(started, name, entries=None, **changes):
    plan = caller.Plan(SERVICE, KEYS, HOME_REGIONS)._replace(**changes)
    urls = deployment.list_urls(started)
    entered = [urls[instance] for instance in entries or urls]
    return caller.make_caller(plan, entered, started.directory / f"caller-{name}.jsonl")


@asynccontextmanager
async def open_caller(started, name, **changes):
    """Send requests while the block runs, from the time that every key is served."""
    sender = make_caller(started, name, **changes)
    caller.start(sender)
    try:
        await wait_for_every_key(sender, 0)
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

    await deployment.wait_until(is_served, "every key served", SERVED_TIMEOUT_MS)


def busiest_owner(sender):
    owners = Counter(call.served_by for call in sender.calls if call.verdict == "ran")
    return owners.most_common(1)[0][0]


def verdicts_of(sender):
    return set(Counter(call.verdict for call in sender.calls))


def test_serves_every_key_from_every_daemon(run):
    async def scenario(started, name):
        async with open_caller(started, name) as sender:
            await wait_for_calls(sender)
        assert verdicts_of(sender) == {"ran"}

    run(scenario)


def test_serves_a_tenant_in_its_home_region_only(run):
    clinics = tuple(("aktobe-clinics", f"chair-{number}") for number in range(8))

    async def scenario(started, name):
        inside = {"aktobe-1-stock-a"}
        async with open_caller(started, name, keys=clinics, entries=inside) as sender:
            await wait_for_calls(sender)
            outside = deployment.list_urls(started).keys() - inside
            await refuse_outside(started, f"{name}-outside", outside)
        assert verdicts_of(sender) == {"ran"}
        assert {call.served_by for call in sender.calls} == inside

    async def refuse_outside(started, name, outside):
        sender = make_caller(started, name, entries=outside, keys=clinics)
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
        async with open_caller(started, name) as sender:
            owner = busiest_owner(sender)
            deployment.send_signal(started, owner, signal.SIGKILL)
            await wait_for_every_key(sender, programs.monotonic_ms())
            await deployment.restore_instance(started, owner)
            await wait_for_every_key(sender, programs.monotonic_ms())

    run(scenario)


@pytest.mark.parametrize("parts", [["daemon"], ["upstream"]])
def test_sigterm_cuts_no_request(run, parts):
    async def scenario(started, name):
        async with open_caller(started, name, run_ms=50) as sender:
            owner = busiest_owner(sender)
            assert await deployment.terminate(started, owner, parts) == [0]
            await wait_for_every_key(sender, programs.monotonic_ms())
            await deployment.restore_instance(started, owner)
        assert verdicts_of(sender) == {"ran"}

    run(scenario)


@pytest.mark.parametrize("parts", [["daemon"], ["upstream"], ["daemon", "upstream"]])
def test_paused_owner_returns_as_if_nothing_had_happened(run, parts):
    async def scenario(started, name):
        async with open_caller(started, name, deadline_ms=2000) as sender:
            owner = busiest_owner(sender)
            url = deployment.list_urls(started)[owner]
            sender.urls.remove(url)
            deployment.send_signal(started, owner, signal.SIGSTOP, parts)
            await wait_for_every_key(sender, programs.monotonic_ms())
            deployment.send_signal(started, owner, signal.SIGCONT, parts)
            sender.urls.append(url)
            await wait_for_every_key(sender, programs.monotonic_ms())

    run(scenario)


@pytest.mark.parametrize("mode", ["down", "unavailable", "slow"])
def test_store_outage_stops_no_owner(run, mode):
    async def scenario(started, name):
        async with open_caller(started, name) as sender:
            await deployment.control_store(started, mode, delay_ms=2000)
            await wait_for_calls(sender, OUTAGE_CALLS)
            await deployment.control_store(started, "up")
            await wait_for_every_key(sender, programs.monotonic_ms())
        assert verdicts_of(sender) == {"ran"}

    run(scenario)


def test_lost_answers_of_the_store_lose_no_assignment(run):
    async def scenario(started, name):
        async with open_caller(started, name) as sender:
            owner = busiest_owner(sender)
            await deployment.control_store(started, "lose-answers", count=3)
            deployment.send_signal(started, owner, signal.SIGKILL)
            await wait_for_every_key(sender, programs.monotonic_ms())
            await deployment.restore_instance(started, owner)

    run(scenario)


async def choose_victim(started, role):
    """Return the stock domain's coordinator, or another owner once there is one."""
    domain = keys.make_domain_id(SERVICE, frozenset(HOME_REGIONS["default"]))
    victims = []

    async def is_found():
        _, status = await deployment.ask_operator(started, "GET", "/v1/status")
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
        async with open_caller(started, name, deadline_ms=2000) as sender:
            victim = await choose_victim(started, role)
            sender.urls.remove(deployment.list_urls(started)[victim])
            placed = [started.relays[f"{victim}/{link}"] for link in links]
            await asyncio.gather(*(relay.set_mode(link, mode) for link in placed))
            await wait_for_calls(sender, BROKEN_LINK_CALLS)
            await wait_for_every_key(sender, programs.monotonic_ms())
            await asyncio.gather(*(relay.set_mode(link, "pass") for link in placed))
            await wait_for_every_key(sender, programs.monotonic_ms())

    run(scenario)

"""Scenes for end-to-end tests: one small deployment, callers, and what to wait for."""

import asyncio
import json
from collections import Counter
from contextlib import asynccontextmanager

from standins import caller, check, deployment, programs

EXAMPLE = json.loads((programs.REPOSITORY_ROOT / "examples" / "dala.json").read_text())
UPSTREAMS = 4
SERVICE = "stock"
KEYS = tuple(("default", f"chair-{number}") for number in range(24))
HOME_REGIONS = {
    tenant: entry["home_regions"]
    for tenant, entry in EXAMPLE["configuration"]["tenants"].items()
}
CALLS_ENOUGH = 100
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
        """Stop the deployment if it runs."""
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


def make_caller(started, name, entries=None, **changes):
    """Return a caller of the keys, which enters at the instances named."""
    plan = caller.Workload(SERVICE, KEYS, HOME_REGIONS)._replace(**changes)
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
    """Wait until the caller has so many more endings."""
    wanted = len(sender.calls) + count

    async def is_reached():
        return len(sender.calls) >= wanted

    await deployment.wait_until(is_reached, f"{count} calls")


async def wait_for_every_key(sender, since_ms):
    """Wait until every key has been served by a request sent after a moment."""

    async def is_served():
        return len(caller.find_served(sender, since_ms)) == len(sender.workload.keys)

    await deployment.wait_until(is_served, "every key served", SERVED_TIMEOUT_MS)


def busiest_owner(sender):
    """Return the instance that has served most."""
    owners = Counter(call.served_by for call in sender.calls if call.verdict == "ran")
    return owners.most_common(1)[0][0]


def verdicts_of(sender):
    """Return the verdicts that the caller has been given."""
    return set(Counter(call.verdict for call in sender.calls))

"""Fixtures for end-to-end tests: a shared deployment, callers and wait conditions."""

import asyncio
import json
from collections import Counter
from contextlib import asynccontextmanager

from standins import caller, check, deployment, programs

EXAMPLE = json.loads((programs.REPOSITORY_ROOT / "examples" / "dala.json").read_text())
INSTANCE_COUNT = 4
SERVICE = "stock"
KEYS = tuple(("default", f"chair-{number}") for number in range(24))
HOME_REGIONS = {
    tenant: entry["home_regions"]
    for tenant, entry in EXAMPLE["configuration"]["tenants"].items()
}
DEFAULT_CALL_COUNT = 100
SERVED_TIMEOUT_MS = 15_000


RELAYED_INSTANCES = [
    spec["instance"]
    for spec in EXAMPLE["instances"][:INSTANCE_COUNT]
    if spec["service"] == SERVICE
]


class SharedDeployment:
    """One deployment for all tests; it is replaced after a test that fails."""

    def __init__(self, make_directory):
        self.make_directory = make_directory
        self.runner = asyncio.Runner()
        self.started = None

    def stop(self):
        """Stop the deployment if it is running."""
        if self.started is not None:
            self.runner.run(deployment.stop_deployment(self.started))
        self.started = None

    def run(self, name, scenario):
        """Run a scenario, then run the checker on all records of the deployment."""
        if self.started is None:
            starting = deployment.start_deployment(
                EXAMPLE,
                self.make_directory("deployment"),
                INSTANCE_COUNT,
                RELAYED_INSTANCES,
            )
            self.started = self.runner.run(starting)
        try:
            self.runner.run(scenario(self.started, name))
            assert check.check_directory(self.started.directory) == 0
        except BaseException:
            self.stop()
            raise


def make_caller(started, name, entry_instances=None, **changes):
    """Return a caller that sends to the given instances, by default to all."""
    workload = caller.Workload(SERVICE, KEYS, HOME_REGIONS)._replace(**changes)
    urls = deployment.list_urls(started)
    entry_urls = [urls[instance] for instance in entry_instances or urls]
    return caller.make_caller(
        workload, entry_urls, started.directory / f"caller-{name}.jsonl"
    )


@asynccontextmanager
async def open_caller(started, name, **changes):
    """Send requests while the block runs; it starts once every key has been served."""
    sender = make_caller(started, name, **changes)
    caller.start(sender)
    try:
        await wait_until_all_keys_served(sender, 0)
        yield sender
    finally:
        await caller.stop(sender)


async def wait_for_calls(sender, count=DEFAULT_CALL_COUNT):
    """Wait until the caller has recorded ``count`` more calls."""
    target_count = len(sender.calls) + count

    async def is_reached():
        return len(sender.calls) >= target_count

    await deployment.wait_until(is_reached, f"{count} calls")


async def wait_until_all_keys_served(sender, since_ms):
    """Wait until every key has been served by a call sent after ``since_ms``."""

    async def is_served():
        return len(caller.find_first_successes(sender, since_ms)) == len(
            sender.workload.keys
        )

    await deployment.wait_until(is_served, "every key served", SERVED_TIMEOUT_MS)


def find_busiest_owner(sender):
    """Return the instance that has served the most calls."""
    calls_by_owner = Counter(
        call.served_by for call in sender.calls if call.verdict == "ran"
    )
    return calls_by_owner.most_common(1)[0][0]


def list_verdicts(sender):
    """Return the set of verdicts that the caller has received."""
    return set(Counter(call.verdict for call in sender.calls))

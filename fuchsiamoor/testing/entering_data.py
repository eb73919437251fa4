"""Test data for a daemon that callers ask: links by script, endings and requests."""

import asyncio

from fuchsiamoor.agent import lifecycle, registrations
from fuchsiamoor.agent.http_server import HttpRequest
from fuchsiamoor.core import carried
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.testing import traffic_data, virtual_time

OPEN = carried.Load(0, 0, 18, 100, 0, True)


class ScriptedLinks:
    """Links whose calls end as a script says; it gives endings by instance."""

    def __init__(self, script):
        self.script = script
        self.calls = []
        self.told = []

    async def call(self, member, message, timeout_ms):
        """Return what the script says for an instance."""
        self.calls.append((member.instance, message))
        await asyncio.sleep(0.005)
        return await self.script(member.instance, message)

    def tell(self, member, message):
        """Keep a message."""
        self.told.append(message)


def make_ending(verdict, status=0, **changes) -> carried.CarriedAnswer:
    """Return the ending of a request at an open instance, with fields changed."""
    ending = carried.CarriedAnswer(verdict, status, (), b"x", True, 50, 0, OPEN, 1)
    return ending._replace(**changes)


RAN = make_ending(Ran(), 200)
FULL = make_ending(
    NotRun(Reason.OVER_LIMIT), has_arrived=False, retry_after_ms=100, body=b""
)
LOST = make_ending(MayHaveRun(Reason.UPSTREAM_LOST))


def make_agent(script, *instances, service=traffic_data.PLAIN_SERVICE, catalog=None):
    """Return a daemon that knows some instances of a service."""
    settings = traffic_data.make_settings("10.0.0.1", service="callers")
    agent = lifecycle.make_agent(settings, traffic_data.make_dialect(), None)
    agent.now_ms = virtual_time.now_ms
    agent.links = ScriptedLinks(script)
    agent.cache.catalog = catalog or traffic_data.make_catalog()
    for instance in instances:
        agent.cache.directory.registered[instance] = make_registration(
            instance, service
        )
    return agent


def make_registration(instance, service) -> registrations.Registration:
    """Return the registration of a warm upstream."""
    return registrations.Registration(
        instance=instance,
        run="r",
        peer_host=instance,
        peer_port=1,
        region="north",
        data_centre="north-1",
        service=service,
        owner=f"{instance}/i@1",
        ended="",
        slots=18,
        is_open=True,
        lease_id="",
    )


def make_request(target="/read/1", key=-1, wait_ms=1_000) -> HttpRequest:
    """Return a caller's request as the plain dialect reads it."""
    headers = (
        (b"host", b"shop.example"),
        (b"x-request", b"a1"),
        (b"x-key", b"%d" % key),
        (b"x-wait", b"%d" % wait_ms),
    )
    return HttpRequest("GET", target, headers, b"")


def always(ending):
    """Return a script that ends every call in the same way."""

    async def answer(instance, message):
        return ending

    return answer

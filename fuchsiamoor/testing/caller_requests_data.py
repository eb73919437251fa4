"""Test data for caller requests: a daemon with scripted peers, outcomes, requests."""

import asyncio

from fuchsiamoor.agent import lifecycle, registrations
from fuchsiamoor.agent.http_server import HttpRequest
from fuchsiamoor.core import carried, errors, messages
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.testing import registrations_data, traffic_data, virtual_time

OPEN = carried.Load(0, 0, 18, 100, 0, True)


class ScriptedLinks:
    """Peer links that record messages; a script returns the outcome of each call."""

    def __init__(self, script):
        self.script = script
        self.calls = []
        self.sent = []
        self.asked = []
        self.loads = {}
        self.silent = set()

    async def call(self, member, message, timeout_ms):
        """Record a call and return the script's outcome for the instance.

        A question for the load of an instance is answered from ``loads``; those that
        are not in there are open and idle.
        """
        if isinstance(message, messages.AskLoad):
            self.asked.append(member.instance)
            if member.instance in self.silent:
                await asyncio.sleep(timeout_ms / 1000)
                raise errors.PeerTimeoutError(member.instance)
            await asyncio.sleep(0.001)
            return messages.LoadReport(self.loads.get(member.instance, OPEN))
        self.calls.append((member.instance, message))
        await asyncio.sleep(0.005)
        return await self.script(member.instance, message)

    def tell(self, member, message):
        """Record a message that has no answer."""
        self.sent.append(message)


def make_outcome(verdict, status=0, **changes) -> carried.CarriedAnswer:
    """Return the outcome of a request at an open instance, with fields changed."""
    outcome = carried.CarriedAnswer(
        verdict, status, (), b"x", True, 50, False, 0, OPEN, 1
    )
    return outcome._replace(**changes)


RAN = make_outcome(Ran(), 200)
FULL = make_outcome(
    NotRun(Reason.OVER_LIMIT), has_arrived=False, retry_after_ms=100, body=b""
)
LOST = make_outcome(MayHaveRun(Reason.UPSTREAM_LOST))


def make_agent(script, *instances, service=traffic_data.PLAIN_SERVICE, catalog=None):
    """Return a daemon whose directory lists some instances of a service."""
    settings = traffic_data.make_settings("10.0.0.1", service="callers")
    agent = lifecycle.make_agent(settings, traffic_data.make_dialect(), None)
    agent.cache.is_loaded = True
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
    return registrations_data.make_registration(
        instance, peer_host=instance, service=service, owner=f"{instance}/i@1"
    )


def make_request(
    target="/read/1", key=-1, wait_ms=1_000, parent_id="", secret=b""
) -> HttpRequest:
    """Return a caller's request in the format of the plain test dialect.

    With ``secret``, it carries this key of an organisation.
    """
    headers = (
        (b"host", b"shop.example"),
        (b"x-request", b"a1"),
        (b"x-key", b"%d" % key),
        (b"x-wait", b"%d" % wait_ms),
        (b"x-parent", parent_id.encode()),
        *([(b"x-secret", secret)] if secret else []),
    )
    return HttpRequest("GET", target, headers, b"")


def always(outcome):
    """Return a script that gives every call the same outcome."""

    async def answer(instance, message):
        return outcome

    return answer

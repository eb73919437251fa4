"""Uploads to an instance behind a slow link, beside small calls to the same instance.

Many bodies on their way at once fill the link's queue, and calls that other upstreams
wait for come too late. Bodies come a few at a time instead, and one that would not be
admitted is refused before it is sent.
"""

import asyncio
import random

import pytest

from fuchsiamoor.agent import caller_requests, lifecycle, local_execution, transfers
from fuchsiamoor.agent.http_server import HttpRequest
from fuchsiamoor.core import errors, messages
from fuchsiamoor.core.carried import CarriedAnswer, CarriedRequest
from fuchsiamoor.core.verdicts import NotRun, Reason
from fuchsiamoor.testing import caller_requests_data, traffic_data, virtual_time
from fuchsiamoor.testing.caller_requests_data import RAN, always, make_agent
from fuchsiamoor.traffic import admission

BODY = random.Random(1).randbytes(transfers.LARGE_BODY_BYTES)
UPLOAD = random.Random(2).randbytes(60_000)
# Time in which a call must be answered on a site with such links.
CALL_TARGET_MS = 205
REFUSED = caller_requests_data.FULL


class SlowLink:
    """A link into one instance that carries messages one after another."""

    def __init__(self, bytes_per_ms):
        self.bytes_per_ms = bytes_per_ms
        self.free_at_ms = 0.0

    async def carry(self, size_bytes):
        """Wait until a message of this size has arrived; return the delay."""
        sent_ms = virtual_time.now_ms()
        self.free_at_ms = max(self.free_at_ms, sent_ms) + size_bytes / self.bytes_per_ms
        await asyncio.sleep((self.free_at_ms - sent_ms) / 1000)
        return virtual_time.now_ms() - sent_ms


async def upload(link, granted, number):
    """Send a body at once, or in parts after a grant."""
    if granted is None:
        await link.carry(len(UPLOAD))
        return
    request_id = f"u{number}"
    await transfers.wait_for_grant(granted, request_id, virtual_time.now_ms)
    offsets = iter(range(0, len(UPLOAD), transfers.PART_BYTES))

    async def send_next():
        for offset in offsets:
            part = UPLOAD[offset : offset + transfers.PART_BYTES]
            await link.carry(len(part))
            assert transfers.add_part(
                granted, request_id, offset, part, virtual_time.now_ms()
            )

    await asyncio.gather(*(send_next() for _ in range(transfers.PARTS_MAX)))
    assert (
        transfers.take_body(granted, request_id, len(UPLOAD), virtual_time.now_ms())
        == UPLOAD
    )


async def call_often(link, delays_ms):
    while True:
        delays_ms.append(await link.carry(500))
        await asyncio.sleep(0.02)


@pytest.mark.parametrize(("is_granted", "is_delayed"), [(False, True), (True, False)])
def test_calls_do_not_wait_behind_many_bodies(is_granted, is_delayed):
    async def play():
        link, delays_ms = SlowLink(bytes_per_ms=625), []
        granted = transfers.Transfers() if is_granted else None
        calling = asyncio.create_task(call_often(link, delays_ms))
        await asyncio.gather(*(upload(link, granted, n) for n in range(12)))
        elapsed_ms = virtual_time.now_ms()
        await asyncio.sleep(0.1)
        calling.cancel()
        return max(delays_ms), elapsed_ms

    longest_ms, elapsed_ms = virtual_time.run(play())
    assert (longest_ms > 1_000) == is_delayed
    assert (longest_ms < CALL_TARGET_MS / 2) == is_granted
    # The link is as busy with bodies either way.
    assert elapsed_ms < 1_300


def test_a_body_that_never_comes_makes_room_after_a_while():
    async def play():
        granted = transfers.Transfers()
        waits = [
            asyncio.create_task(
                transfers.wait_for_grant(granted, f"u{n}", virtual_time.now_ms)
            )
            for n in range(transfers.GRANTS_MAX + 1)
        ]
        await asyncio.sleep(0.1)
        at_once = [wait.done() for wait in waits]
        await asyncio.gather(*waits)
        return at_once, virtual_time.now_ms()

    at_once, elapsed_ms = virtual_time.run(play())
    assert at_once == [True] * transfers.GRANTS_MAX + [False]
    assert elapsed_ms <= 2 * transfers.GRANT_EXPIRY_MS


def test_a_request_that_asks_again_waits_once():
    async def play():
        granted = transfers.Transfers()
        names = [f"u{n}" for n in range(transfers.GRANTS_MAX)] + ["v", "v"]
        waits = [
            asyncio.create_task(
                transfers.wait_for_grant(granted, name, virtual_time.now_ms)
            )
            for name in names
        ]
        return await asyncio.gather(*waits)

    expected = [True] * transfers.GRANTS_MAX + [False, True]
    assert virtual_time.run(play()) == expected


def test_the_body_of_a_caller_that_left_is_not_waited_for():
    async def play():
        granted = transfers.Transfers()
        waits = [
            asyncio.create_task(
                transfers.wait_for_grant(granted, f"u{n}", virtual_time.now_ms)
            )
            for n in range(transfers.GRANTS_MAX + 2)
        ]
        await asyncio.sleep(0.1)
        transfers.cancel(granted, f"u{transfers.GRANTS_MAX}", virtual_time.now_ms())
        transfers.cancel(granted, "u0", virtual_time.now_ms())
        answers = await asyncio.gather(*waits)
        return answers, virtual_time.now_ms(), len(granted.waiting)

    expected = [True] * transfers.GRANTS_MAX + [False, True]
    assert virtual_time.run(play()) == (expected, 100, 0)


def post(body):
    headers = ((b"host", b"shop.example"), (b"x-request", b"a1"), (b"x-wait", b"1000"))
    return HttpRequest("POST", "/read/1", headers, body)


def ask(script, body):
    async def play():
        agent = make_agent(script, "10.0.0.2")
        answer = await caller_requests.handle(agent, post(body))
        sent = [message for _, message in agent.links.calls]
        return answer, sent, agent.links.sent

    return virtual_time.run(play())


def test_a_large_body_is_sent_once_it_was_granted_and_a_small_one_at_once():
    async def grant(instance, message):
        match message:
            case messages.AskTransfer():
                await asyncio.sleep(0.2)
                return messages.TransferGranted()
            case messages.BodyPart():
                return messages.TransferGranted()
        return RAN

    answer, (asked, *parts, carried), _ = ask(grant, BODY)
    assert answer.status == 200
    assert (asked.request.body, asked.body_bytes) == (b"", len(BODY))
    assert b"".join(part.content for part in parts) == BODY
    assert (carried.body, carried.body_ahead_bytes) == (b"", len(BODY))
    assert asked.request.remaining_ms - carried.remaining_ms >= 200
    _, sent, _ = ask(grant, BODY[1:])
    assert [type(message) for message in sent] == [CarriedRequest]


def test_a_request_is_not_sent_if_a_part_of_its_body_is_lost():
    async def answer(instance, message):
        match message:
            case messages.AskTransfer():
                return messages.TransferGranted()
            case messages.BodyPart(offset_bytes=0):
                return messages.TransferGranted()
            case messages.BodyPart():
                raise errors.PeerTimeoutError(instance)
        raise AssertionError(message)

    response, _, told = ask(answer, BODY)
    assert response.status == 503
    assert messages.Cancel("a1") in told


@pytest.mark.parametrize("ending", ["refused", "lost", "silent"])
def test_a_body_that_is_not_granted_is_not_sent_and_has_not_run(ending):
    async def answer(instance, message):
        assert isinstance(message, messages.AskTransfer)
        if ending == "lost":
            raise errors.PeerLinkLostError(instance)
        if ending == "silent":
            await asyncio.sleep(message.request.remaining_ms / 1000)
            raise errors.PeerTimeoutError(instance)
        return REFUSED

    response, sent, told = ask(answer, BODY)
    assert response.status == 503
    assert {type(message) for message in sent} == {messages.AskTransfer}
    if ending != "refused":
        assert messages.Cancel("a1") in told


def make_receiver(slots):
    agent = make_agent(always(RAN))
    agent.upstream.service = traffic_data.PLAIN_SERVICE
    agent.upstream.incarnation = traffic_data.make_heartbeat().incarnation
    agent.upstream.admission_queue = admission.make_admission_queue(slots, 0.0, 0)
    return agent


def ask_receiver(agent, **changes):
    request = traffic_data.make_carried_request(**changes)
    asked = messages.AskTransfer(request, len(BODY))

    async def play():
        return await lifecycle.handle_message(agent, "b#1", asked)

    return virtual_time.run(play())


def test_a_body_is_refused_before_it_is_sent_if_its_request_would_be():
    agent = make_receiver(slots=1)
    assert isinstance(ask_receiver(agent), messages.TransferGranted)
    agent.upstream.admission_queue.running = 1
    refused = ask_receiver(agent, remaining_ms=200, in_time_ms=100)
    assert isinstance(refused, CarriedAnswer) and not refused.has_arrived
    assert refused.verdict.reason is Reason.OVER_LIMIT
    assert refused.retry_after_ms > 0


def test_a_body_is_refused_where_too_many_bodies_are_held():
    agent = make_receiver(slots=1)
    agent.accounts.bodies.held_bytes = agent.accounts.bodies.limit_bytes
    refused = ask_receiver(agent)
    assert refused.verdict == NotRun(Reason.OVER_LIMIT, "too many bodies are held")


def receive(agent, *parts, **changes):
    """Grant a body, receive parts of it and then its request; return the answer."""
    request = traffic_data.make_carried_request(**changes)

    async def play():
        for message in (
            messages.AskTransfer(request, request.body_ahead_bytes),
            *(messages.BodyPart(request.request_id, *part) for part in parts),
        ):
            await lifecycle.handle_message(agent, "b#1", message)
        return await lifecycle.handle_message(agent, "b#1", request)

    return virtual_time.run(play())


@pytest.mark.parametrize(
    ("parts", "size_bytes"),
    [
        ((), 4),
        (((0, b"ab"),), 4),
        (((2, b"cd"),), 4),
        (((0, b"ab"), (3, b"d")), 4),
        (((0, b"abcd"),), 3),
    ],
)
def test_a_request_whose_body_is_not_whole_is_not_run(parts, size_bytes, monkeypatch):
    async def execute(agent, request):
        raise AssertionError(request)

    monkeypatch.setattr(local_execution, "execute", execute)
    agent = make_receiver(slots=1)
    refused = receive(agent, *parts, body_ahead_bytes=size_bytes)
    assert isinstance(refused.verdict, NotRun) and not refused.has_arrived
    assert agent.transfers == transfers.Transfers()


def test_parts_in_any_order_make_the_body(monkeypatch):
    bodies = []

    async def execute(agent, request):
        bodies.append(request.body)
        return RAN

    monkeypatch.setattr(local_execution, "execute", execute)
    agent = make_receiver(slots=1)
    receive(agent, (2, b"cd"), (0, b"ab"), (4, b"e"), body_ahead_bytes=5)
    assert bodies == [b"abcde"]
    assert agent.accounts.bodies.held_bytes == 0


def test_parts_without_a_grant_are_not_kept():
    agent = make_receiver(slots=1)
    part = messages.BodyPart("a1", 0, b"ab")

    async def play():
        return await lifecycle.handle_message(agent, "b#1", part)

    assert virtual_time.run(play()) == messages.Done()
    assert transfers.count_held_bytes(agent.transfers) == 0

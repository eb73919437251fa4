import asyncio
import contextlib
import time

import pytest
import websockets
from websockets.asyncio import client as websockets_client

from fuchsiamoor.core import messages
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.core.errors import (
    PeerLinkLostError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from fuchsiamoor.peers import codec, handshake, links, outbound, outbox
from fuchsiamoor.peers.codec import Envelope, Role
from fuchsiamoor.testing import messages_data

ANY_PORT = Address("127.0.0.1", 0)
KEYS = ("key-1",)
DONE = messages.Done()
# Four of these are more than the buffers of a loopback connection hold.
LARGE_BODY_BYTES = 4 * 1024 * 1024


async def echo(_sender, message):
    match message:
        case messages.FetchTable("slow"):
            await asyncio.sleep(60)
        case messages.FetchTable("broken"):
            raise RuntimeError("planted")
    return message


class Peer:
    """A member with its links, which records the messages that it handles."""

    def __init__(self, name, handle=echo, keys=KEYS):
        self.received = []
        self.metrics = messages_data.CountingMetrics()
        self.name = name
        self.inner_handle = handle
        self.links = links.make_links(name, keys, self.handle, self.metrics)

    async def handle(self, sender, message):
        self.received.append((sender, message))
        return await self.inner_handle(sender, message)

    async def listen(self, address=ANY_PORT):
        bound = await links.serve(self.links, address)
        self.member = messages_data.make_member(self.name, bound)
        return self.member

    async def call(self, member, message, timeout_ms=5000):
        return await self.links.call(member, message, timeout_ms)


@contextlib.asynccontextmanager
async def pair(handle=echo):
    a, b = Peer("a#1"), Peer("b#1", handle)
    await b.listen()
    try:
        yield a, b
    finally:
        await a.links.close(0)
        await b.links.close(0)


def run_pair(scenario, handle=echo):
    async def body():
        async with pair(handle) as (a, b):
            await scenario(a, b)

    asyncio.run(body())


def test_call_returns_the_handlers_answer():
    async def scenario(a, b):
        forward = messages_data.make_forward()
        assert await a.call(b.member, forward) == forward
        assert b.received == [("a#1", forward)]

    run_pair(scenario)


def test_many_calls_share_one_link():
    async def scenario(a, b):
        asked = [messages.FetchTable(str(i)) for i in range(500)]
        got = await asyncio.gather(*(a.call(b.member, one) for one in asked))
        assert got == asked
        assert a.metrics.counts["peers.dialled"] == 1

    run_pair(scenario)


def test_slow_handler_does_not_delay_other_calls():
    async def scenario(a, b):
        slow = asyncio.create_task(a.call(b.member, messages.FetchTable("slow")))
        assert await a.call(b.member, DONE) == DONE
        slow.cancel()

    run_pair(scenario)


def test_late_answer_is_dropped_and_counted():
    release = asyncio.Event()

    async def wait(_sender, message):
        if message == messages.FetchTable("late"):
            await release.wait()
        return message

    async def scenario(a, b):
        with pytest.raises(PeerTimeoutError):
            await a.call(b.member, messages.FetchTable("late"), timeout_ms=20)
        release.set()
        assert await a.call(b.member, DONE) == DONE
        assert a.metrics.counts["peers.late_answers"] == 1

    run_pair(scenario, wait)


def test_cancelled_call_releases_its_correlation_id():
    async def scenario(a, b):
        await a.call(b.member, DONE)
        slow = asyncio.create_task(a.call(b.member, messages.FetchTable("slow")))
        await asyncio.sleep(0.01)
        slow.cancel()
        await asyncio.wait([slow])
        assert a.links.dialler.links["b#1"].calls == {}
        assert await a.call(b.member, DONE) == DONE

    run_pair(scenario)


def test_call_cancelled_before_it_was_written_is_never_sent():
    async def scenario(a, b):
        call = asyncio.create_task(a.call(b.member, messages.FetchTable("x")))
        await asyncio.sleep(0)
        call.cancel()
        await asyncio.wait([call])
        await a.call(b.member, DONE)
        assert b.received == [("a#1", DONE)]

    run_pair(scenario)


def test_failed_handler_fails_the_call_at_once_as_lost_not_unreachable():
    async def scenario(a, b):
        with pytest.raises(PeerLinkLostError):
            await a.call(b.member, messages.FetchTable("broken"))
        assert b.metrics.counts["peers.handler_failures"] == 1

    run_pair(scenario)


def test_link_broken_after_sending_is_lost_not_unreachable():
    async def scenario(a, b):
        await a.call(b.member, DONE)
        slow = asyncio.create_task(a.call(b.member, messages.FetchTable("slow")))
        await asyncio.sleep(0.02)
        for link in b.links.acceptor.open_links.values():
            link.connection.transport.abort()
        with pytest.raises(PeerLinkLostError):
            await slow
        assert await a.call(b.member, DONE) == DONE
        assert a.metrics.counts["peers.dialled"] == 2

    run_pair(scenario)


def test_refused_connection_is_unreachable_and_backs_off():
    async def scenario(a, b):
        await b.links.close(0)
        with pytest.raises(PeerUnreachableError):
            await a.call(b.member, DONE)
        with pytest.raises(PeerUnreachableError, match="could not be dialled"):
            await a.call(b.member, DONE)
        await asyncio.sleep(outbound.INITIAL_BACKOFF_S)
        b2 = Peer("b#1")
        await b2.listen(b.member.peer_address)
        assert await a.call(b2.member, DONE) == DONE
        await b2.links.close(0)

    run_pair(scenario)


def test_address_of_another_member_is_refused_before_anything_is_sent():
    async def scenario(a, b):
        wrong = messages_data.make_member("b#0", b.member.peer_address)
        with pytest.raises(PeerUnreachableError):
            await a.call(wrong, messages_data.make_forward())
        assert b.received == []
        assert b.metrics.counts["peers.other_member_expected"] == 1

    run_pair(scenario)


@pytest.mark.parametrize(
    "dialler_keys, acceptor_keys, admitted",
    [
        (("old",), ("old",), True),
        (("old",), ("old", "new"), True),
        (("new", "old"), ("old", "new"), True),
        (("new", "old"), ("new",), True),
        (("other",), ("old", "new"), False),
    ],
)
def test_keys_can_be_rotated_and_unknown_keys_are_refused(
    dialler_keys, acceptor_keys, admitted
):
    async def body():
        a, b = Peer("a#1", keys=dialler_keys), Peer("b#1", keys=acceptor_keys)
        await b.listen()
        if admitted:
            assert await a.call(b.member, DONE) == DONE
        else:
            with pytest.raises(PeerUnreachableError):
                await a.call(b.member, DONE)
            assert b.received == []
            assert b.metrics.counts["peers.refused"] == 1
        await a.links.close(0)
        await b.links.close(0)

    asyncio.run(body())


def test_nothing_is_sent_to_an_acceptor_without_the_key():
    async def body():
        received = []

        async def impostor(connection):
            async for frame in connection:
                received.append(frame)

        async with websockets.serve(impostor, *ANY_PORT) as server:
            port = next(iter(server.sockets)).getsockname()[1]
            a = Peer("a#1")
            member = messages_data.make_member("b#1", Address("127.0.0.1", port))
            with pytest.raises(PeerUnreachableError):
                await a.call(member, DONE)
            await a.links.close(0)
        assert received == []

    asyncio.run(body())


@pytest.mark.parametrize("headers", [{}, {handshake.SENDER_HEADER: "a"}])
def test_handshake_without_a_complete_offer_is_refused(headers):
    async def scenario(_a, b):
        host, port = b.member.peer_address
        with pytest.raises(websockets.InvalidStatus) as caught:
            await websockets_client.connect(
                f"ws://{host}:{port}", additional_headers=headers, proxy=None
            )
        assert caught.value.response.status_code == 401

    run_pair(scenario)


async def dial_raw(b, sender="a#1", nonce="n-1"):
    offer = handshake.make_offer(KEYS[0], sender, b.name, nonce, _now_unix_ms())
    host, port = b.member.peer_address
    return await websockets_client.connect(
        f"ws://{host}:{port}",
        additional_headers=handshake.format_offer(offer),
        proxy=None,
        compression=None,
    )


def _now_unix_ms():
    return time.time_ns() // 1_000_000


def frame_of(*envelopes):
    return codec.join_frame([codec.encode_envelope(item) for item in envelopes])


def test_duplicated_message_is_handled_once():
    async def scenario(_a, b):
        connection = await dial_raw(b)
        call = Envelope(1, Role.CALL, DONE)
        await connection.send(frame_of(call, call))
        await connection.send(frame_of(call))
        await connection.send(frame_of(Envelope(2, Role.CALL, DONE)))
        answers = []
        while len(answers) < 2:
            answers += codec.decode_frame(await connection.recv())
        assert [answer.correlation_id for answer in answers] == [1, 2]
        assert len(b.received) == 2
        assert b.metrics.counts["peers.duplicate_messages"] == 2
        await connection.close()

    run_pair(scenario)


@pytest.mark.parametrize("frame", [b"\xff", "text", b"\x81\x83\x01\x02\x15"])
def test_bad_frame_closes_only_its_own_link(frame):
    async def scenario(a, b):
        await a.call(b.member, DONE)
        connection = await dial_raw(b)
        await connection.send(frame)
        with pytest.raises(websockets.ConnectionClosed):
            await connection.recv()
        assert b.metrics.counts["peers.bad_frames"] == 1
        assert await a.call(b.member, DONE) == DONE
        assert a.metrics.counts["peers.dialled"] == 1

    run_pair(scenario)


def test_tell_has_no_answer():
    async def scenario(a, b):
        a.links.tell(b.member, messages.Cancel("r-1"))
        await a.call(b.member, DONE)
        assert [message for _, message in b.received] == [messages.Cancel("r-1"), DONE]
        assert a.metrics.counts["peers.late_answers"] == 0

    run_pair(scenario)


def test_too_many_calls_in_flight_are_refused_at_once(monkeypatch):
    monkeypatch.setattr(outbound, "MAX_CALLS_IN_FLIGHT", 1)

    async def scenario(a, b):
        slow = asyncio.create_task(a.call(b.member, messages.FetchTable("slow")))
        await asyncio.sleep(0)
        with pytest.raises(PeerUnreachableError, match="too many"):
            await a.call(b.member, DONE)
        slow.cancel()

    run_pair(scenario)


def test_full_outbox_refuses_at_once(monkeypatch):
    monkeypatch.setattr(outbox, "MAX_QUEUED_BYTES", 10)

    async def scenario(a, b):
        with pytest.raises(PeerUnreachableError, match="too much"):
            await a.call(b.member, messages_data.make_forward())

    run_pair(scenario)


def test_message_too_large_is_unreachable(monkeypatch):
    async def scenario(a, b):
        monkeypatch.setattr(codec, "MAX_ENVELOPE_BYTES", 10)
        with pytest.raises(PeerUnreachableError):
            await a.call(b.member, messages_data.make_forward())

    run_pair(scenario)


def test_close_finishes_calls_in_flight_and_refuses_new_ones():
    async def slowly(_sender, message):
        await asyncio.sleep(0.05)
        return message

    async def scenario(a, b):
        call = asyncio.create_task(a.call(b.member, messages.FetchTable("x")))
        await asyncio.sleep(0.03)
        closing = asyncio.create_task(b.links.close(5000))
        await asyncio.sleep(0.01)
        with pytest.raises(PeerUnreachableError):
            await a.call(b.member, DONE)
        assert await call == messages.FetchTable("x")
        await closing

    run_pair(scenario, slowly)


# Guards against a call that meets its peer's stop and is lost instead of refused.
@pytest.mark.parametrize("is_open", [False, True])
@pytest.mark.parametrize("turns", range(0, 40, 3))
def test_call_that_meets_a_drain_is_answered_or_unreachable(is_open, turns):
    async def scenario(a, b):
        if is_open:
            await a.call(b.member, DONE)
        call = asyncio.create_task(a.call(b.member, messages.FetchTable("x")))
        for _ in range(turns):
            await asyncio.sleep(0)
        await asyncio.wait_for(b.links.close(5000), 2)
        await asyncio.wait([call])
        was_handled = ("a#1", messages.FetchTable("x")) in b.received
        if was_handled:
            assert call.result() == messages.FetchTable("x")
        else:
            assert isinstance(call.exception(), PeerUnreachableError)

    run_pair(scenario)


# Guards against the loss of a call that was sent before its peer's leave arrived.
def test_call_sent_before_the_leave_arrived_is_refused():
    async def scenario(_a, b):
        connection = await dial_raw(b)
        while not b.links.acceptor.open_links:
            await asyncio.sleep(0.001)
        closing = asyncio.create_task(b.links.close(5000))
        (leaving,) = codec.decode_frame(await connection.recv())
        assert leaving.role is Role.LEAVING
        await connection.send(frame_of(Envelope(1, Role.CALL, DONE)))
        (refused,) = codec.decode_frame(await connection.recv())
        assert refused == Envelope(1, Role.REFUSED, None)
        assert b.received == []
        await connection.close()
        await closing

    run_pair(scenario)


# Guards against links that open after a stop was announced, as they never hear of it.
def test_link_dialled_during_a_drain_is_refused():
    async def slowly(_sender, message):
        await asyncio.sleep(0.1)
        return message

    async def scenario(a, b):
        call = asyncio.create_task(a.call(b.member, messages.FetchTable("x")))
        while not b.received:
            await asyncio.sleep(0)
        closing = asyncio.create_task(b.links.close(5000))
        await asyncio.sleep(0)
        c = Peer("c#1")
        with pytest.raises(PeerUnreachableError):
            await c.call(b.member, DONE)
        assert b.metrics.counts["peers.links_refused"] == 1
        assert await call == messages.FetchTable("x")
        await closing
        await c.links.close(0)

    run_pair(scenario, slowly)


# Guards against the loss of ready answers that are not written when a stop begins.
def test_close_waits_for_a_slow_reader_of_large_answers():
    forward = messages_data.make_forward()
    large = forward._replace(
        request=forward.request._replace(body=bytes(LARGE_BODY_BYTES))
    )

    async def answer_large(_sender, message):
        return message if message == DONE else large

    async def scenario(a, b):
        await a.call(b.member, DONE)
        transport = a.links.dialler.links["b#1"].connection.transport
        calls = [
            asyncio.create_task(a.call(b.member, messages.FetchTable(str(index))))
            for index in range(4)
        ]
        while len(b.received) < 5:
            await asyncio.sleep(0)
        transport.pause_reading()
        closing = asyncio.create_task(b.links.close(5000))
        await asyncio.sleep(0.2)
        assert not any(call.done() for call in calls)
        transport.resume_reading()
        assert await asyncio.gather(*calls) == [large] * 4
        await closing

    run_pair(scenario, answer_large)


# Guards against calls cut between two members that stop at nearly the same time.
@pytest.mark.parametrize("caller_ms, runner_ms", [(0, 80), (80, 0), (0, 0)])
def test_overlapping_closes_finish_the_calls_between_them(caller_ms, runner_ms):
    async def slowly(_sender, message):
        await asyncio.sleep(0.2)
        return message

    async def close_later(peer, delay_ms):
        await asyncio.sleep(delay_ms / 1000)
        await peer.links.close(5000)

    async def scenario(a, b):
        await a.listen()
        calls = [
            asyncio.create_task(sender.call(receiver.member, messages.FetchTable("x")))
            for sender, receiver in ((a, b), (b, a))
        ]
        while len(a.received) + len(b.received) < 2:
            await asyncio.sleep(0.001)
        closing = [
            asyncio.create_task(close_later(a, caller_ms)),
            asyncio.create_task(close_later(b, runner_ms)),
        ]
        assert await asyncio.gather(*calls) == [messages.FetchTable("x")] * 2
        await asyncio.gather(*closing)

    run_pair(scenario, slowly)


# A call that could not be sent any more was reported as perhaps handled.
@pytest.mark.parametrize("is_aborted", [False, True])
def test_call_on_a_connection_that_closes_is_unreachable_not_lost(is_aborted):
    async def scenario(a, b):
        await a.call(b.member, DONE)
        connection = a.links.dialler.links["b#1"].connection
        (link,) = b.links.acceptor.open_links.values()
        closing = asyncio.create_task(link.connection.close())
        if is_aborted:
            link.connection.transport.abort()
        while connection.state is websockets.State.OPEN:
            await asyncio.sleep(0)
        with pytest.raises(PeerUnreachableError):
            await a.call(b.member, messages.FetchTable("late"))
        assert b.received == [("a#1", DONE)]
        await closing

    run_pair(scenario)


# Guards against the loss of an answer that arrives with the close of its connection.
def test_answer_that_arrives_with_a_close_is_not_lost():
    async def scenario(a, b):
        call = asyncio.create_task(a.call(b.member, messages.FetchTable("slow")))
        while not b.received:
            await asyncio.sleep(0)
        connection = a.links.dialler.links["b#1"].connection
        (link,) = b.links.acceptor.open_links.values()
        await link.connection.send(frame_of(Envelope(1, Role.ANSWER, DONE)))
        closing = asyncio.create_task(link.connection.close())
        while connection.state is websockets.State.OPEN:
            await asyncio.sleep(0)
        with pytest.raises(PeerUnreachableError):
            await a.call(b.member, messages.FetchTable("late"))
        assert await call == DONE
        await closing

    run_pair(scenario)


def test_silent_connection_is_aborted_after_a_timeout(monkeypatch):
    monkeypatch.setattr(outbound, "PING_TIMEOUT_S", 0.02)
    monkeypatch.setattr(outbound, "LOST_TIMEOUT_S", 0.06)

    async def scenario(a, b):
        await a.call(b.member, DONE)
        for link in b.links.acceptor.open_links.values():
            link.connection.transport.pause_reading()
        with pytest.raises(PeerTimeoutError):
            await a.call(b.member, DONE, timeout_ms=10)
        with pytest.raises(PeerLinkLostError):
            await a.call(b.member, DONE, timeout_ms=2000)
        assert await a.call(b.member, DONE) == DONE

    run_pair(scenario)


# Calls in flight at a sound peer were cut when a slow network path held up a pong.
def test_calls_in_flight_outlast_a_late_pong_and_new_ones_use_another_link(monkeypatch):
    monkeypatch.setattr(outbound, "PING_TIMEOUT_S", 0.1)

    async def slowly(_sender, message):
        await asyncio.sleep(int(message.domain) / 1000)
        return message

    async def scenario(a, b):
        def ask(run_ms, timeout_ms=5000):
            return a.call(b.member, messages.FetchTable(str(run_ms)), timeout_ms)

        await ask(0)
        (slow,) = b.links.acceptor.open_links.values()
        running = asyncio.create_task(ask(400))
        await asyncio.sleep(0.05)
        slow.connection.transport.pause_reading()
        with pytest.raises(PeerTimeoutError):
            await ask(0, timeout_ms=10)
        await asyncio.sleep(0.15)
        assert await ask(0) == messages.FetchTable("0")
        assert a.metrics.counts["peers.dialled"] == 2
        assert await running == messages.FetchTable("400")
        slow.connection.transport.resume_reading()
        await asyncio.sleep(0.1)
        assert len(b.links.acceptor.open_links) == 1
        assert not a.links.dialler.replaced

    run_pair(scenario, slowly)


def test_a_slow_path_has_two_connections_to_a_member_at_most(monkeypatch):
    monkeypatch.setattr(outbound, "PING_TIMEOUT_S", 0.05)

    async def scenario(a, b):
        async def pause():
            while True:
                for link in b.links.acceptor.open_links.values():
                    link.connection.transport.pause_reading()
                await asyncio.sleep(0.005)

        await a.call(b.member, DONE)
        paths = asyncio.create_task(pause())
        calls = [asyncio.create_task(a.call(b.member, DONE, 900)) for _ in range(3)]
        opened = []
        for _ in range(20):
            calls.append(asyncio.create_task(a.call(b.member, DONE, 20)))
            await asyncio.sleep(0.03)
            opened.append(len(b.links.acceptor.open_links))
        paths.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        assert a.metrics.counts["peers.links_replaced"] == 1
        assert max(opened) == 2

    run_pair(scenario)


# Calls in flight were lost with the link when a pong came late, behind many answers.
def test_connection_that_brings_answers_is_kept_although_a_pong_is_late(monkeypatch):
    monkeypatch.setattr(outbound, "PING_TIMEOUT_S", 0.1)

    async def slowly(_sender, message):
        await asyncio.sleep(int(message.domain) / 1000)
        return message

    async def never_ping(*_):
        return asyncio.get_running_loop().create_future()

    async def scenario(a, b):
        def ask(run_ms, timeout_ms=5000):
            return a.call(b.member, messages.FetchTable(str(run_ms)), timeout_ms)

        await ask(0)
        a.links.dialler.links[b.name].connection.ping = never_ping
        running = asyncio.create_task(ask(300))
        with pytest.raises(PeerTimeoutError):
            await ask(200, timeout_ms=10)
        await ask(20)
        assert await running == messages.FetchTable("300")

    run_pair(scenario, slowly)


def test_idle_link_is_closed_and_dialled_again_when_needed(monkeypatch):
    monkeypatch.setattr(outbound, "IDLE_TIMEOUT_S", 0.01)

    async def scenario(a, b):
        await a.call(b.member, DONE)
        while b.links.acceptor.open_links:
            await asyncio.sleep(0.005)
        assert await a.call(b.member, DONE) == DONE
        assert a.metrics.counts["peers.dialled"] == 2
        assert a.metrics.counts["peers.links_lost"] == 0

    run_pair(scenario)


def test_link_with_a_call_in_flight_is_not_idle(monkeypatch):
    monkeypatch.setattr(outbound, "IDLE_TIMEOUT_S", 0.005)

    async def slowly(_sender, message):
        await asyncio.sleep(0.05)
        return message

    async def scenario(a, b):
        assert await a.call(b.member, DONE) == DONE
        assert a.metrics.counts["peers.dialled"] == 1

    run_pair(scenario, slowly)

import asyncio
import json
import re
import time

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from fuchsiamoor.core.addresses import Address
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.daemon import upstream_client, upstream_pool
from fuchsiamoor.testing import messages_data
from fuchsiamoor.testing.scripted_server import make_answer, serve_script

METHODS = ["GET", "HEAD", "PUT", "POST", "DELETE", "PATCH", "OPTIONS"]
OWN_ID = "Fuchsiamoor-Request-Id: r-1\r\n"


def make_own_answer(status, body=b"", headers=""):
    """Return an answer that names the default request of these tests."""
    return make_answer(status, body, OWN_ID + headers)


OK = make_own_answer(200, b"ok")
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nfuchsiamoor-request-id: r-1\r\n"
    b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
)


def unix_ms():
    return time.time_ns() // 1_000_000


async def run_request(client, timeout_ms=2000, **changes):
    request = messages_data.make_request(**changes)
    deadline_ms = unix_ms() + timeout_ms
    return await client.run(request, 3, 42, deadline_ms + 500, deadline_ms, "booking@a")


def run(steps, scenario, connections=5, limit_bytes=1000):
    """Run a scenario against an upstream that answers each request with one step."""

    async def body():
        async with serve_script(steps) as server:
            address = Address(server.host, server.port)
            client = upstream_client.make_upstream_client(
                address, connections, limit_bytes, "i-1"
            )
            try:
                return await scenario(client, server)
            finally:
                client.close()

    return asyncio.run(body())


def run_once(step, **changes):
    async def scenario(client, server):
        return await run_request(client, **changes), server

    return run([step], scenario)


def test_start_deadline_is_not_after_the_end_of_the_lease():
    async def scenario(client, server):
        now_ms = unix_ms()
        lease_until_ms = now_ms + 300
        await client.run(
            messages_data.make_request(), 3, 42, lease_until_ms, now_ms + 2000
        )
        return lease_until_ms, server.requests[0]

    lease_until_ms, received = run([OK], scenario)
    assert f"Fuchsiamoor-Deadline-At-Ms: {lease_until_ms}\r\n".encode() in received


@pytest.mark.parametrize("step", [OK, CHUNKED], ids=["length", "chunked"])
def test_complete_answer_ran(step):
    answer, _ = run_once(step)
    assert (answer.verdict, answer.status, answer.body) == (Ran(), 200, b"ok")
    assert (answer.request_id, answer.served_by) == ("r-1", "i-1")


def test_request_has_the_protocol_headers():
    _, server = run_once(OK, idempotency_key="i")
    head, _, body = server.requests[0].partition(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines)
    assert first == "POST /book?x=1 HTTP/1.1"
    assert int(headers.pop("Fuchsiamoor-Deadline-At-Ms")) >= unix_ms()
    assert int(headers.pop("Fuchsiamoor-Lease-Until-Ms")) >= unix_ms()
    assert headers == {
        "Host": server.netloc,
        "Fuchsiamoor-Request-Id": "r-1",
        "Fuchsiamoor-Tenant": "dala",
        "Fuchsiamoor-Key": "chair-1",
        "Fuchsiamoor-Domain": "booking@a",
        "Fuchsiamoor-Shard": "3",
        "Fuchsiamoor-Epoch": "42",
        "Idempotency-Key": "i",
        "Content-Length": str(len(body)),
        "content-type": "application/json",
    }


def test_hop_by_hop_and_own_headers_of_the_answer_are_dropped():
    headers = "X-A: 1\r\nConnection: x-b\r\nX-B: 2\r\nFuchsiamoor-Verdict: not-run\r\n"
    answer, _ = run_once(make_own_answer(200, b"ok", headers))
    assert answer.headers == ((b"x-a", b"1"),)


@pytest.mark.parametrize(
    "step, reason",
    [
        (b"", Reason.UPSTREAM_LOST),
        (b"HTTP/1.1 200 OK\r\ncontent-le", Reason.UPSTREAM_LOST),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok", Reason.TRUNCATED),
        (CHUNKED[:-5], Reason.TRUNCATED),
        (b"HTTP/1.1 200 OK\r\n\r\nuntil the end", Reason.TRUNCATED),
        (b"HTTP/1.1 100 Continue\r\n\r\n", Reason.UPSTREAM_LOST),
        (b"garbage\r\n\r\n", Reason.UPSTREAM_LOST),
        (make_own_answer(200, bytes(1001)), Reason.TRUNCATED),
        (make_own_answer(200, b"", f"x: {'y' * 70_000}\r\n"), Reason.UPSTREAM_LOST),
        (
            make_answer(200, b"ok", "Fuchsiamoor-Request-Id: r-2\r\n"),
            Reason.TRUNCATED,
        ),
        (make_answer(200, b"ok"), Reason.TRUNCATED),
        (make_answer(503, b"", "Fuchsiamoor-Not-Run: shed\r\n"), Reason.TRUNCATED),
        (
            make_answer(
                503,
                b"",
                "Fuchsiamoor-Not-Run: shed\r\nFuchsiamoor-Request-Id: r-2\r\n",
            ),
            Reason.TRUNCATED,
        ),
        (
            make_own_answer(200, b"ok", "Fuchsiamoor-Request-Id: r-2\r\n"),
            Reason.TRUNCATED,
        ),
    ],
)
def test_incomplete_or_invalid_answer_may_have_run(step, reason):
    answer, server = run_once(step)
    assert isinstance(answer.verdict, MayHaveRun)
    assert (answer.verdict.reason, answer.status) == (reason, 502)
    assert answer.body == b"" and len(server.requests) == 1


@given(st.binary(max_size=60), st.integers(0, 40))
def test_garbage_never_raises_and_never_claims_not_run(garbage, cut):
    answer, _ = run_once(OK[:cut] + garbage)
    assert isinstance(answer.verdict, (MayHaveRun, Ran))


@pytest.mark.parametrize(
    "value, reason",
    [
        ("shed", Reason.SHED),
        ("fenced", Reason.FENCED),
        ("deadline", Reason.DEADLINE_PASSED),
        ("draining", Reason.SHUTTING_DOWN),
        ("other", Reason.SHED),
    ],
)
def test_upstreams_refusal_is_not_run(value, reason):
    refusal = make_own_answer(503, b"", f"Fuchsiamoor-Not-Run: {value}\r\n")
    answer, _ = run_once(refusal)
    assert isinstance(answer.verdict, NotRun) and answer.verdict.reason is reason


@pytest.mark.parametrize("status", [200, 500, 503])
def test_answer_without_a_refusal_header_ran(status):
    headers = "Fuchsiamoor-Not-Run: shed\r\n" if status != 503 else ""
    answer, _ = run_once(make_own_answer(status, b"ok", headers))
    assert (answer.verdict, answer.status) == (Ran(), status)


def test_refused_connection_is_not_run():
    async def scenario(client, server):
        client.pool.address = Address("127.0.0.1", await free_port())
        return await run_request(client)

    answer = run([], scenario)
    assert answer.verdict.reason is Reason.CONNECT_FAILED


async def free_port():
    async with serve_script([]) as server:
        return server.port


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("idempotent", [False, True])
def test_request_on_a_stale_connection_is_never_sent_twice(method, idempotent):
    async def scenario(client, server):
        await run_request(client)
        answer = await run_request(client, method=method, idempotent=idempotent)
        await asyncio.sleep(0.01)
        assert isinstance(answer.verdict, MayHaveRun)
        assert [request.split()[0].decode() for request in server.requests] == [
            "POST",
            method,
        ]
        assert server.connection_count == 1

    run([OK, b"", OK, OK], scenario)


@pytest.mark.parametrize("method", METHODS)
def test_connection_is_reused(method):
    async def scenario(client, server):
        for _ in range(3):
            answer = await run_request(client, method=method, body=b"")
            assert answer.verdict == Ran()
        assert server.connection_count == (3 if method == "HEAD" else 1)

    run([OK] * 3, scenario)


@pytest.mark.parametrize(
    "step",
    [make_own_answer(200, b"ok", "Connection: close\r\n"), OK + b"HTTP/1.1 200"],
)
def test_connection_is_not_reused_when_closing_or_with_bytes_after_the_answer(step):
    async def scenario(client, server):
        assert (await run_request(client)).body == b"ok"
        assert (await run_request(client)).body == b"two"
        assert server.connection_count == 2

    run([step, make_own_answer(200, b"two")], scenario)


def test_connection_idle_for_too_long_is_not_reused(monkeypatch):
    monkeypatch.setattr(upstream_pool, "MAX_IDLE_S", -1)

    async def scenario(client, server):
        await run_request(client)
        await run_request(client)
        assert server.connection_count == 2

    run([OK, OK], scenario)


def test_deadline_passed_before_writing_is_not_run_and_after_may_have_run():
    async def scenario(client, server):
        late = await run_request(client, timeout_ms=0)
        assert late.verdict.reason is Reason.DEADLINE_PASSED
        assert isinstance(late.verdict, NotRun) and server.requests == []
        slow = await run_request(client, timeout_ms=50)
        assert isinstance(slow.verdict, MayHaveRun)
        assert slow.verdict.reason is Reason.DEADLINE_PASSED
        assert (await run_request(client)).body == b"ok"
        assert server.connection_count == 2

    run([None, OK], scenario)


def test_connections_and_waiting_requests_are_limited():
    async def scenario(client, server):
        slow = [asyncio.create_task(run_request(client, 150)) for _ in range(3)]
        await asyncio.sleep(0.05)
        waiting = [asyncio.create_task(run_request(client, 60)) for _ in range(3)]
        await asyncio.sleep(0)
        refused = await run_request(client)
        assert refused.verdict.reason is Reason.OVER_LIMIT
        for answer in await asyncio.gather(*waiting):
            assert isinstance(answer.verdict, NotRun)
            assert answer.verdict.reason is Reason.DEADLINE_PASSED
        assert len(server.requests) == server.connection_count == 3
        await asyncio.gather(*slow)
        assert (await run_request(client)).verdict == Ran()
        assert len(client.pool.waiters) == 0 and client.pool.open_count == 1

    run([None, None, None, OK], scenario)


def test_waiting_request_gets_a_released_connection():
    async def scenario(client, server):
        answers = await asyncio.gather(*(run_request(client) for _ in range(6)))
        assert [answer.body for answer in answers] == [b"ok"] * 6
        assert server.connection_count == 3

    run([OK] * 6, scenario)


def test_cancelled_run_closes_its_connection():
    async def scenario(client, server):
        task = asyncio.create_task(run_request(client))
        while not server.requests:
            await asyncio.sleep(0.001)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        await asyncio.sleep(0.01)
        assert client.pool.open_count == 0
        assert (await run_request(client)).verdict == Ran()

    run([None, OK], scenario)


@pytest.mark.parametrize(
    "changes",
    [
        {"path": "/a b"},
        {"path": "/a\r\nx: y"},
        {"path": "a"},
        {"method": "GET /x HTTP/1.1\r\n"},
        {"key": "a\r\nx: y"},
        {"key": "\ud800"},
        {"tenant": "a\nb"},
        {"idempotency_key": "a\rb"},
        {"headers": ((b"x", b"1\r\ny: 2"),)},
        {"headers": ((b"x\n", b"1"),)},
    ],
)
def test_malformed_request_is_not_run(changes):
    answer, server = run_once(OK, **changes)
    assert answer.verdict.reason is Reason.BAD_REQUEST and server.requests == []


def test_control_calls_send_the_expected_requests_and_read_the_answers():
    async def scenario(client, server):
        assert await client.grant("d", [(1, 2)], 99)
        assert await client.cancel("r-1")
        assert await client.drain()
        assert await client.health()
        assert await client.load() == 4
        assert await client.load() is None
        assert not await client.health()
        assert not await client.drain()
        heads = [r.split(b" HTTP")[0].decode() for r in server.requests]
        assert heads[:5] == [
            "POST /_control/grant",
            "POST /_control/cancel",
            "POST /_control/drain",
            "GET /_control/health",
            "GET /_control/load",
        ]
        body = server.requests[0].partition(b"\r\n\r\n")[2]
        expected = {"domain": "d", "shards": [[1, 2]], "until_ms": 99}
        assert json.loads(body) == expected

    ready, load = json.dumps({"ready": True}), json.dumps({"in_flight": 4})
    steps = [make_answer(200, b"{}")] * 3
    steps += [make_answer(200, ready.encode()), make_answer(200, load.encode())]
    steps += [make_answer(200, b"[]"), make_answer(500, ready.encode()), b""]
    run(steps, scenario)


def find_id(request):
    """Return the id in a raw request."""
    return re.search(rb"Request-Id: (\S+)", request)[1]


def name_request(request):
    """Return the header line that names a raw request in its answer."""
    return f"Fuchsiamoor-Request-Id: {find_id(request).decode()}\r\n"


def refuse(request):
    """Answer that the request has not run."""
    headers = "Fuchsiamoor-Not-Run: shed\r\n" + name_request(request)
    return make_answer(503, b"", headers)


def echo(request):
    """Answer with the request's own id."""
    return make_answer(200, find_id(request), name_request(request))


script_steps = st.sampled_from(
    [
        echo,
        b"",
        None,
        refuse,
        lambda request: echo(request)[:-1],
        lambda request: echo(request) + b"x",
    ]
)


@example([(echo, "POST"), (echo, "HEAD"), (echo, "GET")], [])
@given(
    st.lists(st.tuples(script_steps, st.sampled_from(METHODS)), max_size=10),
    st.lists(st.integers(0, 9), max_size=3),
)
def test_any_schedule_sends_each_request_at_most_once_with_a_correct_verdict(
    schedule, cancelled
):
    timeout_ms = 50 if any(step is None for step, _ in schedule) else 5000

    async def scenario(client, server):
        tasks = [
            asyncio.create_task(
                run_request(client, timeout_ms, request_id=f"r-{i}", method=method)
            )
            for i, (_, method) in enumerate(schedule)
        ]
        await asyncio.sleep(0.001)
        for index in cancelled:
            if index < len(tasks):
                tasks[index].cancel()
        answers = await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.001)
        if not cancelled and all(step is echo for step, _ in schedule):
            assert all(answer.verdict == Ran() for answer in answers)
        for i, answer in enumerate(answers):
            own_id = f"r-{i}".encode()
            marker = b"Request-Id: %b\r\n" % own_id
            seen = [request for request in server.requests if marker in request]
            assert len(seen) <= 1
            if isinstance(answer, asyncio.CancelledError):
                continue
            assert answer.request_id == f"r-{i}"
            match answer.verdict:
                case Ran():
                    is_head = schedule[i][1] == "HEAD"
                    assert seen and answer.body == (b"" if is_head else own_id)
                case NotRun(Reason.SHED):
                    assert seen
                case NotRun():
                    assert not seen

    run([step for step, _ in schedule], scenario)

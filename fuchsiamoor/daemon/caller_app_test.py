import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core import clock
from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Reason
from fuchsiamoor.daemon import caller_app, caller_requests, http_limits
from fuchsiamoor.testing import asgi_server, messages_data
from fuchsiamoor.testing.asgi_server import make_configuration, send_raw


class CallerEndpoint:
    """A caller endpoint that records the requests it passes to its handler."""

    def __init__(self, answer=messages_data.make_answer, configuration=None):
        self.requests = []
        self.metrics = messages_data.CountingMetrics()
        self.answer = answer
        self.configuration = configuration or make_configuration()
        self.is_ready = True
        self.app = caller_app.make_caller_app(
            lambda: self.configuration,
            self.handle,
            lambda: self.is_ready,
            self.metrics,
        )

    async def handle(self, request):
        self.requests.append(request)
        answer = self.answer(request.request_id)
        return await answer if asyncio.iscoroutine(answer) else answer


def run(scenario, **options):
    async def body():
        endpoint = CallerEndpoint(**options)
        async with asgi_server.serve_app(endpoint.app) as address:
            return await scenario(endpoint, address)

    return asyncio.run(body())


def make_payload(first="POST /booking/book?x=1 HTTP/1.1", body=b"hi", **headers):
    lines = {"Host": "h", "Fuchsiamoor-Key": "k", "Connection": "close"}
    lines |= {"Content-Length": str(len(body))}
    lines |= {name.replace("_", "-"): value for name, value in headers.items()}
    text = "".join(f"{name}: {value}\r\n" for name, value in lines.items() if value)
    return f"{first}\r\n{text}\r\n".encode() + body


def parse(raw):
    head, _, body = raw.partition(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines)
    return int(first.split()[1]), headers, body


def request_once(payload, **options):
    async def scenario(endpoint, address):
        return endpoint, *parse(await send_raw(address, payload))

    return run(scenario, **options)


def test_all_parts_of_a_request_are_parsed():
    payload = make_payload(
        Fuchsiamoor_Tenant="dala",
        Fuchsiamoor_Deadline_Ms="700",
        Idempotency_Key="i",
        Accept="*/*",
        TE="x",
        Connection="close, x-hop",
        X_Hop="1",
        Fuchsiamoor_Epoch="9",
    )
    before_ms = clock.read_clock_ms()
    endpoint, status, headers, body = request_once(payload)
    [request] = endpoint.requests
    assert 0 <= request.deadline_ms - before_ms - 700 < 600
    assert request._replace(request_id="", deadline_ms=0) == messages_data.make_request(
        request_id="",
        tenant="dala",
        key="k",
        idempotency_key="i",
        path="/book?x=1",
        headers=((b"accept", b"*/*"),),
        body=b"hi",
        deadline_ms=0,
    )
    assert (status, body) == (200, b"ok")
    assert headers["fuchsiamoor-verdict"] == "ran"
    assert headers["fuchsiamoor-request-id"] == request.request_id
    assert headers["fuchsiamoor-served-by"] == "almaty-1-a"
    assert "fuchsiamoor-reason" not in headers


@pytest.mark.parametrize(
    "verdict, status, name",
    [
        (NotRun(Reason.OVER_LIMIT, "full"), 429, "not-run"),
        (MayHaveRun(Reason.UPSTREAM_LOST, "full"), 502, "may-have-run"),
    ],
)
def test_refusal_says_whether_it_ran(verdict, status, name):
    def refuse(request_id):
        return messages_data.make_answer(
            request_id, verdict=verdict, status=status, body=b""
        )

    _, actual_status, headers, body = request_once(make_payload(), answer=refuse)
    assert (actual_status, headers["fuchsiamoor-verdict"]) == (status, name)
    assert headers["fuchsiamoor-reason"] == verdict.reason.value
    assert body == b"full\n"


@pytest.mark.parametrize(
    "payload, status",
    [
        (make_payload("GET /nothing/x HTTP/1.1"), 404),
        (make_payload("GET / HTTP/1.1"), 404),
        (make_payload(Fuchsiamoor_Tenant="other"), 403),
        (make_payload(Fuchsiamoor_Key=""), 400),
        (make_payload(Fuchsiamoor_Key="k" * 1025), 400),
        (make_payload().replace(b"Host", b"Fuchsiamoor-Key"), 400),
        (make_payload().replace(b"Key: k", b"Key: \xff"), 400),
        (make_payload(X="y" * caller_requests.MAX_HEAD_BYTES), 400),
        (make_payload(**{f"X{i}": "y" for i in range(100)}), 400),
        (make_payload(Fuchsiamoor_Deadline_Ms="0"), 400),
        (make_payload(Fuchsiamoor_Deadline_Ms="-1"), 400),
        (make_payload(Fuchsiamoor_Deadline_Ms="1e3"), 400),
        (make_payload(Fuchsiamoor_Deadline_Ms="600001"), 400),
        (make_payload(Content_Length="1001", body=b""), 413),
    ],
)
def test_invalid_request_is_refused_as_not_run(payload, status):
    endpoint, actual_status, headers, _ = request_once(payload)
    assert (actual_status, headers["fuchsiamoor-verdict"]) == (status, "not-run")
    assert headers["fuchsiamoor-reason"] and headers["fuchsiamoor-request-id"]
    assert headers["connection"] == "close"
    assert endpoint.requests == []


def test_chunked_body_over_the_limit_is_refused():
    chunk = b"200\r\n" + bytes(0x200) + b"\r\n"
    head = make_payload(Content_Length="", Transfer_Encoding="chunked", body=b"")
    endpoint, status, _, _ = request_once(head + 2 * chunk + b"0\r\n\r\n")
    assert status == 413 and endpoint.requests == []


def test_slow_body_is_refused_at_the_deadline():
    payload = make_payload(Fuchsiamoor_Deadline_Ms="30")[:-1]
    endpoint, status, headers, _ = request_once(payload)
    assert (status, headers["fuchsiamoor-verdict"]) == (504, "not-run")
    assert endpoint.requests == []


def test_disconnected_caller_cancels_only_its_own_request():
    cancelled = []

    async def wait(request_id):
        try:
            await asyncio.sleep(30)
        except asyncio.CancelledError:
            cancelled.append(request_id)
            raise

    async def scenario(endpoint, address):
        _, first = await asyncio.open_connection(*address)
        _, second = await asyncio.open_connection(*address)
        for writer in (first, second):
            writer.write(make_payload())
        while len(endpoint.requests) < 2:
            await asyncio.sleep(0.001)
        first.close()
        while not cancelled:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.01)
        assert cancelled == [endpoint.requests[0].request_id]
        assert endpoint.metrics.counts["requests.cancelled"] == 1
        second.close()

    run(scenario, answer=wait)


def test_caller_that_disconnects_while_sending_its_body_starts_no_request():
    async def scenario(endpoint, address):
        _, writer = await asyncio.open_connection(*address)
        writer.write(make_payload()[:-1])
        await asyncio.sleep(0.02)
        writer.close()
        while not endpoint.metrics.counts["requests.cancelled"]:
            await asyncio.sleep(0.001)
        assert endpoint.requests == []

    run(scenario)


def test_answer_to_another_request_is_not_delivered():
    crossed = messages_data.make_answer("other", body=b"secret")
    endpoint, status, headers, body = request_once(
        make_payload(), answer=lambda _: crossed
    )
    assert (status, headers["fuchsiamoor-verdict"]) == (502, "may-have-run")
    assert b"secret" not in body
    assert headers["fuchsiamoor-request-id"] == endpoint.requests[0].request_id


def test_answers_on_one_connection_are_complete_and_in_order():
    async def answer(request_id):
        await asyncio.sleep(0)
        return messages_data.make_answer(request_id, body=request_id.encode())

    async def scenario(endpoint, address):
        payload = make_payload(Connection="") * 2 + make_payload()
        raw = await send_raw(address, payload)
        ids = [request.request_id.encode() for request in endpoint.requests]
        positions = [raw.index(b"\r\n\r\n" + request_id) for request_id in ids]
        assert len(ids) == 3 and positions == sorted(positions)

    run(scenario, answer=answer)


@pytest.mark.parametrize("is_ready, status", [(True, 200), (False, 503)])
def test_ready_path_answers_503_until_the_daemon_is_ready(is_ready, status):
    async def scenario(endpoint, address):
        endpoint.is_ready = is_ready
        payload = make_payload("GET /_ready HTTP/1.1", b"")
        return parse(await send_raw(address, payload))[0]

    assert run(scenario) == status


def test_answer_to_a_head_request_has_no_body():
    _, status, headers, body = request_once(
        make_payload("HEAD /booking/ HTTP/1.1", b"")
    )
    assert (status, body) == (200, b"")
    assert "content-length" not in headers


def test_oversized_head_is_refused_before_it_is_complete():
    async def scenario(endpoint, address):
        endless = b"GET / HTTP/1.1\r\nx: " + b"y" * 2 * http_limits.MAX_HEAD_BYTES
        assert parse(await send_raw(address, endless))[0] == 400

    run(scenario)


@pytest.mark.parametrize("start", [b"", b"GET / HTTP/1.1\r\nx"])
def test_slow_head_is_refused(monkeypatch, start):
    monkeypatch.setattr(http_limits, "HEAD_TIMEOUT_S", 0.02)

    async def scenario(endpoint, address):
        assert parse(await send_raw(address, start))[0] == 400

    run(scenario)


names = st.sampled_from(
    [*sorted(caller_requests.OWN_HEADERS), b"content-length", b"connection", b"x"]
)


@given(
    st.lists(st.tuples(names, st.binary(max_size=20)), max_size=8),
    st.binary(max_size=20).map(lambda path: b"/booking/" + path),
    st.binary(max_size=10),
)
def test_any_head_is_parsed_or_refused(headers, raw_path, query):
    head = caller_requests.Head("GET", raw_path, query, headers)
    parsed = caller_requests.parse_head(make_configuration(), head, "r", 0)
    assert isinstance(parsed, (NotRun, caller_requests.ParsedHead))


def test_request_waits_for_the_first_configuration():
    async def scenario(endpoint, address):
        known, endpoint.configuration = (
            endpoint.configuration,
            configurations.make_empty_configuration(),
        )
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, setattr, endpoint, "configuration", known)
        return parse(
            await send_raw(address, make_payload("GET /booking/a HTTP/1.1", b""))
        )

    assert run(scenario)[0] == 200


def test_service_is_not_unknown_before_the_first_configuration(monkeypatch):
    monkeypatch.setattr(caller_app, "CONFIGURATION_WAIT_MS", 30)

    async def scenario(endpoint, address):
        endpoint.configuration = configurations.make_empty_configuration()
        return parse(
            await send_raw(address, make_payload("GET /booking/a HTTP/1.1", b""))
        )

    assert run(scenario)[0] == 503

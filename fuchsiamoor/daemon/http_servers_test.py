"""Shutdown of an HTTP server while a request may still be on its way."""

import asyncio
import socket

import pytest

from fuchsiamoor.core.addresses import Address
from fuchsiamoor.daemon import http_limits, http_servers

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


async def answer_all(scope, receive, send):
    headers = [(b"content-length", b"2")]
    start = {"type": "http.response.start", "status": 200, "headers": headers}
    await send(start)
    await send({"type": "http.response.body", "body": b"ok"})


def find_free_port():
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return found.getsockname()[1]


def run_with_server(scenario):
    async def run():
        address = Address("127.0.0.1", find_free_port())
        server = http_servers.make_server(answer_all, address)
        stop = asyncio.Event()
        serving = asyncio.ensure_future(http_servers.run_server(server, stop))
        while not server.started:
            await asyncio.sleep(0.01)
        try:
            return await scenario(address, stop)
        finally:
            stop.set()
            await serving

    return asyncio.run(asyncio.wait_for(run(), 10))


async def stop_and_wait(stop):
    stop.set()
    # Longer than the server takes to notice the shutdown.
    await asyncio.sleep(0.15)


def test_request_sent_during_a_shutdown_is_answered():
    async def scenario(address, stop):
        reader, writer = await asyncio.open_connection(*address)
        await asyncio.sleep(0.05)
        await stop_and_wait(stop)
        writer.write(REQUEST)
        answer = await reader.read()
        writer.close()
        return answer

    answer = run_with_server(scenario)
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"connection: close" in answer.lower()


# A request whose head had been read in part got no answer at a stop.
@pytest.mark.parametrize("requests_before", [0, 1])
def test_request_whose_head_has_begun_is_answered_after_a_shutdown(requests_before):
    async def scenario(address, stop):
        reader, writer = await asyncio.open_connection(*address)
        for _ in range(requests_before):
            writer.write(REQUEST)
            await reader.readuntil(b"ok")
        writer.write(REQUEST[:9])
        await asyncio.sleep(0.05)
        await stop_and_wait(stop)
        await asyncio.sleep(2 * http_limits.FIRST_REQUEST_GRACE_S)
        writer.write(REQUEST[9:])
        answer = await reader.read()
        writer.close()
        return answer

    answer = run_with_server(scenario)
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"connection: close" in answer.lower()


def test_connection_without_a_request_does_not_delay_a_shutdown():
    async def scenario(address, stop):
        reader, writer = await asyncio.open_connection(*address)
        await asyncio.sleep(0.05)
        started_s = asyncio.get_running_loop().time()
        await stop_and_wait(stop)
        assert await reader.read() == b""
        writer.close()
        return asyncio.get_running_loop().time() - started_s

    assert run_with_server(scenario) < http_limits.FIRST_REQUEST_GRACE_S + 1.0


def test_idle_keep_alive_connection_is_closed_immediately():
    async def scenario(address, stop):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(REQUEST)
        await reader.readuntil(b"ok")
        started_s = asyncio.get_running_loop().time()
        await stop_and_wait(stop)
        assert await reader.read() == b""
        writer.close()
        return asyncio.get_running_loop().time() - started_s

    assert run_with_server(scenario) < 1.0


# One read of a few callers brought thousands of requests, each of them with a scope and
# a cycle of its own: 20 callers took 220 MB.
def test_pipelined_requests_beyond_a_number_are_not_read():
    async def scenario(address, stop):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(REQUEST * 2_000)
        answers = await reader.read()
        writer.close()
        return answers

    answers = run_with_server(scenario).split(b"HTTP/1.1 200 OK\r\n")[1:]
    assert 0 < len(answers) <= http_limits.WAITING_MAX + 1
    assert [b"connection: close" in answer for answer in answers].index(True) == (
        len(answers) - 1
    )


def test_pipelined_requests_within_that_number_are_answered_in_order():
    async def scenario(address, stop):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(REQUEST * (http_limits.WAITING_MAX + 1))
        answers = b""
        while answers.count(b"200 OK") <= http_limits.WAITING_MAX:
            answers += await reader.read(65_536)
        writer.write(REQUEST)
        after = await reader.read(65_536)
        writer.close()
        return answers, after

    answers, after = run_with_server(scenario)
    assert b"close" not in answers and after.startswith(b"HTTP/1.1 200")

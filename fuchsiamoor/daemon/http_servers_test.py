"""A stop that meets connections whose request is still on its way."""

import asyncio
import socket

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


def play(scene):
    async def run():
        address = Address("127.0.0.1", find_free_port())
        server = http_servers.make_server(answer_all, address)
        stop = asyncio.Event()
        serving = asyncio.ensure_future(http_servers.run_server(server, stop))
        while not server.started:
            await asyncio.sleep(0.01)
        try:
            return await scene(address, stop)
        finally:
            stop.set()
            await serving

    return asyncio.run(asyncio.wait_for(run(), 10))


async def stop_and_wait(stop):
    stop.set()
    # Longer than the server takes to notice that it is to stop.
    await asyncio.sleep(0.15)


def test_a_request_that_crosses_the_stop_is_answered():
    async def scene(address, stop):
        reader, writer = await asyncio.open_connection(*address)
        await asyncio.sleep(0.05)
        await stop_and_wait(stop)
        writer.write(REQUEST)
        answer = await reader.read()
        writer.close()
        return answer

    answer = play(scene)
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"connection: close" in answer.lower()


def test_a_connection_without_a_request_does_not_hold_the_stop_up():
    async def scene(address, stop):
        reader, writer = await asyncio.open_connection(*address)
        await asyncio.sleep(0.05)
        began_s = asyncio.get_running_loop().time()
        await stop_and_wait(stop)
        assert await reader.read() == b""
        writer.close()
        return asyncio.get_running_loop().time() - began_s

    assert play(scene) < http_limits.FIRST_REQUEST_S + 1.0


def test_a_kept_connection_is_closed_at_once():
    async def scene(address, stop):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(REQUEST)
        await reader.readuntil(b"ok")
        began_s = asyncio.get_running_loop().time()
        await stop_and_wait(stop)
        assert await reader.read() == b""
        writer.close()
        return asyncio.get_running_loop().time() - began_s

    assert play(scene) < 1.0

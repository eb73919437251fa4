"""An HTTP server that answers each request with the next step of a script.

A step is the bytes to send, None to send nothing, or a function of the raw request that
returns either. After an incomplete answer the server closes the connection.
"""

import asyncio
import contextlib
import re
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from fuchsiamoor.testing import loopback_server

Step = bytes | None | Callable[[bytes], bytes | None]

_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)\r\n", re.IGNORECASE)


@dataclass(slots=True)
class ScriptedServer:
    """The remaining script and the requests received.

    Parameters
    ----------
    host : str
    port : int
    steps : list of Step
        Remaining steps, the next one first.
    requests : list of bytes
        Raw bytes of each complete request, in order.
    connection_count : int
        Connections accepted so far.
    """

    host: str
    port: int
    steps: list[Step]
    requests: list[bytes] = field(default_factory=list)
    connection_count: int = 0
    tasks: set[asyncio.Task] = field(default_factory=set)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def netloc(self) -> str:
        """Host and port as in a URL."""
        return f"{self.host}:{self.port}"


def make_answer(status: int, body: bytes = b"", headers: str = "") -> bytes:
    """Return a complete HTTP answer; ``headers`` are lines that end with CRLF."""
    head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body


@contextlib.asynccontextmanager
async def serve_script(steps: list[Step]) -> AsyncIterator[ScriptedServer]:
    """Serve a script on a free port of 127.0.0.1 until the block ends."""
    server = ScriptedServer("127.0.0.1", 0, list(steps))
    listener = await asyncio.start_server(
        lambda reader, writer: _serve_connection(server, reader, writer), server.host, 0
    )
    server.port = listener.sockets[0].getsockname()[1]
    try:
        yield server
    finally:
        listener.close()
        for task in server.tasks:
            task.cancel()
        await asyncio.gather(*server.tasks, return_exceptions=True)
        await loopback_server.end(*server.writers)


async def _serve_connection(
    server: ScriptedServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    server.connection_count += 1
    server.tasks.add(asyncio.current_task())
    server.writers.add(writer)
    try:
        while request := await _read_request(reader):
            server.requests.append(request)
            step = server.steps.pop(0) if server.steps else b""
            answer = step(request) if callable(step) else step
            if answer is None:
                await asyncio.sleep(3600)
            writer.write(answer)
            await writer.drain()
            if not is_complete(answer):
                return
    except (OSError, asyncio.CancelledError):
        pass
    finally:
        server.tasks.discard(asyncio.current_task())
        writer.close()


def is_complete(answer: bytes) -> bool:
    """Return whether an answer is complete, including its body."""
    head, separator, body = answer.partition(b"\r\n\r\n")
    length = _CONTENT_LENGTH.search(head + b"\r\n")
    if not separator:
        return False
    if length is None:
        return body.endswith(b"0\r\n\r\n") or b" 204 " in head
    return len(body) >= int(length[1])


async def _read_request(reader: asyncio.StreamReader) -> bytes:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return b""
    length = _CONTENT_LENGTH.search(head)
    return head + (await reader.readexactly(int(length[1])) if length else b"")

"""A small HTTP/1.1 server and client for the stand-ins; only the standard library."""

import asyncio
from urllib.parse import parse_qsl, urlsplit

REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed"}


class Request:
    """A request that has been read whole."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = (
            method,
            target,
            headers,
            body,
        )
        parts = urlsplit(target)
        self.path, self.query = parts.path, dict(parse_qsl(parts.query))


async def read_message(reader):
    """Return (first line, headers, body) of one message; None at a clean end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Server:
    """Serves ``async handle(request)``, which returns (status, headers, body).

    None as an answer leaves the request unanswered and the connection open.
    ``repeats(request, status)`` tells of each answer whether a second copy of it is
    sent, late: where the next answer on the connection is expected.
    """

    def __init__(self, handle, repeats=None):
        self.handle, self.repeats = handle, repeats
        self.connections, self.accepted = set(), 0
        self.server = None

    async def listen(self, host, port):
        """Listen at an address."""
        self.server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.connections.add((task, writer))
        self.accepted += 1
        number, extra = self.accepted, b""
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                writer.write(extra)
                line, headers, body = message
                method, target, _ = line.split(" ")
                request = Request(method, target, headers, body)
                request.connection = number
                answer = await self.handle(request)
                if answer is None:
                    await asyncio.sleep(3600)
                status, fields, content = answer
                lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}"]
                lines += [f"{name}: {value}" for name, value in fields.items()]
                lines.append(f"Content-Length: {len(content)}")
                payload = "\r\n".join(lines).encode() + b"\r\n\r\n" + content
                writer.write(payload)
                await writer.drain()
                extra = b""
                if self.repeats is not None and self.repeats(request, status):
                    extra = payload
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard((task, writer))
            writer.close()

    def abort(self):
        """Stop at once: refuse new connections and reset the open ones."""
        if self.server is not None:
            self.server.close()
        for task, writer in tuple(self.connections):
            writer.transport.abort()
            task.cancel()


async def call(host, port, method, target, headers=None, body=b"", timeout_s=1.0):
    """Send one request on a new connection; return (status, headers, body).

    Raises OSError, TimeoutError or EOFError without a whole answer.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            fields = {"Host": f"{host}:{port}"} | (headers or {})
            lines += [f"{name}: {value}" for name, value in fields.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            message = await read_message(reader)
            if message is None:
                raise EOFError("closed without an answer")
            return int(message[0].split(" ")[1]), message[1], message[2]
        finally:
            writer.close()

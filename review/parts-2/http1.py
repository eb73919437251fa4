"""HTTP/1.1 for the stand-ins: reading messages and writing answers."""

import asyncio


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip("\r\n").split("\r\n")
    fields = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in fields}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body that has a length or is chunked."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body


def make_answer(status: int, body: bytes, headers: dict[str, str]) -> bytes:
    """Return a whole answer with its length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join((*lines, "", "")).encode("latin-1") + body


class Answer:
    """What a client has seen: a status of 0 stands for a closed connection."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes):
        self.status, self.headers, self.body = status, headers, body


async def exchange(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 30.0,
) -> Answer:
    """Send one request on a new connection and return the whole answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join((*lines, "", "")).encode("latin-1") + body)
            first, answered = await read_head(reader)
            return Answer(
                int(first.split()[1]), answered, await read_body(reader, answered)
            )
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return Answer(0, {}, b"")
    finally:
        if writer is not None:
            writer.close()

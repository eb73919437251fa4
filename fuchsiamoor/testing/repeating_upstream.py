"""A scripted upstream that rejects requests and repeats rejections late."""

import asyncio

from fuchsiamoor.daemon.upstream_connection import AnswerMatch, match_request_id


def match_id(request_id: str, headers: list[tuple[bytes, bytes]]) -> AnswerMatch:
    """Return whether an answer of this upstream names a request."""
    return match_request_id(b"x-id", request_id, headers)


class RepeatingUpstream:
    """Rejects chosen requests once; copies of a rejection precede the next answer.

    Parameters
    ----------
    runs : list of str
        Ids of the requests that have run, in order.
    connections : int
        Number of connections accepted so far.
    """

    def __init__(self):
        self.runs: list[str] = []
        self.connections = 0
        self._copies: dict[str, int] = {}

    def reject_next(self, request_id: str, copies: int) -> None:
        """Reject the next sending of a request, and repeat that this many times."""
        self._copies[request_id] = copies

    async def serve(self, reader, writer) -> None:
        """Serve one connection."""
        self.connections += 1
        late = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = head.partition(b"x-id: ")[2].partition(b"\r")[0].decode()
                answer, copies = self._answer(request_id)
                writer.write(late + answer)
                late = answer * copies
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _answer(self, request_id: str) -> tuple[bytes, int]:
        copies = self._copies.pop(request_id, None)
        if copies is None:
            self.runs.append(request_id)
        status = "200 OK" if copies is None else "503 Service Unavailable"
        head = f"HTTP/1.1 {status}\r\nx-id: {request_id}\r\ncontent-length: 0\r\n\r\n"
        return head.encode(), copies or 0

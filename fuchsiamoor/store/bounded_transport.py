"""HTTP transport for httpx that limits the size and time of an answer's body."""

import asyncio
import time
from collections.abc import AsyncIterator

import httpx

from fuchsiamoor.core import http_status


class BoundedTransport(httpx.AsyncBaseTransport):
    """Wraps a transport; an answer over a limit raises `httpx.ReadError`.

    An answer with a content encoding is refused, because its decoded size is unknown,
    and so is one whose status is none.

    Parameters
    ----------
    transport : AsyncBaseTransport
    limit_bytes : int
        Largest body of an answer.
    limit_s : float
        Longest time from a request until the end of its answer. While a body arrives
        it is checked with each part; the client's own timeouts apply while none does.
    """

    def __init__(
        self, transport: httpx.AsyncBaseTransport, limit_bytes: int, limit_s: float
    ):
        self._transport = transport
        self._limit_bytes = limit_bytes
        self._limit_s = limit_s

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return its answer, whose body is limited."""
        ends_by_s = time.monotonic() + self._limit_s
        try:
            # Interim answers without end would never let a read time out.
            async with asyncio.timeout(self._limit_s):
                response = await self._transport.handle_async_request(request)
        except TimeoutError as error:
            raise httpx.ReadTimeout("no answer in time", request=request) from error
        if not http_status.is_final(response.status_code):
            await response.aclose()
            message = f"answer with status {response.status_code}"
            raise httpx.RemoteProtocolError(message, request=request)
        if response.headers.get("content-encoding", "identity") != "identity":
            await response.aclose()
            raise httpx.ReadError("answer with a content encoding", request=request)
        response.stream = _BoundedStream(
            response.stream, request, self._limit_bytes, ends_by_s
        )
        return response

    async def aclose(self) -> None:
        """Close the wrapped transport."""
        await self._transport.aclose()


class _BoundedStream(httpx.AsyncByteStream):
    """The body of one answer."""

    def __init__(
        self,
        stream: httpx.AsyncByteStream,
        request: httpx.Request,
        limit_bytes: int,
        ends_by_s: float,
    ):
        self._stream = stream
        self._request = request
        self._limit_bytes = limit_bytes
        self._ends_by_s = ends_by_s

    async def __aiter__(self) -> AsyncIterator[bytes]:
        received_bytes = 0
        async for chunk in self._stream:
            received_bytes += len(chunk)
            if received_bytes > self._limit_bytes:
                message = f"expected at most {self._limit_bytes} bytes of an answer"
                raise httpx.ReadError(message, request=self._request)
            if time.monotonic() > self._ends_by_s:
                raise httpx.ReadTimeout("answer takes too long", request=self._request)
            yield chunk

    async def aclose(self) -> None:
        await self._stream.aclose()

"""HTTP client of the local upstream: requests and control commands.

A request is written to a connection at most once, whatever its method. The verdict of
an answer never claims more than is certain: see `UpstreamClient.run`.
"""

import json
import re
import time
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from fuchsiamoor.core import byte_account
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.core.requests import Answer, Request
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.daemon import http_headers, upstream_pool
from fuchsiamoor.daemon.upstream_connection import (
    AnswerMatch,
    Lost,
    Received,
    WholeAnswer,
    match_request_id,
)
from fuchsiamoor.routing import error_answers

CONTROL_TIMEOUT_MS = 1000
PROBE_TIMEOUT_MS = 500
CONTROL_CONNECTIONS = 2
NOT_RUN_STATUS = 503

_REQUEST_ID = b"fuchsiamoor-request-id"

_REASON_BY_NOT_RUN_VALUE = {
    b"shed": Reason.SHED,
    b"fenced": Reason.FENCED,
    b"deadline": Reason.DEADLINE_PASSED,
    b"draining": Reason.SHUTTING_DOWN,
}
_METHODS_WITHOUT_BODY = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))
_METHOD = re.compile(r"[A-Z]+(?:-[A-Z]+)*")
_PATH = re.compile(r"/[!-~]*")


class Probe(StrEnum):
    """Result of a health probe of the upstream."""

    ANSWERED = "answered"
    REFUSED = "refused"
    SILENT = "silent"


class MalformedRequestError(ValueError):
    """The request cannot be encoded as HTTP."""


@dataclass(slots=True)
class UpstreamClient:
    """Client of one upstream.

    Parameters
    ----------
    instance : str
        Instance named as the server in answers that ran.
    pool, control_pool : Pool
        Separate connections for requests and control commands, so that neither
        waits for the other.
    """

    instance: str
    pool: upstream_pool.Pool
    control_pool: upstream_pool.Pool

    async def run(
        self,
        request: Request,
        shard: int,
        epoch: int,
        lease_until_unix_ms: int,
        deadline_at_unix_ms: int,
        domain: str = "",
    ) -> Answer:
        """Run a request at the upstream; raises nothing but `asyncio.CancelledError`.

        Parameters
        ----------
        request : Request
        shard : int
            Negative for a request without a key.
        epoch : int
            Fencing epoch of the shard.
        lease_until_unix_ms : int
            Unix time after which the upstream must not start the request.
        deadline_at_unix_ms : int
            Unix time after which the upstream must not start the request and the
            client stops waiting.
        domain : str
            Domain of the shard.

        Returns
        -------
        Answer
            `NotRun` if nothing was written or the upstream refused the request, `Ran`
            with a complete answer, `MayHaveRun` in every other case.
        """
        try:
            payload = _encode_request(
                self.pool.address,
                request,
                (domain, shard, epoch, lease_until_unix_ms),
                deadline_at_unix_ms,
            )
        except ValueError as error:
            return _refuse(request, NotRun(Reason.BAD_REQUEST, str(error)))
        remaining_ms = deadline_at_unix_ms - time.time_ns() // 1_000_000
        received = await upstream_pool.exchange(
            self.pool,
            payload,
            request.method == "HEAD",
            remaining_ms,
            lambda headers: _match_answer(request, headers),
            request_id=request.request_id,
        )
        match received:
            case NotRun():
                return _refuse(request, received)
            case Lost(reason, detail):
                return _refuse(request, MayHaveRun(reason, detail))
            case WholeAnswer():
                return _make_answer(self.instance, request, received)

    async def grant(
        self, domain: str, shards: Iterable[tuple[int, int]], until_ms: int
    ) -> bool:
        """Grant the upstream shards with their epochs; False without confirmation."""
        body = {"domain": domain, "shards": [*map(list, shards)], "until_ms": until_ms}
        return await _send_command(self, "grant", body)

    async def cancel(self, request_id: str) -> bool:
        """Cancel a request at the upstream; False without confirmation."""
        return await _send_command(self, "cancel", {"request_id": request_id})

    async def drain(self) -> bool:
        """Tell the upstream to refuse new requests; False without confirmation."""
        return await _send_command(self, "drain", {})

    async def health(self) -> bool:
        """Return whether the upstream reports that it is ready."""
        reply = await _query(self, "health")
        return reply.get("ready") is True

    async def probe(self) -> Probe:
        """Probe whether the upstream's process exists and responds."""
        match await _call_control(self, "GET", "health", b"", PROBE_TIMEOUT_MS):
            case WholeAnswer():
                return Probe.ANSWERED
            case NotRun(Reason.CONNECT_FAILED):
                return Probe.REFUSED
            case _:
                return Probe.SILENT

    async def load(self) -> int | None:
        """Return the in-flight requests that the upstream reports, None if unknown."""
        in_flight = (await _query(self, "load")).get("in_flight")
        return in_flight if type(in_flight) is int and in_flight >= 0 else None

    def close(self) -> None:
        """Close all connections immediately."""
        upstream_pool.close(self.pool)
        upstream_pool.close(self.control_pool)


def make_upstream_client(
    address: Address,
    connections: int,
    answer_limit_bytes: int,
    instance: str = "",
    account: byte_account.ByteAccount | None = None,
) -> UpstreamClient:
    """Return a client that has no open connections.

    Parameters
    ----------
    address : Address
    connections : int
        Largest number of connections that the upstream accepts; more than
        `CONTROL_CONNECTIONS`.
    answer_limit_bytes : int
        Largest accepted body of an answer.
    instance : str
        Instance named as the server in answers that ran.
    account : ByteAccount, optional
        Counts the bytes of unfinished answers on all connections.
    """
    account = account or byte_account.make_unlimited()
    for_requests = connections - CONTROL_CONNECTIONS
    if for_requests < 1:
        raise ValueError(
            f"connections: found {connections}, expected over {CONTROL_CONNECTIONS}"
        )
    return UpstreamClient(
        instance,
        *(
            upstream_pool.Pool(address, size, answer_limit_bytes, account=account)
            for size in (for_requests, CONTROL_CONNECTIONS)
        ),
    )


def _encode_request(
    address: Address,
    request: Request,
    fence: tuple[str, int, int, int],
    deadline_at_unix_ms: int,
) -> bytes:
    """Encode a request as HTTP/1.1.

    Raises
    ------
    MalformedRequestError
        If a part of it would be parsed as another header or request.
    """
    if not _METHOD.fullmatch(request.method) or not _PATH.fullmatch(request.path):
        raise MalformedRequestError(f"{request.method!r:.20} {request.path!r:.200}")
    lines = [
        f"{request.method} {request.path} HTTP/1.1",
        f"Host: {address.host}:{address.port}",
        f"Fuchsiamoor-Request-Id: {request.request_id}",
        f"Fuchsiamoor-Tenant: {request.tenant}",
    ]
    domain, shard, epoch, lease_until_unix_ms = fence
    start_by_unix_ms = deadline_at_unix_ms
    if shard >= 0:
        start_by_unix_ms = min(deadline_at_unix_ms, lease_until_unix_ms)
    lines.append(f"Fuchsiamoor-Deadline-At-Ms: {start_by_unix_ms}")
    if request.key:
        lines.append(f"Fuchsiamoor-Key: {request.key}")
    if shard >= 0:
        lines.append(f"Fuchsiamoor-Domain: {domain}")
        lines.append(f"Fuchsiamoor-Shard: {shard}")
        lines.append(f"Fuchsiamoor-Epoch: {epoch}")
        lines.append(f"Fuchsiamoor-Lease-Until-Ms: {lease_until_unix_ms}")
    if request.idempotency_key:
        lines.append(f"Idempotency-Key: {request.idempotency_key}")
    if request.body or request.method not in _METHODS_WITHOUT_BODY:
        lines.append(f"Content-Length: {len(request.body)}")
    head = [
        "\r\n".join(lines).encode(),
        *(b"%b: %b" % header for header in request.headers),
        b"\r\n",
    ]
    joined = b"\r\n".join(head)
    expected = len(lines) + len(request.headers) + 1
    if joined.count(b"\n") != expected or joined.count(b"\r") != expected:
        raise MalformedRequestError("line breaks within headers")
    return joined + request.body


def _match_answer(request: Request, headers: list[tuple[bytes, bytes]]) -> AnswerMatch:
    """Return whose an answer is; one to another request ends the exchange too.

    An upstream sends one answer to each request, so that an answer to another request
    means that the connection is out of step.
    """
    match = match_request_id(_REQUEST_ID, request.request_id, headers)
    return AnswerMatch.OWN if match is AnswerMatch.OWN else AnswerMatch.UNCLEAR


def _make_answer(instance: str, request: Request, received: WholeAnswer) -> Answer:
    for name, value in received.headers:
        if name == b"fuchsiamoor-not-run" and received.status == NOT_RUN_STATUS:
            reason = _REASON_BY_NOT_RUN_VALUE.get(value, Reason.SHED)
            return _refuse(request, NotRun(reason, "refused by the upstream"))
    return Answer(
        request.request_id,
        Ran(),
        received.status,
        http_headers.select_end_to_end(received.headers),
        received.body,
        instance,
    )


def _refuse(request: Request, verdict: NotRun | MayHaveRun) -> Answer:
    return error_answers.make_error_answer(request.request_id, verdict)


async def _send_command(client: UpstreamClient, name: str, body: dict) -> bool:
    received = await _call_control(client, "POST", name, json.dumps(body).encode())
    return isinstance(received, WholeAnswer) and received.status < 300


async def _query(client: UpstreamClient, name: str) -> dict[str, object]:
    received = await _call_control(client, "GET", name, b"")
    if not isinstance(received, WholeAnswer) or received.status != 200:
        return {}
    try:
        reply = json.loads(received.body)
    except ValueError:
        return {}
    return reply if isinstance(reply, dict) else {}


async def _call_control(
    client: UpstreamClient,
    method: str,
    name: str,
    body: bytes,
    timeout_ms: int = CONTROL_TIMEOUT_MS,
) -> Received | NotRun:
    host, port = client.pool.address
    head = (
        f"{method} /_control/{name} HTTP/1.1\r\nHost: {host}:{port}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    payload = head.encode() + body
    return await upstream_pool.exchange(client.control_pool, payload, False, timeout_ms)

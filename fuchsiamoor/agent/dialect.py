"""Interface of the protocol adapter that reads and writes a deployment's messages.

Each deployment's adapter provides a `Dialect`; only the adapter knows the names on the
wire.
"""

from collections.abc import Callable
from typing import NamedTuple

from fuchsiamoor.core.carried import CarriedRequest
from fuchsiamoor.core.requests import Headers
from fuchsiamoor.daemon.upstream_connection import AnswerMatch, WholeAnswer
from fuchsiamoor.ranges import granting
from fuchsiamoor.traffic import catalog, requests, upstreams


class HeartbeatCall(NamedTuple):
    """An upstream's call that reports its state."""

    upstream_id: str


class DeregisterCall(NamedTuple):
    """An upstream's call that announces that it is leaving."""

    upstream_id: str


class Health(NamedTuple):
    """Answer of an upstream to a health check.

    Parameters
    ----------
    upstream_id : str
        Empty if the answer does not name it.
    cold_for_ms : int
        Remaining time of its cold start, in milliseconds.
    load : ReportedLoad or None
    """

    upstream_id: str
    cold_for_ms: int
    load: upstreams.ReportedLoad | None


class Dialect(NamedTuple):
    """Readers and writers of one deployment's protocol.

    Readers raise `ValueError` for malformed input.

    Parameters
    ----------
    ready_path : str
        HTTP path of the readiness check.
    catalog_key : str
        Store key under which operators write the catalog.
    read_catalog : callable
        Decodes the catalog from its value in the store.
    read_evacuated : callable
        Returns the evacuated data centre that a store key names, None for other keys.
    read_upstream_call : callable
        Returns `HeartbeatCall`, `DeregisterCall` or None for a method and a path.
    read_heartbeat, write_heartbeat_answer : callable
    read_deregistration : callable
        Returns the start of the upstream that the body of a deregistration names, in
        Unix milliseconds, None if it names none.
    read_request : callable
        Decodes a caller's request from method, target, headers and body.
    write_request : callable
        Encodes a request for an upstream, given its id and the remaining milliseconds.
    match_answer : callable
        Returns whether the headers of an answer name a request id.
    read_answer : callable
    write_health_check, read_health : callable
    write_request_id : callable
        Returns the header that names the request in an answer by the daemon itself.
    """

    ready_path: str
    catalog_key: str
    read_catalog: Callable[[bytes], catalog.Catalog]
    read_evacuated: Callable[[str], str | None]
    read_upstream_call: Callable[[str, str], HeartbeatCall | DeregisterCall | None]
    read_heartbeat: Callable[[str, bytes], upstreams.UpstreamHeartbeat]
    write_heartbeat_answer: Callable[[granting.Grants | None], bytes]
    read_deregistration: Callable[[bytes], int | None]
    read_request: Callable[[str, str, Headers, bytes], requests.CallerRequest]
    write_request: Callable[[CarriedRequest, str, int], bytes]
    match_answer: Callable[[str, list[tuple[bytes, bytes]]], AnswerMatch]
    read_answer: Callable[[WholeAnswer], requests.UpstreamAnswer]
    write_health_check: Callable[[str, str], bytes]
    read_health: Callable[[WholeAnswer], Health]
    write_request_id: Callable[[str], tuple[bytes, bytes]]

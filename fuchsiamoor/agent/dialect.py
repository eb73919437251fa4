"""The dialect of a deployment: how its messages are read and written.

An adapter fills this in; nothing else in the product knows the names on the wire.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from fuchsiamoor.core.carried import CarriedRequest
from fuchsiamoor.core.requests import Headers
from fuchsiamoor.daemon.upstream_connection import WholeAnswer
from fuchsiamoor.ranges import granting
from fuchsiamoor.traffic import catalog, requests, upstreams


class HeartbeatCall(NamedTuple):
    """A call by which an upstream tells its state."""

    upstream_id: str


class DeregisterCall(NamedTuple):
    """A call by which an upstream says that it leaves."""

    upstream_id: str


class Health(NamedTuple):
    """Answer of an upstream's health check.

    Parameters
    ----------
    upstream_id : str
        Empty if it did not say.
    cold_for_ms : int
    load : ReportedLoad or None
    """

    upstream_id: str
    cold_for_ms: int
    load: upstreams.ReportedLoad | None


class Dialect(NamedTuple):
    """Readers raise `ValueError` for what they cannot read.

    Parameters
    ----------
    ready_path : str
        At which readiness is asked for.
    catalog_key : str
        Where operators write the catalog into the store.
    read_catalog, read_evacuated : callable
        Of a value, and of a key, in the store.
    read_upstream_call : callable
        `HeartbeatCall`, `DeregisterCall` or None for a method and a path.
    read_heartbeat, write_heartbeat_answer : callable
    read_request : callable
        Of a caller: method, target, headers and body.
    write_request : callable
        For the upstream: request, upstream's id and remaining milliseconds.
    is_answer_to : callable
        Whether headers of an answer belong to a request id.
    read_answer : callable
    write_health_check, read_health : callable
    write_request_id : callable
        Header of an answer of our own.
    """

    ready_path: str
    catalog_key: str
    read_catalog: Callable[[bytes], catalog.Catalog]
    read_evacuated: Callable[[str], str | None]
    read_upstream_call: Callable[[str, str], HeartbeatCall | DeregisterCall | None]
    read_heartbeat: Callable[[str, bytes], upstreams.UpstreamHeartbeat]
    write_heartbeat_answer: Callable[[granting.Grants | None], bytes]
    read_request: Callable[[str, str, Headers, bytes], requests.CallerRequest]
    write_request: Callable[[CarriedRequest, str, int], bytes]
    is_answer_to: Callable[[str, Iterable[tuple[bytes, bytes]]], bool]
    read_answer: Callable[[WholeAnswer], requests.UpstreamAnswer]
    write_health_check: Callable[[str, str], bytes]
    read_health: Callable[[WholeAnswer], Health]
    write_request_id: Callable[[str], tuple[bytes, bytes]]

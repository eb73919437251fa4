"""Builders of routes, services, settings and requests, and a minimal dialect."""

import json

from fuchsiamoor.agent import dialect as dialects
from fuchsiamoor.core import agent_settings
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.core.carried import NO_KEY, CarriedRequest
from fuchsiamoor.daemon.upstream_connection import AnswerMatch
from fuchsiamoor.traffic import catalog, organisations, requests, upstreams

KEYED_SERVICE = "stock"
PLAIN_SERVICE = "desk"
CATALOG_KEY = "operators/catalog"
EVACUATED_PREFIX = "operators/out/"
HEARTBEAT_PREFIX = "/heartbeat/"
DEREGISTER_PREFIX = "/deregister/"
ADDRESS = Address("127.0.0.1", 1)
REGION = "north"
DATA_CENTRE = f"{REGION}-1"


def make_route(name: str = "read", service: str = PLAIN_SERVICE, **changes):
    """Return a route to one service, with fields replaced."""
    route = catalog.Route(
        name=name,
        host="shop.example",
        path_prefix=f"/{name}/",
        shares=(catalog.ServiceShare(service, 1.0),),
        is_idempotent=True,
        timeout_ms=2_000,
        target_latency_ms=600,
        rank=1,
        attempts_max=2,
        home_regions=frozenset(),
    )
    return route._replace(**changes)


def make_service_settings(
    name: str = PLAIN_SERVICE, **changes
) -> catalog.ServiceSettings:
    """Return the settings of a service, with fields replaced."""
    settings = catalog.ServiceSettings(name, "/health", 64, 3_000, 16.0, False)
    return settings._replace(**changes)


def make_catalog(version: int = 1, *routes: catalog.Route) -> catalog.Catalog:
    """Return a catalog of one unkeyed and one keyed service."""
    services = [
        make_service_settings(),
        make_service_settings(KEYED_SERVICE, is_keyed=True),
    ]
    found = routes or (make_route(), make_route("keyed", KEYED_SERVICE))
    return catalog.make_catalog(version, found, services, catalog.CallerLimits())


def encode_version(version: int) -> bytes:
    """Return the stored form that the dialect decodes as `make_catalog(version)`."""
    return json.dumps(version).encode()


def make_settings(
    instance: str = "10.0.0.1", region: str = REGION, service: str = KEYED_SERVICE
) -> agent_settings.AgentSettings:
    """Return settings with placeholder addresses, which nothing may connect to."""
    return agent_settings.AgentSettings(
        instance=instance,
        service=service,
        region=region,
        data_centre=f"{region}-1",
        caller_address=ADDRESS,
        upstream_address=ADDRESS,
        control_address=ADDRESS,
        ready_address=ADDRESS,
        peer_address=ADDRESS,
        metrics_address=None,
        store_address=ADDRESS,
        heartbeat_ms=870,
        lease_min_ms=1_000,
        memory_bytes=200_000_000,
        bounds=agent_settings.Bounds(),
    )


def make_heartbeat(
    upstream_id: str = "i-1", started_unix_ms: int = 1, sequence: int = 1, **changes
) -> upstreams.UpstreamHeartbeat:
    """Return a heartbeat of a warm upstream of the keyed service."""
    heartbeat = upstreams.UpstreamHeartbeat(
        upstreams.Incarnation(upstream_id, started_unix_ms),
        KEYED_SERVICE,
        ADDRESS,
        DATA_CENTRE,
        sequence,
        18,
        False,
        0,
        (),
        (),
    )
    return heartbeat._replace(**changes)


def make_carried_request(request_id: str = "a1", **changes) -> CarriedRequest:
    """Return a request in transit to an upstream of the unkeyed service."""
    carried = CarriedRequest(
        request_id=request_id,
        method="GET",
        target="/read/1",
        headers=((b"host", b"shop.example"),),
        body=b"",
        body_ahead_bytes=0,
        key=NO_KEY,
        service=PLAIN_SERVICE,
        caller_service=PLAIN_SERVICE,
        route="read",
        rank=1,
        is_idempotent=True,
        is_repeat=False,
        home_regions=(),
        remaining_ms=1_000,
        in_time_ms=600,
        catalog_version=1,
        sent_ms=0,
    )
    return carried._replace(**changes)


def make_dialect() -> dialects.Dialect:
    """Return a minimal dialect in place of a platform adapter's."""
    return dialects.Dialect(
        ready_path="/ready",
        catalog_key=CATALOG_KEY,
        read_catalog=lambda value: make_catalog(json.loads(value)),
        read_evacuated=_read_evacuated,
        read_upstream_call=_read_upstream_call,
        read_heartbeat=_read_heartbeat,
        write_heartbeat_answer=lambda grants: b"{}",
        read_deregistration=lambda body: json.loads(body) if body else None,
        read_request=_read_request,
        write_request=_write_request,
        match_answer=lambda request_id, headers: AnswerMatch.OWN,
        read_answer=_read_answer,
        write_health_check=lambda path, host: b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        read_health=lambda whole: dialects.Health("", 0, None),
        write_request_id=lambda request_id: (b"X-Request", request_id.encode()),
    )


def _read_upstream_call(
    method: str, path: str
) -> dialects.HeartbeatCall | dialects.DeregisterCall | None:
    if path.startswith(HEARTBEAT_PREFIX):
        return dialects.HeartbeatCall(path.removeprefix(HEARTBEAT_PREFIX))
    if path.startswith(DEREGISTER_PREFIX):
        return dialects.DeregisterCall(path.removeprefix(DEREGISTER_PREFIX))
    return None


def encode_heartbeat(**changes) -> bytes:
    """Return the body that the dialect decodes as `make_heartbeat(id, **changes)`."""
    return json.dumps(changes).encode()


def encode_start(started_unix_ms: int | None) -> bytes:
    """Return the body of a deregistration."""
    return b"" if started_unix_ms is None else json.dumps(started_unix_ms).encode()


def _read_heartbeat(upstream_id: str, body: bytes) -> upstreams.UpstreamHeartbeat:
    changes = json.loads(body)
    if "address" in changes:
        changes["address"] = Address(*changes["address"])
    return make_heartbeat(upstream_id, **changes)


def _read_evacuated(key: str) -> str | None:
    if not key.startswith(EVACUATED_PREFIX):
        return None
    return key.removeprefix(EVACUATED_PREFIX)


def _read_request(method, target, headers, body) -> requests.CallerRequest:
    found = dict(headers)
    return requests.CallerRequest(
        request_id=found[b"x-request"].decode(),
        method=method,
        host=found[b"host"].decode(),
        target=target,
        headers=(),
        body=body,
        wait_ms=int(found.get(b"x-wait", b"1000")),
        key=int(found.get(b"x-key", b"-1")),
        parent_id=found.get(b"x-parent", b"").decode(),
        key_digest=organisations.digest_key(found.get(b"x-secret", b"")),
        credentials=tuple(header for header in headers if header[0] == b"x-secret"),
    )


def _write_request(request, upstream_id, remaining_ms) -> bytes:
    head = f"{request.method} {request.target} HTTP/1.1\r\nHost: a\r\n"
    length = f"Content-Length: {len(request.body)}\r\n\r\n"
    return (head + length).encode() + request.body


def _read_answer(whole) -> requests.UpstreamAnswer:
    found = dict(whole.headers)
    return requests.UpstreamAnswer(
        status=whole.status,
        headers=(),
        body=whole.body,
        has_run=b"x-not-run" not in found,
        is_misdirected=False,
        is_corrupt=False,
        load=None,
    )

"""Decodes heartbeat and deregister calls of upstreams; encodes heartbeat answers."""

import json
import re

from fuchsiamoor.agent import dialect
from fuchsiamoor.platform import scalars
from fuchsiamoor.ranges import granting
from fuchsiamoor.traffic import catalog, upstreams

READY_PATH = "/api/ready"
_CALL = re.compile(r"/api/instances/([!-.0->@-~]{1,128})/(heartbeat|deregister)")
_STATES = ("ready", "draining")
_RANGE_LISTS = frozenset({"holds", "released"})


def read_call(
    method: str, path: str
) -> dialect.HeartbeatCall | dialect.DeregisterCall | None:
    """Return the upstream call that a request makes, None for any other request.

    Examples
    --------
    >>> read_call("POST", "/api/instances/i-1/heartbeat")
    HeartbeatCall(upstream_id='i-1')
    """
    match = _CALL.fullmatch(path) if method == "POST" else None
    if match is None:
        return None
    if match[2] == "heartbeat":
        return dialect.HeartbeatCall(match[1])
    return dialect.DeregisterCall(match[1])


def read_heartbeat(upstream_id: str, body: bytes) -> upstreams.UpstreamHeartbeat:
    """Decode the body of a heartbeat.

    Raises
    ------
    ValueError
        If a field is missing or of the wrong type.
    """
    try:
        document = json.loads(body)
        if document["state"] not in _STATES:
            raise ValueError(f"state: found {document['state']!r:.40}")
        scalars.read_text(document["version"], "version")
        reports_ranges = not _RANGE_LISTS.isdisjoint(document)
        held = released = ()
        if reports_ranges:
            held = scalars.read_list(document["holds"], "holds")
            released = scalars.read_list(document["released"], "released")
        return upstreams.UpstreamHeartbeat(
            incarnation=upstreams.Incarnation(
                upstream_id, scalars.read_int(document["born"], "born")
            ),
            service=scalars.read_text(document["service"], "service"),
            address=scalars.read_address(document["address"]),
            data_centre=scalars.read_text(document["zone"], "zone"),
            sequence=scalars.read_int(document["sequence"], "sequence"),
            slots=min(
                scalars.read_int(document["capacity"], "capacity"),
                upstreams.SLOTS_MAX,
            ),
            is_draining=document["state"] == "draining",
            cold_for_ms=scalars.read_duration_ms(document["cold_left"]),
            held=tuple(_read_held(row) for row in held),
            released=tuple(_read_released(row) for row in released),
            reports_ranges=reports_ranges,
        )
    except scalars.MALFORMED as error:
        raise ValueError(f"heartbeat: malformed: {error!r:.200}") from error


def read_deregistration(body: bytes) -> int | None:
    """Return the start of the upstream that deregisters, None if it is not named.

    Raises
    ------
    ValueError
        If the body is malformed.
    """
    if not body:
        return None
    try:
        document = json.loads(body)
        if not isinstance(document, dict):
            raise ValueError("deregistration: expected an object")
        if "born" not in document:
            return None
        return scalars.read_int(document["born"], "born")
    except scalars.MALFORMED as error:
        raise ValueError(f"deregistration: malformed: {error!r:.200}") from error


def _read_held(row: list) -> upstreams.HeldRange:
    first, last, fence = row
    _check_range(first, last)
    return upstreams.HeldRange(first, last, scalars.read_int(fence, "fence"))


def _read_released(row: list) -> upstreams.ReleasedRange:
    first, last, handover = row
    _check_range(first, last)
    if not isinstance(handover, str):
        raise ValueError(f"handover: found {handover!r:.40}, expected a string")
    return upstreams.ReleasedRange(first, last, handover)


def _check_range(first: object, last: object) -> None:
    scalars.read_int(first, "first key")
    scalars.read_int(last, "last key")
    if not first <= last < catalog.KEY_COUNT:
        raise ValueError(
            f"key range: found {first} to {last}, expected valid keys in order"
        )


def write_answer(grants: granting.Grants | None) -> bytes:
    """Encode the answer to a heartbeat; if ``grants`` is None, it renews no hold."""
    if grants is None:
        return b"{}"
    document = {
        "holds": [list(grant) for grant in grants.rows],
        "hold_timeout": f"{grants.hold_ms}ms",
    }
    return json.dumps(document, separators=(",", ":")).encode()

"""HTTP endpoints for readiness checks, calls by the local upstream, and metrics."""

from loguru import logger

from fuchsiamoor.agent import awaited_grants, leaves, state, upstream_lifecycle
from fuchsiamoor.agent import dialect as dialects
from fuchsiamoor.agent.http_server import HttpAnswer, HttpRequest
from fuchsiamoor.core import addresses
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.traffic import upstreams

JSON_HEADERS = ((b"Content-Type", b"application/json"),)
# The upstream waits a second for its acknowledgement, the rest for the leave's record.
LISTING_WAIT_MS = 400
METRICS_HEADERS = ((b"Content-Type", b"text/plain; version=0.0.4"),)


def is_ready(agent: state.Agent) -> bool:
    """Return whether this daemon can serve callers."""
    return (
        agent.stopping_since_ms is None
        and agent.cache.catalog.version > 0
        and agent.cache.is_loaded
    )


async def handle_readiness(agent: state.Agent, request: HttpRequest) -> HttpAnswer:
    """Answer a readiness check."""
    if request.target.partition("?")[0] != agent.dialect.ready_path:
        return HttpAnswer(404)
    return HttpAnswer(200 if is_ready(agent) else 503)


async def handle_upstream_call(agent: state.Agent, request: HttpRequest) -> HttpAnswer:
    """Handle a heartbeat or a deregistration from the local upstream.

    A deregistration of an upstream that is not known is answered 503, as an upstream
    whose leave is not kept must not take the answer for an acknowledgement.
    """
    path = request.target.partition("?")[0]
    match agent.dialect.read_upstream_call(request.method, path):
        case dialects.HeartbeatCall(upstream_id):
            return await _handle_heartbeat(agent, upstream_id, request.body)
        case dialects.DeregisterCall(upstream_id):
            return await _handle_deregistration(agent, upstream_id, request.body)
        case None:
            return HttpAnswer(404)


async def _handle_heartbeat(
    agent: state.Agent, upstream_id: str, body: bytes
) -> HttpAnswer:
    try:
        heartbeat = agent.dialect.read_heartbeat(upstream_id, body)
    except ValueError as error:
        agent.metrics.count("heartbeat.malformed")
        logger.bind(error=str(error)).warning("heartbeat cannot be read")
        return HttpAnswer(400)
    if not upstream_lifecycle.is_from_local_upstream(agent, heartbeat):
        agent.metrics.count("heartbeat.foreign")
        logger.bind(
            upstream=upstream_id,
            service=heartbeat.service,
            address=addresses.format_address(heartbeat.address),
            data_centre=heartbeat.data_centre,
        ).warning("heartbeat does not come from the local upstream")
        return HttpAnswer(400)
    if upstream_lifecycle.lacks_ranges(agent, heartbeat):
        agent.metrics.count("heartbeat.malformed")
        logger.bind(upstream=upstream_id, service=heartbeat.service).warning(
            "heartbeat does not name the ranges held and released"
        )
        return HttpAnswer(400)
    grants = await awaited_grants.answer_heartbeat(agent, heartbeat)
    if heartbeat.is_draining and not await _keep_leave(agent, heartbeat.incarnation):
        return HttpAnswer(503)
    return HttpAnswer(200, JSON_HEADERS, agent.dialect.write_heartbeat_answer(grants))


async def _handle_deregistration(
    agent: state.Agent, upstream_id: str, body: bytes
) -> HttpAnswer:
    try:
        started_unix_ms = agent.dialect.read_deregistration(body)
    except ValueError as error:
        agent.metrics.count("heartbeat.malformed")
        logger.bind(error=str(error)).warning("deregistration cannot be read")
        return HttpAnswer(400)
    incarnation = upstream_lifecycle.find_leaving(agent, upstream_id, started_unix_ms)
    if incarnation is None and not agent.cache.is_loaded:
        await state.wait_until_loaded(agent, LISTING_WAIT_MS)
        incarnation = upstream_lifecycle.find_leaving(
            agent, upstream_id, started_unix_ms
        )
    if incarnation is None:
        logger.bind(upstream=upstream_id).warning("unknown upstream deregisters")
        return HttpAnswer(503)
    upstream_lifecycle.handle_deregistration(agent, incarnation)
    if not await _keep_leave(agent, incarnation):
        return HttpAnswer(503)
    return HttpAnswer(200, JSON_HEADERS, b"{}")


async def _keep_leave(agent: state.Agent, incarnation: upstreams.Incarnation) -> bool:
    """Return whether a leave outlives this daemon; otherwise it is not acknowledged."""
    owner = tables.make_owner(agent.settings.instance, incarnation)
    if await leaves.wait_until_kept(agent, owner):
        return True
    logger.bind(owner=owner).warning("leave is not acknowledged")
    return False


async def handle_metrics(agent: state.Agent, request: HttpRequest) -> HttpAnswer:
    """Return all metrics in the Prometheus text format."""
    return HttpAnswer(200, METRICS_HEADERS, agent.metrics.render())

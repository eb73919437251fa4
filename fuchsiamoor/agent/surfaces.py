"""Surfaces besides the callers': readiness, the upstream's reports, and metrics."""

from loguru import logger

from fuchsiamoor.agent import dialect as dialects
from fuchsiamoor.agent import state, table_writer, upstream_lifecycle
from fuchsiamoor.agent.http_server import HttpAnswer, HttpRequest

JSON = ((b"Content-Type", b"application/json"),)
METRICS_TYPE = ((b"Content-Type", b"text/plain; version=0.0.4"),)


def is_ready(agent: state.Agent) -> bool:
    """Return whether callers may be sent here."""
    return (
        agent.stopping_since_ms is None
        and agent.cache.catalog.version > 0
        and agent.cache.is_loaded
    )


async def answer_ready(agent: state.Agent, request: HttpRequest) -> HttpAnswer:
    """Answer a question for readiness."""
    if request.target.partition("?")[0] != agent.dialect.ready_path:
        return HttpAnswer(404)
    return HttpAnswer(200 if is_ready(agent) else 503)


async def answer_upstream(agent: state.Agent, request: HttpRequest) -> HttpAnswer:
    """Take in a report of the upstream beside."""
    path = request.target.partition("?")[0]
    match agent.dialect.read_upstream_call(request.method, path):
        case dialects.Report(upstream_id):
            return _answer_report(agent, upstream_id, request.body)
        case dialects.Farewell(upstream_id):
            upstream_lifecycle.handle_deregistration(agent, upstream_id)
            return HttpAnswer(200, JSON, b"{}")
        case None:
            return HttpAnswer(404)


def _answer_report(agent: state.Agent, upstream_id: str, body: bytes) -> HttpAnswer:
    try:
        heartbeat = agent.dialect.read_heartbeat(upstream_id, body)
    except ValueError as error:
        agent.metrics.count("heartbeat.malformed")
        logger.bind(error=str(error)).warning("heartbeat cannot be read")
        return HttpAnswer(400)
    grants = table_writer.answer_heartbeat(agent, heartbeat)
    return HttpAnswer(200, JSON, agent.dialect.write_heartbeat_answer(grants))


async def answer_metrics(agent: state.Agent, request: HttpRequest) -> HttpAnswer:
    """Return all metrics as text."""
    return HttpAnswer(200, METRICS_TYPE, agent.metrics.render())

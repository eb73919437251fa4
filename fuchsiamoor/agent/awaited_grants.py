"""Answers an upstream's heartbeats, the first one once this daemon is registered.

A daemon may grant keys once it is registered, and it registers with its upstream's
first heartbeat. Answered at once, that heartbeat would renew nothing: after a restart,
all keys that the upstream still holds would be refused until the next one.
"""

from fuchsiamoor.agent import state, table_writer, upstream_lifecycle
from fuchsiamoor.ranges import granting
from fuchsiamoor.traffic import upstreams

# The upstream waits a second for the answer; a quarter is left for a slow machine.
WAIT_MAX_MS = 750


async def answer_heartbeat(
    agent: state.Agent, heartbeat: upstreams.UpstreamHeartbeat
) -> granting.Grants | None:
    """Handle a heartbeat and return what the upstream may hold.

    Waits for the registration, `WAIT_MAX_MS` at most. A heartbeat that a later one
    supersedes meanwhile renews nothing.
    """
    received_ms = agent.now_ms()
    grants = table_writer.handle_heartbeat_and_releases(agent, heartbeat)
    if grants is not None or upstream_lifecycle.is_validly_registered(agent):
        return grants
    ends_by_ms = received_ms + WAIT_MAX_MS
    while not upstream_lifecycle.is_validly_registered(agent):
        left_ms = ends_by_ms - agent.now_ms()
        if left_ms <= 0 or not _may_be_granted(agent, heartbeat):
            return None
        await state.wait_for_change(agent, left_ms)
    if not _may_be_granted(agent, heartbeat):
        return None
    grants = upstream_lifecycle.grant_keys(agent, heartbeat, received_ms)
    if grants is not None and grants.rows:
        agent.metrics.count("heartbeat.waited")
        agent.events.emit(
            "heartbeat waited",
            owner=agent.upstream.owner,
            ranges=len(grants.rows),
            waited_ms=agent.now_ms() - received_ms,
        )
    return grants


def _may_be_granted(agent: state.Agent, heartbeat: upstreams.UpstreamHeartbeat) -> bool:
    """Return whether a registration would let this heartbeat be granted keys."""
    upstream = agent.upstream
    is_keyed = state.is_keyed(agent, heartbeat.service)
    return (
        (is_keyed or agent.cache.catalog.version == 0)
        and state.is_open(agent)
        and heartbeat.incarnation == upstream.incarnation
        and heartbeat.sequence == upstream.sequence
    )

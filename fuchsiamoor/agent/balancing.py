"""Load balancing: moves keys of an overloaded upstream to less loaded owners.

Only the daemon of the overloaded upstream decides, from its own measurements, and
queries the utilization of a few other owners. An owner that is not overloaded sends
no messages.
"""

import asyncio

from loguru import logger

from fuchsiamoor.agent import registrations, state, table_writer, upstream_lifecycle
from fuchsiamoor.core import errors, messages
from fuchsiamoor.ranges import demand as demands
from fuchsiamoor.ranges import rebalancing

TICK_MS = 250
# Interval of checks whether the service has become one with keys.
UNKEYED_CHECK_MS = 5_000
# Owners queried at a time, drawn at random; more of them improve the choice little, see
# `fuchsiamoor.ranges.rebalancing`.
PEERS_QUERIED_MAX = 6
# Enough for several round trips between regions.
QUERY_TIMEOUT_MS = 150
# Pause after keys were moved: the window over which demand is measured.
PAUSE_MS = demands.WINDOW_MS


def report_utilization(agent: state.Agent) -> messages.Utilization:
    """Return the utilization of the local upstream."""
    upstream, now_ms = agent.upstream, agent.now_ms()
    if upstream.demand is None:
        return messages.Utilization("", 0, 1, 100, False, 0)
    samples = demands.list_recent_samples(
        upstream.demand, upstream_lifecycle.list_own_rows(agent), now_ms
    )
    return _make_utilization(agent, samples)


def _make_utilization(
    agent: state.Agent, samples: list[demands.Sample]
) -> messages.Utilization:
    upstream, now_ms = agent.upstream, agent.now_ms()
    interval_ms = agent.settings.heartbeat_ms
    is_cold = (
        upstream.admission_queue.cold_per_s > 0
        and now_ms < upstream.admission_queue.cold_until_ms
    )
    is_registered = agent.registration.confirmed is not None
    return messages.Utilization(
        upstream.owner,
        demands.compute_utilization_percent(upstream.demand, samples, upstream.slots),
        upstream.slots,
        round(upstream.demand.work_percent),
        state.is_open(agent) and is_registered and not is_cold,
        (upstream.last_heartbeat_ms - now_ms) % interval_ms,
    )


async def balance_load(agent: state.Agent) -> None:
    """Move keys to other owners while the upstream is overloaded, until the stop."""
    while not agent.stopped.is_set():
        await asyncio.sleep(TICK_MS / 1000)
        if not state.is_keyed(agent, agent.upstream.service):
            await state.wait_for_change(agent, UNKEYED_CHECK_MS)
            continue
        if not state.is_open(agent):
            continue
        if not table_writer.may_write(agent) or upstream_lifecycle.has_moving_rows(
            agent
        ):
            continue
        if await _rebalance(agent):
            await asyncio.sleep(PAUSE_MS / 1000)


async def _rebalance(agent: state.Agent) -> bool:
    """Move keys to another owner if due; return whether the table was written."""
    upstream, now_ms = agent.upstream, agent.now_ms()
    samples = demands.list_recent_samples(
        upstream.demand, upstream_lifecycle.list_own_rows(agent), now_ms
    )
    own = _make_utilization(agent, samples)
    if own.asked_percent < rebalancing.MOVE_MIN_PERCENT:
        return False
    others = await _query_peers(agent)
    receiver = rebalancing.choose_receiver(own, others, agent.settings.heartbeat_ms)
    table = agent.cache.tables.get(upstream.service)
    if receiver is None or table is None or upstream.owner != own.owner:
        return False
    source = rebalancing.MoveSource(own, samples)
    planned = rebalancing.plan_move(table, source, receiver)
    if planned is None or not table_writer.may_write(agent):
        return False
    async with agent.table_lock:
        is_written = await table_writer.write_table(agent, table, planned, [])
    if is_written:
        agent.metrics.count("ranges.given_away")
    logger.bind(
        service=table.service,
        version=planned.version,
        asked_percent=own.asked_percent,
        receiver=receiver.owner,
        receiver_percent=receiver.asked_percent,
        written=is_written,
    ).info("keys given away")
    return is_written


async def _query_peers(agent: state.Agent) -> list[messages.Utilization]:
    """Return the utilization of some other owners of the service."""
    found = [
        registration
        for registration in agent.cache.directory.registered.values()
        if registration.service == agent.upstream.service
        and registration.instance != agent.settings.instance
        and registration.is_open
        and registration.data_centre not in agent.cache.evacuated
    ]
    chosen = agent.rng.sample(found, min(len(found), PEERS_QUERIED_MAX))
    answers = await asyncio.gather(*(_query_peer(agent, peer) for peer in chosen))
    return [answer for answer in answers if answer is not None]


async def _query_peer(
    agent: state.Agent, registration: registrations.Registration
) -> messages.Utilization | None:
    member = registrations.make_peer(registration)
    try:
        answer = await agent.links.call(
            member, messages.AskUtilization(), QUERY_TIMEOUT_MS
        )
    except errors.PeerError:
        agent.metrics.count("balance.unanswered")
        return None
    return answer if answer.owner == registration.owner else None

"""One daemon from its start to its stop, with its supervisor tree.

    daemon
      store        registration, watch
      ownership    range tables
      balance      gives keys away when the upstream has too much to do
      upstream     looks at a silent upstream
    surfaces       callers, readiness, upstream's reports, metrics, peers

The surfaces are opened before the tree and closed after it.
"""

import asyncio
import functools

from loguru import logger

from fuchsiamoor.agent import (
    balancing,
    dialect,
    entering,
    event_log,
    executing,
    http_server,
    metrics,
    registrations,
    state,
    store_sync,
    surfaces,
    table_writer,
    upstream_lifecycle,
    watch_relay,
)
from fuchsiamoor.core import agent_settings, errors, messages
from fuchsiamoor.core.carried import CarriedRequest
from fuchsiamoor.daemon import supervisor
from fuchsiamoor.peers import links as peer_links
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.store import port, relayed
from fuchsiamoor.traffic.catalog import CallerLimits

# The network between the daemons is the deployment's own; the key only tells daemons
# of this program from others.
PEER_KEYS = ("fuchsiamoor",)
# Share of the time to stop after which what still runs is ended.
STOP_SHARE = 5 / 6
# Time for the last answers to leave, in milliseconds.
FLUSH_MS = 100
CLOSE_GRACE_MS = 200
# Peers that are tried for one call of the store.
RELAY_TRIES = 3


def make_agent(
    settings: agent_settings.AgentSettings,
    spoken: dialect.Dialect,
    store: port.TransactionalStore,
) -> state.Agent:
    """Return a daemon that listens nowhere yet."""
    agent = state.Agent(settings, spoken, store, metrics.Metrics())
    agent.store = relayed.RelayedStore(
        store,
        lambda call, timeout_ms: call_any_peer(agent, call, timeout_ms),
        lambda: agent.now_ms(),
    )
    agent.events = event_log.EventLog(lambda: agent.now_ms())
    agent.ask_health = upstream_lifecycle.ask_health

    async def handle(sender_id: str, message: messages.Message) -> messages.Message:
        return await handle_message(agent, sender_id, message)

    own_id = f"{settings.instance}#{agent.run}"
    agent.links = peer_links.make_links(
        own_id,
        PEER_KEYS,
        handle,
        agent.metrics,
        lambda member: member.region != settings.region,
    )
    return agent


async def handle_message(
    agent: state.Agent, sender_id: str, message: messages.Message
) -> messages.Message:
    """Answer a message of another daemon."""
    match message:
        case CarriedRequest():
            return await _execute(agent, sender_id, message)
        case messages.Cancel(request_id):
            task = agent.carried_tasks.get(request_id)
            if task is not None:
                task.cancel()
            return messages.Done()
        case messages.AskUtilization():
            return balancing.report_utilization(agent)
        case messages.StoreCall(watch_relay.FOLLOW):
            return await watch_relay.handle_follow_call(agent, message)
        case messages.StoreCall():
            return await relayed.answer_call(agent.store.direct, message)
        case _:
            raise ValueError(f"{type(message).__name__}: not expected here")


async def call_any_peer(
    agent: state.Agent, call: messages.StoreCall, timeout_ms: int
) -> messages.StoreAnswer:
    """Have another daemon call the store, one of this region if there is one.

    Raises
    ------
    PeerError
        If no peer could be asked, or the one that was is lost.
    """
    own = agent.settings
    found = [
        registration
        for registration in agent.cache.directory.registered.values()
        if registration.instance != own.instance
    ]
    agent.rng.shuffle(found)
    found.sort(key=lambda registration: registration.region != own.region)
    unreachable = errors.PeerUnreachableError("no other daemon is known")
    for registration in found[:RELAY_TRIES]:
        member = registrations.make_peer(registration)
        try:
            return await agent.links.call(member, call, timeout_ms)
        except errors.PeerUnreachableError as error:
            unreachable = error
    raise unreachable


async def _execute(
    agent: state.Agent, sender_id: str, request: CarriedRequest
) -> messages.Message:
    """Run a carried request so that its sender can cancel it."""
    delay_ms = agent.delay_estimator.measure_delay_ms(
        sender_id, request.sent_ms, agent.now_ms()
    )
    request = request._replace(
        remaining_ms=request.remaining_ms - delay_ms,
        in_time_ms=request.in_time_ms - delay_ms,
    )
    if request.catalog_version > agent.cache.catalog.version:
        agent.catalog_refresh_due.set()
    task = asyncio.ensure_future(executing.execute(agent, request))
    agent.carried_tasks[request.request_id] = task
    try:
        return await task
    except asyncio.CancelledError:
        if not task.cancelled():
            task.cancel()
            raise
        return messages.Done()
    finally:
        if agent.carried_tasks.get(request.request_id) is task:
            del agent.carried_tasks[request.request_id]


async def run(agent: state.Agent) -> None:
    """Listen, run the tree until the daemon is told to stop, and close."""
    settings = agent.settings
    await peer_links.serve(agent.links, settings.peer_address)
    callers = _make_surface(agent, entering.handle)
    others = [
        (_make_surface(agent, surfaces.answer_ready), settings.ready_address),
        (_make_surface(agent, surfaces.answer_upstream), settings.control_address),
        (_make_surface(agent, surfaces.answer_metrics), settings.metrics_address),
    ]
    await callers.listen(settings.caller_address)
    for surface, address in others:
        if address is not None:
            await surface.listen(address)
    logger.bind(run=agent.run, service=settings.service).info("started")
    tree = asyncio.create_task(run_tree(agent))
    stop = asyncio.create_task(_stop_when_told(agent, callers))
    done, _ = await asyncio.wait((tree, stop), return_when=asyncio.FIRST_COMPLETED)
    for task in done:
        task.result()
    tree.cancel()
    for surface, _ in others:
        surface.close()
    agent.links.abort()
    await agent.links.close(CLOSE_GRACE_MS)
    logger.bind(run=agent.run).info("stopped")


def _make_surface(agent: state.Agent, handle) -> http_server.Surface:
    def get_limits() -> CallerLimits:
        return agent.cache.catalog.limits

    return http_server.Surface(functools.partial(handle, agent), get_limits)


async def run_tree(agent: state.Agent) -> None:
    """Run every part, each started again when it fails."""
    children = [
        supervisor.Child(
            "registration", functools.partial(store_sync.maintain_registration, agent)
        ),
        supervisor.Child("watch", functools.partial(store_sync.follow_store, agent)),
        supervisor.Child(
            "range tables", functools.partial(table_writer.maintain_table, agent)
        ),
        supervisor.Child("balance", functools.partial(balancing.balance_load, agent)),
        supervisor.Child(
            "upstream", functools.partial(upstream_lifecycle.monitor_health, agent)
        ),
    ]
    await supervisor.supervise(
        children, agent.metrics.record_task_failure, agent.now_ms
    )


def request_stop(agent: state.Agent) -> None:
    """Begin a planned stop, once."""
    if agent.stopping_since_ms is None:
        agent.stopping_since_ms = agent.now_ms()
        agent.registration.update_due.set()
        state.notify_change(agent)
        logger.bind(run=agent.run).info("stopping")


async def _stop_when_told(agent: state.Agent, callers: http_server.Surface) -> None:
    """Wait for the request to stop, then end what runs and hand keys over.

    Callers are taken until they have noticed; what runs then is ended in peace.
    """
    while agent.stopping_since_ms is None:
        await asyncio.sleep(0.05)
    callers.announce_close()
    last_ms = agent.stopping_since_ms + int(agent.settings.bounds.grace_ms * STOP_SHARE)
    while agent.now_ms() < last_ms:
        if state.has_been_stopping_for(agent, state.STOP_NOTICE_MS):
            callers.close()
            if callers.is_idle() and not agent.carried_tasks and not _owns_any(agent):
                break
        await asyncio.sleep(0.02)
    entering.end_all(agent)
    await asyncio.sleep(FLUSH_MS / 1000)
    callers.close()
    agent.stopped.set()
    lease_id = agent.registration.lease_id
    if lease_id:
        await _end_lease(agent, lease_id)


def _owns_any(agent: state.Agent) -> bool:
    """Return whether the upstream beside may still hold keys."""
    table = agent.cache.tables.get(agent.settings.service)
    owner = agent.upstream.owner
    if table is None or not owner or agent.upstream.is_down:
        return False
    if agent.now_ms() >= agent.upstream.granting.served_until_ms:
        return False
    return owner in tables.list_owners(table)


async def _end_lease(agent: state.Agent, lease_id: str) -> None:
    try:
        async with asyncio.timeout(CLOSE_GRACE_MS / 1000):
            await agent.store.revoke_lease(lease_id)
    except Exception as error:
        logger.bind(error=repr(error)).warning("registration not withdrawn")

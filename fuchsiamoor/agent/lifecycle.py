"""Start, supervision and stop of one daemon.

    daemon
      store        registration, watch, leaves
      ownership    range tables
      balance      moves keys away when the upstream is overloaded
      upstream     health checks of a silent upstream
    endpoints      callers, readiness, upstream's heartbeats, metrics, peers

The endpoints are opened before the supervisor tree and closed after it.
"""

import asyncio
import functools

from loguru import logger

from fuchsiamoor.agent import (
    balancing,
    caller_requests,
    connection_limits,
    dialect,
    endpoints,
    event_log,
    http_server,
    leaves,
    local_execution,
    metrics,
    quota_credits,
    registrations,
    state,
    store_eras,
    store_sync,
    table_writer,
    transfers,
    upstream_lifecycle,
    watch_relay,
)
from fuchsiamoor.core import agent_settings, byte_account, errors, messages
from fuchsiamoor.core.carried import CarriedRequest
from fuchsiamoor.core.verdicts import NotRun, Reason
from fuchsiamoor.daemon import supervisor
from fuchsiamoor.peers import links as peer_links
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.store import port, relayed
from fuchsiamoor.traffic.catalog import CallerLimits

# The network is private to the deployment, so this key is not secret: it only rejects
# connections from other programs.
PEER_KEYS = ("fuchsiamoor",)
# Time for other daemons to close their links: a few round trips between regions.
CLOSE_GRACE_MS = 200
# Interval at which a stopping daemon checks whether it may end.
STOP_CHECK_MS = 20
# Peers tried for one call of the store.
RELAY_ATTEMPTS = 3


def make_agent(
    settings: agent_settings.AgentSettings,
    deployment_dialect: dialect.Dialect,
    store: port.TransactionalStore,
    accounts: byte_account.Accounts | None = None,
) -> state.Agent:
    """Return a daemon that does not listen yet.

    Parameters
    ----------
    settings : AgentSettings
    deployment_dialect : Dialect
    store : TransactionalStore
    accounts : Accounts, optional
        Of which the store's part is in use by the store already.
    """
    agent = state.Agent(settings, deployment_dialect, store, metrics.Metrics())
    agent.accounts = accounts or byte_account.make_accounts(settings.memory_bytes)
    agent.store = relayed.RelayedStore(
        store,
        lambda call, timeout_ms: call_any_peer(agent, call, timeout_ms),
        lambda: agent.now_ms(),
        agent.metrics.count,
        on_era=functools.partial(store_eras.begin, agent),
    )
    agent.events = event_log.EventLog(lambda: agent.now_ms())
    agent.ask_health = upstream_lifecycle.ask_health
    for account in agent.accounts:
        account.on_cut = functools.partial(_record_cut, agent)

    async def handle(sender_id: str, message: messages.Message) -> messages.Message:
        return await handle_message(agent, sender_id, message)

    own_id = f"{settings.instance}#{agent.run}"
    agent.links = peer_links.make_links(
        own_id,
        PEER_KEYS,
        handle,
        agent.metrics,
        lambda member: member.region != settings.region,
        agent.accounts,
    )
    return agent


def _record_cut(agent: state.Agent, name: str, size_bytes: int) -> None:
    agent.metrics.count(f"bytes.cut.{name}")
    agent.events.emit("bytes cut", part=name, size_bytes=size_bytes)


async def handle_message(
    agent: state.Agent, sender_id: str, message: messages.Message
) -> messages.Message:
    """Answer a message from another daemon.

    Raises
    ------
    ValueError
        If this daemon does not handle messages of the type.
    """
    match message:
        case CarriedRequest():
            return await _execute_carried(agent, sender_id, message)
        case messages.Cancel(request_id):
            task = agent.carried_tasks.get(request_id)
            if task is not None:
                task.cancel()
            transfers.cancel(agent.transfers, request_id, agent.now_ms())
            return messages.Done()
        case messages.AskTransfer():
            return await _grant_transfer(agent, message)
        case messages.BodyPart(request_id, offset_bytes, content):
            is_kept = transfers.add_part(
                agent.transfers, request_id, offset_bytes, content, agent.now_ms()
            )
            return messages.TransferGranted() if is_kept else messages.Done()
        case messages.KeepLeave(owner):
            return leaves.keep(agent, owner)
        case messages.AskLoad():
            return messages.LoadReport(local_execution.read_load(agent))
        case messages.AskQuota():
            return quota_credits.allocate(agent, message)
        case messages.AskUtilization():
            return balancing.report_utilization(agent)
        case messages.StoreCall(watch_relay.FOLLOW):
            return await watch_relay.handle_follow_call(agent, message)
        case messages.StoreCall(store_sync.CATALOG):
            return store_sync.handle_catalog_call(agent)
        case messages.StoreCall():
            return await relayed.handle_call(agent.store, message)
        case _:
            raise ValueError(f"{type(message).__name__}: not expected here")


async def call_any_peer(
    agent: state.Agent, call: messages.StoreCall, timeout_ms: int
) -> messages.StoreAnswer:
    """Call the store through another daemon, of this region if possible.

    Raises
    ------
    PeerError
        If no peer could be reached, or the link to one was lost during the call.
    """
    own = agent.settings
    found = registrations.list_others(agent.cache.directory, own.instance)
    agent.rng.shuffle(found)
    found.sort(key=lambda registration: registration.region != own.region)
    unreachable = errors.PeerUnreachableError("no other daemon is registered")
    for registration in found[:RELAY_ATTEMPTS]:
        member = registrations.make_peer(registration)
        try:
            return await agent.links.call(member, call, timeout_ms)
        except errors.PeerUnreachableError as error:
            unreachable = error
    raise unreachable


async def _grant_transfer(
    agent: state.Agent, asked: messages.AskTransfer
) -> messages.Message:
    """Let another daemon send a body, or refuse its request before it is sent."""
    request = asked.request
    expected_ms = int(transfers.estimate_transfer_ms(agent.transfers))
    refused = local_execution.refuse_unless_admissible(agent, request, expected_ms)
    if refused is not None:
        return refused
    held_bytes = transfers.count_held_bytes(agent.transfers)
    if not byte_account.has_room(agent.accounts.bodies, held_bytes + asked.body_bytes):
        refusal = NotRun(Reason.OVER_LIMIT, "too many bodies are held")
        return local_execution.refuse(agent, request, refusal, expected_ms)
    is_granted = await transfers.wait_for_grant(
        agent.transfers, request.request_id, agent.now_ms
    )
    return messages.TransferGranted() if is_granted else messages.Done()


async def _execute_carried(
    agent: state.Agent, sender_id: str, request: CarriedRequest
) -> messages.Message:
    """Run a request forwarded by another daemon, which may cancel it."""
    delay_ms = agent.delay_estimator.estimate_delay_ms(
        sender_id, request.sent_ms, agent.now_ms()
    )
    request = request._replace(
        remaining_ms=request.remaining_ms - delay_ms,
        in_time_ms=request.in_time_ms - delay_ms,
    )
    state.note_catalog_version(agent, request.catalog_version)
    if request.body_ahead_bytes:
        body = transfers.take_body(
            agent.transfers,
            request.request_id,
            request.body_ahead_bytes,
            agent.now_ms(),
        )
        if body is None:
            refusal = NotRun(Reason.OVER_LIMIT, "its body has not arrived whole")
            return local_execution.refuse(agent, request, refusal)
        request = request._replace(body=body)
    size_bytes = len(request.body)
    if not byte_account.hold(agent.accounts.bodies, size_bytes):
        return local_execution.refuse(
            agent, request, NotRun(Reason.OVER_LIMIT, "too many bodies are held")
        )
    task = asyncio.ensure_future(local_execution.execute(agent, request))
    agent.carried_tasks[request.request_id] = task
    try:
        return await task
    except asyncio.CancelledError:
        if not task.cancelled():
            task.cancel()
            raise
        return messages.Done()
    finally:
        byte_account.release(agent.accounts.bodies, size_bytes)
        if agent.carried_tasks.get(request.request_id) is task:
            del agent.carried_tasks[request.request_id]


async def run(agent: state.Agent) -> None:
    """Listen, run the supervisor tree until a stop is requested, and close."""
    settings = agent.settings
    await peer_links.serve(agent.links, settings.peer_address)
    caller_server = _make_server(
        agent,
        caller_requests.handle,
        connection_limits.make_limits(settings.memory_bytes, settings.descriptors),
    )
    service_limits = connection_limits.make_service_limits()
    other_servers = [
        (
            _make_server(agent, endpoints.handle_readiness, service_limits),
            settings.ready_address,
        ),
        (
            _make_server(agent, endpoints.handle_upstream_call, service_limits),
            settings.control_address,
        ),
        (
            _make_server(agent, endpoints.handle_metrics, service_limits),
            settings.metrics_address,
        ),
    ]
    await caller_server.listen(settings.caller_address)
    for server, address in other_servers:
        if address is not None:
            await server.listen(address)
    logger.bind(run=agent.run, service=settings.service).info("started")
    tree = asyncio.create_task(run_tree(agent))
    stop = asyncio.create_task(_stop_on_request(agent, caller_server))
    try:
        done, _ = await asyncio.wait((tree, stop), return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
        _log_cut_runs(agent)
    finally:
        tree.cancel()
        stop.cancel()
        for server in (caller_server, *(server for server, _ in other_servers)):
            server.close()
        agent.links.abort()
        await agent.links.close(CLOSE_GRACE_MS)
    logger.bind(run=agent.run).info("stopped")


def _make_server(
    agent: state.Agent, handle, limits: connection_limits.ConnectionLimits
) -> http_server.HttpServer:
    def get_limits() -> CallerLimits:
        return agent.cache.catalog.limits

    return http_server.HttpServer(
        functools.partial(handle, agent),
        get_limits,
        agent.accounts,
        limits,
        lambda: agent.metrics.count("callers.closed_for_others"),
    )


async def run_tree(agent: state.Agent) -> None:
    """Run all background tasks under a supervisor, which restarts failed ones."""
    agent.started_ms = agent.now_ms()
    children = [
        supervisor.Child(
            "registration", functools.partial(store_sync.maintain_registration, agent)
        ),
        supervisor.Child("leaves", functools.partial(leaves.maintain_leaves, agent)),
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
    """Begin a planned stop; later calls have no effect."""
    if agent.stopping_since_ms is None:
        agent.stopping_since_ms = agent.now_ms()
        agent.stop_requested.set()
        agent.registration.update_due.set()
        state.notify_change(agent)
        logger.bind(run=agent.run).info("stopping")


async def _stop_on_request(
    agent: state.Agent, caller_server: http_server.HttpServer
) -> None:
    """Wait for a stop request, then finish running requests and hand keys over.

    New callers are served until their readiness checks show the stop. Requests then run
    to their end, or are cancelled at the deadline.
    """
    await agent.stop_requested.wait()
    caller_server.announce_close()
    ends_by_ms = state.find_end_ms(agent)
    notice_ms = min(state.STOP_NOTICE_MS, ends_by_ms - agent.stopping_since_ms)
    await asyncio.sleep(notice_ms / 1000)
    caller_server.close_idle()
    while agent.now_ms() < ends_by_ms and not _is_idle(agent, caller_server):
        await asyncio.sleep(STOP_CHECK_MS / 1000)
    _end_admission(agent, caller_server)
    # Requests that waited for a slot are refused before the others are cancelled.
    await asyncio.sleep(0)
    caller_requests.cancel_all(agent)
    await _deliver_answers(agent, caller_server)
    caller_server.close()
    agent.stopped.set()
    lease_id = agent.registration.lease_id
    if lease_id:
        await _revoke_lease(agent, lease_id)


def _is_idle(agent: state.Agent, caller_server: http_server.HttpServer) -> bool:
    """Return whether nothing runs here and no keys are held."""
    return (
        caller_server.is_idle()
        and not agent.carried_tasks
        and not _may_hold_keys(agent)
    )


def _end_admission(agent: state.Agent, caller_server: http_server.HttpServer) -> None:
    """Begin no more runs, and let other daemons send requests elsewhere.

    Other daemons may not know yet that this one stops. This happens in the same event
    loop step as the check that nothing runs, so that no run begins in between.
    """
    logger.bind(
        is_idle=_is_idle(agent, caller_server),
        stopping_for_ms=agent.now_ms() - agent.stopping_since_ms,
        requests=len(agent.caller_tasks),
        runs=len(agent.carried_tasks),
        holds_keys=_may_hold_keys(agent),
    ).info("stop ends")
    agent.has_ended_admission = True
    if agent.upstream.admission_queue is not None:
        refusal = NotRun(Reason.SHUTTING_DOWN, "the daemon ends")
        upstream_lifecycle.refuse_waiting(agent, refusal)
    agent.links.announce_leave()


async def _deliver_answers(
    agent: state.Agent, caller_server: http_server.HttpServer
) -> None:
    """Wait until callers and other daemons have been sent all answers.

    Daemons that were told of the leave then close their links, so that none of their
    messages is lost on its way here.
    """
    closes_by_ms = agent.now_ms() + CLOSE_GRACE_MS
    ends_by_ms = max(closes_by_ms, state.find_end_ms(agent))
    while agent.now_ms() < ends_by_ms:
        has_unsent = agent.links.has_unsent_answers() or not caller_server.is_idle()
        may_close = agent.now_ms() >= closes_by_ms or agent.links.is_left()
        if may_close and not has_unsent:
            return
        await asyncio.sleep(STOP_CHECK_MS / 1000)


def _log_cut_runs(agent: state.Agent) -> None:
    """Log the requests of other daemons that end without an answer."""
    for request_id in agent.carried_tasks:
        agent.events.emit(
            "run cut",
            request=request_id,
            stopping_for_ms=agent.now_ms() - agent.stopping_since_ms,
        )


def _may_hold_keys(agent: state.Agent) -> bool:
    """Return whether the local upstream may still hold keys."""
    table = agent.cache.tables.get(agent.settings.service)
    owner = agent.upstream.owner
    if table is None or not owner or agent.upstream.is_down:
        return False
    if agent.now_ms() >= agent.upstream.granting.current_until_ms:
        return False
    return owner in tables.list_owners(table)


async def _revoke_lease(agent: state.Agent, lease_id: str) -> None:
    try:
        async with asyncio.timeout(CLOSE_GRACE_MS / 1000):
            await agent.store.revoke_lease(lease_id)
    except Exception as error:
        logger.bind(error=repr(error)).warning(
            "registration lease could not be revoked"
        )

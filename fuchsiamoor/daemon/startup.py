"""Startup: creates the components of a node, connects them and runs them."""

import time

from loguru import logger

from fuchsiamoor.core import byte_account, members, requests, settings, verdicts
from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.daemon import (
    announcements,
    caller_app,
    coordinator_role,
    dispatch,
    http_servers,
    metrics,
    operator_app,
    operator_backend,
    registration,
    serving_leases,
    shutdown,
    store_metrics,
    supervisor_tree,
    upstream_adapter,
    upstream_client,
    upstream_lifecycle,
)
from fuchsiamoor.daemon import entry as entries
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.daemon import serving as servings
from fuchsiamoor.ownership import events
from fuchsiamoor.peers import links as peer_links
from fuchsiamoor.routing import error_answers
from fuchsiamoor.store import http_store

STORE_TIMEOUT_MS = 1_000
UPSTREAM_CONNECTIONS = 64
MAX_ANSWER_BYTES = 4 * 1024 * 1024


def make_connected_node(config: settings.Settings) -> nodes.Node:
    """Return a node whose components are connected but not listening yet."""
    made_metrics = _make_metrics(config)
    store = store_metrics.make_counted_store(
        http_store.make_http_store(config.store_url, STORE_TIMEOUT_MS), made_metrics
    )
    node = nodes.make_node(config, store, made_metrics)
    _connect_clients(node)
    _connect_request_handling(node)
    _register_change_handlers(node)
    return node


def _make_metrics(config: settings.Settings) -> metrics.Metrics:
    return metrics.make_metrics(
        config.statsd_address, config.instance, time.time_ns() // 1_000_000
    )


def _connect_clients(node: nodes.Node) -> None:
    async def handle(sender_id: str, message):
        return await dispatch.handle_message(node, sender_id, message)

    node.handle_message = handle
    accounts = byte_account.make_accounts(node.settings.memory_bytes)
    for account in accounts:
        account.on_cut = lambda name, size_bytes: node.metrics.count("bytes.cut")
    node.links = peer_links.make_links(
        node.member.member_id,
        node.settings.peer_keys,
        handle,
        node.metrics,
        accounts=accounts,
    )
    node.client = upstream_client.make_upstream_client(
        node.settings.upstream_address,
        UPSTREAM_CONNECTIONS,
        min(MAX_ANSWER_BYTES, accounts.answers.limit_bytes),
        node.settings.instance,
        accounts.answers,
    )


def _connect_request_handling(node: nodes.Node) -> None:
    def get_configuration() -> configurations.Configuration:
        return node.cluster_state.configuration

    def get_own_member() -> members.Member:
        return node.member

    node.serving = servings.make_serving(
        get_configuration=get_configuration,
        get_table=lambda domain: nodes.find_table(node, domain),
        own_member=get_own_member,
        check_serve=lambda domain, shard: serving_leases.check_serve(
            node, domain, shard
        ),
        upstream=upstream_adapter.UpstreamAdapter(node),
        metrics=node.metrics,
        now_ms=node.now_ms,
        unix_ms=lambda: time.time_ns() // 1_000_000,
        cancel_run=lambda request_id: node.client.cancel(request_id),
    )
    node.entry = entries.make_entry(
        get_configuration=get_configuration,
        get_table=lambda domain: nodes.find_table(node, domain),
        get_member=lambda member_id: nodes.find_member(node, member_id),
        list_members=lambda service: nodes.list_members(node, service),
        own_member=get_own_member,
        links=node.links,
        serve_local=lambda forward: servings.serve(node.serving, forward),
        metrics=node.metrics,
        now_ms=node.now_ms,
        rng=node.rng,
    )


def _register_change_handlers(node: nodes.Node) -> None:
    cluster_state = node.cluster_state

    def on_configuration() -> None:
        revision = cluster_state.configuration.revision
        logger.bind(revision=revision).info("configuration in force")
        serving_leases.add_missing_holders(node)
        changed = events.ConfigurationChanged(cluster_state.configuration)
        coordinator_role.dispatch_event_to_all(node, changed)
        node.metrics.apply_configuration(cluster_state.configuration)
        servings.handle_state_change(node.serving)
        entries.handle_state_change(node.entry)

    def on_table(domain: str) -> None:
        table = nodes.find_table(node, domain)
        node.metrics.record_table(table, node.member.member_id)
        serving_leases.adopt_table(node, domain)
        servings.handle_state_change(node.serving)
        entries.handle_table_change(node.entry, domain)
        nodes.spawn(node, upstream_lifecycle.grant_domain(node, domain), "grant")

    def on_directory() -> None:
        registration.check_superseded(node)
        coordinator_role.dispatch_event_to_all(
            node, coordinator_role.make_members_event(node)
        )
        entries.handle_state_change(node.entry)

    cluster_state.on_configuration = on_configuration
    cluster_state.on_table = on_table
    cluster_state.on_directory = on_directory


async def run(node: nodes.Node) -> None:
    """Listen, run the supervisor tree until the daemon stops, and close."""
    config = node.settings
    bind_address = config.peer_bind_address or config.peer_address
    await peer_links.serve(node.links, bind_address)
    servers = [
        ("callers", _make_caller_server(node)),
        ("operators", _make_operator_server(node)),
        ("announcements", _make_announce_server(node)),
    ]
    logger.bind(member=node.member.member_id).info("started")
    await supervisor_tree.run_tree(node, servers)
    await node.links.close()


def _make_caller_server(node: nodes.Node):
    async def handle(request: requests.Request) -> requests.Answer:
        started_ns = time.perf_counter_ns()
        try:
            answer = await entries.handle(node.entry, request)
        except Exception as error:
            node.metrics.count("requests.failed")
            logger.bind(request=request.request_id).error(
                f"request handler failed: {error!r}"
            )
            verdict = verdicts.MayHaveRun(verdicts.Reason.LINK_LOST, "daemon fault")
            answer = error_answers.make_error_answer(request.request_id, verdict)
        elapsed_us = (time.perf_counter_ns() - started_ns) // 1000
        node.metrics.record_answer(request.service, answer, elapsed_us)
        return answer

    app = caller_app.make_caller_app(
        lambda: node.cluster_state.configuration,
        handle,
        lambda: operator_backend.is_ready(node),
        node.metrics,
        lambda: node.draining_callers,
    )
    return http_servers.make_server(app, node.settings.caller_address)


def _make_operator_server(node: nodes.Node):
    app = operator_app.make_operator_app(
        operator_backend.NodeView(node),
        operator_backend.make_apply_document(node),
        node.settings.operator_keys,
        node.metrics,
    )
    return http_servers.make_server(app, node.settings.operator_address)


def _make_announce_server(node: nodes.Node):
    async def on_announce(announcement):
        return upstream_lifecycle.handle_announcement(node, announcement)

    async def on_leave(incarnation: str) -> None:
        await upstream_lifecycle.drain_upstream(node, incarnation)

    app = announcements.make_announce_app(on_announce, on_leave)
    return http_servers.make_server(app, node.settings.announce_address)


def request_stop(node: nodes.Node) -> None:
    """Start a planned stop, unless one is in progress."""
    if not node.leaving:
        nodes.spawn(node, shutdown.stop(node), "stop")

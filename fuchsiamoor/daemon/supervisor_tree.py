"""The supervisor tree of the daemon.

    daemon
      state sync   gossip, store reads, watches, upstream, registration
      ownership    renewals, candidacies (coordinator elections)
      servers      callers, operators, announcements
      housekeeping metrics, pauses of the event loop

The peer server is opened before the tree and closed after it.
"""

import asyncio
import time
from collections.abc import Sequence

from loguru import logger

from fuchsiamoor.daemon import (
    coordinator_election,
    http_servers,
    loop_pauses,
    operator_backend,
    registration,
    serving_leases,
    state_sync,
    store_watch,
    supervisor,
    upstream_lifecycle,
)
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.reports import metric_names

METRICS_INTERVAL_S = 1.0


async def run_tree(node: nodes.Node, servers: Sequence[tuple[str, object]]) -> None:
    """Run all children until the daemon stops.

    Parameters
    ----------
    node : Node
    servers : sequence of (name, server)
        HTTP servers of the daemon.
    """
    groups = [
        ("carrying", _list_sync_children(node)),
        ("ownership", _list_ownership_children(node)),
        ("surfaces", _list_server_children(node, servers)),
        ("housekeeping", _list_housekeeping_children(node)),
    ]
    group_children = [
        supervisor.Child(name, lambda children=children: _supervise(node, children))
        for name, children in groups
    ]
    running = asyncio.ensure_future(_supervise(node, group_children))
    stopped = asyncio.ensure_future(node.stopped.wait())
    await asyncio.wait({running, stopped}, return_when=asyncio.FIRST_COMPLETED)
    stopped.cancel()
    if running.done():
        running.result()
    running.cancel()
    await asyncio.wait({running})


async def _supervise(node: nodes.Node, children: list[supervisor.Child]) -> None:
    def on_failure(name: str, error: BaseException) -> None:
        node.metrics.count("supervisor.restarted")
        logger.bind(child=name, error=repr(error)).error("child failed")

    await supervisor.supervise(children, on_failure, node.now_ms)


def _list_sync_children(node: nodes.Node) -> list[supervisor.Child]:
    return [
        supervisor.Child("gossip", lambda: state_sync.run_gossip(node)),
        supervisor.Child("store reads", lambda: state_sync.poll_store(node)),
        supervisor.Child(
            "configuration watch", lambda: store_watch.watch_configuration(node)
        ),
        supervisor.Child("members watch", lambda: store_watch.watch_members(node)),
        supervisor.Child("upstream", lambda: upstream_lifecycle.watch_upstream(node)),
        supervisor.Child(
            "registration", lambda: registration.maintain_registration(node)
        ),
    ]


def _list_ownership_children(node: nodes.Node) -> list[supervisor.Child]:
    return [
        supervisor.Child("renewals", lambda: serving_leases.run_renewals(node)),
        supervisor.Child(
            "candidacies", lambda: coordinator_election.run_elections(node)
        ),
    ]


def _list_server_children(node: nodes.Node, servers) -> list[supervisor.Child]:
    return [
        supervisor.Child(
            name,
            lambda server=server: _run_server(node, server),
        )
        for name, server in servers
    ]


def _list_housekeeping_children(node: nodes.Node) -> list[supervisor.Child]:
    return [
        supervisor.Child("metrics", lambda: _flush_metrics(node)),
        supervisor.Child(
            "loop pauses", lambda: loop_pauses.measure(node.pause_history, node.now_ms)
        ),
    ]


async def _run_server(node: nodes.Node, server) -> None:
    node.open_servers += 1
    try:
        await http_servers.run_server(server, node.closing)
    finally:
        node.open_servers -= 1


async def _flush_metrics(node: nodes.Node) -> None:
    started_ms = node.now_ms()
    while True:
        await asyncio.sleep(METRICS_INTERVAL_S)
        elapsed_ms = node.now_ms() - started_ms
        started_ms = node.now_ms()
        node.metrics.timing(
            metric_names.LOOP_LAG, elapsed_ms - METRICS_INTERVAL_S * 1000
        )
        node.metrics.record_status(operator_backend.make_status(node), elapsed_ms)
        node.metrics.flush(time.time_ns() // 1_000_000)

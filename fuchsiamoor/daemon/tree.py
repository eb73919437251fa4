"""The supervisor tree of the daemon, whole.

    daemon
      carrying     gossip, store reads, watches, upstream, registration
      ownership    renewals, candidacies
      surfaces     callers, operators, announcements
      housekeeping metrics

The peer server is opened before the tree and closed after it.
"""

import asyncio
import time
from collections.abc import Sequence

from loguru import logger

from fuchsiamoor.daemon import (
    candidacy,
    exchange,
    http_servers,
    operating,
    registration,
    serving_leases,
    supervisor,
    upstream_lifecycle,
    watching,
)
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.reports import metric_names

METRICS_EVERY_S = 1.0


async def run_tree(node: nodes.Node, surfaces: Sequence[tuple[str, object]]) -> None:
    """Run every part until the daemon is told to stop.

    Parameters
    ----------
    node : Node
    surfaces : sequence of (name, server)
    """
    parts = [
        ("carrying", _carrying(node)),
        ("ownership", _ownership(node)),
        ("surfaces", _surfaces(node, surfaces)),
        ("housekeeping", [supervisor.Child("metrics", lambda: _flush_metrics(node))]),
    ]
    branches = [
        supervisor.Child(name, lambda children=children: _supervise(node, children))
        for name, children in parts
    ]
    running = asyncio.ensure_future(_supervise(node, branches))
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


def _carrying(node: nodes.Node) -> list[supervisor.Child]:
    return [
        supervisor.Child("gossip", lambda: exchange.run_gossip(node)),
        supervisor.Child("store reads", lambda: exchange.run_store_reads(node)),
        supervisor.Child(
            "configuration watch", lambda: watching.watch_configuration(node)
        ),
        supervisor.Child("members watch", lambda: watching.watch_members(node)),
        supervisor.Child("upstream", lambda: upstream_lifecycle.watch_upstream(node)),
        supervisor.Child("registration", lambda: registration.run_registration(node)),
    ]


def _ownership(node: nodes.Node) -> list[supervisor.Child]:
    return [
        supervisor.Child("renewals", lambda: serving_leases.run_renewals(node)),
        supervisor.Child("candidacies", lambda: candidacy.run_candidacies(node)),
    ]


def _surfaces(node: nodes.Node, surfaces) -> list[supervisor.Child]:
    return [
        supervisor.Child(
            name,
            lambda server=server: _run_surface(node, server),
        )
        for name, server in surfaces
    ]


async def _run_surface(node: nodes.Node, server) -> None:
    node.open_surfaces += 1
    try:
        await http_servers.run_server(server, node.closing)
    finally:
        node.open_surfaces -= 1


async def _flush_metrics(node: nodes.Node) -> None:
    began_ms = node.now_ms()
    while True:
        await asyncio.sleep(METRICS_EVERY_S)
        elapsed_ms = node.now_ms() - began_ms
        began_ms = node.now_ms()
        node.metrics.timing(metric_names.LOOP_LAG, elapsed_ms - METRICS_EVERY_S * 1000)
        node.metrics.observe(operating.describe_node(node), elapsed_ms)
        node.metrics.flush(time.time_ns() // 1_000_000)

"""Stopping: a planned stop hands everything over before it closes anything."""

import asyncio

from loguru import logger

from fuchsiamoor.daemon import coordinating, registration, upstream_lifecycle
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.daemon import serving as servings

CHECK_MS = 50
HAND_OVER_LIMIT_MS = 15_000
LAST_CONNECTIONS_MS = 500


async def stop(node: nodes.Node) -> None:
    """Hand over the shards and roles, finish what runs, then let the tree end."""
    logger.info("stopping")
    node.leaving = True
    servings.mark_leaving(node.serving)
    node.renew_now.set()
    await _wait_until_drained(node)
    for coordination in list(node.coordinating.values()):
        await coordinating.resign(node, coordination)
    node.draining_callers = True
    await asyncio.sleep(LAST_CONNECTIONS_MS / 1000)
    node.closing.set()
    await _wait_until_idle(node)
    await registration.deregister(node)
    node.stopped.set()


async def _wait_until_drained(node: nodes.Node) -> None:
    end_ms = node.now_ms() + HAND_OVER_LIMIT_MS
    while node.now_ms() < end_ms and upstream_lifecycle.has_shards_to_hand_over(node):
        await asyncio.sleep(CHECK_MS / 1000)
    try:
        await asyncio.wait_for(servings.drain(node.serving), HAND_OVER_LIMIT_MS / 1000)
    except TimeoutError:
        node.metrics.count("stop.drain_timed_out")


async def _wait_until_idle(node: nodes.Node) -> None:
    end_ms = node.now_ms() + HAND_OVER_LIMIT_MS
    while node.now_ms() < end_ms and node.open_surfaces:
        await asyncio.sleep(CHECK_MS / 1000)

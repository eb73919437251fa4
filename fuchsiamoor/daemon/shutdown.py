"""Planned stop: hands over shards and roles before it closes any server."""

import asyncio

from loguru import logger

from fuchsiamoor.daemon import coordinator_role, registration, upstream_lifecycle
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.daemon import serving as servings

CHECK_INTERVAL_MS = 50
DRAIN_TIMEOUT_MS = 15_000
CALLER_CLOSE_MS = 500  # time for callers to close their connections


async def stop(node: nodes.Node) -> None:
    """Hand over shards and roles, finish requests, then end the supervisor tree."""
    logger.info("stopping")
    node.leaving = True
    servings.mark_leaving(node.serving)
    node.renew_now.set()
    await _wait_until_handed_over(node)
    for role in list(node.coordinator_roles.values()):
        await coordinator_role.resign(node, role)
    node.draining_callers = True
    await asyncio.sleep(CALLER_CLOSE_MS / 1000)
    node.closing.set()
    await _wait_until_idle(node)
    await _drain(node)
    await registration.deregister(node)
    node.stopped.set()


async def _wait_until_handed_over(node: nodes.Node) -> None:
    give_up_ms = node.now_ms() + DRAIN_TIMEOUT_MS
    while node.now_ms() < give_up_ms and upstream_lifecycle.has_shards_to_hand_over(
        node
    ):
        await asyncio.sleep(CHECK_INTERVAL_MS / 1000)


async def _wait_until_idle(node: nodes.Node) -> None:
    give_up_ms = node.now_ms() + DRAIN_TIMEOUT_MS
    while node.now_ms() < give_up_ms and node.open_servers:
        await asyncio.sleep(CHECK_INTERVAL_MS / 1000)


async def _drain(node: nodes.Node) -> None:
    """Refuse peers' requests, and wait for those that were accepted."""
    try:
        await asyncio.wait_for(servings.drain(node.serving), DRAIN_TIMEOUT_MS / 1000)
    except TimeoutError:
        node.metrics.count("stop.drain_timed_out")

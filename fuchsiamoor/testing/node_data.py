"""Builders of nodes for tests of the daemon's parts."""

from fuchsiamoor.core import settings
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.daemon import metrics, store_metrics
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.daemon import serving as servings
from fuchsiamoor.ownership.lease_holder import MayServe
from fuchsiamoor.testing import ownership_data, requests_data, virtual_time
from fuchsiamoor.testing.scripted_upstream import ScriptedUpstream

LEASE_UNTIL_MS = 60_000


def make_settings(port: int = 1) -> settings.Settings:
    """Return the settings of an instance of the stock service."""
    address = Address("127.0.0.1", port)
    return settings.Settings(
        "a-1",
        "stock",
        "a",
        "a-1",
        *[address] * 5,
        "",
        None,
        (),
        (),
        ownership_data.TIMING,
    )


def make_node(store, port: int = 1) -> nodes.Node:
    """Return the node of a daemon that has not started."""
    node_metrics = metrics.make_metrics(None)
    return nodes.make_node(
        make_settings(port),
        store_metrics.make_counted_store(store, node_metrics),
        node_metrics,
    )


def connect_serving(node: nodes.Node, upstream: ScriptedUpstream) -> None:
    """Give a node a serving side in virtual time that may serve all keys."""
    table = requests_data.make_table()
    node.serving = servings.make_serving(
        get_configuration=requests_data.make_configuration,
        get_table=lambda domain: table,
        own_member=requests_data.make_member,
        check_serve=lambda domain, shard: MayServe(1, LEASE_UNTIL_MS),
        upstream=upstream,
        metrics=upstream,
        now_ms=virtual_time.now_ms,
        unix_ms=virtual_time.now_ms,
        cancel_run=upstream.cancel,
    )
    servings.handle_upstream_announced(node.serving, "first", 10, 130)

"""Builders of nodes for tests of the daemon's parts."""

from fuchsiamoor.core import settings
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.daemon import metrics, store_metrics
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.testing import ownership_data


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

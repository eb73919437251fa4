"""Observing: feeds the metrics of a node from what it does and holds."""

from fuchsiamoor.core import requests, tables, verdicts
from fuchsiamoor.daemon import node as nodes
from fuchsiamoor.daemon import upstream_watch
from fuchsiamoor.reports import counts, metric_names
from fuchsiamoor.routing import capacity


def record_ending(
    node: nodes.Node,
    request: requests.Request,
    answer: requests.Answer,
    elapsed_us: int,
) -> None:
    """Count the ending of a caller's request."""
    match answer.verdict:
        case verdicts.Ran():
            node.metrics.count(metric_names.REQUESTS_RAN)
        case verdicts.NotRun():
            node.metrics.count(metric_names.REQUESTS_NOT_RUN)
        case verdicts.MayHaveRun():
            node.metrics.count(metric_names.REQUESTS_MAY_HAVE_RUN)
    node.metrics.timing(metric_names.REQUEST_TIME, elapsed_us / 1000)
    outcome = counts.classify_answer(answer)
    node.metrics.request_ended(request.service, outcome, elapsed_us)


def record_configuration(node: nodes.Node) -> None:
    """Take objectives and data centres out of service from a new configuration."""
    configuration = node.knowledge.configuration
    node.metrics.slow_after_us = {
        name: service.objective.latency_ms * 1000
        for name, service in configuration.services.items()
    }
    node.metrics.data_centres_out = configuration.data_centres_out


def record_moves(
    node: nodes.Node, before: tables.ShardTable | None, after: tables.ShardTable
) -> None:
    """Count the shards that a confirmed write has moved, as its coordinator."""
    if before is None:
        return
    service = after.domain.partition("@")[0]
    moved = [
        shard
        for shard, owner in enumerate(before.owners)
        if owner != tables.NO_OWNER and after.owners[shard] != owner
    ]
    unplanned = sum(1 for shard in moved if shard in after.pending)
    planned = len(moved) - unplanned
    if unplanned:
        node.metrics.count(metric_names.SHARDS_MOVED_UNPLANNED, unplanned)
        node.metrics.shards_moved(service, planned=False, n=unplanned)
    if planned:
        node.metrics.count(metric_names.SHARDS_MOVED_PLANNED, planned)
        node.metrics.shards_moved(service, planned=True, n=planned)


def record_pending(node: nodes.Node, elapsed_ms: int) -> None:
    """Add up the time for which coordinated shards have nobody to serve them."""
    for domain in node.coordinating:
        table = nodes.find_table(node, domain)
        if table is not None and table.pending:
            service = domain.partition("@")[0]
            node.metrics.shards_unavailable(service, len(table.pending) * elapsed_ms)


def set_gauges(node: nodes.Node, lag_ms: float) -> None:
    """Set all gauges to what the node holds now."""
    metrics = node.metrics
    metrics.timing(metric_names.LOOP_LAG, lag_ms)
    metrics.gauge(
        metric_names.CONFIGURATION_REVISION, node.knowledge.configuration.revision
    )
    metrics.gauge(metric_names.MEMBERS_KNOWN, len(node.knowledge.directory.by_instance))
    metrics.gauge(metric_names.COORDINATOR_DOMAINS, len(node.coordinating))
    owned = sum(
        len(upstream_watch.owned_shards(node, domain)) for domain in node.holders
    )
    metrics.gauge(metric_names.SHARDS_OWNED, owned)
    pending = sum(
        len(table.pending)
        for domain in node.coordinating
        if (table := nodes.find_table(node, domain)) is not None
    )
    metrics.gauge(metric_names.SHARDS_PENDING, pending)
    held = node.serving.capacity
    in_flight = held.in_flight if held is not None else 0
    limit = capacity.compute_requests(held, node.now_ms()) if held is not None else 0
    metrics.gauge(metric_names.UPSTREAM_IN_FLIGHT, in_flight)
    metrics.gauge(metric_names.UPSTREAM_LIMIT, limit)

"""Counters, gauges and timings of a daemon.

Recording a metric only changes memory. The daemon calls `Metrics.flush` once a second:
it sends the changes to statsd and maintains the counts per minute, hour and day from
which the reports are made.
"""

from dataclasses import dataclass

import statsd

from fuchsiamoor.core import keys, verdicts
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.core.requests import Answer
from fuchsiamoor.core.tables import ShardTable
from fuchsiamoor.reports import counts, metric_names, moves
from fuchsiamoor.reports.counts import CountsSnapshot, Outcome
from fuchsiamoor.reports.histogram import find_bucket
from fuchsiamoor.reports.metric_names import Kind
from fuchsiamoor.reports.status import Status

MAX_TIMINGS_PER_FLUSH = 20
PREFIX = "fuchsiamoor"

_VERDICT_COUNTERS = {
    verdicts.Ran: metric_names.REQUESTS_RAN,
    verdicts.NotRun: metric_names.REQUESTS_NOT_RUN,
    verdicts.MayHaveRun: metric_names.REQUESTS_MAY_HAVE_RUN,
}
_FAILED, _NOT_COUNTED = Outcome.FAILED, Outcome.NOT_COUNTED
_KINDS = {name: metric.kind for name, metric in metric_names.METRICS.items()}


@dataclass(slots=True)
class Metrics:
    """All metrics of one daemon.

    Parameters
    ----------
    client : StatsClient or None
    totals : dict of str to int
        Value of each counter since the start.
    sent_totals : dict of str to int
        Value of each counter as last sent to statsd.
    gauges : dict of str to float
    changed_gauges : set of str
        Names of the gauges that changed since the last flush.
    timings_ms : dict of str to list of float
        Most recent timings since the last flush, at most `MAX_TIMINGS_PER_FLUSH`.
    timing_counts : dict of str to int
        Number of timings since the last flush, including those not kept.
    slow_after_us : dict of str to int
        Latency objective by service; slower answers count as slow.
    data_centres_out : frozenset of str
    tables : dict of str to ShardTable
        Newest table of each domain.
    by_period : Counts
        Counts per minute, hour and day, for the reports.
    """

    client: statsd.StatsClient | None
    totals: dict[str, int]
    sent_totals: dict[str, int]
    gauges: dict[str, float]
    changed_gauges: set[str]
    timings_ms: dict[str, list[float]]
    timing_counts: dict[str, int]
    slow_after_us: dict[str, int]
    data_centres_out: frozenset[str]
    tables: dict[str, ShardTable]
    by_period: counts.Counts

    def count(self, name: str, n: int = 1) -> None:
        """Add to a counter; an unknown name counts as a dropped metric."""
        if name not in self.totals:
            name, n = metric_names.METRICS_DROPPED, 1
        self.totals[name] += n

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge; an unknown name counts as a dropped metric."""
        if _KINDS.get(name) is not Kind.GAUGE:
            self.count(metric_names.METRICS_DROPPED)
            return
        if self.gauges.get(name) != value:
            self.gauges[name] = value
            self.changed_gauges.add(name)

    def timing(self, name: str, time_ms: float) -> None:
        """Record a duration in milliseconds.

        Only the most recent `MAX_TIMINGS_PER_FLUSH` since the last flush are kept. An
        unknown name counts as a dropped metric.
        """
        timing_count = self.timing_counts.get(name)
        if timing_count is None:
            self.count(metric_names.METRICS_DROPPED)
            return
        self.timing_counts[name] = timing_count + 1
        kept = self.timings_ms[name]
        if timing_count < MAX_TIMINGS_PER_FLUSH:
            kept.append(time_ms)
        else:
            kept[timing_count % MAX_TIMINGS_PER_FLUSH] = time_ms

    def record_answer(self, service: str, answer: Answer, latency_us: int) -> None:
        """Record the answer to a caller's request.

        Parameters
        ----------
        service : str
            Must be a service of the configuration.
        answer : Answer
        latency_us : int
            Time from the complete request to the complete answer.
        """
        self.totals[_VERDICT_COUNTERS[type(answer.verdict)]] += 1
        self.timing(metric_names.REQUEST_TIME, latency_us / 1000)
        outcome = counts.classify_answer(answer)
        if outcome is not _NOT_COUNTED:
            self._record_outcome(service, outcome, latency_us)

    def record_upstream_answer(self, service: str, latency_us: int) -> None:
        """Record a request that the local upstream ran."""
        self.count(metric_names.UPSTREAM_SERVED)
        self.timing(metric_names.UPSTREAM_TIME, latency_us / 1000)
        service_counts = counts.find_current_counts(self.by_period, service)
        if service_counts is not None:
            service_counts.served += 1

    def apply_configuration(self, configuration: Configuration) -> None:
        """Update the latency objectives and the data centres out of service."""
        self.data_centres_out = configuration.data_centres_out
        self.slow_after_us = {
            name: service.objective.latency_ms * 1000
            for name, service in configuration.services.items()
        }

    def record_table(self, table: ShardTable, own_member_id: str) -> None:
        """Record a new table, and count its shard moves if this daemon wrote it.

        Only the coordinator counts, so that each move is counted once.
        """
        previous = self.tables.get(table.domain)
        self.tables[table.domain] = table
        if previous is None or table.coordinator != own_member_id:
            return
        planned, unplanned = moves.count_moves(previous, table)
        if not planned and not unplanned:
            return
        self.count(metric_names.SHARDS_MOVED_PLANNED, planned)
        self.count(metric_names.SHARDS_MOVED_UNPLANNED, unplanned)
        service, _ = keys.split_domain_id(table.domain)
        service_counts = counts.find_current_counts(self.by_period, service)
        if service_counts is not None:
            service_counts.moved_planned += planned
            service_counts.moved_unplanned += unplanned

    def record_status(self, status: Status, elapsed_ms: int) -> None:
        """Set the gauges from the daemon's status, and add up unavailable shard time.

        Parameters
        ----------
        status : Status
        elapsed_ms : int
            Time since the previous call.
        """
        coordinated = [
            domain
            for domain in status.domains
            if domain.coordinator == status.member_id
        ]
        for domain in coordinated:
            unavailable_shards = domain.pending_shards + domain.unowned_shards
            if unavailable_shards:
                service, _ = keys.split_domain_id(domain.domain)
                service_counts = counts.find_current_counts(self.by_period, service)
                if service_counts is not None:
                    service_counts.unavailable_shard_ms += (
                        unavailable_shards * elapsed_ms
                    )
        pending = sum(domain.pending_shards for domain in coordinated)
        owned = sum(domain.owned_shards for domain in status.domains)
        unmet = sum(not override.met for override in status.overrides)
        self.gauge(metric_names.SHARDS_PENDING, pending)
        self.gauge(metric_names.SHARDS_OWNED, owned)
        self.gauge(metric_names.COORDINATOR_DOMAINS, len(coordinated))
        self.gauge(metric_names.UPSTREAM_IN_FLIGHT, status.upstream.in_flight)
        self.gauge(metric_names.UPSTREAM_LIMIT, status.upstream.limit)
        self.gauge(metric_names.MEMBERS_KNOWN, len(status.members))
        self.gauge(metric_names.OVERRIDES_UNMET, unmet)
        revision = status.configuration_revision
        self.gauge(metric_names.CONFIGURATION_REVISION, revision)

    def flush(self, now_ms: int) -> None:
        """Send changed metrics to statsd and start a new minute if one has begun.

        Parameters
        ----------
        now_ms : int
            Unix time.
        """
        counts.start_new_periods(self.by_period, now_ms, self.data_centres_out)
        if self.client is not None:
            self._send(self.client)
        for name, kept in self.timings_ms.items():
            kept.clear()
            self.timing_counts[name] = 0

    def snapshot(self, instance: str, service: str, data_centre: str) -> CountsSnapshot:
        """Return all counts, for the reports."""
        return CountsSnapshot(
            instance=instance,
            service=service,
            data_centre=data_centre,
            since_ms=self.by_period.since_ms,
            counters=dict(self.totals),
            gauges=dict(self.gauges),
            minutes=tuple(self.by_period.minutes),
            hours=tuple(self.by_period.hours),
            days=tuple(self.by_period.days),
        )

    def _record_outcome(self, service: str, outcome: Outcome, latency_us: int) -> None:
        service_counts = counts.find_current_counts(self.by_period, service)
        if service_counts is None:
            return
        if outcome is _FAILED:
            service_counts.failed += 1
            return
        service_counts.succeeded += 1
        if latency_us > self.slow_after_us.get(service, latency_us):
            service_counts.slow += 1
        bucket = find_bucket(latency_us)
        service_counts.latency[bucket] = service_counts.latency.get(bucket, 0) + 1

    def _send(self, client: statsd.StatsClient) -> None:
        with client.pipeline() as pipe:
            for name, total in self.totals.items():
                increment = total - self.sent_totals[name]
                if increment:
                    pipe.incr(name, increment)
                    self.sent_totals[name] = total
            for name in sorted(self.changed_gauges):
                pipe.gauge(name, self.gauges[name])
            for name, kept in self.timings_ms.items():
                for time_ms in kept:
                    pipe.timing(name, time_ms)
        self.changed_gauges.clear()


def make_metrics(
    statsd_address: Address | None, instance: str = "", now_ms: int = 0
) -> Metrics:
    """Return metrics whose counters are all zero.

    Parameters
    ----------
    statsd_address : Address or None
        None to send no metrics.
    instance : str
        Included in the prefix of each name that is sent.
    now_ms : int
        Unix time.
    """
    counters = _list_names(Kind.COUNTER)
    timings = _list_names(Kind.TIMING)
    return Metrics(
        client=_make_client(statsd_address, instance),
        totals=dict.fromkeys(counters, 0),
        sent_totals=dict.fromkeys(counters, 0),
        gauges={},
        changed_gauges=set(),
        timings_ms={name: [] for name in timings},
        timing_counts=dict.fromkeys(timings, 0),
        slow_after_us={},
        data_centres_out=frozenset(),
        tables={},
        by_period=counts.make_counts(now_ms),
    )


def _list_names(kind: Kind) -> list[str]:
    return [name for name, found_kind in _KINDS.items() if found_kind is kind]


def _make_client(address: Address | None, instance: str) -> statsd.StatsClient | None:
    if address is None:
        return None
    part = instance.replace(".", "_")
    prefix = f"{PREFIX}.{part}" if part else PREFIX
    return statsd.StatsClient(address.host, address.port, prefix=prefix)

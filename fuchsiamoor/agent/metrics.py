"""Counters and latency histograms of the daemon, in Prometheus's text format."""

from loguru import logger
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

# Organisations with metrics of their own, so that what a scrape costs is bounded.
ORGANISATIONS_MAX = 200
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 0.8, 1.2, 2.0, 4.0, 10.0)


class Metrics:
    """Metrics of one daemon."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self._events = Counter(
            "fuchsiamoor_events",
            "What happened, by the kind of event.",
            ["event"],
            registry=self.registry,
        )
        self._answers = Counter(
            "fuchsiamoor_answers",
            "Answers to callers, by route and status.",
            ["route", "status"],
            registry=self.registry,
        )
        self._quota_refused = Counter(
            "fuchsiamoor_quota_refused",
            "Requests refused for a quota, by organisation.",
            ["organisation"],
            registry=self.registry,
        )
        self._quota_credit = Gauge(
            "fuchsiamoor_quota_credit",
            "Credits left in this allocator's part of a quota, by organisation.",
            ["organisation"],
            registry=self.registry,
        )
        self._organisations: set[str] = set()
        self._latency = Histogram(
            "fuchsiamoor_answer_seconds",
            "Time from a whole request to its answer, by route.",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def count(self, name: str, n: int = 1) -> None:
        """Add to the counter of one kind of event."""
        self._events.labels(name).inc(n)

    def record_answer(self, route: str, status: int, elapsed_ms: float) -> None:
        """Count an answer to a caller and record its latency."""
        self._answers.labels(route, str(status)).inc()
        self._latency.labels(route).observe(elapsed_ms / 1000)

    def record_quota_refusal(self, organisation: str) -> None:
        """Count a request that was refused for a quota."""
        self._quota_refused.labels(self._make_label(organisation)).inc()

    def set_quota_credit(self, organisation: str, credits_left: float) -> None:
        """Record what an allocator has left."""
        self._quota_credit.labels(self._make_label(organisation)).set(credits_left)

    def _make_label(self, organisation: str) -> str:
        """Return an organisation's name, or one for all beyond the largest number."""
        if organisation not in self._organisations:
            if len(self._organisations) >= ORGANISATIONS_MAX:
                return "others"
            self._organisations.add(organisation)
        return organisation

    def record_task_failure(self, name: str, error: BaseException) -> None:
        """Count and log the failure of a background task."""
        self.count("task.failed")
        logger.bind(task=name).opt(exception=error).error("task failed")

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self.registry)

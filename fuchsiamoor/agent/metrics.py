"""Counters and latency histograms of the daemon, in Prometheus's text format."""

from loguru import logger
from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

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

    def record_task_failure(self, name: str, error: BaseException) -> None:
        """Count and log the failure of a background task."""
        self.count("task.failed")
        logger.bind(task=name).opt(exception=error).error("task failed")

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self.registry)

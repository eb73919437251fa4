"""Cost of counting and of reporting; run with ``python -m bench.operators``."""

import os
import platform
import time
from collections.abc import Callable

from fuchsiamoor.cli import text_layout
from fuchsiamoor.core import requests, verdicts
from fuchsiamoor.core.configuration import list_domains
from fuchsiamoor.core.tables import make_empty_table
from fuchsiamoor.daemon import metrics as daemon_metrics
from fuchsiamoor.documents import reader, stored
from fuchsiamoor.reports import codec, counts, measures, metric_names, override_status
from fuchsiamoor.testing import documents_data

CALLS = 200_000
ROUNDS = 5
FLEET = 510
TENANTS = 2_000
OVERRIDES = 300
RAN = requests.Answer("r", verdicts.Ran(), 200)


def _measure_us(call: Callable[[], object], calls: int) -> float:
    """Return the best of some rounds, in microseconds of processor time a call."""
    best_ns = None
    for _ in range(ROUNDS):
        began_ns = time.process_time_ns()
        for _ in range(calls):
            call()
        spent_ns = time.process_time_ns() - began_ns
        best_ns = spent_ns if best_ns is None else min(best_ns, spent_ns)
    return best_ns / calls / 1000


def _make_full_snapshot() -> counts.CountsSnapshot:
    made = daemon_metrics.make_metrics(None)
    for hour in range(24 * counts.DAYS_KEPT):
        made.flush(hour * counts.HOUR_MS)
        made.record_answer("stock", RAN, 1_000)
        made.record_answer("booking", RAN, 1_000)
    for minute in range(counts.MINUTES_KEPT):
        made.flush(hour * counts.HOUR_MS + minute * counts.MINUTE_MS)
        for number in range(60):
            made.record_answer("stock", RAN, 1_000 + number * number * 20)
            made.record_answer("booking", RAN, 1_000 + number * number * 20)
    return made.snapshot("a", "stock", "almaty-1")


def _make_large_configuration() -> stored.StoredConfiguration:
    document = documents_data.make_configuration_document(
        tenants={
            f"tenant-{number}": {"home_regions": ["almaty", "astana"]}
            for number in range(TENANTS)
        }
    )
    read = reader.read_value(document)
    return stored.make_next_stored(stored.make_initial_stored(), "a", read)


def _measure_judging_us() -> float:
    """Return the time to judge many overrides of keys and services."""
    held = [
        documents_data.make_override("region", "almaty", tenant="default", key=str(key))
        for key in range(OVERRIDES)
    ]
    document = documents_data.make_configuration_document(overrides=held)
    configuration = reader.read_value(document)
    domains = list_domains(configuration)
    known = {domain: make_empty_table(domain, 256) for domain in domains}
    return _measure_us(
        lambda: override_status.evaluate_overrides(
            configuration, known, lambda _: None
        ),
        1,
    )


def main() -> None:
    """Measure and print one table."""
    made = daemon_metrics.make_metrics(None)
    whole = _make_large_configuration()
    value = stored.encode_stored(whole)
    snapshot = _make_full_snapshot()
    text = codec.encode(snapshot)
    fleet = [snapshot._replace(instance=str(number)) for number in range(FLEET)]
    in_force = whole.configuration
    rows = [
        ["count", _measure_us(lambda: made.count(metric_names.STORE_CALLS), CALLS)],
        [
            "answered",
            _measure_us(lambda: made.record_answer("stock", RAN, 9_000), CALLS),
        ],
        ["flush, no statsd", _measure_us(lambda: made.flush(1), 1_000)],
        [f"judge {OVERRIDES} overrides", _measure_judging_us()],
        [
            f"decode configuration, {len(value)} bytes",
            _measure_us(lambda: stored.decode_configuration(value), 1),
        ],
        [
            f"encode report, {len(text)} bytes",
            _measure_us(lambda: codec.encode(snapshot), 1),
        ],
        [
            "decode report",
            _measure_us(lambda: codec.decode(counts.CountsSnapshot, text), 1),
        ],
        [
            f"report of {FLEET} daemons",
            _measure_us(lambda: measures.make_report(fleet, (), in_force), 1),
        ],
    ]
    print(f"{os.cpu_count()} cores, Python {platform.python_version()}")
    shown = [[name, f"{time_us:.2f}"] for name, time_us in rows]
    for line in text_layout.format_table(["operation", "us of processor time"], shown):
        print(line)


if __name__ == "__main__":
    main()

"""Measures the memory that a daemon needs for the state of the whole deployment.

``python -m bench.state_size`` fills the member directory, the shard tables and the
request rate counters ("heat" in the table) for 510 daemons in 14 domains of 4,096
shards each, the size that the product is designed for, and prints one table. No state
grows with the number of keys.
"""

import os
import platform
import tracemalloc
from collections.abc import Callable

from fuchsiamoor.daemon import cluster_state as cluster_states
from fuchsiamoor.ownership import tables_codec
from fuchsiamoor.routing import request_rates
from fuchsiamoor.testing import members_data, ownership_data

DAEMONS = 510
DOMAINS = 14
SHARDS = 4_096
MEMBERS_PER_DOMAIN = 250
OWN_DOMAINS = 4


def _fill_directory(cluster_state: cluster_states.ClusterState) -> None:
    found = [
        members_data.make_member(f"instance-{number}", str(number), number + 1)
        for number in range(DAEMONS)
    ]
    cluster_states.adopt_members(cluster_state, found)


def _fill_tables(cluster_state: cluster_states.ClusterState) -> None:
    owners = tuple(
        f"instance-{shard % MEMBERS_PER_DOMAIN}#{shard % MEMBERS_PER_DOMAIN}"
        for shard in range(SHARDS)
    )
    for number in range(DOMAINS):
        table = ownership_data.make_table(owners, voters=owners[:18])._replace(
            domain=f"service-{number}@a+b+c", epochs=tuple(range(10_000, 14_096))
        )
        cluster_states.adopt_table(cluster_state, tables_codec.encode_table(table))


def _fill_rate_counters(counters: list[request_rates.RateCounter]) -> None:
    for _ in range(OWN_DOMAINS):
        counter = request_rates.make_rate_counter(0)
        for number in range(4 * request_rates.MAX_KEYS):
            request_rates.record_request(counter, number % SHARDS, number * 2**40)
        counters.append(counter)


def _measure_kb(fill: Callable[[object], None], target: object) -> float:
    tracemalloc.start()
    fill(target)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size_bytes / 1000


def main() -> None:
    """Measure each part of the state and print one table."""
    print(f"{os.cpu_count()} cores, Python {platform.python_version()}")
    cluster_state = cluster_states.make_cluster_state()
    rows = [
        (
            f"directory of {DAEMONS} members",
            _measure_kb(_fill_directory, cluster_state),
        ),
        (
            f"{DOMAINS} tables of {SHARDS} shards",
            _measure_kb(_fill_tables, cluster_state),
        ),
        (f"heat of {OWN_DOMAINS} domains, full", _measure_kb(_fill_rate_counters, [])),
    ]
    for name, size_kb in rows:
        print(f"{name:<36}{size_kb:>10.0f} KB")
    print(f"{'in all':<36}{sum(size_kb for _, size_kb in rows):>10.0f} KB")


if __name__ == "__main__":
    main()

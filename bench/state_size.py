"""Memory that a daemon's knowledge of the whole deployment takes at the target's size.

``python -m bench.state_size`` builds directory, tables and heat for 510 daemons in 14
domains of 4,096 shards and prints one table. Nothing is kept for each key.
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
MEMBERS_OF_A_DOMAIN = 250
OWN_DOMAINS = 4


def _fill_directory(cluster_state: cluster_states.ClusterState) -> None:
    found = [
        members_data.make_member(f"instance-{number}", str(number), number + 1)
        for number in range(DAEMONS)
    ]
    cluster_states.adopt_members(cluster_state, found)


def _fill_tables(cluster_state: cluster_states.ClusterState) -> None:
    owners = tuple(
        f"instance-{shard % MEMBERS_OF_A_DOMAIN}#{shard % MEMBERS_OF_A_DOMAIN}"
        for shard in range(SHARDS)
    )
    for number in range(DOMAINS):
        table = ownership_data.make_table(owners, voters=owners[:18])._replace(
            domain=f"service-{number}@a+b+c", epochs=tuple(range(10_000, 14_096))
        )
        cluster_states.adopt_table(cluster_state, tables_codec.encode_table(table))


def _fill_heat(kept: list[request_rates.RateCounter]) -> None:
    for _ in range(OWN_DOMAINS):
        counted = request_rates.make_rate_counter(0)
        for number in range(4 * request_rates.MAX_KEYS):
            request_rates.record_request(counted, number % SHARDS, number * 2**40)
        kept.append(counted)


def _measure_kb(fill: Callable[[object], None], kept: object) -> float:
    tracemalloc.start()
    fill(kept)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size_bytes / 1000


def main() -> None:
    """Print the table."""
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
        (f"heat of {OWN_DOMAINS} domains, full", _measure_kb(_fill_heat, [])),
    ]
    for name, size_kb in rows:
        print(f"{name:<36}{size_kb:>10.0f} KB")
    print(f"{'in all':<36}{sum(size_kb for _, size_kb in rows):>10.0f} KB")


if __name__ == "__main__":
    main()

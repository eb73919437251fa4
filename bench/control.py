"""Measures the resource use of an idle deployment.

``python -m bench.control [--seconds N]`` starts a whole example deployment, sends no
requests and prints one table: each daemon's processor time, traffic to peers and memory
for leases, gossip and probes alone, and the rate of calls to the store.
"""

import argparse
import asyncio
import json
import os
import platform
import resource
import statistics
import tempfile
from pathlib import Path
from typing import NamedTuple

import aiohttp

from standins import deployment, programs

SETTLE_S = 30
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Reading(NamedTuple):
    """Resource use of one daemon at one point in time.

    Parameters
    ----------
    processor_s : float
        Processor time since the start of the process.
    resident_kb : int
    sent_bytes : int
        Bytes sent to peers since the start of the process.
    domains : int
        Domains that the daemon coordinates.
    """

    processor_s: float
    resident_kb: int
    sent_bytes: int
    domains: int


def _read_process(process_id: int) -> tuple[float, int]:
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    resident_kb = int(fields[21]) * resource.getpagesize() // 1024
    return ticks / TICKS_PER_S, resident_kb


async def _read_daemon(started: deployment.Deployment, name: str) -> Reading:
    process = started.instances[name].processes["daemon"]
    headers = {"Authorization": f"Bearer {started.operator_key}"}
    url = deployment.list_urls(started, "operator")[name] + "/v1/report"
    async with started.client.get(url, headers=headers) as response:
        report = await response.json(content_type=None)
    processor_s, resident_kb = _read_process(process.pid)
    sent_bytes = report["counters"].get("peers.sent_bytes", 0)
    domains = report["gauges"].get("coordinator.domains", 0)
    return Reading(processor_s, resident_kb, sent_bytes, domains)


async def _read_all(started: deployment.Deployment) -> dict[str, Reading]:
    return {name: await _read_daemon(started, name) for name in started.instances}


async def measure(example_path: Path, seconds: int) -> None:
    """Start a deployment, leave it idle and print its resource use."""
    example = json.loads(example_path.read_text())
    directory = Path(tempfile.mkdtemp(prefix="fuchsiamoor-control-"))
    started = await deployment.start_deployment(example, directory)
    try:
        await asyncio.sleep(SETTLE_S)
        calls_before = (await deployment.count_store_calls(started))["calls"]
        before = await _read_all(started)
        await asyncio.sleep(seconds)
        after = await _read_all(started)
        calls_after = (await deployment.count_store_calls(started))["calls"]
    except aiohttp.ClientError as error:
        raise SystemExit(f"a daemon did not answer: {error}") from error
    finally:
        await deployment.stop_deployment(started)
    _print_table(before, after, calls_before, calls_after, seconds)


def _print_table(before, after, calls_before, calls_after, seconds: int) -> None:
    machine = f"{os.cpu_count()} cores, Python {platform.python_version()}"
    load = os.getloadavg()[0]
    print(f"{len(after)} daemons at rest, {seconds} s, {machine}, load {load:.1f}")
    print(f"{'daemon':<24}{'coordinates':>12}{'core %':>8}{'KB/s':>7}{'MB':>6}")
    core_percents = []
    for name, reading in after.items():
        used_s = reading.processor_s - before[name].processor_s
        sent_bytes = reading.sent_bytes - before[name].sent_bytes
        core_percents.append(100 * used_s / seconds)
        print(
            f"{name:<24}{reading.domains:>12}{core_percents[-1]:>8.1f}"
            f"{sent_bytes / seconds / 1000:>7.1f}{reading.resident_kb / 1000:>6.0f}"
        )
    print(f"median {statistics.median(core_percents):.1f} % of a core")
    kinds = sorted(set(calls_after))
    rates = [
        f"{kind} {(calls_after[kind] - calls_before.get(kind, 0)) / seconds:.1f}"
        for kind in kinds
    ]
    print(f"store calls a second: {', '.join(rates)}")


def main() -> None:
    """Measure the example given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--example", default="dala")
    options = parser.parse_args()
    path = programs.REPOSITORY_ROOT / "examples" / f"{options.example}.json"
    asyncio.run(measure(path, options.seconds))


if __name__ == "__main__":
    main()

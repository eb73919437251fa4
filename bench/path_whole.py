"""Measures the whole request path with two daemons and their upstreams as processes.

Run with ``python -m bench.path_whole``. Callers send keyed requests to both daemons, so
that half of the requests pass a peer link. For comparison, each load is also sent to
the upstreams directly. The last columns show for each daemon how many cores it used and
how many it waited for while other processes occupied them.
"""

import asyncio
import contextlib
import json
import os
import platform
import secrets
import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

import httpx
import uvloop

from bench import path_hops, path_load

DURATION_S = 4.0
READY_TIMEOUT_S = 30.0
CALLERS = (1, 4, 16, 64)
ENDPOINTS = ("caller", "peer", "operator", "announce", "upstream")
OPERATOR_KEY = "bench-key-of-operators"
PATH = "/booking/book"
CONFIGURATION = {
    "services": {
        "booking": {
            "key": "required",
            "shards": 256,
            "idempotent_methods": ["GET"],
            "longest_run_ms": 500,
            "default_deadline_ms": 5000,
            "retry_ratio": 0.1,
            "cold_start": {"initial_requests": path_load.SLOTS, "ramp_ms": 1},
            "limits": {
                "body_bytes": 1048576,
                "queued_requests": 1000,
                "parked_requests": 1000,
            },
            "objective": {
                "success_ratio": 0.999,
                "latency_ms": 17,
                "latency_ratio": 0.99,
                "window_days": 28,
            },
        }
    },
    "regions": {"almaty": {"data_centres": ["almaty-1", "almaty-2"]}},
    "data_centres_out": [],
    "tenants": {"dala": {"home_regions": ["almaty"]}},
    "overrides": [],
    "moves_per_minute": 60,
}


class Instance(NamedTuple):
    """A daemon and its upstream.

    Parameters
    ----------
    name : str
    addresses : dict of str to str
        Address of each endpoint.
    processes : list of subprocess.Popen
        The daemon, then its upstream.
    """

    name: str
    addresses: dict[str, str]
    processes: list[subprocess.Popen]


def start_store() -> tuple[subprocess.Popen, str]:
    """Start the store stand-in and return its process and URL."""
    store = subprocess.Popen(
        [sys.executable, "-m", "standins.store"], stdout=subprocess.PIPE, text=True
    )
    port = json.loads(store.stdout.readline())["port"]
    return store, f"http://127.0.0.1:{port}"


def find_free_address() -> str:
    """Return an address with a port that was free a moment ago."""
    with socket.socket() as listener:
        listener.bind(path_load.ANY_PORT)
        return f"127.0.0.1:{listener.getsockname()[1]}"


def start_instance(
    name: str, data_centre: str, store_url: str, directory: Path
) -> Instance:
    """Start a daemon and its upstream."""
    addresses = {kind: find_free_address() for kind in ENDPOINTS}
    settings = {f"{kind}_address": addresses[kind] for kind in ENDPOINTS} | {
        "instance": name,
        "service": "booking",
        "region": "almaty",
        "data_centre": data_centre,
        "store_url": store_url,
        "statsd_address": None,
        "peer_keys": list(path_load.PEER_KEYS),
        "operator_keys": [OPERATOR_KEY],
        "timing": {},
    }
    path = directory / f"{name}.json"
    path.write_text(json.dumps(settings))
    log = (directory / f"{name}.log").open("w")
    daemon = subprocess.Popen(
        [sys.executable, "-m", "fuchsiamoor.daemon.main", str(path)],
        stdout=log,
        stderr=log,
    )
    upstream = path_hops.start_helper(
        "upstream", addresses["upstream"], addresses["announce"], name
    )
    path_hops.read_line(upstream)
    return Instance(name, addresses, [daemon, upstream])


async def configure_deployment(instances: list[Instance]) -> None:
    """Apply the configuration and wait until every key is served at every daemon."""
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    body = {"based_on": 0, "apply_id": secrets.token_hex(8), "document": CONFIGURATION}
    url = f"http://{instances[0].addresses['operator']}/v1/configuration"
    async with (
        asyncio.timeout(READY_TIMEOUT_S),
        httpx.AsyncClient(trust_env=False, timeout=10) as client,
    ):
        while True:
            with contextlib.suppress(httpx.HTTPError):
                answer = await client.post(url, json=body, headers=headers)
                if answer.status_code == 200:
                    break
                print(f"not applied: {answer.status_code} {answer.text:.300}")
            await asyncio.sleep(0.2)
        for i in range(100):
            for instance in instances:
                await _wait_until_served(client, instance, f"chair-{i}")


async def _wait_until_served(
    client: httpx.AsyncClient, instance: Instance, key: str
) -> None:
    url = f"http://{instance.addresses['caller']}{PATH}"
    headers = {"Fuchsiamoor-Key": key, "Fuchsiamoor-Tenant": "dala"}
    body = b"x" * path_load.BODY_BYTES
    while True:
        with contextlib.suppress(httpx.HTTPError):
            answer = await client.post(url, headers=headers, content=body)
            if answer.status_code == 200:
                return
        await asyncio.sleep(0.1)


class SchedulerTimes(NamedTuple):
    """Seconds that a process ran, and that it was runnable but waited for a core."""

    used_s: float
    waited_s: float


def read_scheduler_times(process: subprocess.Popen) -> SchedulerTimes:
    """Return the scheduler times of a process since its start."""
    used_ns, waited_ns, _ = Path(f"/proc/{process.pid}/schedstat").read_text().split()
    return SchedulerTimes(int(used_ns) / 1e9, int(waited_ns) / 1e9)


async def measure(instances: list[Instance], kind: str, callers: int) -> None:
    """Send one load to the endpoints of a kind and print one line."""
    targets = ",".join(instance.addresses[kind] for instance in instances)
    daemons = [instance.processes[0] for instance in instances]
    before = [read_scheduler_times(daemon) for daemon in daemons]
    helper = path_hops.start_helper("callers", targets, PATH, callers, DURATION_S)
    line = await asyncio.to_thread(helper.stdout.readline)
    helper.wait()
    load = path_load.LoadResult(*json.loads(line))
    after = [read_scheduler_times(daemon) for daemon in daemons]
    used_s = [now.used_s - then.used_s for now, then in zip(after, before, strict=True)]
    waited_s = [
        now.waited_s - then.waited_s for now, then in zip(after, before, strict=True)
    ]
    requests = load.per_second * DURATION_S
    cores = " ".join(f"{used / DURATION_S:.2f}" for used in used_s)
    waiting = " ".join(f"{waited / DURATION_S:.2f}" for waited in waited_s)
    print(
        f"{kind:<10}{callers:>8}{load.per_second:>9.0f}{load.p50_us:>9}"
        f"{load.p99_us:>9}{load.failed:>8}{sum(used_s) / requests * 1e6:>9.0f}"
        f"  {cores:<10} {waiting}"
    )


async def run(directory: Path) -> None:
    """Start all processes, measure every load and kill the processes."""
    store, store_url = start_store()
    instances = []
    try:
        for name, data_centre in (("a", "almaty-1"), ("b", "almaty-2")):
            instances.append(start_instance(name, data_centre, store_url, directory))
        await configure_deployment(instances)
        print(
            f"{os.cpu_count()} cores, Python {platform.python_version()}, "
            f"load {os.getloadavg()[0]:.1f}"
        )
        print(f"{'sent to':<10}{'callers':>8}{'req/s':>9}{'p50 us':>9}", end="")
        print(f"{'p99 us':>9}{'failed':>8}{'us/req':>9}  cores used, waited for")
        for callers in CALLERS:
            await measure(instances, "upstream", callers)
            await measure(instances, "caller", callers)
    except TimeoutError:
        for log in directory.glob("*.log"):
            print(f"{log.name}: {log.read_text()[-2000:]}")
        raise
    finally:
        for process in [
            store,
            *(p for instance in instances for p in instance.processes),
        ]:
            process.kill()
            process.wait()


def main() -> None:
    """Run the bench in a temporary directory."""
    with tempfile.TemporaryDirectory() as directory:
        uvloop.run(run(Path(directory)))


if __name__ == "__main__":
    main()

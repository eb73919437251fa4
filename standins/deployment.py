"""A local deployment: store, upstreams and daemons as processes on 127.0.0.1.

`start_deployment` starts the instances of an example file such as
``examples/dala.json``. They can then be killed, paused or stopped by name; signals go
only to processes that this module started.
"""

import asyncio
import contextlib
import json
import secrets
import signal
import socket
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from fuchsiamoor.core import addresses
from standins import programs

ADDRESS_KINDS = ("caller", "peer", "operator", "announce", "upstream")
PARTS = ("daemon", "upstream")
HOST = "127.0.0.1"
READY_TIMEOUT_MS = 40_000
STOP_TIMEOUT_MS = 15_000
POLL_EVERY_MS = 20


@dataclass(slots=True)
class Instance:
    """An upstream instance and its local daemon.

    Parameters
    ----------
    spec : dict
        The instance's entry in the example file.
    addresses : dict of str to str
        ``HOST:PORT`` for each of `ADDRESS_KINDS`.
    settings_path : Path
    processes : dict of str to Process
        Running or ended processes, by `PARTS`.
    """

    spec: dict
    addresses: dict[str, str]
    settings_path: Path
    processes: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)


class RelayProcess(NamedTuple):
    """A relay in a process of its own.

    It goes on while the loop of the process that uses the deployment stands still, as
    it does between two tests.
    """

    process: asyncio.subprocess.Process
    port: int
    control_url: str


@dataclass(slots=True)
class Deployment:
    """A running deployment.

    The keys of ``relays`` are ``INSTANCE/peer`` for the relay in front of an instance's
    peer address and ``INSTANCE/store`` for its relay to the store.
    """

    example: dict
    directory: Path
    client: aiohttp.ClientSession
    operator_key: str = field(default_factory=lambda: secrets.token_hex(16))
    peer_key: str = field(default_factory=lambda: secrets.token_hex(16))
    store_url: str = ""
    store: asyncio.subprocess.Process | None = None
    instances: dict[str, Instance] = field(default_factory=dict)
    relays: dict[str, RelayProcess] = field(default_factory=dict)
    reserved_sockets: list[socket.socket] = field(default_factory=list)
    log_files: list[Any] = field(default_factory=list)


async def wait_until(
    condition: Callable[[], Awaitable[bool]],
    description: str,
    timeout_ms: int = READY_TIMEOUT_MS,
) -> None:
    """Poll until a condition holds; raise TimeoutError with its description if late."""
    deadline_ms = programs.monotonic_ms() + timeout_ms
    while not await condition():
        if programs.monotonic_ms() > deadline_ms:
            raise TimeoutError(
                f"condition not met within {timeout_ms} ms: {description}"
            )
        await asyncio.sleep(POLL_EVERY_MS / 1000)


def _reserve_address(deployment: Deployment) -> str:
    """Reserve a free port; the open socket keeps the system from assigning it again."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((HOST, 0))
    deployment.reserved_sockets.append(reserved)
    return f"{HOST}:{reserved.getsockname()[1]}"


def _open_log(deployment: Deployment, name: str) -> Any:
    log = (deployment.directory / f"{name}.log").open("a")
    deployment.log_files.append(log)
    return log


async def _start_store(deployment: Deployment) -> None:
    deployment.store = await programs.start_program("standins.store")
    line = json.loads(await deployment.store.stdout.readline())
    deployment.store_url = f"http://{HOST}:{line['port']}"


async def _add_relay(deployment: Deployment, name: str, target: str) -> str:
    """Start a relay to an address; return the relay's address."""
    process = await programs.start_program("standins.relay", "--target", target)
    ports = json.loads(await process.stdout.readline())
    control_url = f"http://{HOST}:{ports['port']}/control"
    started_relay = RelayProcess(process, ports["relay_port"], control_url)
    deployment.relays[name] = started_relay
    return f"{HOST}:{started_relay.port}"


async def _add_instance(deployment: Deployment, spec: dict, relayed: bool) -> None:
    """Reserve an instance's addresses and write its settings file."""
    name = spec["instance"]
    instance_addresses = {kind: _reserve_address(deployment) for kind in ADDRESS_KINDS}
    settings = dict(spec)
    store_address = deployment.store_url.removeprefix("http://")
    if relayed:
        settings["peer_bind_address"] = instance_addresses["peer"]
        instance_addresses["peer"] = await _add_relay(
            deployment, f"{name}/peer", instance_addresses["peer"]
        )
        store_address = await _add_relay(deployment, f"{name}/store", store_address)
    settings |= {f"{kind}_address": instance_addresses[kind] for kind in ADDRESS_KINDS}
    settings |= {
        "store_url": f"http://{store_address}",
        "statsd_address": None,
        "peer_keys": [deployment.peer_key],
        "operator_keys": [deployment.operator_key],
        "timing": deployment.example.get("timing", {}),
    }
    path = deployment.directory / f"settings-{name}.json"
    path.write_text(json.dumps(settings, indent=2))
    deployment.instances[name] = Instance(spec, instance_addresses, path)


async def start_daemon(deployment: Deployment, name: str) -> None:
    """Start the daemon of an instance, for the first time or after it has ended."""
    instance = deployment.instances[name]
    instance.processes["daemon"] = await programs.start_program(
        "fuchsiamoor.daemon.main",
        str(instance.settings_path),
        output=_open_log(deployment, f"daemon-{name}"),
    )


async def start_upstream(deployment: Deployment, name: str) -> None:
    """Start the upstream of an instance, for the first time or after it has ended."""
    instance = deployment.instances[name]
    service = deployment.example["services"][instance.spec["service"]]
    configured = deployment.example["configuration"]["services"]
    cold_start = configured[instance.spec["service"]]["cold_start"]
    options = instance.spec | {
        "journal": deployment.directory,
        "announce": instance.addresses["announce"],
        "port": addresses.parse_address(instance.addresses["upstream"]).port,
        "slots": service["slots"],
        "connections": service["connections"],
        **cold_start,
    }
    arguments = [f"--{key.replace('_', '-')}={options[key]}" for key in options]
    if service["checks_grants"]:
        arguments.append("--checks-grants")
    output = _open_log(deployment, f"upstream-{name}")
    instance.processes["upstream"] = await programs.start_program(
        "standins.upstream", *arguments, output=output
    )


async def start_instance(deployment: Deployment, name: str) -> None:
    """Start the daemon and the upstream of an instance."""
    await asyncio.gather(
        start_daemon(deployment, name), start_upstream(deployment, name)
    )


def send_signal(
    deployment: Deployment, name: str, signal_number: int, parts: Iterable[str] = PARTS
) -> None:
    """Send a signal to an instance's daemon, its upstream or both."""
    for part in parts:
        process = deployment.instances[name].processes[part]
        if process.returncode is None:
            process.send_signal(signal_number)


async def terminate(
    deployment: Deployment, name: str, parts: Iterable[str] = PARTS
) -> list[int]:
    """Send SIGTERM and wait until the processes end; return the exit statuses."""
    parts = list(parts)
    send_signal(deployment, name, signal.SIGTERM, parts)
    processes = [deployment.instances[name].processes[part] for part in parts]
    async with asyncio.timeout(STOP_TIMEOUT_MS / 1000):
        return [await process.wait() for process in processes]


def list_urls(deployment: Deployment, kind: str = "caller") -> dict[str, str]:
    """Return the URL of one kind of endpoint for every instance."""
    return {
        name: f"http://{instance.addresses[kind]}"
        for name, instance in deployment.instances.items()
    }


async def _is_ready(deployment: Deployment, name: str) -> bool:
    daemon = deployment.instances[name].processes["daemon"]
    if daemon.returncode is not None:
        raise RuntimeError(f"daemon {name} ended with status {daemon.returncode}")
    url = f"{list_urls(deployment)[name]}/_ready"
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with deployment.client.get(url) as response:
            return response.status == 200
    return False


async def restore_instance(deployment: Deployment, name: str) -> None:
    """Restart the ended processes of an instance and wait until it is ready."""
    processes = deployment.instances[name].processes
    if processes["daemon"].returncode is not None:
        await start_daemon(deployment, name)
    if processes["upstream"].returncode is not None:
        await start_upstream(deployment, name)
    await wait_ready(deployment, [name])


async def wait_ready(deployment: Deployment, names: Iterable[str]) -> None:
    """Wait until the caller endpoints of the instances report that they are ready."""
    waits = [
        wait_until(lambda name=name: _is_ready(deployment, name), f"{name} ready")
        for name in names
    ]
    await asyncio.gather(*waits)


async def call_operator(
    deployment: Deployment, method: str, path: str, body: dict | None = None
) -> tuple[int, Any]:
    """Send an operator request to the first instance that answers.

    Returns the status and the JSON body; (0, None) if no instance answers.
    """
    headers = {"Authorization": f"Bearer {deployment.operator_key}"}
    for url in list_urls(deployment, "operator").values():
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with deployment.client.request(
                method, url + path, headers=headers, json=body
            ) as response:
                return response.status, await response.json(content_type=None)
    return 0, None


async def apply_configuration(
    deployment: Deployment, document: dict, based_on: int = 0
) -> int:
    """Apply a configuration document; return its revision."""
    apply_id = secrets.token_hex(8)
    body = {"based_on": based_on, "apply_id": apply_id, "document": document}
    applied: dict = {}

    async def is_applied() -> bool:
        status, answer = await call_operator(
            deployment, "POST", "/v1/configuration", body
        )
        if status in (400, 409, 422):
            raise RuntimeError(f"configuration refused with {status}: {answer}")
        if status == 200:
            applied.update(answer)
        return status == 200

    await wait_until(is_applied, "configuration applied")
    return applied["revision"]


async def set_store_mode(deployment: Deployment, mode: str, **parameters: int) -> None:
    """Set the store's mode, one of `standins.store.MODES`."""
    url = f"{deployment.store_url}/control"
    async with deployment.client.post(
        url, json={"mode": mode, **parameters}
    ) as response:
        response.raise_for_status()


async def set_relay_mode(
    deployment: Deployment, name: str, mode: str, delay_ms: int = 0
) -> None:
    """Set the mode of a relay, one of `standins.relay.MODES`, and its delay."""
    async with deployment.client.post(
        deployment.relays[name].control_url,
        json={"mode": mode, "delay_ms": delay_ms},
    ) as response:
        response.raise_for_status()


async def count_store_calls(deployment: Deployment) -> dict:
    """Return the store's call counts by kind and the time over which it counted."""
    async with deployment.client.get(
        f"{deployment.store_url}/control/calls"
    ) as response:
        return await response.json()


async def set_upstream_faults(deployment: Deployment, name: str, **faults: Any) -> None:
    """Inject faults into an upstream; see `standins.upstream.Faults`."""
    url = f"{list_urls(deployment, 'upstream')[name]}/_control/fault"
    async with deployment.client.post(url, json=faults) as response:
        response.raise_for_status()


async def start_deployment(
    example: dict,
    directory: Path,
    instance_count: int | None = None,
    relayed: Iterable[str] = (),
) -> Deployment:
    """Start the first instances of an example and wait until all are ready.

    Parameters
    ----------
    example : dict
        Content of an example file; its ``timing`` overrides the daemons' defaults.
    directory : Path
        Directory for settings files, logs and journals.
    instance_count : int, optional
        Number of instances to start; all by default.
    relayed : iterable of str
        Instances whose peer address and store connections go through relays.
    """
    directory = directory.resolve()
    directory.mkdir(parents=True, exist_ok=True)
    timeout = aiohttp.ClientTimeout(5)
    deployment = Deployment(example, directory, aiohttp.ClientSession(timeout=timeout))
    try:
        await _start_store(deployment)
        for spec in example["instances"][:instance_count]:
            await _add_instance(deployment, spec, spec["instance"] in relayed)
        names = list(deployment.instances)
        await asyncio.gather(*(start_instance(deployment, name) for name in names))
        await apply_configuration(deployment, example["configuration"])
        await wait_ready(deployment, names)
    except BaseException:
        await stop_deployment(deployment)
        raise
    return deployment


async def stop_deployment(deployment: Deployment) -> None:
    """Kill every process of the deployment and close its files."""
    processes = [
        process
        for instance in deployment.instances.values()
        for process in instance.processes.values()
    ]
    if deployment.store is not None:
        processes.append(deployment.store)
    processes += [started_relay.process for started_relay in deployment.relays.values()]
    for process in processes:
        if process.returncode is None:
            process.kill()
    await asyncio.gather(*(process.wait() for process in processes))
    for resource in [*deployment.reserved_sockets, *deployment.log_files]:
        resource.close()
    await deployment.client.close()

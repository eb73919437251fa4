"""A daemon process of the platform on loopback, beside a store and an upstream.

The store and the upstream run in the process of the test; the daemon is one of its own,
so that its memory and descriptors can be read.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import socket
import sys
import tempfile
import urllib.parse
from collections.abc import AsyncIterator
from typing import NamedTuple

from fuchsiamoor.core import addresses
from fuchsiamoor.platform import operator_entries, settings, wire_data
from fuchsiamoor.store import port
from fuchsiamoor.testing import loopback_server, transactional_store

ROOT = pathlib.Path(__file__).parents[2]
SERVICE = "plain"
OTHER_SERVICE = "other"
HOST = "ficu95.example"
# Of the daemon that callers connect to, and of another one.
ENTRY_IP, OTHER_IP = "127.0.0.1", "127.0.0.2"
HEARTBEAT_S = 0.3
DEADLINE_MS = 20_000
SLOTS = 8
START_TIMEOUT_S = 30


class Limits(NamedTuple):
    """What the daemon's machine has, and what its callers are promised."""

    memory_bytes: int
    descriptors: int
    header_bytes: int
    body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class DaemonProcess(NamedTuple):
    """A running daemon.

    Parameters
    ----------
    process : Process
    callers : Address
    """

    process: asyncio.subprocess.Process
    callers: addresses.Address


def read_peak_bytes(process: asyncio.subprocess.Process) -> int:
    """Return the most memory that a process has had resident."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    [line] = [line for line in status.splitlines() if line.startswith("VmHWM:")]
    return int(line.split()[1]) * 1024


def count_descriptors(process: asyncio.subprocess.Process) -> int:
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{process.pid}/fd"))


async def _read_request(reader: asyncio.StreamReader) -> tuple[str, str, dict, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    fields = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in fields}
    method, target, _ = first.split(" ")
    size_bytes = int(headers.get("content-length", 0))
    return method, target, headers, await reader.readexactly(size_bytes)


def _make_answer(status: int, body: bytes, *lines: str) -> bytes:
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *lines]
    return "\r\n".join((*head, "", "")).encode("latin-1") + body


async def _serve(respond, reader, writer) -> None:
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            writer.write(await respond(*await _read_request(reader)))
            await writer.drain()


async def _run_upstream(method, target, headers, body) -> bytes:
    """Answer ``/size/N`` with N bytes, and other targets with two."""
    name, _, size = target.strip("/").rpartition("/")
    content = b"z" * int(size) if name.endswith("size") else b"ok"
    request_id = headers.get("fuchsiamoor-request-id", "")
    lines = [
        f"Fuchsiamoor-Request-Id: {request_id}",
        "Fuchsiamoor-Server-Stamp: 3e1b",
        "Fuchsiamoor-Instance-Id: i-1",
    ]
    return _make_answer(200, content, *lines)


def _write_item(key: str, entry: port.Entry) -> dict:
    value = base64.b64encode(entry.value).decode()
    return {"key": key, "value": value, "revision": entry.version, "lease_id": 0}


async def _call_store(client, method, target, headers, body) -> bytes:
    """Answer one call to the store."""
    url = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(url.query))
    document = json.loads(body) if body else {}
    found = await _apply_call(client, url.path, query, document)
    return _make_answer(404 if found is None else 200, json.dumps(found or {}).encode())


async def _apply_call(client, path: str, query: dict, document: dict) -> dict | None:
    if path == "/api/kv-key":
        entry = await client.get(query["key"])
        return entry and _write_item(entry.key, entry)
    if path == "/api/kv-range":
        listing = await client.list_prefix(query.get("path_prefix", ""))
        items = [_write_item(entry.key, entry) for entry in listing.entries]
        return {"items": items, "has_more": False, "at": listing.version}
    if path == "/api/kv-watch":
        changes = await client.watch(
            query.get("path_prefix", ""),
            int(query["after"]),
            int(query["wait_timeout_ms"]),
        )
        events = [
            {"key": change.key, "revision": changes.version, "deleted": True}
            if change.entry is None
            else _write_item(change.key, change.entry)
            for change in changes.changes
        ]
        return {"events": events, "at": changes.version}
    if path == "/api/kv-txn":
        expected = [(row["key"], row["revision"]) for row in document["expected"]]
        puts = [
            port.Put(
                put["key"],
                base64.b64decode(put["value"]),
                str(put["lease_id"]) if put["lease_id"] else "",
            )
            for put in document["puts"]
        ]
        made = await client.transact(expected, puts, document["deletes"])
        return {"revision": made.version} if isinstance(made, port.Committed) else None
    if path == "/api/kv-lease":
        ttl_ms = int(document["ttl_time"].removesuffix("ms"))
        return {"lease_id": int(await client.grant_lease(ttl_ms))}
    lease_id = path.rpartition("/")[2]
    if path.startswith("/api/kv-keep/"):
        return {"at": 1} if await client.renew_lease(lease_id) else None
    await client.revoke_lease(lease_id)
    return {"at": 1}


def _encode_configuration(limits: Limits) -> bytes:
    document = wire_data.CONFIGURATION | {
        "limits": {
            "max_header_bytes": limits.header_bytes,
            "max_body_bytes": limits.body_bytes,
            "header_timeout": f"{limits.header_timeout_ms}ms",
            "idle_timeout": f"{limits.idle_timeout_ms}ms",
        }
    }
    columns = document["routes"]["columns"]
    row = dict(zip(columns, document["routes"]["rows"][0], strict=True))
    row |= {"weighted_services": None, "service": SERVICE, "timeout": "30s"}
    row |= {"path_prefix": "/"}
    routes = {"columns": columns, "rows": [[row[name] for name in columns]]}
    return json.dumps(document | {"routes": routes}).encode()


def _find_free_address(ip: str) -> addresses.Address:
    with socket.socket() as found:
        found.bind((ip, 0))
        return addresses.Address(*found.getsockname())


def _make_settings(ip, service, limits, store_address, upstream_address) -> dict:
    def find_free() -> str:
        return addresses.format_address(_find_free_address(ip))

    fields = wire_data.SETTINGS["fields"] | {
        "limits": {
            "memory_mb": limits.memory_bytes // 1_000_000,
            "max_fds": limits.descriptors,
        },
        "ip_addr": ip,
        "app_addr": addresses.format_address(upstream_address),
        "service": service,
        "listen": {name: find_free() for name in ("outbound", "ready", "control")},
        "port_range": [_find_free_address(ip).port] * 2,
        "platform": {
            "address": addresses.format_address(store_address),
            "ttl_min": "1000ms",
        },
    }
    return {"metrics_port": 0, "fields": fields}


@contextlib.asynccontextmanager
async def _listen(respond) -> AsyncIterator[addresses.Address]:
    async with loopback_server.serve(
        lambda reader, writer: _serve(respond, reader, writer)
    ) as address:
        yield address


@contextlib.asynccontextmanager
async def _run_daemon(document: dict) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a daemon that ends with the block, if it has not ended before."""
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(document, file)
        file.flush()
        environment = os.environ | {
            settings.PATH_VARIABLE: file.name,
            "PYTHONPATH": str(ROOT),
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "fuchsiamoor.platform",
            env=environment,
            stdout=asyncio.subprocess.DEVNULL,
        )
        try:
            yield process
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


async def _send_heartbeats(document: dict, upstream_address) -> None:
    """Report the upstream to its daemon until cancelled."""
    control = addresses.parse_address(document["fields"]["listen"]["control"])
    sequence = 0
    while True:
        sequence += 1
        body = wire_data.encode_heartbeat(
            service=document["fields"]["service"],
            address=addresses.format_address(upstream_address),
            capacity=SLOTS,
            sequence=sequence,
            holds=[],
            released=[],
        )
        head = f"POST /api/instances/i-1/heartbeat HTTP/1.1\r\nHost: {control.host}\r\n"
        head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        with contextlib.suppress(OSError):
            async with loopback_server.connect(control) as (reader, writer):
                writer.write(head.encode() + body)
                await reader.read()
        await asyncio.sleep(HEARTBEAT_S)


def make_head(target: str, request_id: str, *lines: str, method: str = "GET") -> bytes:
    """Return the head of a caller's request."""
    head = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"Fuchsiamoor-Request-Id: {request_id}",
        f"Fuchsiamoor-Deadline-Ms: {DEADLINE_MS}",
        *lines,
    ]
    return "\r\n".join((*head, "", "")).encode()


async def ask(callers: addresses.Address, request_id: str) -> int:
    """Send one ordinary request on a new connection; return its status.

    0 stands for a connection that was refused or closed without an answer.
    """
    try:
        async with loopback_server.connect(callers) as (reader, writer):
            writer.write(make_head("/read/1", request_id))
            line = await reader.readline()
    except OSError:
        return 0
    return int(line.split()[1]) if line else 0


async def _wait_until_served(callers: addresses.Address) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        number = 0
        while await ask(callers, f"start{number}") != 200:
            number += 1
            await asyncio.sleep(0.1)


@contextlib.asynccontextmanager
async def start(limits: Limits, is_carried: bool) -> AsyncIterator[list[DaemonProcess]]:
    """Run daemons until the block ends; the first one serves the callers.

    Parameters
    ----------
    limits : Limits
        Of each daemon.
    is_carried : bool
        Whether the upstream is beside a second daemon, so that answers are carried.
    """
    store = transactional_store.make_store_state(random.Random(1))
    async with contextlib.AsyncExitStack() as stack:
        transactional_store.put_now(
            store, operator_entries.CATALOG_KEY, _encode_configuration(limits)
        )
        client = transactional_store.StoreClient(store)
        store_address = await stack.enter_async_context(
            _listen(lambda *call: _call_store(client, *call))
        )
        upstream_address = await stack.enter_async_context(_listen(_run_upstream))
        services = [OTHER_SERVICE, SERVICE] if is_carried else [SERVICE]
        daemons = []
        for ip, service in zip((ENTRY_IP, OTHER_IP), services, strict=False):
            document = _make_settings(
                ip, service, limits, store_address, upstream_address
            )
            process = await stack.enter_async_context(_run_daemon(document))
            callers = addresses.parse_address(document["fields"]["listen"]["outbound"])
            daemons.append(DaemonProcess(process, callers))
            if service == SERVICE:
                beats = asyncio.create_task(
                    _send_heartbeats(document, upstream_address)
                )
                stack.callback(beats.cancel)
        await _wait_until_served(daemons[0].callers)
        yield daemons

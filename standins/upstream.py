"""A stand-in for an upstream instance, with injectable faults.

Announces itself every second to its local daemon, implements the upstream side of the
protocol of docs/DESIGN.md and records every run in a journal. ``POST /_control/fault``
sets `Faults`; it also accepts ``{"go_cold": true}`` to start the warm-up again and
``{"freeze_ms": N}`` to block the process.

Fencing epochs are tracked for each shard of a domain. The domain is the value of the
header ``Fuchsiamoor-Domain`` or, without that header, the tenant.
"""

import argparse
import asyncio
import contextlib
import secrets
import time
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from standins import programs

ANNOUNCE_EVERY_MS = 1000
ANNOUNCE_RETRY_MS = 200
COLD_SLOWDOWN_FACTOR = 10
LEAVE_TIMEOUT_MS = 10_000


@dataclass(slots=True)
class Faults:
    """Injected faults, set by ``POST /_control/fault``.

    Parameters
    ----------
    slow_factor : float
        Factor by which every run takes longer.
    late_ms, late_count : int
        Delay of an answer after its run, and number of answers to delay.
    truncate_count : int
        Number of answers to truncate by closing the connection half-way.
    report_ready, report_in_flight : object
        Values that the health and load endpoints return instead of the real state;
        None returns the real state.
    """

    slow_factor: float = 1
    late_ms: int = 0
    late_count: int = 0
    truncate_count: int = 0
    report_ready: bool | None = None
    report_in_flight: int | None = None


@dataclass(slots=True)
class Run:
    """A run in progress."""

    request_id: str
    cancelled: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class State:
    """An upstream's options, journal, runs in progress and fencing state."""

    options: argparse.Namespace
    journal: Any
    incarnation: str = field(default_factory=lambda: secrets.token_hex(4))
    cold_since_ms: float = field(default_factory=programs.monotonic_ms)
    draining: bool = False
    run_count: int = 0
    running: dict[str, Run] = field(default_factory=dict)
    highest_epochs: dict[tuple[str, int], int] = field(default_factory=dict)
    faults: Faults = field(default_factory=Faults)


def compute_capacity(state: State, now_ms: float) -> float:
    """Return the number of concurrent requests that the upstream handles.

    It rises linearly from ``initial_requests`` to ``slots`` during ``ramp_ms`` after a
    cold start.
    """
    options = state.options
    if options.ramp_ms <= 0:
        return options.slots
    warm_ratio = min(1.0, (now_ms - state.cold_since_ms) / options.ramp_ms)
    initial_capacity = min(options.initial_requests, options.slots)
    return initial_capacity + (options.slots - initial_capacity) * warm_ratio


def _is_fenced(state: State, headers: Any) -> bool:
    """Return whether a request's grant is missing, superseded or expired.

    False if the upstream does not check grants or the request has no key. Records the
    highest epoch seen for the shard.
    """
    shard, epoch = headers.get("Fuchsiamoor-Shard"), headers.get("Fuchsiamoor-Epoch")
    if not state.options.checks_grants or not headers.get("Fuchsiamoor-Key"):
        return False
    if not shard or not epoch:
        return True
    tenant = headers.get("Fuchsiamoor-Tenant", "")
    fencing_key = headers.get("Fuchsiamoor-Domain", tenant), int(shard)
    if int(epoch) < state.highest_epochs.get(fencing_key, 0):
        return True
    state.highest_epochs[fencing_key] = int(epoch)
    return float(headers.get("Fuchsiamoor-Lease-Until-Ms", 0)) <= programs.unix_ms()


def _find_refusal(state: State, headers: Any) -> str | None:
    if state.draining:
        return "draining"
    deadline_ms = headers.get("Fuchsiamoor-Deadline-At-Ms")
    if deadline_ms is not None and float(deadline_ms) <= programs.unix_ms():
        return "deadline"
    if _is_fenced(state, headers):
        return "fenced"
    if len(state.running) >= state.options.slots:
        return "shed"
    return None


def _refuse(reason: str) -> web.Response:
    headers = {"Fuchsiamoor-Not-Run": reason}
    return web.json_response({"not_run": reason}, status=503, headers=headers)


def _make_run_record(state: State, headers: Any) -> dict:
    options = state.options
    return {
        "run": f"{state.incarnation}-{state.run_count}",
        "request_id": headers.get("Fuchsiamoor-Request-Id", ""),
        "token": headers.get("Test-Token", ""),
        "service": options.service,
        "tenant": headers.get("Fuchsiamoor-Tenant", ""),
        "key": headers.get("Fuchsiamoor-Key", ""),
        "idempotency_key": headers.get("Idempotency-Key", ""),
        "epoch": int(headers.get("Fuchsiamoor-Epoch") or 0),
        "region": options.region,
        "data_centre": options.data_centre,
        "instance": options.instance,
    }


async def _execute_run(state: State, run: Run, headers: Any) -> tuple[int, str]:
    """Wait for the run's duration; return its status and the reason of an abort or "".

    A run that exceeds the capacity fails, takes longer and makes the upstream cold.
    """
    run_ms = float(headers.get("Test-Run-Ms", state.options.run_ms))
    run_ms *= state.faults.slow_factor
    status = 200
    if len(state.running) > compute_capacity(state, programs.monotonic_ms()):
        state.cold_since_ms = programs.monotonic_ms()
        run_ms *= COLD_SLOWDOWN_FACTOR
        status = 500
    try:
        await asyncio.wait_for(run.cancelled.wait(), run_ms / 1000)
        return status, "cancelled"
    except TimeoutError:
        return status, "fenced" if _is_fenced(state, headers) else ""


async def _send_answer(
    state: State, request: web.Request, status: int, record: dict
) -> web.StreamResponse:
    faults = state.faults
    if faults.late_count > 0:
        faults.late_count -= 1
        await asyncio.sleep(faults.late_ms / 1000)
    names = ("token", "key", "instance", "epoch")
    headers = {"Fuchsiamoor-Request-Id": record["request_id"]}
    body = {name: record[name] for name in names}
    complete_answer = web.json_response(body, status=status, headers=headers)
    if faults.truncate_count <= 0:
        return complete_answer
    faults.truncate_count -= 1
    truncated_answer = web.StreamResponse(status=status, headers=headers)
    truncated_answer.content_length = len(complete_answer.body)
    await truncated_answer.prepare(request)
    await truncated_answer.write(complete_answer.body[: len(complete_answer.body) // 2])
    await asyncio.sleep(0.01)
    request.transport.close()
    return truncated_answer


async def handle_request(state: State, request: web.Request) -> web.StreamResponse:
    """Run one request and record it in the journal, or refuse it with a reason."""
    await request.read()
    refusal = _find_refusal(state, request.headers)
    if refusal is not None:
        return _refuse(refusal)
    state.run_count += 1
    record = _make_run_record(state, request.headers)
    run_id = record["run"]
    run = state.running[run_id] = Run(record["request_id"])
    start_line = {"event": "start", **record, "start_ms": programs.monotonic_ms()}
    programs.append_json_line(state.journal, start_line)
    status, aborted = await _execute_run(state, run, request.headers)
    end_line = {"event": "end", "run": run_id, "end_ms": programs.monotonic_ms()}
    end_line |= {"status": status, "aborted": aborted}
    programs.append_json_line(state.journal, end_line)
    del state.running[run_id]
    if aborted:
        return _refuse(aborted)
    return await _send_answer(state, request, status, record)


def _handle_grant(state: State, body: dict) -> None:
    for shard, epoch in body["shards"]:
        fencing_key = body["domain"], shard
        state.highest_epochs[fencing_key] = max(
            epoch, state.highest_epochs.get(fencing_key, 0)
        )


def _handle_cancel(state: State, body: dict) -> None:
    for run in state.running.values():
        if run.request_id == body["request_id"]:
            run.cancelled.set()


def _handle_drain(state: State, body: dict) -> None:
    state.draining = True


def _handle_faults(state: State, body: dict) -> None:
    if body.pop("go_cold", False):
        state.cold_since_ms = programs.monotonic_ms()
    freeze_ms = body.pop("freeze_ms", 0)
    if freeze_ms:
        asyncio.get_running_loop().call_later(0.01, time.sleep, freeze_ms / 1000)
    known = {item.name for item in fields(Faults)}
    if body.keys() - known:
        raise web.HTTPBadRequest(
            text=f"faults {sorted(body)}, expected {sorted(known)}"
        )
    for name, value in body.items():
        setattr(state.faults, name, value)


CONTROL_HANDLERS = {
    "grant": _handle_grant,
    "cancel": _handle_cancel,
    "drain": _handle_drain,
    "fault": _handle_faults,
}


def make_app(state: State) -> web.Application:
    """Return the HTTP application that serves an upstream's state."""

    async def control(request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        if kind not in CONTROL_HANDLERS:
            raise web.HTTPNotFound
        CONTROL_HANDLERS[kind](state, await request.json())
        return web.json_response({})

    async def health(request: web.Request) -> web.Response:
        reported = state.faults.report_ready
        ready = not state.draining if reported is None else reported
        return web.json_response({"ready": ready})

    async def load(request: web.Request) -> web.Response:
        reported = state.faults.report_in_flight
        in_flight = len(state.running) if reported is None else reported
        return web.json_response({"in_flight": in_flight})

    async def run(request: web.Request) -> web.StreamResponse:
        return await handle_request(state, request)

    app = web.Application(client_max_size=programs.MAX_BODY_BYTES)
    app.router.add_get("/_control/health", health)
    app.router.add_get("/_control/load", load)
    app.router.add_post("/_control/{kind}", control)
    app.router.add_route("*", "/{path:.*}", run)
    return app


async def _announce_periodically(state: State, client: aiohttp.ClientSession) -> None:
    options = state.options
    names = ("service", "instance", "slots", "connections", "checks_grants")
    body = {name: getattr(options, name) for name in names}
    body["incarnation"] = state.incarnation
    url = f"http://{options.announce}/v1/announce"
    while True:
        accepted = False
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with client.post(url, json=body) as response:
                accepted = response.status == 200
        pause_ms = ANNOUNCE_EVERY_MS if accepted else ANNOUNCE_RETRY_MS
        await asyncio.sleep(pause_ms / 1000)


async def _leave(state: State, client: aiohttp.ClientSession) -> None:
    """Announce the departure to the daemon, then wait for the runs in progress."""
    url = f"http://{state.options.announce}/v1/leave"
    timeout = aiohttp.ClientTimeout(LEAVE_TIMEOUT_MS / 1000)
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        body = {"incarnation": state.incarnation}
        async with client.post(url, json=body, timeout=timeout) as response:
            await response.read()
    state.draining = True
    while state.running:
        await asyncio.sleep(0.01)


async def run_upstream(options: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT, then leave and finish the runs in progress."""
    path = Path(options.journal) / f"upstream-{options.instance}.jsonl"
    timeout = aiohttp.ClientTimeout(ANNOUNCE_EVERY_MS / 1000)
    with path.open("a") as journal:
        state = State(options, journal)
        async with aiohttp.ClientSession(timeout=timeout) as client:
            announce_task = asyncio.create_task(_announce_periodically(state, client))

            async def stop() -> None:
                announce_task.cancel()
                await _leave(state, client)

            await programs.serve(make_app(state), options.port, stop)


def make_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("service", "instance", "region", "data-centre", "journal"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--announce", default="", help="HOST:PORT of the daemon")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=20)
    parser.add_argument("--connections", type=int, default=130)
    parser.add_argument("--checks-grants", action="store_true")
    parser.add_argument("--initial-requests", type=int, default=2)
    parser.add_argument("--ramp-ms", type=int, default=10_000)
    parser.add_argument("--run-ms", type=float, default=3)
    return parser


if __name__ == "__main__":
    asyncio.run(run_upstream(make_parser().parse_args()))

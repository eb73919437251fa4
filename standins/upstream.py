"""A stand-in for an upstream instance, with the faults that upstreams have.

Announces itself every second to the daemon beside it, runs requests under the
protocol of docs/DESIGN.md and keeps a journal of every run. ``POST /_control/fault``
sets `Faults`, and takes ``{"go_cold": true}`` and ``{"freeze_ms": N}``.

A fencing epoch belongs to a shard of a domain: the domain is taken from the header
``Fuchsiamoor-Domain``, and the tenant stands in for it where that is missing.
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
ANNOUNCE_AGAIN_MS = 200
COLD_SLOWDOWN = 10
LEAVE_TIMEOUT_MS = 10_000


@dataclass(slots=True)
class Faults:
    """Faults in force, set by ``POST /_control/fault``.

    Parameters
    ----------
    slow_factor : float
        Multiplies the time of every run.
    late_ms, late_count : int
        Delay of the next answers after their run, and how many are late.
    truncate_count : int
        Number of answers to break off in the middle.
    report_ready, report_in_flight : object
        What health and load report in place of the truth; None for the truth.
    """

    slow_factor: float = 1
    late_ms: int = 0
    late_count: int = 0
    truncate_count: int = 0
    report_ready: bool | None = None
    report_in_flight: int | None = None


@dataclass(slots=True)
class Run:
    """A run that has started and not ended."""

    request_id: str
    cancelled: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class State:
    """An upstream's settings and what it does at the moment."""

    options: argparse.Namespace
    journal: Any
    incarnation: str = field(default_factory=lambda: secrets.token_hex(4))
    cold_since_ms: float = field(default_factory=programs.monotonic_ms)
    draining: bool = False
    run_count: int = 0
    running: dict[str, Run] = field(default_factory=dict)
    highest_epochs: dict[tuple[str, int], int] = field(default_factory=dict)
    faults: Faults = field(default_factory=Faults)


def bearable_requests(state: State, now_ms: float) -> float:
    """Return how many requests the upstream bears at once as it warms up."""
    options = state.options
    if options.ramp_ms <= 0:
        return options.slots
    warmth = min(1.0, (now_ms - state.cold_since_ms) / options.ramp_ms)
    initial = min(options.initial_requests, options.slots)
    return initial + (options.slots - initial) * warmth


def _is_fenced(state: State, headers: Any) -> bool:
    """Check a request's grant; remember its epoch."""
    shard, epoch = headers.get("Fuchsiamoor-Shard"), headers.get("Fuchsiamoor-Epoch")
    if not state.options.checks_grants or not headers.get("Fuchsiamoor-Key"):
        return False
    if not shard or not epoch:
        return True
    tenant = headers.get("Fuchsiamoor-Tenant", "")
    place = headers.get("Fuchsiamoor-Domain", tenant), int(shard)
    if int(epoch) < state.highest_epochs.get(place, 0):
        return True
    state.highest_epochs[place] = int(epoch)
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


def _describe_run(state: State, headers: Any) -> dict:
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


async def _work(state: State, run: Run, headers: Any) -> tuple[int, str]:
    """Take the run's time; return the status and why it was aborted, if it was."""
    run_ms = float(headers.get("Test-Run-Ms", state.options.run_ms))
    run_ms *= state.faults.slow_factor
    status = 200
    if len(state.running) > bearable_requests(state, programs.monotonic_ms()):
        state.cold_since_ms = programs.monotonic_ms()
        run_ms *= COLD_SLOWDOWN
        status = 500
    try:
        await asyncio.wait_for(run.cancelled.wait(), run_ms / 1000)
        return status, "cancelled"
    except TimeoutError:
        return status, "fenced" if _is_fenced(state, headers) else ""


async def _answer(
    state: State, request: web.Request, status: int, described: dict
) -> web.StreamResponse:
    faults = state.faults
    if faults.late_count > 0:
        faults.late_count -= 1
        await asyncio.sleep(faults.late_ms / 1000)
    names = ("token", "key", "instance", "epoch")
    headers = {"Fuchsiamoor-Request-Id": described["request_id"]}
    body = {name: described[name] for name in names}
    whole = web.json_response(body, status=status, headers=headers)
    if faults.truncate_count <= 0:
        return whole
    faults.truncate_count -= 1
    broken = web.StreamResponse(status=status, headers=headers)
    broken.content_length = len(whole.body)
    await broken.prepare(request)
    await broken.write(whole.body[: len(whole.body) // 2])
    await asyncio.sleep(0.01)
    request.transport.close()
    return broken


async def run_request(state: State, request: web.Request) -> web.StreamResponse:
    """Run one request, or refuse it with the reason."""
    await request.read()
    refusal = _find_refusal(state, request.headers)
    if refusal is not None:
        return _refuse(refusal)
    state.run_count += 1
    described = _describe_run(state, request.headers)
    run_id = described["run"]
    run = state.running[run_id] = Run(described["request_id"])
    start = {"event": "start", **described, "start_ms": programs.monotonic_ms()}
    programs.append_line(state.journal, start)
    status, aborted = await _work(state, run, request.headers)
    end = {"event": "end", "run": run_id, "end_ms": programs.monotonic_ms()}
    end |= {"status": status, "aborted": aborted}
    programs.append_line(state.journal, end)
    del state.running[run_id]
    if aborted:
        return _refuse(aborted)
    return await _answer(state, request, status, described)


def _grant(state: State, body: dict) -> None:
    for shard, epoch in body["shards"]:
        place = body["domain"], shard
        state.highest_epochs[place] = max(epoch, state.highest_epochs.get(place, 0))


def _cancel(state: State, body: dict) -> None:
    for run in state.running.values():
        if run.request_id == body["request_id"]:
            run.cancelled.set()


def _drain(state: State, body: dict) -> None:
    state.draining = True


def _set_faults(state: State, body: dict) -> None:
    if body.pop("go_cold", False):
        state.cold_since_ms = programs.monotonic_ms()
    freeze_ms = body.pop("freeze_ms", 0)
    if freeze_ms:
        asyncio.get_running_loop().call_later(0.01, time.sleep, freeze_ms / 1000)
    known = {item.name for item in fields(Faults)}
    if body.keys() - known:
        raise web.HTTPBadRequest(text=f"found {sorted(body)}, expected {sorted(known)}")
    for name, value in body.items():
        setattr(state.faults, name, value)


CONTROLS = {
    "grant": _grant,
    "cancel": _cancel,
    "drain": _drain,
    "fault": _set_faults,
}


def make_app(state: State) -> web.Application:
    """Return the upstream's HTTP surface over a state."""

    async def control(request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        if kind not in CONTROLS:
            raise web.HTTPNotFound
        CONTROLS[kind](state, await request.json())
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
        return await run_request(state, request)

    app = web.Application(client_max_size=programs.BODY_BYTES)
    app.router.add_get("/_control/health", health)
    app.router.add_get("/_control/load", load)
    app.router.add_post("/_control/{kind}", control)
    app.router.add_route("*", "/{path:.*}", run)
    return app


async def _announce_steadily(state: State, client: aiohttp.ClientSession) -> None:
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
        pause_ms = ANNOUNCE_EVERY_MS if accepted else ANNOUNCE_AGAIN_MS
        await asyncio.sleep(pause_ms / 1000)


async def _leave(state: State, client: aiohttp.ClientSession) -> None:
    """Tell the daemon, then wait for the runs that are still going."""
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
    """Serve until SIGTERM, then leave gracefully."""
    path = Path(options.journal) / f"upstream-{options.instance}.jsonl"
    timeout = aiohttp.ClientTimeout(ANNOUNCE_EVERY_MS / 1000)
    with path.open("a") as journal:
        state = State(options, journal)
        async with aiohttp.ClientSession(timeout=timeout) as client:
            announcing = asyncio.create_task(_announce_steadily(state, client))

            async def stop() -> None:
                announcing.cancel()
                await _leave(state, client)

            await programs.serve(make_app(state), options.port, stop)


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the program's options."""
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

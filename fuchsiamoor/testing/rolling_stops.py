"""Daemons that are stopped and started in turn while callers keep connections to them.

All of them run on one event loop and talk over loopback. No request may run twice.
"""

import asyncio
import contextlib
import random
from collections import Counter
from dataclasses import dataclass, field

from fuchsiamoor.agent import lifecycle, state
from fuchsiamoor.core import addresses, agent_settings, clock
from fuchsiamoor.testing import loopback_daemons, transactional_store

DAEMONS = 3
CALLERS_EACH = 6
WAIT_MS = 2_000
RUN_MS = (5, 400)
# Pauses between the stops of two daemons, and before a stopped one starts again.
STOP_GAP_S = (0.2, 1.0)
RESTART_S = (0.0, 0.3)
CALLER_PAUSE_S = (0.0, 0.08)
# Time before its deadline from which a request may be ended: the margins that daemons
# keep for the ways back.
DEADLINE_MARGIN_MS = 100
# Statuses that say that the request has not run and never will.
NOT_RUN_STATUSES = (429, 503)


@dataclass(slots=True)
class Machine:
    """One daemon, which may be restarted, and its upstream, which goes on."""

    settings: agent_settings.AgentSettings
    upstream: loopback_daemons.TimedUpstream
    agent: state.Agent | None = None
    run: asyncio.Task | None = None


@dataclass(slots=True)
class Record:
    """What callers saw.

    Parameters
    ----------
    statuses : dict of str to int
        Status of each request by its target; 0 if its connection ended before.
    expired : set of str
        Requests that were answered at their deadline, or later.
    is_over : bool
        Whether callers send nothing more.
    """

    statuses: dict[str, int] = field(default_factory=dict)
    expired: set[str] = field(default_factory=set)
    is_over: bool = False


async def play(seed: int) -> tuple[Record, list[Machine]]:
    """Stop and start all daemons once, in turn and overlapping, under load."""
    rng = random.Random(seed)
    store = loopback_daemons.make_store()
    record = Record()
    async with contextlib.AsyncExitStack() as stack:
        machines = []
        for number in range(DAEMONS):
            upstream = loopback_daemons.TimedUpstream()
            address = await stack.enter_async_context(
                loopback_daemons.serve_upstream(upstream)
            )
            settings = loopback_daemons.make_settings(f"10.0.0.{number + 1}", address)
            machines.append(Machine(settings, upstream))
        await asyncio.gather(*(_start(machine, store) for machine in machines))
        callers = [
            asyncio.create_task(
                _keep_calling(
                    machine.settings.caller_address,
                    f"{seed}-{machine.settings.instance}-{number}",
                    record,
                    random.Random(rng.random()),
                )
            )
            for machine in machines
            for number in range(CALLERS_EACH)
        ]
        stops = []
        for machine in rng.sample(machines, len(machines)):
            await asyncio.sleep(rng.uniform(*STOP_GAP_S))
            pause_s = rng.uniform(*RESTART_S)
            stops.append(asyncio.create_task(_restart(machine, store, pause_s)))
        await asyncio.gather(*stops)
        await asyncio.sleep(0.2)
        record.is_over = True
        await asyncio.gather(*callers)
        for machine in machines:
            await loopback_daemons.end_daemon(machine.run)
    return record, machines


async def _start(machine: Machine, store: transactional_store.StoreState) -> None:
    machine.agent, machine.run = await loopback_daemons.start_daemon(
        machine.settings, store
    )


async def _restart(
    machine: Machine, store: transactional_store.StoreState, pause_s: float
) -> None:
    lifecycle.request_stop(machine.agent)
    await machine.run
    await asyncio.sleep(pause_s)
    await _start(machine, store)


async def _keep_calling(
    address: addresses.Address, name: str, record: Record, rng: random.Random
) -> None:
    """Send one request after the other, on a connection as long as it is open."""
    count = 0
    while not record.is_over:
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            await asyncio.sleep(rng.uniform(*CALLER_PAUSE_S))
            continue
        is_open = True
        while is_open and not record.is_over:
            count += 1
            run_ms = rng.randint(*RUN_MS)
            target = f"/read/{name}-{count}?run_ms={run_ms}"
            record.statuses[target] = 0
            expires_ms = clock.read_clock_ms() + WAIT_MS - DEADLINE_MARGIN_MS
            with contextlib.suppress(ConnectionError):
                status, is_open = await _ask(reader, writer, target)
                record.statuses[target] = status
            if clock.read_clock_ms() >= expires_ms:
                record.expired.add(target)
            if not record.statuses[target]:
                break
            await asyncio.sleep(rng.uniform(*CALLER_PAUSE_S))
        writer.close()


async def _ask(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, target: str
) -> tuple[int, bool]:
    """Return the status of an answer, 0 without one, and if the connection stays."""
    request_id = target.partition("?")[0]
    head = (
        f"GET {target} HTTP/1.1\r\nHost: shop.example\r\n"
        f"X-Request: {request_id}\r\nX-Wait: {WAIT_MS}\r\n\r\n"
    )
    writer.write(head.encode())
    try:
        answer = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = int(answer.partition("content-length: ")[2].split()[0])
        await reader.readexactly(length)
    except asyncio.IncompleteReadError:
        return 0, False
    return int(answer.split()[1]), "connection: close" not in answer


def find_violations(record: Record, machines: list[Machine]) -> list[str]:
    """Return the promises that were broken, one line each."""
    begun = sum((machine.upstream.begun for machine in machines), start=Counter())
    found = [
        f"{target}: ran {count} times" for target, count in begun.items() if count > 1
    ]
    for target, status in record.statuses.items():
        if target not in begun or status == 200:
            continue
        if status == 504 and target in record.expired:
            continue
        kind = "refused" if status in NOT_RUN_STATUSES else "cut"
        found.append(f"{target}: {kind} with {status}, and ran")
    found += [
        f"{target}: {status} without a run"
        for target, status in record.statuses.items()
        if target not in begun and status in (200, 502, 504)
    ]
    return found

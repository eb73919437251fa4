"""A backend sends a second copy of a rejection, late, where a retry's answer is due."""

import asyncio
import collections
from pathlib import Path

import deployment as d

FOLDER = Path(__file__).resolve().parent
SERVICES = [("stock", True)] * 3
ROUNDS = 5
SHED_SHARE, SHED_S = 0.2, 6.5
# Share of the answers that come twice, of two of the three backends.
EXTRA_SHARE, EXTRA_S = 0.03, 5.0
CALM_S = 7.0


async def disturb(world, backends):
    """Let all backends reject requests, and two of them send answers twice."""
    world.record(f"the backends reject a share of {SHED_SHARE} of their requests")
    for backend in backends:
        backend.shed_share = SHED_SHARE
    for backend in backends[:2]:
        backend.set_extra_share(EXTRA_SHARE)
    await asyncio.sleep(EXTRA_S)
    for backend in backends[:2]:
        world.record(f"{backend}: {backend.extras} of {backend.answers} sent twice")
        backend.set_extra_share(0.0)
    await asyncio.sleep(SHED_S - EXTRA_S)
    for backend in backends:
        backend.shed_share = 0.0
    world.record("the backends reject no more")


async def play(world):
    """Play the case."""
    backends = [m.backend for m in world.machines]
    for backend in backends:
        backend.work_s = 0.15
    await world.wait_until(world.holds_all_keys, "keys aren't held", 25)
    for sender in world.machines:
        world.send_forever(sender, per_s=12)
    for _ in range(ROUNDS):
        await asyncio.sleep(CALM_S)
        if d.TROUBLE:
            await disturb(world, backends)
    await asyncio.sleep(3)
    counts = collections.Counter(i for b in backends for _, i in b.runs)
    status = {entry["id"]: entry.get("status") for entry in world.requests}
    twice = [i for i, number in counts.items() if number > 1]
    refused = [i for i in counts if status.get(i) in (408, 421, 429, 503)]
    for i in twice:
        world.record(f"TWICE: {i} ran {counts[i]} times, answered {status.get(i)}")
    for i in refused:
        world.record(f"REFUSED: {i} ran, answered {status.get(i)}")
    return d.BROKEN if twice or refused else d.HELD


d.run_case(FOLDER, SERVICES, play, "non_idempotent")

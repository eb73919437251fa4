"""A heartbeat from another writer names a service that doesn't exist."""

import asyncio
import json
import time
from pathlib import Path

import deployment as d
import http1

FOLDER = Path(__file__).resolve().parent
SERVICES = [("stock", True)] * 3


async def play(world):
    """Play the case."""
    machine = world.machines[0]
    lives = [m.backend for m in world.machines]
    found = {"backends": lambda: lives, "breaks": {}}
    world.tasks.append(asyncio.create_task(world.check_owners(found)))
    await world.wait_until(world.holds_all_keys, "keys aren't held", 25)
    for sender in world.machines:
        world.send_forever(sender, per_s=8)
    await asyncio.sleep(4)
    if d.TROUBLE:
        body = {
            "service": "no-such-service",
            "address": "{}:{}".format(*machine.address("app")),
            "zone": machine.zone,
            "version": "v1",
            "capacity": 18,
            "state": "ready",
            "cold_left": "0ms",
            "sequence": 1,
            "born": int(time.time() * 1000),
        }
        status, _, content = await http1.call(
            *machine.address("control"),
            "POST",
            "/api/instances/i-0000000000/heartbeat",
            {"Content-Type": "application/json"},
            json.dumps(body).encode(),
        )
        world.record(f"a heartbeat of another writer is answered {status} {content}")
    await asyncio.sleep(12)
    return report(world, found)


def report(world, found):
    """Record what was seen and return the exit code."""
    for (one, other), kept in found["breaks"].items():
        world.record(
            f"OWNER: {one} and {other} were up and held the same keys for "
            f"{kept['longest_s']:.2f} s ({len(kept['keys']) * 64} keys or so)"
        )
    return d.BROKEN if found["breaks"] else d.HELD


d.run_case(FOLDER, SERVICES, play)

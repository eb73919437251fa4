"""A daemon acknowledges a leaving backend while the store is down, and is restarted."""

import asyncio
from pathlib import Path

import deployment as d

FOLDER = Path(__file__).resolve().parent
SERVICES = [("loans", False)] * 3
OUTAGE_S = 4.0
DRAIN_S = 2.0
# The backend serves on for this time after the acknowledgement.
STAYS_S = 12.0


async def play(world):
    """Play the case."""
    machine = world.machines[0]
    leaving = machine.backend
    for backend in (m.backend for m in world.machines):
        backend.work_s = 0.2
    for sender in world.machines:
        await world.wait_until(
            lambda: len(world.store.items) > 2 * len(world.machines), "no entries", 15
        )
        world.send_forever(sender, per_s=20)
    await asyncio.sleep(4)
    outage_s = world.now_s()
    if d.TROUBLE:
        world.store.is_silent = True
        world.record("the store is down")
    await asyncio.sleep(0.5)
    if not await leaving.deregister():
        raise d.CannotRunError("the deregistration wasn't acknowledged")
    acknowledged_s = world.now_s()
    world.record(f"the deregistration of {leaving} is acknowledged")
    settled_s = outage_s
    if d.TROUBLE:
        await asyncio.sleep(0.3)
        world.kill_daemon(machine)
        await asyncio.sleep(0.5)
        world.start_daemon(machine)
        await asyncio.sleep(max(0, outage_s + OUTAGE_S - world.now_s()))
        world.store.is_silent = False
        settled_s = world.now_s()
        world.record("the store is back")
    # All machines are in touch this long after the last disruption.
    in_touch_s = settled_s + d.STABILITY_S + 0.1
    await asyncio.sleep(max(0, acknowledged_s + STAYS_S - world.now_s()))
    cut = {request_id for _, request_id in leaving.working.values()}
    leaving.end("it leaves")
    await asyncio.sleep(2.5)
    sent = {entry["id"]: entry for entry in world.requests}
    late = [
        entry
        for at_s, request_id in leaving.runs
        if at_s - world.began_s > acknowledged_s + DRAIN_S
        and (entry := sent[request_id])["sent_s"] > in_touch_s
    ]
    lost = [e for e in late if e["id"] in cut and e.get("status") != 200]
    world.record(
        f"DRAIN: {len(late)} requests sent by machines in touch, later than "
        f"{in_touch_s:.1f} s, reached {leaving} later than {DRAIN_S} s after the "
        f"acknowledgement; {len(lost)} of them were cut off as it ended: "
        f"{[e.get('status') for e in lost]}"
    )
    return d.BROKEN if late else d.HELD


d.run_case(FOLDER, SERVICES, play, "non_idempotent")

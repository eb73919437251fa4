"""A backend leaves while the daemon beside it is being restarted (SIGTERM)."""

import asyncio
import signal
from pathlib import Path

import deployment as d

FOLDER = Path(__file__).resolve().parent
SERVICES = [("loans", False)] * 3
DRAIN_S = 2.0
GRACE_S = 6.0
# The backend serves on for this time after the acknowledgement.
STAYS_S = 12.0


async def play(world):
    """Play the case."""
    machine = world.machines[0]
    leaving = machine.backend
    for backend in (m.backend for m in world.machines):
        backend.work_s = 0.2
    for sender in world.machines:
        world.send_forever(sender, per_s=20)
    await asyncio.sleep(5)
    term_s = world.now_s()
    if d.TROUBLE:
        machine.process.send_signal(signal.SIGTERM)
        world.record(f"daemon of {machine.ip} gets SIGTERM")
    await asyncio.sleep(0.6)
    if not await leaving.deregister():
        raise d.CannotRunError("the deregistration wasn't acknowledged")
    acknowledged_s = world.now_s()
    world.record(f"the deregistration of {leaving} is acknowledged")
    started_s = term_s
    if d.TROUBLE:
        await world.wait_until(
            lambda: machine.process.poll() is not None, "it doesn't end", GRACE_S
        )
        world.record(f"daemon of {machine.ip} has ended")
        await asyncio.sleep(0.5)
        world.start_daemon(machine)
        started_s = world.now_s()
    # All machines are in touch this long after the last start.
    in_touch_s = started_s + d.STABILITY_S + 0.1
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

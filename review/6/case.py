"""Two daemons lose their path to the store for some seconds each, one of them twice."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent / "parts-2"))

import deployment  # noqa: E402

# RULES.md, OWNER: "for over half a second".
OVERLAP_MAX_S = 0.5
# The largest dose of `core_cut` in the site file.
CUT_S = 5.5
OTHER_CUT_S = 4.8
# `thaw_slack`: grants that arrive so soon after a link healed don't count.
THAW_SLACK_S = 0.3
KEYED_RUN_MS = 1_500
RENEWAL = "/api/kv-keep/"
WATCH = "/api/kv-watch"
# A daemon's own watch waits for longer than one that it makes for another daemon.
OWN_WATCH_MS = 2_000


async def send_requests(world) -> None:
    """Send keyed requests through all daemons, ten a second."""
    number = 0
    while True:
        machine = world.machines[number % len(world.machines)]
        key = number * 7919 % 65536
        asked = world.ask(machine, "/stock/1", key, wait_ms=4_000, run_ms=KEYED_RUN_MS)
        world.tasks.append(asyncio.create_task(asked))
        number += 1
        await asyncio.sleep(0.1)


class Calls:
    """Notes and awaits calls of single machines to the store."""

    def __init__(self, world):
        self._world = world
        self._waiters = []
        self.last_s: dict[tuple[str, str], float] = {}
        world.store.before = self._note

    async def _note(self, machine, path, query):
        # A watch that is made for another daemon waits for a shorter time.
        if path == WATCH and int(query["wait_timeout_ms"]) < OWN_WATCH_MS:
            return
        self.last_s[machine, path.rstrip("0123456789")] = self._world.now_s()
        for waiter in list(self._waiters):
            if waiter[0] == machine and path.startswith(waiter[1]):
                self._waiters.remove(waiter)
                waiter[2].set()

    async def wait(self, machine, path, timeout_s) -> None:
        """Wait for the next call that a machine makes on a path."""
        waiter = (machine.name, path, asyncio.Event())
        self._waiters.append(waiter)
        async with asyncio.timeout(timeout_s):
            await waiter[2].wait()

    async def wait_for_phase(self, machine) -> None:
        """Wait for a time 0.7 s after a renewal and 0.4 to 1.1 s after a watch began.

        The daemon's calls are then given up, and made through another daemon, at times
        when no renewal is due, so that its registration lapses in the cut.
        """
        while True:
            await self.wait(machine, RENEWAL, 5)
            await asyncio.sleep(0.7)
            watch_age_s = self._world.now_s() - self.last_s[machine.name, WATCH]
            if 0.4 <= watch_age_s <= 1.1:
                return


async def play(world, has_trouble: bool) -> str:
    """Return what broke the rule, empty if nothing did."""
    world.add_service("stock", True)
    world.add_service("desk", False)
    world.add_route("r-stock", "/stock/", "idempotent", "stock")
    world.add_route("r-desk", "/desk/", "idempotent", "desk")
    world.write_configuration()
    await world.add_machine("almaty-a", "desk", "i-00000001", 18, False)
    await world.add_machine("almaty-b", "desk", "i-00000002", 18, False)
    other = await world.add_machine("astana-a", "stock", "i-00000003", 18, True)
    owner = await world.add_machine("aktobe-a", "stock", "i-00000004", 18, True)
    calls = Calls(world)
    await world.start([("/stock/1", 1), ("/stock/1", 60000), ("/desk/1", None)])
    world.tasks.append(asyncio.create_task(send_requests(world)))
    await asyncio.sleep(4)
    healed_s = []
    if has_trouble:
        healed_s = await cut_by_turns(world, calls, owner, other)
    else:
        await asyncio.sleep(12)
    await asyncio.sleep(6)

    def counts(since_s: float) -> bool:
        return not any(0 <= since_s - at_s <= THAW_SLACK_S for at_s in healed_s)

    for given_s, to, works, key, request_id in world.given_at_work:
        if counts(given_s):
            return (
                f"OWNER: {to} was given key {key}, on which {works} was at work "
                f"({request_id}) before its hold had run out"
            )
    for length_s, pair, since_s in world.list_overlaps():
        if length_s > OVERLAP_MAX_S and counts(since_s):
            return f"OWNER: {pair} held the same keys for {length_s:.2f} s"
    return ""


async def cut_by_turns(world, calls, owner, other) -> list[float]:
    """Cut the owner's daemon off the store, then the other one, then it again.

    Returns when each of the cuts healed.
    """
    healed_s = []

    def cut_off(machine) -> None:
        world.store.cut_off(machine.name)
        world.record("cut from the store", machine=machine.name)

    def heal(machine) -> None:
        world.store.heal(machine.name)
        world.record("healed", machine=machine.name)
        healed_s.append(world.now_s())

    async with asyncio.timeout(40):
        await calls.wait_for_phase(owner)
    cut_off(owner)
    await asyncio.sleep(2.5)
    # By now the other daemon has heard that the owner's registration lapsed.
    await calls.wait(other, WATCH, 5)
    cut_off(other)
    other_since_s = world.now_s()
    await asyncio.sleep(0.75)
    heal(owner)
    await calls.wait(owner, "/api/kv-txn", 5)
    await asyncio.sleep(0.1)
    cut_off(owner)
    owner_since_s = world.now_s()
    await asyncio.sleep(other_since_s + OTHER_CUT_S - world.now_s())
    heal(other)
    await asyncio.sleep(owner_since_s + CUT_S - world.now_s())
    heal(owner)
    return healed_s


if __name__ == "__main__":
    deployment.run_case(str(FOLDER), play)

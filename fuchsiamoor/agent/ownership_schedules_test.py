"""Random schedules of crashes, cuts and restarts: no key is ever held twice."""

import asyncio

import pytest

from fuchsiamoor.agent import table_writer, upstream_lifecycle
from fuchsiamoor.core import errors
from fuchsiamoor.ranges import demand as demands
from fuchsiamoor.ranges import granting
from fuchsiamoor.store import port
from fuchsiamoor.testing import range_world, transactional_store, virtual_time

STEPS = 14
SEEDS = range(12)


async def _start_all(world):
    for machine in world.machines:
        range_world.start_daemon(world, machine)
        range_world.start_upstream(world, machine)
    await asyncio.sleep(5)


def _choose_step(world, with_overload=False):
    """Return one disturbance, drawn by the world's seed."""
    rng, machine = world.rng, world.rng.choice(world.machines)
    if with_overload and rng.random() < 0.5:
        return lambda: _overload(world, machine)
    return rng.choice(
        [
            lambda: _restart_daemon(world, machine),
            lambda: _restart_upstream(world, machine),
            lambda: _power_off(world, machine),
            lambda: _cut(world, machine),
            lambda: _revoke(world, machine),
            lambda: _store_away(world),
            lambda: _lose_answers(world),
            lambda: _be_late(world),
            lambda: _drain(world, machine),
            lambda: transactional_store.forget_history(world.store),
        ]
    )


def _overload(world, machine):
    """Have an upstream asked for three times what it can do, on a few of its keys."""
    agent = machine.agent
    if agent is None or agent.upstream.demand is None:
        return
    rows = upstream_lifecycle.list_own_rows(agent)
    if not rows:
        return
    row = world.rng.choice(rows)
    count = 3 * agent.upstream.slots * demands.WINDOW_MS // 100
    for _ in range(count):
        key = min(row.first + world.rng.randrange(200), row.last)
        demands.note_request(agent.upstream.demand, key, 100.0, agent.now_ms())


def _restart_daemon(world, machine):
    range_world.kill_daemon(machine)
    range_world.start_daemon(world, machine)


def _restart_upstream(world, machine):
    upstream_id = ""
    if machine.upstream is not None and world.rng.random() < 0.5:
        upstream_id = machine.upstream.incarnation.upstream_id
    range_world.kill_upstream(machine)
    range_world.start_upstream(world, machine, upstream_id)


def _power_off(world, machine):
    range_world.kill_daemon(machine)
    range_world.kill_upstream(machine)
    asyncio.get_running_loop().call_later(
        world.rng.uniform(0.5, 9.0), _power_on, world, machine
    )


def _power_on(world, machine):
    if machine.agent is None:
        range_world.start_daemon(world, machine)
    if machine.upstream is None:
        range_world.start_upstream(world, machine)


def _cut(world, machine):
    if machine.client is not None:
        until_ms = transactional_store.now_ms() + world.rng.uniform(500, 14_000)
        machine.client.cut_until_ms = until_ms


def _revoke(world, machine):
    _cut(world, machine)
    key = f"fuchsiamoor/instances/{machine.instance}"
    transactional_store.revoke_now(world.store, key)


def _store_away(world):
    until_ms = transactional_store.now_ms() + world.rng.uniform(500, 7_000)
    world.store.down_until_ms = until_ms
    world.store.lapses = world.rng.random() < 0.5


def _lose_answers(world):
    world.store.lost_share = world.rng.choice((0.0, 0.4))
    world.store.late_share = world.rng.choice((0.0, 0.5))


def _be_late(world):
    world.late_share = world.rng.choice((0.0, 0.3))


def _drain(world, machine):
    if machine.upstream is not None:
        machine.upstream.is_draining = True


async def _play(seed, with_overload=False):
    world = range_world.make_world(seed)
    checking = asyncio.create_task(range_world.check_always(world))
    await _start_all(world)
    for _ in range(STEPS):
        _choose_step(world, with_overload)()
        await asyncio.sleep(world.rng.uniform(0.05, 4.0))
    checking.cancel()
    await range_world.close(world)
    return world


async def _calm_down(world):
    """End all troubles and give the world the time that recovery may take."""
    world.store.lost_share = world.late_share = 0.0
    await asyncio.sleep(12)
    for machine in world.machines:
        _power_on(world, machine)
        if machine.upstream.is_draining:
            _restart_upstream(world, machine)
    await asyncio.sleep(16)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_key_is_held_twice_and_fences_rise(seed):
    world = virtual_time.run(_play(seed))
    assert world.faults == []


@pytest.mark.parametrize("seed", SEEDS)
def test_keys_that_busy_owners_give_away_are_never_held_twice(seed):
    world = virtual_time.run(_play(seed, with_overload=True))
    assert world.faults == []


def test_a_busy_owner_gives_keys_away():
    async def play():
        world = range_world.make_world(seed=3)
        await _start_all(world)
        _overload(world, world.machines[0])
        await asyncio.sleep(2.5)
        counts = [
            machine.agent.metrics.registry.get_sample_value(
                "fuchsiamoor_events_total", {"event": "ranges.given_away"}
            )
            for machine in world.machines
        ]
        held = range_world.holds_all(world)
        await range_world.close(world)
        return counts[0], held

    assert virtual_time.run(play()) == (1.0, True)


@pytest.mark.parametrize("seed", range(6))
def test_every_key_is_held_again_after_the_troubles(seed):
    async def play():
        world = range_world.make_world(seed)
        await _start_all(world)
        assert range_world.holds_all(world)
        for _ in range(6):
            _choose_step(world)()
            await asyncio.sleep(world.rng.uniform(0.05, 4.0))
        await _calm_down(world)
        held = range_world.count_held(world)
        await range_world.close(world)
        return held

    assert virtual_time.run(play()) == 65_536


def _play_until_caught(seeds=range(40)):
    return any(virtual_time.run(_play(seed)).faults for seed in seeds)


def test_a_loss_that_is_not_waited_for_is_caught(monkeypatch):
    monkeypatch.setattr(table_writer, "LOST_AFTER_MS", 0)
    assert _play_until_caught()


class _NoLinks:
    """Links of a daemon that reaches no other."""

    def tell(self, member, message):
        pass

    async def call(self, member, message, timeout_ms):
        raise errors.PeerUnreachableError(member.member_id)

    async def close(self, grace_ms=0):
        pass


async def _cut_one_for_long(seed):
    """Cut one daemon off the store and all others for longer than its evidence."""
    world = range_world.make_world(seed)
    checking = asyncio.create_task(range_world.check_always(world))
    await _start_all(world)
    cut = world.rng.choice(world.machines)
    cut.client.cut_until_ms = transactional_store.now_ms() + 30_000
    cut.agent.links = _NoLinks()
    await asyncio.sleep(22)
    checking.cancel()
    held = range_world.count_held(world)
    await range_world.close(world)
    return world, held


@pytest.mark.parametrize("seed", range(6))
def test_the_keys_of_one_that_is_cut_off_for_long_go_to_others(seed):
    world, held = virtual_time.run(_cut_one_for_long(seed))
    assert world.faults == []
    assert held == 65_536


def test_evidence_that_counts_for_longer_than_the_wait_is_caught(monkeypatch):
    monkeypatch.setattr(granting, "EVIDENCE_MS", 30_000)
    worlds = [virtual_time.run(_cut_one_for_long(seed))[0] for seed in range(6)]
    assert all(world.faults for world in worlds)


async def _take_from_one_that_is_back(seed):
    """Have a blind daemon declare another lost that has registered again unseen."""
    world = range_world.make_world(seed, count=2)
    checking = asyncio.create_task(range_world.check_always(world))
    await _start_all(world)
    blind, back = world.machines
    blind.agent.store = blind.client = _BlindClient(world.store)
    await asyncio.sleep(11)
    transactional_store.revoke_now(
        world.store, f"fuchsiamoor/instances/{back.instance}"
    )
    await asyncio.sleep(16)
    checking.cancel()
    await range_world.close(world)
    return world


class _BlindClient(transactional_store.StoreClient):
    """A client whose watches tell nothing after the first deletion."""

    is_blind = False

    async def watch(self, prefix, after_version, wait_ms):
        if self.is_blind:
            await asyncio.sleep(wait_ms / 1000)
            return port.Changes(after_version, ())
        found = await super().watch(prefix, after_version, wait_ms)
        self.is_blind = any(change.entry is None for change in found.changes)
        return found


@pytest.mark.parametrize("seed", range(6))
def test_a_daemon_that_is_back_unseen_keeps_its_keys(seed):
    assert virtual_time.run(_take_from_one_that_is_back(seed)).faults == []


def test_a_write_that_expects_nothing_of_the_loser_is_caught(monkeypatch):
    monkeypatch.setattr(table_writer, "_expect_ended", lambda agent, owner: [])
    worlds = [virtual_time.run(_take_from_one_that_is_back(seed)) for seed in range(6)]
    assert any(world.faults for world in worlds)


def test_keys_that_are_handed_over_while_they_are_held_are_caught(monkeypatch):
    monkeypatch.setattr(granting, "_cut_by_holds", lambda row, held: [(row, False)])
    assert _play_until_caught()


def test_a_report_from_before_the_answer_that_takes_keys_is_no_release(monkeypatch):
    monkeypatch.setattr(
        granting,
        "_was_left_out",
        lambda made, row, heartbeat: row.owner == made.owner and row.moving_to != "",
    )
    monkeypatch.setattr(granting, "_cut_by_holds", lambda row, held: [(row, False)])
    assert _play_until_caught()


def test_a_table_planned_on_an_older_one_is_not_written():
    async def play():
        world = range_world.make_world(seed=1, count=2)
        await _start_all(world)
        agent = world.machines[0].agent
        service = range_world.SERVICE
        newest = agent.cache.tables[service]
        agent.cache.table_versions[service] -= 1
        planned = newest._replace(version=newest.version + 1)
        is_written = await table_writer.write_table(agent, newest, planned, [])
        await range_world.close(world)
        return is_written

    assert not virtual_time.run(play())


def test_a_plan_that_a_newer_table_overtook_is_not_written():
    async def play():
        world = range_world.make_world(seed=1, count=2)
        await _start_all(world)
        agent = world.machines[0].agent
        service = range_world.SERVICE
        older = agent.cache.tables[service]
        newer = older._replace(version=older.version + 1)
        assert await table_writer.write_table(agent, older, newer, [])
        planned = older._replace(version=older.version + 1, rows=older.rows[:1])
        is_written = await table_writer.write_table(agent, older, planned, [])
        stored = agent.cache.tables[service]
        await range_world.close(world)
        return is_written, stored == newer

    assert virtual_time.run(play()) == (False, True)

"""Fleets of daemons that share one quota, without a network."""

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiamoor.agent import quota_credits
from fuchsiamoor.testing import quota_fleet, virtual_time
from fuchsiamoor.traffic.organisations import Quota

QUOTA = Quota(60.0, 60.0)
WINDOW_MS = quota_fleet.BOUNDS.quota_window_ms
# A new fleet allocates after this time, and its buckets are full.
FULL_S = quota_credits.JOIN_MS / 1000 + 2


def _count_allowed(quota=QUOTA):
    bounds = quota_fleet.BOUNDS
    expected = quota.rate_per_s * WINDOW_MS / 1000 + quota.burst
    return expected * (1 + bounds.quota_ratio) + bounds.quota_spare


def _play(scenario, count=12, quota=QUOTA, seed=1):
    async def play():
        fleet = quota_fleet.QuotaFleet(count, quota, random.Random(seed))
        await asyncio.sleep(FULL_S)
        await scenario(fleet)
        return fleet

    return virtual_time.run(play())


def _allocators(fleet, instance="10.0.0.0"):
    return fleet.agents[instance].quotas.allotments["lab"].allocators


def test_an_organisation_within_its_limit_is_never_refused():
    """Requests at 80% of the rate, spread over all daemons."""

    async def scenario(fleet):
        await fleet.press(list(fleet.agents), 48, 20_000)

    assert _play(scenario).refused == 0


def test_an_organisation_that_sends_seven_times_as_much_is_held_to_its_quota():
    """Load pattern hot_tenant."""

    async def scenario(fleet):
        await fleet.press(list(fleet.agents), 420, 15_000)

    fleet = _play(scenario)
    assert fleet.count_worst(WINDOW_MS) <= _count_allowed()
    assert len(fleet.admitted) >= QUOTA.rate_per_s * 15


def test_a_small_organisation_within_its_limit_is_seldom_refused():
    """A request each 1.6 times that the limit allows, far apart on the daemons."""

    async def scenario(fleet):
        await fleet.press(list(fleet.agents), 1.25, 60_000)

    fleet = _play(scenario, quota=Quota(2.0, 2.0))
    assert fleet.refused <= 0.02 * len(fleet.admitted)


def test_credit_follows_demand_that_moves_to_one_region():
    """Load pattern shift: all requests come to the daemons of one region."""

    async def scenario(fleet):
        await fleet.press(list(fleet.agents), 48, 4_000)
        await fleet.press(["10.0.0.0", "10.0.0.3"], 48, 10_000)

    assert _play(scenario).refused <= 5


@pytest.mark.parametrize("is_cut", [False, True])
def test_without_one_allocator_the_others_parts_remain(is_cut):
    async def scenario(fleet):
        await fleet.press(list(fleet.agents), 60, 4_000)
        lost = _allocators(fleet)[0]
        fleet.cut_from_store(lost) if is_cut else fleet.lose(lost)
        await fleet.press(list(fleet.agents), 120, 20_000)

    fleet = _play(scenario)
    assert fleet.count_worst(WINDOW_MS) <= _count_allowed()
    times_ms = (int(FULL_S * 1000) + 5_000, int(FULL_S * 1000) + 12_000)
    assert fleet.count_in(*times_ms) >= 0.6 * QUOTA.rate_per_s * 7
    at_end_ms = max(fleet.admitted)
    assert fleet.count_in(at_end_ms - 4_000, at_end_ms) >= 0.9 * QUOTA.rate_per_s * 4


def test_a_daemon_that_reaches_no_allocator_keeps_its_own_share():
    async def scenario(fleet):
        for instance in list(fleet.agents)[1:]:
            fleet.gone.add(instance)
        await fleet.press(["10.0.0.0"], 60, 10_000)

    fleet = _play(scenario)
    share = fleet.agents["10.0.0.0"].quotas.allotments["lab"].own_share
    own = "10.0.0.0" in _allocators(fleet)
    assert share >= 1
    if not own:
        assert fleet.count_worst(WINDOW_MS) == share


def test_a_halved_limit_binds_within_a_window():
    half = Quota(30.0, 30.0)

    async def scenario(fleet):
        await fleet.press(list(fleet.agents), 120, 6_000)
        fleet.set_quota(half)
        await asyncio.sleep(WINDOW_MS / 1000)
        fleet.admitted.clear()
        await fleet.press(list(fleet.agents), 120, 10_000)

    assert _play(scenario).count_worst(WINDOW_MS) <= _count_allowed(half)


def test_what_is_not_run_costs_no_credit():
    """Twice the rate is asked, of which two fifths run."""

    async def scenario(fleet):
        await fleet.press(list(fleet.agents), 110, 15_000, run_share=0.4)

    fleet = _play(scenario)
    assert fleet.refused <= 0.1 * 110 * 15


def test_an_organisation_without_a_limit_needs_no_credit():
    async def scenario(fleet):
        free = fleet.organisation._replace(quota=None)
        agent = fleet.agents["10.0.0.0"]
        assert await quota_credits.acquire(agent, free) is None

    _play(scenario)


def _play_faults(seed, kinds, bounds):
    """Play loads, faults of these kinds and lost answers at random."""

    async def play():
        rng = random.Random(seed)
        fleet = quota_fleet.QuotaFleet(9, QUOTA, rng, 0.05, bounds)
        await asyncio.sleep(FULL_S)
        for _ in range(8):
            live = [name for name in fleet.agents if name not in fleet.gone | fleet.cut]
            chosen = rng.choice(live)
            match rng.choice(kinds):
                case "lose" if len(live) > 3:
                    fleet.lose(chosen)
                case "start":
                    name = rng.choice([f"10.0.1.{rng.randrange(4)}", *fleet.gone])
                    if name not in fleet.agents or name in fleet.gone:
                        fleet.start(name, rng.choice(quota_fleet.REGIONS))
                case "cut" if len(live) > 3:
                    fleet.cut_from_store(chosen)
            among = rng.sample(sorted(fleet.agents), rng.randint(1, len(fleet.agents)))
            await fleet.press(
                among,
                rng.choice((30, 90, 400)),
                rng.randint(500, 4_000),
                rng.choice((1.0, 0.6)),
            )
        return fleet.count_worst(WINDOW_MS)

    return virtual_time.run(play())


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 10**6))
def test_no_schedule_of_faults_exceeds_the_limit_in_any_window(seed):
    worst = _play_faults(seed, ("lose", "start", "cut", "none"), quota_fleet.BOUNDS)
    assert worst <= _count_allowed()


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 10**6))
def test_losses_and_restarts_need_no_tolerance(seed):
    bounds = quota_fleet.BOUNDS._replace(quota_ratio=0.0, quota_spare=0.0)
    worst = _play_faults(seed, ("lose", "start", "none"), bounds)
    assert worst <= QUOTA.rate_per_s * WINDOW_MS / 1000 + QUOTA.burst

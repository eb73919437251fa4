"""Daemons that share the quota of one organisation, with faults between them."""

import asyncio
import random

from fuchsiamoor.agent import lifecycle, quota_credits, state
from fuchsiamoor.core import agent_settings, errors, messages
from fuchsiamoor.quotas.spending import Credit
from fuchsiamoor.ranges import granting
from fuchsiamoor.testing import (
    organisations_data,
    registrations_data,
    traffic_data,
    virtual_time,
)
from fuchsiamoor.traffic import organisations

LEASE_MS = 2_000
REGIONS = ("north", "south", "west")
BOUNDS = agent_settings.Bounds(quota_window_ms=5_000, quota_ratio=0.1, quota_spare=20.0)


class QuotaFleet:
    """Daemons by instance; each has its own view of the others.

    Parameters
    ----------
    count : int
    quota : Quota
    rng : Random
    loss : float
        Share of answers that are lost.
    bounds : Bounds
    """

    def __init__(self, count, quota, rng=None, loss=0.0, bounds=BOUNDS):
        self.rng, self.loss, self.bounds = rng or random.Random(1), loss, bounds
        self.organisation = organisations_data.make_organisation(quota=quota)
        self.agents: dict[str, state.Agent] = {}
        self.gone: set[str] = set()
        self.cut: set[str] = set()
        self.admitted: list[int] = []
        self.refused = 0
        for index in range(count):
            self.start(f"10.0.0.{index}", REGIONS[index % len(REGIONS)])

    def start(self, instance: str, region: str) -> state.Agent:
        """Start a daemon that knows all others; they learn of it within the watch."""
        settings = traffic_data.make_settings(instance, region)
        settings = settings._replace(bounds=self.bounds)
        agent = lifecycle.make_agent(settings, traffic_data.make_dialect(), None)
        agent.now_ms = virtual_time.now_ms
        agent.links = _FleetLinks(self)
        agent.cache.catalog = organisations_data.make_catalog(self.organisation)
        agent.registration.valid_until_ms = 10**9
        self.agents[instance] = agent
        self.gone.discard(instance)
        for other, known in list(self.agents.items()):
            if other not in self.gone:
                self._tell_later(agent, other, known.settings.region)
                self._tell_later(known, instance, region)
        return agent

    def _tell_later(self, agent, instance, region) -> None:
        delay_s = self.rng.uniform(0, 0.9 * quota_credits.JOIN_MS) / 1000
        if not self.admitted:
            delay_s = 0
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._tell, agent, instance, region)

    def _tell(self, agent, instance, region) -> None:
        if agent.settings.instance in self.cut or instance in self.gone:
            return
        directory = agent.cache.directory
        directory.registered[instance] = registrations_data.make_registration(
            instance, region=region
        )
        directory.lapsed.pop(instance, None)
        directory.revision += 1
        quota_credits.refresh(agent)

    def lose(self, instance: str) -> None:
        """End a daemon; the others learn of it once its lease has ended."""
        self.gone.add(instance)
        self._lapse(instance)

    def cut_from_store(self, instance: str) -> None:
        """Let a daemon learn nothing more, and its lease end; its links stay."""
        self.cut.add(instance)
        registration = self.agents[instance].registration
        now_ms = virtual_time.now_ms()
        registration.valid_until_ms = now_ms + granting.REGISTRATION_VALID_MS
        self._lapse(instance)

    def _lapse(self, instance: str) -> None:
        loop = asyncio.get_running_loop()
        for agent in self.agents.values():
            delay_ms = LEASE_MS + self.rng.uniform(0, 1_000)
            loop.call_later(delay_ms / 1000, self._forget, agent, instance)

    def _forget(self, agent, instance) -> None:
        own = agent.settings.instance
        if own in self.cut or own in self.gone:
            return
        if instance not in self.gone | self.cut:
            return
        directory = agent.cache.directory
        found = directory.registered.pop(instance, None)
        if found is not None:
            directory.lapsed[instance] = (found, agent.now_ms())
            directory.revision += 1
            quota_credits.refresh(agent)

    def set_quota(self, quota: organisations.Quota) -> None:
        """Publish another limit, which every daemon has at once."""
        self.organisation = self.organisation._replace(quota=quota)
        for agent in self.agents.values():
            version = agent.cache.catalog.version + 1
            agent.cache.catalog = organisations_data.make_catalog(
                self.organisation
            )._replace(version=version)
            quota_credits.refresh(agent)

    async def ask(self, instance: str, run_share: float = 1.0) -> Credit | None:
        """Ask for a credit at a daemon; a share of the requests runs then."""
        agent = self.agents[instance]
        credit = await quota_credits.acquire(agent, self.organisation)
        if not isinstance(credit, Credit):
            self.refused += 1
            return None
        if self.rng.random() < run_share:
            self.admitted.append(virtual_time.now_ms())
        else:
            await asyncio.sleep(self.rng.uniform(0, 0.5))
            quota_credits.release(agent, self.organisation, credit)
        return credit

    async def press(self, instances, per_s: float, duration_ms: int, run_share=1.0):
        """Send requests at a rate to daemons drawn at random."""
        ends_ms, tasks = virtual_time.now_ms() + duration_ms, set()
        while virtual_time.now_ms() < ends_ms:
            live = [name for name in instances if name not in self.gone]
            if live:
                instance = self.rng.choice(live)
                tasks.add(asyncio.create_task(self.ask(instance, run_share)))
            await asyncio.sleep(self.rng.expovariate(per_s))
        await asyncio.gather(*tasks)

    def count_worst(self, window_ms: int) -> int:
        """Return the most requests that ran in any window."""
        times_ms, first, worst = sorted(self.admitted), 0, 0
        for last, time_ms in enumerate(times_ms):
            while times_ms[first] < time_ms - window_ms:
                first += 1
            worst = max(worst, last - first + 1)
        return worst

    def count_in(self, begin_ms: int, end_ms: int) -> int:
        """Return how many requests ran in a span of time."""
        return sum(begin_ms <= time_ms < end_ms for time_ms in self.admitted)


class _FleetLinks:
    """Links between the daemons of a fleet."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def call(self, member, message, timeout_ms):
        """Answer by the other daemon, unless it is gone or the answer is lost."""
        fleet = self.fleet
        await asyncio.sleep(fleet.rng.uniform(0.001, 0.012))
        is_lost = fleet.rng.random() < fleet.loss
        if member.instance in fleet.gone or (is_lost and fleet.rng.random() < 0.5):
            await asyncio.sleep(timeout_ms / 1000)
            raise errors.PeerTimeoutError(member.instance)
        answer = quota_credits.allocate(fleet.agents[member.instance], message)
        assert isinstance(answer, messages.QuotaGiven | messages.QuotaExhausted)
        await asyncio.sleep(fleet.rng.uniform(0.001, 0.012))
        if is_lost:
            await asyncio.sleep(timeout_ms / 1000)
            raise errors.PeerTimeoutError(member.instance)
        return answer

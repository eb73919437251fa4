"""Selects the target instance of a request and computes the request's deadlines."""

import asyncio
from collections.abc import Collection, Iterable

from fuchsiamoor.agent import local_execution, registrations, state, succession
from fuchsiamoor.agent.attempts import Attempts, Deadlines
from fuchsiamoor.core import errors, messages
from fuchsiamoor.core.carried import NO_KEY, CarriedAnswer
from fuchsiamoor.core.verdicts import NotRun
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.traffic import catalog, instance_selection, requests

# Time reserved for the answer's way to the caller.
ANSWER_MARGIN_MS = 15
# A request with less time left than this cannot be served.
REMAINING_MIN_MS = 15
# Attempts without a run after which a request to a service without keys is refused.
REFUSALS_MAX = 3
# Longest time for which a request waits for its key to get an owner. A key that is
# handed over gets its new owner at that upstream's next heartbeat.
OWNERLESS_WAIT_MS = 900
OWNERLESS_POLL_MS = 40
# Shares of the caller's time that may pass before the key has an owner.
OWNERLESS_WAIT_SHARE = 0.4
CALL_WAIT_SHARE = 0.8
# Several round trips within a region.
ASK_TIMEOUT_MS = 40


def compute_deadlines(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    arrived_ms: int,
) -> Deadlines:
    """Return the deadlines of a request.

    When a caller retries, it sends a shorter wait than at first. The difference is the
    time that it has already waited, and is subtracted from the time for an answer in
    time. A call by an
    upstream is in time up to its deadline, because the request that waits for it would
    fail otherwise.
    """
    answer_by_ms = arrived_ms + min(request.wait_ms, route.timeout_ms)
    if request.is_nested:
        in_time_by_ms = answer_by_ms
    else:
        first_ms = max(agent.longest_wait_ms.get(route.name, 0), request.wait_ms)
        agent.longest_wait_ms[route.name] = first_ms
        passed_ms = first_ms - request.wait_ms
        in_time_by_ms = arrived_ms + route.target_latency_ms - passed_ms
    return Deadlines(
        arrived_ms,
        answer_by_ms - ANSWER_MARGIN_MS,
        in_time_by_ms - ANSWER_MARGIN_MS,
    )


def can_end_in_time(
    agent: state.Agent, route: catalog.Route, deadlines: Deadlines
) -> bool:
    """Return whether there is time left to begin an attempt.

    A stopping daemon cuts off what has not ended by its end. An attempt that was begun
    keeps its whole deadline, as it may still end before.
    """
    now_ms = agent.now_ms()
    if agent.stopping_since_ms is not None:
        run_ms = agent.selection_stats.run_ms.get(route.name, 0)
        if now_ms + run_ms > state.find_end_ms(agent):
            return False
    return deadlines.answer_by_ms - now_ms >= REMAINING_MIN_MS


async def find_target(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    service: str,
    attempts: Attempts,
    deadlines: Deadlines,
) -> registrations.Registration | None:
    """Return the instance to send a request to, None if there is none now."""
    if state.is_keyed(agent, service):
        return _find_owner(agent, request, route, service)
    if attempts.refusals >= REFUSALS_MAX:
        return None
    candidates = _find_candidates(agent, service, route)
    now_ms = agent.now_ms()
    if candidates.own is not None:
        load = local_execution.read_load(agent)
        instance_selection.update_load(
            agent.selection_stats, candidates.own.name, load, now_ms
        )
    drawn = instance_selection.draw_locations(
        agent.selection_stats, candidates, attempts.tried, now_ms, agent.rng
    )
    best = _choose(agent, drawn, attempts.tried, route, deadlines, 2)
    if not best:
        return None
    own = agent.settings
    if (
        best[0].name != own.instance
        and best[0].region == own.region
        and await _refresh_loads(agent, best)
    ):
        best = _choose(agent, best, attempts.tried, route, deadlines)
    return registrations.find_registration(agent.cache.directory, best[0].name)


def _choose(
    agent: state.Agent,
    locations: Iterable[instance_selection.Location],
    tried: Collection[str],
    route: catalog.Route,
    deadlines: Deadlines,
    count: int = 1,
) -> list[instance_selection.Location]:
    return instance_selection.choose_instances(
        agent.selection_stats,
        state.make_own_location(agent),
        locations,
        tried,
        route.name,
        deadlines.in_time_by_ms - agent.now_ms(),
        agent.now_ms(),
        count,
    )


def _find_candidates(
    agent: state.Agent, service: str, route: catalog.Route
) -> instance_selection.Candidates:
    """Return the instances that may serve a route, derived anew after a change."""
    directory, evacuated = agent.cache.directory, frozenset(agent.cache.evacuated)
    key = (service, route.home_regions)
    known = agent.candidates.get(key)
    if known is not None and known[:2] == (directory.revision, evacuated):
        return known.candidates
    locations = [
        state.make_location(registration)
        for registration in registrations.list_service(directory, service)
        if registration.data_centre not in evacuated
        and catalog.allows_region(route.home_regions, registration.region)
    ]
    candidates = instance_selection.make_candidates(
        state.make_own_location(agent), locations
    )
    agent.candidates[key] = state.CandidateSet(
        directory.revision, evacuated, candidates
    )
    return candidates


async def _refresh_loads(
    agent: state.Agent, locations: Collection[instance_selection.Location]
) -> bool:
    """Ask instances of this region for their load if it is not known well enough.

    Returns
    -------
    bool
        Whether any was asked. One that does not answer is avoided for a moment.
    """
    stats, own = agent.selection_stats, agent.settings
    asked = [
        location
        for location in locations
        if location.region == own.region
        and location.name != own.instance
        and not instance_selection.has_fresh_report(
            stats, location.name, agent.now_ms()
        )
    ]
    await asyncio.gather(*(_refresh_load(agent, location) for location in asked))
    return bool(asked)


async def _refresh_load(
    agent: state.Agent, location: instance_selection.Location
) -> None:
    found = registrations.find_registration(agent.cache.directory, location.name)
    if found is None:
        return
    member = registrations.make_peer(found)
    try:
        report = await agent.links.call(member, messages.AskLoad(), ASK_TIMEOUT_MS)
    except errors.PeerError:
        agent.metrics.count("selection.unanswered")
        instance_selection.record_refusal(
            agent.selection_stats, location.name, agent.now_ms()
        )
        return
    agent.metrics.count("selection.asked")
    instance_selection.update_load(
        agent.selection_stats, location.name, report.load, agent.now_ms()
    )


def _find_owner(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    service: str,
) -> registrations.Registration | None:
    """Return the registered owner of the request's key, None if it may not be sent."""
    table = agent.cache.tables.get(service)
    if table is None or request.key == NO_KEY:
        return None
    row = tables.find_row(table, request.key)
    if row.owner == tables.NO_OWNER:
        return None
    found = registrations.find_registration(
        agent.cache.directory, tables.instance_of(row.owner)
    )
    if found is None or found.owner != row.owner:
        return None
    if found.data_centre in agent.cache.evacuated:
        return None
    if not catalog.allows_region(route.home_regions, found.region):
        return None
    view = instance_selection.find_instance_stats(agent.selection_stats, found.instance)
    return None if agent.now_ms() < view.avoid_until_ms else found


def compute_ownerless_ms(agent: state.Agent, service: str, key: int) -> int:
    """Return how long a key will certainly remain without an owner, in milliseconds.

    The keys of a lost owner are not reassigned until it certainly holds nothing. The
    result is 0 if the owner is registered or the key may get a new one at any time.
    """
    table = agent.cache.tables.get(service)
    if table is None or key == NO_KEY:
        return 0
    owner = tables.find_row(table, key).owner
    lost_ms = succession.find_lost_ms(agent.cache, owner)
    return 0 if lost_ms is None else max(0, lost_ms - agent.now_ms())


async def wait_for_owner(
    agent: state.Agent,
    request: requests.CallerRequest,
    service: str,
    attempts: Attempts,
    remaining_ms: int,
) -> bool:
    """Wait briefly for a key to get an owner; False if waiting cannot help."""
    if not state.is_keyed(agent, service) or request.key == NO_KEY:
        return False
    # If a call by an upstream fails, the work of its parent request is lost, so calls
    # may wait longer.
    share = CALL_WAIT_SHARE if request.is_nested else OWNERLESS_WAIT_SHARE
    max_wait_ms = min(OWNERLESS_WAIT_MS, int(request.wait_ms * share))
    left_ms = min(max_wait_ms - attempts.ownerless_ms, remaining_ms - REMAINING_MIN_MS)
    if left_ms <= 0:
        return False
    began_ms = agent.now_ms()
    if compute_ownerless_ms(agent, service, request.key) > left_ms:
        return False
    await state.wait_for_change(agent, min(left_ms, OWNERLESS_POLL_MS))
    attempts.ownerless_ms += max(agent.now_ms() - began_ms, 1)
    return True


async def wait_before_retry(
    agent: state.Agent,
    request: requests.CallerRequest,
    service: str,
    attempts: Attempts,
    outcome: CarriedAnswer,
) -> bool:
    """Wait before a key's owner is tried again; False if a retry cannot help.

    Returns at once for a service without keys, and for a request that may have run.
    """
    if not state.is_keyed(agent, service) or not isinstance(outcome.verdict, NotRun):
        return True
    remaining_ms = request.wait_ms - attempts.ownerless_ms
    return await wait_for_owner(agent, request, service, attempts, remaining_ms)

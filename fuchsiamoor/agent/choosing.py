"""Choosing: until when a request is worth anything, and who is to be sent it."""

from fuchsiamoor.agent import registrations, state, table_writer
from fuchsiamoor.agent.attempts import Attempts, Deadlines
from fuchsiamoor.core.carried import NO_KEY, CarriedAnswer
from fuchsiamoor.core.verdicts import NotRun
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.traffic import catalog, requests, spread

# Time kept for the answer's way to the caller.
ANSWER_MARGIN_MS = 15
# Shorter than this, a request cannot be served any more.
REMAINING_MIN_MS = 15
# Instances without a key that are tried before the request is refused.
TRIES_MAX = 3
# Longest time for which a request waits for its key to get an owner. A key that is
# handed over gets its next owner with that one's next heartbeat.
OWNERLESS_WAIT_MS = 900
OWNERLESS_LOOK_MS = 40
# Shares of a request's time that may pass before its key has an owner.
OWNERLESS_WAIT_SHARE = 0.4
CALL_WAIT_SHARE = 0.8


def find_deadlines(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    arrived_ms: int,
) -> Deadlines:
    """Return until when a request is worth anything.

    A caller that comes back waits for a shorter time than at first, by what has passed
    since, which no longer counts as in time. What an upstream asks for is in time up to
    its deadline, as the work that waits for it is lost otherwise.
    """
    answer_by_ms = arrived_ms + min(request.wait_ms, route.timeout_ms)
    if request.is_call:
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


def find_target(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    service: str,
    attempts: Attempts,
    deadlines: Deadlines,
) -> registrations.Registration | None:
    """Return the instance that is to be sent a request, None if there is none now."""
    directory = agent.cache.directory
    if state.is_keyed(agent, service):
        return _find_owner(agent, request, route, service)
    found = {
        registration.instance: registration
        for registration in registrations.list_service(directory, service)
        if registration.data_centre not in agent.cache.evacuated
        and catalog.allows_region(route.home_regions, registration.region)
    }
    if attempts.refusals >= TRIES_MAX:
        return None
    place = spread.choose(
        agent.selection_stats,
        state.make_own_location(agent),
        [state.make_location(registration) for registration in found.values()],
        attempts.tried,
        route.name,
        deadlines.in_time_by_ms - agent.now_ms(),
        agent.now_ms(),
    )
    return found[place.name] if place is not None else None


def _find_owner(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    service: str,
) -> registrations.Registration | None:
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
    view = spread.find_view(agent.selection_stats, found.instance)
    return None if agent.now_ms() < view.avoid_until_ms else found


def find_ownerless_ms(agent: state.Agent, service: str, key: int) -> int:
    """Return for how long a key is certain to have no owner, in milliseconds.

    Nobody may take the keys of a lost owner before it certainly holds nothing; 0 if the
    key has a living owner or may get one at any time.
    """
    table = agent.cache.tables.get(service)
    if table is None or key == NO_KEY:
        return 0
    absent_since_ms = agent.cache.absent_since_ms.get(tables.find_row(table, key).owner)
    if absent_since_ms is None:
        return 0
    return max(0, absent_since_ms + table_writer.LOST_AFTER_MS - agent.now_ms())


async def wait_for_owner(
    agent: state.Agent,
    request: requests.CallerRequest,
    service: str,
    attempts: Attempts,
    remaining_ms: int,
) -> bool:
    """Wait a little for a key to get an owner; False if that is no use."""
    if not state.is_keyed(agent, service) or request.key == NO_KEY:
        return False
    # A call that fails loses its parent's work: it waits for as long as it may.
    share = CALL_WAIT_SHARE if request.is_call else OWNERLESS_WAIT_SHARE
    most_ms = min(OWNERLESS_WAIT_MS, int(request.wait_ms * share))
    left_ms = min(most_ms - attempts.ownerless_ms, remaining_ms - REMAINING_MIN_MS)
    if left_ms <= 0:
        return False
    began_ms = agent.now_ms()
    if find_ownerless_ms(agent, service, request.key) > left_ms:
        return False
    await state.wait_for_change(agent, min(left_ms, OWNERLESS_LOOK_MS))
    attempts.ownerless_ms += max(agent.now_ms() - began_ms, 1)
    return True


async def pause(
    agent: state.Agent,
    request: requests.CallerRequest,
    service: str,
    attempts: Attempts,
    ended: CarriedAnswer,
) -> bool:
    """Wait before the owner of a key is asked again; False if that is no use."""
    if not state.is_keyed(agent, service) or not isinstance(ended.verdict, NotRun):
        return True
    remaining_ms = request.wait_ms - attempts.ownerless_ms
    return await wait_for_owner(agent, request, service, attempts, remaining_ms)

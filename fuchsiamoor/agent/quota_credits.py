"""Credits for requests of organisations: asked of allocators and given to askers."""

from typing import NamedTuple

from fuchsiamoor.agent import registrations, state
from fuchsiamoor.core import errors, messages
from fuchsiamoor.quotas import allocation as allocations
from fuchsiamoor.quotas import rings as daemon_rings
from fuchsiamoor.quotas import spending as spendings
from fuchsiamoor.quotas.local_state import Allotment
from fuchsiamoor.traffic.organisations import Organisation

# A new allocator begins after this time: all daemons in touch with the store know of it
# then, the one before it among them (a watch, and its pause).
JOIN_MS = 3_000
# Enough for several round trips between regions.
ASK_TIMEOUT_MS = 150
# An allocator that did not answer is not asked for this time: its daemon may be lost,
# and each question delays a request.
UNREACHED_MS = 1_000


class Denied(NamedTuple):
    """The request may not run now.

    Parameters
    ----------
    retry_after_ms : int
        Time until an allocator may have credit.
    """

    retry_after_ms: int


async def acquire(
    agent: state.Agent, organisation: Organisation
) -> spendings.Credit | Denied | None:
    """Return a credit for one request, None if the organisation needs none."""
    if organisation.quota is None:
        return None
    _refresh_rings(agent)
    allotment = _find_allotment(agent, organisation)
    spending = agent.quotas.spendings.setdefault(
        organisation.name, spendings.Spending()
    )
    tolerance, now_ms = _make_tolerance(agent), agent.now_ms()
    credit = spendings.take_kept(spending, tolerance, now_ms)
    if credit is None:
        share = allotment.own_share
        credit = spendings.take_own(spending, share, tolerance, now_ms)
    if credit is not None:
        return credit
    unreached_until_ms = agent.quotas.unreached_until_ms
    for allocator in spendings.list_open(spending, allotment.allocators, now_ms):
        if unreached_until_ms.get(allocator, 0) > agent.now_ms():
            continue
        answer = await _ask(agent, organisation, spending, allocator)
        if answer is not None:
            return answer
    now_ms = agent.now_ms()
    reopens_ms = spendings.find_reopening_ms(spending, allotment.allocators, now_ms)
    return Denied(reopens_ms)


def release(
    agent: state.Agent, organisation: Organisation, credit: spendings.Credit | None
) -> None:
    """Give back the credit of a request that has certainly not run."""
    if credit is not None:
        spendings.give_back(agent.quotas.spendings[organisation.name], credit)


async def _ask(
    agent: state.Agent,
    organisation: Organisation,
    spending: spendings.Spending,
    allocator: str,
) -> spendings.Credit | None:
    """Ask an allocator for a credit; None if it gave none."""
    asked_ms, name = agent.now_ms(), organisation.name
    found = registrations.find_registration(agent.cache.directory, allocator)
    if found is None:
        return None
    source = f"{found.instance}#{found.run}"
    returned = spendings.take_returns(spending, source)
    if allocator == agent.settings.instance:
        answer = allocate(agent, messages.AskQuota(name, returned))
    else:
        question = messages.AskQuota(name, returned)
        member = registrations.make_peer(found)
        try:
            answer = await agent.links.call(member, question, ASK_TIMEOUT_MS)
        except errors.PeerError:
            agent.metrics.count("quota.unanswered")
            until_ms = agent.now_ms() + UNREACHED_MS
            agent.quotas.unreached_until_ms[allocator] = until_ms
            return None
    match answer:
        case messages.QuotaGiven(stamp_ms):
            return spendings.Credit(source, stamp_ms, asked_ms)
        case messages.QuotaExhausted(retry_after_ms):
            spendings.close(spending, allocator, agent.now_ms() + retry_after_ms)
    return None


def allocate(
    agent: state.Agent, question: messages.AskQuota
) -> messages.QuotaGiven | messages.QuotaExhausted:
    """Answer another daemon's question for a credit."""
    now_ms, name = agent.now_ms(), question.organisation
    _refresh_rings(agent)
    known = agent.cache.catalog.organisations
    organisation = known.by_name.get(name) if known is not None else None
    if organisation is None or organisation.quota is None:
        return messages.QuotaExhausted(allocations.RETRY_MAX_MS)
    part = _find_allotment(agent, organisation).part
    begins_ms = agent.quotas.allocator_since_ms.get(name, now_ms) + JOIN_MS
    if now_ms < begins_ms or now_ms >= agent.registration.valid_until_ms:
        return messages.QuotaExhausted(allocations.RETRY_MAX_MS)
    allocation = agent.quotas.allocations.get(name)
    if allocation is None:
        allocation = allocations.make_allocation(part, begins_ms)
        agent.quotas.allocations[name] = allocation
    allocations.set_part(allocation, part, now_ms)
    allocations.give_back(allocation, question.returned, now_ms)
    taken = allocations.take(allocation, now_ms)
    agent.metrics.set_quota_credit(name, allocation.level)
    match taken:
        case allocations.Given(stamp_ms):
            return messages.QuotaGiven(stamp_ms)
        case allocations.Exhausted(retry_after_ms):
            return messages.QuotaExhausted(retry_after_ms)


def refresh(agent: state.Agent) -> None:
    """Note at once which daemons have joined and left, and what a catalog changes.

    Another daemon's turn as an allocator would be missed otherwise.
    """
    if agent.cache.catalog.organisations is not None:
        _refresh_rings(agent)


def _refresh_rings(agent: state.Agent) -> None:
    quotas, directory, now_ms = agent.quotas, agent.cache.directory, agent.now_ms()
    is_due = quotas.expires_ms is not None and now_ms > quotas.expires_ms
    sources = (directory.revision, agent.cache.catalog.version)
    if quotas.sources == sources and not is_due:
        return
    quotas.sources, quotas.expires_ms = sources, None
    regions = {}
    for instance, (registration, since_ms) in directory.lapsed.items():
        expires_ms = since_ms + registrations.KEEP_LAPSED_MS
        if now_ms <= expires_ms:
            regions[instance] = registration.region
            if quotas.expires_ms is None or expires_ms < quotas.expires_ms:
                quotas.expires_ms = expires_ms
    for instance, registration in directory.registered.items():
        regions[instance] = registration.region
    rings = daemon_rings.make_rings(regions)
    if rings != quotas.rings:
        quotas.rings, quotas.rings_since_ms = rings, now_ms
        quotas.allotments.clear()
    _note_allocators(agent)


def _note_allocators(agent: state.Agent) -> None:
    """Note since when this daemon is an allocator, and end where it is none."""
    quotas, own = agent.quotas, agent.settings.instance
    known = agent.cache.catalog.organisations
    limited = {
        organisation.name
        for organisation in (known.by_name.values() if known is not None else ())
        if organisation.quota is not None
        and own in _find_allotment(agent, organisation).allocators
    }
    for name in set(quotas.allocator_since_ms) - limited:
        del quotas.allocator_since_ms[name]
        quotas.allocations.pop(name, None)
    for name in limited:
        quotas.allocator_since_ms.setdefault(name, quotas.rings_since_ms)
    for name in set(quotas.spendings) - set(known.by_name if known else ()):
        del quotas.spendings[name]


def _find_allotment(agent: state.Agent, organisation: Organisation) -> Allotment:
    """Return the allocators of an organisation, derived anew after a change."""
    quotas, settings = agent.quotas, agent.settings
    found = quotas.allotments.get(organisation.name)
    if found is not None and found.quota == organisation.quota:
        return found
    quota, rings = organisation.quota, quotas.rings
    tolerance, regions = _make_tolerance(agent), max(1, len(rings.by_region))
    spare = spendings.compute_spare_burst(tolerance)
    part, parts = allocations.divide(quota, regions, spare)
    by_region = daemon_rings.find_allocators(rings, organisation.name, parts)
    regions = sorted(by_region, key=lambda region: (region != settings.region, region))
    position = daemon_rings.find_position(rings, organisation.name, settings.instance)
    daemons = max(1, len(rings.whole.points))
    share = spendings.count_own_share(quota, tolerance, position, daemons)
    allocators = tuple(by_region[region] for region in regions)
    found = Allotment(quota, part, allocators, share)
    quotas.allotments[organisation.name] = found
    return found


def _make_tolerance(agent: state.Agent) -> spendings.Tolerance:
    bounds = agent.settings.bounds
    return spendings.Tolerance(
        bounds.quota_window_ms, bounds.quota_ratio, bounds.quota_spare
    )

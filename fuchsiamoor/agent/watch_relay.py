"""Relay of store watches: one daemon of each region watches the store for the others.

A region has two watchers. The first one watches the store. The second one asks the
first watchers of other regions, so that its changes come by another connection to the
store. All other daemons, the followers, ask the two in round-robin order: one whose
source has stalled delays them by one call only. A daemon whose sources all fail watches
the store itself.
"""

import asyncio

import cbor2

from fuchsiamoor.agent import registrations, state
from fuchsiamoor.core import errors, messages
from fuchsiamoor.store import eras, port, relayed
from fuchsiamoor.store import feed as feeds

# One watch covers the keys of operators and of daemons.
ALL_PREFIX = ""
# Longest wait of one watch, after which a stalled connection is noticed.
WATCH_MS = 3_000
# Two, so that one is left after the loss of the other.
WATCHERS_PER_REGION = 2
# Longest wait of one call to a watcher, and so the delay by a stalled one.
PEER_WATCH_MS = 500
# The same for a call to another region, whose bytes cost more.
REGION_WATCH_MS = 1_000
# Time for the answer to return from a watcher.
ANSWER_MARGIN_MS = 200
# A watcher that failed is not asked for this time.
WATCHER_BACKOFF_MS = 2_000
# Time after the start in which a daemon asks known watchers again before it watches the
# store itself, and the pause between these questions.
STARTING_MS = 2_000
STARTING_BACKOFF_MS = 200
FOLLOW = "follow"
# Pause of a watcher between two watches, so that changes close together take one call.
BATCH_PAUSE_MS = 100
# The pause of a daemon that watches for itself only, as many do while all start.
DIRECT_BATCH_PAUSE_MS = 250
# A watcher that has heard nothing for this time answers no followers: a watch without
# changes ends sooner.
SOURCE_SILENT_MS = WATCH_MS + BATCH_PAUSE_MS + 400


def find_watchers(agent: state.Agent, region: str) -> list[registrations.Registration]:
    """Return the watchers of a region.

    They are the first instance by name and the first one of another data centre, or the
    second by name if there is no other. All daemons that see the same registrations
    find the same watchers.
    """
    registered = agent.cache.directory.registered
    found = sorted(
        (
            registration
            for registration in registered.values()
            if registration.region == region
        ),
        key=lambda registration: registration.instance,
    )
    if len(found) <= WATCHERS_PER_REGION:
        return found
    elsewhere = [
        registration
        for registration in found
        if registration.data_centre != found[0].data_centre
    ]
    return [found[0], *(elsewhere or found[1:])][:WATCHERS_PER_REGION]


def compute_pause_ms(agent: state.Agent) -> int:
    """Return the pause before the next watch, in milliseconds."""
    if agent.feed.is_open:
        return BATCH_PAUSE_MS
    return DIRECT_BATCH_PAUSE_MS if agent.watches_directly else 0


async def watch(agent: state.Agent, version: int) -> port.Changes:
    """Wait for changes after a version, from the store or from a watcher.

    Raises
    ------
    StoreError
        As `TransactionalStore.watch`.
    """
    watchers = find_watchers(agent, agent.settings.region)
    instances = [registration.instance for registration in watchers]
    own = agent.settings.instance
    if own in instances[1:]:
        feeds.start(agent.feed, version)
        elsewhere = _find_first_watchers_elsewhere(agent)
        changes = await _watch_by_turns(agent, elsewhere, version, REGION_WATCH_MS)
        if changes is None:
            changes = await agent.store.watch(ALL_PREFIX, version, WATCH_MS)
        feeds.append(agent.feed, changes)
        return changes
    if own in instances:
        return await _watch_store(agent, version)
    feeds.stop(agent.feed)
    changes = await _watch_by_turns(agent, watchers, version, PEER_WATCH_MS)
    if changes is None and watchers and _is_starting(agent):
        # While all daemons start, a watcher may not know yet that it is one.
        await asyncio.sleep(STARTING_BACKOFF_MS / 1000)
        return port.Changes(version, ())
    agent.watches_directly = changes is None
    if changes is None:
        changes = await agent.store.watch(ALL_PREFIX, version, WATCH_MS)
    return changes


def _find_first_watchers_elsewhere(
    agent: state.Agent,
) -> list[registrations.Registration]:
    """Return the first watcher of each other region."""
    regions = {
        registration.region
        for registration in agent.cache.directory.registered.values()
    }
    regions.discard(agent.settings.region)
    return [find_watchers(agent, region)[0] for region in sorted(regions)]


async def _watch_by_turns(
    agent: state.Agent,
    watchers: list[registrations.Registration],
    version: int,
    wait_ms: int,
) -> port.Changes | None:
    """Ask the next watcher that answers for changes; None if none does."""
    agent.next_watcher += 1
    for number in range(len(watchers)):
        watcher = watchers[(agent.next_watcher + number) % len(watchers)]
        if agent.now_ms() < agent.avoid_watchers_until_ms.get(watcher.run, 0):
            continue
        try:
            return await _watch_through(agent, watcher, version, wait_ms)
        except (errors.PeerError, errors.StoreError):
            agent.metrics.count("store.watcher_failed")
            backoff_ms = (
                STARTING_BACKOFF_MS if _is_starting(agent) else WATCHER_BACKOFF_MS
            )
            agent.avoid_watchers_until_ms[watcher.run] = agent.now_ms() + backoff_ms
    return None


def _is_starting(agent: state.Agent) -> bool:
    return agent.now_ms() < agent.started_ms + STARTING_MS


async def _watch_store(agent: state.Agent, version: int) -> port.Changes:
    feeds.start(agent.feed, version)
    changes = await agent.store.watch(ALL_PREFIX, version, WATCH_MS)
    feeds.append(agent.feed, changes)
    return changes


async def _watch_through(
    agent: state.Agent,
    watcher: registrations.Registration,
    version: int,
    wait_ms: int,
) -> port.Changes:
    call = messages.StoreCall(FOLLOW, cbor2.dumps([version, wait_ms]))
    member = registrations.make_peer(watcher)
    answer = await agent.links.call(member, call, wait_ms + ANSWER_MARGIN_MS)
    changes = relayed.read_answer("watch", answer)
    agent.store.learn_era(relayed.read_era(answer))
    return changes


async def handle_follow_call(
    agent: state.Agent, call: messages.StoreCall
) -> messages.StoreAnswer:
    """Answer a follower's call with the changes after its version.

    Raises
    ------
    ValueError
        If the call is malformed.
    """
    version, wait_ms = cbor2.loads(call.arguments)
    if agent.now_ms() - agent.source_heard_ms > SOURCE_SILENT_MS:
        return messages.StoreAnswer("refused", cbor2.dumps("nothing heard lately"))
    try:
        changes = await feeds.read(agent.feed, version, min(wait_ms, WATCH_MS))
    except errors.StoreUnavailableError as error:
        return messages.StoreAnswer("refused", cbor2.dumps(str(error)))
    return relayed.write_answer(eras.era_of(changes.version), changes)

"""Relay of store watches: a few daemons of each region watch the store for the others.

A daemon that is no watcher, a follower, asks its region's watchers in round-robin
order, so that a watcher whose connection to the store has stalled delays it by one call
only. If no watcher answers, the follower watches the store itself.
"""

import cbor2

from fuchsiamoor.agent import registrations, state
from fuchsiamoor.core import errors, messages
from fuchsiamoor.store import feed as feeds
from fuchsiamoor.store import port, relayed

# One watch covers the keys of operators and of daemons.
ALL_PREFIX = ""
# Longest wait of one watch, after which a stalled connection is noticed.
WATCH_MS = 3_000
# Two, so that one is left after the loss of the other.
WATCHERS_PER_REGION = 2
# Longest wait of one call to a watcher, and so the delay by a stalled one.
PEER_WATCH_MS = 500
# Time for the answer to return from a watcher.
ANSWER_MARGIN_MS = 200
# A watcher that failed is not asked for this time.
WATCHER_BACKOFF_MS = 2_000
FOLLOW = "follow"
# Pause of a watcher between two watches, so that changes close together take one call.
BATCH_PAUSE_MS = 60
# The same for a daemon that watches for itself only, as many do while all start.
DIRECT_BATCH_PAUSE_MS = 250


def find_watchers(agent: state.Agent) -> list[registrations.Registration]:
    """Return the watchers of this region.

    They are the first instance by name and the first one of another data centre, or the
    second by name if there is no other. All daemons that see the same registrations
    find the same watchers.
    """
    registered = agent.cache.directory.registered
    found = sorted(
        (
            registration
            for registration in registered.values()
            if registration.region == agent.settings.region
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
    watchers = find_watchers(agent)
    if any(
        registration.instance == agent.settings.instance for registration in watchers
    ):
        return await _watch_store(agent, version)
    feeds.stop(agent.feed)
    agent.next_watcher += 1
    for number in range(len(watchers)):
        watcher = watchers[(agent.next_watcher + number) % len(watchers)]
        if agent.now_ms() < agent.avoid_watchers_until_ms.get(watcher.run, 0):
            continue
        try:
            changes = await _watch_through(agent, watcher, version)
        except (errors.PeerError, errors.StoreError):
            agent.metrics.count("store.watcher_failed")
            agent.avoid_watchers_until_ms[watcher.run] = (
                agent.now_ms() + WATCHER_BACKOFF_MS
            )
            continue
        agent.watches_directly = False
        return changes
    agent.watches_directly = True
    return await agent.store.watch(ALL_PREFIX, version, WATCH_MS)


async def _watch_store(agent: state.Agent, version: int) -> port.Changes:
    feeds.start(agent.feed, version)
    changes = await agent.store.watch(ALL_PREFIX, version, WATCH_MS)
    feeds.append(agent.feed, changes)
    return changes


async def _watch_through(
    agent: state.Agent, watcher: registrations.Registration, version: int
) -> port.Changes:
    call = messages.StoreCall(FOLLOW, cbor2.dumps([version, PEER_WATCH_MS]))
    member = registrations.make_peer(watcher)
    answer = await agent.links.call(member, call, PEER_WATCH_MS + ANSWER_MARGIN_MS)
    return relayed.read_answer("watch", answer)


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
    try:
        changes = await feeds.read(agent.feed, version, min(wait_ms, WATCH_MS))
    except errors.StoreUnavailableError as error:
        return messages.StoreAnswer("refused", cbor2.dumps(str(error)))
    return messages.StoreAnswer("done", cbor2.dumps(changes))

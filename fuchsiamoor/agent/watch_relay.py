"""Following the store: a few daemons of each region watch it, the others ask these.

Each follower asks its region's watchers by turns, so that one whose connection to the
store fell silent delays it by one turn only. Without a watcher that answers, it watches
the store itself.
"""

import cbor2

from fuchsiamoor.agent import registrations, state
from fuchsiamoor.core import errors, messages
from fuchsiamoor.store import feed as feeds
from fuchsiamoor.store import port, relayed

# One watch covers what operators and daemons write.
ALL_PREFIX = ""
# Longest wait of one watch: a connection that fell silent is noticed after it.
WATCH_MS = 3_000
# Daemons of a region that watch the store: the loss of one leaves another.
WATCHERS_PER_REGION = 2
# Longest wait at a watcher, which is also the delay that a silent one causes.
PEER_WATCH_MS = 500
# Time for the answer's way back.
ANSWER_MARGIN_MS = 200
# A watcher that failed is left alone for this time.
AVOID_MS = 2_000
FOLLOW = "follow"
# Pause of a watcher between two watches: changes close together cost one call.
GATHER_MS = 60
# The same where a call serves one daemon only, as while all start.
GATHER_ALONE_MS = 250


def find_watchers(agent: state.Agent) -> list[registrations.Registration]:
    """Return the daemons of this region that watch the store for the others.

    All daemons choose the same ones, if they know the same registrations: the first in
    order, and the first of another data centre.
    """
    listed = agent.cache.directory.registered
    found = sorted(
        (one for one in listed.values() if one.region == agent.settings.region),
        key=lambda one: one.instance,
    )
    if len(found) <= WATCHERS_PER_REGION:
        return found
    elsewhere = [one for one in found if one.data_centre != found[0].data_centre]
    return [found[0], *(elsewhere or found[1:])][:WATCHERS_PER_REGION]


def compute_pause_ms(agent: state.Agent) -> int:
    """Return how long to wait before the next watch, in milliseconds."""
    if agent.feed.is_open:
        return GATHER_MS
    return GATHER_ALONE_MS if agent.watches_directly else 0


async def watch(agent: state.Agent, version: int) -> port.Changes:
    """Wait for changes after a version, at the store or at a watcher.

    Raises
    ------
    StoreError
        As `TransactionalStore.watch`.
    """
    watchers = find_watchers(agent)
    if any(one.instance == agent.settings.instance for one in watchers):
        return await _watch_store(agent, version)
    feeds.stop(agent.feed)
    agent.next_watcher += 1
    for number in range(len(watchers)):
        watcher = watchers[(agent.next_watcher + number) % len(watchers)]
        if agent.now_ms() < agent.avoid_watchers_until_ms.get(watcher.run, 0):
            continue
        try:
            changes = await _ask(agent, watcher, version)
        except (errors.PeerError, errors.StoreError):
            agent.metrics.count("store.watcher_failed")
            agent.avoid_watchers_until_ms[watcher.run] = agent.now_ms() + AVOID_MS
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


async def _ask(
    agent: state.Agent, watcher: registrations.Registration, version: int
) -> port.Changes:
    call = messages.StoreCall(FOLLOW, cbor2.dumps([version, PEER_WATCH_MS]))
    member = registrations.make_peer(watcher)
    answer = await agent.links.call(member, call, PEER_WATCH_MS + ANSWER_MARGIN_MS)
    return relayed.read_answer("watch", answer)


async def handle_follow_call(
    agent: state.Agent, call: messages.StoreCall
) -> messages.StoreAnswer:
    """Tell a follower what has changed since the version that it knows.

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

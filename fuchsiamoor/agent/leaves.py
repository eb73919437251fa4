"""Leaves: upstreams' announcements to exit soon, which outlive the daemons they reach.

A leave is acknowledged once the store holds it, under a key without a lease. It is
written whether or not the registration changes, as an upstream that leaves beside a
stopping daemon or in an evacuated data centre is closed already.

While the store is away, a few other daemons keep the leave, and write it once the store
is back. A leave that neither the store nor other daemons keep is not acknowledged.

A daemon that starts lists the store before it sends its upstream anything, and sends
nothing to one that has left.
"""

import asyncio

from loguru import logger

from fuchsiamoor.agent import registrations, state, succession
from fuchsiamoor.core import errors, messages
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.store import port

# The upstream waits a second for its acknowledgement: for the store, then for keepers.
RECORD_WAIT_MS = 250
KEEPER_TIMEOUT_MS = 300
# Daemons that are asked to keep a leave, in different data centres where there are
# several, and how many of them must have it.
KEEPERS_ASKED = 4
KEEPERS_MIN = 2
# A write that takes longer is given up and made again.
WRITE_TIMEOUT_MS = 1_000
RETRY_MS = 200


def announce(agent: state.Agent, owner: str) -> None:
    """Let a leave be written to the store, unless it holds it already."""
    instance = tables.instance_of(owner)
    pending = agent.leaves.unrecorded.get(instance, owner)
    if is_recorded(agent, owner) or succession.is_later(pending, owner):
        return
    agent.leaves.unrecorded[instance] = owner
    agent.leaves.write_due.set()


def is_recorded(agent: state.Agent, owner: str) -> bool:
    """Return whether the store holds a leave, or one of a later incarnation."""
    recorded = agent.cache.directory.left_owners.get(tables.instance_of(owner))
    if recorded is None:
        return False
    return recorded == owner or succession.is_later(recorded, owner)


def has_left(agent: state.Agent, owner: str) -> bool:
    """Return whether an owner has announced to leave, as far as is known here."""
    instance = tables.instance_of(owner)
    return owner in (
        agent.cache.directory.left_owners.get(instance),
        agent.leaves.unrecorded.get(instance),
    )


async def wait_until_kept(agent: state.Agent, owner: str) -> bool:
    """Wait until a leave outlives this daemon; return False if it takes too long."""
    announce(agent, owner)
    if agent.leaves.kept_owner == owner or await _wait_until_recorded(agent, owner):
        return True
    if await _entrust(agent, owner):
        agent.leaves.kept_owner = owner
        return True
    return is_recorded(agent, owner)


async def _wait_until_recorded(agent: state.Agent, owner: str) -> bool:
    ends_by_ms = agent.now_ms() + RECORD_WAIT_MS
    while not is_recorded(agent, owner):
        left_ms = ends_by_ms - agent.now_ms()
        if left_ms <= 0:
            return False
        await state.wait_for_change(agent, left_ms)
    return True


async def _entrust(agent: state.Agent, owner: str) -> bool:
    """Let other daemons keep a leave; return whether enough of them do."""
    keepers = _choose_keepers(agent)
    answers = await asyncio.gather(
        *(_ask_to_keep(agent, keeper, owner) for keeper in keepers)
    )
    kept_by = [
        keeper.instance
        for keeper, is_kept in zip(keepers, answers, strict=True)
        if is_kept
    ]
    logger.bind(owner=owner, keepers=kept_by).info("leave entrusted")
    return len(kept_by) >= min(KEEPERS_MIN, max(len(keepers), 1))


def _choose_keepers(agent: state.Agent) -> list[registrations.Registration]:
    """Return other daemons, of as many data centres as possible, the own one last."""
    others = registrations.list_others(agent.cache.directory, agent.settings.instance)
    agent.rng.shuffle(others)
    ranks: dict[str, int] = {agent.settings.data_centre: KEEPERS_ASKED}
    ranked = []
    for registration in others:
        rank = ranks.get(registration.data_centre, 0)
        ranks[registration.data_centre] = rank + 1
        ranked.append((rank, len(ranked), registration))
    return [registration for _, _, registration in sorted(ranked)[:KEEPERS_ASKED]]


async def _ask_to_keep(
    agent: state.Agent, keeper: registrations.Registration, owner: str
) -> bool:
    member = registrations.make_peer(keeper)
    try:
        answer = await agent.links.call(
            member, messages.KeepLeave(owner), KEEPER_TIMEOUT_MS
        )
    except errors.PeerError as error:
        logger.bind(keeper=keeper.instance, error=str(error)).debug("not entrusted")
        return False
    return isinstance(answer, messages.LeaveKept)


def keep(agent: state.Agent, owner: str) -> messages.Message:
    """Keep a leave for another daemon until the store holds it.

    Raises
    ------
    ValueError
        If the owner is malformed.
    """
    tables.incarnation_of(owner)
    if agent.stopping_since_ms is not None:
        return messages.Done()
    announce(agent, owner)
    return messages.LeaveKept()


async def maintain_leaves(agent: state.Agent) -> None:
    """Write unrecorded leaves to the store until the stop."""
    while not agent.stopped.is_set():
        await agent.leaves.write_due.wait()
        agent.leaves.write_due.clear()
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_MS / 1000):
                await _write_unrecorded(agent)
        except (errors.StoreError, TimeoutError) as error:
            agent.metrics.count("leaves.write_failed")
            logger.bind(error=repr(error)).warning("leave is not recorded yet")
            agent.leaves.write_due.set()
            await asyncio.sleep(RETRY_MS / 1000)


async def _write_unrecorded(agent: state.Agent) -> None:
    for instance, owner in tuple(agent.leaves.unrecorded.items()):
        while not is_recorded(agent, owner):
            await _write(agent, instance, owner)
        # Another leave may have been announced during the write.
        if agent.leaves.unrecorded.get(instance) == owner:
            del agent.leaves.unrecorded[instance]
        state.notify_change(agent)


async def _write(agent: state.Agent, instance: str, owner: str) -> None:
    """Write a leave; if another write came first, read that one instead."""
    directory, key = agent.cache.directory, registrations.leave_key(instance)
    known_version = directory.leave_versions.get(instance, port.ABSENT)
    value = registrations.encode_leave(registrations.Leave(owner))
    result = await agent.store.transact(
        (port.Precondition(key, known_version),), (port.Put(key, value),)
    )
    match result:
        case port.Committed(version):
            registrations.apply_entry(directory, port.Entry(key, value, version))
            logger.bind(owner=owner, version=version).info("leave recorded")
        case port.PreconditionFailed():
            await _read(agent, key)


async def _read(agent: state.Agent, key: str) -> None:
    """Read the leave under a key; one that cannot be decoded will be overwritten."""
    directory = agent.cache.directory
    found = await agent.store.get(key)
    if found is None:
        registrations.apply_deletion(directory, key, agent.now_ms())
        return
    try:
        registrations.apply_entry(directory, found)
    except (ValueError, errors.FrameError) as error:
        logger.bind(key=key, error=str(error)).error("store entry cannot be decoded")

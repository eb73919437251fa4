"""An in-memory transactional store on the event loop's clock, with fault injection.

Faults are outages, lost answers, compacted history, and a return from a copy of chosen
age. Each daemon has its own client, so that the store can be unreachable for one daemon
only.
"""

import asyncio
import random
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.core import errors
from fuchsiamoor.store import eras, port

CALL_MS = 4


@dataclass(slots=True)
class Lease:
    """A lease; ``end_ms`` is in the event loop's time."""

    ttl_ms: int
    end_ms: float


@dataclass(slots=True)
class Item:
    """The value of a key, its version and lease."""

    value: bytes
    version: int
    lease_id: str


class Copy(NamedTuple):
    """What a restore brings back: items without a lease, and the counters.

    Parameters
    ----------
    items : dict of str to Item
    version : int
    last_lease : int
    """

    items: dict[str, Item]
    version: int
    last_lease: int


@dataclass(slots=True)
class StoreState:
    """The contents of the store and its injected faults.

    Parameters
    ----------
    down_until_ms : float
        Time until which every call fails.
    expires_while_down : bool
        Whether leases expire during an outage.
    lost_share : float
        Share of the writes whose answer is lost.
    late_share : float
        Share of the writes with lost answers that take effect seconds later.
    history_from : int
        Version up to which the history of changes is compacted.
    version : int
        Revision of the last change, without the era; so are those of items.
    last_lease : int
        Number of the last lease that was granted.
    era : int
        Rises by one with each restore; 0 for a store that names none.
    """

    rng: random.Random
    items: dict[str, Item] = field(default_factory=dict)
    leases: dict[str, Lease] = field(default_factory=dict)
    version: int = 1
    changes: list[tuple[int, port.Change]] = field(default_factory=list)
    history_from: int = 0
    down_until_ms: float = 0.0
    expires_while_down: bool = False
    lost_share: float = 0.0
    late_share: float = 0.0
    last_lease: int = 0
    era: int = 0
    calls: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)


def make_store_state(rng: random.Random) -> StoreState:
    """Return an empty store without faults."""
    return StoreState(rng)


def now_ms() -> float:
    """Return the event loop's time, in milliseconds."""
    return asyncio.get_running_loop().time() * 1000


def put_now(state: StoreState, key: str, value: bytes) -> None:
    """Write a key without delay or faults, as an operator would."""
    _put(state, port.Put(key, value))
    state.changed.set()


def delete_now(state: StoreState, key: str) -> None:
    """Delete a key without delay or faults, as an operator would."""
    _delete(state, key)
    state.changed.set()


def revoke_now(state: StoreState, key: str) -> None:
    """End the lease of a key at once, whatever its time to live."""
    item = state.items.get(key)
    if item is not None and item.lease_id:
        _end_lease(state, item.lease_id)


def compact_history(state: StoreState) -> None:
    """Drop the history of changes, so that clients have to list before a watch."""
    state.history_from = state.version
    state.changes.clear()
    state.changed.set()


def take_copy(state: StoreState) -> Copy:
    """Return a copy of what a restore keeps."""
    items = {key: item for key, item in state.items.items() if not item.lease_id}
    return Copy(items, state.version, state.last_lease)


def restore(state: StoreState, copy: Copy) -> None:
    """Go back to a copy: later writes and all leases are lost, a new era begins."""
    state.items = dict(copy.items)
    state.leases.clear()
    state.version, state.last_lease = copy.version, copy.last_lease
    state.changes = [one for one in state.changes if one[0] <= copy.version]
    state.era += 1
    state.changed.set()


def _put(state: StoreState, put: port.Put) -> None:
    state.version += 1
    state.items[put.key] = Item(put.value, state.version, put.lease_id)
    entry = port.Entry(put.key, put.value, state.version)
    state.changes.append((state.version, port.Change(put.key, entry)))


def _delete(state: StoreState, key: str) -> None:
    if state.items.pop(key, None) is not None:
        state.version += 1
        state.changes.append((state.version, port.Change(key, None)))


def _end_lease(state: StoreState, lease_id: str) -> None:
    state.leases.pop(lease_id, None)
    for key in [k for k, item in state.items.items() if item.lease_id == lease_id]:
        _delete(state, key)
    state.changed.set()


def expire_leases(state: StoreState) -> None:
    """End expired leases; outages extend them unless ``expires_while_down``."""
    is_store_down = now_ms() < state.down_until_ms
    if is_store_down and not state.expires_while_down:
        for lease in state.leases.values():
            lease.end_ms = max(lease.end_ms, state.down_until_ms)
        return
    for lease_id in [k for k, v in state.leases.items() if v.end_ms <= now_ms()]:
        _end_lease(state, lease_id)


def _read_number(lease_id: str) -> str:
    return str(eras.split_lease_id(lease_id)[1]) if lease_id else ""


@dataclass(slots=True)
class StoreClient:
    """One daemon's client of the store; see `port.TransactionalStore`.

    Parameters
    ----------
    cut_until_ms : float
        Time until which the calls of this client fail.
    silent_until_ms : float
        Time until which its watches report nothing; all changes until then come
        together afterwards.
    era : int
        Latest era that this client has seen.
    """

    state: StoreState
    cut_until_ms: float = 0.0
    silent_until_ms: float = 0.0
    era: int = 0
    is_closed: bool = False

    async def get(self, key: str) -> port.Entry | None:
        """Read one key."""
        await self._begin()
        item = self.state.items.get(key)
        return None if item is None else self._make_entry(key, item)

    async def list_prefix(self, prefix: str) -> port.Listing:
        """Read all keys under a prefix."""
        await self._begin()
        entries = tuple(
            self._make_entry(key, item)
            for key, item in sorted(self.state.items.items())
            if key.startswith(prefix)
        )
        version = eras.make_version(self.state.era, self.state.version)
        return port.Listing(version, entries)

    async def watch(
        self, prefix: str, after_version: int, wait_ms: int
    ) -> port.Changes:
        """Wait for changes under a prefix."""
        await self._begin()
        until_ms = now_ms() + wait_ms
        while True:
            self._raise_if_unreachable()
            self.era = max(self.era, self.state.era)
            after, era = eras.revision_of(after_version), self.state.era
            if eras.era_of(after_version) != era or after < self.state.history_from:
                raise errors.StoreHistoryLostError("history compacted")
            found = tuple(
                port.Change(change.key, self._raise_version(change.entry))
                for version, change in self.state.changes
                if version > after and change.key.startswith(prefix)
            )
            if now_ms() < self.silent_until_ms:
                await asyncio.sleep(0.02)
                continue
            # The version must not cover a change that came after the last look.
            if found or now_ms() >= until_ms:
                version = eras.make_version(era, self.state.version)
                return port.Changes(version, found)
            await asyncio.sleep(0.02)

    async def transact(
        self,
        expected: tuple[port.Precondition, ...],
        puts: tuple[port.Put, ...],
        deletes: tuple[str, ...] = (),
    ) -> port.TransactResult:
        """Set and delete keys atomically if every precondition holds."""
        lease_ids = tuple(put.lease_id for put in puts)
        versions = tuple(version for _, version in expected)
        if eras.is_of_earlier_era(self.era, versions, lease_ids):
            return port.PreconditionFailed()
        sent_era = self.era
        await self._begin()
        state = self.state
        if state.rng.random() < state.lost_share:
            if state.rng.random() < state.late_share:
                delay_s = state.rng.uniform(1.0, 6.0)
                asyncio.get_running_loop().call_later(
                    delay_s, self._apply, expected, puts, deletes
                )
            else:
                self._apply(expected, puts, deletes)
            raise errors.StoreOutcomeUnknownError("the answer was lost")
        result = self._apply(expected, puts, deletes)
        if state.era != sent_era and isinstance(result, port.Committed):
            raise errors.StoreOutcomeUnknownError("answered in another era")
        return result

    def _make_entry(self, key: str, item: Item) -> port.Entry:
        version = eras.make_version(self.state.era, item.version)
        return port.Entry(key, item.value, version)

    def _raise_version(self, entry: port.Entry | None) -> port.Entry | None:
        if entry is None:
            return None
        return entry._replace(version=eras.make_version(self.state.era, entry.version))

    def _apply(self, expected, puts, deletes) -> port.TransactResult:
        state = self.state
        expire_leases(state)
        # The store itself knows revisions and lease numbers only.
        for key, version in expected:
            item = state.items.get(key)
            if (item.version if item else port.ABSENT) != eras.revision_of(version):
                return port.PreconditionFailed()
        puts = [put._replace(lease_id=_read_number(put.lease_id)) for put in puts]
        if any(put.lease_id and put.lease_id not in state.leases for put in puts):
            return port.PreconditionFailed()
        for put in puts:
            _put(state, put)
        for key in deletes:
            _delete(state, key)
        state.changed.set()
        return port.Committed(eras.make_version(state.era, state.version))

    async def grant_lease(self, ttl_ms: int) -> str:
        """Return the id of a new lease."""
        await self._begin()
        self.state.last_lease += 1
        number = self.state.last_lease
        self.state.leases[str(number)] = Lease(ttl_ms, now_ms() + ttl_ms)
        return eras.make_lease_id(self.state.era, number)

    async def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease by its time to live; return False if it has ended."""
        if eras.is_of_earlier_era(self.era, (), (lease_id,)):
            return False
        sent_era = self.era
        await self._begin()
        lease = self.state.leases.get(_read_number(lease_id))
        if lease is None:
            return False
        lease.end_ms = now_ms() + lease.ttl_ms
        if self.state.era != sent_era:
            raise errors.StoreOutcomeUnknownError("answered in another era")
        return True

    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
        if eras.is_of_earlier_era(self.era, (), (lease_id,)):
            return
        await self._begin()
        _end_lease(self.state, _read_number(lease_id))

    async def _begin(self) -> None:
        self.state.calls += 1
        await asyncio.sleep(CALL_MS / 1000)
        self._raise_if_unreachable()
        self.era = max(self.era, self.state.era)
        expire_leases(self.state)

    def _raise_if_unreachable(self) -> None:
        unreachable_until_ms = max(self.state.down_until_ms, self.cut_until_ms)
        if self.is_closed or now_ms() < unreachable_until_ms:
            raise errors.StoreUnavailableError("store unreachable")

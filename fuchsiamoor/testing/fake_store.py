"""An in-memory store over a virtual clock, with fault injection.

Tests inject faults by setting fields of the store: outages, latency, and writes that
take effect although their answer is lost.
"""

import asyncio
import itertools
from dataclasses import dataclass, field

from fuchsiamoor.core.errors import (
    StoreHistoryLostError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fuchsiamoor.store import port

_EVENT_LOOP_PASSES = 20


@dataclass(slots=True)
class VirtualClock:
    """A clock that moves only by `advance`, and the tasks that sleep on it."""

    now_ms: int = 0
    sleepers: list[tuple[int, asyncio.Future]] = field(default_factory=list)


async def sleep(clock: VirtualClock, duration_ms: int) -> None:
    """Wait until the clock has advanced by a duration."""
    if duration_ms <= 0:
        return
    future = asyncio.get_running_loop().create_future()
    clock.sleepers.append((clock.now_ms + duration_ms, future))
    await future


async def advance(clock: VirtualClock, duration_ms: int) -> None:
    """Advance the clock and wake sleepers in the order of their wake-up times."""
    end_ms = clock.now_ms + duration_ms
    await run_ready_tasks()
    while due := [item for item in clock.sleepers if item[0] <= end_ms]:
        first = min(due, key=lambda item: item[0])
        clock.sleepers.remove(first)
        clock.now_ms = first[0]
        if not first[1].done():
            first[1].set_result(None)
        await run_ready_tasks()
    clock.now_ms = end_ms
    await run_ready_tasks()


async def run_ready_tasks() -> None:
    """Yield to the event loop so that ready tasks make progress."""
    for _ in range(_EVENT_LOOP_PASSES):
        await asyncio.sleep(0)


@dataclass(slots=True)
class _Lease:
    ttl_ms: int
    end_ms: int


@dataclass(slots=True)
class FakeStore:
    """`port.Store` in memory.

    Parameters
    ----------
    clock : VirtualClock
    is_down : bool
        Whether every call fails without effect.
    delay_ms : int
        Time before a call takes effect.
    answer_delay_ms : int
        Time between the effect and the answer.
    lost_answers : int
        Number of upcoming writes that take effect but whose answer is lost.
    call_count, write_count : int
    history_from : int
        Oldest version from which a watch can start; older ones raise
        `StoreHistoryLostError`.
    """

    clock: VirtualClock
    is_down: bool = False
    delay_ms: int = 0
    answer_delay_ms: int = 0
    lost_answers: int = 0
    call_count: int = 0
    write_count: int = 0
    history_from: int = 0
    version: int = 0
    entries: dict[str, port.Entry] = field(default_factory=dict)
    key_leases: dict[str, str] = field(default_factory=dict)
    leases: dict[str, _Lease] = field(default_factory=dict)
    history: list[tuple[int, port.Change]] = field(default_factory=list)
    lease_numbers: itertools.count = field(default_factory=lambda: itertools.count(1))

    async def get(self, key: str) -> port.Entry | None:
        """Read one key."""
        await _begin(self)
        entry = self.entries.get(key)
        await sleep(self.clock, self.answer_delay_ms)
        return entry

    async def list_prefix(self, prefix: str) -> port.Listing:
        """Read all keys under a prefix."""
        await _begin(self)
        found = (self.entries[key] for key in sorted(self.entries))
        entries = tuple(entry for entry in found if entry.key.startswith(prefix))
        listing = port.Listing(self.version, entries)
        await sleep(self.clock, self.answer_delay_ms)
        return listing

    async def swap(
        self, key: str, expected_version: int, value: bytes, lease_id: str = ""
    ) -> port.SwapResult:
        """Set a key that is at ``expected_version``; an expired lease is a conflict."""
        await _begin(self)
        current = self.entries.get(key)
        has_expired = lease_id != "" and lease_id not in self.leases
        if has_expired or _find_version(current) != expected_version:
            return await _end_write(self, port.Conflict(current))
        _put(self, key, value)
        self.key_leases.pop(key, None)
        if lease_id:
            self.key_leases[key] = lease_id
        return await _end_write(self, port.Swapped(self.version))

    async def delete(self, key: str, expected_version: int) -> port.SwapResult:
        """Delete a key that is at ``expected_version``."""
        await _begin(self)
        current = self.entries.get(key)
        if _find_version(current) != expected_version:
            return await _end_write(self, port.Conflict(current))
        if current is not None:
            _remove(self, key)
        return await _end_write(self, port.Swapped(self.version))

    async def watch(
        self, prefix: str, after_version: int, wait_ms: int
    ) -> port.Changes:
        """Wait for changes under a prefix, polling every virtual millisecond."""
        await _begin(self)
        end_ms = self.clock.now_ms + wait_ms
        while True:
            if after_version < self.history_from:
                raise StoreHistoryLostError(f"version {after_version} is too old")
            found = tuple(
                change
                for version, change in self.history
                if version > after_version and change.key.startswith(prefix)
            )
            if found or self.clock.now_ms >= end_ms:
                return port.Changes(self.version, found)
            await sleep(self.clock, 1)
            _refuse_if_down(self)
            _expire_leases(self)

    async def grant_lease(self, ttl_ms: int) -> str:
        """Return the id of a new lease."""
        await _begin(self)
        lease_id = f"lease-{next(self.lease_numbers)}"
        self.leases[lease_id] = _Lease(ttl_ms, self.clock.now_ms + ttl_ms)
        return await _end_write(self, lease_id)

    async def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease by its time to live; return False if it has expired."""
        await _begin(self)
        lease = self.leases.get(lease_id)
        if lease is not None:
            lease.end_ms = self.clock.now_ms + lease.ttl_ms
        return await _end_write(self, lease is not None)

    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
        await _begin(self)
        _end_lease(self, lease_id)
        return await _end_write(self, None)


def make_fake_store(clock: VirtualClock | None = None) -> FakeStore:
    """Return an empty store, with its own clock if none is given."""
    return FakeStore(clock or VirtualClock())


async def _begin(store: FakeStore) -> None:
    store.call_count += 1
    _refuse_if_down(store)
    await sleep(store.clock, store.delay_ms)
    _refuse_if_down(store)
    _expire_leases(store)


def _refuse_if_down(store: FakeStore) -> None:
    if store.is_down:
        raise StoreUnavailableError("the store is down")


async def _end_write(store: FakeStore, result: object) -> object:
    store.write_count += 1
    await sleep(store.clock, store.answer_delay_ms)
    if store.lost_answers > 0:
        store.lost_answers -= 1
        raise StoreOutcomeUnknownError("the answer was lost")
    return result


def _expire_leases(store: FakeStore) -> None:
    now_ms = store.clock.now_ms
    for lease_id in [i for i, lease in store.leases.items() if lease.end_ms <= now_ms]:
        _end_lease(store, lease_id)


def _end_lease(store: FakeStore, lease_id: str) -> None:
    store.leases.pop(lease_id, None)
    for key in [key for key, held in store.key_leases.items() if held == lease_id]:
        _remove(store, key)


def _put(store: FakeStore, key: str, value: bytes) -> None:
    store.version += 1
    entry = store.entries[key] = port.Entry(key, value, store.version)
    store.history.append((store.version, port.Change(key, entry)))


def _remove(store: FakeStore, key: str) -> None:
    store.version += 1
    del store.entries[key]
    store.key_leases.pop(key, None)
    store.history.append((store.version, port.Change(key, None)))


def _find_version(entry: port.Entry | None) -> int:
    return port.ABSENT if entry is None else entry.version

import asyncio
import random

from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core import errors
from fuchsiamoor.documents import apply, stored
from fuchsiamoor.store import port
from fuchsiamoor.testing import documents_data

OK, DOWN, LOST_BEFORE, LOST_AFTER, DELAYED = range(5)


class FakeStore:
    """Stores one key; the plan gives the outcome of each call in order."""

    def __init__(self, plan=(), seed=0):
        self.entry = None
        self.version = 0
        self.plan = list(plan)
        self.delayed = []
        self.random = random.Random(seed)

    async def _step(self):
        for _ in range(self.random.randrange(3)):
            await asyncio.sleep(0)
        if self.delayed and self.random.random() < 0.5:
            self._swap(*self.delayed.pop())
        outcome = self.plan.pop(0) if self.plan else OK
        if outcome == DOWN:
            raise errors.StoreUnavailableError
        return outcome

    def _swap(self, key, expected_version, value):
        at = self.entry.version if self.entry else port.ABSENT
        if at != expected_version:
            return port.Conflict(self.entry)
        self.version += 1
        self.entry = port.Entry(key, value, self.version)
        return port.Swapped(self.version)

    async def get(self, key):
        if await self._step() != OK:
            raise errors.StoreOutcomeUnknownError
        return self.entry

    async def swap(self, key, expected_version, value, lease_id=""):
        outcome = await self._step()
        if outcome == DELAYED:
            self.delayed.append((key, expected_version, value))
        if outcome in (LOST_BEFORE, DELAYED):
            raise errors.StoreOutcomeUnknownError
        result = self._swap(key, expected_version, value)
        if outcome == LOST_AFTER:
            raise errors.StoreOutcomeUnknownError
        return result

    def read(self):
        if self.entry is None:
            return stored.make_initial_stored()
        return stored.decode_stored_configuration(self.entry.value)


def _document(moves=1, **fields):
    return documents_data.make_configuration_document(moves_per_minute=moves, **fields)


def _apply(store, based_on, apply_id, document):
    return asyncio.run(apply.apply_document(store, based_on, apply_id, document))


def _check(result, expected):
    """Compare types too, because named tuples of different types may be equal."""
    assert (type(result), result) == (type(expected), expected)


def test_each_apply_increments_the_revision_and_is_idempotent():
    store = FakeStore()
    _check(_apply(store, 0, "a", _document(1)), apply.Applied(1))
    _check(_apply(store, 1, "b", _document(2)), apply.Applied(2))
    _check(_apply(store, 0, "a", _document(1)), apply.Applied(1))
    assert store.read().configuration.moves_per_minute == 2


def test_a_conflict_lists_the_applies_that_came_first():
    store = FakeStore()
    _apply(store, 0, "a", _document(1))
    _apply(store, 1, "dana@b", _document(2))
    result = _apply(store, 1, "c", _document(3))
    past = stored.PastApply(2, "dana@b", ("~ moves_per_minute: 1 -> 2",))
    _check(result, apply.Conflicted(2, "dana@b", (past,)))


def test_refused_applies_change_nothing():
    store = FakeStore()
    _apply(store, 0, "a", _document(1))
    before = store.entry
    assert isinstance(_apply(store, 1, "b", {}), apply.Refused)
    assert isinstance(_apply(store, 1, "b c", _document(1)), apply.Refused)
    moved = _document(tenants={"clinics": {"home_regions": ["almaty"]}})
    assert isinstance(_apply(store, 1, "b", moved), apply.Refused)
    large = _document(services={f"s{number}": {} for number in range(3_000)})
    [fault] = _apply(store, 1, "b", large).faults
    assert (fault.path, fault.expected) == ("document", "at most 921600 bytes")
    assert store.entry == before


def test_a_removed_tenant_cannot_return_with_other_home_regions():
    store = FakeStore()
    without = _document(tenants={}, services={})
    other = _document(tenants={"clinics": {"home_regions": ["almaty"]}})
    _check(_apply(store, 0, "a", _document()), apply.Applied(1))
    _check(_apply(store, 1, "b", without), apply.Applied(2))
    _check(_apply(store, 2, "c", without), apply.Applied(3))
    assert isinstance(_apply(store, 3, "d", other), apply.Refused)
    _check(_apply(store, 3, "e", _document()), apply.Applied(4))


def test_a_store_that_has_lost_its_data_is_refused():
    store = FakeStore()
    call = apply.apply_document(store, 0, "a", _document(), in_force_revision=9)
    [fault] = asyncio.run(call).faults
    assert fault.path == "store"
    assert store.entry is None


def test_only_the_latest_applies_are_retained():
    store = FakeStore()
    for revision in range(stored.MAX_REMEMBERED_APPLIES + 1):
        result = _apply(store, revision, f"a{revision}", _document())
        _check(result, apply.Applied(revision + 1))
    _check(_apply(store, 1, "a1", _document()), apply.Applied(2))
    result = _apply(store, 0, "a0", _document())
    assert isinstance(result, apply.Conflicted)
    assert len(result.past_applies) == stored.MAX_REMEMBERED_APPLIES


def test_lost_answers_are_resolved_by_reading_back():
    lost = FakeStore([OK, LOST_AFTER])
    _check(_apply(lost, 0, "a", _document(1)), apply.Applied(1))
    down = FakeStore([DOWN] * 9)
    _check(_apply(down, 0, "a", _document(1)), apply.StoreUnavailable())
    unknown = FakeStore([OK, LOST_AFTER] + [DOWN] * 9)
    _check(_apply(unknown, 0, "a", _document(1)), apply.OutcomeUnknown())
    lost_before = FakeStore([OK, LOST_BEFORE] * 9)
    _check(_apply(lost_before, 0, "a", _document(1)), apply.OutcomeUnknown())


@given(
    st.lists(st.sampled_from([OK, OK, DOWN, LOST_BEFORE, LOST_AFTER, DELAYED])),
    st.integers(0, 2**32),
)
def test_exactly_one_concurrent_apply_wins_when_answers_are_lost(plan, seed):
    store = FakeStore(plan, seed)
    revisions = []

    async def race(name):
        result = None
        while not isinstance(result, apply.Applied | apply.Conflicted):
            result = await apply.apply_document(store, 0, name, _document(len(name)))
            revisions.append(store.read().configuration.revision)
        return result

    async def race_all():
        return await asyncio.gather(*map(race, ["a", "bb", "ccc"]))

    results = asyncio.run(race_all())
    winners = [found for found in results if isinstance(found, apply.Applied)]
    losers = [found for found in results if isinstance(found, apply.Conflicted)]
    assert winners == [apply.Applied(1)]
    assert all(
        loser.apply_id == store.read().configuration.apply_id for loser in losers
    )
    assert revisions == sorted(revisions)
    assert store.read().configuration.revision == 1

import asyncio

from fuchsiamoor.core import errors
from fuchsiamoor.daemon import registration
from fuchsiamoor.peers import codec
from fuchsiamoor.testing import fake_store, ownership_data
from fuchsiamoor.testing.node_data import make_node


def read_registered(store):
    entry = asyncio.run(store.get("members/a-1"))
    return codec.decode_member(entry.value) if entry else None


def test_registration_at_the_same_address_lists_the_runs_it_replaces():
    store = fake_store.FakeStore(fake_store.VirtualClock())
    runs = [make_node(store) for _ in range(3)]
    for run in runs:
        asyncio.run(registration.register(run))
    first, second, third = (run.member.member_id for run in runs)
    assert read_registered(store).member_id == third
    assert read_registered(store).replaces == (second, first)


def test_registration_at_another_address_replaces_no_run():
    store = fake_store.FakeStore(fake_store.VirtualClock())
    asyncio.run(registration.register(make_node(store, port=1)))
    asyncio.run(registration.register(make_node(store, port=2)))
    assert read_registered(store).replaces == ()


def test_superseded_run_does_not_register_again():
    store = fake_store.FakeStore(fake_store.VirtualClock())
    first, second = make_node(store), make_node(store)
    for run in (first, second, first):
        asyncio.run(registration.register(run))
    assert first.superseded and not second.superseded
    assert read_registered(store).member_id == second.member.member_id


def test_registration_whose_answer_was_lost_is_confirmed_by_the_next_call():
    store = fake_store.FakeStore(fake_store.VirtualClock())
    run = make_node(store)
    store.lost_answers = 1
    try:
        asyncio.run(registration.register(run))
    except errors.StoreOutcomeUnknownError:
        pass
    asyncio.run(registration.register(run))
    assert (
        run.member.registered_version == asyncio.run(store.get("members/a-1")).version
    )


def test_voter_keeps_its_registration_when_it_deregisters():
    store = fake_store.FakeStore(fake_store.VirtualClock())
    run = make_node(store)
    asyncio.run(registration.register(run))
    table = ownership_data.make_table(("",), voters=(run.member.member_id,))
    run.cluster_state.tables[table.domain] = table
    asyncio.run(registration.deregister(run))
    assert read_registered(store) is not None
    run.cluster_state.tables.clear()
    asyncio.run(registration.deregister(run))
    assert read_registered(store) is None

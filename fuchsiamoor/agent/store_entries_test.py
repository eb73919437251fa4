"""Entries in the store that another writer made: listing, watch and followers."""

import asyncio

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.agent import registrations, store_sync, table_writer
from fuchsiamoor.ranges import planning
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.store import port
from fuchsiamoor.testing import (
    caller_requests_data,
    range_simulation,
    registrations_data,
    traffic_data,
    transactional_store,
    virtual_time,
)

SERVICE = traffic_data.KEYED_SERVICE
OWNER = "10.0.0.9/i-1@1"
INSTANCE = "10.0.0.9"
REGISTRATION = list(registrations_data.make_registration(INSTANCE))
PORT = registrations.Registration._fields.index("peer_port")
NESTED = b"\x81" * 100_000 + b"\x00"


def replace(fields, index, value):
    """Return a list with one item replaced."""
    return [*fields[:index], value, *fields[index + 1 :]]


TABLE = [1, SERVICE, 2**40, [OWNER], [[65_535, 0, 1, "", 0]]]
ODD_TABLES = [
    replace(TABLE, 1, [SERVICE]),
    replace(TABLE, 1, "another"),
    replace(TABLE, 2, "2"),
    replace(TABLE, 2, 2**60),
    replace(TABLE, 3, [7]),
    replace(TABLE, 3, ["no-owner"]),
    replace(TABLE, 3, [[OWNER]]),
    replace(TABLE, 4, [["65535", 0, 1, "", 0]]),
    replace(TABLE, 4, [[65_535, -1, 1, "", 0]]),
    replace(TABLE, 4, [[65_535, 0, "1", "", 0]]),
    replace(TABLE, 4, [[65_535, 0, 1, 5, 0]]),
    replace(TABLE, 4, [[65_535, 0, 2**41, "", 0]]),
    replace(TABLE, 4, 5),
]
ODD_REGISTRATIONS = [
    *(replace(REGISTRATION, index, []) for index in range(len(REGISTRATION))),
    replace(REGISTRATION, 0, "10.0.0.8"),
    *(replace(REGISTRATION, PORT, value) for value in (0, -1, 65_536, 2**63)),
    replace(REGISTRATION, registrations.Registration._fields.index("owner"), "x"),
    replace(REGISTRATION, registrations.Registration._fields.index("slots"), 2**60),
]
ODD_ENTRIES = [
    *((registrations.table_key(SERVICE), cbor2.dumps(odd)) for odd in ODD_TABLES),
    *(
        (registrations.registration_key(INSTANCE), cbor2.dumps(odd))
        for odd in ODD_REGISTRATIONS
    ),
    *((registrations.leave_key(INSTANCE), cbor2.dumps([odd])) for odd in ("x", 5)),
    *((key + INSTANCE, NESTED) for key in ("fuchsiamoor/ranges/", "fuchsiamoor/x/")),
    (registrations.table_key(SERVICE), NESTED),
    (registrations.registration_key(INSTANCE), NESTED),
    (registrations.leave_key(INSTANCE), NESTED),
    (registrations.runs_key(INSTANCE), NESTED),
    (traffic_data.CATALOG_KEY, b"[" * 100_000),
]


async def see_next_catalog(world, machine):
    """Let the operator write a catalog; return whether a daemon sees it."""
    agent = machine.agent
    version = agent.cache.catalog.version + 1
    value = traffic_data.encode_version(version)
    transactional_store.put_now(world.store, traffic_data.CATALOG_KEY, value)
    await asyncio.sleep(2)
    return agent.cache.catalog.version == version


# A readable entry of ours with fields of other types ended the watch each time it was
# read, and a daemon that started beside it was never ready.
@pytest.mark.parametrize(("key", "value"), ODD_ENTRIES)
def test_an_odd_entry_neither_ends_the_watch_nor_keeps_a_daemon_from_starting(
    key, value
):
    async def play():
        world = range_simulation.make_world(seed=4, count=3)
        running, follower, started = world.machines
        for machine in (running, follower):
            range_simulation.start_upstream(world, machine)
            range_simulation.start_daemon(world, machine)
        await asyncio.sleep(4)
        transactional_store.put_now(world.store, key, value)
        await asyncio.sleep(1)
        range_simulation.start_upstream(world, started)
        range_simulation.start_daemon(world, started)
        await asyncio.sleep(2)
        is_loaded = started.agent.cache.is_loaded
        seen = [await see_next_catalog(world, machine) for machine in world.machines]
        failures = [
            machine.agent.metrics.registry.get_sample_value(
                "fuchsiamoor_events_total", {"event": "task.failed"}
            )
            for machine in world.machines
        ]
        held = range_simulation.holds_all_keys(world)
        await range_simulation.close(world)
        return is_loaded, seen, failures, held, world.violations

    assert virtual_time.run(play()) == (True, [True] * 3, [None] * 3, True, [])


# The registration of a daemon is its own to write, so it replaces what it cannot read.
def test_a_daemon_replaces_an_odd_entry_in_place_of_its_registration():
    async def play():
        world = range_simulation.make_world(seed=4, count=2)
        for machine in world.machines:
            range_simulation.start_upstream(world, machine)
            range_simulation.start_daemon(world, machine)
        await asyncio.sleep(4)
        machine = world.machines[0]
        key = registrations.registration_key(machine.instance)
        transactional_store.put_now(world.store, key, NESTED)
        await asyncio.sleep(3)
        value = world.store.items[key].value
        held = range_simulation.holds_all_keys(world)
        await range_simulation.close(world)
        return value != NESTED, held, world.violations

    assert virtual_time.run(play()) == (True, True, [])


def test_a_table_that_no_daemon_has_read_is_not_written_again_and_again():
    async def play():
        world = range_simulation.make_world(seed=4, count=2)
        key = registrations.table_key(SERVICE)
        transactional_store.put_now(world.store, key, NESTED)
        for machine in world.machines:
            range_simulation.start_daemon(world, machine)
        await asyncio.sleep(5)
        calls = world.store.calls
        await asyncio.sleep(5)
        calls = world.store.calls - calls
        await range_simulation.close(world)
        return calls

    # Two daemons renew their leases and watch, each a few times a second at most.
    assert virtual_time.run(play()) < 40


plain_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**64), 2**64)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8)
    | st.sampled_from([SERVICE, OWNER, INSTANCE, 65_535]),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


def mutate(fields):
    """Return a strategy for lists with one or two items replaced by anything."""
    change = st.tuples(st.integers(0, len(fields) - 1), plain_values)

    def apply(changes):
        changed = list(fields)
        for index, value in changes:
            changed[index] = value
        return changed

    return st.lists(change, min_size=1, max_size=2).map(apply)


values = st.one_of(
    mutate(TABLE), mutate(REGISTRATION), mutate([OWNER]), plain_values
).map(cbor2.dumps) | st.binary(max_size=60)
keys = st.sampled_from(
    [
        registrations.table_key(SERVICE),
        registrations.registration_key(INSTANCE),
        registrations.leave_key(INSTANCE),
        registrations.runs_key(INSTANCE),
        traffic_data.EVACUATED_PREFIX,
        "other",
    ]
)


@given(st.lists(st.tuples(keys, values), min_size=1, max_size=4))
def test_any_entries_can_be_applied_and_planned_with(found):
    async def play():
        agent = caller_requests_data.make_agent([], "10.0.0.2", service=SERVICE)
        agent.cache.tables[SERVICE] = registrations_data.make_table("10.0.0.2/i-1@1")
        for version, (key, value) in enumerate(found, start=10):
            store_sync.apply_entry(agent, port.Entry(key, value, version))
        store_sync.update_derived_state(agent)
        table = agent.cache.tables[SERVICE]
        states = table_writer.assess_owners(agent, table, 20_000)
        planned = planning.plan_next_table(table, states)
        return planned is None or tables.decode_table(tables.encode_table(planned))

    assert virtual_time.run(play())


def test_a_table_is_the_same_after_encoding_and_decoding():
    rows = (
        tables.Row(0, 9, OWNER, 3, "token", "10.0.0.8/i-2@7"),
        tables.Row(10, 65_535, tables.NO_OWNER, 0),
    )
    table = tables.RangeTable(SERVICE, 4, rows)
    assert tables.decode_table(tables.encode_table(table)) == table

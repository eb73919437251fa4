"""Builders of registrations, and of a cache that holds them."""

from fuchsiamoor.agent import registrations, state
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.store import port
from fuchsiamoor.testing import traffic_data
from fuchsiamoor.traffic import catalog


def make_registration(
    instance: str = "10.0.0.1", **changes
) -> registrations.Registration:
    """Return the registration of an open upstream, with fields replaced."""
    registration = registrations.Registration(
        instance=instance,
        run="r1",
        peer_host="127.0.0.1",
        peer_port=1,
        region=traffic_data.REGION,
        data_centre=traffic_data.DATA_CENTRE,
        service=traffic_data.KEYED_SERVICE,
        owner=f"{instance}/i-1@1",
        ended="",
        slots=18,
        is_open=True,
        lease_id="1",
    )
    return registration._replace(**changes)


def make_entry(
    registration: registrations.Registration, version: int = 1
) -> port.Entry:
    """Return the store entry of a registration."""
    return port.Entry(
        registrations.registration_key(registration.instance),
        registrations.encode_registration(registration),
        version,
    )


def make_cache(*found: registrations.Registration) -> state.StoreCache:
    """Return a cache that holds some registrations."""
    cache = state.StoreCache()
    for registration in found:
        registrations.apply_entry(cache.directory, make_entry(registration))
    return cache


def make_absence(since_ms: int, run_version: int = port.ABSENT) -> state.Absence:
    """Return the absence of an owner, by default of an instance without a record."""
    return state.Absence(since_ms, run_version)


def make_run_entry(
    live_owner: str,
    version: int,
    previous_version: int,
    instance: str = "10.0.0.1",
) -> port.Entry:
    """Return the store entry of a run's record, as written with a registration."""
    record = registrations.RunRecord("r1", live_owner, live_owner, previous_version)
    return port.Entry(
        registrations.runs_key(instance),
        registrations.encode_run_record(record),
        version,
    )


def make_table(
    owner: str, service: str = traffic_data.KEYED_SERVICE
) -> tables.RangeTable:
    """Return a table in which one owner has all keys."""
    row = tables.Row(0, catalog.KEY_COUNT - 1, owner, 1)
    return tables.RangeTable(service, 1, (row,))

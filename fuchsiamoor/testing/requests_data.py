"""Builders of requests, members, tables and configurations for the routing tests."""

from fuchsiamoor.core import tables
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.core.configuration import (
    ColdStart,
    Configuration,
    Limits,
    Objective,
    Service,
)
from fuchsiamoor.core.members import Member, make_member_id
from fuchsiamoor.core.requests import Answer, Request
from fuchsiamoor.core.tables import ShardTable
from fuchsiamoor.core.verdicts import Ran

DOMAIN = "stock@north+south"
HOME_REGIONS = frozenset({"north", "south"})
REGIONS = {
    "north": frozenset({"north-1", "north-2"}),
    "south": frozenset({"south-1"}),
    "west": frozenset({"west-1"}),
}
SHARD_COUNT = 8


def make_request(request_id="r1", **changes) -> Request:
    """Return a keyed request that is not idempotent."""
    request = Request(
        request_id=request_id,
        service="stock",
        tenant="clinic",
        key="chair-1",
        idempotency_key="",
        method="POST",
        path="/",
        headers=(),
        body=b"",
        deadline_ms=1_000,
        idempotent=False,
    )
    return request._replace(**changes)


def make_answer(request_id="r1", served_by="a", body=b"whole") -> Answer:
    """Return the answer to a request that ran."""
    return Answer(request_id, Ran(), 200, (), body, served_by)


def make_member(instance="a", data_centre="north-1", **changes) -> Member:
    """Return a member of the stock service."""
    address = Address("127.0.0.1", 1)
    member = Member(
        member_id=make_member_id(instance, "1"),
        instance=instance,
        service="stock",
        region=data_centre.rpartition("-")[0],
        data_centre=data_centre,
        peer_address=address,
        caller_address=address,
        operator_address=address,
        checks_grants=True,
        slots=4,
        connections=130,
    )
    return member._replace(**changes)


def make_service(name="stock", **changes) -> Service:
    """Return a service whose cold start begins with one concurrent request."""
    service = Service(
        name=name,
        key_required=False,
        shard_count=SHARD_COUNT,
        idempotent_methods=frozenset({"GET"}),
        longest_run_ms=500,
        default_deadline_ms=1_000,
        retry_ratio=0.1,
        cold_start=ColdStart(initial_requests=1, ramp_ms=1_000),
        limits=Limits(body_bytes=1_000, queued_requests=4, parked_requests=8),
        objective=Objective(0.999, 100, 0.99, 30),
    )
    return service._replace(**changes)


def make_configuration(service=None, **changes) -> Configuration:
    """Return a configuration of revision 1 with one service and one tenant."""
    service = service or make_service()
    configuration = Configuration(
        revision=1,
        apply_id="first",
        services={service.name: service},
        regions=REGIONS,
        data_centres_out=frozenset(),
        tenants={"clinic": HOME_REGIONS},
        overrides=(),
        moves_per_minute=10,
    )
    return configuration._replace(**changes)


def make_table(owner=None, revision=1, **changes) -> ShardTable:
    """Return a table in which one member owns all shards."""
    owner = make_member().member_id if owner is None else owner
    table = tables.make_empty_table(DOMAIN, SHARD_COUNT)._replace(
        term=1,
        coordinator=owner,
        revision=revision,
        owners=(owner,) * SHARD_COUNT,
        epochs=(revision,) * SHARD_COUNT,
    )
    return table._replace(**changes)

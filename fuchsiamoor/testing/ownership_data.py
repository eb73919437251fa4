"""Builders of members, configurations and shard tables for ownership tests."""

from fuchsiamoor.core import (
    addresses,
    configuration,
    members,
    messages,
    settings,
    tables,
)

DOMAIN = "stock@almaty+astana"
TIMING = settings.Timing(
    renew_every_ms=250, lease_ms=800, silence_ms=700, store_lease_ms=600
)
REGIONS = {
    "almaty": frozenset({"almaty-1", "almaty-2"}),
    "astana": frozenset({"astana-1", "astana-2"}),
}


def make_member(
    name: str,
    data_centre: str = "almaty-1",
    nonce: str = "1",
    registered_version: int = 1,
    checks_grants: bool = True,
    replaces: tuple[str, ...] = (),
    service: str = "stock",
    slots: int = 20,
    host: str = "",
) -> members.Member:
    """Return a member of the stock service; its region is the data centre's prefix."""
    address = addresses.Address(host or name, 1)
    return members.Member(
        member_id=members.make_member_id(name, nonce),
        instance=name,
        service=service,
        region=data_centre.rpartition("-")[0],
        data_centre=data_centre,
        peer_address=address,
        caller_address=address,
        operator_address=address,
        checks_grants=checks_grants,
        slots=slots,
        connections=130,
        registered_version=registered_version,
        replaces=replaces,
    )


def make_service(
    shard_count: int = 8, longest_run_ms: int = 100, ramp_ms: int = 0
) -> configuration.Service:
    """Return the stock service."""
    return configuration.Service(
        name="stock",
        key_required=True,
        shard_count=shard_count,
        idempotent_methods=frozenset({"GET"}),
        longest_run_ms=longest_run_ms,
        default_deadline_ms=1_000,
        retry_ratio=0.1,
        cold_start=configuration.ColdStart(2, ramp_ms),
        limits=configuration.Limits(1_000_000, 100, 100),
        objective=configuration.Objective(0.999, 100, 0.99, 30),
    )


def make_configuration(
    revision: int = 1,
    data_centres_out: frozenset[str] = frozenset(),
    overrides: tuple[configuration.Override, ...] = (),
    tenants: dict[str, frozenset[str]] | None = None,
    moves_per_minute: int = 60,
    service: configuration.Service | None = None,
    regions: dict[str, frozenset[str]] = REGIONS,
) -> configuration.Configuration:
    """Return a configuration with the stock service and one tenant."""
    return configuration.Configuration(
        revision=revision,
        apply_id=f"apply-{revision}",
        services={"stock": service or make_service()},
        regions=regions,
        data_centres_out=data_centres_out,
        tenants=tenants or {"dala": frozenset({"almaty", "astana"})},
        overrides=overrides,
        moves_per_minute=moves_per_minute,
    )


def make_load(
    upstream_ready: bool = True,
    leaving: bool = False,
    shard_rates: dict[int, int] | None = None,
    hot_keys: dict[int, int] | None = None,
) -> messages.MemberLoad:
    """Return the load that a member reports with a lease renewal."""
    return messages.MemberLoad(
        upstream_ready, leaving, 0, 20, 1_000, shard_rates or {}, hot_keys or {}
    )


def make_table(
    owners: tuple[str, ...],
    revision: int = 1,
    term: int = 1,
    coordinator: str = "a#1",
    voters: tuple[str, ...] = (),
    previous_voters: tuple[str, ...] = (),
    voters_revision: int = 0,
    **fields,
) -> tables.ShardTable:
    """Return a shard table in which each voter has one vote."""
    base = tables.make_empty_table(DOMAIN, len(owners))
    return base._replace(
        term=term,
        coordinator=coordinator,
        revision=revision,
        owners=owners,
        epochs=(revision,) * len(owners),
        voters=tuple(tables.Voter(name, 1) for name in voters),
        previous_voters=tuple(tables.Voter(name, 1) for name in previous_voters),
        voters_revision=voters_revision,
        **fields,
    )

"""State of a coordinator, and queries on it that the decision modules share."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import keys, settings, tables
from fuchsiamoor.ownership import (
    acknowledgements,
    drafts,
    events,
    isolation,
    liveness,
    loads,
    overrides,
    placement,
    transfer,
    votes,
)


@dataclass(slots=True)
class Coordinator:
    """State of one coordinator; made by `make_coordinator`.

    Parameters
    ----------
    domain, member_id : str
    timing : Timing
    table : ShardTable or None
        Last table that the store confirmed.
    table_version : int
        The store's version of ``table``.
    in_flight : ShardTable or None
        Table whose write has not been confirmed or rejected yet.
    outcome_unknown : bool
        Whether the write in flight may have taken effect.
    needs_rewrite : bool
        Whether the write in flight has to be sent again, unchanged.
    retry_at_ms : int
        Earliest time of the next write.
    term_confirmed : bool
        Whether the store has confirmed a write under this coordinator's term.
    term_confirmed_ms : int
        Time of that confirmation.
    predecessor : str
        Member that was coordinator before; empty if it was this one or none.
    lease_sent_ms : int or None
        Sending time of the latest successful renewal of the store lease.
    configuration : Configuration
    holds : DomainHolds
    roster : Roster
    acks : Acknowledgements
    transfers : Transfers
    cooling_keys : CoolingKeys
    shard_loads : ShardLoads
    shard_weights : mapping of int to float
        Computed from ``shard_loads`` when moves were last planned.
    owned_counts : dict of str to int
        Number of shards of each owner in ``table``.
    has_unowned : bool
        Whether a hashed shard of ``table`` has no owner.
    isolation_revision : int
        Last change of the isolated keys; only owners that have adopted this revision
        are asked to release shards.
    unacknowledged_pushes : dict of str to int
        Revision that each member has to acknowledge; the table is pushed again
        until it does.
    push_due_ms, plan_due_ms : int
        Times of the next repeated push and of the next periodic planning.
    balancing_move_times_ms : list of int
        Start times of the balancing moves of the last minute.
    needs_new_term : bool
        Whether the next write has to start a new term, so that owners resume serving
        released shards whose move was aborted.
    needs_planning : bool
        Whether an event since the last planning may require planned moves.
    last_event_ms : int
    quorum_lost_since_ms : int or None
    resigned : bool
        Whether the coordinator has resigned and ignores all events.
    """

    domain: str
    member_id: str
    timing: settings.Timing
    table: tables.ShardTable | None
    table_version: int
    roster: liveness.Roster
    last_event_ms: int
    predecessor: str = tables.NO_OWNER
    in_flight: tables.ShardTable | None = None
    outcome_unknown: bool = False
    needs_rewrite: bool = False
    retry_at_ms: int = 0
    term_confirmed: bool = False
    term_confirmed_ms: int = 0
    lease_sent_ms: int | None = None
    configuration: configurations.Configuration = field(
        default_factory=configurations.make_empty_configuration
    )
    holds: overrides.DomainHolds = overrides.DomainHolds((), {}, ())
    acks: acknowledgements.Acknowledgements = field(
        default_factory=acknowledgements.Acknowledgements
    )
    transfers: transfer.Transfers = field(default_factory=transfer.Transfers)
    cooling_keys: isolation.CoolingKeys = field(default_factory=isolation.CoolingKeys)
    shard_loads: loads.ShardLoads = field(default_factory=loads.ShardLoads)
    shard_weights: Mapping[int, float] = field(default_factory=dict)
    owned_counts: dict[str, int] = field(default_factory=dict)
    has_unowned: bool = False
    isolation_revision: int = 0
    unacknowledged_pushes: dict[str, int] = field(default_factory=dict)
    push_due_ms: int = 0
    plan_due_ms: int = 0
    balancing_move_times_ms: list[int] = field(default_factory=list)
    needs_new_term: bool = False
    needs_planning: bool = True
    quorum_lost_since_ms: int | None = None
    resigned: bool = False


def has_valid_store_lease(coordinator: Coordinator, now_ms: int) -> bool:
    """Return whether the store lease is still valid, allowing for clock drift."""
    if coordinator.lease_sent_ms is None:
        return False
    timing = coordinator.timing
    lease_ms = int(timing.store_lease_ms * (1 - timing.drift_ratio))
    return now_ms < coordinator.lease_sent_ms + lease_ms


def find_service(coordinator: Coordinator) -> configurations.Service | None:
    """Return the domain's service, None if the configuration does not contain it."""
    service, _ = keys.split_domain_id(coordinator.domain)
    return coordinator.configuration.services.get(service)


def list_targets(coordinator: Coordinator, now_ms: int) -> list[placement.Target]:
    """Return the members to which shards may be assigned."""
    return liveness.list_targets(
        coordinator.roster, coordinator.configuration, now_ms, coordinator.timing
    )


def make_layout(
    coordinator: Coordinator, draft: drafts.Draft | tables.ShardTable, now_ms: int
) -> placement.Layout:
    """Return the input of placement plans for a table or a draft."""
    return placement.Layout(
        draft.owners,
        tuple(sorted(list_targets(coordinator, now_ms))),
        coordinator.holds,
        {shard: key_hash for key_hash, shard in draft.isolated.items()},
        coordinator.shard_weights,
    )


def list_lost_owners(coordinator: Coordinator, now_ms: int) -> list[str]:
    """Return the owners that are considered lost."""
    return sorted(
        owner
        for owner in coordinator.owned_counts
        if liveness.is_lost(coordinator.roster, owner, now_ms, coordinator.timing)
        or _is_lost_predecessor(coordinator, owner, now_ms)
    )


def is_responsive(coordinator: Coordinator, member_id: str, now_ms: int) -> bool:
    """Return whether a member has renewed and is not silent."""
    known = coordinator.roster
    return member_id in known.last_heard_ms and not liveness.is_silent(
        known, member_id, now_ms, coordinator.timing
    )


def has_quorum(coordinator: Coordinator, now_ms: int) -> bool:
    """Return whether enough voters are responsive to acknowledge a write."""
    if coordinator.table is None:
        return True
    return votes.is_acknowledged(
        coordinator.table,
        lambda voter_id: (
            voter_id in coordinator.roster.ended
            or is_responsive(coordinator, voter_id, now_ms)
        ),
    )


def restart_silence_timers(coordinator: Coordinator, now_ms: int) -> None:
    """Restart the silence timeout of every member, after a start or a pause."""
    coordinator.roster.silence_counted_from_ms = (
        now_ms - coordinator.timing.renew_every_ms
    )
    coordinator.quorum_lost_since_ms = None


def resign(
    coordinator: Coordinator, reason: str, pauses_candidacy: bool = False
) -> list[events.Action]:
    """Stop handling events and return the action that gives up the role."""
    coordinator.resigned = True
    return [events.Resign(reason, pauses_candidacy)]


def _is_lost_predecessor(coordinator: Coordinator, owner: str, now_ms: int) -> bool:
    if owner != coordinator.predecessor or owner in coordinator.roster.last_heard_ms:
        return False
    return now_ms - coordinator.term_confirmed_ms > coordinator.timing.renew_every_ms

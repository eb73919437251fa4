"""Who is alive in a domain, as its coordinator sees it."""

from dataclasses import dataclass, field

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import keys, messages, settings
from fuchsiamoor.core import members as members_
from fuchsiamoor.ownership import placement


@dataclass(slots=True)
class Roster:
    """Members of one domain and the signs of life they have shown.

    Parameters
    ----------
    domain : str
    members : dict of str to Member
        Those that hold their instance, by member id.
    member_by_instance : dict of str to str
        Member that holds each instance.
    ended : frozenset of str
        Runs known to be over, because a newer one listens at the same address.
    checks_grants : dict of str to bool
        Whether each member ever listed has an upstream that refuses work without a
        grant.
    last_heard_ms : dict of str to int
        Time of the newest renewal.
    loads : dict of str to MemberLoad
        What the newest renewal told.
    ready_since_ms : dict of str to int
        Since when each upstream has been ready without a break.
    silence_counted_from_ms : int
        Silence before this time counts against nobody.
    """

    domain: str
    members: dict[str, members_.Member] = field(default_factory=dict)
    member_by_instance: dict[str, str] = field(default_factory=dict)
    ended: frozenset[str] = frozenset()
    checks_grants: dict[str, bool] = field(default_factory=dict)
    last_heard_ms: dict[str, int] = field(default_factory=dict)
    loads: dict[str, messages.MemberLoad] = field(default_factory=dict)
    ready_since_ms: dict[str, int] = field(default_factory=dict)
    silence_counted_from_ms: int = 0


def update_members(roster: Roster, listed: tuple[members_.Member, ...]) -> None:
    """Take over the directory, keeping the members that belong to the domain."""
    service, home_regions = keys.split_domain_id(roster.domain)
    newest: dict[str, members_.Member] = {}
    for member in listed:
        known = newest.get(member.instance)
        if known is None or member.registered_version > known.registered_version:
            newest[member.instance] = member
    roster.member_by_instance = {
        name: member.member_id for name, member in newest.items()
    }
    roster.members = {
        member.member_id: member
        for member in newest.values()
        if member.service == service and member.region in home_regions
    }
    for member in roster.members.values():
        roster.checks_grants[member.member_id] = member.checks_grants
    roster.ended = _find_ended(listed, newest)
    for table in (roster.last_heard_ms, roster.loads, roster.ready_since_ms):
        for member_id in table.keys() - roster.members.keys():
            del table[member_id]


def record_renewal(roster: Roster, renew: messages.Renew, now_ms: int) -> bool:
    """Count a sign of life.

    Returns
    -------
    bool
        Whether the member appeared, or changed in what it may be given.
    """
    member_id = renew.member_id
    known = roster.loads.get(member_id)
    roster.last_heard_ms[member_id] = now_ms
    roster.loads[member_id] = renew.load
    if not renew.load.upstream_ready:
        roster.ready_since_ms.pop(member_id, None)
    else:
        roster.ready_since_ms.setdefault(member_id, now_ms)
    return known is None or known[:2] != renew.load[:2]


def is_superseded(roster: Roster, member_id: str) -> bool:
    """Return whether a newer run holds the member's instance."""
    instance = members_.instance_of(member_id)
    return roster.member_by_instance.get(instance, member_id) != member_id


def is_silent(
    roster: Roster, member_id: str, now_ms: int, timing: settings.Timing
) -> bool:
    """Return whether a member has been silent for too long."""
    last_heard_ms = roster.last_heard_ms.get(member_id, roster.silence_counted_from_ms)
    return (
        now_ms - max(last_heard_ms, roster.silence_counted_from_ms) > timing.silence_ms
    )


def is_lost(
    roster: Roster, member_id: str, now_ms: int, timing: settings.Timing
) -> bool:
    """Return whether a member is silent, or another run holds its instance."""
    return is_superseded(roster, member_id) or is_silent(
        roster, member_id, now_ms, timing
    )


def list_alive(
    roster: Roster, now_ms: int, timing: settings.Timing
) -> list[members_.Member]:
    """Return the members that have been heard and are not silent."""
    return [
        member
        for member_id, member in roster.members.items()
        if member_id in roster.last_heard_ms
        and not is_silent(roster, member_id, now_ms, timing)
    ]


def list_in_service(
    roster: Roster,
    configuration: configurations.Configuration,
    now_ms: int,
    timing: settings.Timing,
) -> list[members_.Member]:
    """Return the living members that neither leave nor are taken out of service."""
    return [
        member
        for member in list_alive(roster, now_ms, timing)
        if not roster.loads[member.member_id].leaving
        and member.data_centre not in configuration.data_centres_out
    ]


def list_targets(
    roster: Roster,
    configuration: configurations.Configuration,
    now_ms: int,
    timing: settings.Timing,
) -> list[placement.Target]:
    """Return the members that may be given shards, with their weights."""
    service, _ = keys.split_domain_id(roster.domain)
    cold_start = None
    if service in configuration.services:
        cold_start = configuration.services[service].cold_start
    return [
        placement.Target(
            member.member_id,
            member.instance,
            member.region,
            member.data_centre,
            _compute_weight(
                member, cold_start, now_ms - roster.ready_since_ms[member.member_id]
            ),
        )
        for member in list_in_service(roster, configuration, now_ms, timing)
        if roster.loads[member.member_id].upstream_ready
    ]


def _compute_weight(
    member: members_.Member, cold_start: configurations.ColdStart | None, age_ms: int
) -> float:
    slots = float(max(1, member.slots))
    if cold_start is None or age_ms >= cold_start.ramp_ms:
        return slots
    initial = min(slots, float(max(1, cold_start.initial_requests)))
    return round(initial + (slots - initial) * age_ms / cold_start.ramp_ms, 1)


def _find_ended(
    listed: tuple[members_.Member, ...], newest: dict[str, members_.Member]
) -> frozenset[str]:
    ended = {name for member in newest.values() for name in member.replaces}
    for member in listed:
        holder = newest[member.instance]
        same_address = holder.peer_address == member.peer_address
        if holder.member_id != member.member_id and same_address:
            ended.add(member.member_id)
    return frozenset(ended)

"""Liveness of a domain's members, as its coordinator sees it."""

from dataclasses import dataclass, field

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import keys, messages, settings
from fuchsiamoor.core import members as members_
from fuchsiamoor.ownership import placement


@dataclass(slots=True)
class Roster:
    """Members of one domain and when each was last heard.

    Parameters
    ----------
    domain : str
    members : dict of str to Member
        Newest run of each instance of the domain, by member id.
    member_by_instance : dict of str to str
        Member id of the newest daemon process of each instance.
    ended : frozenset of str
        Members known to have ended: a newer daemon process listens at the same
        address, or is registered as their replacement.
    checks_grants : dict of str to bool
        Whether a member's upstream refuses work without a grant; kept for members
        that are no longer listed.
    last_heard_ms : dict of str to int
        Time of each member's latest renewal.
    loads : dict of str to MemberLoad
        Load that each member reported with its latest renewal.
    ready_since_ms : dict of str to int
        Start of the time over which each upstream has been ready without interruption.
    silence_counted_from_ms : int
        Silence before this time is disregarded.
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
    """Update the members from the directory, keeping those of the domain."""
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
    """Record a renewal and the load that it reports.

    Returns
    -------
    bool
        Whether the member is new, or changed its readiness or whether it is leaving.
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
    """Return whether a newer daemon process runs as the member's instance."""
    instance = members_.instance_of(member_id)
    return roster.member_by_instance.get(instance, member_id) != member_id


def is_silent(
    roster: Roster, member_id: str, now_ms: int, timing: settings.Timing
) -> bool:
    """Return whether a member has sent no renewal for over the silence timeout."""
    last_heard_ms = roster.last_heard_ms.get(member_id, roster.silence_counted_from_ms)
    return (
        now_ms - max(last_heard_ms, roster.silence_counted_from_ms) > timing.silence_ms
    )


def is_lost(
    roster: Roster, member_id: str, now_ms: int, timing: settings.Timing
) -> bool:
    """Return whether a member is silent, or superseded by a newer daemon process."""
    return is_superseded(roster, member_id) or is_silent(
        roster, member_id, now_ms, timing
    )


def list_alive(
    roster: Roster, now_ms: int, timing: settings.Timing
) -> list[members_.Member]:
    """Return the members that have renewed and are not silent."""
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
    """Return the live members that are not leaving and whose data centre is in use."""
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
    """Return the members to which shards may be assigned, with their weights."""
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

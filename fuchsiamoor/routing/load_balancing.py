"""Load balancing: chooses an upstream for a request by this daemon's measurements."""

import random
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.core.members import Member

LATENCY_WEIGHT = 0.2
LATENCY_HALF_LIFE_MS = 1_000
FASTEST_GROWTH_FACTOR = 1.001
AVOID_FULL_MS = 50
AVOID_UNAVAILABLE_MS = 500
REGION_ROUND_TRIP_MS = 24.0
DATA_CENTRE_ROUND_TRIP_MS = 2.0
REGION_COST_MS = 10.0
EXTRA_SAMPLES_MAX = 4


@dataclass(slots=True)
class MemberStats:
    """Statistics of one member, as measured by this daemon.

    Parameters
    ----------
    in_flight : int
        Requests that this daemon has sent to it and that have not ended.
    latency_ms : float
        Moving average of the latency, 0 before the first answer.
    fastest_ms : float
        Lowest recent latency; it rises slowly with every answer.
    answered_ms : int
        Time of the last answer.
    avoided_until_ms : int
        Time until which other members are preferred, since it refused a request.
    """

    in_flight: int = 0
    latency_ms: float = 0.0
    fastest_ms: float = 0.0
    answered_ms: int = 0
    avoided_until_ms: int = 0


@dataclass(slots=True)
class Measurements:
    """Statistics of members by member id."""

    members: dict[str, MemberStats] = field(default_factory=dict)


class Candidates(NamedTuple):
    """Members that may serve a request, split by region.

    Parameters
    ----------
    same_region : tuple of Member
        Members of this daemon's region.
    other_regions : tuple of Member
        Members of other regions.
    """

    same_region: tuple[Member, ...]
    other_regions: tuple[Member, ...]


def make_measurements() -> Measurements:
    """Return measurements without any members."""
    return Measurements()


def find_stats(measurements: Measurements, member_id: str) -> MemberStats:
    """Return the statistics of a member, and add empty ones if there are none."""
    stats = measurements.members.get(member_id)
    if stats is None:
        stats = measurements.members[member_id] = MemberStats()
    return stats


def record_sent(measurements: Measurements, member_id: str) -> None:
    """Record that a request is sent to a member."""
    find_stats(measurements, member_id).in_flight += 1


def record_ended(measurements: Measurements, member_id: str) -> None:
    """Record that a request ended, with or without an answer."""
    find_stats(measurements, member_id).in_flight -= 1


def record_latency(
    measurements: Measurements, member_id: str, latency_ms: float, now_ms: int
) -> None:
    """Record the latency of a complete answer, or a lower bound of it."""
    stats = find_stats(measurements, member_id)
    stats.answered_ms = now_ms
    if stats.latency_ms == 0.0:
        stats.latency_ms = stats.fastest_ms = latency_ms
        return
    stats.latency_ms += LATENCY_WEIGHT * (latency_ms - stats.latency_ms)
    stats.fastest_ms = min(latency_ms, stats.fastest_ms * FASTEST_GROWTH_FACTOR)


def mark_full(measurements: Measurements, member_id: str, now_ms: int) -> None:
    """Avoid a member briefly, since it refused a request over its limit."""
    find_stats(measurements, member_id).avoided_until_ms = now_ms + AVOID_FULL_MS


def mark_unavailable(measurements: Measurements, member_id: str, now_ms: int) -> None:
    """Avoid a member for longer, since it is unreachable or has no upstream."""
    find_stats(measurements, member_id).avoided_until_ms = now_ms + AVOID_UNAVAILABLE_MS


def retain_members(measurements: Measurements, kept: Collection[str]) -> None:
    """Remove the statistics of members that are not kept and have nothing in flight."""
    departed = [
        member_id
        for member_id, stats in measurements.members.items()
        if member_id not in kept and stats.in_flight == 0
    ]
    for member_id in departed:
        del measurements.members[member_id]


def split_candidates(own: Member, members: list[Member]) -> Candidates:
    """Split members into those of this daemon's region and those of other regions."""
    same_region = tuple(member for member in members if member.region == own.region)
    other_regions = tuple(member for member in members if member.region != own.region)
    return Candidates(same_region, other_regions)


def compute_expected_ms(
    measurements: Measurements, own: Member, member: Member, now_ms: int
) -> float:
    """Return the time that a member is expected to take for one more request.

    A measured latency loses weight with age, so that a member that was slow is tried
    again. Another region costs extra, since traffic between regions is paid by volume.
    """
    stats = find_stats(measurements, member.member_id)
    latency_ms = _compute_latency_ms(stats, own, member, now_ms)
    load = stats.in_flight / max(member.slots, 1)
    cost_ms = 0.0 if member.region == own.region else REGION_COST_MS
    return cost_ms + latency_ms * (1.0 + load)


def _compute_latency_ms(
    stats: MemberStats, own: Member, member: Member, now_ms: int
) -> float:
    if stats.latency_ms == 0.0:
        return _estimate_round_trip_ms(own, member)
    age_ms = now_ms - stats.answered_ms
    if age_ms <= LATENCY_HALF_LIFE_MS // 10:
        return stats.latency_ms
    weight = 0.5 ** (age_ms / LATENCY_HALF_LIFE_MS)
    return stats.fastest_ms + weight * (stats.latency_ms - stats.fastest_ms)


def _estimate_round_trip_ms(own: Member, member: Member) -> float:
    if member.region != own.region:
        return REGION_ROUND_TRIP_MS
    return DATA_CENTRE_ROUND_TRIP_MS


def choose_member(
    measurements: Measurements,
    own: Member,
    candidates: Candidates,
    tried: Collection[str],
    now_ms: int,
    rng: random.Random,
) -> Member | None:
    """Choose the best of two random members of this region and one of another.

    Members already tried are left out. Members that refused a request recently are left
    out too, unless no other is sampled.

    Returns
    -------
    Member or None
        None if every candidate was tried.
    """
    sampled = [
        *_sample_members(measurements, candidates.same_region, tried, 2, now_ms, rng),
        *_sample_members(measurements, candidates.other_regions, tried, 1, now_ms, rng),
    ]
    if not sampled:
        untried = [
            member
            for member in (*candidates.same_region, *candidates.other_regions)
            if member.member_id not in tried
        ]
        return rng.choice(untried) if untried else None
    return min(
        sampled,
        key=lambda member: compute_expected_ms(measurements, own, member, now_ms),
    )


def _sample_members(
    measurements: Measurements,
    members: tuple[Member, ...],
    tried: Collection[str],
    count: int,
    now_ms: int,
    rng: random.Random,
) -> list[Member]:
    """Return up to ``count`` random members that are neither tried nor avoided."""
    sampled: list[Member] = []
    if not members:
        return sampled
    for member in rng.sample(members, min(len(members), count + EXTRA_SAMPLES_MAX)):
        if member.member_id in tried:
            continue
        if find_stats(measurements, member.member_id).avoided_until_ms > now_ms:
            continue
        sampled.append(member)
        if len(sampled) == count:
            break
    return sampled

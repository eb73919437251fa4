"""Choice among upstreams that may all answer a request, by own measurements."""

import random
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.core.members import Member

LATENCY_WEIGHT = 0.2
LATENCY_HALF_LIFE_MS = 1_000
FASTEST_GROWTH = 1.001
FULL_MS = 50
OUT_MS = 500
REGION_ROUND_TRIP_MS = 24.0
DATA_CENTRE_ROUND_TRIP_MS = 2.0
REGION_COST_MS = 10.0
DRAWS_MAX = 4


@dataclass(slots=True)
class Measured:
    """What this daemon has measured of one member.

    Parameters
    ----------
    in_flight : int
        Requests that this daemon sent there and has no answer to.
    latency_ms : float
        Moving average, 0 before the first answer.
    fastest_ms : float
        Fastest answer of late.
    answered_ms : int
        Time of the last answer.
    avoided_until_ms : int
        Time until which it is taken for full or gone, since it refused.
    """

    in_flight: int = 0
    latency_ms: float = 0.0
    fastest_ms: float = 0.0
    answered_ms: int = 0
    avoided_until_ms: int = 0


@dataclass(slots=True)
class Measurements:
    """Measured members by id."""

    members: dict[str, Measured] = field(default_factory=dict)


class Candidates(NamedTuple):
    """Members that may take a request, by distance.

    Parameters
    ----------
    near : tuple of Member
        Of this daemon's region.
    far : tuple of Member
        Of other regions.
    """

    near: tuple[Member, ...]
    far: tuple[Member, ...]


def make_measurements() -> Measurements:
    """Return measurements of nobody."""
    return Measurements()


def measured_of(measurements: Measurements, member_id: str) -> Measured:
    """Return what is known of a member, starting a record if there is none."""
    measured = measurements.members.get(member_id)
    if measured is None:
        measured = measurements.members[member_id] = Measured()
    return measured


def note_sent(measurements: Measurements, member_id: str) -> None:
    """Count a request as sent."""
    measured_of(measurements, member_id).in_flight += 1


def note_ended(measurements: Measurements, member_id: str) -> None:
    """Count a request as ended, however it did."""
    measured_of(measurements, member_id).in_flight -= 1


def note_latency(
    measurements: Measurements, member_id: str, latency_ms: float, now_ms: int
) -> None:
    """Take in the time of a whole answer, or of a run that takes at least as long."""
    measured = measured_of(measurements, member_id)
    measured.answered_ms = now_ms
    if measured.latency_ms == 0.0:
        measured.latency_ms = measured.fastest_ms = latency_ms
        return
    measured.latency_ms += LATENCY_WEIGHT * (latency_ms - measured.latency_ms)
    measured.fastest_ms = min(latency_ms, measured.fastest_ms * FASTEST_GROWTH)


def note_full(measurements: Measurements, member_id: str, now_ms: int) -> None:
    """Avoid a member for a moment: it refused for a limit."""
    measured_of(measurements, member_id).avoided_until_ms = now_ms + FULL_MS


def note_out(measurements: Measurements, member_id: str, now_ms: int) -> None:
    """Avoid a member for a while: it cannot be reached or has no upstream."""
    measured_of(measurements, member_id).avoided_until_ms = now_ms + OUT_MS


def forget_members(measurements: Measurements, kept: Collection[str]) -> None:
    """Drop the records of members that are gone."""
    gone = [
        member_id
        for member_id, measured in measurements.members.items()
        if member_id not in kept and measured.in_flight == 0
    ]
    for member_id in gone:
        del measurements.members[member_id]


def split_candidates(own: Member, members: list[Member]) -> Candidates:
    """Split members into those of this daemon's region and the others."""
    near = tuple(member for member in members if member.region == own.region)
    far = tuple(member for member in members if member.region != own.region)
    return Candidates(near, far)


def compute_expected_ms(
    measurements: Measurements, own: Member, member: Member, now_ms: int
) -> float:
    """Return the time that a member is expected to take for one more request.

    What was measured counts for less as it ages, so that a member that was slow is
    tried again. Another region costs extra, since its links are paid by volume.
    """
    measured = measured_of(measurements, member.member_id)
    latency_ms = _compute_latency_ms(measured, own, member, now_ms)
    load = measured.in_flight / max(member.slots, 1)
    cost_ms = 0.0 if member.region == own.region else REGION_COST_MS
    return cost_ms + latency_ms * (1.0 + load)


def _compute_latency_ms(
    measured: Measured, own: Member, member: Member, now_ms: int
) -> float:
    if measured.latency_ms == 0.0:
        return _guess_round_trip_ms(own, member)
    age_ms = now_ms - measured.answered_ms
    if age_ms <= LATENCY_HALF_LIFE_MS // 10:
        return measured.latency_ms
    weight = 0.5 ** (age_ms / LATENCY_HALF_LIFE_MS)
    return measured.fastest_ms + weight * (measured.latency_ms - measured.fastest_ms)


def _guess_round_trip_ms(own: Member, member: Member) -> float:
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

    Members that were tried are left out, those that refused a moment ago too unless
    all have.

    Returns
    -------
    Member or None
        None if every candidate was tried.
    """
    drawn = [
        *_draw(measurements, candidates.near, tried, 2, now_ms, rng),
        *_draw(measurements, candidates.far, tried, 1, now_ms, rng),
    ]
    if not drawn:
        left = [
            member
            for member in (*candidates.near, *candidates.far)
            if member.member_id not in tried
        ]
        return rng.choice(left) if left else None
    return min(
        drawn,
        key=lambda member: compute_expected_ms(measurements, own, member, now_ms),
    )


def _draw(
    measurements: Measurements,
    members: tuple[Member, ...],
    tried: Collection[str],
    count: int,
    now_ms: int,
    rng: random.Random,
) -> list[Member]:
    """Draw some different members that are neither tried nor avoided."""
    drawn: list[Member] = []
    if not members:
        return drawn
    for member in rng.sample(members, min(len(members), count + DRAWS_MAX)):
        if member.member_id in tried:
            continue
        if measured_of(measurements, member.member_id).avoided_until_ms > now_ms:
            continue
        drawn.append(member)
        if len(drawn) == count:
            break
    return drawn

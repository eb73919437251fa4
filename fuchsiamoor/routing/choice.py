"""Choice among upstreams that may all answer a request, by own measurements."""

import random
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import NamedTuple

from fuchsiamoor.core.members import Member

LATENCY_WEIGHT = 0.2
FULL_MS = 100
REGION_PENALTY_MS = 12.0
DATA_CENTRE_PENALTY_MS = 1.0
DEFAULT_LATENCY_MS = 1.0


@dataclass(slots=True)
class Measured:
    """What this daemon has measured of one member.

    Parameters
    ----------
    in_flight : int
        Requests that this daemon sent there and has no answer to.
    latency_ms : float
        Moving average, 0 before the first answer.
    full_until_ms : int
        Time until which it is taken for full, since it refused for a limit.
    """

    in_flight: int = 0
    latency_ms: float = 0.0
    full_until_ms: int = 0


@dataclass(slots=True)
class Measurements:
    """Measured members by id."""

    members: dict[str, Measured] = field(default_factory=dict)


class Scored(NamedTuple):
    """A member with the time that it is expected to take."""

    expected_ms: float
    member: Member


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


def note_latency(measurements: Measurements, member_id: str, latency_ms: float) -> None:
    """Take in the time of a whole answer, or of a run that takes at least as long."""
    measured = measured_of(measurements, member_id)
    if measured.latency_ms == 0.0:
        measured.latency_ms = latency_ms
        return
    measured.latency_ms += LATENCY_WEIGHT * (latency_ms - measured.latency_ms)


def note_full(measurements: Measurements, member_id: str, now_ms: int) -> None:
    """Take a member for full for a while."""
    measured_of(measurements, member_id).full_until_ms = now_ms + FULL_MS


def forget_members(measurements: Measurements, kept: Collection[str]) -> None:
    """Drop the records of members that are gone."""
    gone = [
        member_id
        for member_id, measured in measurements.members.items()
        if member_id not in kept and measured.in_flight == 0
    ]
    for member_id in gone:
        del measurements.members[member_id]


def compute_penalty_ms(own: Member, member: Member) -> float:
    """Return the distance to a member as time added to what it takes."""
    if member.region != own.region:
        return REGION_PENALTY_MS
    if member.data_centre != own.data_centre:
        return DATA_CENTRE_PENALTY_MS
    return 0.0


def compute_expected_ms(
    measurements: Measurements, own: Member, member: Member
) -> float:
    """Return the time that a member is expected to take for one more request."""
    measured = measured_of(measurements, member.member_id)
    latency_ms = max(measured.latency_ms, DEFAULT_LATENCY_MS)
    load = (measured.in_flight + 1) / max(member.slots, 1)
    return compute_penalty_ms(own, member) + latency_ms * (1.0 + load)


def choose_member(
    measurements: Measurements,
    own: Member,
    candidates: list[Member],
    tried: Collection[str],
    now_ms: int,
    rng: random.Random,
) -> Member | None:
    """Choose the better of two random members.

    Members that were tried are left out; full ones too, unless all are.

    Returns
    -------
    Member or None
        None if every candidate was tried.
    """
    left = [member for member in candidates if member.member_id not in tried]
    if not left:
        return None
    free = [
        member
        for member in left
        if measured_of(measurements, member.member_id).full_until_ms <= now_ms
    ]
    pool = free or left
    drawn = rng.sample(pool, 2) if len(pool) > 2 else pool
    scored = [
        Scored(compute_expected_ms(measurements, own, member), member)
        for member in drawn
    ]
    return min(scored, key=lambda each: each.expected_ms).member

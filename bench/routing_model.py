"""Simulation of one service in virtual time that runs the real routing code.

It has no sockets and no ownership: requests that any upstream may answer go from an
entry daemon to an upstream's daemon, through `load_balancing`, `capacity`,
`retry_budget`, `hedging` and `retry`. `Policy` and `Scenario` hold the parameters.
"""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from fuchsiamoor.core.members import Member
from fuchsiamoor.core.verdicts import NotRun, Ran
from fuchsiamoor.routing import (
    admission,
    capacity,
    cold_detection,
    hedging,
    load_balancing,
    ramp,
    retry,
    retry_budget,
)
from fuchsiamoor.routing.capacity import Capacity
from fuchsiamoor.routing.hedging import LatencyWindow
from fuchsiamoor.routing.retry_budget import Budget
from fuchsiamoor.testing import requests_data

SAME_REGION_ONE_WAY_MS = 1.0
OTHER_REGION_ONE_WAY_MS = 12.0
REQUEST_BYTES = 1_000
ANSWER_BYTES = 4_000
COLD_SLOWDOWN = 5.0


class Policy(NamedTuple):
    """Routing policy of a simulation.

    Parameters
    ----------
    name : str
    choose : callable
        ``(model, pending) -> Member | None``, the member to send a request to.
    hedges : bool
        Whether slow requests are hedged.
    ramps : bool
        Whether an upstream's daemon limits its requests by a ramp after a start.
    detects_cold : bool
        Whether the daemon restarts the ramp when it measures a cold upstream.
    bounded : bool
        Whether length and deadlines limit the queue, and a budget limits retries.
    """

    name: str
    choose: Callable[..., Member | None]
    hedges: bool = True
    ramps: bool = True
    detects_cold: bool = True
    bounded: bool = True


class Scenario(NamedTuple):
    """Deployment, load and faults of a simulation.

    Parameters
    ----------
    data_centres : tuple of str
        Data centre of each upstream; the part before the hyphen names the region.
    slots : int
        Slots of each upstream.
    run_ms : float
        Mean time of a run.
    load : float
        Arrival rate relative to the capacity of the upstreams.
    duration_ms : int
        Time for which requests arrive.
    deadline_ms : int
    report_every_ms : int
    underreporting : int
        Number of upstreams that always report no load.
    straggler : tuple
        ``(index, from_ms, to_ms, factor)`` of a slow upstream, or empty.
    cold_at_ms : int
        Time at which upstream 0 becomes cold without announcing it, 0 for never.
    out_of_service : tuple
        ``(data_centre, from_ms, to_ms)`` of a data centre out of service, or empty.
    ramp_ms : int
    initial_requests : int
    seed : int
    """

    data_centres: tuple[str, ...]
    slots: int
    run_ms: float = 20.0
    load: float = 0.7
    duration_ms: int = 10_000
    deadline_ms: int = 1_000
    report_every_ms: int = 1_000
    underreporting: int = 0
    straggler: tuple = ()
    cold_at_ms: int = 0
    out_of_service: tuple = ()
    ramp_ms: int = 3_000
    initial_requests: int = 2
    seed: int = 1


@dataclass(slots=True)
class Upstream:
    """An upstream and the state of its daemon.

    Parameters
    ----------
    member : Member
    capacity : Capacity
    cold_since_ms : float
        Time since which the upstream has been warming up.
    busy : int
        Requests that the upstream runs at present.
    busy_ms : float
        Sum of the times that requests have run, up to ``busy_updated_ms``.
    busy_updated_ms : float
    reported_in_flight : int
        Requests in flight as of the last load report.
    overfilled : int
        Not used.
    """

    member: Member
    capacity: Capacity
    cold_since_ms: float = -1e9
    busy: int = 0
    busy_ms: float = 0.0
    busy_updated_ms: float = 0.0
    reported_in_flight: int = 0
    overfilled: int = 0


@dataclass(slots=True)
class EntryDaemon:
    """A daemon that takes requests from callers, and its routing state."""

    member: Member
    measurements: load_balancing.Measurements = field(
        default_factory=load_balancing.make_measurements
    )
    budget: Budget = field(default_factory=retry_budget.make_budget)
    latencies: LatencyWindow = field(default_factory=hedging.make_latency_window)
    candidates: load_balancing.Candidates | None = None
    candidates_until_ms: float = 0.0


@dataclass(slots=True)
class PendingRequest:
    """A request in progress at its entry daemon."""

    request: Any
    entry: EntryDaemon
    arrived_ms: float
    permit: retry.Permit
    tried: set[str] = field(default_factory=set)
    attempts: dict[int, "Attempt"] = field(default_factory=dict)
    done: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a request at an upstream."""

    number: int
    pending: PendingRequest
    upstream: Upstream
    sent_ms: float
    run: int = 0
    run_started_ms: float = 0.0
    holds_slot: bool = False
    is_cancelled: bool = False


@dataclass(slots=True)
class Model:
    """State and results of one simulation."""

    scenario: Scenario
    policy: Policy
    rng: random.Random
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    entries: list[EntryDaemon] = field(default_factory=list)
    events: list = field(default_factory=list)
    now_ms: float = 0.0
    latencies_ms: list[tuple[float, float]] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)
    cross_region_bytes: int = 0
    sequence: Any = field(default_factory=itertools.count)
    ended_at_ms: deque = field(default_factory=deque)


def run_model(scenario: Scenario, policy: Policy) -> Model:
    """Simulate a scenario until no events are left."""
    model = Model(scenario, policy, random.Random(scenario.seed))
    for index, data_centre in enumerate(scenario.data_centres):
        member = requests_data.make_member(
            f"u{index}", data_centre, slots=scenario.slots
        )
        service = requests_data.make_service()
        cold_start = service.cold_start._replace(
            initial_requests=scenario.initial_requests,
            ramp_ms=scenario.ramp_ms if policy.ramps else 1,
        )
        full_ramp = ramp.make_ramp(cold_start, scenario.slots, -1_000_000)
        upstream_capacity = capacity.make_capacity(full_ramp, member.connections)
        model.upstreams[member.member_id] = Upstream(member, upstream_capacity)
        model.entries.append(EntryDaemon(member))
    _schedule_initial_events(model)
    while model.events:
        model.now_ms, _, action, arguments = heapq.heappop(model.events)
        action(model, *arguments)
    return model


def schedule(model: Model, delay_ms: float, action: Callable, *arguments) -> None:
    """Schedule ``action(model, *arguments)`` after a delay."""
    at_ms = model.now_ms + delay_ms
    heapq.heappush(model.events, (at_ms, next(model.sequence), action, arguments))


def find_candidates(model: Model, entry: EntryDaemon) -> load_balancing.Candidates:
    """Return the members in service; an entry daemon refreshes them every 500 ms."""
    if entry.candidates is None or model.now_ms >= entry.candidates_until_ms:
        members = [
            upstream.member
            for upstream in model.upstreams.values()
            if not _is_out_of_service(model, upstream.member)
        ]
        entry.candidates = load_balancing.split_candidates(entry.member, members)
        entry.candidates_until_ms = model.now_ms + 500
    return entry.candidates


def _is_out_of_service(model: Model, member: Member) -> bool:
    if not model.scenario.out_of_service:
        return False
    data_centre, from_ms, to_ms = model.scenario.out_of_service
    return member.data_centre == data_centre and from_ms <= model.now_ms < to_ms


def _schedule_initial_events(model: Model) -> None:
    scenario = model.scenario
    schedule(model, 0, _generate_request)
    schedule(model, 0, _publish_loads)
    if scenario.cold_at_ms:
        schedule(model, scenario.cold_at_ms, _make_cold, model.entries[0].member)
    if scenario.out_of_service:
        for upstream in model.upstreams.values():
            if upstream.member.data_centre == scenario.out_of_service[0]:
                schedule(model, scenario.out_of_service[2], _restart, upstream)


def _make_cold(model: Model, member: Member) -> None:
    model.upstreams[member.member_id].cold_since_ms = model.now_ms


def _restart(model: Model, upstream: Upstream) -> None:
    upstream.cold_since_ms = model.now_ms
    upstream.capacity.ramp = ramp.restart(upstream.capacity.ramp, int(model.now_ms))


def _publish_loads(model: Model) -> None:
    for index, upstream in enumerate(model.upstreams.values()):
        underreports = index < model.scenario.underreporting
        upstream.reported_in_flight = 0 if underreports else upstream.capacity.in_flight
    if model.now_ms < model.scenario.duration_ms:
        schedule(model, model.scenario.report_every_ms, _publish_loads)


def _generate_request(model: Model) -> None:
    scenario = model.scenario
    rate_per_ms = (
        scenario.load * scenario.slots * len(model.upstreams) / scenario.run_ms
    )
    if model.now_ms < scenario.duration_ms:
        schedule(model, model.rng.expovariate(rate_per_ms), _generate_request)
    number = next(model.sequence)
    entry = model.rng.choice(model.entries)
    request = requests_data.make_request(
        str(number), deadline_ms=model.now_ms + scenario.deadline_ms, idempotent=True
    )
    pending = PendingRequest(request, entry, model.now_ms, retry.permit_first(request))
    retry_budget.earn(entry.budget, 0.1)
    model.counts["arrived"] += 1
    schedule(model, scenario.deadline_ms, _handle_deadline, pending)
    _send_attempt(model, pending)


def _send_attempt(model: Model, pending: PendingRequest) -> None:
    entry = pending.entry
    target = model.policy.choose(model, pending)
    if target is None:
        return
    pending.tried.add(target.member_id)
    upstream = model.upstreams[target.member_id]
    number = next(model.sequence)
    attempt = Attempt(number, pending, upstream, model.now_ms)
    pending.attempts[number] = attempt
    load_balancing.record_sent(entry.measurements, target.member_id)
    if target.region != entry.member.region:
        model.cross_region_bytes += REQUEST_BYTES
    schedule(model, _compute_one_way_ms(attempt), _handle_attempt, attempt)
    if model.policy.hedges and len(pending.tried) == 1:
        schedule(model, entry.latencies.hedge_delay_ms, _hedge, pending)


def _compute_one_way_ms(attempt: Attempt) -> float:
    entry, member = attempt.pending.entry.member, attempt.upstream.member
    if entry.region != member.region:
        return OTHER_REGION_ONE_WAY_MS
    return 0.0 if entry.data_centre == member.data_centre else SAME_REGION_ONE_WAY_MS


def _hedge(model: Model, pending: PendingRequest) -> None:
    if pending.done or not pending.attempts:
        return
    if not retry_budget.spend(pending.entry.budget):
        return
    model.counts["hedged"] += 1
    pending.permit = retry.permit_repeat(pending.permit)
    _send_attempt(model, pending)


def _handle_attempt(model: Model, attempt: Attempt) -> None:
    if attempt.is_cancelled:
        return
    upstream_capacity = attempt.upstream.capacity
    max_queued = 2 * model.scenario.slots if model.policy.bounded else 1_000_000
    request = attempt.pending.request
    if not model.policy.bounded:
        request = request._replace(deadline_ms=10**9)
    match capacity.request_slot(
        upstream_capacity, attempt, request, max_queued, int(model.now_ms)
    ):
        case admission.Admitted():
            _start_run(model, attempt)
        case admission.Refused(verdict):
            schedule(
                model, _compute_one_way_ms(attempt), _handle_answer, attempt, verdict
            )


def _start_run(model: Model, attempt: Attempt) -> None:
    upstream = attempt.upstream
    attempt.holds_slot = True
    attempt.run_started_ms = model.now_ms
    attempt.run = capacity.record_start(upstream.capacity, int(model.now_ms))
    if not model.policy.detects_cold:
        cold_detection.clear_runs(upstream.capacity.cold_detector)
    _update_busy(model, upstream, 1)
    schedule(model, _sample_run_ms(model, upstream), _finish_run, attempt)


def _sample_run_ms(model: Model, upstream: Upstream) -> float:
    scenario = model.scenario
    run_ms = scenario.run_ms * (0.5 + model.rng.expovariate(2.0))
    if scenario.straggler:
        index, from_ms, to_ms, factor = scenario.straggler
        if upstream.member.instance == f"u{index}" and from_ms <= model.now_ms < to_ms:
            run_ms *= factor
    warmth = min(1.0, (model.now_ms - upstream.cold_since_ms) / scenario.ramp_ms)
    initial = scenario.initial_requests
    if upstream.busy > initial + (scenario.slots - initial) * warmth:
        upstream.cold_since_ms = model.now_ms
        model.counts["overfilled"] += 1
        run_ms *= COLD_SLOWDOWN
    return run_ms


def _update_busy(model: Model, upstream: Upstream, change: int) -> None:
    upstream.busy_ms += upstream.busy * (model.now_ms - upstream.busy_updated_ms)
    upstream.busy_updated_ms = model.now_ms
    upstream.busy += change


def _finish_run(model: Model, attempt: Attempt) -> None:
    if not attempt.holds_slot:
        return
    latency_ms = model.now_ms - attempt.run_started_ms
    capacity.record_answer(
        attempt.upstream.capacity, attempt.run, latency_ms, int(model.now_ms)
    )
    _release_slot(model, attempt)
    if attempt.upstream.member.region != attempt.pending.entry.member.region:
        model.cross_region_bytes += ANSWER_BYTES
    schedule(model, _compute_one_way_ms(attempt), _handle_answer, attempt, Ran())


def _release_slot(model: Model, attempt: Attempt) -> None:
    upstream = attempt.upstream
    attempt.holds_slot = False
    _update_busy(model, upstream, -1)
    capacity.release_slot(upstream.capacity)
    for granted in capacity.grant_slots(upstream.capacity, int(model.now_ms)):
        _start_run(model, granted)


def _handle_cancellation(model: Model, attempt: Attempt) -> None:
    """Handle a cancellation at the upstream's daemon."""
    attempt.is_cancelled = True
    if attempt.holds_slot:
        capacity.record_unanswered_end(attempt.upstream.capacity, attempt.run)
        _release_slot(model, attempt)
        return
    capacity.leave_queue(attempt.upstream.capacity, attempt)


def _handle_answer(model: Model, attempt: Attempt, verdict) -> None:
    """Handle an answer at the entry daemon."""
    pending = attempt.pending
    if pending.attempts.pop(attempt.number, None) is None:
        return
    member_id = attempt.upstream.member.member_id
    entry = pending.entry
    load_balancing.record_ended(entry.measurements, member_id)
    latency_ms = model.now_ms - attempt.sent_ms
    now_ms = int(model.now_ms)
    match verdict:
        case Ran():
            load_balancing.record_latency(
                entry.measurements, member_id, latency_ms, now_ms
            )
            hedging.record_latency(entry.latencies, latency_ms)
            if not pending.done:
                _finish_request(model, pending, "answered")
        case NotRun():
            load_balancing.mark_full(entry.measurements, member_id, now_ms)
            _retry(model, pending, verdict)


def _retry(model: Model, pending: PendingRequest, verdict: NotRun) -> None:
    if pending.done or pending.attempts:
        return
    step = retry.choose_unkeyed_step(pending.permit, verdict)
    may_spend = not model.policy.bounded or retry_budget.spend(pending.entry.budget)
    if step is retry.Step.FINISH or not may_spend:
        _finish_request(model, pending, "refused")
        return
    pending.permit = retry.permit_next(pending.permit, verdict)
    _send_attempt(model, pending)
    if not pending.attempts:
        _finish_request(model, pending, "refused")
        return
    model.counts["retried"] += 1


def _handle_deadline(model: Model, pending: PendingRequest) -> None:
    if not pending.done:
        _finish_request(model, pending, "late")


def _finish_request(model: Model, pending: PendingRequest, outcome: str) -> None:
    pending.done = True
    model.counts[outcome] += 1
    if outcome == "answered":
        model.latencies_ms.append(
            (pending.arrived_ms, model.now_ms - pending.arrived_ms)
        )
        if model.now_ms <= model.scenario.duration_ms:
            model.counts["answered in time"] += 1
    for attempt in pending.attempts.values():
        _record_cancelled(model, attempt)
        schedule(model, _compute_one_way_ms(attempt), _handle_cancellation, attempt)
    pending.attempts.clear()


def _record_cancelled(model: Model, attempt: Attempt) -> None:
    """Record a cancelled attempt; its waiting time is a lower bound of the latency."""
    member_id = attempt.upstream.member.member_id
    measurements = attempt.pending.entry.measurements
    load_balancing.record_ended(measurements, member_id)
    waited_ms = model.now_ms - attempt.sent_ms
    if waited_ms > load_balancing.find_stats(measurements, member_id).latency_ms:
        load_balancing.record_latency(
            measurements, member_id, waited_ms, int(model.now_ms)
        )

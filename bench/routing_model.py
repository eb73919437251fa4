"""A model of one service under virtual time, driving the real routing decisions.

It has no sockets and no ownership: requests that any upstream may answer go from an
entry daemon to the daemon beside an upstream, through `load_balancing`,
`capacity`, `retry_budget`, `hedging` and `retry`. What a scenario varies is in `Policy`
and `Scenario`.
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

SAME_REGION_MS = 1.0
OTHER_REGION_MS = 12.0
REQUEST_BYTES = 1_000
ANSWER_BYTES = 4_000
COLD_SLOWDOWN = 5.0


class Policy(NamedTuple):
    """What is compared.

    Parameters
    ----------
    name : str
    choose : callable
        ``(model, pending) -> Member | None``.
    hedges : bool
    ramps : bool
        Whether the owner's daemon ramps an upstream up after a start.
    notices_cold : bool
        Whether it restarts the ramp by its own measurements.
    bounded : bool
        Whether queue and retries are bounded.
    """

    name: str
    choose: Callable[..., Member | None]
    hedges: bool = True
    ramps: bool = True
    notices_cold: bool = True
    bounded: bool = True


class Scenario(NamedTuple):
    """What happens.

    Parameters
    ----------
    data_centres : tuple of str
        One upstream in each, repeated as needed; the first part names the region.
    slots : int
    run_ms : float
        Mean time of a run.
    load : float
        Arrivals as a share of what the upstreams can run.
    length_ms : int
    deadline_ms : int
    report_every_ms : int
    misleading : int
        Number of upstreams that always report no load.
    slow : tuple
        ``(index, from_ms, to_ms, factor)`` of a straggler, or empty.
    cold_at_ms : int
        Time at which upstream 0 turns cold unannounced, 0 for never.
    out : tuple
        ``(data_centre, from_ms, to_ms)`` of a data centre out of service, or empty.
    ramp_ms : int
    initial_requests : int
    seed : int
    """

    data_centres: tuple[str, ...]
    slots: int
    run_ms: float = 20.0
    load: float = 0.7
    length_ms: int = 10_000
    deadline_ms: int = 1_000
    report_every_ms: int = 1_000
    misleading: int = 0
    slow: tuple = ()
    cold_at_ms: int = 0
    out: tuple = ()
    ramp_ms: int = 3_000
    initial_requests: int = 2
    seed: int = 1


@dataclass(slots=True)
class Upstream:
    """An upstream with the daemon beside it."""

    member: Member
    capacity: Capacity
    cold_since_ms: float = -1e9
    busy: int = 0
    busy_ms: float = 0.0
    changed_ms: float = 0.0
    reported: int = 0
    overfilled: int = 0


@dataclass(slots=True)
class EntryDaemon:
    """An entry daemon."""

    member: Member
    measurements: load_balancing.Measurements = field(
        default_factory=load_balancing.make_measurements
    )
    tokens: Budget = field(default_factory=retry_budget.make_budget)
    latencies: LatencyWindow = field(default_factory=hedging.make_latency_window)
    candidates: load_balancing.Candidates | None = None
    candidates_until_ms: float = 0.0


@dataclass(slots=True)
class Pending:
    """A request on its way."""

    request: Any
    entry: EntryDaemon
    started_ms: float
    permit: retry.Permit
    tried: set[str] = field(default_factory=set)
    running: dict[int, "Sending"] = field(default_factory=dict)
    done: bool = False


@dataclass(slots=True, eq=False)
class Sending:
    """One sending of a request."""

    number: int
    pending: Pending
    upstream: Upstream
    sent_ms: float
    run: int = 0
    run_started_ms: float = 0.0
    holds_slot: bool = False
    ended: bool = False


@dataclass(slots=True)
class Model:
    """The whole."""

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
    numbers: Any = field(default_factory=itertools.count)
    ended_at_ms: deque = field(default_factory=deque)


def run_model(scenario: Scenario, policy: Policy) -> Model:
    """Play a scenario to its end."""
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
        started = ramp.make_ramp(cold_start, scenario.slots, -1_000_000)
        held = capacity.make_capacity(started, member.connections)
        model.upstreams[member.member_id] = Upstream(member, held)
        model.entries.append(EntryDaemon(member))
    _schedule_scenario(model)
    while model.events:
        model.now_ms, _, action, arguments = heapq.heappop(model.events)
        action(model, *arguments)
    return model


def after(model: Model, delay_ms: float, action: Callable, *arguments) -> None:
    """Schedule an action."""
    at_ms = model.now_ms + delay_ms
    heapq.heappush(model.events, (at_ms, next(model.numbers), action, arguments))


def find_candidates(model: Model, entry: EntryDaemon) -> load_balancing.Candidates:
    """Return the members in service, as an entry daemon knows after a short delay."""
    if entry.candidates is None or model.now_ms >= entry.candidates_until_ms:
        members = [
            upstream.member
            for upstream in model.upstreams.values()
            if not _is_out(model, upstream.member)
        ]
        entry.candidates = load_balancing.split_candidates(entry.member, members)
        entry.candidates_until_ms = model.now_ms + 500
    return entry.candidates


def _is_out(model: Model, member: Member) -> bool:
    if not model.scenario.out:
        return False
    data_centre, from_ms, to_ms = model.scenario.out
    return member.data_centre == data_centre and from_ms <= model.now_ms < to_ms


def _schedule_scenario(model: Model) -> None:
    scenario = model.scenario
    after(model, 0, _arrive)
    after(model, 0, _report)
    if scenario.cold_at_ms:
        after(model, scenario.cold_at_ms, _turn_cold, model.entries[0].member)
    if scenario.out:
        for upstream in model.upstreams.values():
            if upstream.member.data_centre == scenario.out[0]:
                after(model, scenario.out[2], _restart, upstream)


def _turn_cold(model: Model, member: Member) -> None:
    model.upstreams[member.member_id].cold_since_ms = model.now_ms


def _restart(model: Model, upstream: Upstream) -> None:
    upstream.cold_since_ms = model.now_ms
    upstream.capacity.ramp = ramp.restart(upstream.capacity.ramp, int(model.now_ms))


def _report(model: Model) -> None:
    for index, upstream in enumerate(model.upstreams.values()):
        misleads = index < model.scenario.misleading
        upstream.reported = 0 if misleads else upstream.capacity.in_flight
    if model.now_ms < model.scenario.length_ms:
        after(model, model.scenario.report_every_ms, _report)


def _arrive(model: Model) -> None:
    scenario = model.scenario
    rate_per_ms = (
        scenario.load * scenario.slots * len(model.upstreams) / scenario.run_ms
    )
    if model.now_ms < scenario.length_ms:
        after(model, model.rng.expovariate(rate_per_ms), _arrive)
    number = next(model.numbers)
    entry = model.rng.choice(model.entries)
    request = requests_data.make_request(
        str(number), deadline_ms=model.now_ms + scenario.deadline_ms, idempotent=True
    )
    pending = Pending(request, entry, model.now_ms, retry.permit_first(request))
    retry_budget.earn(entry.tokens, 0.1)
    model.counts["arrived"] += 1
    after(model, scenario.deadline_ms, _expire, pending)
    _send(model, pending)


def _send(model: Model, pending: Pending) -> None:
    entry = pending.entry
    target = model.policy.choose(model, pending)
    if target is None:
        return
    pending.tried.add(target.member_id)
    upstream = model.upstreams[target.member_id]
    number = next(model.numbers)
    sending = Sending(number, pending, upstream, model.now_ms)
    pending.running[number] = sending
    load_balancing.record_sent(entry.measurements, target.member_id)
    if target.region != entry.member.region:
        model.cross_region_bytes += REQUEST_BYTES
    after(model, _distance_ms(sending), _reach, sending)
    if model.policy.hedges and len(pending.tried) == 1:
        after(model, entry.latencies.hedge_delay_ms, _hedge, pending)


def _distance_ms(sending: Sending) -> float:
    entry, member = sending.pending.entry.member, sending.upstream.member
    if entry.region != member.region:
        return OTHER_REGION_MS
    return 0.0 if entry.data_centre == member.data_centre else SAME_REGION_MS


def _hedge(model: Model, pending: Pending) -> None:
    if pending.done or not pending.running:
        return
    if not retry_budget.spend(pending.entry.tokens):
        return
    model.counts["hedged"] += 1
    pending.permit = retry.permit_repeat(pending.permit)
    _send(model, pending)


def _reach(model: Model, sending: Sending) -> None:
    if sending.ended:
        return
    held = sending.upstream.capacity
    queued = 2 * model.scenario.slots if model.policy.bounded else 1_000_000
    request = sending.pending.request
    if not model.policy.bounded:
        request = request._replace(deadline_ms=10**9)
    match capacity.request_slot(held, sending, request, queued, int(model.now_ms)):
        case admission.Admitted():
            _start(model, sending)
        case admission.Refused(verdict):
            after(model, _distance_ms(sending), _answer, sending, verdict)


def _start(model: Model, sending: Sending) -> None:
    upstream = sending.upstream
    sending.holds_slot = True
    sending.run_started_ms = model.now_ms
    sending.run = capacity.record_start(upstream.capacity, int(model.now_ms))
    if not model.policy.notices_cold:
        cold_detection.clear_runs(upstream.capacity.cold_detector)
    _count_busy(model, upstream, 1)
    after(model, _draw_run_ms(model, upstream), _finish, sending)


def _draw_run_ms(model: Model, upstream: Upstream) -> float:
    scenario = model.scenario
    run_ms = scenario.run_ms * (0.5 + model.rng.expovariate(2.0))
    if scenario.slow:
        index, from_ms, to_ms, factor = scenario.slow
        if upstream.member.instance == f"u{index}" and from_ms <= model.now_ms < to_ms:
            run_ms *= factor
    warmth = min(1.0, (model.now_ms - upstream.cold_since_ms) / scenario.ramp_ms)
    first = scenario.initial_requests
    if upstream.busy > first + (scenario.slots - first) * warmth:
        upstream.cold_since_ms = model.now_ms
        model.counts["overfilled"] += 1
        run_ms *= COLD_SLOWDOWN
    return run_ms


def _count_busy(model: Model, upstream: Upstream, change: int) -> None:
    upstream.busy_ms += upstream.busy * (model.now_ms - upstream.changed_ms)
    upstream.changed_ms = model.now_ms
    upstream.busy += change


def _finish(model: Model, sending: Sending) -> None:
    if not sending.holds_slot:
        return
    latency_ms = model.now_ms - sending.run_started_ms
    capacity.record_answer(
        sending.upstream.capacity, sending.run, latency_ms, int(model.now_ms)
    )
    _free(model, sending)
    if sending.upstream.member.region != sending.pending.entry.member.region:
        model.cross_region_bytes += ANSWER_BYTES
    after(model, _distance_ms(sending), _answer, sending, Ran())


def _free(model: Model, sending: Sending) -> None:
    upstream = sending.upstream
    sending.holds_slot = False
    _count_busy(model, upstream, -1)
    capacity.release_slot(upstream.capacity)
    for granted in capacity.grant_slots(upstream.capacity, int(model.now_ms)):
        _start(model, granted)


def _cancel(model: Model, sending: Sending) -> None:
    """Take a cancellation in at the owner's daemon."""
    sending.ended = True
    if sending.holds_slot:
        capacity.record_unanswered_end(sending.upstream.capacity, sending.run)
        _free(model, sending)
        return
    capacity.leave_queue(sending.upstream.capacity, sending)


def _answer(model: Model, sending: Sending, verdict) -> None:
    """Take an answer in at the entry daemon."""
    pending = sending.pending
    if pending.running.pop(sending.number, None) is None:
        return
    member_id = sending.upstream.member.member_id
    entry = pending.entry
    load_balancing.record_ended(entry.measurements, member_id)
    latency_ms = model.now_ms - sending.sent_ms
    now_ms = int(model.now_ms)
    match verdict:
        case Ran():
            load_balancing.record_latency(
                entry.measurements, member_id, latency_ms, now_ms
            )
            hedging.record_latency(entry.latencies, latency_ms)
            if not pending.done:
                _conclude(model, pending, "answered")
        case NotRun():
            load_balancing.mark_full(entry.measurements, member_id, now_ms)
            _retry(model, pending, verdict)


def _retry(model: Model, pending: Pending, verdict: NotRun) -> None:
    if pending.done or pending.running:
        return
    step = retry.choose_unkeyed_step(pending.permit, verdict)
    may_spend = not model.policy.bounded or retry_budget.spend(pending.entry.tokens)
    if step is retry.Step.FINISH or not may_spend:
        _conclude(model, pending, "refused")
        return
    pending.permit = retry.permit_next(pending.permit, verdict)
    _send(model, pending)
    if not pending.running:
        _conclude(model, pending, "refused")
        return
    model.counts["retried"] += 1


def _expire(model: Model, pending: Pending) -> None:
    if not pending.done:
        _conclude(model, pending, "late")


def _conclude(model: Model, pending: Pending, ending: str) -> None:
    pending.done = True
    model.counts[ending] += 1
    if ending == "answered":
        model.latencies_ms.append(
            (pending.started_ms, model.now_ms - pending.started_ms)
        )
        if model.now_ms <= model.scenario.length_ms:
            model.counts["answered in time"] += 1
    for sending in pending.running.values():
        _note_cancelled(model, sending)
        after(model, _distance_ms(sending), _cancel, sending)
    pending.running.clear()


def _note_cancelled(model: Model, sending: Sending) -> None:
    """Learn from a sending that was given up, as the entry side does."""
    member_id = sending.upstream.member.member_id
    measurements = sending.pending.entry.measurements
    load_balancing.record_ended(measurements, member_id)
    waited_ms = model.now_ms - sending.sent_ms
    if waited_ms > load_balancing.find_stats(measurements, member_id).latency_ms:
        load_balancing.record_latency(
            measurements, member_id, waited_ms, int(model.now_ms)
        )

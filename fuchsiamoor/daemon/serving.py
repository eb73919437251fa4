"""Serving side: runs forwarded requests at the local upstream.

The owner's daemon does not rely on the sender's routing: it recomputes domain and
shard, and checks home regions, ownership and the upstream's free capacity. The lease is
checked again in the event loop step that sends the request to the upstream.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from fuchsiamoor.core import tables
from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.core.members import Member
from fuchsiamoor.core.messages import Answered, Forward, MemberLoad
from fuchsiamoor.core.requests import Request
from fuchsiamoor.core.tables import ShardTable
from fuchsiamoor.core.verdicts import NotRun, Reason
from fuchsiamoor.daemon import serving_runs
from fuchsiamoor.daemon.serving_state import (
    Metrics,
    Serving,
    Upstream,
)
from fuchsiamoor.ownership.lease_holder import MayServe, NotOwner, Wait
from fuchsiamoor.routing import (
    capacity,
    in_flight_runs,
    parked_requests,
    ramp,
    request_rates,
    request_validation,
)
from fuchsiamoor.routing.in_flight_runs import RunKey

HOPS_MAX = 8
_DRAINED = NotRun(Reason.SHUTTING_DOWN, "the upstream takes no more requests")


def make_serving(
    *,
    get_configuration: Callable[[], Configuration],
    get_table: Callable[[str], ShardTable | None],
    own_member: Callable[[], Member],
    check_serve: Callable[[str, int], MayServe | Wait | NotOwner],
    upstream: Upstream,
    metrics: Metrics,
    now_ms: Callable[[], int],
    unix_ms: Callable[[], int],
    cancel_run: Callable[[str], Awaitable[bool]] | None = None,
) -> Serving:
    """Return the serving side of a daemon before its upstream has announced itself.

    Parameters
    ----------
    get_configuration : callable
        The configuration in force.
    get_table : callable
        The newest known table of a domain, None if there is none.
    own_member : callable
    check_serve : callable
        Checks whether this member may serve a shard of a domain now.
    upstream : Upstream
    metrics : Metrics
    now_ms : callable
        Monotonic time, in milliseconds.
    unix_ms : callable
        Unix time, in milliseconds, by the clock that the upstream uses.
    cancel_run : callable, optional
        Cancels a request at the upstream by its id; True if the upstream confirmed
        that the run has ended.
    """
    return Serving(
        get_configuration,
        get_table,
        own_member,
        check_serve,
        upstream,
        metrics,
        now_ms,
        unix_ms,
        cancel_run or _confirm_no_cancellation,
    )


async def _confirm_no_cancellation(request_id: str) -> bool:
    return False


def handle_upstream_announced(
    serving: Serving, incarnation: str, slots: int, connections: int
) -> bool:
    """Handle an announcement; True if the upstream is a new incarnation.

    A new incarnation starts its ramp, and accepts requests even if the previous one
    was leaving or drained.
    """
    if serving.capacity is not None and incarnation == serving.incarnation:
        return False
    service = serving.get_configuration().services.get(serving.own_member().service)
    if service is None:
        return False
    handle_upstream_lost(serving)
    started_ramp = ramp.make_ramp(service.cold_start, slots, serving.now_ms())
    serving.capacity = capacity.make_capacity(started_ramp, connections)
    serving.incarnation = incarnation
    serving.leaving = False
    serving.closed = False
    serving.metrics.count("serving.ramp_started")
    return True


def handle_upstream_lost(serving: Serving) -> None:
    """Handle the loss of the upstream: refuse the requests that wait for a slot."""
    if serving.capacity is None:
        return
    tickets, serving.capacity = capacity.clear_queue(serving.capacity), None
    for ticket in tickets:
        ticket.set_result(NotRun(Reason.STARTING, "the upstream is gone"))


def handle_state_change(serving: Serving) -> None:
    """Recheck parked requests after a change of lease, table or configuration."""
    for ticket in parked_requests.pop_all(serving.parking):
        if not ticket.done():
            ticket.set_result(None)


def mark_leaving(serving: Serving) -> None:
    """Refuse new requests without a key from now on.

    Requests with a key are accepted until their shards have moved away.
    """
    serving.leaving = True


async def serve(serving: Serving, forward: Forward) -> Answered:
    """Serve a forwarded request.

    Raises
    ------
    asyncio.CancelledError
        If the task that waits for the answer is cancelled; the run is cancelled
        too, unless another request waits for it.
    """
    now_ms = serving.now_ms()
    deadline_ms = now_ms + forward.request.deadline_ms
    request = forward.request._replace(deadline_ms=deadline_ms)
    refused = _check_forward(serving, forward, request)
    if refused is not None:
        return serving_runs.refuse_and_cache(serving, forward, refused)
    idempotency_id = serving_runs.make_idempotency_id(request)
    fingerprint = serving_runs.compute_fingerprint(request) if idempotency_id else 0
    cached = serving_runs.find_cached_answer(
        serving, forward, request, idempotency_id, fingerprint, now_ms
    )
    if cached is not None:
        serving.metrics.count("serving.repeated")
        return cached
    run = serving_runs.find_run(serving, request, idempotency_id)
    if run is None and serving.closed:
        return serving_runs.refuse_and_cache(serving, forward, _DRAINED)
    if run is None and idempotency_id is None:
        return await serving_runs.run_in_caller_task(serving, request, forward.attempt)
    if run is None:
        run = serving_runs.start_run(
            serving, request, forward.attempt, idempotency_id, fingerprint
        )
    elif run.fingerprint != fingerprint:
        return serving_runs.refuse(request, serving_runs.IDEMPOTENCY_KEY_REUSED)
    return await serving_runs.wait_for_answer(serving, run, request.request_id)


def cancel(serving: Serving, request_id: str) -> None:
    """Cancel a forwarded request whose caller has disconnected.

    `serve` then returns an error answer, which is discarded.
    """
    run = serving.running.get(request_id)
    if run is not None:
        serving_runs.cancel_request(run, request_id)


async def drain_shards(serving: Serving, domain: str, shards: Iterable[int]) -> None:
    """Wait until the upstream runs no request for a key of the given shards.

    The lease holder must refuse these shards before this is called.
    """
    drained_shards = frozenset(shards)

    def is_drained(key_hash: int) -> bool:
        table = serving.get_table(domain)
        return table is None or tables.find_shard(table, key_hash) in drained_shards

    for run_key in in_flight_runs.list_keys(serving.runs, domain, is_drained):
        await _drain_key(serving, run_key)


async def drain(serving: Serving) -> None:
    """Refuse all new requests, and wait until those accepted before have ended.

    Requests that wait for a slot or for a lease were accepted too.
    """
    serving.closed = True
    while serving.running:
        await _wait_for_ended_run(serving)
    while serving.runs.uncertain_until_ms:
        for run_key in list(serving.runs.uncertain_until_ms):
            await _drain_key(serving, run_key)


async def _drain_key(serving: Serving, run_key: RunKey) -> None:
    while True:
        if run_key in serving.runs.counts:
            await _wait_for_ended_run(serving)
            continue
        wait_ms = in_flight_runs.compute_wait_ms(
            serving.runs, run_key, serving.now_ms()
        )
        if wait_ms == 0:
            return
        await asyncio.sleep(wait_ms / 1000)


async def _wait_for_ended_run(serving: Serving) -> None:
    waiter = asyncio.get_running_loop().create_future()
    serving.drain_waiters.append(waiter)
    await waiter


def compute_load(serving: Serving, domain: str, leaving: bool) -> MemberLoad:
    """Return the load that this member reports to the coordinator of a domain."""
    now_ms = serving.now_ms()
    upstream_capacity = serving.capacity
    rates = request_rates.Rates({}, {})
    if domain in serving.rate_counters:
        rates = request_rates.read_rates(serving.rate_counters[domain], now_ms)
    return MemberLoad(
        upstream_ready=upstream_capacity is not None and not serving.leaving,
        leaving=leaving,
        in_flight=upstream_capacity.in_flight if upstream_capacity else 0,
        limit=capacity.compute_concurrency_limit(upstream_capacity, now_ms)
        if upstream_capacity
        else 0,
        latency_us=int(upstream_capacity.limit.latency_ms * 1_000)
        if upstream_capacity
        else 0,
        shard_rates=rates.shards,
        hot_keys=rates.keys,
    )


def _check_forward(
    serving: Serving, forward: Forward, request: Request
) -> NotRun | None:
    configuration = serving.get_configuration()
    refused = request_validation.check_request(
        configuration, request, serving.own_member().region
    )
    if refused is not None:
        return _make_retryable(configuration, forward, refused)
    if forward.hops > HOPS_MAX:
        return NotRun(Reason.NO_OWNER, f"{forward.hops} hops")
    if request.service != serving.own_member().service:
        return NotRun(Reason.NO_UPSTREAM, "another service's upstream")
    if not request.key and serving.leaving:
        return NotRun(Reason.SHUTTING_DOWN, "the upstream is leaving")
    if not request.key and (
        serving.own_member().data_centre in configuration.data_centres_out
    ):
        return NotRun(Reason.SHUTTING_DOWN, "the data centre is out of service")
    return None


def _make_retryable(
    configuration: Configuration, forward: Forward, refused: NotRun
) -> NotRun:
    """Make a refusal retryable if the sender has a newer configuration."""
    if forward.configuration_revision <= configuration.revision:
        return refused
    if refused.reason not in (Reason.UNKNOWN_SERVICE, Reason.UNKNOWN_TENANT):
        return refused
    return NotRun(Reason.STARTING, "configuration not received yet")

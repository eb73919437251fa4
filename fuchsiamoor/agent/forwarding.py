"""Forwards a request to the daemon beside the target instance, or runs it locally."""

import asyncio

from fuchsiamoor.agent import local_execution, registrations, state, transfers
from fuchsiamoor.agent.attempts import Deadlines
from fuchsiamoor.core import errors, http_status, members, messages
from fuchsiamoor.core.carried import CarriedAnswer, CarriedRequest, Load
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.traffic import catalog, instance_selection, requests

# Time reserved for the outcome's way back from another daemon, in the same region and
# from another one.
RETURN_MS = 20
REGION_RETURN_MS = 40
# Calls by upstreams precede all other requests: a request that already runs waits for
# them.
CALL_RANK = -1
# Placeholder where the target has reported no load.
UNKNOWN_LOAD = Load(0, 0, 1, 100, 0, True)
_FAILURE_STATUSES = (500, 502, 503)


async def forward(
    agent: state.Agent,
    request: requests.CallerRequest,
    route: catalog.Route,
    service: str,
    target: registrations.Registration,
    deadlines: Deadlines,
    arrivals: int,
    organisation: str,
    is_copy: bool = False,
) -> CarriedAnswer:
    """Send a request to the daemon beside an instance, or run it locally.

    ``arrivals`` is the number of earlier attempts that reached an upstream, and
    ``organisation`` the name on whose behalf the caller sent it; ``is_copy`` tells
    whether an earlier attempt may be running.
    """
    now_ms = agent.now_ms()
    carried = CarriedRequest(
        request_id=request.request_id,
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        body_ahead_bytes=0,
        key=request.key,
        service=service,
        caller_service=agent.settings.service,
        route=route.name,
        rank=CALL_RANK if request.is_nested else route.rank,
        is_idempotent=route.is_idempotent,
        is_repeat=arrivals > 0,
        home_regions=tuple(sorted(route.home_regions)),
        remaining_ms=deadlines.answer_by_ms - now_ms,
        in_time_ms=deadlines.in_time_by_ms - now_ms,
        catalog_version=agent.cache.catalog.version,
        sent_ms=now_ms,
        organisation=organisation,
        is_copy=is_copy,
    )
    instance_selection.record_sent(agent.selection_stats, target.instance)
    try:
        if target.instance == agent.settings.instance:
            outcome = await local_execution.execute(agent, carried)
        else:
            outcome = await _forward_to_peer(agent, target, carried)
    finally:
        instance_selection.record_ended(agent.selection_stats, target.instance)
    _record_outcome(agent, target, route, outcome)
    return outcome


async def _forward_to_peer(
    agent: state.Agent, target: registrations.Registration, carried: CarriedRequest
) -> CarriedAnswer:
    """Send a request to another daemon and wait for its outcome."""
    member = registrations.make_peer(target)
    timeout_ms = carried.remaining_ms
    is_far = target.region != agent.settings.region
    return_ms = REGION_RETURN_MS if is_far else RETURN_MS
    if timeout_ms < 2 * return_ms:
        # It would arrive after its deadline there, and the refusal after the time at
        # which this daemon must answer that it may have run.
        agent.metrics.count("peers.too_late_to_send")
        refusal = NotRun(Reason.DEADLINE_PASSED, "too little time to send it")
        return _make_failure(refusal, False)
    carried = carried._replace(remaining_ms=max(timeout_ms - return_ms, 1))
    if len(carried.body) >= transfers.LARGE_BODY_BYTES:
        refused = await _send_body_ahead(agent, member, carried)
        if refused is not None:
            return refused
        waited_ms = agent.now_ms() - carried.sent_ms
        timeout_ms = max(timeout_ms - waited_ms, 1)
        carried = carried._replace(
            body=b"",
            body_ahead_bytes=len(carried.body),
            remaining_ms=max(carried.remaining_ms - waited_ms, 1),
            in_time_ms=carried.in_time_ms - waited_ms,
            sent_ms=agent.now_ms(),
        )
    try:
        answer = await agent.links.call(member, carried, timeout_ms)
    except errors.PeerUnreachableError as error:
        agent.metrics.count("peers.unreachable")
        return _make_failure(NotRun(Reason.CONNECT_FAILED, str(error)), False)
    except errors.PeerError as error:
        agent.metrics.count("peers.lost")
        agent.links.tell(member, messages.Cancel(carried.request_id))
        return _make_failure(MayHaveRun(Reason.LINK_LOST, str(error)), True)
    except asyncio.CancelledError:
        agent.links.tell(member, messages.Cancel(carried.request_id))
        raise
    return _check_answer(agent, answer)


def _check_answer(agent: state.Agent, answer: messages.Message) -> CarriedAnswer:
    """Return what a daemon answered to a request, if it can be an answer to one."""
    match answer:
        case CarriedAnswer(verdict=Ran(), status=status):
            if http_status.is_final(status):
                return answer
            detail = f"an answer with status {status}"
        case CarriedAnswer():
            return answer
        case _:
            detail = f"answered with {type(answer).__name__}"
    agent.metrics.count("peers.no_answers")
    return _make_failure(MayHaveRun(Reason.TRUNCATED, detail), True)


async def _send_body_ahead(
    agent: state.Agent, member: members.Member, carried: CarriedRequest
) -> CarriedAnswer | None:
    """Send a large body once it is granted; return the refusal if it may not be sent.

    The request has not run then: it is only sent after its body.
    """
    asked = messages.AskTransfer(carried._replace(body=b""), len(carried.body))
    try:
        answer = await agent.links.call(member, asked, carried.remaining_ms)
        if isinstance(answer, messages.TransferGranted):
            await _send_parts(agent, member, carried)
    except errors.PeerUnreachableError as error:
        agent.metrics.count("peers.unreachable")
        return _make_failure(NotRun(Reason.CONNECT_FAILED, str(error)), False)
    except errors.PeerError as error:
        agent.metrics.count("transfers.unanswered")
        agent.links.tell(member, messages.Cancel(carried.request_id))
        refusal = NotRun(Reason.OVER_LIMIT, f"the body was not granted: {error}")
        return _make_failure(refusal, False)
    except asyncio.CancelledError:
        agent.links.tell(member, messages.Cancel(carried.request_id))
        raise
    match answer:
        case messages.TransferGranted():
            return None
        case CarriedAnswer(verdict=NotRun()):
            return answer
    return _make_failure(NotRun(Reason.OVER_LIMIT, "the body was not granted"), False)


async def _send_parts(
    agent: state.Agent, member: members.Member, carried: CarriedRequest
) -> None:
    """Send a body in parts, a few at a time.

    Raises
    ------
    PeerError
        If a part does not arrive, or the receiver has given the body up.
    """
    body, ends_by_ms = carried.body, carried.sent_ms + carried.remaining_ms
    offsets = iter(range(0, len(body), transfers.PART_BYTES))

    async def send_next() -> None:
        for offset_bytes in offsets:
            content = body[offset_bytes : offset_bytes + transfers.PART_BYTES]
            part = messages.BodyPart(carried.request_id, offset_bytes, content)
            left_ms = max(ends_by_ms - agent.now_ms(), 1)
            answer = await agent.links.call(member, part, left_ms)
            if not isinstance(answer, messages.TransferGranted):
                raise errors.PeerUnreachableError(
                    f"{member.member_id}: the body was given up"
                )

    senders = [asyncio.create_task(send_next()) for _ in range(transfers.PARTS_MAX)]
    try:
        await asyncio.gather(*senders)
    finally:
        for sender in senders:
            sender.cancel()


def _make_failure(verdict: NotRun | MayHaveRun, has_arrived: bool) -> CarriedAnswer:
    return CarriedAnswer(verdict, 0, (), b"", has_arrived, 0, False, 0, UNKNOWN_LOAD, 0)


def _record_outcome(
    agent: state.Agent,
    target: registrations.Registration,
    route: catalog.Route,
    outcome: CarriedAnswer,
) -> None:
    """Update the view of an instance from the outcome of a request sent to it."""
    views, now_ms = agent.selection_stats, agent.now_ms()
    if outcome.load is not UNKNOWN_LOAD:
        instance_selection.update_load(views, target.instance, outcome.load, now_ms)
    state.note_catalog_version(agent, outcome.catalog_version)
    match outcome.verdict:
        case Ran() if outcome.status < 300:
            instance_selection.record_run(
                views, target.instance, route.name, outcome.run_ms, len(outcome.body)
            )
        case Ran() if outcome.status in _FAILURE_STATUSES:
            instance_selection.record_failure(views, target.instance, now_ms)
        case MayHaveRun():
            instance_selection.record_failure(views, target.instance, now_ms)
        case NotRun(Reason.DEADLINE_PASSED) if outcome.load is UNKNOWN_LOAD:
            # It was not sent, which tells nothing of the instance.
            return
        case NotRun(Reason.CONNECT_FAILED):
            instance_selection.record_refusal(views, target.instance, now_ms)
        case NotRun() if not state.is_keyed(agent, target.service):
            instance_selection.record_refusal(views, target.instance, now_ms)

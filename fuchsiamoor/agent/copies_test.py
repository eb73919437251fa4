"""Second copies of slow requests: when they are sent, and which outcome counts."""

import asyncio

import pytest

from fuchsiamoor.agent import caller_requests, local_execution, transfers
from fuchsiamoor.core import messages
from fuchsiamoor.core.carried import CarriedRequest
from fuchsiamoor.core.verdicts import NotRun, Ran, Reason
from fuchsiamoor.testing import (
    copies_data,
    organisations_data,
    traffic_data,
    virtual_time,
)
from fuchsiamoor.testing.caller_requests_data import (
    FULL,
    LOST,
    OPEN,
    RAN,
    make_outcome,
    make_request,
)
from fuchsiamoor.traffic import admission, organisations

WARM_UP_REQUESTS = 40


def _count(agent, name):
    return agent.metrics.registry.get_sample_value(
        "fuchsiamoor_events_total", {"event": name}
    )


def _play(slow_for_requests=20, **settings):
    """Return the daemon, its instances, and latencies while one of them is slow."""

    async def play():
        agent, instances = await copies_data.start_warm(WARM_UP_REQUESTS, **settings)
        instances.slow = {"10.0.0.2"}
        latencies = await copies_data.measure(agent, slow_for_requests)
        return agent, instances, latencies

    return virtual_time.run(play())


def test_a_straggler_delays_no_answer_by_its_whole_run():
    _, _, without = _play(copies_share=0.0)
    agent, instances, latencies = _play()
    assert max(without) >= copies_data.SLOW_MS
    assert max(latencies) < copies_data.SLOW_MS / 2
    assert set(instances.cancelled) == {"10.0.0.2"}
    assert _count(agent, "copies.won") == len(instances.cancelled)


def test_a_copy_is_a_repeat_and_its_cancellation_is_told():
    agent, instances, _ = _play()
    copies = [message for _, message in agent.links.calls if message.is_copy]
    assert copies and all(copy.is_repeat for copy in copies)
    assert len(agent.links.sent) == len(instances.cancelled)


def test_copies_stay_within_the_share_of_requests():
    share = 0.05

    async def play():
        agent, instances = await copies_data.start_warm(
            WARM_UP_REQUESTS, copies_share=share
        )
        instances.slow = {f"10.0.0.{n}" for n in range(2, 6)}
        await copies_data.measure(agent, 200)
        return agent

    agent = virtual_time.run(play())
    copies = [message for _, message in agent.links.calls if message.is_copy]
    assert copies
    assert len(copies) <= share * (WARM_UP_REQUESTS + 200) + 2


def test_requests_that_may_not_be_repeated_are_never_copied():
    agent, _, _ = _play(is_idempotent=False)
    assert not any(message.is_copy for _, message in agent.links.calls)


def test_an_organisation_with_a_quota_gets_no_copies():
    async def play():
        instances = copies_data.UnevenInstances()
        agent = copies_data.make_agent(instances)
        quota = organisations.Quota(rate_per_s=1_000, burst=1_000)
        limited = organisations_data.make_organisation(quota=quota)
        known = organisations.make_organisations([limited])
        agent.cache.catalog = agent.cache.catalog._replace(organisations=known)
        agent.source_heard_ms = agent.now_ms()
        key = organisations_data.KEY
        await copies_data.measure(agent, WARM_UP_REQUESTS, secret=key)
        instances.slow = {"10.0.0.2"}
        await copies_data.measure(agent, 10, secret=key)
        return agent

    agent = virtual_time.run(play())
    sent = [message for _, message in agent.links.calls]
    carried = [message for message in sent if isinstance(message, CarriedRequest)]
    assert len(carried) == WARM_UP_REQUESTS + 10


def test_a_route_with_one_attempt_gets_no_copies():
    agent, _, _ = _play(attempts_max=1)
    assert not any(message.is_copy for _, message in agent.links.calls)


def test_copies_leave_half_of_the_retries_to_failed_requests():
    async def play():
        agent, instances = await copies_data.start_warm(WARM_UP_REQUESTS)
        instances.slow = {"10.0.0.2"}
        budget = agent.retry_budgets[traffic_data.PLAIN_SERVICE]
        budget.tokens = budget.tokens_max * 0.4
        await copies_data.measure(agent, 10)
        return agent

    agent = virtual_time.run(play())
    assert not any(message.is_copy for _, message in agent.links.calls)
    assert _count(agent, "copies.skipped.over-limit")


def test_a_service_that_refuses_requests_gets_no_copies():
    async def play():
        agent, instances = await copies_data.start_warm(WARM_UP_REQUESTS)

        async def refuse_every_third(instance, message):
            if instance == "10.0.0.3":
                return FULL
            await asyncio.sleep(copies_data.SLOW_MS / 1000)
            return RAN

        agent.links.script = refuse_every_third
        await copies_data.measure(agent, 10)
        return agent

    agent = virtual_time.run(play())
    assert _count(agent, "copies.skipped.short-of-room")


def test_a_crowded_instance_gets_no_copy():
    async def play():
        agent, instances = await copies_data.start_warm(WARM_UP_REQUESTS, instances=2)
        instances.slow = {"10.0.0.2", "10.0.0.3"}
        for instance in instances.slow:
            agent.links.loads[instance] = OPEN._replace(running=15)
        for stats in agent.selection_stats.by_instance.values():
            stats.load = OPEN._replace(running=15)
        await copies_data.measure(agent, 1)
        return agent

    agent = virtual_time.run(play())
    assert not any(message.is_copy for _, message in agent.links.calls)


def test_without_a_success_an_outcome_that_may_have_run_goes_before_a_refusal():
    async def play():
        agent, instances = await copies_data.start_warm(WARM_UP_REQUESTS)

        async def fail(instance, message):
            await asyncio.sleep(0.3)
            return FULL if message.is_copy else LOST

        agent.links.script = fail
        answer = await caller_requests.handle(agent, make_request())
        return agent, answer

    agent, answer = virtual_time.run(play())
    assert any(message.is_copy for _, message in agent.links.calls)
    assert answer.status in (502, 504)


def test_a_copy_that_was_refused_costs_no_attempt_and_no_token():
    async def play():
        agent, instances = await copies_data.start_warm(WARM_UP_REQUESTS)
        tokens = agent.hedging.budgets[traffic_data.PLAIN_SERVICE].tokens

        async def refuse_copies(instance, message):
            if message.is_copy:
                refusal = NotRun(Reason.OVER_LIMIT)
                return make_outcome(refusal, has_arrived=False)
            await asyncio.sleep(copies_data.SLOW_MS / 1000)
            return RAN

        agent.links.script = refuse_copies
        await copies_data.measure(agent, 1)
        return agent, tokens

    agent, tokens = virtual_time.run(play())
    assert any(message.is_copy for _, message in agent.links.calls)
    assert agent.hedging.budgets[traffic_data.PLAIN_SERVICE].tokens >= tokens


def test_the_daemon_beside_the_upstream_queues_no_copy():
    async def play():
        agent = copies_data.make_agent(copies_data.UnevenInstances())
        queue = admission.make_admission_queue(4, 0.0, 0)
        agent.upstream.admission_queue = queue
        agent.upstream.service = traffic_data.PLAIN_SERVICE
        queue.running = 3
        return local_execution.check_room_for_copy(agent, 0)

    assert virtual_time.run(play()).reason is Reason.OVER_LIMIT


async def _warm_up(seed=1, **settings):
    agent = copies_data.make_agent(copies_data.UnevenInstances(), **settings)
    agent.rng.seed(seed)
    await copies_data.measure(agent, WARM_UP_REQUESTS)
    agent.links.calls.clear()
    return agent


async def _handle_with_script(script, seed=1, **settings):
    """Return the daemon and an answer, of instances that follow a script."""
    agent = await _warm_up(seed, **settings)
    agent.links.script = script
    return agent, await caller_requests.handle(agent, make_request())


def _list_carried(agent):
    calls = agent.links.calls
    return [call for call in calls if isinstance(call[1], CarriedRequest)]


@pytest.mark.parametrize("seed", range(8))
def test_no_retry_goes_to_an_instance_that_had_a_copy(seed):
    async def fail(instance, message):
        await asyncio.sleep(0.2)
        return LOST

    agent, _ = virtual_time.run(
        _handle_with_script(fail, seed, instances=3, attempts_max=3)
    )
    targets = [instance for instance, _ in _list_carried(agent)]
    assert len(targets) == len(set(targets)) == 3


def test_a_refusal_that_reached_an_upstream_is_counted_beside_a_refused_copy():
    shed = make_outcome(NotRun(Reason.SHED))

    async def refuse(instance, message):
        if message.is_copy:
            await asyncio.sleep(0.1)
            return FULL
        await asyncio.sleep(0.25)
        return shed

    agent, answer = virtual_time.run(_handle_with_script(refuse, attempts_max=2))
    firsts = [message for _, message in _list_carried(agent) if not message.is_copy]
    assert len(firsts) == 2
    assert [message.is_repeat for message in firsts] == [False, True]
    assert answer.status == 503


def test_a_sending_that_raises_does_not_hide_the_answer_of_the_other():
    async def answer_copies(instance, message):
        await asyncio.sleep(0.2)
        if message.is_copy:
            return RAN
        raise ValueError("not a member")

    _, answer = virtual_time.run(_handle_with_script(answer_copies))
    assert answer.status == 200


def test_a_request_is_not_told_as_not_run_after_a_run_that_failed_beside_a_lost_one():
    failed = make_outcome(Ran(), 500)

    async def fail(instance, message):
        if message.is_copy:
            await asyncio.sleep(0.3)
            return LOST
        if message.is_repeat:
            return FULL
        await asyncio.sleep(0.2)
        return failed

    _, answer = virtual_time.run(_handle_with_script(fail, attempts_max=3))
    assert answer.status in (502, 504)


def test_a_daemon_that_began_to_stop_sends_no_copy():
    async def play():
        agent = await _warm_up()
        agent.links.script = instances = copies_data.UnevenInstances()
        instances.slow = {f"10.0.0.{n}" for n in range(2, 6)}
        handling = asyncio.create_task(caller_requests.handle(agent, make_request()))
        await asyncio.sleep(0.05)
        agent.stopping_since_ms = agent.now_ms()
        await handling
        return agent

    assert len(_list_carried(virtual_time.run(play()))) == 1


def test_a_caller_who_leaves_cancels_both_copies():
    async def play():
        agent = await _warm_up()
        agent.links.script = instances = copies_data.UnevenInstances()
        instances.slow = {f"10.0.0.{n}" for n in range(2, 6)}
        handling = asyncio.create_task(caller_requests.handle(agent, make_request()))
        await asyncio.sleep(0.4)
        handling.cancel()
        await asyncio.wait([handling])
        await asyncio.sleep(0)
        return agent, instances

    agent, instances = virtual_time.run(play())
    assert len(instances.cancelled) == len(agent.links.sent) == 2


def test_a_stopping_daemon_cancels_both_copies_and_promises_nothing():
    async def play():
        agent = await _warm_up()
        agent.links.script = instances = copies_data.UnevenInstances()
        instances.slow = {f"10.0.0.{n}" for n in range(2, 6)}
        handling = asyncio.create_task(caller_requests.handle(agent, make_request()))
        await asyncio.sleep(0.4)
        caller_requests.cancel_all(agent)
        return await handling, instances

    answer, instances = virtual_time.run(play())
    assert answer.status == 504
    assert len(instances.cancelled) == 2


def test_only_first_sendings_earn_copies():
    async def refuse(instance, message):
        return FULL

    async def play():
        agent = await _warm_up()
        budget = agent.hedging.budgets[traffic_data.PLAIN_SERVICE]
        budget.tokens = 0.0
        agent.links.script = refuse
        await caller_requests.handle(agent, make_request())
        return agent, budget

    agent, budget = virtual_time.run(play())
    assert len(_list_carried(agent)) > 1
    assert budget.tokens == agent.settings.copies_share


def test_an_answer_does_not_wait_for_the_load_of_another_instance():
    async def play():
        agent = await _warm_up()
        agent.links.silent = {f"10.0.0.{n}" for n in range(2, 6)}
        window = next(iter(agent.hedging.latencies.values()))
        run_ms = window.hedge_delay_ms + 5

        async def answer_late(instance, message):
            for stats in agent.selection_stats.by_instance.values():
                stats.load, stats.reported_ms = None, -100_000
            await asyncio.sleep(run_ms / 1000)
            return RAN

        agent.links.script = answer_late
        for stats in agent.selection_stats.by_instance.values():
            stats.sent_since_report = 0
            stats.reported_ms = agent.now_ms()
        began_ms = agent.now_ms()
        await caller_requests.handle(agent, make_request())
        return agent.now_ms() - began_ms - run_ms

    assert virtual_time.run(play()) <= 10


def test_a_copy_does_not_wait_for_the_rate_of_a_cold_upstream():
    async def play():
        agent = copies_data.make_agent(copies_data.UnevenInstances())
        queue = admission.make_admission_queue(4, 1.0, agent.now_ms() + 60_000)
        agent.upstream.admission_queue = queue
        agent.upstream.service = traffic_data.PLAIN_SERVICE
        request = admission.AdmissionRequest("a", "r", 0, 10_000, 10_000)
        assert admission.admit(queue, request, agent.now_ms()) == admission.Admitted()
        return local_execution.check_room_for_copy(agent, 0)

    assert virtual_time.run(play()).reason is Reason.OVER_LIMIT


def test_an_instance_that_refused_does_not_count_as_overtaken():
    async def refuse_late(instance, message):
        await asyncio.sleep(0.2)
        return RAN if message.is_copy else FULL

    agent, answer = virtual_time.run(_handle_with_script(refuse_late))
    (first, _), _ = _list_carried(agent)
    assert answer.status == 200
    assert agent.selection_stats.by_instance[first].failures == 0


def test_a_request_whose_body_needs_a_grant_gets_no_copy():
    async def take_bodies(instance, message):
        if not isinstance(message, CarriedRequest):
            return messages.TransferGranted()
        await asyncio.sleep(copies_data.SLOW_MS / 2000)
        return RAN

    async def play(size_bytes):
        agent = await _warm_up()
        agent.links.script = take_bodies
        request = make_request()._replace(body=bytes(size_bytes))
        answer = await caller_requests.handle(agent, request)
        assert answer.status == 200
        return len(_list_carried(agent))

    assert virtual_time.run(play(transfers.LARGE_BODY_BYTES)) == 1
    assert virtual_time.run(play(transfers.LARGE_BODY_BYTES - 1)) == 2


def test_of_two_refusals_that_of_the_first_sending_counts():
    passed = make_outcome(NotRun(Reason.DEADLINE_PASSED), has_arrived=False)

    async def refuse(instance, message):
        await asyncio.sleep(0.02 if message.is_copy else 0.25)
        return FULL if message.is_copy else passed

    agent, answer = virtual_time.run(_handle_with_script(refuse, attempts_max=3))
    assert answer.status == 503
    assert [message.is_copy for _, message in _list_carried(agent)] == [False, True]

"""Load: steady requests, and one of the instances turns slow for a while."""

import asyncio

from fuchsiamoor.agent import caller_requests, local_execution
from fuchsiamoor.core.carried import CarriedRequest
from fuchsiamoor.core.verdicts import NotRun, Reason
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
        instances = copies_data.UnevenInstances()
        agent = copies_data.make_agent(instances, **settings)
        await copies_data.measure(agent, WARM_UP_REQUESTS)
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
        instances = copies_data.UnevenInstances()
        agent = copies_data.make_agent(instances, copies_share=share)
        await copies_data.measure(agent, WARM_UP_REQUESTS)
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
        instances = copies_data.UnevenInstances()
        agent = copies_data.make_agent(instances)
        await copies_data.measure(agent, WARM_UP_REQUESTS)
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
        instances = copies_data.UnevenInstances()
        agent = copies_data.make_agent(instances)
        await copies_data.measure(agent, WARM_UP_REQUESTS)

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
        instances = copies_data.UnevenInstances()
        agent = copies_data.make_agent(instances, instances=2)
        await copies_data.measure(agent, WARM_UP_REQUESTS)
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
        instances = copies_data.UnevenInstances()
        agent = copies_data.make_agent(instances)
        await copies_data.measure(agent, WARM_UP_REQUESTS)

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
        instances = copies_data.UnevenInstances()
        agent = copies_data.make_agent(instances)
        await copies_data.measure(agent, WARM_UP_REQUESTS)
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

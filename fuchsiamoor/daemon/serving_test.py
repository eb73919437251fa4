"""The serving side alone: leases, limits, ramps, deduplication and drains."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core import keys
from fuchsiamoor.core.configuration import ColdStart, Limits
from fuchsiamoor.core.messages import Answered, Forward
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.daemon import run_completion, serving, serving_runs
from fuchsiamoor.ownership.lease_holder import MayServe, NotOwner, Wait
from fuchsiamoor.testing import requests_data, virtual_time
from fuchsiamoor.testing.requests_data import DOMAIN, make_request
from fuchsiamoor.testing.scripted_upstream import ScriptedUpstream


class ServingFixture:
    """A serving side whose ownership and upstream the test controls."""

    def __init__(self, service=None, member=None, is_warm=True):
        self.permission = MayServe(1, 10_000)
        self.confirms_cancellation = True
        self.configuration = requests_data.make_configuration(service)
        self.table = requests_data.make_table()
        self.upstream = ScriptedUpstream()
        self.member = member or requests_data.make_member()
        self.serving = serving.make_serving(
            get_configuration=lambda: self.configuration,
            get_table=lambda domain: self.table,
            own_member=lambda: self.member,
            check_serve=lambda domain, shard: self.permission,
            upstream=self.upstream,
            metrics=self.upstream,
            now_ms=virtual_time.now_ms,
            unix_ms=virtual_time.now_ms,
            cancel_run=self.cancel_run,
        )
        if is_warm:
            self.announce("first")
            ramp = self.serving.capacity.ramp._replace(started_ms=-1_000_000)
            self.serving.capacity.ramp = ramp

    async def cancel_run(self, request_id):
        return self.confirms_cancellation and await self.upstream.cancel(request_id)

    def announce(self, incarnation):
        slots = self.member.slots
        serving.handle_upstream_announced(self.serving, incarnation, slots, 130)

    def start(self, request_id, attempt=1, in_ms=1_000, **changes):
        request = make_request(request_id, deadline_ms=in_ms, **changes)
        domain = DOMAIN if request.key else ""
        forward = Forward(request, domain, 1, attempt, 1, 1)
        return asyncio.ensure_future(serving.serve(self.serving, forward))


def verdict_of(task: asyncio.Task[Answered]):
    return task.result().answer.verdict


async def advance_ms(time_ms):
    await asyncio.sleep(time_ms / 1_000)


def test_lease_is_checked_again_after_the_queue():
    async def main():
        fixture = ServingFixture(member=requests_data.make_member(slots=1))
        fixture.upstream.run_ms = 100
        first, second = fixture.start("r1"), fixture.start("r2")
        await advance_ms(50)
        fixture.permission = Wait("lease has lapsed")
        await advance_ms(100)
        assert verdict_of(first) == Ran()
        assert fixture.upstream.started == ["r1"]
        fixture.permission = NotOwner("b#1")
        serving.handle_state_change(fixture.serving)
        answered = await second
        assert answered.answer.verdict.reason is Reason.NOT_OWNER
        assert answered.owner_hint == "b#1"
        assert fixture.upstream.started == ["r1"]
        assert fixture.serving.capacity.in_flight == 0

    virtual_time.run(main())


def test_no_request_is_sent_under_a_lapsed_lease():
    async def main():
        fixture = ServingFixture()
        fixture.permission = MayServe(1, 0)
        task = fixture.start("r1", in_ms=200)
        await task
        assert verdict_of(task).reason is Reason.DEADLINE_PASSED
        assert fixture.upstream.started == []

    virtual_time.run(main())


def test_queue_and_parking_are_bounded():
    async def main():
        service = requests_data.make_service(limits=Limits(100, 2, 3))
        fixture = ServingFixture(service, requests_data.make_member(slots=1))
        fixture.upstream.run_ms = 400
        tasks = [fixture.start(f"r{index}") for index in range(5)]
        await advance_ms(1)
        refused = [task for task in tasks if task.done()]
        assert [verdict_of(task).reason for task in refused] == [Reason.OVER_LIMIT] * 2
        fixture.permission = Wait("moving")
        parked = [fixture.start(f"p{index}") for index in range(5)]
        await advance_ms(1)
        refused = [task for task in parked if task.done()]
        assert [verdict_of(task).reason for task in refused] == [Reason.OVER_LIMIT] * 2
        await asyncio.wait(tasks + parked)
        assert fixture.serving.parking.count == 0
        assert fixture.serving.parking.size_bytes == 0

    virtual_time.run(main())


def test_body_over_the_limit_is_refused():
    async def main():
        fixture = ServingFixture()
        task = fixture.start("r1", body=b"x" * 1_001)
        await task
        assert verdict_of(task).reason is Reason.BODY_TOO_LARGE

    virtual_time.run(main())


def test_request_of_another_region_is_refused():
    async def main():
        fixture = ServingFixture(member=requests_data.make_member("d", "west-1"))
        task = fixture.start("r1")
        await task
        assert verdict_of(task).reason is Reason.OUTSIDE_HOME_REGIONS
        assert fixture.upstream.started == []

    virtual_time.run(main())


def test_queued_requests_are_refused_when_the_upstream_is_lost():
    async def main():
        fixture = ServingFixture(member=requests_data.make_member(slots=1))
        fixture.upstream.run_ms = 100
        first, second = fixture.start("r1"), fixture.start("r2")
        await advance_ms(10)
        serving.handle_upstream_lost(fixture.serving)
        await asyncio.wait([first, second])
        assert verdict_of(first) == Ran()
        assert verdict_of(second).reason is Reason.STARTING
        fixture.announce("second")
        assert fixture.serving.capacity.in_flight == 0

    virtual_time.run(main())


def test_retries_with_an_idempotency_key_run_once():
    async def main():
        fixture = ServingFixture()
        fixture.upstream.run_ms = 50
        same_request = {"idempotency_key": "once", "path": "/book"}
        first = fixture.start("r1", **same_request)
        await advance_ms(10)
        waiting = fixture.start("r2", **same_request)
        other = fixture.start("r3", idempotency_key="once", path="/other")
        await asyncio.wait([first, waiting, other])
        later = fixture.start("r4", **same_request)
        await later
        assert fixture.upstream.started == ["r1"]
        assert verdict_of(other).reason is Reason.BAD_REQUEST
        for request_id, task in (("r1", first), ("r2", waiting), ("r4", later)):
            assert task.result().answer.request_id == request_id
            assert task.result().answer.body == b"r1 /book"

    virtual_time.run(main())


def test_duplicates_of_an_in_flight_request_run_once():
    async def main():
        fixture = ServingFixture()
        fixture.upstream.run_ms = 50
        for key in ("", "chair-1"):
            request_fields = {"key": key, "idempotency_key": "once"}
            tasks = [fixture.start(f"r{key}", **request_fields) for _ in range(3)]
            await asyncio.wait(tasks)
            assert [verdict_of(task) for task in tasks] == [Ran()] * 3
            tasks = [fixture.start(f"s{key}", key=key) for _ in range(3)]
            await asyncio.wait(tasks)
            assert [verdict_of(task) for task in tasks] == [Ran()] * 3
        assert fixture.upstream.started == ["r", "s", "rchair-1", "schair-1"]

    virtual_time.run(main())


def test_waiters_for_one_run_are_bounded():
    async def main():
        fixture = ServingFixture()
        tasks = [
            fixture.start(f"r{index}", idempotency_key="once") for index in range(60)
        ]
        await asyncio.wait(tasks)
        verdicts = [verdict_of(task) for task in tasks]
        assert fixture.upstream.started == ["r0"]
        assert verdicts.count(Ran()) == serving_runs.WAITERS_MAX
        assert not any(isinstance(verdict, NotRun) for verdict in verdicts)

    virtual_time.run(main())


def test_retry_after_an_unknown_outcome_does_not_run_again():
    async def main():
        fixture = ServingFixture()
        fixture.upstream.verdicts = [MayHaveRun(Reason.UPSTREAM_LOST)]
        first = fixture.start("r1", idempotency_key="once")
        await first
        second = fixture.start("r2", idempotency_key="once")
        await second
        assert verdict_of(second) == MayHaveRun(Reason.UPSTREAM_LOST)
        assert fixture.upstream.started == ["r1"]

    virtual_time.run(main())


def test_run_continues_while_a_retry_waits_for_it():
    async def main():
        fixture = ServingFixture()
        fixture.upstream.run_ms = 50
        first = fixture.start("r1", idempotency_key="once")
        await advance_ms(5)
        second = fixture.start("r2", idempotency_key="once")
        await advance_ms(5)
        serving.cancel(fixture.serving, "r1")
        await second
        assert verdict_of(first).reason is Reason.CANCELLED
        assert verdict_of(second) == Ran()
        assert fixture.upstream.cancelled == []

    virtual_time.run(main())


def test_cancellation_reaches_the_upstream():
    async def main():
        fixture = ServingFixture(member=requests_data.make_member(slots=1))
        fixture.upstream.run_ms = 100
        running, queued = fixture.start("r1"), fixture.start("r2")
        await advance_ms(5)
        serving.cancel(fixture.serving, "r1")
        serving.cancel(fixture.serving, "r2")
        await asyncio.wait([running, queued])
        assert verdict_of(running) == MayHaveRun(
            Reason.CANCELLED, "cancelled while it ran"
        )
        assert verdict_of(queued) == NotRun(Reason.CANCELLED, "cancelled before it ran")
        assert fixture.upstream.cancelled == ["r1"]
        await advance_ms(1)
        assert fixture.upstream.cancel_requests == ["r1"]
        assert fixture.serving.capacity.in_flight == 0

    virtual_time.run(main())


def test_pause_between_clock_reads_does_not_extend_a_lease():
    async def main():
        fixture = ServingFixture()
        paused_ms = 0

        def read_unix_ms_after_pause():
            nonlocal paused_ms
            paused_ms += 5_000
            return virtual_time.now_ms() + paused_ms

        fixture.serving.now_ms = lambda: virtual_time.now_ms() + paused_ms
        fixture.serving.unix_ms = read_unix_ms_after_pause
        fixture.permission = MayServe(1, 300)
        await fixture.start("r1", in_ms=20_000)
        assert all(until_ms <= 300 for until_ms in fixture.upstream.leases_until_ms)

    virtual_time.run(main())


def test_drain_waits_for_runs_of_unknown_outcome():
    async def main():
        member = requests_data.make_member(checks_grants=False)
        fixture = ServingFixture(member=member)
        fixture.upstream.verdicts = [MayHaveRun(Reason.UPSTREAM_LOST)]
        await fixture.start("r1", in_ms=100)
        fixture.permission = Wait("moving")
        await serving.drain_shards(fixture.serving, DOMAIN, range(8))
        longest_run_ms = fixture.configuration.services["stock"].longest_run_ms
        assert virtual_time.now_ms() == 100 + longest_run_ms

    virtual_time.run(main())


def test_drain_of_an_isolated_key_waits_for_runs_started_before_its_isolation():
    async def main():
        fixture = ServingFixture()
        running = fixture.start("r1", key="hot", in_ms=10_000)
        await advance_ms(1)
        own_shard = len(fixture.table.owners)
        hot = keys.hash_key(keys.KeyId("stock", "clinic", "hot"))
        fixture.table = fixture.table._replace(
            revision=fixture.table.revision + 1,
            owners=(*fixture.table.owners, fixture.table.owners[0]),
            epochs=(*fixture.table.epochs, fixture.table.revision + 1),
            isolated={hot: own_shard},
        )
        draining = asyncio.ensure_future(
            serving.drain_shards(fixture.serving, DOMAIN, [own_shard])
        )
        await advance_ms(1)
        assert not draining.done()
        await running
        await draining

    virtual_time.run(main())


def test_drain_ends_with_the_lease_if_the_upstream_checks_grants():
    async def main():
        fixture = ServingFixture()
        fixture.permission = MayServe(1, 300)
        fixture.upstream.verdicts = [MayHaveRun(Reason.UPSTREAM_LOST)]
        await fixture.start("r1", in_ms=100)
        await serving.drain_shards(fixture.serving, DOMAIN, range(8))
        assert virtual_time.now_ms() == 300

    virtual_time.run(main())


# A run that began after the drain had ended was cut when its upstream stopped.
def test_drain_waits_for_requests_that_wait_for_a_slot():
    async def main():
        fixture = ServingFixture(member=requests_data.make_member(slots=1))
        fixture.upstream.run_ms = 100
        tasks = [fixture.start("r1", key=""), fixture.start("r2", key="")]
        await advance_ms(1)
        serving.mark_leaving(fixture.serving)
        await serving.drain(fixture.serving)
        assert fixture.upstream.started == ["r1", "r2"]
        assert not fixture.upstream.running
        await asyncio.wait(tasks)
        assert [verdict_of(task) for task in tasks] == [Ran(), Ran()]

    virtual_time.run(main())


# Keys without a successor were served at an upstream that had been told it may stop.
def test_no_run_begins_once_a_drain_has_begun():
    async def main():
        fixture = ServingFixture()
        running = fixture.start("r1")
        await advance_ms(1)
        draining = asyncio.ensure_future(serving.drain(fixture.serving))
        await advance_ms(1)
        during = await fixture.start("r2")
        await draining
        after = await fixture.start("r3")
        assert during.answer.verdict.reason is Reason.SHUTTING_DOWN
        assert after.answer.verdict.reason is Reason.SHUTTING_DOWN
        assert fixture.upstream.started == ["r1"]
        assert verdict_of(running) == Ran()

    virtual_time.run(main())


# A duplicate must not be told that its request has not run while it does.
def test_duplicate_of_a_run_gets_its_answer_during_a_drain():
    async def main():
        fixture = ServingFixture()
        first = fixture.start("r1")
        await advance_ms(1)
        draining = asyncio.ensure_future(serving.drain(fixture.serving))
        await advance_ms(1)
        duplicate = fixture.start("r1")
        await draining
        assert await duplicate == await first
        assert fixture.upstream.started == ["r1"]

    virtual_time.run(main())


# Guards against a drain that waits for a request which has long been answered.
def test_drain_ends_after_a_run_that_retries_have_joined():
    async def main():
        fixture = ServingFixture()
        first = fixture.start("r1", idempotency_key="k")
        joined = [fixture.start(name, idempotency_key="k") for name in ("r2", "r3")]
        await advance_ms(1)
        joined[0].cancel()
        serving.cancel(fixture.serving, "r3")
        await serving.drain(fixture.serving)
        assert virtual_time.now_ms() == fixture.upstream.run_ms
        await asyncio.wait((first, *joined))
        assert verdict_of(first) == Ran()
        assert not fixture.serving.running

    virtual_time.run(main())


# An upstream that replaces a drained one must get requests again.
def test_new_incarnation_ends_a_drain_of_the_earlier_one():
    async def main():
        fixture = ServingFixture()
        await serving.drain(fixture.serving)
        fixture.announce("second")
        assert (await fixture.start("r1")).answer.verdict == Ran()

    virtual_time.run(main())


@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("request"), st.integers(1, 12)),
            st.tuples(st.just("pass"), st.integers(1, 200)),
            st.tuples(st.just("restart"), st.just(0)),
            st.tuples(st.just("cold"), st.just(0)),
        ),
        max_size=30,
    )
)
def test_cold_upstream_is_not_overloaded(steps):
    """Restarts are announced; other cold starts show only in a shed answer."""

    async def main():
        cold_start = ColdStart(initial_requests=2, ramp_ms=1_000)
        fixture = ServingFixture(
            requests_data.make_service(cold_start=cold_start),
            requests_data.make_member(slots=10),
            is_warm=False,
        )
        fixture.upstream.run_ms = 30
        fixture.upstream.set_capacity(2, 10, 1_000)
        fixture.announce("0")
        number = 0
        for index, (step, amount) in enumerate(steps):
            match step:
                case "request":
                    for _ in range(amount):
                        number += 1
                        fixture.start(f"r{number}", in_ms=500, key=f"k{number}")
                case "pass":
                    await advance_ms(amount)
                case "restart":
                    fixture.upstream.restart()
                    fixture.announce(f"{index + 1}")
                case "cold":
                    fixture.upstream.lose_warm_state()
                    fixture.upstream.verdicts.append(NotRun(Reason.SHED))
                    while fixture.upstream.verdicts:
                        await fixture.start(f"c{index}", in_ms=500, key=f"c{index}")
                        await advance_ms(1)
        await advance_ms(2_000)
        assert fixture.upstream.over_capacity == []
        assert fixture.serving.running == {}

    virtual_time.run(main())


def test_slot_of_an_earlier_incarnation_is_not_used():
    async def main():
        cold_start = ColdStart(initial_requests=1, ramp_ms=1_000)
        service = requests_data.make_service(cold_start=cold_start)
        fixture = ServingFixture(service, requests_data.make_member(slots=3))
        fixture.upstream.set_capacity(1, 3, 1_000)
        fixture.upstream.cold_since_ms = -1_000_000
        fixture.upstream.run_ms = 50
        tasks = [fixture.start(f"r{index}", key=f"k{index}") for index in range(6)]
        await advance_ms(1)
        earlier = fixture.serving.capacity
        for _ in range(3):
            run_completion.release_slot(fixture.serving, earlier)
        fixture.upstream.restart()
        fixture.announce("second")
        await asyncio.wait(tasks)
        assert fixture.upstream.over_capacity == []
        assert fixture.serving.capacity.in_flight == 0

    virtual_time.run(main())


def test_slot_stays_taken_while_a_run_may_continue():
    async def main():
        fixture = ServingFixture(member=requests_data.make_member(slots=1))
        fixture.confirms_cancellation = False
        fixture.upstream.verdicts = [MayHaveRun(Reason.DEADLINE_PASSED)]
        await fixture.start("r1")
        second = fixture.start("r2")
        await advance_ms(100)
        assert fixture.upstream.started == ["r1"]
        await second
        longest_run_ms = fixture.configuration.services["stock"].longest_run_ms
        assert virtual_time.now_ms() >= longest_run_ms

    virtual_time.run(main())


def test_upstream_accepts_requests_again_after_leaving_and_restarting():
    async def main():
        fixture = ServingFixture()
        serving.mark_leaving(fixture.serving)
        refused = fixture.start("r1", key="")
        await refused
        assert verdict_of(refused).reason is Reason.SHUTTING_DOWN
        serving.handle_upstream_lost(fixture.serving)
        fixture.announce("second")
        accepted = fixture.start("r2", key="")
        await accepted
        assert verdict_of(accepted) == Ran()

    virtual_time.run(main())

"""The serving side alone: leases, bounds, ramps, repeats and drains."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core import keys
from fuchsiamoor.core.configuration import ColdStart, Limits
from fuchsiamoor.core.messages import Answered, Forward
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.daemon import serving, serving_runs, settling
from fuchsiamoor.ownership.lease_holder import MayServe, NotOwner, Wait
from fuchsiamoor.testing import requests_data, virtual_time
from fuchsiamoor.testing.requests_data import DOMAIN, make_request
from fuchsiamoor.testing.scripted_upstream import ScriptedUpstream


class Bench:
    """One serving side whose ownership and upstream the test controls."""

    def __init__(self, service=None, member=None, warm=True):
        self.permission = MayServe(1, 10_000)
        self.confirms = True
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
        if warm:
            self.announce("first")
            ramp = self.serving.capacity.ramp._replace(started_ms=-1_000_000)
            self.serving.capacity.ramp = ramp

    async def cancel_run(self, request_id):
        return self.confirms and await self.upstream.cancel(request_id)

    def announce(self, incarnation):
        slots = self.member.slots
        serving.upstream_announced(self.serving, incarnation, slots, 130)

    def start(self, request_id, attempt=1, in_ms=1_000, **changes):
        request = make_request(request_id, deadline_ms=in_ms, **changes)
        domain = DOMAIN if request.key else ""
        forward = Forward(request, domain, 1, attempt, 1, 1)
        return asyncio.ensure_future(serving.serve(self.serving, forward))


def verdict_of(task: asyncio.Task[Answered]):
    return task.result().answer.verdict


async def pass_ms(time_ms):
    await asyncio.sleep(time_ms / 1_000)


def test_lease_is_checked_again_after_the_queue():
    async def main():
        bench = Bench(member=requests_data.make_member(slots=1))
        bench.upstream.run_ms = 100
        first, second = bench.start("r1"), bench.start("r2")
        await pass_ms(50)
        bench.permission = Wait("lease has lapsed")
        await pass_ms(100)
        assert verdict_of(first) == Ran()
        assert bench.upstream.started == ["r1"]
        bench.permission = NotOwner("b#1")
        serving.state_changed(bench.serving)
        answered = await second
        assert answered.answer.verdict.reason is Reason.NOT_OWNER
        assert answered.owner_hint == "b#1"
        assert bench.upstream.started == ["r1"]
        assert bench.serving.capacity.in_flight == 0

    virtual_time.run(main())


def test_lapsed_lease_hands_nothing_over():
    async def main():
        bench = Bench()
        bench.permission = MayServe(1, 0)
        task = bench.start("r1", in_ms=200)
        await task
        assert verdict_of(task).reason is Reason.DEADLINE_PASSED
        assert bench.upstream.started == []

    virtual_time.run(main())


def test_queue_and_parking_are_bounded():
    async def main():
        service = requests_data.make_service(limits=Limits(100, 2, 3))
        bench = Bench(service, requests_data.make_member(slots=1))
        bench.upstream.run_ms = 400
        tasks = [bench.start(f"r{index}") for index in range(5)]
        await pass_ms(1)
        refused = [task for task in tasks if task.done()]
        assert [verdict_of(task).reason for task in refused] == [Reason.OVER_LIMIT] * 2
        bench.permission = Wait("moving")
        parked = [bench.start(f"p{index}") for index in range(5)]
        await pass_ms(1)
        refused = [task for task in parked if task.done()]
        assert [verdict_of(task).reason for task in refused] == [Reason.OVER_LIMIT] * 2
        await asyncio.wait(tasks + parked)
        assert bench.serving.parking.count == 0
        assert bench.serving.parking.size_bytes == 0

    virtual_time.run(main())


def test_body_over_the_limit_is_refused():
    async def main():
        bench = Bench()
        task = bench.start("r1", body=b"x" * 1_001)
        await task
        assert verdict_of(task).reason is Reason.BODY_TOO_LARGE

    virtual_time.run(main())


def test_request_of_another_region_is_refused():
    async def main():
        bench = Bench(member=requests_data.make_member("d", "west-1"))
        task = bench.start("r1")
        await task
        assert verdict_of(task).reason is Reason.OUTSIDE_HOME_REGIONS
        assert bench.upstream.started == []

    virtual_time.run(main())


def test_queued_requests_are_refused_when_the_upstream_is_gone():
    async def main():
        bench = Bench(member=requests_data.make_member(slots=1))
        bench.upstream.run_ms = 100
        first, second = bench.start("r1"), bench.start("r2")
        await pass_ms(10)
        serving.upstream_gone(bench.serving)
        await asyncio.wait([first, second])
        assert verdict_of(first) == Ran()
        assert verdict_of(second).reason is Reason.STARTING
        bench.announce("second")
        assert bench.serving.capacity.in_flight == 0

    virtual_time.run(main())


def test_repeats_run_once():
    async def main():
        bench = Bench()
        bench.upstream.run_ms = 50
        repeated = {"idempotency_key": "once", "path": "/book"}
        first = bench.start("r1", **repeated)
        await pass_ms(10)
        joined = bench.start("r2", **repeated)
        other = bench.start("r3", idempotency_key="once", path="/other")
        await asyncio.wait([first, joined, other])
        later = bench.start("r4", **repeated)
        await later
        assert bench.upstream.started == ["r1"]
        assert verdict_of(other).reason is Reason.BAD_REQUEST
        for request_id, task in (("r1", first), ("r2", joined), ("r4", later)):
            assert task.result().answer.request_id == request_id
            assert task.result().answer.body == b"r1 /book"

    virtual_time.run(main())


def test_copies_of_a_request_in_flight_run_once():
    async def main():
        bench = Bench()
        bench.upstream.run_ms = 50
        for key in ("", "chair-1"):
            name = {"key": key, "idempotency_key": "once"}
            tasks = [bench.start(f"r{key}", **name) for _ in range(3)]
            await asyncio.wait(tasks)
            assert [verdict_of(task) for task in tasks] == [Ran()] * 3
            tasks = [bench.start(f"s{key}", key=key) for _ in range(3)]
            await asyncio.wait(tasks)
            assert [verdict_of(task) for task in tasks] == [Ran()] * 3
        assert bench.upstream.started == ["r", "s", "rchair-1", "schair-1"]

    virtual_time.run(main())


def test_waiters_for_one_run_are_bounded():
    async def main():
        bench = Bench()
        tasks = [
            bench.start(f"r{index}", idempotency_key="once") for index in range(60)
        ]
        await asyncio.wait(tasks)
        verdicts = [verdict_of(task) for task in tasks]
        assert bench.upstream.started == ["r0"]
        assert verdicts.count(Ran()) == serving_runs.WAITERS_MAX
        assert not any(isinstance(verdict, NotRun) for verdict in verdicts)

    virtual_time.run(main())


def test_repeat_of_an_unknown_outcome_is_not_run_again():
    async def main():
        bench = Bench()
        bench.upstream.verdicts = [MayHaveRun(Reason.UPSTREAM_LOST)]
        first = bench.start("r1", idempotency_key="once")
        await first
        second = bench.start("r2", idempotency_key="once")
        await second
        assert verdict_of(second) == MayHaveRun(Reason.UPSTREAM_LOST)
        assert bench.upstream.started == ["r1"]

    virtual_time.run(main())


def test_run_goes_on_while_a_repeat_waits():
    async def main():
        bench = Bench()
        bench.upstream.run_ms = 50
        first = bench.start("r1", idempotency_key="once")
        await pass_ms(5)
        second = bench.start("r2", idempotency_key="once")
        await pass_ms(5)
        serving.cancel(bench.serving, "r1")
        await second
        assert verdict_of(first).reason is Reason.CANCELLED
        assert verdict_of(second) == Ran()
        assert bench.upstream.cancelled == []

    virtual_time.run(main())


def test_cancellation_reaches_the_upstream():
    async def main():
        bench = Bench(member=requests_data.make_member(slots=1))
        bench.upstream.run_ms = 100
        running, queued = bench.start("r1"), bench.start("r2")
        await pass_ms(5)
        serving.cancel(bench.serving, "r1")
        serving.cancel(bench.serving, "r2")
        await asyncio.wait([running, queued])
        assert verdict_of(running) == MayHaveRun(
            Reason.CANCELLED, "cancelled while it ran"
        )
        assert verdict_of(queued) == NotRun(Reason.CANCELLED, "cancelled before it ran")
        assert bench.upstream.cancelled == ["r1"]
        await pass_ms(1)
        assert bench.upstream.cancel_requests == ["r1"]
        assert bench.serving.capacity.in_flight == 0

    virtual_time.run(main())


def test_a_pause_while_clocks_are_read_lengthens_no_lease():
    async def main():
        bench = Bench()
        paused_ms = 0

        def pause_and_read_unix_ms():
            nonlocal paused_ms
            paused_ms += 5_000
            return virtual_time.now_ms() + paused_ms

        bench.serving.now_ms = lambda: virtual_time.now_ms() + paused_ms
        bench.serving.unix_ms = pause_and_read_unix_ms
        bench.permission = MayServe(1, 300)
        await bench.start("r1", in_ms=20_000)
        assert all(until_ms <= 300 for until_ms in bench.upstream.leases_until_ms)

    virtual_time.run(main())


def test_drain_waits_for_runs_of_unknown_ending():
    async def main():
        member = requests_data.make_member(checks_grants=False)
        bench = Bench(member=member)
        bench.upstream.verdicts = [MayHaveRun(Reason.UPSTREAM_LOST)]
        await bench.start("r1", in_ms=100)
        bench.permission = Wait("moving")
        await serving.drain_shards(bench.serving, DOMAIN, range(8))
        longest_run_ms = bench.configuration.services["stock"].longest_run_ms
        assert virtual_time.now_ms() == 100 + longest_run_ms

    virtual_time.run(main())


def test_drain_of_an_isolated_key_waits_for_runs_from_before_its_isolation():
    async def main():
        bench = Bench()
        running = bench.start("r1", key="hot", in_ms=10_000)
        await pass_ms(1)
        own_shard = len(bench.table.owners)
        hot = keys.hash_key(keys.KeyId("stock", "clinic", "hot"))
        bench.table = bench.table._replace(
            revision=bench.table.revision + 1,
            owners=(*bench.table.owners, bench.table.owners[0]),
            epochs=(*bench.table.epochs, bench.table.revision + 1),
            isolated={hot: own_shard},
        )
        draining = asyncio.ensure_future(
            serving.drain_shards(bench.serving, DOMAIN, [own_shard])
        )
        await pass_ms(1)
        assert not draining.done()
        await running
        await draining

    virtual_time.run(main())


def test_drain_waits_no_longer_than_the_lease_where_grants_are_checked():
    async def main():
        bench = Bench()
        bench.permission = MayServe(1, 300)
        bench.upstream.verdicts = [MayHaveRun(Reason.UPSTREAM_LOST)]
        await bench.start("r1", in_ms=100)
        await serving.drain_shards(bench.serving, DOMAIN, range(8))
        assert virtual_time.now_ms() == 300

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
def test_cold_upstream_receives_no_more_than_it_bears(steps):
    """Restarts are announced; unannounced cold starts are told by a shed answer."""

    async def main():
        cold_start = ColdStart(initial_requests=2, ramp_ms=1_000)
        bench = Bench(
            requests_data.make_service(cold_start=cold_start),
            requests_data.make_member(slots=10),
            warm=False,
        )
        bench.upstream.run_ms = 30
        bench.upstream.set_capacity(2, 10, 1_000)
        bench.announce("0")
        number = 0
        for index, (step, amount) in enumerate(steps):
            match step:
                case "request":
                    for _ in range(amount):
                        number += 1
                        bench.start(f"r{number}", in_ms=500, key=f"k{number}")
                case "pass":
                    await pass_ms(amount)
                case "restart":
                    bench.upstream.restart()
                    bench.announce(f"{index + 1}")
                case "cold":
                    bench.upstream.lose_warm_state()
                    bench.upstream.verdicts.append(NotRun(Reason.SHED))
                    while bench.upstream.verdicts:
                        await bench.start(f"c{index}", in_ms=500, key=f"c{index}")
                        await pass_ms(1)
        await pass_ms(2_000)
        assert bench.upstream.over_capacity == []
        assert bench.serving.running == {}

    virtual_time.run(main())


def test_slot_of_an_earlier_incarnation_is_not_used():
    async def main():
        cold_start = ColdStart(initial_requests=1, ramp_ms=1_000)
        service = requests_data.make_service(cold_start=cold_start)
        bench = Bench(service, requests_data.make_member(slots=3))
        bench.upstream.set_capacity(1, 3, 1_000)
        bench.upstream.cold_since_ms = -1_000_000
        bench.upstream.run_ms = 50
        tasks = [bench.start(f"r{index}", key=f"k{index}") for index in range(6)]
        await pass_ms(1)
        earlier = bench.serving.capacity
        for _ in range(3):
            settling.release_slot(bench.serving, earlier)
        bench.upstream.restart()
        bench.announce("second")
        await asyncio.wait(tasks)
        assert bench.upstream.over_capacity == []
        assert bench.serving.capacity.in_flight == 0

    virtual_time.run(main())


def test_slot_stays_taken_while_a_run_may_go_on():
    async def main():
        bench = Bench(member=requests_data.make_member(slots=1))
        bench.confirms = False
        bench.upstream.verdicts = [MayHaveRun(Reason.DEADLINE_PASSED)]
        await bench.start("r1")
        second = bench.start("r2")
        await pass_ms(100)
        assert bench.upstream.started == ["r1"]
        await second
        longest_run_ms = bench.configuration.services["stock"].longest_run_ms
        assert virtual_time.now_ms() >= longest_run_ms

    virtual_time.run(main())


def test_upstream_that_left_takes_requests_when_it_is_back():
    async def main():
        bench = Bench()
        serving.leave(bench.serving)
        refused = bench.start("r1", key="")
        await refused
        assert verdict_of(refused).reason is Reason.SHUTTING_DOWN
        serving.upstream_gone(bench.serving)
        bench.announce("second")
        taken = bench.start("r2", key="")
        await taken
        assert verdict_of(taken) == Ran()

    virtual_time.run(main())

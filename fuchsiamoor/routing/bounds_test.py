"""Everything that keeps requests is bounded, whatever happens to it."""

from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core.configuration import ColdStart
from fuchsiamoor.routing import admission, capacity, heat, parking, ramp, recent, runs
from fuchsiamoor.testing import requests_data

TICKETS = st.integers(0, 20)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["park", "leave", "wake"]),
            st.sampled_from(["one@a", "two@a"]),
            TICKETS,
            st.integers(0, parking.PARKED_BYTES_MAX),
        )
    )
)
def test_parking_keeps_its_counts_and_bounds(steps):
    parked = parking.make_parking()
    model: dict = {}
    for step, domain, ticket, size_bytes in steps:
        name = (domain, ticket)
        match step:
            case "park" if name not in model:
                if parking.park(parked, domain, name, size_bytes, limit=5):
                    model[name] = size_bytes
            case "leave":
                parking.leave(parked, domain, name)
                model.pop(name, None)
            case "wake":
                woken = parking.wake(parked, domain)
                assert woken == [each for each in model if each[0] == domain]
                model = {each: model[each] for each in model if each[0] != domain}
        assert (parked.count, parked.size_bytes) == (len(model), sum(model.values()))
        assert parked.count <= 5
        assert parked.size_bytes <= parking.PARKED_BYTES_MAX


@given(st.lists(st.tuples(TICKETS, st.integers(0, 60), st.integers(0, 50))))
def test_memory_keeps_its_bounds(steps):
    memory = recent.make_memory(count_max=5, size_bytes_max=100, keep_ms=200)
    now_ms = 0
    for name, size_bytes, pause_ms in steps:
        now_ms += pause_ms
        answer = requests_data.make_answer(body=b"x" * size_bytes)
        ending = recent.Remembered(answer, 1, 0, now_ms)
        recent.remember(memory, name, ending)
        assert recent.recall(memory, name, now_ms) == ending
        assert recent.recall(memory, name, now_ms + 200) is None
        assert len(memory.endings) <= 5
        sizes = [len(each.answer.body) for each in memory.endings.values()]
        assert memory.size_bytes == sum(sizes) <= 100


@given(st.lists(st.integers(0, 6_000), max_size=600), st.integers(2_000, 4_000))
def test_heat_is_bounded_and_counts_what_came_first(key_hashes, elapsed_ms):
    counted = heat.make_heat(0)
    for key_hash in (*range(heat.MAX_KEYS), *key_hashes):
        heat.note_request(counted, key_hash % 8, key_hash)
    assert len(counted.keys) <= heat.MAX_KEYS
    for key_hash in set(key_hashes):
        expected = key_hashes.count(key_hash) + 1
        assert counted.keys[key_hash] == (expected if key_hash < heat.MAX_KEYS else 0)
    rates = heat.read_rates(counted, elapsed_ms)
    assert len(rates.keys) <= heat.REPORTED_KEYS
    assert counted.keys == {}


def test_uncertain_runs_are_forgotten_once_they_have_passed():
    counted = runs.make_runs()
    for now_ms in range(10_000):
        run_key = runs.RunKey("stock@a", now_ms)
        runs.start(counted, run_key)
        runs.end_uncertain(counted, run_key, now_ms + 500, now_ms)
        assert runs.compute_wait_ms(counted, run_key, now_ms) == 500
    assert len(counted.uncertain_until_ms) <= 2 * runs.DROP_AT_COUNT


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["ask", "end", "cold", "leave"]), st.integers(0, 300)
        ),
        max_size=80,
    )
)
def test_capacity_grants_no_more_than_the_ramp(steps):
    cold_start = ColdStart(initial_requests=2, ramp_ms=1_000)
    held = capacity.make_capacity(ramp.make_ramp(cold_start, 8, 0), connections=130)
    now_ms, running, ticket = 0, [], 0
    for step, pause_ms in steps:
        now_ms += pause_ms
        granted = []
        match step:
            case "ask":
                ticket += 1
                request = requests_data.make_request(deadline_ms=now_ms + 500)
                decided = capacity.ask(held, ticket, request, 3, now_ms)
                granted = [ticket] if isinstance(decided, admission.Admitted) else []
            case "end" if running:
                running.pop()
                capacity.release(held)
                granted = capacity.grant(held, now_ms)
            case "cold":
                capacity.note_cold(held, now_ms, now_ms)
            case "leave" if held.waiting:
                capacity.leave_queue(held, next(iter(held.waiting)))
        running += granted
        assert held.in_flight == len(running)
        assert len(held.waiting) <= 3
        if granted:
            bearable = 2 + 6 * (now_ms - held.ramp.started_ms) / 1_000
            assert len(running) <= min(8, bearable)

"""State kept for requests stays within its bounds under any sequence of calls."""

from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core.configuration import ColdStart
from fuchsiamoor.routing import (
    admission,
    answer_cache,
    capacity,
    in_flight_runs,
    parked_requests,
    ramp,
    request_rates,
)
from fuchsiamoor.testing import requests_data

TICKETS = st.integers(0, 20)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["park", "remove", "pop"]),
            st.sampled_from(["one@a", "two@a"]),
            TICKETS,
            st.integers(0, parked_requests.PARKED_BYTES_MAX),
        )
    )
)
def test_parked_requests_stay_within_bounds_and_counts_stay_exact(steps):
    parked = parked_requests.make_parked_requests()
    model: dict = {}
    for step, domain, ticket, size_bytes in steps:
        name = (domain, ticket)
        match step:
            case "park" if name not in model:
                if parked_requests.park(parked, domain, name, size_bytes, limit=5):
                    model[name] = size_bytes
            case "remove":
                parked_requests.remove(parked, domain, name)
                model.pop(name, None)
            case "pop":
                popped = parked_requests.pop_domain(parked, domain)
                assert popped == [each for each in model if each[0] == domain]
                model = {each: model[each] for each in model if each[0] != domain}
        assert (parked.count, parked.size_bytes) == (len(model), sum(model.values()))
        assert parked.count <= 5
        assert parked.size_bytes <= parked_requests.PARKED_BYTES_MAX


@given(st.lists(st.tuples(TICKETS, st.integers(0, 60), st.integers(0, 50))))
def test_answer_cache_stays_within_its_bounds(steps):
    cache = answer_cache.make_answer_cache(count_max=5, size_bytes_max=100, keep_ms=200)
    now_ms = 0
    for name, size_bytes, pause_ms in steps:
        now_ms += pause_ms
        answer = requests_data.make_answer(body=b"x" * size_bytes)
        cached = answer_cache.CachedAnswer(answer, 1, 0, now_ms)
        answer_cache.store(cache, name, cached)
        assert answer_cache.find(cache, name, now_ms) == cached
        assert answer_cache.find(cache, name, now_ms + 200) is None
        assert len(cache.answers) <= 5
        sizes = [len(each.answer.body) for each in cache.answers.values()]
        assert cache.size_bytes == sum(sizes) <= 100


@given(st.lists(st.integers(0, 6_000), max_size=600), st.integers(2_000, 4_000))
def test_rate_counter_is_bounded_and_counts_the_first_keys_exactly(
    key_hashes, elapsed_ms
):
    counter = request_rates.make_rate_counter(0)
    for key_hash in (*range(request_rates.MAX_KEYS), *key_hashes):
        request_rates.record_request(counter, key_hash % 8, key_hash)
    assert len(counter.keys) <= request_rates.MAX_KEYS
    for key_hash in set(key_hashes):
        expected = key_hashes.count(key_hash) + 1
        assert counter.keys[key_hash] == (
            expected if key_hash < request_rates.MAX_KEYS else 0
        )
    rates = request_rates.read_rates(counter, elapsed_ms)
    assert len(rates.keys) <= request_rates.REPORTED_KEYS
    assert counter.keys == {}


def test_runs_of_unknown_outcome_are_purged_after_they_expire():
    runs = in_flight_runs.make_in_flight_runs()
    for now_ms in range(10_000):
        run_key = in_flight_runs.RunKey("stock@a", now_ms)
        in_flight_runs.record_start(runs, run_key)
        in_flight_runs.record_uncertain_end(runs, run_key, now_ms + 500, now_ms)
        assert in_flight_runs.compute_wait_ms(runs, run_key, now_ms) == 500
    assert len(runs.uncertain_until_ms) <= 2 * in_flight_runs.PURGE_AT_COUNT


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["request", "end", "cold", "leave"]), st.integers(0, 300)
        ),
        max_size=80,
    )
)
def test_capacity_grants_no_more_slots_than_the_ramp_allows(steps):
    cold_start = ColdStart(initial_requests=2, ramp_ms=1_000)
    held = capacity.make_capacity(ramp.make_ramp(cold_start, 8, 0), connections=130)
    now_ms, running, ticket = 0, [], 0
    for step, pause_ms in steps:
        now_ms += pause_ms
        granted = []
        match step:
            case "request":
                ticket += 1
                request = requests_data.make_request(deadline_ms=now_ms + 500)
                decided = capacity.request_slot(held, ticket, request, 3, now_ms)
                granted = [ticket] if isinstance(decided, admission.Admitted) else []
            case "end" if running:
                running.pop()
                capacity.release_slot(held)
                granted = capacity.grant_slots(held, now_ms)
            case "cold":
                capacity.handle_cold_upstream(held, now_ms, now_ms)
            case "leave" if held.waiting:
                capacity.leave_queue(held, next(iter(held.waiting)))
        running += granted
        assert held.in_flight == len(running)
        assert len(held.waiting) <= 3
        if granted:
            allowed = 2 + 6 * (now_ms - held.ramp.started_ms) / 1_000
            assert len(running) <= min(8, allowed)

from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.reports import histogram

LATENCIES = st.integers(0, histogram.MAX_LATENCY_US)


@given(LATENCIES)
def test_bucket_end_is_at_most_an_eighth_above_the_latency(latency_us):
    end_us = histogram.bucket_end_us(histogram.find_bucket(latency_us))
    assert latency_us <= end_us <= latency_us * 9 / 8


@given(LATENCIES, LATENCIES)
def test_buckets_preserve_the_order_of_latencies(first_us, second_us):
    if first_us <= second_us:
        assert histogram.find_bucket(first_us) <= histogram.find_bucket(second_us)


@given(st.lists(LATENCIES, min_size=1), st.lists(LATENCIES), st.floats(0.01, 1))
def test_quantile_of_merged_histograms_bounds_the_true_one(first, second, quantile):
    total = {}
    for part in (first, second):
        counted = {}
        for latency_us in part:
            bucket = histogram.find_bucket(latency_us)
            counted[bucket] = counted.get(bucket, 0) + 1
        histogram.add(total, counted)
    found_us = histogram.compute_quantile_us(total, quantile)
    ordered = sorted(first + second)
    below = sum(latency_us <= found_us for latency_us in ordered)
    assert below >= quantile * len(ordered)
    within = [value for value in ordered if value <= found_us]
    assert found_us <= max(within) * 9 / 8

"""Latency histograms that can be merged across daemons.

Every power of two is split into eight buckets, so that a computed quantile is at most
12.5% above the true value.
"""

SUB_BUCKET_BITS = 3
MAX_LATENCY_US = 2**28 - 1

Histogram = dict[int, int]

_SUB_BUCKETS = 1 << SUB_BUCKET_BITS


def find_bucket(latency_us: int) -> int:
    """Return the bucket of a latency.

    Examples
    --------
    >>> [find_bucket(latency_us) for latency_us in (0, 7, 8, 16, 17, 1000)]
    [0, 7, 8, 16, 16, 63]
    """
    if latency_us > MAX_LATENCY_US:
        latency_us = MAX_LATENCY_US
    shift = latency_us.bit_length() - SUB_BUCKET_BITS - 1
    if shift <= 0:
        return latency_us if latency_us > 0 else 0
    return (shift << SUB_BUCKET_BITS) + (latency_us >> shift)


def bucket_end_us(bucket: int) -> int:
    """Return the largest latency of a bucket, in microseconds.

    Examples
    --------
    >>> bucket_end_us(find_bucket(1000))
    1023
    """
    if bucket < 2 * _SUB_BUCKETS:
        return bucket
    shift = (bucket >> SUB_BUCKET_BITS) - 1
    start = _SUB_BUCKETS + (bucket & (_SUB_BUCKETS - 1))
    return ((start + 1) << shift) - 1


def add(into: Histogram, other: Histogram) -> None:
    """Add the counts of ``other`` to ``into``."""
    for bucket, count in other.items():
        into[bucket] = into.get(bucket, 0) + count


def compute_quantile_us(histogram: Histogram, quantile: float) -> int | None:
    """Return an upper bound of a quantile; None if the histogram is empty.

    Examples
    --------
    >>> compute_quantile_us({1: 99, 63: 1}, 0.99)
    1
    >>> compute_quantile_us({1: 99, 63: 1}, 0.999)
    1023
    """
    total = sum(histogram.values())
    if total == 0:
        return None
    cumulative = 0
    for bucket in sorted(histogram):
        cumulative += histogram[bucket]
        if cumulative >= quantile * total:
            return bucket_end_us(bucket)
    raise AssertionError(f"quantile {quantile!r}: expected at most 1")

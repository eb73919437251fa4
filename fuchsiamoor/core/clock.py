"""The monotonic clock by which a process measures deadlines and leases."""

import time


def read_clock_ms() -> int:
    """Return monotonic time in milliseconds, including time in system suspend."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

"""The clock that every deadline and lease of a process is read from."""

import time


def read_clock_ms() -> int:
    """Return monotonic time, in milliseconds, which goes on while a machine sleeps."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

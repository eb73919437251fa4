import asyncio
import time

from fuchsiamoor.core import clock
from fuchsiamoor.daemon import loop_pauses


def test_longest_recent_pause_is_found():
    history = loop_pauses.make_history()
    for at_ms, delay_ms in [(0, 900), (3_000, 40), (4_000, 300), (5_500, 5)]:
        loop_pauses.record_delay(history, delay_ms, at_ms)
    assert loop_pauses.find_longest(history) == loop_pauses.Pause(4_000, 300)


def test_timers_on_time_leave_no_pause():
    history = loop_pauses.make_history()
    loop_pauses.record_delay(history, 1, 50)
    assert loop_pauses.find_longest(history) is None


def test_loop_that_stands_still_is_measured():
    async def stand_still():
        history = loop_pauses.make_history()
        task = asyncio.create_task(loop_pauses.measure(history, clock.read_clock_ms))
        await asyncio.sleep(0.01)
        time.sleep(0.2)
        await asyncio.sleep(0.01)
        task.cancel()
        return loop_pauses.find_longest(history)

    assert asyncio.run(stand_still()).duration_ms >= 100

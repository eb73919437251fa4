"""Supervisors: restart tasks that fail; they can be nested to form a tree.

A child runs until it returns or fails. A failed child is restarted after a delay that
doubles up to a maximum. More than `max_restarts` failures within the window fail the
supervisor itself, which its own parent then restarts.
`fuchsiamoor.daemon.supervisor_tree` builds the tree of the daemon.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

INITIAL_DELAY_MS = 50
MAX_DELAY_MS = 2_000
MAX_RESTARTS = 20
WINDOW_MS = 30_000


class Child(NamedTuple):
    """One task under a supervisor.

    Parameters
    ----------
    name : str
    run : callable
        Returns the coroutine to run; called at the start and at every restart.
    """

    name: str
    run: Callable[[], Awaitable[None]]


class RestartPolicy(NamedTuple):
    """Delays between restarts, and how many failures the supervisor tolerates."""

    initial_delay_ms: int = INITIAL_DELAY_MS
    max_delay_ms: int = MAX_DELAY_MS
    max_restarts: int = MAX_RESTARTS
    window_ms: int = WINDOW_MS


async def supervise(
    children: Sequence[Child],
    on_failure: Callable[[str, BaseException], None],
    now_ms: Callable[[], int],
    policy: RestartPolicy | None = None,
) -> None:
    """Run children until all have returned or one has failed too often.

    Parameters
    ----------
    children : sequence of Child
    on_failure : callable
        Called with the child's name and its exception after each failure.
    now_ms : callable
        Monotonic time in milliseconds.
    policy : RestartPolicy, optional

    Raises
    ------
    ExceptionGroup
        Contains the last exception of the child that failed too often.
    """
    policy = policy or RestartPolicy()
    async with asyncio.TaskGroup() as group:
        for child in children:
            group.create_task(
                _keep_running(child, on_failure, now_ms, policy), name=child.name
            )


async def _keep_running(child, on_failure, now_ms, policy):
    failures: collections.deque[int] = collections.deque()
    while True:
        try:
            await child.run()
        except Exception as error:
            on_failure(child.name, error)
            failed_ms = now_ms()
            failures.append(failed_ms)
            while failures[0] < failed_ms - policy.window_ms:
                failures.popleft()
            if len(failures) > policy.max_restarts:
                raise
            await asyncio.sleep(_compute_delay_s(len(failures), policy))
        else:
            return


def _compute_delay_s(failure_count: int, policy: RestartPolicy) -> float:
    delay_ms = policy.initial_delay_ms * 2 ** min(failure_count - 1, 16)
    return min(delay_ms, policy.max_delay_ms) / 1000

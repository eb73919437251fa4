"""An asyncio loop whose clock jumps to the next timer, for tests without waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class StalledError(RuntimeError):
    """Every task waits for something that nothing will set."""


class UnhandledError(RuntimeError):
    """A task or callback raised something that nobody took."""


class _JumpingSelector(selectors.SelectSelector):
    """A selector that spends virtual time in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise StalledError("no timer is set and no task can go on")
        self.now_s += max(timeout, 0.0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop under virtual time, which starts at 0."""

    def __init__(self) -> None:
        self.virtual_selector = _JumpingSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self.virtual_selector.now_s


def now_ms() -> int:
    """Return the running loop's time, in milliseconds."""
    return round(asyncio.get_running_loop().time() * 1000)


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end under virtual time.

    Raises
    ------
    UnhandledError
        If a task or callback raised something that nobody took.

    Examples
    --------
    >>> run(asyncio.sleep(3600, result="done"))
    'done'
    """
    unhandled: list[dict[str, Any]] = []
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        loop = runner.get_loop()
        loop.set_exception_handler(lambda _, context: unhandled.append(context))
        result = runner.run(main)
    if unhandled:
        raise UnhandledError(unhandled)
    return result

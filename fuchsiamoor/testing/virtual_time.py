"""An asyncio event loop on virtual time, which skips ahead to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class StalledError(RuntimeError):
    """All tasks are blocked and no timer is set."""


class UnhandledError(RuntimeError):
    """A task or callback raised an exception that nothing handled."""


class _VirtualTimeSelector(selectors.SelectSelector):
    """A selector that advances virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise StalledError("no timer is set and all tasks are blocked")
        self.now_s += max(timeout, 0.0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time, which starts at 0."""

    def __init__(self) -> None:
        self.virtual_selector = _VirtualTimeSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self.virtual_selector.now_s


def now_ms() -> int:
    """Return the running event loop's time, in milliseconds."""
    return round(asyncio.get_running_loop().time() * 1000)


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to completion on virtual time.

    Raises
    ------
    UnhandledError
        If a task or callback raised an exception that nothing handled.

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

"""A stream for log lines that never blocks: bounded, and counting what it drops.

Standard output may be a pipe that nobody reads. Lines wait in memory up to a limit and
are written as the descriptor takes them; what comes beyond the limit is dropped, and
told in a line once there is room again.
"""

import asyncio
import json
import os
from collections import deque

WAITING_MAX_BYTES = 256 * 1024


class LogStream:
    """Writes whole lines to a descriptor without waiting for it.

    Parameters
    ----------
    descriptor : int
        Set to non-blocking mode.
    waiting_max_bytes : int
        Bytes that may wait.
    """

    def __init__(self, descriptor: int, waiting_max_bytes: int = WAITING_MAX_BYTES):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._waiting_max_bytes = waiting_max_bytes
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._is_watched = False
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line now or later; drop it if too much waits."""
        encoded = line.encode()
        if self._waiting_bytes + len(encoded) > self._waiting_max_bytes:
            self.dropped += 1
            return
        self._waiting.append(encoded)
        self._waiting_bytes += len(encoded)
        if not self._is_watched:
            self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._waiting:
            chunk = self._waiting[0]
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                self._watch()
                return
            except OSError:
                # Nobody reads any more: there is no place to tell it.
                self.dropped += len(self._waiting)
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written == len(chunk):
                self._waiting.popleft()
            else:
                self._waiting[0] = chunk[written:]
        self._unwatch()
        self._tell_dropped()

    def _tell_dropped(self) -> None:
        if self.dropped:
            count, self.dropped = self.dropped, 0
            line = {"level": "warning", "event": "log lines dropped", "count": count}
            self.write(json.dumps(line) + "\n")

    def _watch(self) -> None:
        if self._is_watched:
            return
        try:
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self.flush)
            self._is_watched = True
        except (RuntimeError, OSError):
            # No loop, or nothing to watch: the next line tries again.
            return

    def _unwatch(self) -> None:
        if self._is_watched:
            asyncio.get_running_loop().remove_writer(self._descriptor)
            self._is_watched = False

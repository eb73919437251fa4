"""Non-blocking log stream with a bounded buffer.

Standard output may be a pipe whose reader has stalled. Lines are buffered in memory up
to a limit and written when the descriptor is writable, several at a time if a delay is
given. Lines beyond the limit are dropped and counted; the count is logged once the
buffer has been written.
"""

import asyncio
import json
import os
from collections import deque

MAX_BUFFERED_BYTES = 256 * 1024


class LogStream:
    """Writes whole lines to a file descriptor without blocking.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is switched to non-blocking mode.
    max_buffered_bytes : int
        Size of the buffer.
    delay_ms : int
        Longest time for which a line is held back to be written with others, while an
        event loop runs. The owner calls `flush` before the process ends.
    """

    def __init__(
        self,
        descriptor: int,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
        delay_ms: int = 0,
    ):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_buffered_bytes = max_buffered_bytes
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._is_watched = False
        self._delay_ms = delay_ms
        self._flush_timer: asyncio.TimerHandle | None = None
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write or buffer a line; drop it if the buffer is full."""
        encoded = line.encode()
        if self._buffered_bytes + len(encoded) > self._max_buffered_bytes:
            self.dropped += 1
            return
        self._buffer.append(encoded)
        self._buffered_bytes += len(encoded)
        if self._is_watched or self._flush_timer is not None:
            return
        if not self._schedule_flush():
            self.flush()

    def _schedule_flush(self) -> bool:
        """Schedule a flush after the delay; return False if it is due now."""
        if not self._delay_ms:
            return False
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self._flush_timer = loop.call_later(self._delay_ms / 1000, self.flush)
        return True

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts now."""
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        if len(self._buffer) > 1:
            joined = b"".join(self._buffer)
            self._buffer.clear()
            self._buffer.append(joined)
        while self._buffer:
            chunk = self._buffer[0]
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                self._start_watching()
                return
            except OSError:
                # The reader has closed the pipe: the loss can't be reported either.
                self.dropped += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written == len(chunk):
                self._buffer.popleft()
            else:
                self._buffer[0] = chunk[written:]
        self._stop_watching()
        self._report_dropped()

    def _report_dropped(self) -> None:
        if self.dropped:
            count, self.dropped = self.dropped, 0
            line = {"level": "warning", "event": "log lines dropped", "count": count}
            self.write(json.dumps(line) + "\n")

    def _start_watching(self) -> None:
        if self._is_watched:
            return
        try:
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self.flush)
            self._is_watched = True
        except (RuntimeError, OSError):
            # No event loop runs, or the descriptor can't be watched: the next write
            # tries again.
            return

    def _stop_watching(self) -> None:
        if self._is_watched:
            asyncio.get_running_loop().remove_writer(self._descriptor)
            self._is_watched = False

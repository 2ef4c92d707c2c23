"""Log handler with a bounded rate that never blocks the process.

Lines that exceed the rate, or that the reader of the log does not read in time, are
dropped and counted.
"""

import logging
import os
import time
from collections.abc import Callable

LINES_PER_S = 200  # sustained rate of one process
BURST_LINES = 1000
SUMMARY_INTERVAL_S = 1.0


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor and drops lines that exceed the rate.

    Dropped lines are counted and reported by a ``log_dropped`` line.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is set to non-blocking.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last report.
    """

    def __init__(
        self, descriptor: int, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.clock = clock
        self.tokens = float(BURST_LINES)
        self.refilled_at = clock()
        self.reported_at = self.refilled_at
        self.dropped = 0
        self.unwritten = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop and count it."""
        now = self.clock()
        elapsed = now - self.refilled_at
        self.refilled_at = now
        self.tokens = min(BURST_LINES, self.tokens + elapsed * LINES_PER_S)
        if self.tokens < 1.0:
            self.dropped += 1
            return
        self.tokens -= 1.0
        try:
            line = self.format(record) + "\n"
        except Exception:  # a record that cannot be formatted must not end a process
            self.handleError(record)
            return
        if self.dropped and now - self.reported_at >= SUMMARY_INTERVAL_S:
            line = f"event=log_dropped lines={self.dropped}\n{line}"
            self.dropped = 0
            self.reported_at = now
        self._write(line.encode(errors="backslashreplace"))

    def _write(self, data: bytes) -> None:
        if self.unwritten:
            self.unwritten = self._try_write(self.unwritten)
        if self.unwritten:
            self.dropped += 1  # the reader lags; only whole lines are dropped
            return
        self.unwritten = self._try_write(data)

    def _try_write(self, data: bytes) -> bytes:
        """Write what the descriptor accepts and return the unwritten bytes."""
        try:
            return data[os.write(self.descriptor, data) :]
        except BlockingIOError:
            return data
        except OSError:
            return b""  # the reader has closed its end

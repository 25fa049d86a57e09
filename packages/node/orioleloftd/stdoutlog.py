"""Rate-limited log handler for standard output that never blocks the event loop."""

import logging
import os
from collections.abc import Callable

from orioleloftd.logs import JsonFormatter

# Rate and burst limit of log lines; a node serves about 20 requests per second with four lines
# each, and the rest is for failures.
MAX_LINES_PER_S = 300.0
MAX_BURST_LINES = 600.0


class RateLimitedHandler(logging.Handler):
    """Writes log lines without blocking; drops and counts those that cannot be written.

    Lines are dropped if they exceed the rate limit or the descriptor would block.

    Args:
        clock: returns seconds of the node's clock.
        descriptor: file descriptor, set to non-blocking mode.
    """

    def __init__(self, clock: Callable[[], float], descriptor: int) -> None:
        super().__init__()
        self._clock = clock
        self._descriptor = descriptor
        self._tokens = MAX_BURST_LINES
        self._refilled_at = clock()
        self._dropped = 0
        self._unwritten = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, preceded by the number of lines dropped before it, if any."""
        now = self._clock()
        self._tokens = min(
            MAX_BURST_LINES, self._tokens + (now - self._refilled_at) * MAX_LINES_PER_S
        )
        self._refilled_at = now
        if self._tokens < 1:
            self._dropped += 1
            return
        self._tokens -= 1
        line = self.format(record)
        if self._dropped:
            line = f'{{"event": "log lines dropped", "count": {self._dropped}}}\n{line}'
        try:
            self._write(self._unwritten + line.encode() + b"\n")
        except BlockingIOError:
            self._dropped += 1
            return
        except OSError:
            # The reader of the log is gone; the node keeps serving.
            self._dropped += 1
            return
        self._dropped = 0

    def _write(self, data: bytes) -> None:
        written = os.write(self._descriptor, data)
        # The rest of a line that a full pipe has cut is written before the next line.
        self._unwritten = data[written:]


_formatter = JsonFormatter()


def configure(level: str, clock: Callable[[], float], descriptor: int = 1) -> None:
    """Replaces all log handlers by one that writes JSON lines to a descriptor.

    Args:
        level: minimum level of records.
        clock: returns seconds of the node's clock.
        descriptor: file descriptor, switched to non-blocking mode; standard output by default.
    """
    os.set_blocking(descriptor, False)
    handler = RateLimitedHandler(clock, descriptor)
    handler.setFormatter(_formatter)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("tornado").setLevel(logging.WARNING)
    logging.getLogger("asyncio").setLevel(logging.WARNING)


def set_node_name(name: str) -> None:
    """Sets the node name that all further log lines carry."""
    _formatter.node = name

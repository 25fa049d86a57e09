"""Log lines on standard output that never block the loop."""

import logging
import os
from collections.abc import Callable

from orioleloftd.logs import LineFormatter

# Lines a second on average and in a burst; a node serves about 20 requests a second with four lines
# each, and the rest covers trouble.
LINES_PER_S = 300.0
BURST_LINES = 600.0


class BoundedHandler(logging.Handler):
    """Writes lines without waiting; drops and counts what is over the rate or would block.

    Args:
        clock: seconds on the node's clock.
        descriptor: file descriptor to write to.
    """

    def __init__(self, clock: Callable[[], float], descriptor: int) -> None:
        super().__init__()
        self._clock = clock
        self._descriptor = descriptor
        self._tokens = BURST_LINES
        self._filled_at = clock()
        self._dropped = 0
        self._rest = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record."""
        now = self._clock()
        self._tokens = min(BURST_LINES, self._tokens + (now - self._filled_at) * LINES_PER_S)
        self._filled_at = now
        if self._tokens < 1:
            self._dropped += 1
            return
        self._tokens -= 1
        line = self.format(record)
        if self._dropped:
            line = f'{{"event": "log lines dropped", "count": {self._dropped}}}\n{line}'
        try:
            self._write(self._rest + line.encode() + b"\n")
        except BlockingIOError:
            self._dropped += 1
            return
        except OSError:
            # Nobody reads the log any more; serving goes on.
            self._dropped += 1
            return
        self._dropped = 0

    def _write(self, data: bytes) -> None:
        written = os.write(self._descriptor, data)
        # A line that was cut by a full pipe is completed with the next one.
        self._rest = data[written:]


_formatter = LineFormatter()


def set_up(level: str, clock: Callable[[], float], descriptor: int = 1) -> None:
    """Sends all records of at least `level` to standard output as JSON lines."""
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(clock, descriptor)
    handler.setFormatter(_formatter)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("tornado").setLevel(logging.WARNING)
    logging.getLogger("asyncio").setLevel(logging.WARNING)


def set_node(name: str) -> None:
    """Names the node in all further lines."""
    _formatter.node = name

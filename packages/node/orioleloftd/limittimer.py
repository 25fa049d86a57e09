"""Timers of the limits on callers, which operators may raise while a timer runs."""

import asyncio
from collections.abc import Callable


class LimitTimer:
    """Calls back once a limit on time is exceeded.

    A timer that is started again and again, as with each chunk of a body, keeps its handle in the
    event loop, which holds cancelled ones for a while.

    Args:
        callback: called at the end of the time.
    """

    def __init__(self, callback: Callable[[], object]) -> None:
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None
        self._started_at = 0.0
        self._ends_at = 0.0

    def start(self, seconds: float) -> None:
        """Starts the timer, or starts it again."""
        loop = asyncio.get_running_loop()
        self._started_at = loop.time()
        self._ends_at = self._started_at + seconds
        if self._handle is not None and self._handle.when() > self._ends_at:
            self.stop()
        if self._handle is None:
            self._handle = loop.call_later(seconds, self._end)

    def extend(self, seconds: float) -> None:
        """Puts off the end to a time since the start, in seconds; an earlier one changes nothing.

        A caller who has begun under a longer limit keeps it.
        """
        self._ends_at = max(self._ends_at, self._started_at + seconds)

    def stop(self) -> None:
        """Stops the timer; does nothing if it does not run."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _end(self) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() < self._ends_at:
            self._handle = loop.call_at(self._ends_at, self._end)
            return
        self._handle = None
        self._callback()

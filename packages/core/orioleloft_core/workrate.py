"""Rate at which the requests of one service begin, in expected service time per second."""

import collections

# Window of the rate, in seconds.
WORK_RATE_WINDOW_S = 2.0
# Half-life of an earlier, higher rate while no requests wait, in seconds: without a queue the rate
# shows the demand and not the capacity.
HELD_RATE_HALF_LIFE_S = 4.0
# Maximum number of starts in the window.
MAX_STARTS = 2000


class WorkRate:
    """Estimates the capacity that a node has for a service from the requests that it starts."""

    def __init__(self) -> None:
        self._starts: collections.deque[tuple[float, float]] = collections.deque()
        self._work = 0.0
        self._held = 0.0
        self._held_at = 0.0
        self._first_at: float | None = None
        self._busy_since: float | None = None

    @property
    def starts(self) -> tuple[tuple[float, float], ...]:
        """Times and expected service times of the starts in the window."""
        return tuple(self._starts)

    def on_start(self, now: float, work: float) -> None:
        """Adds a request that got a target."""
        if self._first_at is None:
            self._first_at = now
        self._starts.append((now, work))
        self._work += work
        if len(self._starts) > MAX_STARTS:
            self._work -= self._starts.popleft()[1]

    def on_queue(self, now: float, is_empty: bool) -> None:
        """Records whether requests wait."""
        if is_empty:
            self._busy_since = None
        elif self._busy_since is None:
            self._busy_since = now

    def _trim(self, now: float) -> float:
        while self._starts and now - self._starts[0][0] >= WORK_RATE_WINDOW_S:
            self._work -= self._starts.popleft()[1]
        if not self._starts:
            self._work = 0.0
            return 0.0
        age = now - self._first_at if self._first_at is not None else 0.0
        return max(0.0, self._work) / min(WORK_RATE_WINDOW_S, max(0.25, age))

    def work_per_s(self, now: float) -> float:
        """Returns the expected service time of the requests that can begin per second."""
        current = self._trim(now)
        held = self._held * 0.5 ** (max(0.0, now - self._held_at) / HELD_RATE_HALF_LIFE_S)
        is_saturated = self._busy_since is not None and now - self._busy_since >= WORK_RATE_WINDOW_S
        if is_saturated or current >= held:
            self._held, self._held_at = current, now
            return current
        return held

    def requests_per_s(self, now: float) -> float:
        """Returns the requests that can begin per second, of the usual size."""
        rate = self.work_per_s(now)
        if not self._starts or self._work <= 0:
            return 0.0
        return rate * len(self._starts) / self._work

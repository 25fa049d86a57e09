"""Overload detection of an entry node by its event-loop lag.

The directory gives callers one more node for each busy one, so that small VMs get no more load than
they can handle.
"""

# Average lag from which a node is busy, in seconds. Requests wait as long before they are handled,
# and probes that take 2 ms seem to take ten times as long.
BUSY_LAG_S = 0.03
# Average lag from which a busy node is no longer busy, in seconds.
RECOVERED_LAG_S = 0.01
# Minimum time for which a node stays busy, in seconds; callers keep addresses for 2 s.
MIN_BUSY_TIME_S = 4.0
# Smoothing factor of the moving average. With four samples a second, it follows within two seconds.
SMOOTHING_FACTOR = 0.15


class LoopLagMonitor:
    """Moving average of the event-loop lag, with hysteresis for the busy state."""

    def __init__(self) -> None:
        self._lag = 0.0
        self._busy_since: float | None = None

    @property
    def is_busy(self) -> bool:
        """Whether the node is busy."""
        return self._busy_since is not None

    def observe(self, now: float, lag: float) -> bool:
        """Adds a sample of the lag; returns whether the node is busy.

        Args:
            now: seconds on the node's clock.
            lag: time by which a timer fired late, in seconds.
        """
        self._lag += (max(0.0, lag) - self._lag) * SMOOTHING_FACTOR
        if self._busy_since is None:
            if self._lag >= BUSY_LAG_S:
                self._busy_since = now
        elif self._lag <= RECOVERED_LAG_S and now - self._busy_since >= MIN_BUSY_TIME_S:
            self._busy_since = None
        return self.is_busy

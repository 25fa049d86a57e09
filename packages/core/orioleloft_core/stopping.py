"""Graceful shutdown of a node, run by the state chart in `stopping.json`.

The node first is a lame duck: its address is no longer given to callers, but it still serves those
that have the address from an earlier answer, if their requests end before it exits. Then it drains:
it accepts no connections, refuses new requests, and ends when those in flight have ended.
"""

from orioleloft_core.statechart import StateChart

# Fraction of the grace period until which requests may take that the node accepts. A request that
# may take longer is refused, as the exit would cut it off.
LATEST_END_FRACTION = 0.9
# Fraction of the grace period after which the node drains. Callers may still have its address
# before.
DRAIN_FRACTION = 0.8
# Fraction of the grace period before which the process does not exit. Requests that arrive as the
# node begins to drain are answered meanwhile.
EARLIEST_EXIT_FRACTION = 0.85
# Fraction of the grace period after which the process exits even with requests in flight.
EXIT_DEADLINE_FRACTION = 0.93


class GracefulShutdown:
    """Phases of a graceful shutdown; the caller polls it with the time.

    Args:
        grace_period: time between the signal to stop and the kill, in seconds.
    """

    def __init__(self, grace_period: float) -> None:
        self._chart = StateChart("stopping")
        self._grace_period = grace_period
        self._started_at = 0.0

    @property
    def has_begun(self) -> bool:
        """Whether the shutdown has begun."""
        return self._chart.state != "serving"

    def begin(self, now: float) -> bool:
        """Begins the shutdown; a second call has no effect and returns False.

        Args:
            now: seconds on the node's clock.
        """
        if not self._chart.handle("stop"):
            return False
        self._started_at = now
        return True

    def accepts(self, now: float, seconds: float) -> bool:
        """Whether the node accepts a request, as it ends before the process exits.

        Args:
            now: seconds on the node's clock.
            seconds: longest time that the request may take.
        """
        if not self.has_begun:
            return True
        latest_end = self._started_at + LATEST_END_FRACTION * self._grace_period
        return not self.is_draining(now) and now + seconds <= latest_end

    def is_draining(self, now: float) -> bool:
        """Whether the node accepts no requests at all; starts draining when its time has come.

        Args:
            now: seconds on the node's clock.
        """
        if self.has_begun and now - self._started_at >= DRAIN_FRACTION * self._grace_period:
            self._chart.handle("lame_duck_ended")
        return self._chart.state in ("draining", "stopped")

    def is_finished(self, now: float, open_requests: int) -> bool:
        """Whether the process can exit.

        Args:
            now: seconds on the node's clock.
            open_requests: number of requests in flight.
        """
        if not self.is_draining(now):
            return False
        elapsed = now - self._started_at
        is_drained = open_requests == 0 and elapsed >= EARLIEST_EXIT_FRACTION * self._grace_period
        if is_drained or elapsed >= EXIT_DEADLINE_FRACTION * self._grace_period:
            self._chart.handle("drain_ended")
        return self._chart.state == "stopped"

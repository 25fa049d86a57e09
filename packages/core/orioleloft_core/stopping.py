"""Course of a planned stop.

The node first leaves the answers that callers get and serves those that still hold an older one.
Then it refuses new requests, so that the last ones end before the process is killed.
"""

from orioleloft_core.statechart import StateChart

# Share of the grace period for which new requests are served. Requests sent later might not end
# in time.
SERVING_SHARE = 0.5
# Share of the grace period after which the node ends, with requests in flight if need be.
LAST_SHARE = 0.93
# Share of the grace period before which the node does not end, as callers may still hold its
# address.
FIRST_SHARE = 0.8


class Stopping:
    """Progress of a planned stop.

    Args:
        grace_period: time between the request to stop and the kill, in seconds.
    """

    def __init__(self, grace_period: float) -> None:
        self._chart = StateChart("stopping")
        self._grace_period = grace_period
        self._began_at = 0.0

    @property
    def has_begun(self) -> bool:
        """Whether the node is being stopped."""
        return self._chart.state != "serving"

    def begin(self, now: float) -> bool:
        """Begins the stop; returns False if it has begun already."""
        if not self._chart.handle("stop"):
            return False
        self._began_at = now
        return True

    def refuses(self, now: float) -> bool:
        """Whether new requests are refused."""
        if self.has_begun and now - self._began_at >= SERVING_SHARE * self._grace_period:
            self._chart.handle("callers_moved")
        return self._chart.state in ("refusing", "stopped")

    def is_over(self, now: float, open_requests: int) -> bool:
        """Whether the process can end.

        Args:
            now: seconds on the node's clock.
            open_requests: requests that have no answer yet.
        """
        if not self.refuses(now):
            return False
        elapsed = now - self._began_at
        is_idle = open_requests == 0 and elapsed >= FIRST_SHARE * self._grace_period
        if is_idle or elapsed >= LAST_SHARE * self._grace_period:
            self._chart.handle("over")
        return self._chart.state == "stopped"

"""Spreads the returns of rejected callers over the rate at which they can be served."""

import random

# Longest time after which a caller is told to return, in seconds. Callers wait for a third of the
# time that they have left at most.
MAX_RETURN_S = 5.0


class ReturnSchedule:
    """Times to return for the callers of one service, one for each request that can be served.

    Args:
        rng: source of the times of callers that are beyond the schedule.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._last_return_at = 0.0

    def next_delay(self, now: float, rate_per_s: float, earliest: float = 0.0) -> float:
        """Returns the seconds after which the next rejected caller should return.

        Args:
            now: seconds on the node's clock.
            rate_per_s: requests per second that can be served, more than 0.
            earliest: seconds until the next one can be served.
        """
        return_at = max(now + earliest, self._last_return_at + 1 / rate_per_s)
        if return_at > now + MAX_RETURN_S:
            # The schedule is full: these callers compete with each other, but not all at once.
            return self._rng.uniform(MAX_RETURN_S / 2, MAX_RETURN_S)
        self._last_return_at = return_at
        return return_at - now

"""Token bucket and exponential backoff with jitter."""

import random
from collections.abc import Callable

# Tolerance for rounding errors: sums of fractions such as 0.1 miss whole numbers.
_EPSILON = 1e-9


class TokenBucket:
    """Rate limiter that starts full; its rate and size may change over time.

    Args:
        rate_per_second: returns the tokens added per second.
        burst: returns the maximum number of tokens in the bucket.
    """

    def __init__(self, rate_per_second: Callable[[], float], burst: Callable[[], float]) -> None:
        self._rate_per_second = rate_per_second
        self._burst = burst
        self._tokens = 0.0
        self._refilled_at: float | None = None

    def available(self, now: float) -> float:
        """Returns the tokens in the bucket at a time, without taking any."""
        if self._refilled_at is None:
            return self._burst()
        added = max(0.0, now - self._refilled_at) * self._rate_per_second()
        return min(self._burst(), self._tokens + added)

    def take(self, now: float) -> bool:
        """Takes one token; returns False if there is none.

        Args:
            now: seconds on the node's clock; an earlier time than before adds no tokens.
        """
        if self._refilled_at is None:
            self._tokens = self._burst()
            self._refilled_at = now
        added = max(0.0, now - self._refilled_at) * self._rate_per_second()
        self._tokens = min(self._burst(), self._tokens + added)
        self._refilled_at = max(now, self._refilled_at)
        if self._tokens < 1 - _EPSILON:
            return False
        self._tokens -= 1
        return True


class Backoff:
    """Exponential backoff: the bound doubles up to a cap, delays lie in its upper half."""

    def __init__(self, initial: float, cap: float, rng: random.Random) -> None:
        """Starts with the initial bound.

        Args:
            initial: upper bound of the first delay, in seconds.
            cap: upper bound of every delay, in seconds.
            rng: source of the jitter.
        """
        self._initial = initial
        self._cap = cap
        self._rng = rng
        self._bound = min(initial, cap)

    def next_delay(self) -> float:
        """Returns the delay before the next attempt in seconds, and doubles the bound."""
        delay = self._rng.uniform(self._bound / 2, self._bound)
        self._bound = min(self._cap, self._bound * 2)
        return delay

    def reset(self) -> None:
        """Returns to the initial bound, after a success."""
        self._bound = min(self._initial, self._cap)

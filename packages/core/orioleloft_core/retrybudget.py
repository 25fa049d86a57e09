"""Retry budget of the fleet: limits retries and hedged requests without messages between nodes.

The operators allow for each service a ratio of its requests plus a fixed number of extra
dispatches (retries and hedges) in each window, summed over the fleet. Each node adds the ratio for
its own requests and uses its share of the fixed number, which is divided by the size of the largest
fleet that may exist. The sum therefore holds in every network partition.
"""

from collections.abc import Callable

# Share of the allowance that is used; the rest covers requests that callers count in another
# window.
USED_BUDGET_FRACTION = 0.85

# Refill over one window, as a share of the node's fixed part, where that part is hardly one
# dispatch and the burst alone would use all of it.
MIN_REFILL_FRACTION = 0.1


class _Bucket:
    """Token bucket of one service."""

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens
        self.refilled_at: float | None = None


class RetryBudget:
    """Part of the fleet's retry budget that this node may use, with a token bucket per service.

    Args:
        ratio: extra dispatches allowed for each request.
        fixed: extra dispatches allowed for the fleet in each window, whatever the requests.
        window: length of the window in seconds.
        nodes: returns the largest number of nodes that may run now.
    """

    def __init__(self, ratio: float, fixed: float, window: float, nodes: Callable[[], int]) -> None:
        self._ratio = ratio * USED_BUDGET_FRACTION
        self._fixed = fixed * USED_BUDGET_FRACTION
        self._window = window
        self._nodes = nodes
        self._buckets: dict[str, _Bucket] = {}

    def _fixed_share(self) -> float:
        """Returns this node's part of the fixed number of extra dispatches in one window."""
        return self._fixed / max(1, self._nodes())

    @staticmethod
    def _burst(share: float) -> float:
        """Returns the tokens that may be used at once: half of a share, but a whole dispatch."""
        return max(1.0, share / 2)

    def deposit(self, now: float, service: str) -> None:
        """Adds the tokens for one request that this node has sent for the first time."""
        bucket = self._bucket(now, service)
        cap = self._burst(self._fixed_share()) + 1.0
        bucket.tokens = max(bucket.tokens, min(cap, bucket.tokens + self._ratio))

    def available(self, now: float, service: str) -> float:
        """Returns the extra dispatches that may be made now."""
        return self._bucket(now, service).tokens

    def take(self, now: float, service: str, reserve: float = 0.0) -> bool:
        """Takes the token for one extra dispatch; returns False if there are too few.

        Args:
            now: seconds on the node's clock.
            service: service that receives the dispatch.
            reserve: tokens that must remain for more important dispatches.
        """
        bucket = self._bucket(now, service)
        if bucket.tokens < 1 + reserve:
            return False
        bucket.tokens -= 1
        return True

    def _bucket(self, now: float, service: str) -> _Bucket:
        """Returns the refilled token bucket of a service."""
        share = self._fixed_share()
        burst = self._burst(share)
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = self._buckets[service] = _Bucket(min(burst, share / 2))
        # A node that has just started knows few others and overestimates its share, so tokens of
        # that time are cut when the share shrinks.
        bucket.tokens = min(bucket.tokens, burst + 1.0)
        if bucket.refilled_at is not None:
            # The burst and the refill over one window together stay within the share.
            rate = max(share - burst, share * MIN_REFILL_FRACTION) / self._window
            added = max(0.0, now - bucket.refilled_at) * rate
            bucket.tokens = max(bucket.tokens, min(burst, bucket.tokens + added))
        bucket.refilled_at = now
        return bucket

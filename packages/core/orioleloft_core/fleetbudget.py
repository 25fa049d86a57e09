"""Budget of extra dispatches, shared by all nodes without messages.

The operators allow each service a share of its requests plus a fixed number of extra dispatches in
a window, summed over the fleet. Each node uses its share of the fixed number for the largest fleet
that may exist, so that the sum holds in every partition.
"""

from collections.abc import Callable

# Part of the allowance that is used; the rest covers requests that callers count in another window.
USED_SHARE = 0.85

# Part of a node's share that comes over one window where the share is hardly one dispatch.
MIN_REFILL = 0.1


class _Account:
    def __init__(self, tokens: float) -> None:
        self.tokens = tokens
        self.filled_at: float | None = None


class FleetBudget:
    """Extra dispatches of this node, by service.

    Args:
        ratio: extra dispatches allowed for each request.
        extra: extra dispatches allowed for the fleet in each window.
        window: length of the window in seconds.
        nodes: returns the largest number of nodes that may run now.
    """

    def __init__(self, ratio: float, extra: float, window: float, nodes: Callable[[], int]) -> None:
        self._ratio = ratio * USED_SHARE
        self._extra = extra * USED_SHARE
        self._window = window
        self._nodes = nodes
        self._accounts: dict[str, _Account] = {}

    def _share(self) -> float:
        """Returns the extra dispatches of this node in one window."""
        return self._extra / max(1, self._nodes())

    @staticmethod
    def _burst(share: float) -> float:
        """Returns the part of a share that may be spent at once; a dispatch needs a whole one."""
        return max(1.0, share / 2)

    def earn(self, now: float, service: str) -> None:
        """Adds the share of one request that this node has sent for the first time."""
        account = self._account(now, service)
        cap = self._burst(self._share()) + 1.0
        account.tokens = max(account.tokens, min(cap, account.tokens + self._ratio))

    def available(self, now: float, service: str) -> float:
        """Returns the extra dispatches that may be made now."""
        return self._account(now, service).tokens

    def take(self, now: float, service: str, reserve: float = 0.0) -> bool:
        """Takes one extra dispatch.

        Args:
            now: seconds on the node's clock.
            service: service that receives the dispatch.
            reserve: tokens that must be left for more important extra dispatches.
        """
        account = self._account(now, service)
        if account.tokens < 1 + reserve:
            return False
        account.tokens -= 1
        return True

    def _account(self, now: float, service: str) -> _Account:
        share = self._share()
        burst = self._burst(share)
        account = self._accounts.get(service)
        if account is None:
            account = self._accounts[service] = _Account(min(burst, share / 2))
        # A node that has just started knows few others; what it took for its share must shrink.
        account.tokens = min(account.tokens, burst + 1.0)
        if account.filled_at is not None:
            # What may be spent at once and what comes over one window stay within the share.
            rate = max(share - burst, share * MIN_REFILL) / self._window
            gained = max(0.0, now - account.filled_at) * rate
            account.tokens = max(account.tokens, min(burst, account.tokens + gained))
        account.filled_at = now
        return account

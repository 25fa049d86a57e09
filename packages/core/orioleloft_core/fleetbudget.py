"""Budget of extra dispatches, shared by all nodes without messages.

The operators allow each service a share of its requests plus a fixed number of extra dispatches in
a window, summed over the fleet. Each node uses its share of the fixed number for the largest fleet
that may exist, so that the sum holds in every partition.
"""

# Part of the allowance that is used; the rest covers requests that callers count in another window.
USED_SHARE = 0.85


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
        nodes: largest number of nodes that may run at a time.
    """

    def __init__(self, ratio: float, extra: float, window: float, nodes: int) -> None:
        share = USED_SHARE * extra / max(1, nodes)
        self._ratio = ratio * USED_SHARE
        # Half of the share may be spent at once and the other half over one window, so that any
        # span of one window stays within the share.
        self._burst = share / 2
        self._rate = share / 2 / window
        self._refill_cap = max(1.0, self._burst)
        self._cap = self._refill_cap + 1.0
        self._accounts: dict[str, _Account] = {}

    def earn(self, now: float, service: str) -> None:
        """Adds the share of one request that this node has sent for the first time."""
        account = self._account(now, service)
        account.tokens = min(self._cap, account.tokens + self._ratio)

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
        account = self._accounts.get(service)
        if account is None:
            account = self._accounts[service] = _Account(self._burst)
        if account.filled_at is not None:
            gained = max(0.0, now - account.filled_at) * self._rate
            account.tokens = max(account.tokens, min(self._refill_cap, account.tokens + gained))
        account.filled_at = now
        return account

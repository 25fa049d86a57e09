"""Waits for the shared state of a node that starts, in its start-up and in callers' requests."""

import asyncio
from collections.abc import Callable

# Longest time for which a request waits for the shared state, in seconds. A read of the store takes
# 0.1 s, and a caller that has other nodes to turn to should not wait much longer.
MAX_REQUEST_WAIT_S = 0.5
# Time that is kept for the answer to a request whose deadline ends its wait, in seconds.
ANSWER_MARGIN_S = 0.05
# Maximum number of requests that wait, twice of what a VM gets in the longest wait. The memory
# account holds their bodies but not their headers, and when the wait ends they all run at once.
MAX_WAITING_REQUESTS = 150


class StartupGate:
    """Event that the shared state is complete.

    Args:
        is_complete: returns whether the shared state is complete.
        clock: returns seconds of the node's clock.
        admits_requests: whether requests may wait; false in the first start of the whole fleet,
            which takes longer than `MAX_REQUEST_WAIT_S`.
    """

    def __init__(
        self, is_complete: Callable[[], bool], clock: Callable[[], float], admits_requests: bool
    ) -> None:
        self._is_complete = is_complete
        self._clock = clock
        self._admits_requests = admits_requests
        self._changed = asyncio.Event()
        self._waiting_requests = 0

    def on_state_change(self) -> None:
        """Ends all waits if the shared state is complete; called after each change of it."""
        if self._is_complete():
            self._changed.set()

    async def wait(self, until: float) -> bool:
        """Waits until the shared state is complete, or until a time on the node's clock.

        Returns:
            Whether the state is complete.
        """
        if not self._is_complete():
            try:
                async with asyncio.timeout(max(0.0, until - self._clock())):
                    await self._changed.wait()
            except TimeoutError:
                pass
        return self._is_complete()

    async def wait_until_complete(self, deadline: float) -> bool:
        """Lets a request wait for the shared state, for `MAX_REQUEST_WAIT_S` at most.

        Args:
            deadline: when the caller gives up, in seconds on the node's clock.

        Returns:
            Whether the state is complete. It is false at once if too many requests wait.
        """
        if self._is_complete():
            return True
        if not self._admits_requests or self._waiting_requests >= MAX_WAITING_REQUESTS:
            return False
        self._waiting_requests += 1
        try:
            latest = self._clock() + MAX_REQUEST_WAIT_S
            return await self.wait(min(latest, deadline - ANSWER_MARGIN_S))
        finally:
            self._waiting_requests -= 1

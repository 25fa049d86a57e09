"""Requests of one service that wait on this node for a target with a free slot.

A target that is given more than its slots queues the rest, and everything behind it is late. So a
request waits here, where it can still be refused in time, and targets are kept just busy.
"""

import dataclasses
import itertools
from typing import Any

# Time over which the pace of the line is measured, in seconds.
PACE_WINDOW_S = 1.0
# Requests that may always wait, also while the pace is not known.
MIN_LENGTH = 2


@dataclasses.dataclass(eq=False)
class Waiter:
    """One waiting request.

    Attributes:
        priority: rank of its route, where 0 is the most urgent.
        give_up_at: time after which it does not wait any longer, seconds on the node's clock.
        handle: what the caller of `join` needs to hand it a target.
        order: place among requests of the same rank.
    """

    priority: int
    give_up_at: float
    handle: Any
    order: int = 0


class WaitLine:
    """Waiting requests, the most urgent first and then by arrival."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._numbers = itertools.count()
        self._served: list[float] = []

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def head(self) -> Waiter | None:
        """The request whose turn it is."""
        return self._waiters[0] if self._waiters else None

    def is_blocked(self, priority: int) -> bool:
        """Whether a new request of a rank has to wait behind others."""
        return any(waiter.priority <= priority for waiter in self._waiters)

    def join(self, now: float, priority: int, give_up_at: float, handle: Any) -> Waiter | None:
        """Adds a request, or returns None if its turn would come too late.

        Args:
            now: seconds on the node's clock.
            priority: rank of its route, where 0 is the most urgent.
            give_up_at: time after which it does not wait any longer.
            handle: see `Waiter`.
        """
        ahead = sum(waiter.priority <= priority for waiter in self._waiters)
        self._served = [moment for moment in self._served if now - moment < PACE_WINDOW_S]
        pace = len(self._served) / PACE_WINDOW_S
        if ahead >= max(MIN_LENGTH, pace * (give_up_at - now)):
            return None
        waiter = Waiter(priority, give_up_at, handle, next(self._numbers))
        self.rejoin(waiter)
        return waiter

    def rejoin(self, waiter: Waiter) -> None:
        """Puts a request back to its place, after it was handed a target that it cannot use."""
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda each: (each.priority, each.order))

    def leave(self, waiter: Waiter) -> None:
        """Removes a request."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def on_served(self, now: float) -> None:
        """Counts a waiting request that has got a target."""
        self._served.append(now)

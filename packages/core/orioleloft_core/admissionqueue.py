"""Admission queue of one service: requests that wait on this node for a target with a free slot.

A target that gets more requests than it has slots queues them, which delays all later requests to
it. Requests therefore wait on the node, where they can still be rejected in time, and targets get
just as many as they can run.
"""

import collections
import dataclasses
import enum
from typing import Any

# Window over which the dispatch rate of the service is determined, in seconds.
DISPATCH_RATE_WINDOW_S = 1.0
# Maximum number of dispatches kept in the window; a node serves some 100 requests a second.
MAX_WINDOW_DISPATCHES = 1000
# Queue length that is always admitted, also while the dispatch rate is unknown.
MIN_QUEUE_LIMIT = 2
# Initial and maximum interval between two rounds of probes for the head of the queue, in seconds;
# it doubles while no target is free. Slots that requests of this node free are handed over without
# a probe, and probes of full targets would use up the node's probe budget.
MIN_REPROBE_INTERVAL_S = 0.04
MAX_REPROBE_INTERVAL_S = 0.16


# At least one of so many dispatches from the queue is a retry of a caller, if one waits, so that a
# long burst of new requests does not starve the retries.
DISPATCHES_PER_CALLER_RETRY = 8


class AdmissionPolicy(enum.StrEnum):
    """Which requests wait, and which are refused, while no target has a free slot."""

    # By priority, first attempts before retries, then arrival; the newest is refused.
    ARRIVAL = "arrival"
    # By priority, deadline and work, with fair shares; see `deadlineorder`.
    DEADLINE = "deadline"


@dataclasses.dataclass(frozen=True, order=True)
class Rank:
    """Rank of a request in the queue; smaller ranks go first.

    Attributes:
        priority: priority of its route, where 0 is the most urgent.
        is_caller_retry: whether the caller has tried before, so that the answer will be late.
    """

    priority: int
    is_caller_retry: bool = False


@dataclasses.dataclass(eq=False)
class QueuedRequest:
    """A request in the admission queue.

    Attributes:
        rank: rank in the queue.
        wait_deadline: end of its wait, in seconds on the node's clock.
        handle: object of the caller of `enqueue` through which the request receives a target.
        order: sequence number of its arrival, which orders requests of the same rank.
    """

    rank: Rank
    wait_deadline: float
    handle: Any
    order: int = 0


class AdmissionQueue:
    """Priority queue of waiting requests, ordered by priority, new before retried, then arrival."""

    def __init__(self) -> None:
        self._queue: list[QueuedRequest] = []
        self._next_order = 0
        self._dispatched_at: collections.deque[float] = collections.deque(
            maxlen=MAX_WINDOW_DISPATCHES
        )
        self._reprobe_interval_s = MIN_REPROBE_INTERVAL_S
        self._dispatches_since_caller_retry = 0

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def head(self) -> QueuedRequest | None:
        """The request that receives the next free slot, or None if the queue is empty.

        This is the first request of the queue, or the first retry if one is due.
        """
        if not self._queue:
            return None
        if self._dispatches_since_caller_retry >= DISPATCHES_PER_CALLER_RETRY - 1:
            retries = [request for request in self._queue if request.rank.is_caller_retry]
            if retries:
                return retries[0]
        return self._queue[0]

    @property
    def waiting(self) -> tuple[QueuedRequest, ...]:
        """The queued requests, the first to be served first."""
        return tuple(self._queue)

    @property
    def dispatch_times(self) -> tuple[float, ...]:
        """Times of the last dispatches, in seconds on the node's clock."""
        return tuple(self._dispatched_at)

    def must_queue(self, rank: Rank) -> bool:
        """Whether requests of the same or a smaller rank are queued, so that a new one waits."""
        return any(request.rank <= rank for request in self._queue)

    def count_ahead(self, rank: Rank) -> int:
        """Returns how many queued requests receive a slot before a new one of this rank."""
        return sum(request.rank <= rank for request in self._queue)

    def position(self, request: QueuedRequest) -> int:
        """Returns how many requests receive a slot before a queued one."""
        place = request.rank, request.order
        return sum((other.rank, other.order) < place for other in self._queue)

    def enqueue(
        self, now: float, rank: Rank, wait_deadline: float, handle: Any
    ) -> QueuedRequest | None:
        """Adds a request, unless the dispatch rate is too low for it to be served in time.

        Args:
            now: seconds on the node's clock.
            rank: rank in the queue.
            wait_deadline: end of its wait, in seconds on the node's clock.
            handle: see `QueuedRequest`.

        Returns:
            The queued request, or None if it is not admitted.
        """
        ahead = self.count_ahead(rank)
        while self._dispatched_at and now - self._dispatched_at[0] >= DISPATCH_RATE_WINDOW_S:
            self._dispatched_at.popleft()
        rate = len(self._dispatched_at) / DISPATCH_RATE_WINDOW_S
        if ahead >= max(MIN_QUEUE_LIMIT, rate * (wait_deadline - now)):
            return None
        request = QueuedRequest(rank, wait_deadline, handle, self._next_order)
        self._next_order += 1
        self.requeue(request)
        return request

    def requeue(self, request: QueuedRequest) -> None:
        """Puts a request back in its old position, after it received a target it cannot use."""
        self._queue.append(request)
        self._queue.sort(key=lambda each: (each.rank, each.order))

    def dequeue(self, request: QueuedRequest) -> None:
        """Removes a request; does nothing if it is not queued."""
        if request in self._queue:
            self._queue.remove(request)

    @property
    def reprobe_interval(self) -> float:
        """Time until targets are probed again for the head of the queue, in seconds."""
        return self._reprobe_interval_s

    def on_no_free_target(self) -> None:
        """Doubles the poll interval up to its maximum, after a round that found no free target."""
        self._reprobe_interval_s = min(MAX_REPROBE_INTERVAL_S, 2 * self._reprobe_interval_s)

    def on_unqueued_dispatch(self, now: float) -> None:
        """Adds a request that got a target without queueing to the dispatch rate."""
        self._dispatched_at.append(now)

    def on_queued_dispatch(self, now: float, rank: Rank) -> None:
        """Adds a queued request that got a target to the rate, and resets the poll interval."""
        self._dispatched_at.append(now)
        self._reprobe_interval_s = MIN_REPROBE_INTERVAL_S
        self._dispatches_since_caller_retry = (
            0 if rank.is_caller_retry else self._dispatches_since_caller_retry + 1
        )

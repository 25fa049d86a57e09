"""Interface of the orders of admission, and the order of arrival behind it."""

import copy
import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any, Protocol

from orioleloft_core.admissionqueue import AdmissionPolicy, AdmissionQueue, QueuedRequest, Rank

# Subtracted from the sequence numbers of requests that another order has admitted, so that they
# stay before later arrivals.
ADOPTED_ORDER_OFFSET = 1 << 40


@dataclasses.dataclass(frozen=True)
class RequestDemand:
    """What a request needs, and by when.

    Attributes:
        rank: rank of the request by its route.
        route: name of its route.
        tenant: name of its tenant, or an empty string.
        priority: priority of the tenant, or of the route if the tenant has none.
        work: expected service time, in seconds.
        deadline: time at which the caller gives up, in seconds on the node's clock.
        is_retry: whether this node has counted the request before, at an earlier attempt.
    """

    rank: Rank
    route: str
    tenant: str
    priority: int
    work: float
    deadline: float
    is_retry: bool = False


@dataclasses.dataclass(eq=False)
class WaitingRequest:
    """A request that waits for a target.

    Attributes:
        demand: what it needs.
        wait_deadline: end of its wait, in seconds on the node's clock.
        handle: object through which the request receives a target or its refusal.
        order: sequence number of its arrival.
        priority: priority by which it is served, which is lower if its tenant surges.
        queued: its entry in an `AdmissionQueue`, under the order of arrival only.
    """

    demand: RequestDemand
    wait_deadline: float
    handle: Any
    order: int = 0
    priority: int = 0
    queued: QueuedRequest | None = None

    def __deepcopy__(self, memo: dict[int, Any]) -> "WaitingRequest":
        """Returns a copy with the same handle, which may hold tasks and cannot be copied."""
        copied = memo[id(self)] = copy.copy(self)
        copied.queued = copy.deepcopy(self.queued, memo)
        return copied


@dataclasses.dataclass(frozen=True)
class Admission:
    """Result of a request's arrival at the queue.

    Attributes:
        request: the waiting request, or None if it is refused at once.
        displaced: waiting requests that are refused in its favour, or as they would start too late.
    """

    request: WaitingRequest | None
    displaced: tuple[WaitingRequest, ...] = ()


class AdmissionOrder(Protocol):
    """Waiting requests of one service; times are in seconds on the node's clock."""

    policy: AdmissionPolicy

    def __len__(self) -> int:
        """Number of waiting requests."""

    @property
    def waiting(self) -> tuple[WaitingRequest, ...]:
        """The waiting requests in the order of their arrival."""

    @property
    def starts(self) -> tuple[tuple[float, float | None], ...]:
        """Times of the last dispatches, with their expected service times where known."""

    @property
    def reprobe_interval(self) -> float:
        """Time until targets are probed again for the next request."""

    def on_asked(self, now: float, demand: RequestDemand) -> None:
        """Counts a request when it arrives."""

    def next_request(self, now: float) -> WaitingRequest | None:
        """Returns the request that receives the next free slot, or None if none waits."""

    def must_queue(self, now: float, demand: RequestDemand) -> bool:
        """Whether a new request waits because others go before it."""

    def count_ahead(self, demand: RequestDemand) -> int:
        """Returns how many waiting requests receive a slot before a new one."""

    def position(self, request: WaitingRequest) -> int:
        """Returns how many waiting requests receive a slot before another waiting one."""

    def admit(
        self, now: float, demand: RequestDemand, wait_deadline: float, handle: Any
    ) -> Admission:
        """Adds a request, or refuses it or others for which there is no room."""

    def requeue(self, request: WaitingRequest) -> None:
        """Puts a request back that received a target it cannot use."""

    def dequeue(self, request: WaitingRequest) -> None:
        """Removes a request; does nothing if it does not wait."""

    def adopt(self, previous: "AdmissionOrder") -> None:
        """Takes over the waiting requests and the dispatch rate of another order."""

    def on_no_free_target(self) -> None:
        """Records a round of probes that found no free target."""

    def on_unqueued_dispatch(self, now: float, demand: RequestDemand) -> None:
        """Records a request that got a target without waiting."""

    def on_queued_dispatch(self, now: float, request: WaitingRequest) -> None:
        """Records a request that got a target after waiting."""

    def on_refused(self, now: float) -> None:
        """Records a request that got no target until the end of its wait."""

    def describe(self, now: float, demand: RequestDemand) -> Mapping[str, object]:
        """Returns the inputs of a refusal, for the log."""


def snapshot(order: AdmissionOrder) -> AdmissionOrder:
    """Returns a copy of an order, which can admit a request without effect on those that wait.

    The copied requests share the handles of the original ones; the copy must dispatch none.
    """
    return copy.deepcopy(order)


class ArrivalOrder:
    """The order of arrival: passes all calls to an `AdmissionQueue`.

    Args:
        queue: the queue.
    """

    policy = AdmissionPolicy.ARRIVAL

    def __init__(self, queue: AdmissionQueue | None = None) -> None:
        self._queue = AdmissionQueue() if queue is None else queue

    def __len__(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    @property
    def waiting(self) -> tuple[WaitingRequest, ...]:
        """See `AdmissionOrder`."""
        return tuple(sorted((each.handle for each in self._queue.waiting), key=_order))

    @property
    def starts(self) -> tuple[tuple[float, float | None], ...]:
        """See `AdmissionOrder`."""
        return tuple((at, None) for at in self._queue.dispatch_times)

    @property
    def reprobe_interval(self) -> float:
        """See `AdmissionOrder`."""
        return self._queue.reprobe_interval

    def on_asked(self, now: float, demand: RequestDemand) -> None:
        """Does nothing, as shares have no influence."""

    def next_request(self, now: float) -> WaitingRequest | None:
        """See `AdmissionOrder`."""
        head = self._queue.head
        return None if head is None else head.handle

    def must_queue(self, now: float, demand: RequestDemand) -> bool:
        """See `AdmissionOrder`."""
        return self._queue.must_queue(demand.rank)

    def count_ahead(self, demand: RequestDemand) -> int:
        """See `AdmissionOrder`."""
        return self._queue.count_ahead(demand.rank)

    def position(self, request: WaitingRequest) -> int:
        """See `AdmissionOrder`."""
        return self._queue.position(request.queued)

    def admit(
        self, now: float, demand: RequestDemand, wait_deadline: float, handle: Any
    ) -> Admission:
        """See `AdmissionOrder`."""
        request = WaitingRequest(demand, wait_deadline, handle, priority=demand.priority)
        request.queued = self._queue.enqueue(now, demand.rank, wait_deadline, request)
        if request.queued is None:
            return Admission(None)
        request.order = request.queued.order
        return Admission(request)

    def requeue(self, request: WaitingRequest) -> None:
        """See `AdmissionOrder`; the request may have left the queue under another order."""
        if request.queued is None:
            request.order -= ADOPTED_ORDER_OFFSET
            request.queued = _queued(request)
        self._queue.requeue(request.queued)

    def dequeue(self, request: WaitingRequest) -> None:
        """See `AdmissionOrder`."""
        if request.queued is not None:
            self._queue.dequeue(request.queued)

    def adopt(self, previous: AdmissionOrder) -> None:
        """See `AdmissionOrder`."""
        for at, _ in previous.starts:
            self._queue.on_unqueued_dispatch(at)
        for request in previous.waiting:
            request.order -= ADOPTED_ORDER_OFFSET
            request.queued = _queued(request)
            self._queue.requeue(request.queued)

    def on_no_free_target(self) -> None:
        """See `AdmissionOrder`."""
        self._queue.on_no_free_target()

    def on_unqueued_dispatch(self, now: float, demand: RequestDemand) -> None:
        """See `AdmissionOrder`."""
        self._queue.on_unqueued_dispatch(now)

    def on_queued_dispatch(self, now: float, request: WaitingRequest) -> None:
        """See `AdmissionOrder`."""
        self._queue.on_queued_dispatch(now, request.demand.rank)

    def on_refused(self, now: float) -> None:
        """Does nothing, as refusals have no influence."""

    def describe(self, now: float, demand: RequestDemand) -> Mapping[str, object]:
        """Returns nothing: the log line of a refusal has all inputs of this order."""
        return {}


def _queued(request: WaitingRequest) -> QueuedRequest:
    return QueuedRequest(request.demand.rank, request.wait_deadline, request, request.order)


def _order(request: WaitingRequest) -> int:
    return request.order


def work_of_starts(
    starts: Iterable[tuple[float, float | None]], usual_work: float
) -> list[tuple[float, float]]:
    """Returns dispatches with their expected service times, or the usual one where unknown."""
    return [(at, usual_work if work is None else work) for at, work in starts]

"""Queues requests per service while no target has a free slot, and hands freed slots to them."""

import asyncio
import contextlib
import logging
from collections.abc import Callable

from orioleloft_core.admissionqueue import AdmissionQueue, QueuedRequest
from orioleloft_core.errors import ErrorCode
from orioleloft_core.permits import PermitScheduler
from orioleloft_core.ratelimits import RateLimits
from orioleloft_core.registry import TargetRegistry
from orioleloft_core.selection import ProbedTarget
from orioleloft_core.servicetime import ServiceTimes
from orioleloftd.connections import Connection
from orioleloftd.logs import log_event
from orioleloftd.requestcontext import Rejection, RequestContext, SelectedTarget
from orioleloftd.targetaccess import TargetAccess
from orioleloftd.targetchooser import TargetChooser

# A request leaves the queue when this multiple of its expected service time is left of its target
# latency. The margin covers requests that take longer than usual on shared machines.
QUEUE_SERVICE_TIME_MARGIN = 1.3
# Shortest queue wait, in seconds. It also holds for a request that is late already, because a slot
# may be about to become free.
MIN_QUEUE_WAIT_S = 0.08
# Longest queue wait of a request that its caller retries, in seconds. Its response is late in any
# case, and a caller that waits in vain retries later.
MAX_CALLER_RETRY_WAIT_S = 0.4
# Maximum number of targets with rate limits in one log line.
MAX_LOGGED_TARGETS = 20

_log = logging.getLogger(__name__)

_NO_CAPACITY = Rejection(ErrorCode.NO_CAPACITY, "no target can take the request")


class _SlotHandover:
    """Single-item mailbox through which a queued request receives a target with a free slot."""

    def __init__(self) -> None:
        self._event = asyncio.Event()
        self._slot: tuple[ProbedTarget, Connection] | None = None

    def put(self, candidate: ProbedTarget, connection: Connection) -> None:
        """Stores a target and wakes the request.

        The request must have left the queue before, so that the mailbox holds one target at most.
        """
        self._slot = (candidate, connection)
        self._event.set()

    def take(self) -> tuple[ProbedTarget, Connection] | None:
        """Removes and returns the stored target, or None if there is none."""
        slot, self._slot = self._slot, None
        self._event.clear()
        return slot

    async def wait(self, seconds: float) -> None:
        """Waits until a target is stored or the timeout, in seconds, has passed."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._event.wait()


class QueueWaiting:
    """Finds a target for each request, and queues requests per service while there is none.

    Args:
        chooser: selects targets.
        access: connections to targets and observations of them.
        registry: the known targets.
        service_times: expected service times per route.
        rate_limits: rate limits that targets state.
        permits: use of the permits of this node for targets with rate limits.
        clock: seconds on the node's clock.
    """

    def __init__(
        self,
        *,
        chooser: TargetChooser,
        access: TargetAccess,
        registry: TargetRegistry,
        service_times: ServiceTimes,
        rate_limits: RateLimits,
        permits: PermitScheduler,
        clock: Callable[[], float],
    ) -> None:
        self._chooser = chooser
        self._access = access
        self._registry = registry
        self._service_times = service_times
        self._rate_limits = rate_limits
        self._permits = permits
        self._clock = clock
        self._queues: dict[str, AdmissionQueue] = {}

    def has_queued_requests(self, service: str) -> bool:
        """Whether requests of a service are queued."""
        return bool(self._queues.get(service))

    async def acquire_target(self, context: RequestContext) -> SelectedTarget | Rejection:
        """Selects a target that can start the request at once, queueing it if none is free.

        Returns:
            The target, to be used or to be given back by `release_unused`, or why there is none:
            the queue is too long, no target became free in time, or none gets a permit in time.
        """
        queue = self._queues.setdefault(context.service.name, AdmissionQueue())
        selected = None
        if not queue.must_queue(context.rank):
            selected = await self._chooser.select_target(context)
        now = self._clock()
        if selected is not None:
            queue.on_unqueued_dispatch(now)
            return selected
        wait_deadline = now + self._max_wait(context, now)
        ahead = queue.count_ahead(context.rank)
        if not self._can_wait(context, ahead, now, wait_deadline):
            return self._reject_without_permit(context, queue, now, now)
        waiter = queue.enqueue(now, context.rank, wait_deadline, _SlotHandover())
        if waiter is None:
            self._log_no_target(context, queue, now, "the queue is too long")
            return _NO_CAPACITY
        try:
            selected = await self._wait_in_queue(context, queue, waiter)
        finally:
            queue.dequeue(waiter)
            unused_slot = waiter.handle.take()
            if unused_slot is not None:
                self.hand_over_slot(context.service.name, *unused_slot)
        if isinstance(selected, SelectedTarget):
            queue.on_queued_dispatch(self._clock(), context.rank)
        return selected

    def _can_wait(
        self, context: RequestContext, ahead: int, now: float, wait_deadline: float
    ) -> bool:
        return self._permits.can_wait(
            now, self._chooser.untried_targets(context), ahead, wait_deadline
        )

    def _reject_without_permit(
        self, context: RequestContext, queue: AdmissionQueue, now: float, since: float
    ) -> Rejection:
        """Rejects a request that gets no permit in time, and says when its caller should return."""
        reason = "all targets have rate limits"
        self._log_no_target(context, queue, since, reason)
        targets = self._chooser.untried_targets(context)
        retry_after = self._permits.retry_after(now, context.service.name, targets)
        return Rejection(ErrorCode.TARGETS_RATE_LIMITED, reason, retry_after)

    def _log_no_target(
        self, context: RequestContext, queue: AdmissionQueue, since: float, reason: str
    ) -> None:
        log_event(
            _log,
            "no target",
            request=context.request.id,
            reason=reason,
            waited_ms=round((self._clock() - since) * 1000),
            line=len(queue),
            usable=len(self._registry.eligible_targets(context.service.name)),
            asked=context.probe_count,
            offers={candidate.target.id: candidate.load for candidate in context.candidates},
            cold=[candidate.target.id for candidate in context.candidates if candidate.is_cold],
            limited=self._limited_target_ids(context.service.name),
            targets=self._registry.target_list.version.revision,
        )

    def _limited_target_ids(self, service: str) -> list[str]:
        targets = self._registry.eligible_targets(service)
        limited = [target.id for target in targets if self._rate_limits.is_limited(target)]
        return limited[:MAX_LOGGED_TARGETS]

    def _max_wait(self, context: RequestContext, now: float) -> float:
        """Returns the longest useful time in the queue, in seconds."""
        service_time = self._service_times.expected(
            context.route.name, context.route.target_latency
        )
        remaining = context.deadline - now - service_time
        if context.is_caller_retry:
            return max(MIN_QUEUE_WAIT_S, min(MAX_CALLER_RETRY_WAIT_S, remaining))
        useful_wait = (
            context.request.arrived_at
            + context.route.target_latency
            - QUEUE_SERVICE_TIME_MARGIN * service_time
            - now
        )
        return max(MIN_QUEUE_WAIT_S, min(useful_wait, remaining))

    async def _wait_in_queue(
        self, context: RequestContext, queue: AdmissionQueue, waiter: QueuedRequest
    ) -> SelectedTarget | Rejection:
        """Waits until another request hands over a target, and probes while at the queue's head.

        Returns:
            The target, or the rejection at the end of the wait, or as soon as all targets have
            rate limits and no permit is due before it.
        """
        since = self._clock()
        while True:
            remaining = waiter.wait_deadline - self._clock()
            if remaining <= 0:
                # While others are queued, a slot spent on a late response delays theirs as well.
                selected = None
                if len(queue) == 1:
                    selected = await self._chooser.probe_candidates(
                        context, accepts_late_response=True
                    )
                if selected is None:
                    self._log_no_target(context, queue, since, "no target became free in time")
                return selected or _NO_CAPACITY
            await waiter.handle.wait(min(remaining, queue.reprobe_interval))
            slot = waiter.handle.take()
            selected = None
            if slot is not None:
                selected = self._chooser.accept_handover(context, *slot)
                if selected is None:
                    queue.requeue(waiter)
            elif queue.head is waiter:
                selected = await self._chooser.select_target(context)
                if selected is None:
                    queue.on_no_free_target()
            if selected is not None:
                return selected
            now = self._clock()
            if not self._can_wait(context, queue.position(waiter), now, waiter.wait_deadline):
                return self._reject_without_permit(context, queue, now, since)

    def hand_over_slot(self, service: str, candidate: ProbedTarget, connection: Connection) -> None:
        """Hands a target with a free slot to the head of the queue, without another probe.

        If no request can take it, its connection returns to the pool.
        """
        queue = self._queues.get(service)
        waiter = queue.head if queue else None
        if waiter is None or not self._chooser.can_hand_over(candidate, connection):
            self._access.release(candidate.target, connection)
            return
        queue.dequeue(waiter)
        waiter.handle.put(candidate, connection)

"""Queues requests per service while no target has a free slot, and hands freed slots to them."""

import asyncio
import contextlib
import dataclasses
import logging
import random
from collections.abc import Callable, Collection, Mapping

from orioleloft_core.admissionorder import (
    AdmissionOrder,
    ArrivalOrder,
    RequestDemand,
    WaitingRequest,
    snapshot,
)
from orioleloft_core.admissionqueue import DISPATCH_RATE_WINDOW_S, AdmissionPolicy
from orioleloft_core.deadlineorder import DeadlineOrder
from orioleloft_core.errors import ErrorCode
from orioleloft_core.fixedrandom import GREATEST, LEAST, FixedRandom
from orioleloft_core.permits import PermitScheduler
from orioleloft_core.ratelimits import RateLimits
from orioleloft_core.refusalreturns import RefusalReturns
from orioleloft_core.registry import TargetRegistry
from orioleloft_core.selection import ProbedTarget
from orioleloft_core.servicetime import ServiceTimes
from orioleloft_core.targetavailability import TargetAvailability
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
# Greatest priority with a label of its own in the metrics; others share one.
MAX_PRIORITY_LABEL = 9
# Least time over which callers return that are refused because all targets pause, in seconds.
MIN_RETURN_SPREAD_S = 1.0
# Longest time after which such a caller is told to return, in seconds: targets that are added
# meanwhile have room sooner.
MAX_ADVISED_PAUSE_S = 60.0
# Maximum number of targets with rate limits, and of paused or leaving ones, in one log line.
MAX_LOGGED_TARGETS = 20

_log = logging.getLogger(__name__)

_NO_CAPACITY_TEXT = "no target can take the request"


@dataclasses.dataclass(frozen=True)
class QueuePreview:
    """How a new request would fare in the queue of its service.

    Attributes:
        policy: order of admission in force.
        inputs: what the order says of the request; see `AdmissionOrder.describe`.
        length: requests that wait.
        ahead: those that receive a slot before the request.
        must_queue: whether it waits because others go before it.
        is_admitted: whether there is room for it in the queue.
        displaced: waiting requests that would be refused in its favour.
        dispatches_per_s: requests of the service that got a target in the last second.
        work: expected service time, in seconds.
        max_wait: longest time that it would wait, in seconds.
        retry_after: bounds of the time after which its caller would be told to return if it were
            refused, in seconds, or None for those of the default.
    """

    policy: AdmissionPolicy
    inputs: Mapping[str, object]
    length: int
    ahead: int
    must_queue: bool
    is_admitted: bool
    displaced: int
    dispatches_per_s: float
    work: float
    max_wait: float
    retry_after: tuple[float, float] | None


def _new_order(policy: AdmissionPolicy) -> AdmissionOrder:
    return DeadlineOrder() if policy is AdmissionPolicy.DEADLINE else ArrivalOrder()


class _SlotHandover:
    """Single-item mailbox through which a queued request receives a target with a free slot.

    Attributes:
        is_displaced: whether the request has been refused in favour of others.
    """

    def __init__(self) -> None:
        self.is_displaced = False
        self._event = asyncio.Event()
        self._slot: tuple[ProbedTarget, Connection] | None = None

    def put(self, candidate: ProbedTarget, connection: Connection) -> None:
        """Stores a target and wakes the request.

        The request must have left the queue before, so that the mailbox holds one target at most.
        """
        self._slot = (candidate, connection)
        self._event.set()

    def displace(self) -> None:
        """Refuses the request, which must have left the queue before, and wakes it."""
        self.is_displaced = True
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
        availability: tells which targets leave or pause.
        policy: returns the order of admission in force.
        count: increments a metric.
        clock: seconds on the node's clock.
        rng: source of the times at which refused callers return.
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
        availability: TargetAvailability,
        policy: Callable[[], AdmissionPolicy],
        count: Callable[..., None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._chooser = chooser
        self._access = access
        self._registry = registry
        self._service_times = service_times
        self._rate_limits = rate_limits
        self._permits = permits
        self._availability = availability
        self._policy = policy
        self._count = count
        self._clock = clock
        self._rng = rng
        self._queues: dict[str, AdmissionOrder] = {}
        self._returns: dict[str, RefusalReturns] = {}

    @property
    def fair_share_lag(self) -> float:
        """Greatest difference of waiting work among tenants; see `FairShare.lag`."""
        queues = self._queues.values()
        return max(
            (queue.fair_share_lag for queue in queues if isinstance(queue, DeadlineOrder)),
            default=0.0,
        )

    def sweep(self, services: Collection[str]) -> None:
        """Drops what was learned for services that are gone and have no waiting requests."""
        for name in [name for name in self._returns if name not in services]:
            if not self._queues.get(name):
                self._queues.pop(name, None)
                del self._returns[name]

    def _queue(self, service: str) -> AdmissionOrder:
        """Returns the queue of a service, changed to the order of admission in force."""
        policy = self._policy()
        queue = self._queues.get(service)
        if queue is not None and queue.policy is policy:
            return queue
        changed = _new_order(policy)
        if queue is not None:
            changed.adopt(queue)
            log_event(
                _log,
                "admission order changed",
                service=service,
                policy=policy.value,
                line=len(changed),
            )
        self._queues[service] = changed
        return changed

    def _returns_of(self, service: str) -> RefusalReturns:
        returns = self._returns.get(service)
        if returns is None:
            returns = self._returns[service] = RefusalReturns(self._rng)
        return returns

    def _demand(self, context: RequestContext) -> RequestDemand:
        """Returns what a request needs, with the priority of its tenant if that has one."""
        route, tenant, rank = context.route, context.tenant, context.rank
        return RequestDemand(
            rank=rank,
            route=route.name,
            tenant="" if tenant is None else tenant.name,
            priority=rank.priority,
            work=self._service_times.expected(route.name, route.target_latency),
            deadline=context.deadline,
            is_retry=context.attempt_count > 0,
        )

    def has_queued_requests(self, service: str) -> bool:
        """Whether requests of a service are queued."""
        return bool(self._queues.get(service))

    async def acquire_target(self, context: RequestContext) -> SelectedTarget | Rejection:
        """Selects a target that can start the request at once, queueing it if none is free.

        Returns:
            The target, to be used or to be given back by `release_unused`, or why there is none:
            the queue is too long, no target became free in time, or none gets a permit in time.
        """
        selected = await self._acquire_target(context)
        if isinstance(selected, SelectedTarget):
            self._chooser.on_acquired(context)
        return selected

    async def _acquire_target(self, context: RequestContext) -> SelectedTarget | Rejection:
        service = context.service.name
        queue, demand, now = self._queue(service), self._demand(context), self._clock()
        self._on_asked(queue, service, demand, now)
        selected = await self._chooser.select_new_version(context)
        queue, now = self._queue(service), self._clock()
        if selected is not None:
            if queue.policy is AdmissionPolicy.DEADLINE:
                queue.on_unqueued_dispatch(now, demand)
            self._count_served(queue, demand)
            return selected
        rejection = self._reject_while_paused(context, demand, now)
        if rejection is not None:
            return rejection
        if not queue.must_queue(now, demand):
            selected = await self._chooser.select_target(context)
        now = self._clock()
        queue = self._queue(service)
        if selected is not None:
            queue.on_unqueued_dispatch(now, demand)
            self._count_served(queue, demand)
            return selected
        wait_deadline = now + self._max_wait(context, now)
        ahead = queue.count_ahead(demand)
        if not self._can_wait(context, ahead, now, wait_deadline):
            return self._reject_without_permit(context, demand, now)
        admission = queue.admit(now, demand, wait_deadline, _SlotHandover())
        for displaced in admission.displaced:
            displaced.handle.displace()
        waiter = admission.request
        if waiter is None:
            return self._refuse(context, demand, now, "the queue is too long", "room")
        try:
            selected = await self._wait_in_queue(context, waiter)
        finally:
            self._queue(service).dequeue(waiter)
            unused_slot = waiter.handle.take()
            if unused_slot is not None:
                self.hand_over_slot(service, *unused_slot)
        if isinstance(selected, SelectedTarget):
            queue = self._queue(service)
            queue.on_queued_dispatch(self._clock(), waiter)
            self._count_served(queue, demand)
        return selected

    def preview(self, context: RequestContext) -> QueuePreview:
        """Returns how a new request would fare here; like `acquire_target`, without effect.

        Args:
            context: the request.
        """
        service, now, policy = context.service.name, self._clock(), self._policy()
        known = self._queues.get(service)
        queue = _new_order(policy) if known is None else snapshot(known)
        if queue.policy is not policy:
            queue, previous = _new_order(policy), queue
            queue.adopt(previous)
        demand = self._demand(context)
        if queue.policy is AdmissionPolicy.DEADLINE:
            queue.on_asked(now, demand)
        ahead, length = queue.count_ahead(demand), len(queue)
        must_queue = queue.must_queue(now, demand)
        inputs = queue.describe(now, demand)
        retry_after = None
        if isinstance(queue, DeadlineOrder):
            retry_after = self._preview_return(context, demand, queue.backlog(now))
        recent = [at for at, _ in queue.starts if now - at < DISPATCH_RATE_WINDOW_S]
        max_wait = self._max_wait(context, now)
        admission = queue.admit(now, demand, now + max_wait, None)
        return QueuePreview(
            policy=policy,
            inputs=inputs,
            length=length,
            ahead=ahead,
            must_queue=must_queue,
            is_admitted=admission.request is not None,
            displaced=len(admission.displaced),
            dispatches_per_s=len(recent) / DISPATCH_RATE_WINDOW_S,
            work=demand.work,
            max_wait=max_wait,
            retry_after=retry_after,
        )

    def _preview_return(
        self, context: RequestContext, demand: RequestDemand, backlog: float
    ) -> tuple[float, float]:
        """Returns the bounds of the time after which a refused caller would be told to return."""
        now, bounds = self._clock(), []
        returns = self._returns.get(context.service.name) or RefusalReturns(self._rng)
        for fraction in (LEAST, GREATEST):
            copied = returns.snapshot(FixedRandom(fraction))
            copied.on_asked(now, demand.rank.is_caller_retry)
            time_left = context.deadline - now - demand.work
            bounds.append(copied.retry_after(now, backlog, time_left))
        return min(bounds), max(bounds)

    def _on_asked(
        self, queue: AdmissionOrder, service: str, demand: RequestDemand, now: float
    ) -> None:
        """Counts a request where shares and times to return follow from the counts."""
        if queue.policy is not AdmissionPolicy.DEADLINE:
            return
        queue.on_asked(now, demand)
        if not demand.is_retry:
            self._returns_of(service).on_asked(now, demand.rank.is_caller_retry)

    def _count_served(self, queue: AdmissionOrder, demand: RequestDemand) -> None:
        if queue.policy is AdmissionPolicy.DEADLINE:
            self._count(
                "admitted",
                priority=str(min(MAX_PRIORITY_LABEL, demand.priority)),
                late=str(int(demand.rank.is_caller_retry)),
            )

    def _refuse(
        self,
        context: RequestContext,
        demand: RequestDemand,
        since: float,
        reason: str,
        label: str,
    ) -> Rejection:
        """Refuses a request that was not run, and says when its caller should return.

        Args:
            context: the request.
            demand: what it needs.
            since: start of its wait, in seconds on the node's clock.
            reason: reason in the reply and the log.
            label: reason in the metrics.
        """
        service, now = context.service.name, self._clock()
        queue = self._queue(service)
        self._log_no_target(context, queue, demand, since, reason)
        if not isinstance(queue, DeadlineOrder):
            return Rejection(ErrorCode.NO_CAPACITY, _NO_CAPACITY_TEXT)
        queue.on_refused(now)
        self._count("admission_refusals", reason=label)
        retry_after = self._returns_of(service).retry_after(
            now, queue.backlog(now), context.deadline - now - demand.work
        )
        return Rejection(ErrorCode.NO_CAPACITY, reason, retry_after)

    def _can_wait(
        self, context: RequestContext, ahead: int, now: float, wait_deadline: float
    ) -> bool:
        return self._permits.can_wait(
            now, self._chooser.untried_targets(context), ahead, wait_deadline
        )

    def _reject_while_paused(
        self, context: RequestContext, demand: RequestDemand, since: float
    ) -> Rejection | None:
        """Rejects a request if all targets of its service have asked for a pause, else None."""
        service, now = context.service.name, self._clock()
        ends = self._availability.pause_ends(now, self._chooser.admitted_targets(context))
        if ends is None:
            return None
        reason = "all targets have asked for a pause"
        queue = self._queue(service)
        self._log_no_target(context, queue, demand, since, reason)
        if queue.policy is AdmissionPolicy.DEADLINE:
            self._count("admission_refusals", reason="pause")
        first, last = ends
        retry_after = self._rng.uniform(first, max(last, first + MIN_RETURN_SPREAD_S)) - now
        return Rejection(ErrorCode.NO_CAPACITY, reason, min(MAX_ADVISED_PAUSE_S, retry_after))

    def _reject_without_permit(
        self, context: RequestContext, demand: RequestDemand, since: float
    ) -> Rejection:
        """Rejects a request that gets no permit in time, and says when its caller should return."""
        reason = "all targets have rate limits"
        queue, now = self._queue(context.service.name), self._clock()
        self._log_no_target(context, queue, demand, since, reason)
        if queue.policy is AdmissionPolicy.DEADLINE:
            self._count("admission_refusals", reason="permit")
        targets = self._chooser.untried_targets(context)
        retry_after = self._permits.retry_after(now, context.service.name, targets)
        return Rejection(ErrorCode.TARGETS_RATE_LIMITED, reason, retry_after)

    def _log_no_target(
        self,
        context: RequestContext,
        queue: AdmissionOrder,
        demand: RequestDemand,
        since: float,
        reason: str,
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
            withdrawn=self._withdrawn_targets(context.service.name),
            targets=self._registry.target_list.version.revision,
            **queue.describe(self._clock(), demand),
        )

    def _limited_target_ids(self, service: str) -> list[str]:
        targets = self._registry.eligible_targets(service)
        limited = [target.id for target in targets if self._rate_limits.is_limited(target)]
        return limited[:MAX_LOGGED_TARGETS]

    def _withdrawn_targets(self, service: str) -> dict[str, str]:
        now = self._clock()
        found = {
            target.id: self._availability.withdrawal(now, target)
            for target in self._registry.eligible_targets(service)
        }
        reasons = [(name, why.reason.value) for name, why in found.items() if why is not None]
        return dict(reasons[:MAX_LOGGED_TARGETS])

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
        self, context: RequestContext, waiter: WaitingRequest
    ) -> SelectedTarget | Rejection:
        """Waits until another request hands over a target, and probes while at the queue's head.

        Returns:
            The target, or the rejection at the end of the wait, or as soon as the request is
            displaced, or all targets have rate limits and no permit is due before it.
        """
        service, demand, since = context.service.name, waiter.demand, self._clock()
        while True:
            queue = self._queue(service)
            if waiter.handle.is_displaced:
                reason = "requests that cost more to refuse need the room"
                return self._refuse(context, demand, since, reason, "displaced")
            remaining = waiter.wait_deadline - self._clock()
            if remaining <= 0:
                # While others are queued, a slot spent on a late response delays theirs as well.
                selected = None
                if len(queue) == 1:
                    selected = await self._chooser.probe_candidates(
                        context, accepts_late_response=True
                    )
                if selected is None:
                    reason = "no target became free in time"
                    return self._refuse(context, demand, since, reason, "wait")
                return selected
            await waiter.handle.wait(min(remaining, queue.reprobe_interval))
            queue = self._queue(service)
            slot = waiter.handle.take()
            selected = None
            if slot is not None:
                selected = self._chooser.accept_handover(context, *slot)
                if selected is None:
                    queue.requeue(waiter)
            elif queue.next_request(self._clock()) is waiter:
                selected = await self._chooser.select_target(context)
                if selected is None:
                    self._queue(service).on_no_free_target()
            if selected is not None:
                return selected
            rejection = self._reject_while_paused(context, demand, since)
            if rejection is not None:
                return rejection
            now = self._clock()
            ahead = self._queue(service).position(waiter)
            if not self._can_wait(context, ahead, now, waiter.wait_deadline):
                return self._reject_without_permit(context, demand, since)

    def hand_over_slot(self, service: str, candidate: ProbedTarget, connection: Connection) -> None:
        """Hands a target with a free slot to the head of the queue, without another probe.

        If no request can take it, its connection returns to the pool.
        """
        queue, now = self._queues.get(service), self._clock()
        if queue is not None and queue.policy is AdmissionPolicy.DEADLINE:
            self._returns_of(service).on_ended(now)
        waiter = queue.next_request(now) if queue else None
        if waiter is None or not self._chooser.can_hand_over(candidate, connection):
            self._access.release(candidate.target, connection)
            return
        queue.dequeue(waiter)
        waiter.handle.put(candidate, connection)

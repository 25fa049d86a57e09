"""Target selection: probes candidates and queues requests while no target has a free slot."""

import asyncio
import contextlib
import logging
import random
from collections.abc import Callable, Iterable

from orioleloft_core.admissionqueue import AdmissionQueue, QueuedRequest
from orioleloft_core.budget import TokenBucket
from orioleloft_core.errors import ErrorCode
from orioleloft_core.permits import PermitScheduler
from orioleloft_core.ratelimits import RateLimits
from orioleloft_core.registry import RegisteredTarget, TargetRegistry
from orioleloft_core.rollouts import VersionGate
from orioleloft_core.routes import RoutedService
from orioleloft_core.selection import FIRST_ROUND_PROBES, ProbedTarget, TargetSelector
from orioleloft_core.servicetime import ServiceTimes
from orioleloft_core.slowstart import SlowStartLimiter
from orioleloftd.connections import Connection
from orioleloftd.logs import log_event
from orioleloftd.requestcontext import Rejection, RequestContext, SelectedTarget
from orioleloftd.targetaccess import PROBE_WAIT_S, TargetAccess, result_or_none

# A request leaves the queue when this multiple of its expected service time is left of its target
# latency. The margin covers requests that take longer than usual on shared machines.
QUEUE_SERVICE_TIME_MARGIN = 1.3
# Slowdown of a target, as a multiple of the service time, that a request past its target latency
# still accepts. Slow phases of shared machines end after 0.3 s, while a slower target would occupy
# its slot for several times as long.
MAX_LATE_SLOWDOWN = 2.0
# Shortest queue wait, in seconds. It also holds for a request that is late already, because a slot
# may be about to become free.
MIN_QUEUE_WAIT_S = 0.08
# Longest queue wait of a request that its caller retries, in seconds. Its response is late in any
# case, and a caller that waits in vain retries later.
MAX_CALLER_RETRY_WAIT_S = 0.4
# Maximum number of targets with rate limits in one log line.
MAX_LOGGED_TARGETS = 20
# A request is not dispatched with less time than this to its deadline, in seconds.
MIN_TIME_TO_DEADLINE_S = 0.03

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


class TargetChooser:
    """Selects a target for each request and queues requests per service.

    Args:
        access: connections to targets and observations of them.
        registry: the known targets.
        selector: ranks targets.
        service_times: expected service times per route.
        zones: returns the availability zone of each registered node, by node name.
        slow_start_limiter: rate limit for requests to cold targets.
        rate_limits: rate limits that targets state, and the permits of this node for them.
        probe_budget: token bucket for the probes of this node.
        clock: seconds on the node's clock.
        rng: source of the times at which rejected callers return.
        versions: decides which versions of targets get requests.
    """

    def __init__(
        self,
        *,
        access: TargetAccess,
        registry: TargetRegistry,
        selector: TargetSelector,
        service_times: ServiceTimes,
        zones: Callable[[], dict[str, str]],
        slow_start_limiter: SlowStartLimiter,
        rate_limits: RateLimits,
        probe_budget: TokenBucket,
        clock: Callable[[], float],
        rng: random.Random,
        versions: VersionGate,
    ) -> None:
        self._versions = versions
        self._access = access
        self._registry = registry
        self._selector = selector
        self._service_times = service_times
        self._zones = zones
        self._slow_start_limiter = slow_start_limiter
        self._rate_limits = rate_limits
        self._probe_budget = probe_budget
        self._clock = clock
        self._permits = PermitScheduler(rate_limits, access.observations, zones, rng)
        self._queues: dict[str, AdmissionQueue] = {}
        self._probe_tasks: set[asyncio.Task] = set()

    def has_queued_requests(self, service: str) -> bool:
        """Whether requests of a service are queued."""
        return bool(self._queues.get(service))

    def sweep(self, services: Iterable[RoutedService]) -> None:
        """Drops the state of targets that are no longer registered, and spends idle permits.

        Args:
            services: the services whose targets receive requests.
        """
        self._slow_start_limiter.retain_only(
            target.id for target in self._registry.target_list.targets
        )
        for service in services:
            self._probe_with_idle_permits(service)

    def _probe_with_idle_permits(self, service: RoutedService) -> None:
        """Probes the targets for which this node has had a permit and no request for some time."""
        now = self._clock()
        targets = self._registry.eligible_targets(service.name)
        targets = self._versions.admitted(now, service.name, targets, is_chosen=False)
        for target in self._permits.take_idle(now, targets):
            task = self._start_probe(target, service, has_permit=True)
            task.add_done_callback(self._access.release_late_probe)

    async def acquire_target(self, context: RequestContext) -> SelectedTarget | Rejection:
        """Selects a target that can start the request at once, queueing it if none is free.

        Returns:
            The target, to be used or to be given back by `release_unused`, or why there is none:
            the queue is too long, no target became free in time, or none gets a permit in time.
        """
        selected = await self._acquire_admitted(context)
        if isinstance(selected, SelectedTarget) and not context.attempt_count:
            self._versions.on_first_attempt(context.service.name)
        return selected

    async def _acquire_admitted(self, context: RequestContext) -> SelectedTarget | Rejection:
        queue = self._queues.setdefault(context.service.name, AdmissionQueue())
        selected = await self._select_new_version(context)
        if selected is not None:
            return selected
        if not queue.must_queue(context.rank):
            selected = await self._select_target(context)
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

    async def _select_new_version(self, context: RequestContext) -> SelectedTarget | None:
        """Selects a target of the new version if the request is within the version's share.

        If none can take it now, the request goes to the old versions like all others. A late
        response is accepted, as there would soon be no evidence on a slow version otherwise.
        """
        service = context.service.name
        if context.attempt_count or not self._versions.choose(self._clock(), service):
            return None
        context.is_chosen = True
        selected = None
        try:
            selected = await self._use_permit(context) or await self.probe_candidates(
                context, accepts_late_response=True
            )
        finally:
            if selected is None:
                context.is_chosen = False
                self._versions.give_back(self._clock(), service)
        return selected

    def _is_admitted(self, context: RequestContext, target: RegisteredTarget) -> bool:
        """Whether a target that was found earlier may still get the request, by its version."""
        return self._versions.admits(self._clock(), target, self._is_chosen(context))

    def _is_chosen(self, context: RequestContext) -> bool:
        # Retries and hedges of a chosen request go to the old versions.
        return context.is_chosen and not context.attempt_count

    def _can_wait(
        self, context: RequestContext, ahead: int, now: float, wait_deadline: float
    ) -> bool:
        return self._permits.can_wait(now, self._untried_targets(context), ahead, wait_deadline)

    def _untried_targets(self, context: RequestContext) -> list[RegisteredTarget]:
        service = context.service.name
        admitted = self._versions.admitted(
            self._clock(),
            service,
            self._registry.eligible_targets(service),
            self._is_chosen(context),
        )
        return [target for target in admitted if target.id not in context.tried_target_ids]

    def _reject_without_permit(
        self, context: RequestContext, queue: AdmissionQueue, now: float, since: float
    ) -> Rejection:
        """Rejects a request that gets no permit in time, and says when its caller should return."""
        reason = "all targets have rate limits"
        self._log_no_target(context, queue, since, reason)
        targets = self._untried_targets(context)
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
                    selected = await self.probe_candidates(context, accepts_late_response=True)
                if selected is None:
                    self._log_no_target(context, queue, since, "no target became free in time")
                return selected or _NO_CAPACITY
            await waiter.handle.wait(min(remaining, queue.reprobe_interval))
            slot = waiter.handle.take()
            selected = None
            if slot is not None:
                selected = self._accept_handover(context, *slot)
                if selected is None:
                    queue.requeue(waiter)
            elif queue.head is waiter:
                selected = await self._select_target(context)
                if selected is None:
                    queue.on_no_free_target()
            if selected is not None:
                return selected
            now = self._clock()
            if not self._can_wait(context, queue.position(waiter), now, waiter.wait_deadline):
                return self._reject_without_permit(context, queue, now, since)

    def _accept_handover(
        self, context: RequestContext, candidate: ProbedTarget, connection: Connection
    ) -> SelectedTarget | None:
        """Accepts a target on which another request of this node has just ended.

        Returns:
            None if the request cannot use it; the connection is then back in the pool.
        """
        now = self._clock()
        service_time = self._service_times.expected(
            context.route.name, context.route.target_latency
        )
        is_eligible = (
            candidate.target.id not in context.tried_target_ids
            and self._registry.is_eligible(candidate.target)
            and self._is_admitted(context, candidate.target)
            and not self._rate_limits.is_limited(candidate.target)
        )
        if not (
            is_eligible
            and connection.is_usable
            and self._is_response_in_time(context, candidate, now, service_time)
        ):
            self._access.release(candidate.target, connection)
            return None
        return self._take(now, candidate, connection, service_time)

    def hand_over_slot(self, service: str, candidate: ProbedTarget, connection: Connection) -> None:
        """Hands a target with a free slot to the head of the queue, without another probe.

        If no request can take it, its connection returns to the pool.
        """
        queue = self._queues.get(service)
        waiter = queue.head if queue else None
        is_free = self._selector.has_free_slot(self._clock(), candidate) and connection.is_usable
        is_eligible = (
            self._registry.is_eligible(candidate.target)
            and self._versions.admits(self._clock(), candidate.target, is_chosen=False)
            and not self._rate_limits.is_limited(candidate.target)
        )
        if waiter is None or not is_free or not is_eligible:
            self._access.release(candidate.target, connection)
            return
        queue.dequeue(waiter)
        waiter.handle.put(candidate, connection)

    async def _select_target(self, context: RequestContext) -> SelectedTarget | None:
        """Selects a target for which this node holds a permit, or else one without a rate limit.

        Retries take a target without a limit first, as others use the permits as well.
        """
        if context.attempt_count:
            return await self.probe_candidates(context) or await self._use_permit(context)
        return await self._use_permit(context) or await self.probe_candidates(context)

    async def _use_permit(self, context: RequestContext) -> SelectedTarget | None:
        """Uses a permit of this node for a target with a rate limit, without a probe.

        A probe would count against the limit as well. The permit is used even if no request is
        sent in the end, so that the limit holds in any case.
        """
        now = self._clock()
        service_time = self._service_times.expected(
            context.route.name, context.route.target_latency
        )
        candidates = [
            candidate
            for candidate in self._permits.candidates(now, self._untried_targets(context))
            if self._is_probe_allowed(now, context, candidate.target)
            and self._is_response_in_time(context, candidate, now, service_time)
        ]
        best = self._selector.best(now, candidates, service_time, context.route.target_latency)
        if best is None:
            return None
        self._rate_limits.on_sent(now, best.target)
        connection = await self._access.open(best.target)
        if connection is None:
            return None
        now = self._clock()
        if (
            not self._registry.is_eligible(best.target)
            or not self._is_admitted(context, best.target)
            or context.deadline - now < MIN_TIME_TO_DEADLINE_S
        ):
            self._access.release(best.target, connection)
            return None
        return self._take(now, best, connection, service_time)

    async def probe_candidates(
        self, context: RequestContext, accepts_late_response: bool = False
    ) -> SelectedTarget | None:
        """Probes candidates and returns the best one that can start the request at once, or None.

        Targets with rate limits are neither probed nor selected.

        Args:
            context: the request.
            accepts_late_response: whether to accept a target that will respond after the target
                latency.
        """
        now = self._clock()
        eligible_targets = [
            target
            for target in self._untried_targets(context)
            if not self._rate_limits.is_limited(target)
            and self._is_probe_allowed(now, context, target)
        ]
        ranked = self._selector.candidates(now, eligible_targets)
        probes: dict[asyncio.Task, RegisteredTarget] = {}
        responsive: dict[ProbedTarget, Connection] = {}
        context.probe_count = 0
        try:
            for batch in (ranked[:FIRST_ROUND_PROBES], ranked[FIRST_ROUND_PROBES:]):
                for target in batch:
                    if self._probe_budget.take(self._clock()):
                        probes[self._start_probe(target, context.service)] = target
                        context.probe_count += 1
                await self._collect_responses(context, probes, responsive)
                if self._can_stop_probing(responsive):
                    break
            context.candidates = tuple(responsive)
            return self._select_best(context, responsive, accepts_late_response)
        finally:
            for task in probes:
                task.add_done_callback(self._access.release_late_probe)
            for candidate, connection in responsive.items():
                self._access.release(candidate.target, connection)

    def _start_probe(
        self, target: RegisteredTarget, service: RoutedService, has_permit: bool = False
    ) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(
            self._access.probe(target, service, has_permit)
        )
        self._probe_tasks.add(task)
        task.add_done_callback(self._probe_tasks.discard)
        return task

    def _can_stop_probing(self, responsive: dict[ProbedTarget, Connection]) -> bool:
        now = self._clock()
        return any(self._selector.can_stop_probing(now, candidate) for candidate in responsive)

    async def _collect_responses(
        self,
        context: RequestContext,
        probes: dict[asyncio.Task, RegisteredTarget],
        responsive: dict[ProbedTarget, Connection],
    ) -> None:
        """Waits for probe responses until one is good enough or `PROBE_WAIT_S` has passed.

        Moves finished probes from `probes` to `responsive`.
        """
        end = min(self._clock() + PROBE_WAIT_S, context.deadline - MIN_TIME_TO_DEADLINE_S)
        while probes and not self._can_stop_probing(responsive):
            remaining = end - self._clock()
            if remaining <= 0:
                return
            done, _ = await asyncio.wait(
                probes, timeout=remaining, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                del probes[task]
                found = result_or_none(task)
                if found is not None:
                    candidate, connection = found
                    responsive[candidate] = connection

    def _select_best(
        self,
        context: RequestContext,
        responsive: dict[ProbedTarget, Connection],
        accepts_late_response: bool,
    ) -> SelectedTarget | None:
        """Removes the best eligible candidate from `responsive` and returns it, or None."""
        now = self._clock()
        if context.deadline - now < MIN_TIME_TO_DEADLINE_S:
            return None
        latency = context.route.target_latency
        service_time = self._service_times.expected(context.route.name, latency)
        eligible = [
            candidate
            for candidate, connection in responsive.items()
            if connection.is_usable
            and self._registry.is_eligible(candidate.target)
            and self._is_admitted(context, candidate.target)
            and not self._rate_limits.is_limited(candidate.target)
            and self._selector.has_free_slot(now, candidate)
            and self._is_response_acceptable(
                context, candidate, now, service_time, accepts_late_response
            )
            and self._is_dispatch_allowed(now, context, candidate)
        ]
        best = self._selector.best(now, eligible, service_time, latency)
        if best is None:
            return None
        return self._take(now, best, responsive.pop(best), service_time)

    def _take(
        self, now: float, candidate: ProbedTarget, connection: Connection, service_time: float
    ) -> SelectedTarget:
        """Counts a request for a target that is selected for it."""
        expected_response_time = self._selector.expected_response_time(now, candidate, service_time)
        busy_slots = self._selector.busy_slots(candidate)
        self._access.observations(candidate.target).on_selected()
        if candidate.is_cold:
            self._slow_start_limiter.on_sent(now, candidate.target.id)
        return SelectedTarget(candidate, connection, expected_response_time, busy_slots)

    def _is_response_in_time(
        self, context: RequestContext, candidate: ProbedTarget, now: float, service_time: float
    ) -> bool:
        """Whether the response is expected in time.

        That is within the target latency, or within `MAX_LATE_SLOWDOWN` service times if this is
        later.
        """
        expected = self._selector.expected_response_time(now, candidate, service_time)
        due_at = context.request.arrived_at + context.route.target_latency
        return expected <= max(due_at - now, MAX_LATE_SLOWDOWN * service_time)

    def _is_response_acceptable(
        self,
        context: RequestContext,
        candidate: ProbedTarget,
        now: float,
        service_time: float,
        accepts_late_response: bool,
    ) -> bool:
        """Whether the response is expected in time, or before the deadline if it may be late."""
        if not accepts_late_response:
            return self._is_response_in_time(context, candidate, now, service_time)
        return (
            self._selector.expected_response_time(now, candidate, service_time)
            <= context.deadline - now
        )

    def release_unused(self, selected: SelectedTarget) -> None:
        """Gives back a selected target to which the request was not sent."""
        target = selected.candidate.target
        self._access.observations(target).on_no_answer()
        if selected.candidate.is_cold:
            self._slow_start_limiter.on_not_sent(target.id)
        self._access.release(target, selected.connection)

    def _is_probe_allowed(
        self, now: float, context: RequestContext, target: RegisteredTarget
    ) -> bool:
        """Whether a target is worth a probe: it is warm, or this node may send to it while cold.

        After a zone has recovered, most of its targets are cold. Probes of cold targets that this
        node may not use would displace probes of other candidates.
        """
        if not self._access.observations(target).is_cold(now):
            return True
        return self._slow_start_limiter.may_send(
            now, target, context.service.cold_per_s, self._zones()
        )

    def _is_dispatch_allowed(
        self, now: float, context: RequestContext, candidate: ProbedTarget
    ) -> bool:
        if not candidate.is_cold:
            return True
        return self._slow_start_limiter.may_send(
            now, candidate.target, context.service.cold_per_s, self._zones()
        )

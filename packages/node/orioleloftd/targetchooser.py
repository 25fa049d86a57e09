"""Target selection: probes candidates and takes one that can start the request at once."""

import asyncio
from collections.abc import Callable, Iterable

from orioleloft_core.budget import TokenBucket
from orioleloft_core.permits import PermitScheduler
from orioleloft_core.ratelimits import RateLimits
from orioleloft_core.registry import RegisteredTarget, TargetRegistry
from orioleloft_core.rollouts import VersionGate
from orioleloft_core.routes import RoutedService
from orioleloft_core.selection import FIRST_ROUND_PROBES, ProbedTarget, TargetSelector
from orioleloft_core.servicetime import ServiceTimes
from orioleloft_core.slowstart import SlowStartLimiter
from orioleloft_core.targetavailability import TargetAvailability
from orioleloftd.connections import Connection
from orioleloftd.requestcontext import RequestContext, SelectedTarget, SelectionBasis
from orioleloftd.targetaccess import PROBE_WAIT_S, TargetAccess, result_or_none

# Slowdown of a target, as a multiple of the service time, that a request past its target latency
# still accepts. Slow phases of shared machines end after 0.3 s, while a slower target would occupy
# its slot for several times as long.
MAX_LATE_SLOWDOWN = 2.0
# A request is not dispatched with less time than this to its deadline, in seconds.
MIN_TIME_TO_DEADLINE_S = 0.03


def max_response_time(context: RequestContext, now: float, service_time: float) -> float:
    """Returns the expected response time up to which a target is accepted, in seconds.

    Args:
        context: the request.
        now: seconds on the node's clock.
        service_time: expected service time of the route, in seconds.
    """
    due_at = context.request.arrived_at + context.route.target_latency
    return max(due_at - now, MAX_LATE_SLOWDOWN * service_time)


class TargetChooser:
    """Selects a target for each request.

    Args:
        access: connections to targets and observations of them.
        registry: the known targets.
        selector: ranks targets.
        service_times: expected service times per route.
        zones: returns the availability zone of each registered node, by node name.
        slow_start_limiter: rate limit for requests to cold targets.
        rate_limits: rate limits that targets state.
        permits: use of the permits of this node for targets with rate limits.
        probe_budget: token bucket for the probes of this node.
        availability: decides whether a target may be asked.
        clock: seconds on the node's clock.
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
        permits: PermitScheduler,
        probe_budget: TokenBucket,
        availability: TargetAvailability,
        clock: Callable[[], float],
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
        self._availability = availability
        self._clock = clock
        self._permits = permits
        self._probe_tasks: set[asyncio.Task] = set()

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
        targets = self._admitted_targets(service.name, is_chosen=False)
        targets = self._availability.not_withdrawn(now, targets)
        for target in self._permits.take_idle(now, targets):
            task = self._start_probe(target, service, has_permit=True)
            task.add_done_callback(self._access.release_late_probe)

    def _admitted_targets(self, service: str, is_chosen: bool) -> list[RegisteredTarget]:
        targets = self._registry.eligible_targets(service)
        return self._versions.admitted(self._clock(), service, targets, is_chosen)

    def admitted_targets(self, context: RequestContext) -> list[RegisteredTarget]:
        """Returns the eligible targets of the versions that may get a request."""
        return self._admitted_targets(context.service.name, self._is_chosen(context))

    def untried_targets(self, context: RequestContext) -> list[RegisteredTarget]:
        """Returns the admitted targets to which a request has not been sent yet."""
        untried = [
            target
            for target in self.admitted_targets(context)
            if target.id not in context.tried_target_ids
        ]
        return self._availability.not_withdrawn(self._clock(), untried)

    async def select_new_version(self, context: RequestContext) -> SelectedTarget | None:
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

    def on_acquired(self, context: RequestContext) -> None:
        """Counts a request that is about to be sent, for the share of a new version."""
        if not context.attempt_count:
            self._versions.on_first_attempt(context.service.name)

    def _is_admitted(self, context: RequestContext, target: RegisteredTarget) -> bool:
        """Whether a target that was found earlier may still get the request, by its version."""
        return self._versions.admits(self._clock(), target, self._is_chosen(context))

    def _is_chosen(self, context: RequestContext) -> bool:
        # Retries and hedges of a chosen request go to the old versions.
        return context.is_chosen and not context.attempt_count

    def can_hand_over(self, candidate: ProbedTarget, connection: Connection) -> bool:
        """Whether a target on which a request has just ended can take one from the queue."""
        now = self._clock()
        is_free = self._selector.has_free_slot(now, candidate) and connection.is_usable
        # A queued request is none that was chosen for a new version.
        is_admitted = self._versions.admits(now, candidate.target, is_chosen=False)
        return is_free and is_admitted and self._may_hand_over(now, candidate.target)

    def _may_hand_over(self, now: float, target: RegisteredTarget) -> bool:
        """Whether a request may take over a slot of a target that another one has freed.

        Not if the target has become cold since, so that slow start holds for the request.
        """
        return self._availability.unavailability(
            now, target
        ) is None and not self._access.observations(target).is_cold(now)

    def accept_handover(
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
            and self._is_admitted(context, candidate.target)
            and self._may_hand_over(now, candidate.target)
        )
        if not (
            is_eligible
            and connection.is_usable
            and self._is_response_in_time(context, candidate, now, service_time)
        ):
            self._access.release(candidate.target, connection)
            return None
        return self._take(now, candidate, connection, service_time)

    async def select_target(self, context: RequestContext) -> SelectedTarget | None:
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
            for candidate in self._permits.candidates(now, self.untried_targets(context))
            if self._availability.unavailability(
                now, candidate.target, context.service.cold_per_s, has_permit=True
            )
            is None
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
            self._availability.unavailability(now, best.target, has_permit=True) is not None
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

        Targets with rate limits are neither probed nor selected, and neither are cold ones that
        this node may not use: after a zone has recovered, most of its targets are cold, and their
        probes would displace those of other candidates.

        Args:
            context: the request.
            accepts_late_response: whether to accept a target that will respond after the target
                latency.
        """
        now = self._clock()
        eligible_targets = [
            target
            for target in self.untried_targets(context)
            if self._availability.unavailability(now, target, context.service.cold_per_s) is None
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
            and self._availability.unavailability(now, candidate.target) is None
            and self._is_admitted(context, candidate.target)
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
        observations = self._access.observations(candidate.target)
        basis = SelectionBasis(service_time, observations.latency_ratio(now))
        observations.on_selected()
        if candidate.is_cold:
            self._slow_start_limiter.on_sent(now, candidate.target.id)
        return SelectedTarget(candidate, connection, expected_response_time, busy_slots, basis)

    def _is_response_in_time(
        self, context: RequestContext, candidate: ProbedTarget, now: float, service_time: float
    ) -> bool:
        """Whether the response is expected in time.

        That is within the target latency, or within `MAX_LATE_SLOWDOWN` service times if this is
        later.
        """
        expected = self._selector.expected_response_time(now, candidate, service_time)
        return expected <= max_response_time(context, now, service_time)

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

    def _is_dispatch_allowed(
        self, now: float, context: RequestContext, candidate: ProbedTarget
    ) -> bool:
        if not candidate.is_cold:
            return True
        return self._slow_start_limiter.may_send(
            now, candidate.target, context.service.cold_per_s, self._zones()
        )

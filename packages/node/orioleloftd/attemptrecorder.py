"""Records what attempts show of targets: failures, speed and contention."""

import logging
import math
from collections.abc import Callable
from typing import Protocol

from orioleloft_core.admissionqueue import AdmissionPolicy
from orioleloft_core.contention import (
    MIN_SERVICE_TIME_S,
    ContentionCurves,
    ServiceTimeObservation,
)
from orioleloft_core.observations import LoadFigures
from orioleloft_core.registry import RegisteredTarget
from orioleloft_core.servicetime import ServiceTimes
from orioleloft_core.targetrefusals import TargetRefusals
from orioleloftd.logs import log_event
from orioleloftd.requestcontext import RequestContext, SelectedTarget
from orioleloftd.targetaccess import TargetAccess

# Estimated total time of a cancelled attempt, as a multiple of the time until it was cancelled.
CANCELLED_DURATION_FACTOR = 1.5
# A target that takes this multiple of the expected response time is reported to other nodes as
# slow.
SLOW_REPORT_FACTOR = 2.5
# Slowdown factor up to which a target is at its usual speed.
MAX_STEADY_PACE = 1.1

_log = logging.getLogger(__name__)


class AttemptEvidence(Protocol):
    """Receives what attempts show of versions of targets."""

    def on_attempt(
        self,
        target: RegisteredTarget,
        route: str,
        is_failure: bool,
        ratio: float | None,
        seconds: float,
    ) -> None:
        """Counts an attempt.

        Args:
            target: the target.
            route: name of the route.
            is_failure: whether the attempt failed.
            ratio: response time over the expected one at the stated pace, or None if unknown.
            seconds: response time.
        """


class AttemptRecorder:
    """Updates the observations, service times and contention curves after each attempt.

    Args:
        access: observations of all targets.
        service_times: expected service times per route.
        contention: contention curves of the services.
        report_target: reports a target to other nodes: target id, failures, latency ratio.
        clock: seconds on the node's clock.
        policy: returns the order of admission in force.
        evidence: receives what attempts show of versions, or None where it does not matter.
    """

    def __init__(
        self,
        access: TargetAccess,
        service_times: ServiceTimes,
        contention: ContentionCurves,
        report_target: Callable[[str, float, float], None],
        clock: Callable[[], float],
        policy: Callable[[], AdmissionPolicy] = lambda: AdmissionPolicy.ARRIVAL,
        evidence: AttemptEvidence | None = None,
    ) -> None:
        self._evidence = evidence
        self._access = access
        self._service_times = service_times
        self._contention = contention
        self._report_target = report_target
        self._clock = clock
        self._policy = policy
        self._refusals = TargetRefusals()

    def on_success(
        self,
        context: RequestContext,
        selected: SelectedTarget,
        seconds: float,
        load: LoadFigures | None,
    ) -> None:
        """Records a successful attempt and its duration for the target, its service and the route.

        Args:
            context: the request.
            selected: the target.
            seconds: duration of the attempt.
            load: load figures in the response, or None.
        """
        self._record_contention(context, selected, seconds, load)
        if self._evidence is not None:
            ratio = self._time_ratio(context, selected, seconds, load)
            self._evidence.on_attempt(
                selected.candidate.target, context.route.name, False, ratio, seconds
            )
        route, target = context.route, selected.candidate.target
        self._refusals.on_success(target.service, target.id)
        expected = max(0.001, selected.expected_response_time)
        factor = seconds / expected
        observations = self._access.observations(target)
        observations.on_success(self._clock())
        latency_ratio = observations.latency_ratio(self._clock())
        service_time = self._service_times.expected(route.name, route.target_latency)
        if selected.basis is not None and self._policy() is AdmissionPolicy.DEADLINE:
            # Against the estimates of now, all requests in flight repeat a correction that the
            # first of them has made: at 150 requests a second, the expected time of a request of
            # 150 ms swung between 60 and 700 ms, and the targets were idle for seconds.
            latency_ratio = selected.basis.latency_ratio
            service_time = selected.basis.service_time
        observations.on_response_time(self._clock(), factor * latency_ratio)
        self._service_times.observe(route.name, route.target_latency, service_time * factor)
        if factor >= SLOW_REPORT_FACTOR:
            self._report_target(target.id, 0.0, factor)

    def _time_ratio(
        self,
        context: RequestContext,
        selected: SelectedTarget,
        seconds: float,
        load: LoadFigures | None,
    ) -> float | None:
        """Returns a duration over the one expected at the stated pace, or None for a cold target.

        The stated pace is late by one request, so the mean of the one before the attempt and the
        one in its answer is the best estimate. The target's own latency ratio is left out, as it
        would hide that a version is slow. Cold targets are slow whatever their version.
        """
        route, candidate = context.route, selected.candidate
        if candidate.is_cold:
            return None
        paces = candidate.load.pace, (load or candidate.load).pace
        slots = max(1, candidate.load.slots)
        expected = self._service_times.expected(route.name, route.target_latency)
        expected *= math.sqrt(paces[0] * paces[1])
        expected *= self._contention.of(candidate.target.service).slowdown(
            self._clock(), selected.busy_slots, slots
        )
        return seconds / max(0.001, expected)

    def _record_cancelled_evidence(
        self, context: RequestContext, selected: SelectedTarget, seconds: float
    ) -> None:
        """Counts a cancelled attempt as an answer if it had taken longer than expected.

        Otherwise a slow version would lose its slow answers to hedged requests.
        """
        if self._evidence is None:
            return
        ratio = self._time_ratio(context, selected, seconds, None)
        if ratio is not None and ratio >= SLOW_REPORT_FACTOR / 2:
            ratio *= CANCELLED_DURATION_FACTOR
            target = selected.candidate.target
            self._evidence.on_attempt(target, context.route.name, False, ratio, seconds)

    def _record_contention(
        self,
        context: RequestContext,
        selected: SelectedTarget,
        seconds: float,
        load: LoadFigures | None,
    ) -> None:
        """Records the duration of an attempt for the contention curve of the service.

        Attempts at targets that were cold, slow or queueing tell nothing about contention. Nor do
        those at targets that run more requests at the end: other nodes may have sent them just
        before this one.
        """
        route, candidate = context.route, selected.candidate
        service_time = self._service_times.expected(route.name, route.target_latency)
        if load is None or candidate.is_cold or min(service_time, seconds) < MIN_SERVICE_TIME_S:
            return
        is_steady = max(load.pace, candidate.load.pace) <= MAX_STEADY_PACE
        slots = candidate.load.slots
        if not is_steady or not load.running <= selected.busy_slots <= slots:
            return
        now = self._clock()
        observation = ServiceTimeObservation(
            route.name,
            selected.busy_slots,
            slots,
            seconds,
            service_time,
            route.target_latency,
            self._access.observations(candidate.target).latency_ratio(now),
        )
        self._contention.of(candidate.target.service).observe(now, observation)

    def on_cancelled(
        self, context: RequestContext, selected: SelectedTarget, seconds: float
    ) -> None:
        """Records a lower bound of the duration of a cancelled attempt.

        Attempts cancelled early are ignored, as they do not show that the target is slow.
        """
        self._record_cancelled_evidence(context, selected, seconds)
        factor = seconds / max(0.001, selected.expected_response_time)
        if factor < SLOW_REPORT_FACTOR / 2:
            return
        target = selected.candidate.target
        self._access.observations(target).on_response_time(
            self._clock(), factor * CANCELLED_DURATION_FACTOR
        )
        self._report_target(target.id, 0.0, factor * CANCELLED_DURATION_FACTOR)

    def on_failure(self, target: RegisteredTarget, weight: float = 1.0, route: str = "") -> None:
        """Records a failed attempt and reports it to the other nodes.

        Args:
            target: the target.
            weight: failures that it counts as.
            route: name of the route.
        """
        if self._evidence is not None:
            self._evidence.on_attempt(target, route, True, None, 0.0)
        self._access.observations(target).on_failure(self._clock(), weight)
        self._report_target(target.id, weight, 0.0)

    def on_refusal(
        self,
        target: RegisteredTarget,
        load: LoadFigures | None,
        target_count: int,
        route: str = "",
    ) -> None:
        """Records a refusal with status 503, which may be a failure if the target has a free slot.

        Args:
            target: the target.
            load: load figures in the response, or None.
            target_count: number of targets of the service.
            route: name of the route.
        """
        if load is not None:
            has_free_slot = load.running < load.slots and not load.waiting
        else:
            has_free_slot = not self._access.observations(target).is_full
        weight = self._refusals.on_refusal(
            self._clock(), target.service, target.id, has_free_slot, target_count
        )
        if weight > 0:
            log_event(
                _log,
                "refusal counted",
                target=target.id,
                load=load,
                failures=round(
                    weight + self._access.observations(target).failures(self._clock()), 2
                ),
            )
            self.on_failure(target, weight, route)

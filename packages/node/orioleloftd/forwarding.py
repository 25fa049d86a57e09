"""Forwards callers' requests to targets, with retries and hedged requests."""

import asyncio
import dataclasses
import logging
import random
from collections.abc import Callable

from orioleloft_core import attempts, tenants
from orioleloft_core.admissionqueue import AdmissionPolicy
from orioleloft_core.attempts import AttemptEnd, AttemptResult, Fail, Retry, ReturnResponse
from orioleloft_core.budget import TokenBucket
from orioleloft_core.callerretries import CallerRetryDetector
from orioleloft_core.contention import ContentionCurves
from orioleloft_core.crashes import CrashRecord, CrashTracker
from orioleloft_core.errors import ERROR_RESPONSES, ErrorCode, ExecutionOutcome
from orioleloft_core.memory import MemoryAccount
from orioleloft_core.observations import OVERSIZED_RESPONSE_WEIGHT, LoadFigures
from orioleloft_core.permits import PermitScheduler
from orioleloft_core.ratelimits import AnswerKind, RateLimitNotice, RateLimits
from orioleloft_core.registry import RegisteredTarget, TargetRegistry
from orioleloft_core.retrybudget import RetryBudget
from orioleloft_core.rollouts import VersionGate
from orioleloft_core.routes import Route, RouteTable
from orioleloft_core.selection import ProbedTarget, TargetSelector
from orioleloft_core.servicetime import ServiceTimes
from orioleloft_core.slowstart import SlowStartLimiter
from orioleloft_core.targetavailability import TargetAvailability
from orioleloft_core.tenants import (
    UNRESTRICTED,
    Authorization,
    Authorized,
    Denied,
    Public,
    Unrestricted,
)
from orioleloftd.attemptrecorder import AttemptEvidence, AttemptRecorder
from orioleloftd.availabilityrecorder import AvailabilityRecorder
from orioleloftd.connections import ExchangeError, HttpResponse
from orioleloftd.crashchecks import CrashChecks
from orioleloftd.forwardingparts import ForwardingParts
from orioleloftd.logs import log_event
from orioleloftd.queuewaiting import QueueWaiting
from orioleloftd.ratelimitrecorder import RateLimitRecorder
from orioleloftd.requestcontext import (
    CallerReply,
    CallerRequest,
    DispatchPermit,
    Rejection,
    RequestContext,
    SelectedTarget,
)
from orioleloftd.targetaccess import TargetAccess, result_or_none
from orioleloftd.targetchooser import TargetChooser
from orioleloftd.wire import NamedTenant, NoTenant, TenantHeader, UnchangedTenant, WireFormat

# Delay before a hedge, as a multiple of the expected response time of the target.
HEDGE_DELAY_FACTOR = 1.6
# A hedge should start while this multiple of the service time is left of the target latency, but
# not before this multiple of the expected response time. Service times vary by some 15 per cent.
HEDGE_SERVICE_TIME_MARGIN = 1.15
# Bounds of the random `Retry-After` of a rejected caller, in seconds. The jitter keeps callers that
# were rejected together from retrying together.
RETRY_AFTER_MIN_S = 0.4
RETRY_AFTER_MAX_S = 1.3
# Tokens of the shared retry budget that hedges leave for retries of failed attempts.
RETRY_RESERVED_TOKENS = 0.5
# Time for which a retry waits until it is known whether the target has crashed, in seconds. A host
# that is up answers a connect within a few milliseconds.
CRASH_CHECK_WAIT_S = 0.05

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, eq=False)
class _EndedAttempt:
    """An attempt that has ended, with the response and load figures if there are any."""

    result: AttemptResult
    target: RegisteredTarget
    response: HttpResponse | None = None
    load: LoadFigures | None = None


class Forwarder:
    """Forwards requests to targets.

    Args:
        wire: format of the headers.
        table: returns the current route table, or None.
        registry: the known targets.
        zones: returns the availability zone of each registered node, by node name.
        zone: availability zone of this node.
        budget: budget of retries and hedges.
        slow_start_limiter: rate limit for requests to cold targets.
        rate_limits: rate limits that targets state.
        probe_budget: token bucket for the probes of this node.
        memory: account that is charged for response bodies.
        report_target: reports a target to other nodes: target id, failures, latency ratio.
        report_rate_limit: reports the rate limit of a target to other nodes.
        report_leaving: tells other nodes that a target process leaves: target id and start.
        crashes: evidence on requests that crash targets.
        report_crashes: reports such evidence to other nodes.
        count: increments a metric.
        clock: seconds on the node's clock.
        rng: source of randomness.
        admission: order of admission while the route table has no list of tenants.
        versions: decides which versions of targets get requests.
        evidence: receives what attempts show of versions, or None.
    """

    def __init__(
        self,
        *,
        wire: WireFormat,
        table: Callable[[], RouteTable | None],
        registry: TargetRegistry,
        zones: Callable[[], dict[str, str]],
        zone: str,
        budget: RetryBudget,
        slow_start_limiter: SlowStartLimiter,
        rate_limits: RateLimits,
        probe_budget: TokenBucket,
        memory: MemoryAccount,
        report_target: Callable[[str, float, float], None],
        report_rate_limit: Callable[[RateLimitNotice], None],
        report_leaving: Callable[[str, int], None],
        crashes: CrashTracker,
        report_crashes: Callable[[tuple[CrashRecord, ...]], None],
        count: Callable[..., None],
        clock: Callable[[], float],
        rng: random.Random,
        admission: AdmissionPolicy = AdmissionPolicy.ARRIVAL,
        versions: VersionGate | None = None,
        evidence: AttemptEvidence | None = None,
    ) -> None:
        self._admission = admission
        self._wire = wire
        self._table = table
        self._registry = registry
        self._budget = budget
        self._crashes = crashes
        self._count = count
        self._clock = clock
        self._rng = rng
        self._rate_limit_recorder = RateLimitRecorder(rate_limits, report_rate_limit, count, clock)
        self._availability = TargetAvailability(
            registry,
            rate_limits,
            slow_start_limiter,
            lambda now, target: self._access.known_observations(target).is_cold(now),
            zones,
        )
        self._availability_recorder = AvailabilityRecorder(
            self._availability, report_leaving, clock
        )
        self._access = TargetAccess(
            wire,
            registry,
            memory,
            count,
            clock,
            self._rate_limit_recorder,
            self._availability,
            self._availability_recorder,
        )
        self._service_times = ServiceTimes()
        self._contention = ContentionCurves()
        permits = PermitScheduler(rate_limits, self._access.observations, zones, rng)
        versions = versions or VersionGate(None, registry)
        self._chooser = TargetChooser(
            access=self._access,
            registry=registry,
            selector=TargetSelector(
                zone,
                self._access.observations,
                self._access.has_idle_connection,
                self._contention,
                rng,
            ),
            service_times=self._service_times,
            zones=zones,
            slow_start_limiter=slow_start_limiter,
            rate_limits=rate_limits,
            permits=permits,
            probe_budget=probe_budget,
            availability=self._availability,
            clock=clock,
            versions=versions,
        )
        self._waiting = QueueWaiting(
            chooser=self._chooser,
            access=self._access,
            registry=registry,
            service_times=self._service_times,
            rate_limits=rate_limits,
            permits=permits,
            availability=self._availability,
            policy=self._admission_policy,
            count=count,
            clock=clock,
            rng=rng,
        )
        self._recorder = AttemptRecorder(
            self._access,
            self._service_times,
            self._contention,
            report_target,
            clock,
            self._admission_policy,
            evidence,
        )
        self._caller_retries = CallerRetryDetector()
        self._crash_checks = CrashChecks(
            crashes, report_crashes, self._access, self._availability, count, clock
        )
        self._parts = ForwardingParts(
            registry=registry,
            availability=self._availability,
            access=self._access,
            waiting=self._waiting,
            service_times=self._service_times,
            contention=self._contention,
            rate_limits=rate_limits,
            permits=permits,
            slow_start_limiter=slow_start_limiter,
            probe_budget=probe_budget,
            caller_retries=self._caller_retries,
            crashes=crashes,
            zones=zones,
            zone=zone,
        )

    @property
    def parts(self) -> ForwardingParts:
        """What decides where requests go."""
        return self._parts

    @property
    def contention(self) -> ContentionCurves:
        """Contention curves of the services."""
        return self._contention

    @property
    def rate_limit_recorder(self) -> RateLimitRecorder:
        """Records the rate limits that targets state and that other nodes report."""
        return self._rate_limit_recorder

    @property
    def availability_recorder(self) -> AvailabilityRecorder:
        """Records what targets and other nodes state about the availability of targets."""
        return self._availability_recorder

    @property
    def access(self) -> TargetAccess:
        """Connections to targets and observations of them."""
        return self._access

    @property
    def fair_share_lag(self) -> float:
        """Greatest difference of waiting work among tenants; see `FairShare.lag`."""
        return self._waiting.fair_share_lag

    def _admission_policy(self) -> AdmissionPolicy:
        """Returns the order of admission: by deadline if requests need keys."""
        table = self._table()
        if table is not None and table.requires_key:
            return AdmissionPolicy.DEADLINE
        return self._admission

    def sweep(self) -> None:
        """Drops expired connections and the state of targets that are gone; called periodically."""
        self._access.sweep()
        self._availability.sweep(self._clock())
        table = self._table()
        services = table.services if table else ()
        self._chooser.sweep(services)
        self._waiting.sweep({service.name for service in services})
        self._contention.retain_only(self._registry.services)

    async def forward(
        self,
        request: CallerRequest,
        route: Route,
        service_name: str,
        authorization: Authorization = UNRESTRICTED,
        permit: DispatchPermit | None = None,
    ) -> CallerReply:
        """Forwards a request and returns a target's response or an error reply.

        Cancelling the coroutine closes the connections of all attempts, on which the targets stop
        their work on the request.

        Args:
            request: the request.
            route: its route.
            service_name: service that the traffic split has selected.
            authorization: judgement of the request at its arrival. It is judged again before each
                attempt, as a new version of the configuration may move or remove its key.
            permit: permit that each attempt needs, or None. Hedges follow the attempt beside them.
        """
        now = self._clock()
        timeout = route.timeout
        if request.caller_timeout is not None:
            timeout = min(timeout, request.caller_timeout)
        table = self._table()
        service = table.service(service_name) if table else None
        if service is None:
            return self._error(request, ErrorCode.NO_CAPACITY, "the service has no configuration")
        if self._crashes.is_blocked(now, request.fingerprints):
            return self._error(request, ErrorCode.CRASH_SUSPECT, "the request has crashed targets")
        is_caller_retry = self._caller_retries.is_caller_retry(now, route.name, timeout)
        context = RequestContext(
            request,
            route,
            service,
            request.arrived_at + timeout,
            is_caller_retry,
            authorization=authorization,
            permit=permit,
        )
        try:
            async with asyncio.timeout(max(0.0, context.deadline - now)):
                return await self._run_attempts(context)
        except TimeoutError:
            if context.attempt_count:
                return self._error(request, ErrorCode.DEADLINE_AFTER_START, "no answer in time")
            if not self._is_authorized(context):
                return self.unknown_key_reply(request)
            return self._error(request, ErrorCode.NO_CAPACITY, "no target was free in time")

    async def _run_attempts(self, context: RequestContext) -> CallerReply:
        """Makes attempts, one after the other or hedged, until one of them decides the reply.

        The tasks in `running` are mapped to the times from which a hedge may start.
        """
        running: dict[asyncio.Task, float] = {}
        hedge_search: asyncio.Task | None = None
        can_hedge = context.route.is_idempotent
        try:
            while True:
                if not running:
                    failure = await self._start_attempt(context, running)
                    if failure is not None:
                        return context.fallback_reply or failure
                timeout = None
                if can_hedge and hedge_search is None and len(running) == 1:
                    timeout = max(0.0, min(running.values()) - self._clock())
                awaited = {*running, hedge_search} if hedge_search else {*running}
                done, _ = await asyncio.wait(
                    awaited, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
                )
                if not done:
                    can_hedge = self._is_hedge_allowed(context)
                    if can_hedge:
                        hedge_search = asyncio.get_running_loop().create_task(
                            self._chooser.probe_candidates(context)
                        )
                    continue
                # A response takes precedence over a hedge target that was found at the same time.
                for task in done - {hedge_search}:
                    del running[task]
                    reply = self._handle_result(context, task.result())
                    if reply is not None:
                        return reply
                if hedge_search in done:
                    can_hedge = self._start_hedge(context, running, result_or_none(hedge_search))
                    hedge_search = None
        finally:
            for task in running:
                task.cancel()
            if hedge_search is not None:
                hedge_search.add_done_callback(self._release_hedge_target)
                hedge_search.cancel()

    def _release_hedge_target(self, hedge_search: asyncio.Task) -> None:
        """Releases a hedge target that was found after the request was answered."""
        selected = result_or_none(hedge_search)
        if selected is not None:
            self._chooser.release_unused(selected)

    async def _start_attempt(
        self, context: RequestContext, running: dict[asyncio.Task, float]
    ) -> CallerReply | None:
        """Starts the first attempt or a retry; returns an error reply if it cannot."""
        request, service = context.request, context.service.name
        if not self._is_authorized(context):
            return self._deny(context)
        if context.attempt_count >= context.route.attempts:
            return self._error(request, ErrorCode.TARGET_UNREACHABLE, "no attempts are left")
        if context.attempt_count and self._budget.available(self._clock(), service) < 1:
            return self._error(request, ErrorCode.NO_CAPACITY, "the retry budget is exhausted")
        selected = await self._waiting.acquire_target(context)
        if not self._is_authorized(context):
            # The key was removed while the request was queued.
            if isinstance(selected, SelectedTarget):
                self._chooser.release_unused(selected)
            return self._deny(context)
        if isinstance(selected, Rejection):
            return self.error_reply(
                request.id, selected.code, selected.reason, selected.retry_after
            )
        refusal = await self._spend_permit(context, selected)
        if refusal is not None:
            return refusal
        if not self._crashes.start_run(self._clock(), request.fingerprints):
            self._chooser.release_unused(selected)
            return self._error(request, ErrorCode.CRASH_SUSPECT, "the request has crashed targets")
        if not context.attempt_count:
            self._budget.deposit(self._clock(), service)
        elif not self._budget.take(self._clock(), service):
            self._chooser.release_unused(selected)
            return self._error(request, ErrorCode.NO_CAPACITY, "the retry budget is exhausted")
        self._start_dispatch(
            context, running, selected, "retry" if context.attempt_count else "first"
        )
        return None

    async def _spend_permit(
        self, context: RequestContext, selected: SelectedTarget
    ) -> CallerReply | None:
        """Gets the permit for an attempt; releases the target and returns a reply if there is none.

        The request is judged again afterwards, as the permit may have to be waited for.
        """
        if context.permit is None:
            return None
        has_permit = False
        try:
            while not has_permit:
                tenant = context.tenant
                rejection = await context.permit.spend(tenant)
                if rejection is not None:
                    return self.error_reply(
                        context.request.id, rejection.code, rejection.reason, rejection.retry_after
                    )
                if not self._is_authorized(context):
                    return self._deny(context)
                # The key may have moved to yet another tenant.
                has_permit = context.tenant == tenant
        finally:
            if not has_permit:
                self._chooser.release_unused(selected)
        return None

    def _is_authorized(self, context: RequestContext) -> bool:
        """Judges a request by the configuration in force; returns whether it may be dispatched."""
        request, table = context.request, self._table()
        route = table.route(request.host, request.path) or context.route
        context.authorization = tenants.authorize(table, route, request.key_digest)
        return not isinstance(context.authorization, Denied)

    def _deny(self, context: RequestContext) -> CallerReply:
        """Returns the reply to a request whose key is unknown by now.

        A fallback stays in force if an attempt may have been executed.
        """
        fallback = context.fallback_reply
        if (
            fallback is not None
            and fallback.code is not None
            and ERROR_RESPONSES[fallback.code].outcome is ExecutionOutcome.NOT_RUN
        ):
            context.fallback_reply = None
        return self.unknown_key_reply(context.request)

    def unknown_key_reply(self, request: CallerRequest) -> CallerReply:
        """Builds the reply to a request that has no key of a tenant."""
        return self._error(request, ErrorCode.UNKNOWN_KEY, "the request has no known API key")

    def _is_hedge_allowed(self, context: RequestContext) -> bool:
        """Whether attempts, queue and budget allow a hedge beside the running attempt."""
        service = context.service.name
        if context.attempt_count >= context.route.attempts or self._waiting.has_queued_requests(
            service
        ):
            return False
        return self._budget.available(self._clock(), service) >= 1 + RETRY_RESERVED_TOKENS

    def _start_hedge(
        self,
        context: RequestContext,
        running: dict[asyncio.Task, float],
        selected: SelectedTarget | None,
    ) -> bool:
        """Starts a hedge; returns False if there is no target or the budget is exhausted."""
        if selected is None:
            return False
        if not self._is_authorized(context):
            self._chooser.release_unused(selected)
            return False
        if not self._crashes.start_run(
            self._clock(), context.request.fingerprints
        ) or not self._budget.take(self._clock(), context.service.name, RETRY_RESERVED_TOKENS):
            self._chooser.release_unused(selected)
            return False
        self._start_dispatch(context, running, selected, "hedge")
        return True

    def _start_dispatch(
        self,
        context: RequestContext,
        running: dict[asyncio.Task, float],
        selected: SelectedTarget,
        kind: str,
    ) -> None:
        context.attempt_count += 1
        context.tried_target_ids.add(selected.candidate.target.id)
        log_event(
            _log,
            "dispatch",
            request=context.request.id,
            route=context.route.name,
            target=selected.candidate.target.id,
            attempt=context.attempt_count,
            hedge=kind == "hedge",
            load=selected.candidate.load,
            cold=selected.candidate.is_cold,
            table=self._table_version(),
            targets=self._registry.target_list.version.revision,
        )
        self._count("dispatches", kind=kind)
        task = asyncio.get_running_loop().create_task(self._dispatch(context, selected))
        running[task] = self._clock() + self._hedge_delay(
            context.route, selected.expected_response_time
        )

    def _hedge_delay(self, route: Route, expected_response_time: float) -> float:
        service_time = self._service_times.expected(route.name, route.target_latency)
        latest = route.target_latency - HEDGE_SERVICE_TIME_MARGIN * service_time
        return max(
            HEDGE_SERVICE_TIME_MARGIN * expected_response_time,
            min(HEDGE_DELAY_FACTOR * expected_response_time, latest),
        )

    def _handle_result(self, context: RequestContext, ended: _EndedAttempt) -> CallerReply | None:
        """Returns the reply that follows from an attempt, or None if another one is to be made."""
        decision = attempts.decide(ended.result, context.route.is_idempotent)
        log_event(
            _log,
            "attempt ended",
            request=context.request.id,
            target=ended.target.id,
            load=ended.load,
            end=ended.result.end.value,
            status=ended.result.status,
            ms=round((self._clock() - context.request.arrived_at) * 1000),
        )
        match decision:
            case ReturnResponse():
                return self._relay_response(ended)
            case Fail(code=code):
                return self._error(context.request, code, f"target {ended.target.id}")
            case Retry(decision_without_retry=ReturnResponse()):
                context.fallback_reply = self._relay_response(ended)
            case Retry(decision_without_retry=Fail(code=code)):
                self._set_fallback(context, code, f"target {ended.target.id}")
        return None

    def _set_fallback(self, context: RequestContext, code: ErrorCode, message: str) -> None:
        """Stores an error reply to use if no further attempt can be made.

        An attempt that was provably not executed does not replace an earlier fallback, as the
        attempts before it may have been executed.
        """
        if (
            context.fallback_reply is not None
            and ERROR_RESPONSES[code].outcome is ExecutionOutcome.NOT_RUN
        ):
            return
        context.fallback_reply = self._error(context.request, code, message)

    def _relay_response(self, ended: _EndedAttempt) -> CallerReply:
        response = ended.response
        headers = self._wire.caller_headers(response.headers)
        return CallerReply(
            response.status, headers, response.body, reservation=response.reservation
        )

    def _error(self, request: CallerRequest, code: ErrorCode, message: str) -> CallerReply:
        return self.error_reply(request.id, code, message)

    def error_reply(
        self, request_id: str, code: ErrorCode, message: str, retry_after: float | None = None
    ) -> CallerReply:
        """Builds an error reply.

        Args:
            request_id: id of the caller's request.
            code: code of the error.
            message: description of the error.
            retry_after: time after which the caller should retry, in seconds. None stands for a
                random time if the code has status 429 or 503.
        """
        status = ERROR_RESPONSES[code].status
        if retry_after is None and status in (429, 503):
            retry_after = self._rng.uniform(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S)
        headers = self._wire.local_reply_headers(
            request_id, retry_after, code is ErrorCode.UNKNOWN_KEY
        )
        return CallerReply(status, headers, b"", code, message, retry_after)

    # One attempt.

    async def _dispatch(self, context: RequestContext, selected: SelectedTarget) -> _EndedAttempt:
        """Makes one attempt and records its failure or success for the target."""
        target = selected.candidate.target
        started_at = self._clock()
        try:
            return await self._exchange(context, selected, started_at)
        except ExchangeError as error:
            log_event(
                _log, "answer lost", request=context.request.id, target=target.id, reason=str(error)
            )
            if not error.was_request_sent:
                selected.connection.close()
                return _EndedAttempt(AttemptResult(AttemptEnd.NOT_SENT), target)
            if error.is_oversized:
                self._recorder.on_failure(
                    target, OVERSIZED_RESPONSE_WEIGHT, route=context.route.name
                )
                return _EndedAttempt(AttemptResult(AttemptEnd.BROKEN), target)
            self._recorder.on_failure(target, route=context.route.name)
            check = self._crash_checks.start(context.request, target)
            if context.route.is_idempotent:
                # A retry that runs ahead of the check could crash one target more than allowed.
                await asyncio.wait({check}, timeout=CRASH_CHECK_WAIT_S)
            return _EndedAttempt(AttemptResult(AttemptEnd.BROKEN), target)
        except asyncio.CancelledError:
            selected.connection.close()
            self._recorder.on_cancelled(context, selected, self._clock() - started_at)
            raise
        except Exception:
            # A defect that one target triggers must not end the request.
            _log.exception("attempt failed unexpectedly")
            selected.connection.close()
            self._recorder.on_failure(target, route=context.route.name)
            return _EndedAttempt(AttemptResult(AttemptEnd.BROKEN), target)

    async def _exchange(
        self, context: RequestContext, selected: SelectedTarget, started_at: float
    ) -> _EndedAttempt:
        """Sends the request on the selected connection and classifies the response.

        The connection is handed over to a queued request or released.
        """
        request, target, connection = (
            context.request,
            selected.candidate.target,
            selected.connection,
        )
        observations = self._access.observations(target)
        headers = self._wire.target_headers(
            request.headers,
            target.id,
            context.deadline - started_at,
            request.body,
            _tenant_header(context.authorization),
        )
        observations.in_flight += 1
        self._rate_limit_recorder.on_sent(target, "attempt")
        try:
            # The last gate, for whatever the target has said since it was selected.
            withdrawal = self._availability.withdrawal(started_at, target)
            if withdrawal is not None:
                raise ExchangeError(f"the target is {withdrawal.reason.value}", False)
            response = await connection.exchange(
                request.method,
                request.path,
                headers,
                request.body,
                lambda status, headers: self._wire.parse_response(status, headers).request_id
                == request.id,
            )
        except BaseException:
            observations.on_no_answer()
            raise
        finally:
            observations.in_flight -= 1
        now = self._clock()
        metadata = self._wire.parse_response(response.status, response.headers)
        connection.set_idle_timeout(metadata.idle_timeout)
        kind = AnswerKind.REFUSAL if metadata.is_not_executed else AnswerKind.RESPONSE
        self._rate_limit_recorder.on_answer(target, metadata.rate_limit, kind, started_at)
        self._availability_recorder.on_answer(target, metadata.availability)
        if not selected.candidate.is_cold and not metadata.is_not_executed:
            reported = metadata.load
            if reported is not None:
                # The load figures still include the request of this response.
                running = max(0, reported.running - 1)
                reported = dataclasses.replace(reported, running=running)
            load = self._access.record_load(target, reported)
            self._waiting.hand_over_slot(
                context.service.name, ProbedTarget(target, load), connection
            )
        else:
            self._access.release(target, connection)
        if metadata.is_not_executed:
            if response.status != 503:
                self._recorder.on_failure(target, route=context.route.name)
            elif self._admission_policy() is AdmissionPolicy.DEADLINE:
                count = self._registry.count(target.service)
                self._recorder.on_refusal(target, metadata.load, count, context.route.name)
            return _EndedAttempt(
                AttemptResult(AttemptEnd.REFUSED, response.status), target, response
            )
        if not metadata.has_identity_encoding or (
            response.status < 300 and not metadata.has_signature
        ):
            self._recorder.on_failure(target, route=context.route.name)
            return _EndedAttempt(AttemptResult(AttemptEnd.BROKEN), target)
        if response.status >= 500:
            self._recorder.on_failure(target, route=context.route.name)
        else:
            self._crash_checks.on_answer(request)
            self._recorder.on_success(context, selected, now - started_at, metadata.load)
        return _EndedAttempt(
            AttemptResult(AttemptEnd.ANSWERED, response.status), target, response, metadata.load
        )

    def _table_version(self) -> int:
        table = self._table()
        return table.version if table else 0


def _tenant_header(authorization: Authorization) -> TenantHeader:
    match authorization:
        case Unrestricted():
            return UnchangedTenant()
        case Authorized(tenant=tenant):
            return NamedTenant(tenant.name)
        case Public() | Denied():
            return NoTenant()

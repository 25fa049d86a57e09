"""Explains where a request would go now, from what this node knows, and changes nothing.

Everything is read from values, from snapshots, or through calls that have no effect: no token is
taken, nothing is counted, probed or drawn at random.
"""

import copy
import dataclasses
import json
import math
from collections.abc import Callable, Mapping, Sequence

from tornado import httputil

from orioleloft_core import explanation, numericinput, tenants
from orioleloft_core.errors import (
    ErrorCode,
    ExplainError,
    ExplainQueryError,
    NodeNotReadyError,
    UnknownRouteError,
    UnknownTenantError,
)
from orioleloft_core.explanation import (
    AllotmentFacts,
    Candidate,
    CrashCheck,
    Explanation,
    PermitFacts,
    QueueFacts,
    Refused,
    Situation,
    Split,
    SplitShare,
    TargetFacts,
    Verdict,
    refused,
)
from orioleloft_core.fixedrandom import GREATEST, LEAST, FixedRandom
from orioleloft_core.observations import LoadFigures
from orioleloft_core.permits import PermitScheduler
from orioleloft_core.ratelimits import RateLimits
from orioleloft_core.registry import RegisteredTarget
from orioleloft_core.routes import (
    NO_TENANT,
    Route,
    RoutedService,
    RouteTable,
    Tenant,
    TrafficSplitter,
)
from orioleloft_core.selection import ProbedTarget, TargetSelector
from orioleloft_core.stopping import GracefulShutdown
from orioleloft_core.tenants import UNRESTRICTED, Authorized, Denied, Public, Unrestricted
from orioleloftd.allotmentexchange import AllotmentExchange
from orioleloftd.controlserver import ControlResponse
from orioleloftd.forwarding import RETRY_AFTER_MAX_S, RETRY_AFTER_MIN_S
from orioleloftd.forwardingparts import ForwardingParts
from orioleloftd.queuewaiting import MAX_ADVISED_PAUSE_S, MIN_RETURN_SPREAD_S, QueuePreview
from orioleloftd.requestcontext import CallerRequest, RequestContext
from orioleloftd.requesthandler import STOPPING_RETRY_AFTER_MAX_S, STOPPING_RETRY_AFTER_MIN_S
from orioleloftd.sharedstate import SharedState
from orioleloftd.targetchooser import max_response_time

EXPLAIN_PATH = "/explain"
# Longest host, path or name in a query, in characters.
MAX_QUERY_CHARS = 2048
# Shortest timeout of a request, in seconds.
MIN_TIMEOUT_S = 0.001
# Methods whose requests usually have no body, so that the hash over it is known.
BODILESS_METHODS = ("GET", "HEAD", "DELETE", "OPTIONS")

_DEFAULT_RETRY_AFTER_S = (RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S)

# Returns why a target may not get a request for another reason than its availability, or None.
# Arguments: seconds on the node's clock, the target.
FurtherReason = Callable[[float, RegisteredTarget], str | None]


class Explainer:
    """Answers queries of operators about where requests would go.

    Args:
        node: name of this node.
        state: the configuration and targets in force.
        parts: what decides where requests go.
        traffic_splitter: selects the service of a request.
        allotments: allotments of tenants.
        shutdown: tells whether a request can still end before this node exits.
        clock: seconds on the node's clock.
        further_reasons: further reasons against targets.
    """

    def __init__(
        self,
        *,
        node: str,
        state: SharedState,
        parts: ForwardingParts,
        traffic_splitter: TrafficSplitter,
        allotments: AllotmentExchange,
        shutdown: GracefulShutdown,
        clock: Callable[[], float],
        further_reasons: Sequence[FurtherReason] = (),
    ) -> None:
        self._state = state
        self._clock = clock
        self._sources = _Sources(
            node, parts, traffic_splitter, allotments, shutdown, tuple(further_reasons)
        )

    def respond(self, query: Mapping[str, str]) -> ControlResponse:
        """Answers a query over HTTP: an explanation, or an error with its code and remedy."""
        try:
            status, content = 200, explanation.to_json_object(self.explain(query))
        except ExplainError as error:
            status = 503 if isinstance(error, NodeNotReadyError) else 400
            content = {"code": error.code, "message": str(error)}
        return status, "application/json", json.dumps(content).encode()

    def explain(self, query: Mapping[str, str]) -> Explanation:
        """Explains where a request would go.

        Args:
            query: `host` and `path`, or the name of a `route`; optionally `method`, `tenant` and
                `timeout` in seconds.

        Raises:
            ExplainError: the query is malformed, or this node cannot answer it now.
        """
        table = self._state.table
        if table is None or not self._state.is_complete:
            remedy = "Ask another node, or again once this one is ready."
            raise NodeNotReadyError("the node has no complete configuration.", remedy)
        texts = {name: _text(value) for name, value in query.items()}
        return _Inquiry(self._sources, self._clock(), table, texts).explain()


@dataclasses.dataclass(frozen=True)
class _Sources:
    """What explanations are collected from; see `Explainer`."""

    node: str
    parts: ForwardingParts
    traffic_splitter: TrafficSplitter
    allotments: AllotmentExchange
    shutdown: GracefulShutdown
    further_reasons: tuple[FurtherReason, ...]


class _Inquiry:
    """One query, judged at one time.

    Args:
        sources: what the explanation is collected from.
        now: seconds on the node's clock.
        table: configuration in force.
        query: see `Explainer.explain`.
    """

    def __init__(
        self, sources: _Sources, now: float, table: RouteTable, query: Mapping[str, str]
    ) -> None:
        self._sources = sources
        self._parts = sources.parts
        self._table = table
        self._now = now
        self._named_route = _named_route(table, query)
        self._tenant = _named_tenant(table, query)
        self._request = _request(self._now, self._named_route, self._tenant, query)
        request = self._request
        self._route = self._named_route or table.route(request.host, request.path)
        self._authorization = (
            tenants.authorize(table, self._route, request.key_digest)
            if self._route
            else UNRESTRICTED
        )

    def explain(self) -> Explanation:
        """Returns the explanation."""
        route = self._route
        refusal = self._refusal_before_forwarding()
        if route is None:
            return self._explanation(refusal)
        split = self._split(route)
        service = self._table.service(split.service)
        if service is None:
            missing = RoutedService(split.service, "/", 0, 0.0)
            context = self._context(route, missing)
        else:
            context = self._context(route, service)
        candidates, situation = self._situation(context, has_service=service is not None)
        return self._explanation(
            refusal or explanation.decide(situation),
            is_late=context.is_caller_retry,
            split=split,
            situation=situation,
            candidates=candidates,
        )

    def _explanation(
        self,
        verdict: Verdict,
        is_late: bool = False,
        split: Split | None = None,
        situation: Situation | None = None,
        candidates: tuple[Candidate, ...] = (),
    ) -> Explanation:
        request, route = self._request, self._route
        priority, source = self._priority()
        return Explanation(
            node=self._sources.node,
            table_version=self._table.version,
            host=request.host,
            path=request.path,
            method=request.method,
            timeout_s=request.caller_timeout,
            is_late=is_late,
            route=route.name if route else None,
            route_reason=self._route_reason(),
            tenant=getattr(tenants.tenant_of(self._authorization), "name", None),
            access=self._access(),
            priority=priority,
            priority_source=source,
            allotment=situation.allotment if situation else None,
            split=split,
            queue=situation.queue if situation else None,
            crash_check=situation.crash_check if situation else None,
            blocked_requests=self._parts.crashes.blocked_count,
            probes_available=self._parts.probe_budget.available(self._now),
            candidates=candidates,
            verdict=verdict,
            condition=self._condition(verdict, situation),
        )

    def _condition(self, verdict: Verdict, situation: Situation | None) -> str:
        if situation is None or situation.allotment is None or isinstance(verdict, Refused):
            return ""
        return situation.allotment.condition

    # Before a target is sought.

    def _refusal_before_forwarding(self) -> Verdict | None:
        if isinstance(self._authorization, Denied):
            return refused(ErrorCode.UNKNOWN_KEY, "the request has no known API key")
        shutdown = copy.deepcopy(self._sources.shutdown)
        if not shutdown.accepts(self._now, self._time_limit()):
            seconds = (STOPPING_RETRY_AFTER_MIN_S, STOPPING_RETRY_AFTER_MAX_S)
            text = "the node stops before the request must end"
            return refused(ErrorCode.NODE_STOPPING, text, seconds)
        if self._route is None:
            return refused(ErrorCode.UNKNOWN_ROUTE, f"no route in version {self._table.version}")
        return None

    def _time_limit(self) -> float:
        if self._route is None:
            return 0.0
        return min(self._route.timeout, self._request.caller_timeout or math.inf)

    def _route_reason(self) -> str:
        route, host = self._route, self._request.host.partition(":")[0].lower()
        if self._named_route is not None:
            return "named in the query"
        if route is not None:
            return f"{route.path_prefix} is the longest prefix of the path at {route.host}"
        prefixes = sorted(each.path_prefix for each in self._table.routes if each.host == host)
        if not prefixes:
            return "no route has the host"
        return f"no prefix of the host's routes matches: {', '.join(prefixes[:10])}"

    def _access(self) -> str:
        match self._authorization:
            case _ if self._route is None:
                return "not judged without a route"
            case Unrestricted():
                return "the configuration has no list of tenants"
            case Public():
                return "the route is public"
            case Authorized():
                return "the tenant has a key"
        if self._tenant is not None:
            return "denied: the tenant has no keys"
        if self._table.tenants == (NO_TENANT,):
            return "denied: the list of tenants is empty"
        return "denied: no tenant was named, and the route is not public"

    def _priority(self) -> tuple[int | None, str]:
        if self._route is None:
            return None, "no route"
        tenant = tenants.tenant_of(self._authorization)
        if tenant is not None and tenant.priority is not None:
            return tenant.priority, "tenant"
        return self._route.priority, "route"

    def _allotment(self) -> AllotmentFacts | None:
        tenant = tenants.tenant_of(self._authorization)
        found = self._sources.allotments.peek(tenant)
        if tenant is None or found is None:
            return None
        state, tokens_at_holder = found
        return AllotmentFacts(
            rate_per_s=tenant.rate_per_s,
            burst=tenant.burst or 0.0,
            tokens_here=state.tokens,
            holder=state.holder,
            tokens_at_holder=tokens_at_holder,
            room_in_s=state.room_in,
            may_ask=state.may_ask,
            is_only_holder=tokens_at_holder is not None and state.holder_count == 1,
        )

    def _split(self, route: Route) -> Split:
        total = sum(each.weight for each in route.weighted_services)
        shares = tuple(
            SplitShare(each.service, each.weight / total) for each in route.weighted_services
        )
        service = self._sources.traffic_splitter.peek(route)
        greatest = max(shares, key=lambda each: each.share).service
        return Split(shares, service or greatest, service is not None)

    def _context(self, route: Route, service: RoutedService) -> RequestContext:
        request, timeout = self._request, self._time_limit()
        callers = self._parts.caller_retries.snapshot()
        is_late = callers.is_caller_retry(self._now, route.name, timeout)
        deadline = self._now + timeout
        return RequestContext(
            request, route, service, deadline, is_late, authorization=self._authorization
        )

    # The target.

    def _situation(
        self, context: RequestContext, has_service: bool
    ) -> tuple[tuple[Candidate, ...], Situation]:
        parts, now, service = self._parts, self._now, context.service.name
        selector = TargetSelector(
            parts.zone,
            parts.access.known_observations,
            parts.access.has_idle_connection,
            parts.contention.snapshot(service),
            FixedRandom(),
        )
        preview = parts.waiting.preview(context)
        rate_limits = parts.rate_limits.snapshot()
        permits = self._permits(rate_limits, LEAST)
        untried = [
            target
            for target in parts.registry.eligible_targets(service)
            if parts.availability.withdrawal(now, target) is None
        ]
        usable_permits = [
            candidate
            for candidate in permits.candidates(now, untried)
            if parts.availability.unavailability(
                now, candidate.target, context.service.cold_per_s, has_permit=True
            )
            is None
            and self._is_in_time(selector, context, candidate)
        ]
        latency = context.route.target_latency
        best = selector.best(now, usable_permits, preview.work, latency)
        permit_ids = {candidate.target.id for candidate in usable_permits}
        facts = {
            target: self._facts(
                selector, context, target, target.id in permit_ids, rate_limits.time_to_permit
            )
            for target in parts.registry.target_list.targets
            if target.service == service
        }
        to_probe = selector.candidates(
            now,
            [
                target
                for target, each in facts.items()
                if each.unavailable is None and each.further_reason is None
            ],
        )
        places = {target: place for place, target in enumerate(to_probe, 1)}
        judged = [explanation.judge(each, places.get(target)) for target, each in facts.items()]
        judged.sort(
            key=lambda each: (each.probe_order or math.inf, each.standing.value, each.facts.id)
        )
        can_wait = permits.can_wait(now, untried, preview.ahead, now + preview.max_wait)
        returns = (0.0, 0.0)
        if not can_wait:
            returns = tuple(
                self._permits(rate_limits, fraction).retry_after(now, service, untried)
                for fraction in (LEAST, GREATEST)
            )
        situation = Situation(
            allotment=self._allotment(),
            has_service=has_service,
            crash_check=self._crash_check(),
            pause_retry_after_s=self._pause(service),
            queue=_queue_facts(preview),
            permits=PermitFacts(can_wait, returns),
            probes_available=parts.probe_budget.available(now),
            candidates=tuple(judged),
            permit_target=None if best is None else best.target.id,
            default_retry_after_s=_DEFAULT_RETRY_AFTER_S,
        )
        return tuple(judged), situation

    def _permits(self, rate_limits: RateLimits, fraction: float) -> PermitScheduler:
        """Returns a snapshot of the permits that draws a fraction of each random range."""
        observations = self._parts.access.known_observations
        return self._parts.permits.snapshot(rate_limits, observations, FixedRandom(fraction))

    def _facts(
        self,
        selector: TargetSelector,
        context: RequestContext,
        target: RegisteredTarget,
        has_permit: bool,
        time_to_permit: Callable[[float, RegisteredTarget], float | None],
    ) -> TargetFacts:
        parts, now = self._parts, self._now
        observations = parts.access.known_observations(target)
        unavailable = parts.availability.unavailability(now, target, context.service.cold_per_s)
        until = unavailable.until if unavailable else None
        rate_limit = parts.rate_limits.get(target)
        known = observations.last_load
        age = None if known is None else now - known[1]
        load = LoadFigures(
            observations.in_flight, 0, target.slots, 1.0 + observations.reported_excess_pace(now)
        )
        if known is not None and age <= explanation.KNOWN_LOAD_S:
            load = known[0]
        is_cold = observations.is_cold(now)
        probed = ProbedTarget(target, load, is_cold)
        return TargetFacts(
            id=target.id,
            zone=target.zone,
            is_local=target.zone == parts.zone,
            is_connected=parts.access.has_idle_connection(target),
            unavailable=unavailable,
            until_s=None if until is None else until - now,
            is_zone_closed=target.zone in parts.registry.closed_zones.zones,
            further_reason=self._further_reason(target),
            rate_limit=rate_limit,
            permit_in_s=None if rate_limit is None else time_to_permit(now, target),
            has_permit=has_permit,
            is_cold=is_cold,
            is_owner=is_cold and parts.slow_start_limiter.is_owner(target, parts.zones()),
            failures=observations.failures(now),
            latency_ratio=observations.latency_ratio(now),
            in_flight=observations.in_flight,
            open_probes=observations.open_probes,
            load=None if known is None else known[0],
            load_age_s=age,
            has_free_slot=selector.has_free_slot(now, probed),
            is_in_time=self._is_in_time(selector, context, probed),
        )

    def _further_reason(self, target: RegisteredTarget) -> str | None:
        """Returns why a component beside `TargetAvailability` excludes a target, or None."""
        reasons = (reason(self._now, target) for reason in self._sources.further_reasons)
        return next((reason for reason in reasons if reason is not None), None)

    def _is_in_time(
        self, selector: TargetSelector, context: RequestContext, probed: ProbedTarget
    ) -> bool:
        route = context.route
        service_time = self._parts.service_times.expected(route.name, route.target_latency)
        expected = selector.expected_response_time(self._now, probed, service_time)
        return expected <= max_response_time(context, self._now, service_time)

    def _crash_check(self) -> CrashCheck:
        if self._named_route is not None or self._request.method not in BODILESS_METHODS:
            return CrashCheck.NEEDS_BODY
        if self._parts.crashes.is_blocked(self._now, self._request.fingerprints):
            return CrashCheck.BLOCKED
        return CrashCheck.NOT_BLOCKED

    def _pause(self, service: str) -> tuple[float, float] | None:
        targets = self._parts.registry.eligible_targets(service)
        ends = self._parts.availability.pause_ends(self._now, targets)
        if ends is None:
            return None
        first, last = (end - self._now for end in ends)
        latest = max(last, first + MIN_RETURN_SPREAD_S)
        return min(MAX_ADVISED_PAUSE_S, first), min(MAX_ADVISED_PAUSE_S, latest)


def _queue_facts(preview: QueuePreview) -> QueueFacts:
    rate = preview.dispatches_per_s
    estimate = preview.ahead / rate if rate > 0 else None
    return QueueFacts(
        policy=preview.policy,
        length=preview.length,
        ahead=preview.ahead,
        must_queue=preview.must_queue,
        is_admitted=preview.is_admitted,
        displaced=preview.displaced,
        dispatches_per_s=rate,
        estimated_wait_s=0.0 if preview.ahead == 0 else estimate,
        max_wait_s=preview.max_wait,
        retry_after_s=preview.retry_after or _DEFAULT_RETRY_AFTER_S,
        inputs=dict(preview.inputs),
    )


def _text(value: str) -> str:
    """Returns a parameter as UTF-8, of which the control server has decoded each byte.

    Raises:
        ExplainQueryError: it is too long.
    """
    if len(value) > MAX_QUERY_CHARS:
        raise ExplainQueryError(
            "a value of the query is too long.", f"Give up to {MAX_QUERY_CHARS} characters."
        )
    return value.encode("latin1", "replace").decode("utf-8", "replace")


def _named_route(table: RouteTable, query: Mapping[str, str]) -> Route | None:
    name = query.get("route")
    if name is None:
        if not query.get("host") or not query.get("path", "").startswith("/"):
            remedy = "Give --host, and --path with a slash at its start."
            raise ExplainQueryError("the query has no host and path.", remedy)
        return None
    route = next((each for each in table.routes if each.name == name), None)
    if route is None:
        remedy = "Look up the routes by `orioleloft show`."
        raise UnknownRouteError(f"version {table.version} has no route {name!r}.", remedy)
    return route


def _named_tenant(table: RouteTable, query: Mapping[str, str]) -> Tenant | None:
    name = query.get("tenant")
    if not name:
        return None
    tenant = next((each for each in table.tenants if each.name == name), None)
    if tenant is None:
        # The name is not repeated, as it may be a key that was given by mistake.
        remedy = "Give the name of a tenant in the configuration, not a key."
        raise UnknownTenantError(f"version {table.version} has no such tenant.", remedy)
    return tenant


def _request(
    now: float, route: Route | None, tenant: Tenant | None, query: Mapping[str, str]
) -> CallerRequest:
    timeout = None
    if query.get("timeout"):
        try:
            timeout = numericinput.parse_number(query["timeout"], MIN_TIMEOUT_S)
        except ValueError as error:
            remedy = "Give --timeout in seconds, such as 2.5."
            raise ExplainQueryError("the timeout is no positive number.", remedy) from error
    return CallerRequest(
        id="explain",
        method=query.get("method", "GET").upper(),
        host=route.host if route else query["host"],
        path=route.path_prefix if route else query["path"],
        headers=httputil.HTTPHeaders(),
        body=b"",
        arrived_at=now,
        caller_timeout=timeout,
        key_digest=tenant.key_digests[0] if tenant and tenant.key_digests else None,
    )

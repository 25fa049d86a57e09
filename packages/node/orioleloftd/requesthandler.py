"""Answers callers' requests: routes them, forwards or refuses them, and records the result."""

import asyncio
import logging
import math
import random
from collections.abc import Callable

from orioleloft_core import tenants
from orioleloft_core.errors import ERROR_RESPONSES, ErrorCode, ExecutionOutcome
from orioleloft_core.routes import Route, Tenant, TrafficSplitter
from orioleloft_core.stopping import GracefulShutdown
from orioleloft_core.tenants import UNRESTRICTED, Authorization, Denied
from orioleloftd.allotmentexchange import AllotmentGate, AllotmentPermit, Refused
from orioleloftd.exposition import NodeMetrics
from orioleloftd.forwarding import Forwarder
from orioleloftd.logs import log_event
from orioleloftd.requestcontext import CallerReply, CallerRequest
from orioleloftd.sharedstate import SharedState
from orioleloftd.shutdown import ShutdownSequence
from orioleloftd.startupgate import StartupGate

# Bounds of the random `Retry-After` of a caller that is refused because this node stops, in
# seconds.
STOPPING_RETRY_AFTER_MIN_S = 0.05
STOPPING_RETRY_AFTER_MAX_S = 0.2

_log = logging.getLogger(__name__)


class RequestHandler:
    """Answers the requests of callers.

    Args:
        state: the configuration and targets in force.
        startup_gate: lets requests wait until the state is complete.
        forwarder: forwards requests to targets.
        traffic_splitter: selects the service of a request.
        allotments: admits the requests of tenants within their allotments.
        shutdown: tells whether a request can still end before this node exits.
        shutdown_sequence: ends the requests that are in flight at the exit.
        metrics: receives status and latency of each reply.
        clock: seconds on the node's clock.
        rng: source of the times at which refused callers return.
    """

    def __init__(
        self,
        *,
        state: SharedState,
        startup_gate: StartupGate,
        forwarder: Forwarder,
        traffic_splitter: TrafficSplitter,
        allotments: AllotmentGate,
        shutdown: GracefulShutdown,
        shutdown_sequence: ShutdownSequence,
        metrics: NodeMetrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._state = state
        self._startup_gate = startup_gate
        self._forwarder = forwarder
        self._traffic_splitter = traffic_splitter
        self._allotments = allotments
        self._shutdown = shutdown
        self._shutdown_sequence = shutdown_sequence
        self._metrics = metrics
        self._clock = clock
        self._rng = rng

    async def serve(self, request: CallerRequest) -> CallerReply:
        """Routes and forwards a request, records its metrics and logs the result."""
        if not self._state.is_complete and not self._shutdown.has_begun:
            await self._startup_gate.wait_until_complete(_caller_deadline(request))
        table = self._state.table
        if not self._state.is_complete:
            reply = self._error_reply(request, ErrorCode.NODE_STARTING, "no configuration is known")
            self._record_reply(request, "", reply)
            return reply
        route = table.route(request.host, request.path)
        authorization = (
            tenants.authorize(table, route, request.key_digest) if route else UNRESTRICTED
        )
        try:
            reply = await self._answer(request, route, authorization)
        except Exception:
            # Without an answer the connection would be closed, with all other requests on it.
            _log.exception("request failed")
            text = "an unexpected error, which the log of this node has"
            reply = self._error_reply(request, ErrorCode.INTERNAL_ERROR, text)
        tenant = tenants.tenant_of(authorization)
        self._record_reply(request, route.name if route else "", reply, tenant)
        return reply

    def is_denied(self, host: str, path: str, key_digest: str | None) -> bool:
        """Whether a request would be refused for its key; see `Gateway.is_denied`."""
        table = self._state.table
        route = table.route(host, path) if self._state.is_complete else None
        return route is not None and isinstance(tenants.authorize(table, route, key_digest), Denied)

    async def _answer(
        self, request: CallerRequest, route: Route | None, authorization: Authorization
    ) -> CallerReply:
        if isinstance(authorization, Denied):
            return self._forwarder.unknown_key_reply(request)
        if not self._shutdown.accepts(self._clock(), self._time_limit(request, route)):
            return self._refuse_while_stopping(request)
        return await self._forward_until_exit(request, route, authorization)

    def _time_limit(self, request: CallerRequest, route: Route | None) -> float:
        """Returns the longest time that a request may still take, in seconds."""
        if route is None:
            return 0.0
        timeout = route.timeout
        if request.caller_timeout is not None:
            timeout = min(timeout, request.caller_timeout)
        return max(0.0, request.arrived_at + timeout - self._clock())

    def _refuse_while_stopping(self, request: CallerRequest) -> CallerReply:
        """Refuses a request that might not end before this node exits.

        The other nodes can take it, so the caller need not wait.
        """
        return self._forwarder.error_reply(
            request.id,
            ErrorCode.NODE_STOPPING,
            "the node stops before the request must end",
            self._rng.uniform(STOPPING_RETRY_AFTER_MIN_S, STOPPING_RETRY_AFTER_MAX_S),
        )

    async def _forward_until_exit(
        self, request: CallerRequest, route: Route | None, authorization: Authorization
    ) -> CallerReply:
        """Forwards a request; if the process exits before it has ended, its outcome is unknown."""
        reply = await self._shutdown_sequence.until_exit(
            self._forward_to_route(request, route, authorization)
        )
        if reply is not None:
            return reply
        text = "the node stops before the target has answered"
        return self._error_reply(request, ErrorCode.DEADLINE_AFTER_START, text)

    async def _forward_to_route(
        self, request: CallerRequest, route: Route | None, authorization: Authorization
    ) -> CallerReply:
        if route is None:
            text = f"no route in version {self._state.table.version}"
            return self._error_reply(request, ErrorCode.UNKNOWN_ROUTE, text)
        return await self._forward_authorized(request, route, authorization)

    async def _forward_authorized(
        self, request: CallerRequest, route: Route, authorization: Authorization
    ) -> CallerReply:
        """Forwards a request that is authorised; all of them pass here, and no other request."""
        tenant = tenants.tenant_of(authorization)
        deadline = self._clock() + self._time_limit(request, route)
        admission = await self._allotments.admit(tenant, deadline)
        if isinstance(admission, Refused):
            return self._forwarder.error_reply(
                request.id, admission.code, admission.reason, admission.retry_after
            )
        service_name = self._traffic_splitter.next_service(route)
        permit = AllotmentPermit(self._allotments, admission, deadline)
        try:
            reply = await self._forwarder.forward(
                request, route, service_name, authorization, permit
            )
        except asyncio.CancelledError:
            # The caller has left. Without an attempt, its token is worth as much as before.
            if admission.token is not None and not admission.token.is_spent:
                self._allotments.on_not_run(admission)
            raise
        if reply.code and ERROR_RESPONSES[reply.code].outcome is ExecutionOutcome.NOT_RUN:
            self._allotments.on_not_run(admission)
        return reply

    def _error_reply(self, request: CallerRequest, code: ErrorCode, text: str) -> CallerReply:
        return self._forwarder.error_reply(request.id, code, text)

    def _record_reply(
        self, request: CallerRequest, route: str, reply: CallerReply, tenant: Tenant | None = None
    ) -> None:
        seconds = self._clock() - request.arrived_at
        self._metrics.observe(route, reply.status, seconds)
        if reply.code is not None:
            self._metrics.count("refusals", code=reply.code.value)
        log_event(
            _log,
            "request answered",
            request=request.id,
            route=route,
            tenant=tenant.name if tenant else None,
            status=reply.status,
            ms=round(seconds * 1000),
            patience_ms=round(request.caller_timeout * 1000) if request.caller_timeout else None,
            code=reply.code.value if reply.code else None,
            reason=reply.message or None,
            retry_after=round(reply.retry_after, 2) if reply.retry_after else None,
        )


def _caller_deadline(request: CallerRequest) -> float:
    """Returns when the caller gives up, in seconds on the node's clock."""
    if request.caller_timeout is None:
        return math.inf
    return request.arrived_at + request.caller_timeout

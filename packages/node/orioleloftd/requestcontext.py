"""Data types of a caller's request, its forwarding state, its selected target and its reply."""

import dataclasses
import functools
from typing import Protocol

from tornado import httputil

from orioleloft_core import hashing, tenants
from orioleloft_core.admissionqueue import Rank
from orioleloft_core.crashes import RequestFingerprints
from orioleloft_core.errors import ErrorCode
from orioleloft_core.memory import ResponseReservation
from orioleloft_core.routes import Route, RoutedService, Tenant
from orioleloft_core.selection import ProbedTarget
from orioleloft_core.tenants import UNRESTRICTED, Authorization
from orioleloftd.connections import Connection


@dataclasses.dataclass(frozen=True, eq=False)
class CallerRequest:
    """A complete request of a caller.

    Attributes:
        id: request id from the caller's headers.
        method: HTTP method.
        host: value of the `Host` header.
        path: path and query.
        headers: all headers.
        body: complete body.
        arrived_at: time of the first byte, in seconds on the node's clock.
        caller_timeout: timeout that the caller states, in seconds, or None.
        caller_host: IP address of the caller; callers behind one address count as one.
        key_digest: digest of the API key, or None if there is no usable key.
    """

    id: str
    method: str
    host: str
    path: str
    # The headers contain the key.
    headers: httputil.HTTPHeaders = dataclasses.field(repr=False)
    body: bytes
    arrived_at: float
    caller_timeout: float | None
    caller_host: str = ""
    key_digest: str | None = dataclasses.field(default=None, repr=False)

    @functools.cached_property
    def fingerprints(self) -> RequestFingerprints:
        """Hashes by which the request is known when it comes again.

        They leave out the tenant: a key may move to another tenant between two attempts, and a
        caller with several keys must not crash more targets than one with a single key.
        """
        head = f"{self.method} {self.host} {self.path}".encode()
        content = hashing.fingerprint(head, self.body)
        return RequestFingerprints(
            hashing.fingerprint(content.encode(), self.caller_host.encode()), content
        )


@dataclasses.dataclass(frozen=True)
class CallerReply:
    """A reply to the caller: the response of a target, or an error reply of this node.

    Attributes:
        status: HTTP status.
        headers: end-to-end headers.
        body: complete body.
        code: error code, or None for the response of a target.
        message: description of the error.
        retry_after: seconds after which the caller may retry, or None.
        reservation: memory reserved for the body of a target's response.
    """

    status: int
    headers: httputil.HTTPHeaders
    body: bytes
    code: ErrorCode | None = None
    message: str = ""
    retry_after: float | None = None
    reservation: ResponseReservation | None = None


class DispatchPermit(Protocol):
    """Permit for the attempts of one request; see `allotmentexchange`."""

    async def spend(self, tenant: Tenant | None) -> "Rejection | None":
        """Allows an attempt that is about to be sent; may wait for a moment.

        Args:
            tenant: tenant of the request by the configuration in force, or None.

        Returns:
            Why the attempt must not be sent, or None.
        """


@dataclasses.dataclass(eq=False)
class RequestContext:
    """State of a request while it is forwarded.

    Attributes:
        request: the request.
        route: its route.
        service: service that the traffic split has selected.
        deadline: end of the caller's or the route's timeout, seconds on the node's clock.
        is_caller_retry: whether the caller has most likely sent the request before, so that the
            response is late in any case.
        tried_target_ids: ids of the targets that it was sent to.
        attempt_count: number of attempts so far, including hedges.
        fallback_reply: reply to use if no further attempt can be made.
        probe_count: number of probes sent in the last round.
        candidates: targets that responded in the last round, with their load.
        authorization: judgement of the request before its last dispatch.
        is_chosen: whether its first attempt goes to the version that is being rolled out.
        permit: permit that each attempt needs, or None.
    """

    request: CallerRequest
    route: Route
    service: RoutedService
    deadline: float
    is_caller_retry: bool = False
    tried_target_ids: set[str] = dataclasses.field(default_factory=set)
    attempt_count: int = 0
    fallback_reply: CallerReply | None = None
    probe_count: int = 0
    candidates: tuple[ProbedTarget, ...] = ()
    authorization: Authorization = UNRESTRICTED
    is_chosen: bool = False
    permit: DispatchPermit | None = None

    @property
    def tenant(self) -> Tenant | None:
        """Tenant of the request, or None if it has none."""
        return tenants.tenant_of(self.authorization)

    @property
    def rank(self) -> Rank:
        """Priority in the queue for a target."""
        priority = self.route.priority
        if self.tenant is not None and self.tenant.priority is not None:
            priority = self.tenant.priority
        return Rank(priority, self.is_caller_retry)


@dataclasses.dataclass(frozen=True)
class Rejection:
    """Why no target can take a request.

    Attributes:
        code: error code of the reply.
        reason: description of the error.
        retry_after: time after which the caller should retry, in seconds, or None for the default.
    """

    code: ErrorCode
    reason: str
    retry_after: float | None = None


@dataclasses.dataclass(frozen=True)
class SelectionBasis:
    """Estimates at the time at which a target was selected.

    Attributes:
        service_time: expected service time of the route, in seconds.
        latency_ratio: latency ratio of the target.
    """

    service_time: float
    latency_ratio: float


@dataclasses.dataclass(frozen=True, eq=False)
class SelectedTarget:
    """A target that can start the request at once.

    Attributes:
        candidate: the target and its load.
        connection: open connection that is ready for the request.
        expected_response_time: expected time to the response, in seconds.
        busy_slots: estimated busy slots of the target, including the one for the request.
        basis: estimates from which `expected_response_time` was computed, or None.
    """

    candidate: ProbedTarget
    connection: Connection
    expected_response_time: float
    busy_slots: int
    basis: SelectionBasis | None = None

"""Requests of callers on their way, the targets chosen for them, and replies."""

import dataclasses

from tornado import httputil

from orioleloft_core.errors import Code
from orioleloft_core.memory import AnswerReservation
from orioleloft_core.routes import Route, RoutedService
from orioleloft_core.selection import Offer
from orioleloft_core.waitline import Rank
from orioleloftd.connections import Connection


@dataclasses.dataclass(frozen=True, eq=False)
class EntryRequest:
    """One request of a caller, read whole.

    Attributes:
        id: id that the caller gave.
        method: HTTP method.
        host: value of the `Host` header.
        path: path and query.
        headers: all headers.
        body: whole body.
        arrived_at: time of arrival, in seconds on the node's clock.
        patience: time that the caller waits, in seconds, or None.
    """

    id: str
    method: str
    host: str
    path: str
    headers: httputil.HTTPHeaders
    body: bytes
    arrived_at: float
    patience: float | None


@dataclasses.dataclass(frozen=True)
class EntryReply:
    """An answer for the caller.

    Attributes:
        status: HTTP status.
        headers: headers without those of the connection.
        body: whole body.
        code: error code, or None for the answer of a target.
        message: what happened, for an error.
        retry_after: seconds after which the caller may come back, or None.
        reservation: memory of the body of a target's answer.
    """

    status: int
    headers: httputil.HTTPHeaders
    body: bytes
    code: Code | None = None
    message: str = ""
    retry_after: float | None = None
    reservation: AnswerReservation | None = None


@dataclasses.dataclass(eq=False)
class RequestContext:
    """A request on its way.

    Attributes:
        request: the request.
        route: its route.
        service: service that it goes to.
        expires_at: time after which no answer is of use, seconds on the node's clock.
        is_returning: whether the caller has most likely tried before, so that the answer is late.
        tried: targets that it was sent to.
        sent: number of dispatches.
        fallback: reply for the case that no further attempt can be made.
        asked: candidates of the last round of probes.
        offers: offers of those that answered.
    """

    request: EntryRequest
    route: Route
    service: RoutedService
    deadline: float
    is_caller_retry: bool = False
    tried_ids: set[str] = dataclasses.field(default_factory=set)
    dispatch_count: int = 0
    fallback: EntryReply | None = None
    probe_count: int = 0
    candidates: tuple[Offer, ...] = ()

    @property
    def rank(self) -> Rank:
        """Rank among the requests that wait for a target."""
        return Rank(self.route.priority, self.is_caller_retry)


@dataclasses.dataclass(frozen=True, eq=False)
class SelectedTarget:
    """A target that is ready to receive the request on a checked connection."""

    candidate: Offer
    connection: Connection
    service_time: float

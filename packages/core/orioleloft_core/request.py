"""Requests of callers, answers to them, and results of dispatches to targets."""

import dataclasses
import enum
import functools

from orioleloft_core import hashing
from orioleloft_core.errors import KINDS, Code, Outcome

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class Request:
    """One request of a caller, read whole.

    Attributes:
        id: request id, unique on the node.
        service: service that the caller names.
        customer: customer that the caller names, or an empty string.
        method: HTTP method.
        path: path and query for the target.
        deadline: time by which the answer is due, seconds on the node's clock.
        key: idempotency key, or an empty string.
        headers: end-to-end headers to pass on.
        body: request body.
    """

    id: str
    service: str
    customer: str
    method: str
    path: str
    deadline: float
    key: str = ""
    headers: Headers = ()
    body: bytes = b""

    @property
    def is_idempotent(self) -> bool:
        """Whether the method may be run more than once."""
        return self.method in IDEMPOTENT_METHODS

    @functools.cached_property
    def fingerprint(self) -> str:
        """Identifies the content of the request, independent of the caller's connection."""
        head = f"{self.service} {self.customer} {self.method} {self.path}".encode()
        return hashing.fingerprint(head, self.body)


@dataclasses.dataclass(frozen=True)
class Reply:
    """An answer for the caller.

    Attributes:
        status: HTTP status code.
        outcome: what is known about the execution of the request.
        code: error code, or None for an answer of the target.
        message: what happened, for an error.
        headers: end-to-end headers of the target's answer.
        body: answer body.
    """

    status: int
    outcome: Outcome
    code: Code | None = None
    message: str = ""
    headers: Headers = ()
    body: bytes = b""


def error_reply(code: Code, message: str) -> Reply:
    """Builds the reply of an error code."""
    kind = KINDS[code]
    return Reply(status=kind.status, outcome=kind.outcome, code=code, message=message)


class Warmth(enum.StrEnum):
    """State that a target's load report states."""

    COLD = "cold"
    WARM = "warm"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """A target's own load report; it lags and can mislead.

    Attributes:
        incarnation: changes when the target process restarts.
        in_flight: requests that the target says it runs.
        warmth: state that the target states.
    """

    incarnation: str
    in_flight: int
    warmth: Warmth


class Ending(enum.StrEnum):
    """How a dispatch to a target ended."""

    ANSWERED = "answered"
    SHED = "shed"
    NOT_SENT = "not-sent"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True)
class DispatchResult:
    """Result of one dispatch.

    Attributes:
        ending: how the dispatch ended. `SHED` and `NOT_SENT` prove that nothing ran.
        status: HTTP status of a complete answer.
        headers: end-to-end headers of a complete answer.
        body: whole body of a complete answer.
        report: load report on the answer, if any.
        service_ms: time from the first byte sent to the end of the answer, in milliseconds.
        reused: whether the connection had carried an earlier answer.
    """

    ending: Ending
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
    report: LoadReport | None = None
    service_ms: float = 0.0
    reused: bool = False

"""What the entry node needs to know of the headers that callers and targets use.

An adapter for a platform implements `Wire`; nothing else in the node names a header of it.
"""

import dataclasses
from typing import Protocol

from tornado import httputil

from orioleloft_core.evidence import LoadFigures


@dataclasses.dataclass(frozen=True)
class RequestFacts:
    """What the headers of a caller's request state.

    Attributes:
        request_id: id that the caller gave, or an empty string.
        patience: time that the caller waits, in seconds, or None.
    """

    request_id: str
    patience: float | None


@dataclasses.dataclass(frozen=True)
class AnswerFacts:
    """What the headers of a target's answer state.

    Attributes:
        request_id: id of the request that it answers, or an empty string.
        is_not_run: whether the target states that it did not run the request.
        is_signed: whether the answer is the work of the service.
        target_id: id of the target that answers, or an empty string.
        load: load figures, or None.
        cold_for: time for which the target stays cold, in seconds; 0 if it is warm.
        is_whole_encoding: whether the body is in the form that was asked for.
        idle_timeout: time after which the target closes an idle connection, or None.
    """

    request_id: str
    is_not_run: bool
    is_signed: bool
    target_id: str
    load: LoadFigures | None
    cold_for: float
    is_whole_encoding: bool
    idle_timeout: float | None


class Wire(Protocol):
    """Form of headers."""

    def request_facts(self, headers: httputil.HTTPHeaders) -> RequestFacts:
        """Reads a caller's request."""

    def target_headers(
        self, headers: httputil.HTTPHeaders, target_id: str, seconds_left: float, body: bytes
    ) -> httputil.HTTPHeaders:
        """Returns the headers of a request to a target."""

    def probe_headers(self, host: str) -> httputil.HTTPHeaders:
        """Returns the headers of a request for a target's state."""

    def answer_facts(self, status: int, headers: httputil.HTTPHeaders) -> AnswerFacts:
        """Reads a target's answer."""

    def caller_headers(self, headers: httputil.HTTPHeaders) -> httputil.HTTPHeaders:
        """Returns the headers of a target's answer that are passed on to the caller."""

    def own_answer_headers(
        self, request_id: str, retry_after: float | None
    ) -> httputil.HTTPHeaders:
        """Returns the headers of an answer of orioleloft's own."""

"""Interface to the platform's HTTP headers.

A platform adapter implements `WireFormat`; the rest of the node names no header of a platform.
"""

import dataclasses
from typing import Protocol

from tornado import httputil

from orioleloft_core.observations import LoadFigures
from orioleloft_core.ratelimits import RateLimitStatement
from orioleloft_core.targetavailability import AnswerStatement


@dataclasses.dataclass(frozen=True)
class RequestMetadata:
    """Metadata from the headers of a caller's request.

    Attributes:
        request_id: request id, or an empty string.
        caller_timeout: timeout that the caller states, in seconds, or None.
        key_digest: digest of the API key, or None if there is no usable key.
    """

    request_id: str
    caller_timeout: float | None
    key_digest: str | None = dataclasses.field(default=None, repr=False)


@dataclasses.dataclass(frozen=True)
class UnchangedTenant:
    """The caller's headers for key and tenant are forwarded, as there are no tenants."""


@dataclasses.dataclass(frozen=True)
class NoTenant:
    """The request belongs to no tenant; neither header is forwarded."""


@dataclasses.dataclass(frozen=True)
class NamedTenant:
    """The target is told the tenant; the caller's headers are not forwarded."""

    name: str


TenantHeader = UnchangedTenant | NoTenant | NamedTenant


@dataclasses.dataclass(frozen=True)
class ResponseMetadata:
    """Metadata from the headers of a target's response.

    Attributes:
        request_id: id of the request that it belongs to, or an empty string.
        is_not_executed: whether the target states that it did not execute the request.
        has_signature: whether the response carries the signature of the service.
        target_id: id of the responding target, or an empty string.
        load: load figures, or None.
        cold_seconds: remaining time of the target's cold start, in seconds; 0 if it is warm.
        has_identity_encoding: whether the body has no content encoding, as requested.
        idle_timeout: time after which the target closes an idle connection, in seconds, or None.
        rate_limit: what the response states on the target's rate limit.
        availability: what it states on whether the target takes further requests.
    """

    request_id: str
    is_not_executed: bool
    has_signature: bool
    target_id: str
    load: LoadFigures | None
    cold_seconds: float
    has_identity_encoding: bool
    idle_timeout: float | None
    rate_limit: RateLimitStatement
    availability: AnswerStatement


class WireFormat(Protocol):
    """Reads and writes the platform's headers."""

    def parse_request(self, headers: httputil.HTTPHeaders) -> RequestMetadata:
        """Parses the headers of a caller's request."""

    def target_headers(
        self,
        headers: httputil.HTTPHeaders,
        target_id: str,
        seconds_left: float,
        body: bytes,
        tenant: TenantHeader,
    ) -> httputil.HTTPHeaders:
        """Builds the headers of a request to a target.

        Args:
            headers: headers of the caller's request.
            target_id: id of the target.
            seconds_left: time to the deadline, in seconds.
            body: body of the request.
            tenant: what the target is told about the tenant.
        """

    def probe_headers(self, host: str) -> httputil.HTTPHeaders:
        """Builds the headers of a probe; `host` is the target's host and port."""

    def parse_response(self, status: int, headers: httputil.HTTPHeaders) -> ResponseMetadata:
        """Parses the status and headers of a target's response."""

    def caller_headers(self, headers: httputil.HTTPHeaders) -> httputil.HTTPHeaders:
        """Returns the headers of a target's response that are relayed to the caller."""

    def local_reply_headers(
        self, request_id: str, retry_after: float | None, needs_key: bool = False
    ) -> httputil.HTTPHeaders:
        """Builds the headers of an error reply that the node itself generates.

        Args:
            request_id: id of the request, or an empty string.
            retry_after: seconds after which the caller may retry, or None.
            needs_key: whether the reply asks for an API key.
        """

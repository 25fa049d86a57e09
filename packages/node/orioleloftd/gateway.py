"""Interface between the HTTP server for callers and the node."""

from typing import Protocol

from orioleloft_core.routes import CallerLimits
from orioleloftd.requestcontext import CallerReply, CallerRequest


class Gateway(Protocol):
    """Node as the HTTP server sees it: limits, memory accounting and request handling."""

    def now(self) -> float:
        """Returns the time in seconds on the node's clock."""

    def limits(self) -> CallerLimits:
        """Returns the current limits on request size and connection times."""

    def is_draining(self) -> bool:
        """Whether the node drains its connections: each is closed after its next reply."""

    def is_idempotent(self, request: CallerRequest) -> bool:
        """Whether a request may be executed more than once; true also if no route matches."""

    def is_denied(self, host: str, path: str, key_digest: str | None) -> bool:
        """Whether a request would be refused because it has no API key of a tenant.

        Args:
            host: value of the `Host` header.
            path: path and query.
            key_digest: digest of the key in the request, or None.
        """

    def reserve_memory(self, size: int) -> bool:
        """Reserves bytes for a part of a body; returns False if the limit would be exceeded."""

    def release_memory(self, size: int) -> None:
        """Releases reserved bytes."""

    async def serve(self, request: CallerRequest) -> CallerReply:
        """Forwards a request and returns the reply; cancelling it cancels its attempts."""

"""HTTP server for callers: buffers whole requests and passes them to the connection's pipeline."""

import logging

from tornado import http1connection, httpserver, httputil, iostream

from orioleloft_core.errors import ErrorCode
from orioleloft_core.routes import CallerLimits
from orioleloftd.callerpipeline import CallerPipeline, PendingRequest
from orioleloftd.closewatch import CloseWatcher
from orioleloftd.gateway import Gateway
from orioleloftd.limittimer import LimitTimer
from orioleloftd.logs import log_event
from orioleloftd.requestcontext import CallerRequest
from orioleloftd.streams import (
    CallerStream,
    Refusal,
    check_framing,
    connection_options,
)
from orioleloftd.wire import RequestMetadata, WireFormat

# Receive buffer of a connection, in bytes.
MAX_BUFFER_BYTES = 100 * 1024 * 1024
# Longest body, in bytes, that is read before a request with an unknown key is answered. The answer
# to a request with a longer one, or one of unknown length, closes the connection.
MAX_DENIED_BODY_BYTES = 64 * 1024

_log = logging.getLogger(__name__)


class CallerServer(httpserver.HTTPServer):
    """HTTP/1.1 server for callers.

    Attributes:
        open_requests: number of complete requests without a written reply.
    """

    def initialize(self, gateway: Gateway, wire: WireFormat) -> None:
        """Initializes the server; tornado's constructor passes its arguments on to this method."""
        self._gateway = gateway
        self._wire = wire
        self._pipelines: dict[object, CallerPipeline] = {}
        # Reader of the last request of each connection.
        self._readers: dict[object, _RequestReader] = {}
        self._limits: CallerLimits | None = None
        self._close_watcher = CloseWatcher()
        self.open_requests = 0
        super().initialize(self, max_buffer_size=MAX_BUFFER_BYTES)
        self.apply_limits(gateway.limits())

    def apply_limits(self, limits: CallerLimits) -> None:
        """Applies limits to new requests, also on connections that wait for one already.

        A request that is arriving gets limits that are raised, and keeps those that are lowered.
        """
        if limits == self._limits:
            return
        self._limits = limits
        for reader in self._readers.values():
            reader.apply_limits(limits)
        self.conn_params.max_header_size = limits.max_header_bytes
        self.conn_params.max_body_size = MAX_BUFFER_BYTES

    def _adjust_open_requests(self, delta: int) -> None:
        self.open_requests += delta

    def start_request(self, server_conn, request_conn) -> httputil.HTTPMessageDelegate:
        """Returns the delegate that reads a request; called by tornado."""
        pipeline = self._pipelines.get(server_conn)
        if pipeline is None:
            pipeline = CallerPipeline(
                self._gateway,
                request_conn.stream,
                self._close_watcher,
                self._adjust_open_requests,
            )
            self._pipelines[server_conn] = pipeline
        reader = _RequestReader(pipeline, self._gateway, self._wire, request_conn)
        self._readers[server_conn] = reader
        return reader

    def on_close(self, server_conn) -> None:
        """Ends the pipeline of a connection that is no longer read; called by tornado."""
        super().on_close(server_conn)
        self._readers.pop(server_conn, None)
        pipeline = self._pipelines.pop(server_conn, None)
        if pipeline is not None:
            pipeline.on_read_closed()

    def close_idle_connections(self) -> None:
        """Closes the connections on which no request has begun to arrive."""
        for pipeline in list(self._pipelines.values()):
            pipeline.close_if_idle()

    def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Serves a new connection on a `CallerStream`; called by tornado."""
        caller_stream = CallerStream(stream.socket, max_buffer_size=MAX_BUFFER_BYTES)
        caller_stream.set_nodelay(True)
        super().handle_stream(caller_stream, address)


class _RequestReader(httputil.HTTPMessageDelegate):
    """Buffers one request and enforces its limits and timeouts."""

    def __init__(
        self,
        pipeline: CallerPipeline,
        gateway: Gateway,
        wire: WireFormat,
        connection: http1connection.HTTP1Connection,
    ) -> None:
        self._pipeline = pipeline
        self._gateway = gateway
        self._wire = wire
        self._connection = connection
        self._stream: CallerStream = connection.stream
        # One buffer; see `connections._ResponseReader`.
        self._body = bytearray()
        self._body_bytes = 0
        self._reserved_bytes = 0
        self._arrived_at = 0.0
        self._start_line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._metadata: RequestMetadata | None = None
        self._timer = LimitTimer(self._on_timeout)
        self._max_body_bytes = gateway.limits().max_body_bytes
        self._stream.on_first_byte = self._on_first_byte
        pipeline.on_waiting_for_request()
        if self._stream.has_unread_bytes:
            self._stream.on_first_byte = None
            self._on_first_byte()

    def _on_first_byte(self) -> None:
        self._arrived_at = self._gateway.now()
        self._pipeline.on_request_started()
        self._timer.start(self._gateway.limits().header_timeout)

    def apply_limits(self, limits: CallerLimits) -> None:
        """Applies changed limits to the request that is awaited or arriving."""
        self._pipeline.apply_limits(limits)
        if self._start_line is None:
            self._stream.apply_header_limit(limits.max_header_bytes)
            self._timer.extend(limits.header_timeout)
            return
        self._max_body_bytes = max(self._max_body_bytes, limits.max_body_bytes)
        self._timer.extend(limits.idle_timeout)

    def _on_timeout(self) -> None:
        message = "The request was not complete in time."
        self._stream.refuse(Refusal(ErrorCode.MALFORMED_REQUEST, message))

    def _stop_timer(self) -> None:
        self._stream.on_first_byte = None
        self._timer.stop()

    def headers_received(self, start_line, headers) -> None:
        self._stop_timer()
        self._start_line = start_line
        self._headers = headers
        limits = self._gateway.limits()
        self._max_body_bytes = limits.max_body_bytes
        refusal = check_framing(start_line, headers, limits.max_body_bytes)
        if refusal is not None:
            self._refuse(refusal)
        self._metadata = self._wire.parse_request(headers)
        if _has_costly_body(headers) and self._is_denied():
            reply_headers = self._wire.local_reply_headers(
                self._metadata.request_id, None, needs_key=True
            )
            message = "the request has no known API key"
            self._refuse(Refusal(ErrorCode.UNKNOWN_KEY, message, tuple(reply_headers.get_all())))
        self._timer.start(limits.idle_timeout)

    def _is_denied(self) -> bool:
        host, path = self._headers.get("Host", ""), self._start_line.path
        return self._gateway.is_denied(host, path, self._metadata.key_digest)

    def data_received(self, chunk: bytes) -> None:
        self._timer.start(self._gateway.limits().idle_timeout)
        self._body_bytes += len(chunk)
        if self._body_bytes > self._max_body_bytes:
            self._refuse(Refusal(ErrorCode.REQUEST_TOO_LARGE, "The body is too large."))
        if not self._gateway.reserve_memory(len(chunk)):
            self._refuse(Refusal(ErrorCode.NO_CAPACITY, "The node has no memory for the body."))
        self._reserved_bytes += len(chunk)
        self._body += chunk

    def _refuse(self, refusal: Refusal) -> None:
        self._stop_timer()
        log_event(
            _log,
            "request refused",
            request=self._metadata.request_id if self._metadata else None,
            reason=refusal.message,
            code=refusal.code.value,
        )
        self._stream.refusal = refusal
        raise httputil.HTTPInputError(refusal.message)

    def on_connection_close(self) -> None:
        """Releases the memory of an incomplete request; called by tornado."""
        self._stop_timer()
        self._gateway.release_memory(self._reserved_bytes)
        self._reserved_bytes = 0

    def finish(self) -> None:
        """Passes the complete request to the pipeline; called by tornado."""
        self._stop_timer()
        metadata = self._metadata
        # This object lives until the request is answered and must not hold the body twice.
        body, self._body = bytes(self._body), bytearray()
        request = CallerRequest(
            id=metadata.request_id,
            method=self._start_line.method,
            host=self._headers.get("Host", ""),
            path=self._start_line.path,
            headers=self._headers,
            body=body,
            arrived_at=self._arrived_at,
            caller_timeout=metadata.caller_timeout,
            caller_host=self._connection.context.remote_ip,
            key_digest=metadata.key_digest,
        )
        is_http_10 = self._start_line.version == "HTTP/1.0"
        is_close_requested = is_http_10 or "close" in connection_options(self._headers)
        reserved_bytes, self._reserved_bytes = self._reserved_bytes, 0
        self._pipeline.add(
            PendingRequest(request, self._connection, reserved_bytes, is_close_requested)
        )


def _has_costly_body(headers: httputil.HTTPHeaders) -> bool:
    """Whether a request has a body that is not worth reading only to keep the connection."""
    if "Transfer-Encoding" in headers or "Expect" in headers:
        return True
    return int(headers.get("Content-Length", "0")) > MAX_DENIED_BODY_BYTES

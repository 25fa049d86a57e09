"""HTTP server for callers: reads requests whole, routes them and writes the answers."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from tornado import http1connection, httpserver, httputil, iostream

from orioleloft_core.errors import KINDS, Code
from orioleloft_core.routes import CallerLimits
from orioleloftd.jobs import EntryReply, EntryRequest
from orioleloftd.logs import log_event
from orioleloftd.streams import (
    CallerStream,
    Refusal,
    connection_tokens,
    error_body,
    framing_fault,
)
from orioleloftd.wire import Wire

# Callers use a connection up to the end of the idle time; the margin keeps the server from closing
# a connection on which a request is on its way. Seconds.
IDLE_MARGIN_S = 2.0
# Largest request that a connection buffers, in bytes.
MAX_BUFFER_BYTES = 100 * 1024 * 1024

_log = logging.getLogger(__name__)


class Gateway(Protocol):
    """What the server needs from the node."""

    def now(self) -> float:
        """Returns the time in seconds on the node's clock."""

    def limits(self) -> CallerLimits:
        """Returns the limits in force."""

    def closes_connections(self) -> bool:
        """Whether callers should go to other nodes after their answer."""

    def reserve_memory(self, size: int) -> bool:
        """Reserves memory for a part of a body; returns False if there is none left."""

    def release_memory(self, size: int) -> None:
        """Gives reserved memory back."""

    async def serve(self, request: EntryRequest) -> EntryReply:
        """Returns the answer to a request."""


class CallerConnections(httpserver.HTTPServer):
    """Accepts callers' connections."""

    def initialize(self, gateway: Gateway, wire: Wire) -> None:
        """Sets the limits; called by the constructor with its arguments."""
        self._gateway = gateway
        self._wire = wire
        self.open_requests = 0
        super().initialize(self, max_buffer_size=MAX_BUFFER_BYTES)
        self.apply_limits(gateway.limits())

    def apply_limits(self, limits: CallerLimits) -> None:
        """Puts limits in force for new connections."""
        self.conn_params.max_header_size = limits.max_header_bytes
        self.conn_params.max_body_size = MAX_BUFFER_BYTES
        self.conn_params.header_timeout = limits.idle_timeout + IDLE_MARGIN_S

    def start_request(self, server_conn, request_conn) -> httputil.HTTPMessageDelegate:
        """Makes the reader of a request; called by tornado."""
        return _RequestReader(self, self._gateway, self._wire, request_conn)

    def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Serves a new connection."""
        caller = CallerStream(stream.socket, max_buffer_size=MAX_BUFFER_BYTES)
        caller.set_nodelay(True)
        super().handle_stream(caller, address)


class _RequestReader(httputil.HTTPMessageDelegate):
    """Reads one request whole, has it served and writes the answer."""

    def __init__(
        self,
        server: CallerConnections,
        gateway: Gateway,
        wire: Wire,
        connection: http1connection.HTTP1Connection,
    ) -> None:
        self._server = server
        self._gateway = gateway
        self._wire = wire
        self._connection = connection
        self._stream: CallerStream = connection.stream
        self._chunks: list[bytes] = []
        self._size = 0
        self._reserved = 0
        self._arrived_at = 0.0
        self._start_line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._stream.on_first_byte = self._on_first_byte

    def _on_first_byte(self) -> None:
        self._arrived_at = self._gateway.now()
        self._set_timer(self._gateway.limits().header_timeout)

    def _set_timer(self, seconds: float) -> None:
        self._timer = asyncio.get_running_loop().call_later(seconds, self._time_out)

    def _time_out(self) -> None:
        text = "The request did not arrive whole in time."
        self._stream.refuse(Refusal(Code.MALFORMED_REQUEST, text))

    def _stop_timer(self) -> None:
        self._stream.on_first_byte = None
        if self._timer is not None:
            self._timer.cancel()

    def headers_received(self, start_line, headers) -> None:
        self._stop_timer()
        self._arrived_at = self._arrived_at or self._gateway.now()
        self._start_line = start_line
        self._headers = headers
        limit = self._gateway.limits().max_body_bytes
        refusal = framing_fault(start_line, headers, limit)
        if refusal is not None:
            self._refuse(refusal)
        self._set_timer(self._gateway.limits().idle_timeout)

    def data_received(self, chunk: bytes) -> None:
        self._stop_timer()
        self._set_timer(self._gateway.limits().idle_timeout)
        self._size += len(chunk)
        if self._size > self._gateway.limits().max_body_bytes:
            self._refuse(Refusal(Code.REQUEST_TOO_LARGE, "The body is too large."))
        if not self._gateway.reserve_memory(len(chunk)):
            self._refuse(Refusal(Code.NO_CAPACITY, "The node has no memory for the body."))
        self._reserved += len(chunk)
        self._chunks.append(chunk)

    def _refuse(self, refusal: Refusal) -> None:
        self._stop_timer()
        log_event(_log, "request refused", reason=refusal.message, code=refusal.code.value)
        self._stream.refusal = refusal
        raise httputil.HTTPInputError(refusal.message)

    def _release_memory(self) -> None:
        self._gateway.release_memory(self._reserved)
        self._reserved = 0

    def on_connection_close(self) -> None:
        self._stop_timer()
        if self._task is None:
            self._release_memory()
        self._cancel()

    def finish(self) -> None:
        self._stop_timer()
        facts = self._wire.request_facts(self._headers)
        request = EntryRequest(
            id=facts.request_id,
            method=self._start_line.method,
            host=self._headers.get("Host", ""),
            path=self._start_line.path,
            headers=self._headers,
            body=b"".join(self._chunks),
            arrived_at=self._arrived_at,
            patience=facts.patience,
        )
        self._server.open_requests += 1
        self._connection.set_close_callback(self._cancel)
        self._task = asyncio.get_running_loop().create_task(self._gateway.serve(request))
        self._task.add_done_callback(lambda task: self._on_served(request, task))

    def _cancel(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def _on_served(self, request: EntryRequest, task: asyncio.Task) -> None:
        self._server.open_requests -= 1
        self._release_memory()
        if task.cancelled():
            log_event(_log, "caller left", request=request.id)
            return
        if task.exception() is not None:
            _log.error("request failed", exc_info=task.exception())
            self._stream.close()
            return
        self._answer(request, task.result())

    def _answer(self, request: EntryRequest, reply: EntryReply) -> None:
        if self._stream.closed():
            return
        self._connection.set_close_callback(None)
        headers = httputil.HTTPHeaders()
        for name, value in reply.headers.get_all():
            headers.add(name, value)
        body = reply.body
        if reply.code is not None:
            headers["Content-Type"] = "application/json"
            body = error_body(reply.code, reply.message, KINDS[reply.code].outcome)
        wants_close = "close" in connection_tokens(self._headers)
        if wants_close or self._gateway.closes_connections():
            headers["Connection"] = "close"
        if request.method == "HEAD" or reply.status in (204, 304):
            body = b""
        else:
            headers["Content-Length"] = str(len(body))
        reason = httputil.responses.get(reply.status, "Unknown")
        start_line = httputil.ResponseStartLine("HTTP/1.1", reply.status, reason)
        written = self._connection.write_headers(start_line, headers, body)
        self._connection.finish()
        if headers.get("Connection") == "close":
            written.add_done_callback(self._close_after_write)

    def _close_after_write(self, written: asyncio.Future) -> None:
        # Reading the outcome keeps asyncio from reporting it as never retrieved.
        if not written.cancelled():
            written.exception()
        self._stream.close()


Document = tuple[int, str, bytes]


class DocumentServer:
    """Serves small documents over HTTP.

    Args:
        answer: returns status, content type and body for method, path and query arguments.
    """

    def __init__(self, answer: Callable[[str, str, dict[str, str]], Document]) -> None:
        self._answer = answer
        self._server = httpserver.HTTPServer(self._handle)

    def listen(self, host: str, port: int) -> None:
        """Accepts connections."""
        self._server.listen(port, host)

    def _handle(self, request: httputil.HTTPServerRequest) -> None:
        arguments = {
            name: values[-1].decode("latin1") for name, values in request.arguments.items()
        }
        status, content_type, body = self._answer(request.method, request.path, arguments)
        headers = httputil.HTTPHeaders(
            {"Content-Type": content_type, "Content-Length": str(len(body))}
        )
        reason = httputil.responses.get(status, "Unknown")
        start_line = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        request.connection.write_headers(start_line, headers, body)
        request.connection.finish()

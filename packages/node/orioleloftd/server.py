"""HTTP server for callers: reads requests whole, checks them and writes answers."""

import asyncio
import json
import logging
import socket
import sys
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from tornado import http1connection, httpserver, httputil, iostream

from orioleloft_core.errors import Code, Outcome
from orioleloft_core.request import Reply, Request, error_reply
from orioleloft_core.settings import Settings
from orioleloftd import targetprotocol
from orioleloftd.streams import (
    CODE,
    OUTCOME,
    CallerStream,
    Refusal,
    error_body,
    framing_fault,
)

SERVICE = "Orioleloft-Service"
CUSTOMER = "Orioleloft-Customer"
DEADLINE_MS = "Orioleloft-Deadline-Ms"
KEY = "Orioleloft-Key"
REQUEST_ID = "Orioleloft-Request-Id"

ADDRESSES_PATH = "/_orioleloft/addresses"
STATUS_PATH = "/_orioleloft/status"
OWN_PATHS = "/_orioleloft/"
CLOSE = "close"

MAX_NAME_CHARS = 256

# A caller may keep an unused connection for this long.
IDLE_SECONDS = 60.0
FLUSH_POLL_SECONDS = 0.01

_log = logging.getLogger(__name__)


class Gateway(Protocol):
    """What the server needs from the node."""

    def now(self) -> float:
        """Returns the time in seconds on the node's clock."""

    def next_request_id(self) -> str:
        """Returns a request id that is unique on the node."""

    def submit(self, request: Request, answer: Callable[[Reply], None]) -> None:
        """Takes a request; `answer` is called at most once."""

    def caller_left(self, request_id: str) -> None:
        """Tells that the caller closed its connection before the answer."""

    def addresses(self, zone: str) -> list[dict[str, Any]]:
        """Returns the entry addresses for a caller in a zone, the best first."""

    def status(self) -> dict[str, Any]:
        """Returns the node's state for operators."""


class CallerServer(httpserver.HTTPServer):
    """Accepts callers' connections."""

    def initialize(self, gateway: Gateway, settings: Settings) -> None:
        """Sets the limits; called by the constructor with its arguments."""
        limits = settings.requests
        super().initialize(
            _CallerConnections(gateway, settings),
            max_header_size=limits.max_header_bytes,
            # The reader counts body bytes itself: tornado's limit answers without the code.
            max_body_size=sys.maxsize,
            max_buffer_size=limits.max_header_bytes + limits.max_body_bytes + 65536,
            idle_connection_timeout=IDLE_SECONDS,
        )
        self._streams: set[CallerStream] = set()
        self.port = 0

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accepts connections on listening sockets; called by `listen`."""
        listed = list(sockets)
        self.port = listed[0].getsockname()[1]
        super().add_sockets(listed)

    async def finish(self, seconds: float) -> None:
        """Stops to accept, and closes each connection once its answer is written.

        Args:
            seconds: time after which connections are closed anyway.
        """
        self.stop()
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while any(stream.writing() for stream in self._streams) and loop.time() < end:
            await asyncio.sleep(FLUSH_POLL_SECONDS)
        await self.close_all_connections()

    def on_close(self, server_conn) -> None:
        """Forgets a connection."""
        super().on_close(server_conn)
        self._streams.discard(server_conn.stream)

    def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Serves a new connection."""
        caller = CallerStream(
            stream.socket,
            max_buffer_size=stream.max_buffer_size,
            read_chunk_size=stream.read_chunk_size,
        )
        caller.set_nodelay(True)
        self._streams.add(caller)
        super().handle_stream(caller, address)


class _CallerConnections(httputil.HTTPServerConnectionDelegate):
    """Makes a reader for each request."""

    def __init__(self, gateway: Gateway, settings: Settings) -> None:
        self._gateway = gateway
        self._settings = settings

    def start_request(self, server_conn, request_conn) -> httputil.HTTPMessageDelegate:
        return _RequestReader(self._gateway, self._settings, request_conn)


class _RequestReader(httputil.HTTPMessageDelegate):
    """Reads one request whole and hands it to the node."""

    def __init__(
        self, gateway: Gateway, settings: Settings, connection: http1connection.HTTP1Connection
    ) -> None:
        self._gateway = gateway
        self._settings = settings
        self._connection = connection
        self._stream: CallerStream = connection.stream
        self._timer: asyncio.TimerHandle | None = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._started = 0.0
        self._start_line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._request_id = ""
        self._is_answered = False
        self._stream.on_first_byte = self._set_timer

    def _set_timer(self) -> None:
        seconds = self._settings.requests.read_timeout_ms / 1000
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._time_out)

    def _time_out(self) -> None:
        text = "The request did not arrive whole in time."
        self._stream.refuse(Refusal(Code.MALFORMED_REQUEST, text))

    def _stop_timer(self) -> None:
        self._stream.on_first_byte = None
        if self._timer is not None:
            self._timer.cancel()

    def headers_received(self, start_line, headers) -> None:
        self._started = self._gateway.now()
        self._start_line = start_line
        self._headers = headers
        refusal = framing_fault(start_line, headers, self._settings.requests.max_body_bytes)
        if refusal is not None:
            self._refuse(refusal)

    def data_received(self, chunk: bytes) -> None:
        self._size += len(chunk)
        if self._size > self._settings.requests.max_body_bytes:
            self._refuse(Refusal(Code.REQUEST_TOO_LARGE, "The body is too large."))
        self._chunks.append(chunk)

    def _refuse(self, refusal: Refusal) -> None:
        self._stop_timer()
        self._stream.refusal = refusal
        raise httputil.HTTPInputError(refusal.message)

    def on_connection_close(self) -> None:
        self._stop_timer()

    def finish(self) -> None:
        self._stop_timer()
        path = self._start_line.path
        if path.startswith(OWN_PATHS):
            self._answer_own(path)
            return
        self._request_id = self._gateway.next_request_id()
        made = self._request()
        if isinstance(made, Refusal):
            self._answer(error_reply(made.code, made.message))
            return
        self._connection.set_close_callback(self._caller_left)
        self._gateway.submit(made, self._answer)

    def _caller_left(self) -> None:
        if not self._is_answered:
            self._is_answered = True
            self._gateway.caller_left(self._request_id)

    def _request(self) -> Request | Refusal:
        headers = self._headers
        service = headers.get(SERVICE, "")
        customer = headers.get(CUSTOMER, "")
        key = headers.get(KEY, "")
        if not service:
            return Refusal(Code.MALFORMED_REQUEST, f"The header {SERVICE} is missing.")
        if max(len(service), len(customer), len(key)) > MAX_NAME_CHARS:
            text = f"{SERVICE}, {CUSTOMER} and {KEY} have at most {MAX_NAME_CHARS} characters."
            return Refusal(Code.MALFORMED_REQUEST, text)
        limits = self._settings.requests
        stated = headers.get(DEADLINE_MS, str(limits.default_deadline_ms))
        if not (stated.isascii() and stated.isdigit() and len(stated) < 10 and int(stated) > 0):
            text = f"{DEADLINE_MS} is not a positive number of milliseconds."
            return Refusal(Code.MALFORMED_REQUEST, text)
        deadline_ms = min(int(stated), limits.max_deadline_ms)
        return Request(
            id=self._request_id,
            service=service,
            customer=customer,
            method=self._start_line.method,
            path=self._start_line.path,
            deadline=self._started + deadline_ms / 1000,
            key=key,
            headers=targetprotocol.request_headers(headers),
            body=b"".join(self._chunks),
        )

    def _answer_own(self, path: str) -> None:
        """Answers the node's own paths."""
        name, _, query = path.partition("?")
        if self._start_line.method != "GET" or name not in (ADDRESSES_PATH, STATUS_PATH):
            text = f"The node itself answers GET {ADDRESSES_PATH} and GET {STATUS_PATH} only."
            self._answer(error_reply(Code.MALFORMED_REQUEST, text))
            return
        if name == STATUS_PATH:
            document = self._gateway.status()
        else:
            zone = httputil.parse_qs_bytes(query).get("zone", [b""])[0].decode("latin1")
            keep_ms = self._settings.stop.address_lifetime_ms
            document = {"keep_ms": keep_ms, "addresses": self._gateway.addresses(zone)}
        headers = (("Content-Type", "application/json"), ("Cache-Control", "no-store"))
        body = json.dumps(document).encode()
        self._answer(Reply(200, Outcome.COMPLETE, headers=headers, body=body))

    def _answer(self, reply: Reply) -> None:
        if self._is_answered or self._stream.closed():
            return
        self._is_answered = True
        self._connection.set_close_callback(None)
        headers = httputil.HTTPHeaders()
        body = reply.body
        if reply.code is not None and not body:
            headers["Content-Type"] = "application/json"
            body = error_body(reply.code, reply.message, reply.outcome)
        for name, value in reply.headers:
            headers.add(name, value)
        headers[OUTCOME] = reply.outcome.value
        if reply.code is not None:
            headers[CODE] = reply.code.value
        if self._request_id:
            headers[REQUEST_ID] = self._request_id
        wants_close = CLOSE in targetprotocol.connection_tokens(self._headers)
        if wants_close or reply.code is Code.NODE_STOPPING:
            headers["Connection"] = CLOSE
        self._write(reply.status, headers, body)

    def _write(self, status: int, headers: httputil.HTTPHeaders, body: bytes) -> None:
        if self._start_line.method == "HEAD" or status in (204, 304):
            body = b""
        else:
            headers["Content-Length"] = str(len(body))
        reason = httputil.responses.get(status, "Unknown")
        written = self._connection.write_headers(
            httputil.ResponseStartLine("HTTP/1.1", status, reason), headers, body
        )
        self._connection.finish()
        if headers.get("Connection") == CLOSE:
            written.add_done_callback(lambda _: self._stream.close())

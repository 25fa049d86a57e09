"""Pooled HTTP/1.1 client for targets, other nodes and the platform's store.

A connection carries one exchange at a time, and no request is retried here. A connection is closed
and not reused if an exchange was cancelled, bytes are unread or its state is uncertain.
"""

import asyncio
import dataclasses
import functools
import logging
import socket
import sys
from collections.abc import Callable

from tornado import http1connection, httputil, iostream

from orioleloft_core.memory import MemoryAccount, ResponseReservation
from orioleloftd.streams import NoDelayStream

# Responses to earlier requests that are skipped before the expected one.
MAX_STALE_RESPONSES = 2
# Connect timeout, in seconds. The target's kernel responds in 2 ms; a lost SYN is resent after 1 s.
CONNECT_TIMEOUT_S = 0.5
# Idle timeout of a connection if the peer states none, in seconds.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Fraction of the peer's idle timeout for which a connection is reused, as the peer may close it at
# the end of that time.
IDLE_TIMEOUT_FRACTION = 0.8

# Statuses of responses; RFC 9110 defines no others. A target in trouble has sent 000.
MIN_STATUS = 100
MAX_STATUS = 599
# The peer goes on in another protocol, which no request here asks for. Unlike other interim
# responses it is followed by no final one.
SWITCHING_PROTOCOLS = 101

# Largest read from the socket, in bytes.
READ_CHUNK_BYTES = 64 * 1024
# Receive buffer, in bytes: a header block and a chunk.
MAX_BUFFER_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True)
class ResponseLimits:
    """Size limits of a response, in bytes.

    Attributes:
        head: limit of the header block.
        body: limit of the body.
    """

    head: int
    body: int


# Responses for callers. They are buffered completely, and the smallest VM has 200 MB.
CALLER_RESPONSE_LIMITS = ResponseLimits(head=64 * 1024, body=16 * 1024 * 1024)
# Responses to probes: a few headers and hardly any body.
PROBE_RESPONSE_LIMITS = ResponseLimits(head=16 * 1024, body=16 * 1024)
# Responses of the store and of other nodes. Lists and values of the store are up to 1 MB, and the
# state of a node contains one such value and a list of targets.
CONTROL_RESPONSE_LIMITS = ResponseLimits(head=16 * 1024, body=4 * 1024 * 1024)
# Memory for the responses of one `HttpClient`, in bytes. A response may take a quarter of the free
# memory, and three lists of a megabyte are read at a time.
CONTROL_MEMORY_BYTES = 20 * 1024 * 1024

_log = logging.getLogger(__name__)


class ExchangeError(Exception):
    """An exchange failed before a complete response was read.

    Attributes:
        was_request_sent: whether any byte of the request may have been sent.
        is_oversized: whether the peer exceeded a response limit, also by bytes that are not HTTP.
    """

    def __init__(self, message: str, was_request_sent: bool, is_oversized: bool = False) -> None:
        super().__init__(message)
        self.was_request_sent = was_request_sent
        self.is_oversized = is_oversized


@dataclasses.dataclass(frozen=True)
class HttpResponse:
    """A complete response.

    Attributes:
        status: HTTP status.
        headers: headers.
        body: complete body.
        reservation: memory reserved for the body; keep a reference for as long as the body.
    """

    status: int
    headers: httputil.HTTPHeaders
    body: bytes
    reservation: ResponseReservation | None = None


class _ResponseReader(httputil.HTTPMessageDelegate):
    """Collects one response, checks its status and enforces its limits.

    Args:
        limits: size limits.
        on_complete: called when the response is complete.
        memory: account that is charged for the body.

    Attributes:
        fault: why there is no complete response, if there is none.
        is_complete: whether the response is complete.
        is_oversized: whether the peer has exceeded a limit.
    """

    def __init__(
        self, limits: ResponseLimits, on_complete: Callable[[], None], memory: MemoryAccount
    ) -> None:
        self._limits = limits
        self._on_complete = on_complete
        self._reservation = ResponseReservation(memory)
        # One buffer, as a list of chunks of a few bytes takes many times their size.
        self._body = bytearray()
        self._status = 0
        self._headers = httputil.HTTPHeaders()
        self.fault = "no complete response was read"
        self.is_complete = False
        self.is_oversized = False

    @property
    def response(self) -> HttpResponse:
        return HttpResponse(self._status, self._headers, bytes(self._body), self._reservation)

    @property
    def is_body_delimited(self) -> bool:
        """Whether the body is delimited by the headers and not by the end of the connection."""
        if self._status in (204, 304):
            return True
        return "Content-Length" in self._headers or "Transfer-Encoding" in self._headers

    def headers_received(self, start_line, headers) -> None:
        code = start_line.code
        if not MIN_STATUS <= code <= MAX_STATUS or code == SWITCHING_PROTOCOLS:
            self.fault = f"{code:03} is no status of a response"
            raise httputil.HTTPInputError(self.fault)
        self._status = code
        self._headers = headers
        stated_length = headers.get("Content-Length", "")
        if (
            stated_length.isascii()
            and stated_length.isdigit()
            and int(stated_length) > self._limits.body
        ):
            self._refuse("The Content-Length of the response is over its limit.")

    def data_received(self, chunk: bytes) -> None:
        if self._reservation.size + len(chunk) > self._limits.body:
            self._refuse("The response body is over its limit.")
        if not self._reservation.grow(len(chunk)):
            self._refuse("The response takes more than its share of the memory.")
        self._body += chunk

    def _refuse(self, reason: str) -> None:
        self.is_oversized = True
        raise httputil.HTTPInputError(reason)

    def finish(self) -> None:
        self.is_complete = True
        self._on_complete()

    def on_connection_close(self) -> None:
        self.is_complete = False


class Connection:
    """An open connection.

    Args:
        stream: its stream.
        now: seconds on the node's clock.
        memory: account that is charged for response bodies.
    """

    def __init__(self, stream: NoDelayStream, now: float, memory: MemoryAccount) -> None:
        self._stream = stream
        self._memory = memory
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._is_unused = True
        self.idle_until = now + DEFAULT_IDLE_TIMEOUT_S

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and has no unread bytes."""
        return not self._stream.has_unread_bytes and self._stream.peek() is None

    @property
    def is_unused(self) -> bool:
        """Whether no request was sent on the connection yet."""
        return self._is_unused

    def set_idle_timeout(self, seconds: float | None) -> None:
        """Sets the idle timeout that the peer states, in seconds; None changes nothing."""
        if seconds is not None:
            self._idle_timeout_s = seconds * IDLE_TIMEOUT_FRACTION

    def start_idle(self, now: float) -> None:
        """Starts the idle timeout, at `now` on the node's clock."""
        self.idle_until = now + self._idle_timeout_s

    def close(self) -> None:
        """Closes the connection."""
        self._stream.close()

    async def exchange(
        self,
        method: str,
        path: str,
        headers: httputil.HTTPHeaders,
        body: bytes,
        matches_request: Callable[[int, httputil.HTTPHeaders], bool],
        limits: ResponseLimits = CALLER_RESPONSE_LIMITS,
    ) -> HttpResponse:
        """Sends a request and reads its response.

        Args:
            method: HTTP method.
            path: path and query.
            headers: all headers, including framing.
            body: body, which may be empty.
            matches_request: whether a response, by status and headers, belongs to the request. One
                that does not belongs to an earlier request and is skipped.
            limits: size limits of the response.

        Raises:
            ExchangeError: no complete response was read. The connection is closed.
        """
        if not self.is_usable:
            self.close()
            raise ExchangeError("the connection ended while it was idle", was_request_sent=False)
        self._is_unused = False
        http = http1connection.HTTP1Connection(self._stream, True, _params(limits))
        is_response_early = False

        def on_complete() -> None:
            nonlocal is_response_early
            is_response_early = self._stream.writing()

        reader = _ResponseReader(limits, on_complete, self._memory)
        try:
            start_line = httputil.RequestStartLine(method, path, "HTTP/1.1")
            http.write_headers(start_line, headers, body)
            http.finish()
            for _ in range(1 + MAX_STALE_RESPONSES):
                await http.read_response(reader)
                if not reader.is_complete or not self._is_body_complete(reader):
                    break
                response = reader.response
                if matches_request(response.status, response.headers):
                    # After an early response the rest of the request must not be sent, as the
                    # peer could parse it as another request.
                    if is_response_early or self._has_close_header(response):
                        self.close()
                    return response
                if self._stream.closed():
                    break
                reader = _ResponseReader(limits, on_complete, self._memory)
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError, OSError) as error:
            self.close()
            is_oversized = self._is_oversized(reader)
            raise ExchangeError(f"connection failed: {error}", True, is_oversized) from error
        except Exception as error:
            self.close()
            _log.exception("exchange failed unexpectedly")
            raise ExchangeError(f"unexpected error: {error!r}", True) from error
        except BaseException:
            self.close()
            raise
        self.close()
        raise ExchangeError(reader.fault, True, self._is_oversized(reader))

    def _is_oversized(self, reader: _ResponseReader) -> bool:
        """Whether the peer has exceeded the limit of the header block or the body."""
        return reader.is_oversized or isinstance(
            self._stream.error, iostream.UnsatisfiableReadError
        )

    def _is_body_complete(self, reader: _ResponseReader) -> bool:
        """Whether a body that is delimited by the connection's end did not end in a reset."""
        return reader.is_body_delimited or self._stream.error is None

    def _has_close_header(self, response: HttpResponse) -> bool:
        return "close" in response.headers.get("Connection", "").lower()


@functools.cache
def _params(limits: ResponseLimits) -> http1connection.HTTP1ConnectionParameters:
    # `_ResponseReader` limits the body, so that the reason of a failed exchange is known.
    return http1connection.HTTP1ConnectionParameters(
        chunk_size=READ_CHUNK_BYTES, max_header_size=limits.head, max_body_size=sys.maxsize
    )


async def connect(
    host: str, port: int, now: float, timeout: float, memory: MemoryAccount
) -> Connection:
    """Opens a connection.

    Args:
        host: IP address.
        port: TCP port.
        now: seconds on the node's clock.
        timeout: connect timeout in seconds.
        memory: account that is charged for response bodies.

    Raises:
        ExchangeError: the connection was not established; nothing was sent.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        stream = NoDelayStream(socket.socket(family), max_buffer_size=MAX_BUFFER_BYTES)
    except OSError as error:
        # No descriptor is left, or the VM lacks the address family.
        raise ExchangeError(f"no socket for {host}:{port}: {error}", False) from error
    try:
        await asyncio.wait_for(stream.connect((host, port)), timeout)
    except (iostream.StreamClosedError, TimeoutError, OSError) as error:
        stream.close()
        raise ExchangeError(f"cannot connect to {host}:{port}: {error}", False) from error
    except Exception as error:
        # An address that the socket library refuses must cost only its own target.
        stream.close()
        _log.exception("connect failed unexpectedly")
        raise ExchangeError(f"cannot connect to {host!a}:{port}: {error!r}", False) from error
    except BaseException:
        stream.close()
        raise
    stream.set_nodelay(True)
    return Connection(stream, now, memory)


class ConnectionPool:
    """Pool of idle connections by key; a key identifies one process at one address.

    Args:
        clock: seconds on the node's clock.
        on_open: called for each new connection.
        memory: account that is charged for response bodies.
    """

    def __init__(
        self, clock: Callable[[], float], on_open: Callable[[], None], memory: MemoryAccount
    ) -> None:
        self._clock = clock
        self._on_open = on_open
        self._memory = memory
        self._idle: dict[object, list[Connection]] = {}

    def has_idle(self, key: object) -> bool:
        """Whether the pool holds a connection for a key that has not expired."""
        now = self._clock()
        return any(connection.idle_until > now for connection in self._idle.get(key, ()))

    def pop_idle(self, key: object) -> Connection | None:
        """Removes and returns the most recently used connection, or None."""
        idle = self._idle.get(key, [])
        while idle:
            connection = idle.pop()
            if connection.idle_until > self._clock() and connection.is_usable:
                return connection
            connection.close()
        return None

    async def acquire(
        self, key: object, host: str, port: int, timeout: float = CONNECT_TIMEOUT_S
    ) -> Connection:
        """Returns an idle connection or opens a new one.

        Raises:
            ExchangeError: the connection was not established.
        """
        connection = self.pop_idle(key)
        if connection is not None:
            return connection
        return await self.open(host, port, timeout)

    async def open(self, host: str, port: int, timeout: float = CONNECT_TIMEOUT_S) -> Connection:
        """Opens a new connection, whether or not there is an idle one.

        Raises:
            ExchangeError: the connection was not established.
        """
        connection = await connect(host, port, self._clock(), timeout, self._memory)
        self._on_open()
        return connection

    def release(self, key: object, connection: Connection) -> None:
        """Returns a connection to the pool after a complete response, or closes it if unusable.

        Args:
            key: key under which it was acquired.
            connection: the connection.
        """
        if not connection.is_usable:
            connection.close()
            return
        connection.start_idle(self._clock())
        self._idle.setdefault(key, []).append(connection)

    def sweep(self, is_key_needed: Callable[[object], bool]) -> None:
        """Closes connections that have expired, that the peer closed, or whose key is obsolete.

        Args:
            is_key_needed: whether the connections of a key are still needed.
        """
        now = self._clock()
        for key, idle in list(self._idle.items()):
            for connection in list(idle):
                if is_key_needed(key) and connection.idle_until > now and connection.is_usable:
                    continue
                idle.remove(connection)
                connection.close()
            if not idle:
                del self._idle[key]


class HttpClient:
    """HTTP client for other nodes and the store, with pooled connections and without retries.

    Its responses are charged to a memory account of its own, so that bodies of callers' requests
    cannot keep a node from receiving the shared state.

    Args:
        clock: seconds on the node's clock.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._pool = ConnectionPool(clock, lambda: None, MemoryAccount(CONTROL_MEMORY_BYTES))

    async def call(
        self,
        host: str,
        port: int,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        content_type: str = "",
        timeout: float,
    ) -> HttpResponse:
        """Sends one request; `timeout` in seconds covers connecting and the complete response.

        Raises:
            ExchangeError: there was no complete response in time.
        """
        headers = httputil.HTTPHeaders({"Host": f"{host}:{port}"})
        if content_type:
            headers["Content-Type"] = content_type
        if body or method in ("POST", "PUT"):
            headers["Content-Length"] = str(len(body))
        key = (host, port)
        try:
            async with asyncio.timeout(timeout):
                connection = await self._pool.acquire(key, host, port)
                response = await connection.exchange(
                    method,
                    path,
                    headers,
                    body,
                    lambda status, _: status >= 200,
                    CONTROL_RESPONSE_LIMITS,
                )
        except TimeoutError as error:
            raise ExchangeError(f"no response in {timeout:.1f} s", was_request_sent=True) from error
        self._pool.release(key, connection)
        return response

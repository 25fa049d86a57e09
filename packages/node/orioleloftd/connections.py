"""HTTP/1.1 connections to targets, to other nodes and to the platform's store.

A connection carries one exchange at a time and nothing is ever sent twice. A connection on which
anything was left unread, cancelled or doubtful is closed and not used again.
"""

import asyncio
import dataclasses
import functools
import socket
import sys
from collections.abc import Callable

from tornado import http1connection, httputil, iostream

from orioleloft_core.memory import AnswerReservation, MemoryAccount
from orioleloftd.streams import NoDelayStream

# Answers that belong to earlier requests and may stand before the expected one.
MAX_STALE_RESPONSES = 2
# Time to establish a connection, in seconds; an answer of the target's kernel takes 2 ms, a lost
# packet is sent again after 1 s.
CONNECT_TIMEOUT_S = 0.5
# Idle time after which a connection is closed if the other side states none, in seconds.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Share of the stated idle time for which a connection is used; the other side may close at its end.
IDLE_TIMEOUT_SHARE = 0.8

# Bytes of an answer that are read from the socket at once.
READ_CHUNK_BYTES = 64 * 1024
# Bytes that were received and not taken by the parser; a header block and a chunk.
MAX_BUFFER_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True)
class ResponseLimits:
    """Largest answer that is read.

    Attributes:
        head: bytes of its header block.
        body: bytes of its body.
    """

    head: int
    body: int


# Answers for callers. They are held whole, so the smallest VM of the users (200 MB) bounds them.
CALLER_RESPONSE_LIMITS = ResponseLimits(head=64 * 1024, body=16 * 1024 * 1024)
# A target's statement of its state: a few headers and hardly a body.
PROBE_RESPONSE_LIMITS = ResponseLimits(head=16 * 1024, body=16 * 1024)
# Calls of the store and of other nodes: lists and values of the store end at 1 MB, and the state of
# a node holds such a value and a list of targets.
CONTROL_ANSWER = ResponseLimits(head=16 * 1024, body=4 * 1024 * 1024)
# Memory for answers to one client's calls, in bytes: an answer may take a quarter of what is free,
# and three lists of a megabyte are read at a time.
CONTROL_MEMORY_BYTES = 20 * 1024 * 1024


class ExchangeError(Exception):
    """An exchange ended without a whole answer.

    Attributes:
        was_sent: whether any byte of the request may have left.
        is_excessive: whether the other side sent more than an answer may hold, or bytes that are
            none.
    """

    def __init__(self, message: str, was_sent: bool, is_oversized: bool = False) -> None:
        super().__init__(message)
        self.was_sent = was_sent
        self.is_oversized = is_oversized


@dataclasses.dataclass(frozen=True)
class HttpResponse:
    """A whole answer.

    Attributes:
        status: HTTP status.
        headers: headers.
        body: whole body.
        reservation: memory of the body, to be kept as long as the body.
    """

    status: int
    headers: httputil.HTTPHeaders
    body: bytes
    reservation: AnswerReservation | None = None


class _ResponseReader(httputil.HTTPMessageDelegate):
    """Collects one answer.

    Args:
        bounds: largest answer.
        on_whole: called when the answer is whole.
        memory: account that its body counts against.
    """

    def __init__(
        self, limits: ResponseLimits, on_complete: Callable[[], None], memory: MemoryAccount
    ) -> None:
        self._limits = limits
        self._on_complete = on_complete
        self._reservation = AnswerReservation(memory)
        self._chunks: list[bytes] = []
        self._status = 0
        self._headers = httputil.HTTPHeaders()
        self.is_complete = False
        self.is_oversized = False

    @property
    def response(self) -> HttpResponse:
        return HttpResponse(self._status, self._headers, b"".join(self._chunks), self._reservation)

    @property
    def has_length(self) -> bool:
        """Whether the end of the body is told by the answer and not by the connection's end."""
        if self._status in (204, 304):
            return True
        return "Content-Length" in self._headers or "Transfer-Encoding" in self._headers

    def headers_received(self, start_line, headers) -> None:
        self._status = start_line.code
        self._headers = headers
        stated_length = headers.get("Content-Length", "")
        if (
            stated_length.isascii()
            and stated_length.isdigit()
            and int(stated_length) > self._limits.body
        ):
            self._refuse("The answer states a body over its bound.")

    def data_received(self, chunk: bytes) -> None:
        if self._reservation.size + len(chunk) > self._limits.body:
            self._refuse("The body of the answer is over its bound.")
        if not self._reservation.grow(len(chunk)):
            self._refuse("The answer takes more than its share of the memory.")
        self._chunks.append(chunk)

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
        stream: the connection.
        now: seconds on the node's clock.
        memory: account that the bodies of answers count against.
    """

    def __init__(self, stream: NoDelayStream, now: float, memory: MemoryAccount) -> None:
        self._stream = stream
        self._memory = memory
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.idle_until = now + DEFAULT_IDLE_TIMEOUT_S

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and nothing has arrived on it."""
        return not self._stream.has_unread and self._stream.peek() is None

    def set_idle_timeout(self, seconds: float | None) -> None:
        """Takes the idle time that the other side states, in seconds, or None if it states none."""
        if seconds is not None:
            self._idle_timeout_s = seconds * IDLE_TIMEOUT_SHARE

    def start_idle(self, now: float) -> None:
        """Starts the time for which the connection may stay idle."""
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
        """Sends a request and reads its answer.

        Args:
            method: HTTP method.
            path: path and query.
            headers: headers, complete.
            body: body, which may be empty.
            is_answer: whether status and headers of an answer fit the request. An answer that does
                not fit belongs to an earlier request and is skipped.
            bounds: largest answer that is read.

        Raises:
            ExchangeError: no whole answer was read. The connection is closed.
        """
        if not self.is_usable:
            self.close()
            raise ExchangeError("the connection ended while it was idle", was_sent=False)
        http = http1connection.HTTP1Connection(self._stream, True, _params(limits))
        is_early = False

        def on_complete() -> None:
            nonlocal is_early
            is_early = self._stream.writing()

        reader = _ResponseReader(limits, on_complete, self._memory)
        try:
            start_line = httputil.RequestStartLine(method, path, "HTTP/1.1")
            http.write_headers(start_line, headers, body)
            http.finish()
            for _ in range(1 + MAX_STALE_RESPONSES):
                await http.read_response(reader)
                if not reader.is_complete or not self._is_cleanly_ended(reader):
                    break
                response = reader.response
                if matches_request(response.status, response.headers):
                    # After an early answer the rest of the request must not be sent: the other
                    # side would take it for something else.
                    if is_early or self._must_close(response):
                        self.close()
                    return response
                if self._stream.closed():
                    break
                reader = _ResponseReader(limits, on_complete, self._memory)
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError, OSError) as error:
            self.close()
            is_oversized = self._is_oversized(reader)
            raise ExchangeError(f"connection failed: {error}", True, is_oversized) from error
        except BaseException:
            self.close()
            raise
        self.close()
        raise ExchangeError("no whole answer was read", True, self._is_oversized(reader))

    def _is_oversized(self, reader: _ResponseReader) -> bool:
        """Whether the other side has sent more than an answer may hold."""
        return reader.is_oversized or isinstance(
            self._stream.error, iostream.UnsatisfiableReadError
        )

    def _is_cleanly_ended(self, reader: _ResponseReader) -> bool:
        """Whether a body that ends with its connection was ended and not reset."""
        return reader.has_length or self._stream.error is None

    def _must_close(self, response: HttpResponse) -> bool:
        return "close" in response.headers.get("Connection", "").lower()


@functools.cache
def _params(limits: ResponseLimits) -> http1connection.HTTP1ConnectionParameters:
    # The reader of an answer bounds its body, so that it can tell why an exchange failed.
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
        timeout: longest time in seconds.
        memory: account that the bodies of answers count against.

    Raises:
        ExchangeError: the connection was not established; nothing was sent.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    stream = NoDelayStream(socket.socket(family), max_buffer_size=MAX_BUFFER_BYTES)
    try:
        await asyncio.wait_for(stream.connect((host, port)), timeout)
    except (iostream.StreamClosedError, TimeoutError, OSError) as error:
        stream.close()
        raise ExchangeError(f"cannot connect to {host}:{port}: {error}", False) from error
    except BaseException:
        stream.close()
        raise
    stream.set_nodelay(True)
    return Connection(stream, now, memory)


class ConnectionPool:
    """Idle connections by key; a key stands for one process at one address.

    Args:
        clock: seconds on the node's clock.
        on_open: called for each connection that is established.
        memory: account that the bodies of answers count against.
    """

    def __init__(
        self, clock: Callable[[], float], on_open: Callable[[], None], memory: MemoryAccount
    ) -> None:
        self._clock = clock
        self._on_open = on_open
        self._memory = memory
        self._idle: dict[object, list[Connection]] = {}

    def has_idle(self, key: object) -> bool:
        """Whether a connection that may still be used is idle."""
        now = self._clock()
        return any(connection.idle_until > now for connection in self._idle.get(key, ()))

    def pop_idle(self, key: object) -> Connection | None:
        """Returns the idle connection that was used last, or None."""
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
        """Returns an idle connection or opens one.

        Raises:
            ExchangeError: the connection was not established.
        """
        connection = self.pop_idle(key)
        if connection is not None:
            return connection
        connection = await connect(host, port, self._clock(), timeout, self._memory)
        self._on_open()
        return connection

    def release(self, key: object, connection: Connection) -> None:
        """Takes a connection back after a whole answer.

        Args:
            key: key under which it was acquired.
            connection: the connection.
        """
        if not connection.is_usable:
            connection.close()
            return
        connection.start_idle(self._clock())
        self._idle.setdefault(key, []).append(connection)

    def sweep(self, kept: Callable[[object], bool]) -> None:
        """Closes connections that are too old, that the other side closed, or that go.

        Args:
            kept: whether connections of a key may be kept.
        """
        now = self._clock()
        for key, idle in list(self._idle.items()):
            for connection in list(idle):
                if kept(key) and connection.idle_until > now and connection.is_usable:
                    continue
                idle.remove(connection)
                connection.close()
            if not idle:
                del self._idle[key]


class HttpClient:
    """Calls of nodes and the store by address, with kept connections; nothing is sent twice.

    Its answers count against an account of its own, so that bodies of callers' requests cannot keep
    a node from learning what is in force.

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
        """Makes one call.

        Raises:
            ExchangeError: there was no whole answer in time.
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
                    method, path, headers, body, lambda status, _: status >= 200, CONTROL_ANSWER
                )
        except TimeoutError as error:
            raise ExchangeError(f"no answer in {timeout:.1f} s", was_sent=True) from error
        self._pool.release(key, connection)
        return response

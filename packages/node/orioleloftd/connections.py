"""HTTP/1.1 connections to targets, to other nodes and to the platform's store.

A connection carries one exchange at a time and nothing is ever sent twice. A connection on which
anything was left unread, cancelled or doubtful is closed and not used again.
"""

import asyncio
import dataclasses
import socket
from collections.abc import Callable

from tornado import http1connection, httputil, iostream

from orioleloftd.streams import TargetStream

# Answers that belong to earlier requests and may stand before the expected one.
MAX_STALE_ANSWERS = 2
# Largest header block and body of an answer, in bytes.
MAX_ANSWER_HEADER_BYTES = 64 * 1024
MAX_ANSWER_BODY_BYTES = 64 * 1024 * 1024
# Time to establish a connection, in seconds; an answer of the target's kernel takes 2 ms, a lost
# packet is sent again after 1 s.
CONNECT_TIMEOUT_S = 0.5
# Idle time after which a connection is closed if the other side states none, in seconds.
DEFAULT_IDLE_S = 4.0
# Share of the stated idle time for which a connection is used; the other side may close at its end.
IDLE_SHARE = 0.8

_PARAMS = http1connection.HTTP1ConnectionParameters(
    max_header_size=MAX_ANSWER_HEADER_BYTES, max_body_size=MAX_ANSWER_BODY_BYTES
)


class ExchangeError(Exception):
    """An exchange ended without a whole answer.

    Attributes:
        was_sent: whether any byte of the request may have left.
    """

    def __init__(self, message: str, was_sent: bool) -> None:
        super().__init__(message)
        self.was_sent = was_sent


@dataclasses.dataclass(frozen=True)
class HttpAnswer:
    """A whole answer."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


class _AnswerReader(httputil.HTTPMessageDelegate):
    """Collects one answer."""

    def __init__(self, on_whole: Callable[[], None]) -> None:
        self._on_whole = on_whole
        self._chunks: list[bytes] = []
        self._status = 0
        self._headers = httputil.HTTPHeaders()
        self.is_whole = False

    @property
    def answer(self) -> HttpAnswer:
        return HttpAnswer(self._status, self._headers, b"".join(self._chunks))

    @property
    def has_length(self) -> bool:
        """Whether the end of the body is told by the answer and not by the connection's end."""
        if self._status in (204, 304):
            return True
        return "Content-Length" in self._headers or "Transfer-Encoding" in self._headers

    def headers_received(self, start_line, headers) -> None:
        self._status = start_line.code
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        self._chunks.append(chunk)

    def finish(self) -> None:
        self.is_whole = True
        self._on_whole()

    def on_connection_close(self) -> None:
        self.is_whole = False


class Connection:
    """An open connection."""

    def __init__(self, stream: TargetStream, now: float) -> None:
        self._stream = stream
        self._idle_s = DEFAULT_IDLE_S
        self.idle_until = now + DEFAULT_IDLE_S

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and nothing has arrived on it."""
        return not self._stream.has_unread and self._stream.peek() is None

    def on_idle_timeout(self, seconds: float | None) -> None:
        """Takes the idle time that the other side states, in seconds, or None if it states none."""
        if seconds is not None:
            self._idle_s = seconds * IDLE_SHARE

    def on_idle(self, now: float) -> None:
        """Starts the time for which the connection may stay idle."""
        self.idle_until = now + self._idle_s

    def close(self) -> None:
        """Closes the connection."""
        self._stream.close()

    async def exchange(
        self,
        method: str,
        path: str,
        headers: httputil.HTTPHeaders,
        body: bytes,
        is_answer: Callable[[int, httputil.HTTPHeaders], bool],
    ) -> HttpAnswer:
        """Sends a request and reads its answer.

        Args:
            method: HTTP method.
            path: path and query.
            headers: headers, complete.
            body: body, which may be empty.
            is_answer: whether status and headers of an answer fit the request. An answer that does
                not fit belongs to an earlier request and is skipped.

        Raises:
            ExchangeError: no whole answer was read. The connection is closed.
        """
        if not self.is_usable:
            self.close()
            raise ExchangeError("the connection ended while it was idle", was_sent=False)
        http = http1connection.HTTP1Connection(self._stream, True, _PARAMS)
        is_early = False

        def on_whole() -> None:
            nonlocal is_early
            is_early = self._stream.writing()

        try:
            start_line = httputil.RequestStartLine(method, path, "HTTP/1.1")
            http.write_headers(start_line, headers, body)
            http.finish()
            for _ in range(1 + MAX_STALE_ANSWERS):
                reader = _AnswerReader(on_whole)
                await http.read_response(reader)
                if not reader.is_whole or not self._ended_well(reader):
                    break
                answer = reader.answer
                if is_answer(answer.status, answer.headers):
                    # After an early answer the rest of the request must not be sent: the other
                    # side would take it for something else.
                    if is_early or self._must_close(answer):
                        self.close()
                    return answer
                if self._stream.closed():
                    break
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError, OSError) as error:
            self.close()
            raise ExchangeError(f"connection failed: {error}", was_sent=True) from error
        except BaseException:
            self.close()
            raise
        self.close()
        raise ExchangeError("no whole answer to the request was read", was_sent=True)

    def _ended_well(self, reader: _AnswerReader) -> bool:
        """Whether a body that ends with its connection was ended and not reset."""
        return reader.has_length or self._stream.error is None

    def _must_close(self, answer: HttpAnswer) -> bool:
        return "close" in answer.headers.get("Connection", "").lower()


async def connect(host: str, port: int, now: float, timeout: float) -> Connection:
    """Opens a connection.

    Args:
        host: IP address.
        port: TCP port.
        now: seconds on the node's clock.
        timeout: longest time in seconds.

    Raises:
        ExchangeError: the connection was not established; nothing was sent.
    """
    stream = TargetStream(socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET))
    try:
        await asyncio.wait_for(stream.connect((host, port)), timeout)
    except (iostream.StreamClosedError, TimeoutError, OSError) as error:
        stream.close()
        raise ExchangeError(f"cannot connect to {host}:{port}: {error}", False) from error
    except BaseException:
        stream.close()
        raise
    stream.set_nodelay(True)
    return Connection(stream, now)


class ConnectionPool:
    """Idle connections by key; a key stands for one process at one address.

    Args:
        clock: seconds on the node's clock.
        on_open: called for each connection that is established.
    """

    def __init__(self, clock: Callable[[], float], on_open: Callable[[], None]) -> None:
        self._clock = clock
        self._on_open = on_open
        self._idle: dict[object, list[Connection]] = {}

    def has_idle(self, key: object) -> bool:
        """Whether a connection that may still be used is idle."""
        now = self._clock()
        return any(connection.idle_until > now for connection in self._idle.get(key, ()))

    def take(self, key: object) -> Connection | None:
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
        connection = self.take(key)
        if connection is not None:
            return connection
        connection = await connect(host, port, self._clock(), timeout)
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
        connection.on_idle(self._clock())
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
    """Calls by address, with kept connections; nothing is sent twice.

    Args:
        clock: seconds on the node's clock.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._pool = ConnectionPool(clock, lambda: None)

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
    ) -> HttpAnswer:
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
                answer = await connection.exchange(
                    method, path, headers, body, lambda status, _: status >= 200
                )
        except TimeoutError as error:
            raise ExchangeError(f"no answer in {timeout:.1f} s", was_sent=True) from error
        self._pool.release(key, connection)
        return answer

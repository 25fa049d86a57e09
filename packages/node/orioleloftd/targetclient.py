"""Connections to targets: a pool for each target, and one exchange at a time on a connection.

The client resends nothing. Each dispatch ends with exactly one `DispatchResult`.
"""

import asyncio
import dataclasses
import logging
import socket
from collections.abc import Callable

from tornado import http1connection, httputil, iostream

from orioleloft_core.catalog import Target
from orioleloft_core.effects import Dispatch
from orioleloft_core.request import DispatchResult, Ending, LoadReport, Request
from orioleloftd import targetprotocol
from orioleloftd.streams import TargetStream

IDLE_SECONDS = 60.0
CONNECT_SECONDS = 1.0
PROBE_SECONDS = 1.0

_log = logging.getLogger(__name__)


class _Connection:
    """An open connection to a target."""

    def __init__(self, stream: TargetStream) -> None:
        self.stream = stream
        self.has_answered = False
        self.idle_since = 0.0

    def is_quiet(self) -> bool:
        """Whether the connection is open and nothing has arrived on it."""
        return not self.stream.has_unread and self.stream.peek() is None

    def is_proof(self) -> bool:
        """Whether the connection shows that the process that answered earlier still runs."""
        return self.has_answered and self.stream.peek() != b""


class _Pool:
    """Connections to one target."""

    def __init__(self) -> None:
        self.idle: list[_Connection] = []
        self.all: set[_Connection] = set()
        self.opening = 0

    @property
    def size(self) -> int:
        return len(self.all) + self.opening

    def take(self) -> _Connection | None:
        """Returns the idle connection that was used last, or None."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_quiet():
                return connection
            self.drop(connection)
        return None

    def drop(self, connection: _Connection) -> None:
        """Closes a connection and forgets it."""
        connection.stream.close()
        self.all.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def has_proof(self) -> bool:
        return any(connection.is_proof() for connection in self.all)


class _AnswerReader(httputil.HTTPMessageDelegate):
    """Collects one answer; `is_whole` is set when its end was read."""

    def __init__(self, is_head: bool, on_whole: Callable[[], None]) -> None:
        self._is_head = is_head
        self._on_whole = on_whole
        self._chunks: list[bytes] = []
        self.start_line: httputil.ResponseStartLine | None = None
        self.headers = httputil.HTTPHeaders()
        self.is_whole = False

    @property
    def body(self) -> bytes:
        return b"".join(self._chunks)

    def headers_received(self, start_line, headers) -> None:
        self.start_line = start_line
        self.headers = headers
        if start_line.code < 200 or self._is_head:
            return
        if not targetprotocol.has_length(start_line.code, headers):
            raise httputil.HTTPInputError("answer without length")

    def data_received(self, chunk: bytes) -> None:
        self._chunks.append(chunk)

    def finish(self) -> None:
        self.is_whole = True
        self._on_whole()

    def on_connection_close(self) -> None:
        self.is_whole = False


@dataclasses.dataclass(eq=False)
class _Exchange:
    """A dispatch that has not ended."""

    dispatch: Dispatch
    target: Target
    limit: int
    on_finished: Callable[[DispatchResult], None]
    is_probe: bool = False
    connection: _Connection | None = None
    timer: asyncio.TimerHandle | None = None
    task: asyncio.Task | None = None
    first_byte_at: float | None = None
    reused: bool = False


class TargetClient:
    """Sends dispatches to targets.

    Args:
        clock: seconds on the node's clock; deadlines of requests count on it.
        may_start: asked with the dispatch id right before the first byte.
        max_header_bytes: largest header block of an answer.
        max_body_bytes: largest body of an answer.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        may_start: Callable[[str], bool],
        max_header_bytes: int,
        max_body_bytes: int,
    ) -> None:
        self._clock = clock
        self._may_start = may_start
        self._pools: dict[tuple[str, int], _Pool] = {}
        self._exchanges: dict[str, _Exchange] = {}
        self._params = http1connection.HTTP1ConnectionParameters(
            max_header_size=max_header_bytes, max_body_size=max_body_bytes
        )

    @property
    def running(self) -> int:
        """Number of dispatches that have not ended."""
        return len(self._exchanges)

    def idle_connections(self, target: Target) -> int:
        """Returns the number of pooled connections to a target."""
        pool = self._pools.get((target.host, target.port))
        return len(pool.idle) if pool else 0

    def send(
        self,
        dispatch: Dispatch,
        target: Target,
        limit: int,
        on_finished: Callable[[DispatchResult], None],
    ) -> None:
        """Starts a dispatch.

        Args:
            dispatch: what to send.
            target: where to send it.
            limit: largest number of connections to the target.
            on_finished: called exactly once with the result, never from within this call.
        """
        self._start(_Exchange(dispatch, target, limit, on_finished))

    def _start(self, exchange: _Exchange) -> None:
        dispatch = exchange.dispatch
        self._exchanges[dispatch.dispatch_id] = exchange
        loop = asyncio.get_running_loop()
        left = dispatch.request.deadline - self._clock()
        exchange.timer = loop.call_later(max(0.0, left), self._time_out, exchange)
        exchange.task = loop.create_task(self._run(exchange))

    def cancel(self, dispatch_id: str) -> None:
        """Closes the connection of a dispatch, which ends as `CANCELLED`."""
        exchange = self._exchanges.get(dispatch_id)
        if exchange is not None:
            self._abort(exchange, Ending.CANCELLED)

    def close(self) -> None:
        """Cancels all dispatches and closes all connections."""
        for dispatch_id in list(self._exchanges):
            self.cancel(dispatch_id)
        for pool in self._pools.values():
            for connection in list(pool.all):
                pool.drop(connection)
        self._pools.clear()

    def sweep(self) -> None:
        """Closes connections that were idle for `IDLE_SECONDS` or that the target has closed."""
        oldest = self._clock() - IDLE_SECONDS
        for address, pool in list(self._pools.items()):
            for connection in list(pool.idle):
                if connection.idle_since < oldest or not connection.is_quiet():
                    pool.drop(connection)
            if pool.size == 0:
                del self._pools[address]

    async def probe(self, target: Target, limit: int) -> LoadReport | None:
        """Asks a target for its load report; returns None if it gives none in time."""
        future = asyncio.get_running_loop().create_future()
        deadline = self._clock() + PROBE_SECONDS
        request = Request("probe", target.service, "", "GET", targetprotocol.LOAD_PATH, deadline)
        dispatch = Dispatch(f"probe {target.id} {id(future)}", target.id, request)
        self._start(_Exchange(dispatch, target, limit, future.set_result, is_probe=True))
        result = await future
        return result.report

    async def _run(self, exchange: _Exchange) -> None:
        pool = self._pools.setdefault((exchange.target.host, exchange.target.port), _Pool())
        try:
            connection = pool.take() or await self._open(exchange, pool)
            if connection is None:
                self._finish(exchange, DispatchResult(Ending.NOT_SENT))
                return
            exchange.connection = connection
            exchange.reused = connection.has_answered
            if not self._may_write(exchange, pool):
                self._give_back(pool, connection)
                self._finish(exchange, DispatchResult(Ending.NOT_SENT))
                return
            self._finish(exchange, await self._exchange(exchange, connection, pool))
        except Exception:
            _log.exception("dispatch failed")
            self._abort(exchange, Ending.BROKEN)

    def _may_write(self, exchange: _Exchange, pool: _Pool) -> bool:
        """Makes the checks that must hold at the first byte."""
        if exchange.dispatch.needs_live_connection and not pool.has_proof():
            return False
        if self._clock() >= exchange.dispatch.request.deadline:
            return False
        return exchange.is_probe or self._may_start(exchange.dispatch.dispatch_id)

    async def _open(self, exchange: _Exchange, pool: _Pool) -> _Connection | None:
        if pool.size >= exchange.limit:
            return None
        if exchange.dispatch.needs_live_connection and not pool.has_proof():
            return None
        pool.opening += 1
        family = socket.AF_INET6 if ":" in exchange.target.host else socket.AF_INET
        stream = TargetStream(socket.socket(family))
        left = exchange.dispatch.request.deadline - self._clock()
        try:
            address = (exchange.target.host, exchange.target.port)
            await asyncio.wait_for(stream.connect(address), min(CONNECT_SECONDS, left))
        except (iostream.StreamClosedError, TimeoutError, OSError):
            stream.close()
            return None
        except asyncio.CancelledError:
            stream.close()
            raise
        finally:
            pool.opening -= 1
        connection = _Connection(stream)
        pool.all.add(connection)
        return connection

    async def _exchange(
        self, exchange: _Exchange, connection: _Connection, pool: _Pool
    ) -> DispatchResult:
        request = exchange.dispatch.request
        http = http1connection.HTTP1Connection(connection.stream, True, self._params)
        is_cut = False

        def on_whole() -> None:
            # An answer can end before the request was written; the rest is not sent then.
            nonlocal is_cut
            is_cut = connection.stream.writing()
            if is_cut:
                http.close()

        reader = _AnswerReader(request.method == "HEAD", on_whole)
        self._write(exchange, http)
        try:
            await http.read_response(reader)
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError):
            reader.is_whole = False
        if not reader.is_whole or reader.start_line is None:
            pool.drop(connection)
            return DispatchResult(Ending.BROKEN, reused=exchange.reused)
        now = self._clock()
        if now >= request.deadline:
            pool.drop(connection)
            return DispatchResult(Ending.TIMED_OUT, reused=exchange.reused)
        # A probe's answer proves nothing: the process that gave it was never judged warm.
        connection.has_answered |= not exchange.is_probe
        if is_cut or targetprotocol.closes(reader.start_line.version, reader.headers):
            pool.drop(connection)
        else:
            self._give_back(pool, connection)
        return self._result(exchange, reader, now)

    def _write(self, exchange: _Exchange, http: http1connection.HTTP1Connection) -> None:
        request = exchange.dispatch.request
        exchange.first_byte_at = self._clock()
        left_ms = int((request.deadline - exchange.first_byte_at) * 1000)
        host = f"{exchange.target.host}:{exchange.target.port}"
        headers = targetprotocol.to_target(request, host, left_ms)
        start_line = httputil.RequestStartLine(request.method, request.path, "HTTP/1.1")
        http.write_headers(start_line, headers, request.body)
        http.finish()

    def _result(self, exchange: _Exchange, reader: _AnswerReader, now: float) -> DispatchResult:
        status = reader.start_line.code
        is_bodiless = exchange.dispatch.request.method == "HEAD" or status == 304
        is_shed = targetprotocol.is_shed(status, reader.headers)
        return DispatchResult(
            ending=Ending.SHED if is_shed else Ending.ANSWERED,
            status=status,
            headers=targetprotocol.answer_headers(reader.headers, is_bodiless),
            body=reader.body,
            report=targetprotocol.read_report(reader.headers),
            service_ms=(now - exchange.first_byte_at) * 1000,
            reused=exchange.reused,
        )

    def _give_back(self, pool: _Pool, connection: _Connection) -> None:
        """Pools a connection after a whole answer, unless something else has arrived on it."""
        if not connection.is_quiet():
            pool.drop(connection)
            return
        connection.idle_since = self._clock()
        pool.idle.append(connection)

    def _time_out(self, exchange: _Exchange) -> None:
        was_sent = exchange.first_byte_at is not None
        self._abort(exchange, Ending.TIMED_OUT if was_sent else Ending.NOT_SENT)

    def _abort(self, exchange: _Exchange, ending: Ending) -> None:
        """Ends a dispatch and closes its connection, so that a late answer reaches nobody."""
        result = DispatchResult(ending, reused=exchange.reused)
        if not self._finish(exchange, result):
            return
        if exchange.task is not None and exchange.task is not asyncio.current_task():
            exchange.task.cancel()
        pool = self._pools.get((exchange.target.host, exchange.target.port))
        if exchange.connection is not None and pool is not None:
            pool.drop(exchange.connection)

    def _finish(self, exchange: _Exchange, result: DispatchResult) -> bool:
        if self._exchanges.pop(exchange.dispatch.dispatch_id, None) is None:
            return False
        if exchange.timer is not None:
            exchange.timer.cancel()
        exchange.on_finished(result)
        return True

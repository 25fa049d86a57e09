"""Serves the requests of one caller's connection and writes their answers in order."""

import asyncio
import dataclasses
import logging
from collections.abc import Callable

from tornado import http1connection, httputil

from orioleloft_core.errors import KINDS
from orioleloft_core.pipelining import Pipeline, Place
from orioleloftd.gateway import Gateway
from orioleloftd.jobs import EntryReply, EntryRequest
from orioleloftd.logs import log_event
from orioleloftd.streams import CallerStream, encode_response, error_body

# Callers use a connection up to the end of the idle time; the margin keeps the server from closing
# a connection on which a request is on its way. Seconds.
IDLE_MARGIN_S = 2.0

_log = logging.getLogger(__name__)


@dataclasses.dataclass(eq=False)
class PendingRequest:
    """One request that was read whole.

    Attributes:
        request: the request.
        connection: tornado's view of it, which is told when the next one may be read.
        reserved: bytes of memory that it holds.
        wants_close: whether the caller closes the connection after the answer.
        place: its place among those of the connection.
        task: its work, once it has started.
        reads_on: whether the next request is read beside it.
    """

    request: EntryRequest
    connection: http1connection.HTTP1Connection
    reserved_bytes: int
    wants_close: bool
    place: Place | None = None
    task: asyncio.Task | None = None
    has_read_ahead: bool = False


class CallerPipeline:
    """The requests of one connection between their arrival and their answers.

    Args:
        gateway: serves the requests.
        stream: the connection.
        count: called with 1 and -1 as the number of open requests changes.
    """

    def __init__(
        self, gateway: Gateway, stream: CallerStream, count_open_requests: Callable[[int], None]
    ) -> None:
        self._gateway = gateway
        self._stream = stream
        self._count_open_requests = count_open_requests
        self._pipeline = Pipeline()
        self._pending: dict[Place, PendingRequest] = {}
        self._idle_timer: asyncio.TimerHandle | None = None
        self._is_receiving = False
        stream.has_pending_responses = lambda: len(self._pipeline) > 0

    # The next request.

    def on_waiting_for_request(self) -> None:
        """Takes that the next request is waited for."""
        self._is_receiving = False
        if not self._pipeline:
            self._start_idle_timer()

    def on_request_started(self) -> None:
        """Takes that the first byte of the next request has arrived."""
        self._is_receiving = True
        self._stop_idle_timer()

    def _start_idle_timer(self) -> None:
        self._stop_idle_timer()
        seconds = self._gateway.limits().idle_timeout + IDLE_MARGIN_S
        self._idle_timer = asyncio.get_running_loop().call_later(seconds, self._stream.close)

    def _stop_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def add(self, pending: PendingRequest) -> None:
        """Takes a request; it starts at once or after those before it."""
        request = pending.request
        is_idempotent = self._gateway.is_idempotent(request)
        pending.place = self._pipeline.join(is_idempotent, len(request.body))
        self._pending[pending.place] = pending
        self._is_receiving = False
        self._count_open_requests(1)
        if self._pipeline.may_start(pending.place):
            self._start(pending)
        stays_open = not pending.wants_close and not self._gateway.closes_connections()
        if stays_open and self._pipeline.may_read_on():
            pending.has_read_ahead = True
            # Tornado reads the next request once it is told that this one is finished.
            pending.connection.finish()
            return
        pending.connection.set_close_callback(self.cancel)

    def _start(self, pending: PendingRequest) -> None:
        loop = asyncio.get_running_loop()
        pending.task = loop.create_task(self._gateway.serve(pending.request))
        pending.task.add_done_callback(lambda task: self._on_reply(pending, task))

    # Ends.

    def on_read_closed(self) -> None:
        """Takes that nothing more will be read: the connection is closed, or a refusal waits."""
        self._stop_idle_timer()
        if self._stream.has_deferred_refusal:
            self._stream.set_close_callback(self.cancel)
            return
        self.cancel()

    def cancel(self) -> None:
        """Drops all requests, as the caller has left."""
        self._stop_idle_timer()
        for pending in list(self._pending.values()):
            if pending.task is None:
                self._discard(pending)
            else:
                pending.task.cancel()

    def _discard(self, pending: PendingRequest) -> None:
        if self._pending.pop(pending.place, None) is None:
            return
        self._count_open_requests(-1)
        self._gateway.release_memory(pending.reserved_bytes)
        log_event(_log, "caller left", request=pending.request.id)

    # Answers.

    def _on_reply(self, pending: PendingRequest, task: asyncio.Task) -> None:
        if task.cancelled() or self._stream.closed():
            self._discard(pending)
            return
        if task.exception() is not None:
            _log.error("request failed", exc_info=task.exception())
            self._discard(pending)
            self._stream.abort()
            self.cancel()
            return
        self._pipeline.answer(pending.place, (pending, task.result()))
        self._write_completed()

    def _write_completed(self) -> None:
        """Writes the answers whose turn it is, and starts a request that has waited for them."""
        while not self._stream.closed():
            completed = self._pipeline.next_answer()
            if completed is None:
                break
            self._write(*completed)
        head = self._pipeline.head
        if head is not None and self._pending[head].task is None:
            self._start(self._pending[head])
        if head is None and self._stream.has_deferred_refusal:
            self._stream.write_deferred_refusal()

    def _write(self, pending: PendingRequest, reply: EntryReply) -> None:
        del self._pending[pending.place]
        self._count_open_requests(-1)
        self._gateway.release_memory(pending.reserved_bytes)
        should_close = pending.wants_close or self._should_close()
        write_future = self._stream.write(build_response(pending.request, reply, should_close))
        if should_close:
            pending.connection.set_close_callback(None)
            write_future.add_done_callback(self._close_after_write)
            return
        # The memory of an answer that the caller does not read is held until the caller leaves.
        write_future.add_done_callback(lambda future: _consume_result(future, reply))
        if not pending.has_read_ahead:
            pending.connection.finish()
        elif not self._pipeline and not self._is_receiving:
            self._start_idle_timer()

    def _should_close(self) -> bool:
        """Whether the connection is to be closed after the answer that is written now.

        What was read behind that answer may be at a target already, so it is answered first. What
        was not read is sent again by its caller.
        """
        is_last = not self._pipeline and not self._is_receiving
        return (
            is_last and not self._stream.has_deferred_refusal and self._gateway.closes_connections()
        )

    def _close_after_write(self, write_future: asyncio.Future) -> None:
        _consume_result(write_future)
        self._stream.close_gracefully()


def _consume_result(write_future: asyncio.Future, retained: object = None) -> None:
    """Reads the outcome of a write, so that asyncio does not report it as never retrieved.

    Args:
        written: the write.
        held: what has to be kept until then.
    """
    if not write_future.cancelled():
        write_future.exception()


def build_response(request: EntryRequest, reply: EntryReply, should_close: bool) -> bytes:
    """Returns the bytes of an answer.

    Args:
        request: the request.
        reply: its reply.
        closes: whether the connection is closed after it.
    """
    headers = httputil.HTTPHeaders()
    for name, value in reply.headers.get_all():
        headers.add(name, value)
    body = reply.body
    if reply.code is not None:
        headers["Content-Type"] = "application/json"
        body = error_body(reply.code, reply.message, KINDS[reply.code].outcome)
    if should_close:
        headers["Connection"] = "close"
    if request.method == "HEAD" or reply.status in (204, 304):
        body = b""
    else:
        headers["Content-Length"] = str(len(body))
    return encode_response(reply.status, headers, body)

"""Pipelining: runs the requests of one caller's connection and writes the responses in order."""

import asyncio
import dataclasses
import logging
from collections.abc import Callable

from tornado import http1connection, httputil

from orioleloft_core.errors import ERROR_RESPONSES
from orioleloft_core.pipelining import Pipeline, PipelinedRequest
from orioleloft_core.routes import CallerLimits
from orioleloftd.closewatch import CloseWatcher, Watch
from orioleloftd.gateway import Gateway
from orioleloftd.limittimer import LimitTimer
from orioleloftd.logs import log_event
from orioleloftd.requestcontext import CallerReply, CallerRequest
from orioleloftd.streams import CallerStream, encode_response, error_body

# Added to the idle timeout that callers know, in seconds. Callers use a connection up to the end of
# the timeout; the margin keeps the server from closing it while a request is in transit.
IDLE_TIMEOUT_MARGIN_S = 2.0

_log = logging.getLogger(__name__)


@dataclasses.dataclass(eq=False)
class PendingRequest:
    """A complete request without a written response.

    Attributes:
        request: the request.
        connection: tornado's connection, whose `finish` lets it read the next request.
        reserved_bytes: memory reserved for the body.
        is_close_requested: whether the caller asked to close the connection after the response.
        pipelined: its entry in the pipeline of the connection, once it has been added.
        task: the task that serves it, once started.
        has_read_ahead: whether the next request is read before this one is answered.
    """

    request: CallerRequest
    connection: http1connection.HTTP1Connection
    reserved_bytes: int
    is_close_requested: bool
    pipelined: PipelinedRequest | None = None
    task: asyncio.Task | None = None
    has_read_ahead: bool = False


class CallerPipeline:
    """Requests of one connection from their arrival to their written responses.

    Args:
        gateway: serves the requests.
        stream: the connection.
        close_watcher: notices that the caller closes the connection while it is not read.
        adjust_open_requests: called with 1 or -1 when the number of open requests changes.
    """

    def __init__(
        self,
        gateway: Gateway,
        stream: CallerStream,
        close_watcher: CloseWatcher,
        adjust_open_requests: Callable[[int], None],
    ) -> None:
        self._gateway = gateway
        self._stream = stream
        self._close_watcher = close_watcher
        self._watch: Watch | None = None
        self._adjust_open_requests = adjust_open_requests
        self._pipeline = Pipeline()
        self._pending: dict[PipelinedRequest, PendingRequest] = {}
        self._idle_timer = LimitTimer(stream.close)
        self._is_receiving_request = False
        stream.has_pending_responses = lambda: len(self._pipeline) > 0
        stream.on_refusal_deferred = self._watch_for_close

    # Reading.

    def on_waiting_for_request(self) -> None:
        """Starts the idle timeout if no request is pending; called before the next one is read."""
        self._is_receiving_request = False
        if not self._pipeline:
            self._start_idle_timer()

    def on_request_started(self) -> None:
        """Stops the idle timeout; called at the first byte of the next request."""
        self._is_receiving_request = True
        self._idle_timer.stop()

    def _start_idle_timer(self) -> None:
        self._idle_timer.start(self._gateway.limits().idle_timeout + IDLE_TIMEOUT_MARGIN_S)

    def apply_limits(self, limits: CallerLimits) -> None:
        """Applies changed limits to the time for which the connection has been idle."""
        self._idle_timer.extend(limits.idle_timeout + IDLE_TIMEOUT_MARGIN_S)

    def add(self, pending: PendingRequest) -> None:
        """Adds a complete request, which starts at once or after earlier ones are answered."""
        request = pending.request
        if self._stream.closed():
            # What was received before the end is still parsed.
            self._gateway.release_memory(pending.reserved_bytes)
            log_event(_log, "caller left", request=request.id)
            return
        is_idempotent = self._gateway.is_idempotent(request)
        pending.pipelined = self._pipeline.enqueue(is_idempotent, len(request.body))
        self._pending[pending.pipelined] = pending
        self._is_receiving_request = False
        self._adjust_open_requests(1)
        if self._pipeline.may_start(pending.pipelined):
            self._start(pending)
        is_kept_alive = not pending.is_close_requested and not self._gateway.is_draining()
        if is_kept_alive and self._pipeline.may_read_next():
            pending.has_read_ahead = True
            # Tornado reads the next request once this one is marked as finished.
            pending.connection.finish()
            return
        pending.connection.set_close_callback(self.cancel)
        self._watch_for_close()

    def _watch_for_close(self) -> None:
        """Notices that the caller leaves while nothing is read, as requests may lie unread."""
        self._end_watch()
        if self._stream.closed():
            return
        self._watch = self._close_watcher.watch(
            self._stream.socket, self._stream.on_closed_by_caller
        )

    def _end_watch(self) -> None:
        self._close_watcher.end(self._watch)
        self._watch = None

    def _start(self, pending: PendingRequest) -> None:
        loop = asyncio.get_running_loop()
        pending.task = loop.create_task(self._gateway.serve(pending.request))
        pending.task.add_done_callback(lambda task: self._on_reply(pending, task))

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is pending or has begun to arrive."""
        if not self._pipeline and not self._is_receiving_request:
            self._stream.close_idle()

    # Cancellation.

    def on_read_closed(self) -> None:
        """Cancels all requests, unless a deferred refusal waits for their responses.

        Called when the connection is closed or reading has ended in a refusal.
        """
        self._idle_timer.stop()
        if self._stream.has_deferred_refusal and not self._stream.closed():
            self._stream.set_close_callback(self.cancel)
            return
        self.cancel()

    def cancel(self) -> None:
        """Cancels all requests, because the caller has closed the connection."""
        self._idle_timer.stop()
        self._end_watch()
        for pending in list(self._pending.values()):
            if pending.task is None:
                self._discard(pending)
            else:
                pending.task.cancel()

    def _discard(self, pending: PendingRequest) -> None:
        if self._pending.pop(pending.pipelined, None) is None:
            return
        self._adjust_open_requests(-1)
        self._gateway.release_memory(pending.reserved_bytes)
        log_event(_log, "caller left", request=pending.request.id)

    # Responses.

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
        self._pipeline.answer(pending.pipelined, (pending, task.result()))
        self._write_completed()

    def _write_completed(self) -> None:
        """Writes the completed responses at the head of the pipeline, then starts the new head.

        A deferred refusal is written once the pipeline is empty.
        """
        while not self._stream.closed():
            completed = self._pipeline.pop_answer()
            if completed is None:
                break
            self._write(*completed)
        head = self._pipeline.head
        if head is not None and self._pending[head].task is None:
            self._start(self._pending[head])
        if head is None and self._stream.has_deferred_refusal:
            self._end_watch()
            self._stream.write_deferred_refusal()

    def _write(self, pending: PendingRequest, reply: CallerReply) -> None:
        del self._pending[pending.pipelined]
        if not pending.has_read_ahead:
            self._end_watch()
        self._adjust_open_requests(-1)
        self._gateway.release_memory(pending.reserved_bytes)
        should_close = pending.is_close_requested or self._should_close()
        write_future = self._stream.write(build_response(pending.request, reply, should_close))
        if should_close:
            pending.connection.set_close_callback(None)
            write_future.add_done_callback(self._close_after_write)
            return
        # The reply, and with it its memory reservation, is retained until the caller has read it or
        # left.
        write_future.add_done_callback(lambda future: _consume_result(future, reply))
        if not pending.has_read_ahead:
            pending.connection.finish()
        elif not self._pipeline and not self._is_receiving_request:
            self._start_idle_timer()

    def _should_close(self) -> bool:
        """Whether a draining node closes the connection after the current response.

        Requests that were read behind it may have reached a target already and are answered first.
        Requests that were not read are sent again by the caller.
        """
        is_last = not self._pipeline and not self._is_receiving_request
        return is_last and not self._stream.has_deferred_refusal and self._gateway.is_draining()

    def _close_after_write(self, write_future: asyncio.Future) -> None:
        _consume_result(write_future)
        self._stream.close_gracefully()


def _consume_result(write_future: asyncio.Future, retained: object = None) -> None:
    """Retrieves the result of a write, so that asyncio does not log an unretrieved exception.

    Args:
        write_future: the finished write.
        retained: object that the callback keeps alive until then.
    """
    if not write_future.cancelled():
        write_future.exception()


def build_response(request: CallerRequest, reply: CallerReply, should_close: bool) -> bytes:
    """Encodes a reply as an HTTP response.

    Args:
        request: the request.
        reply: its reply.
        should_close: whether the connection is closed after it.
    """
    headers = httputil.HTTPHeaders()
    for name, value in reply.headers.get_all():
        headers.add(name, value)
    body = reply.body
    if reply.code is not None:
        headers["Content-Type"] = "application/json"
        body = error_body(reply.code, reply.message, ERROR_RESPONSES[reply.code].outcome)
    if should_close:
        headers["Connection"] = "close"
    if request.method == "HEAD" or reply.status in (204, 304):
        body = b""
    else:
        headers["Content-Length"] = str(len(body))
    return encode_response(reply.status, headers, body)

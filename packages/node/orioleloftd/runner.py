"""Event loop of the node: feeds events to the core and executes its effects."""

import asyncio
import collections
import dataclasses
import logging
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from orioleloft_core import effects, events
from orioleloft_core.catalog import Catalog
from orioleloft_core.errors import Code, Outcome
from orioleloft_core.request import DispatchResult, Ending, Reply, Request, error_reply
from orioleloft_core.settings import Settings
from orioleloftd import links, metrics
from orioleloftd.logs import log_event
from orioleloftd.server import CallerServer
from orioleloftd.targetclient import TargetClient

TICK_SECONDS = 0.01
FLUSH_SECONDS = 1.0
# Time that answers may take to leave the process at its end.
FLUSH_ANSWERS_SECONDS = 2.0

_log = logging.getLogger(__name__)


def boot_time() -> float:
    """Returns seconds of a clock that also runs while the VM is suspended.

    Leases and deadlines must run out during a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Core(Protocol):
    """What the runner needs from `orioleloft_core.node.Node`."""

    state: Any
    catalog: Catalog

    def handle(self, now: float, event: events.Event) -> list[effects.Effect]:
        """Takes an event and returns what to do."""

    def may_start(self, now: float, dispatch_id: str) -> bool:
        """Tells whether the first byte of a dispatch may be written now."""

    def addresses(self, now: float, zone: str) -> tuple[Any, ...]:
        """Returns the entry addresses for a caller in a zone."""

    def status(self, now: float) -> Any:
        """Returns the node's state as a data class."""


class Platform(Protocol):
    """What the runner needs from `orioleloft_platform.catalogstore.CatalogStore`."""

    async def read_catalog(self, effect: effects.ReadHead) -> events.HeadRead:
        """Reads the head, or waits for a newer one."""

    async def read_assignment(self) -> events.AssignmentRead:
        """Reads the assignment."""

    async def write_assignment(self, effect: effects.WriteAssignment) -> events.AssignmentRead:
        """Replaces the assignment if its epoch is still the one that the effect names."""


class Runner:
    """Runs one node on the current event loop.

    Args:
        settings: the node's settings.
        core: the node's decisions.
        platform: the platform's client.
        incarnation: incarnation of the node.
        clock: the node's clock in seconds; monotonic.
    """

    def __init__(
        self,
        settings: Settings,
        core: Core,
        platform: Platform,
        incarnation: str,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        limits = settings.requests
        self.metrics = metrics.Metrics(settings.output)
        self.stopped = asyncio.Event()
        self._settings = settings
        self._core = core
        self._platform = platform
        self._incarnation = incarnation
        self._clock = clock
        self._requests = 0
        self._logged = ("", 0)
        self._waiting: dict[str, tuple[Callable[[Reply], None], float]] = {}
        self._events: collections.deque[events.Event] = collections.deque()
        self._is_handling = False
        self._tasks: set[asyncio.Task] = set()
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._client = TargetClient(
            clock, self._may_start, limits.max_header_bytes, limits.max_body_bytes
        )
        self._links = links.Links(settings, incarnation, self._message_arrived, self.metrics)
        self._server = CallerServer(self, settings)

    def start(self) -> None:
        """Opens the ports and starts the timers."""
        self._links.start()
        host, _, port = self._settings.node.listen_address.rpartition(":")
        self._server.listen(int(port), host.strip("[]"))
        self._tick(self._clock())
        self._flush()
        log_event(_log, "node-started", incarnation=self._incarnation)

    @property
    def port(self) -> int:
        """Port on which callers are served, for a listen address with port 0."""
        return self._server.port

    async def run(self) -> None:
        """Runs until the core reports that the node has stopped."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.feed, events.StopRequested())
        self.start()
        try:
            await self.stopped.wait()
        finally:
            await self.close()

    async def close(self) -> None:
        """Writes the answers that are left, then closes everything."""
        for timer in self._timers.values():
            timer.cancel()
        for task in self._tasks:
            task.cancel()
        await self._server.finish(FLUSH_ANSWERS_SECONDS)
        self._client.close()
        self._links.close()
        self.metrics.close()
        log_event(_log, "node-stopped", incarnation=self._incarnation)

    def feed(self, event: events.Event) -> None:
        """Hands an event to the core and executes the effects.

        An event that an effect causes is handled after all effects of the current event.
        """
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False

    def _handle(self, event: events.Event) -> None:
        now = self._clock()
        try:
            made = self._core.handle(now, event)
        except Exception:
            _log.exception("core-failed")
            self.metrics.count(metrics.CORE_FAILURES)
            self._fail(event)
            return
        for effect in made:
            self._execute(effect)

    def _fail(self, event: events.Event) -> None:
        """Answers a request that the core failed on."""
        if isinstance(event, events.RequestArrived):
            text = "The node failed while it handled the request."
            self._answer(event.request.id, error_reply(Code.INTERNAL_ERROR, text))

    def _execute(self, effect: effects.Effect) -> None:
        match effect:
            case effects.Send(seat, message):
                self._links.send(seat, message)
            case effects.Dispatch():
                self._dispatch(effect)
            case effects.CancelDispatch(dispatch_id):
                self._client.cancel(dispatch_id)
            case effects.Answer(request_id, reply):
                self._answer(request_id, reply)
            case effects.Probe(target_id):
                self._spawn(self._probe(target_id))
            case effects.LogEvent(name, fields):
                log_event(_log, name, **dict(fields))
            case effects.Stopped():
                self.stopped.set()
            case _:
                self._call_platform(effect)

    def _call_platform(self, effect: effects.Effect) -> None:
        now = self._clock()
        no_head = events.HeadRead(None, False, now)
        no_assignment = events.AssignmentRead(0, (), False, now)
        match effect:
            case effects.ReadHead():
                self._spawn(self._feed_result(self._platform.read_catalog(effect), no_head))
            case effects.ReadAssignment():
                self._spawn(self._feed_result(self._platform.read_assignment(), no_assignment))
            case effects.WriteAssignment():
                call = self._platform.write_assignment(effect)
                self._spawn(self._feed_result(call, no_assignment))

    def _dispatch(self, dispatch: effects.Dispatch) -> None:
        def finished(result: DispatchResult) -> None:
            self.metrics.count(metrics.DISPATCHES, result.ending.value)
            if result.ending is Ending.ANSWERED:
                self.metrics.time(metrics.SERVICE_MS, result.service_ms)
            self.feed(events.DispatchFinished(dispatch.dispatch_id, result))

        target = self._core.catalog.target(dispatch.target_id)
        if target is None:
            finished(DispatchResult(Ending.NOT_SENT))
            return
        self._client.send(dispatch, target, self._connection_limit(target.service), finished)

    def _connection_limit(self, service: str) -> int:
        """Returns this node's equal share of the connections that a target accepts."""
        known = self._core.catalog.service(service)
        return max(1, known.connections // len(self._settings.fleet.seats)) if known else 1

    def _may_start(self, dispatch_id: str) -> bool:
        return self._core.may_start(self._clock(), dispatch_id)

    def _answer(self, request_id: str, reply: Reply) -> None:
        answer, started = self._waiting.pop(request_id, (None, 0.0))
        if answer is None:
            return
        part = reply.code.value if reply.code is not None else reply.outcome.value
        self.metrics.count(metrics.ANSWERS, part)
        took_ms = (self._clock() - started) * 1000
        self.metrics.time(metrics.ANSWER_MS, took_ms)
        level = logging.WARNING if reply.outcome is Outcome.UNKNOWN else logging.DEBUG
        if _log.isEnabledFor(level):
            fields = {"request_id": request_id, "status": reply.status, "answer": part}
            log_event(_log, "request-answered", _level=level, **fields, ms=round(took_ms, 3))
        answer(reply)

    def _message_arrived(self, seat: str, message: Any) -> None:
        self.feed(events.MessageArrived(seat, message))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, target_id: str) -> None:
        self.metrics.count(metrics.PROBES)
        target = self._core.catalog.target(target_id)
        report = None
        if target is not None:
            report = await self._client.probe(target, self._connection_limit(target.service))
        self.feed(events.ProbeFinished(target_id, report))

    async def _feed_result(
        self, call: Coroutine[Any, Any, events.Event], failure: events.Event
    ) -> None:
        """Makes a platform call; a fault in it counts as an unreachable platform."""
        self.metrics.count(metrics.PLATFORM_CALLS)
        try:
            result = await call
        except Exception:
            _log.exception("platform-call-failed")
            result = failure
        self.feed(result)

    def _tick(self, due: float) -> None:
        now = self._clock()
        if now - due > TICK_SECONDS:
            self.metrics.time(metrics.LOOP_LAG_MS, (now - due) * 1000)
        loop = asyncio.get_running_loop()
        next_due = now + TICK_SECONDS
        self._timers["tick"] = loop.call_later(TICK_SECONDS, self._tick, next_due)
        self.feed(events.Tick())

    def _log_changes(self) -> None:
        """Logs the lifecycle state and the catalog version when they have changed."""
        seen = str(self._core.state), self._core.catalog.version
        if seen != self._logged:
            self._logged = seen
            log_event(_log, "node-changed", state=seen[0], catalog_version=seen[1])

    def _flush(self) -> None:
        loop = asyncio.get_running_loop()
        self._timers["flush"] = loop.call_later(FLUSH_SECONDS, self._flush)
        self._client.sweep()
        self._log_changes()
        self.metrics.level(metrics.IN_FLIGHT, self._client.running)
        self.metrics.level(metrics.CATALOG_VERSION, self._core.catalog.version)
        self.metrics.flush()

    # The methods that `server.Gateway` names.

    def now(self) -> float:
        """Returns the time in seconds on the node's clock."""
        return self._clock()

    def next_request_id(self) -> str:
        """Returns a request id that is unique in the fleet."""
        self._requests += 1
        return f"{self._incarnation}-{self._requests:x}"

    def submit(self, request: Request, answer: Callable[[Reply], None]) -> None:
        """Takes a caller's request."""
        self.metrics.count(metrics.REQUESTS)
        self._waiting[request.id] = (answer, self._clock())
        self.feed(events.RequestArrived(request))

    def caller_left(self, request_id: str) -> None:
        """Forgets a caller that closed its connection."""
        if self._waiting.pop(request_id, None) is not None:
            self.metrics.count(metrics.CALLERS_LEFT)
            self.feed(events.CallerLeft(request_id))

    def addresses(self, zone: str) -> list[dict[str, Any]]:
        """Returns the entry addresses for a caller in a zone."""
        listed = self._core.addresses(self._clock(), zone)
        return [dataclasses.asdict(address) for address in listed]

    def status(self) -> dict[str, Any]:
        """Returns the node's state for operators."""
        return dataclasses.asdict(self._core.status(self._clock()))

"""Forwarding of a caller's request to targets."""

import asyncio
import contextlib
import dataclasses
import logging
import random
from collections.abc import Callable

from tornado import httputil

from orioleloft_core import attempts, hashing
from orioleloft_core.attempts import Attempt, AttemptEnd, Fail, Relay, TryNext
from orioleloft_core.budget import TokenBucket
from orioleloft_core.coldstart import ColdStarts
from orioleloft_core.crashes import Crashes
from orioleloft_core.errors import KINDS, Code
from orioleloft_core.evidence import LoadFigures, TargetEvidence
from orioleloft_core.fleetbudget import FleetBudget
from orioleloft_core.registry import RegisteredTarget, Registry
from orioleloft_core.routes import Route, RoutedService, RouteTable
from orioleloft_core.selection import FIRST_CANDIDATES, Offer, Selector
from orioleloft_core.waitline import Waiter, WaitLine
from orioleloft_core.worktime import WorkTimes
from orioleloftd.connections import (
    CONNECT_TIMEOUT_S,
    Connection,
    ConnectionPool,
    ExchangeError,
    HttpAnswer,
)
from orioleloftd.logs import log_event
from orioleloftd.wire import AnswerFacts, Wire

# Time for candidates to answer before the best of those that did is chosen, in seconds. A probe
# takes up to 6 ms at the target and a round trip between zones 2 ms.
ASK_WAIT_S = 0.016
# Time between two rounds of probes for the first of the waiting requests, in seconds.
POLL_S = 0.04
# A request stops waiting when this multiple of its working time is left of its target latency: work
# takes longer than usual on shared machines.
WAIT_MARGIN = 1.3
# A request that is late already still prefers targets up to this pace; spells of slow machines end
# after 0.3 s, while a slow target keeps its slot for several times as long.
LATE_PACE = 2.0
# A request that is late already waits for this long, in seconds, as a slot may just get free.
MIN_WAIT_S = 0.08
# Time after which an unanswered probe counts as a failure of the target, in seconds.
ASK_TIMEOUT_S = 1.0
# A request with less time left than this is not sent any more, in seconds.
MIN_SEND_S = 0.03
# A hedge starts at this multiple of the expected time at the target.
HEDGE_FACTOR = 1.6
# An answer this much later than expected is a sign of a slow target that other nodes are told.
SLOW_SIGN_FACTOR = 2.5
# Bounds of the delay after which a refused caller may return, in seconds. The spread keeps callers
# that were refused together from returning together.
RETRY_AFTER_MIN_S = 0.4
RETRY_AFTER_MAX_S = 1.3
# Tokens of the shared budget that hedges leave for retries of failed attempts.
HEDGE_RESERVE = 0.5

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, eq=False)
class EntryRequest:
    """One request of a caller, read whole.

    Attributes:
        id: id that the caller gave.
        method: HTTP method.
        host: value of the `Host` header.
        path: path and query.
        headers: all headers.
        body: whole body.
        arrived_at: time of arrival, in seconds on the node's clock.
        patience: time that the caller waits, in seconds, or None.
    """

    id: str
    method: str
    host: str
    path: str
    headers: httputil.HTTPHeaders
    body: bytes
    arrived_at: float
    patience: float | None


@dataclasses.dataclass(frozen=True)
class EntryReply:
    """An answer for the caller.

    Attributes:
        status: HTTP status.
        headers: headers without those of the connection.
        body: whole body.
        code: error code, or None for the answer of a target.
        message: what happened, for an error.
        retry_after: seconds after which the caller may come back, or None.
    """

    status: int
    headers: httputil.HTTPHeaders
    body: bytes
    code: Code | None = None
    message: str = ""
    retry_after: float | None = None


@dataclasses.dataclass(frozen=True, eq=False)
class _Chosen:
    """A target that is ready to receive the request on a checked connection."""

    offer: Offer
    connection: Connection
    service_time: float


class _Handover:
    """Place where a waiting request is given a target whose slot has become free."""

    def __init__(self) -> None:
        self._event = asyncio.Event()
        self._given: tuple[Offer, Connection] | None = None

    def give(self, offer: Offer, connection: Connection) -> None:
        """Gives a target; the request has left the line, so it is given one at a time."""
        self._given = (offer, connection)
        self._event.set()

    def take(self) -> tuple[Offer, Connection] | None:
        """Returns what was given, once."""
        given, self._given = self._given, None
        self._event.clear()
        return given

    async def wait(self, seconds: float) -> None:
        """Waits until a target is given, for a time at most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._event.wait()


@dataclasses.dataclass(frozen=True, eq=False)
class _Result:
    """The end of one attempt."""

    attempt: Attempt
    target: RegisteredTarget
    answer: HttpAnswer | None = None
    load: LoadFigures | None = None


@dataclasses.dataclass(eq=False)
class _Job:
    """A request on its way."""

    request: EntryRequest
    route: Route
    service: RoutedService
    expires_at: float
    tried: set[str] = dataclasses.field(default_factory=set)
    sent: int = 0
    fallback: EntryReply | None = None
    asked: int = 0
    offers: tuple[Offer, ...] = ()


class Forwarder:
    """Sends requests to targets.

    Args:
        wire: form of the headers.
        table: returns the route table in force, or None.
        registry: the known targets.
        nodes: returns the names of all registered nodes.
        zone: availability zone of this node.
        budget: budget of extra dispatches.
        cold_starts: ration of cold targets.
        probe_budget: probes that this node may make.
        tell: tells other nodes of signs: target id, failures, slowness.
        tell_crash: tells other nodes of a crash: fingerprint, count.
        count: counts an event for the metrics.
        clock: seconds on the node's clock.
        rng: source of randomness.
    """

    def __init__(
        self,
        *,
        wire: Wire,
        table: Callable[[], RouteTable | None],
        registry: Registry,
        nodes: Callable[[], set[str]],
        zone: str,
        budget: FleetBudget,
        cold_starts: ColdStarts,
        probe_budget: TokenBucket,
        tell: Callable[[str, float, float], None],
        tell_crash: Callable[[str, int], None],
        count: Callable[..., None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._wire = wire
        self._table = table
        self._registry = registry
        self._nodes = nodes
        self._budget = budget
        self._cold_starts = cold_starts
        self._tell = tell
        self._tell_crash = tell_crash
        self._count = count
        self._clock = clock
        self._rng = rng
        self._evidence: dict[tuple[str, int], TargetEvidence] = {}
        self._selector = Selector(zone, self.evidence, self._is_connected, rng)
        self._work_times = WorkTimes()
        self._crashes = Crashes()
        self._pool = ConnectionPool(clock, lambda: count("target_connections"))
        self._asks: set[asyncio.Task] = set()
        self._probe_budget = probe_budget
        self._lines: dict[str, WaitLine] = {}

    @property
    def crashes(self) -> Crashes:
        """Requests that have crashed targets."""
        return self._crashes

    def evidence(self, target: RegisteredTarget) -> TargetEvidence:
        """Returns the evidence about one process of a target."""
        key = (target.id, target.started_ms)
        found = self._evidence.get(key)
        if found is None:
            found = self._evidence[key] = TargetEvidence()
        return found

    def _is_connected(self, target: RegisteredTarget) -> bool:
        return self._pool.has_idle((target.id, target.started_ms))

    def evidence_by_id(self, target_id: str) -> TargetEvidence | None:
        """Returns the evidence about a registered target, or None if it is unknown."""
        target = self._registry.get(target_id)
        return None if target is None else self.evidence(target)

    def sweep(self) -> None:
        """Closes idle connections and forgets targets that are gone; called now and then."""
        known = {(t.id, t.started_ms) for t in self._registry.target_list.targets}
        self._evidence = {
            key: evidence
            for key, evidence in self._evidence.items()
            if key in known or evidence.in_flight > 0
        }
        self._pool.sweep(lambda key: key in known)
        self._cold_starts.forget(target_id for target_id, _ in known)

    async def forward(self, request: EntryRequest, route: Route, service_name: str) -> EntryReply:
        """Gets the answer of a target to a request, or the reason why there is none.

        The coroutine may be cancelled, which drops the request at its targets.
        """
        now = self._clock()
        patience = route.timeout
        if request.patience is not None:
            patience = min(patience, request.patience)
        table = self._table()
        service = table.service(service_name) if table else None
        if service is None:
            return self._error(request, Code.NO_CAPACITY, "the service has no configuration")
        if self._crashes.is_blocked(now, self._fingerprint(request)):
            return self._error(
                request, Code.CRASH_SUSPECT, "the request has crashed targets", status=502
            )
        job = _Job(request, route, service, request.arrived_at + patience)
        try:
            async with asyncio.timeout(max(0.0, job.expires_at - now)):
                return await self._attempts(job)
        except TimeoutError:
            if job.sent:
                return self._error(request, Code.DEADLINE_AFTER_START, "no answer in time")
            return self._error(request, Code.NO_CAPACITY, "no target was free in time")

    async def _attempts(self, job: _Job) -> EntryReply:
        running: dict[asyncio.Task, float] = {}
        can_hedge = job.route.is_idempotent
        try:
            while True:
                if not running:
                    failure = await self._start(job, running, is_hedge=False)
                    if failure is not None:
                        return job.fallback or failure
                hedge_at = min(running.values()) if can_hedge and len(running) == 1 else None
                wait = None if hedge_at is None else max(0.0, hedge_at - self._clock())
                done, _ = await asyncio.wait(
                    running, timeout=wait, return_when=asyncio.FIRST_COMPLETED
                )
                if not done:
                    can_hedge = await self._start(job, running, is_hedge=True) is None
                    continue
                for task in done:
                    del running[task]
                    reply = self._conclude(job, task.result())
                    if reply is not None:
                        return reply
        finally:
            for task in running:
                task.cancel()

    async def _start(
        self, job: _Job, running: dict[asyncio.Task, float], *, is_hedge: bool
    ) -> EntryReply | None:
        """Starts an attempt; returns the reply for the case that none can be started."""
        request = job.request
        if job.sent >= job.route.attempts:
            return self._error(request, Code.TARGET_UNREACHABLE, "no attempts are left")
        line = self._lines.get(job.service.name)
        if is_hedge and line:
            return self._error(request, Code.NO_CAPACITY, "other requests wait")
        reserve = HEDGE_RESERVE if is_hedge else 0.0
        if job.sent and self._budget.available(self._clock(), job.service.name) < 1 + reserve:
            return self._error(request, Code.NO_CAPACITY, "the budget of retries is spent")
        chosen = await self._choose(job)
        if chosen is None:
            return self._error(request, Code.NO_CAPACITY, "no target can take the request")
        now = self._clock()
        if job.sent and not self._budget.take(now, job.service.name, reserve):
            self._release(chosen.offer.target, chosen.connection, None)
            return self._error(request, Code.NO_CAPACITY, "the budget of retries is spent")
        if not job.sent:
            self._budget.earn(now, job.service.name)
        job.sent += 1
        job.tried.add(chosen.offer.target.id)
        log_event(
            _log,
            "dispatch",
            request=request.id,
            route=job.route.name,
            target=chosen.offer.target.id,
            attempt=job.sent,
            hedge=is_hedge,
            load=chosen.offer.load,
            cold=chosen.offer.is_cold,
            table=self._table_version(),
            targets=self._registry.target_list.version.revision,
        )
        self._count(
            "dispatches", kind="hedge" if is_hedge else "first" if job.sent == 1 else "retry"
        )
        task = asyncio.get_running_loop().create_task(self._dispatch(job, chosen))
        running[task] = now + self._hedge_delay(job.route, chosen.service_time)
        return None

    def _hedge_delay(self, route: Route, service_time: float) -> float:
        work = self._work_times.expected(route.name, route.target_latency)
        latest = route.target_latency - 1.15 * work
        return max(1.15 * service_time, min(HEDGE_FACTOR * service_time, latest))

    def _conclude(self, job: _Job, result: _Result) -> EntryReply | None:
        """Returns the reply that an attempt leads to, or None for another attempt."""
        decision = attempts.decide(result.attempt, job.route.is_idempotent)
        log_event(
            _log,
            "attempt ended",
            request=job.request.id,
            target=result.target.id,
            load=result.load,
            end=result.attempt.end.value,
            status=result.attempt.status,
            ms=round((self._clock() - job.request.arrived_at) * 1000),
        )
        match decision:
            case Relay():
                return self._relay(result)
            case Fail(code=code):
                return self._error(job.request, code, f"target {result.target.id}")
            case TryNext(otherwise=Relay()):
                job.fallback = self._relay(result)
            case TryNext(otherwise=Fail(code=code)):
                job.fallback = self._error(job.request, code, f"target {result.target.id}")
        return None

    def _relay(self, result: _Result) -> EntryReply:
        answer = result.answer
        return EntryReply(answer.status, self._wire.caller_headers(answer.headers), answer.body)

    def _error(
        self, request: EntryRequest, code: Code, message: str, status: int | None = None
    ) -> EntryReply:
        return self.error_reply(request.id, code, message, status)

    def error_reply(
        self, request_id: str, code: Code, message: str, status: int | None = None
    ) -> EntryReply:
        """Builds an answer of orioleloft's own."""
        status = status or KINDS[code].status
        retry_after = None
        if status in (429, 503):
            retry_after = self._rng.uniform(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S)
        headers = self._wire.own_answer_headers(request_id, retry_after)
        return EntryReply(status, headers, b"", code, message, retry_after)

    # Choice of a target.

    async def _choose(self, job: _Job) -> _Chosen | None:
        """Returns a target that can start the request now, if need be after a short wait."""
        line = self._lines.setdefault(job.service.name, WaitLine())
        chosen = None
        if not line.is_blocked(job.route.priority):
            chosen = await self._ask_candidates(job)
        if chosen is not None:
            return chosen
        now = self._clock()
        give_up_at = now + self._longest_wait(job, now)
        waiter = line.join(now, job.route.priority, give_up_at, _Handover())
        if waiter is None:
            self._log_no_target(job, line, now, "the line is too long")
            return None
        try:
            chosen = await self._wait_in_line(job, line, waiter)
        finally:
            line.leave(waiter)
            unused = waiter.handle.take()
            if unused is not None:
                self._hand_over(job.service.name, *unused)
        if chosen is None:
            self._log_no_target(job, line, now, "no target became free in time")
        else:
            line.on_served(self._clock())
        return chosen

    def _log_no_target(self, job: _Job, line: WaitLine, since: float, reason: str) -> None:
        log_event(
            _log,
            "no target",
            request=job.request.id,
            reason=reason,
            waited_ms=round((self._clock() - since) * 1000),
            line=len(line),
            usable=len(self._registry.usable(job.service.name)),
            asked=job.asked,
            offers={offer.target.id: offer.load for offer in job.offers},
            cold=[offer.target.id for offer in job.offers if offer.is_cold],
            targets=self._registry.target_list.version.revision,
        )

    def _longest_wait(self, job: _Job, now: float) -> float:
        """Returns the time for which waiting for a target still serves the caller, in seconds."""
        work = self._work_times.expected(job.route.name, job.route.target_latency)
        useful = job.request.arrived_at + job.route.target_latency - WAIT_MARGIN * work - now
        return max(MIN_WAIT_S, min(useful, job.expires_at - now - work))

    async def _wait_in_line(self, job: _Job, line: WaitLine, waiter: Waiter) -> _Chosen | None:
        while True:
            left = waiter.give_up_at - self._clock()
            if left <= 0:
                return await self._ask_candidates(job, takes_slow=True)
            await waiter.handle.wait(min(left, POLL_S))
            given = waiter.handle.take()
            chosen = None
            if given is not None:
                chosen = self._take_handed(job, *given)
                if chosen is None:
                    line.rejoin(waiter)
            elif line.head is waiter:
                chosen = await self._ask_candidates(job)
            if chosen is not None:
                return chosen

    def _take_handed(self, job: _Job, offer: Offer, connection: Connection) -> _Chosen | None:
        """Takes a target whose slot an earlier request of this node has just left."""
        now = self._clock()
        work = self._work_times.expected(job.route.name, job.route.target_latency)
        is_allowed = offer.target.id not in job.tried and self._registry.may_use(offer.target)
        if not (is_allowed and connection.is_usable and self._is_in_time(job, offer, now, work)):
            self._release(offer.target, connection, None)
            return None
        service_time = self._selector.service_time(now, offer, work)
        self.evidence(offer.target).on_chosen()
        return _Chosen(offer, connection, service_time)

    def _hand_over(self, service: str, offer: Offer, connection: Connection) -> None:
        """Gives a target with a free slot to the request that waits longest, or keeps it."""
        line = self._lines.get(service)
        waiter = line.head if line else None
        is_free = self._selector.is_open(offer) and connection.is_usable
        if waiter is None or not is_free or not self._registry.may_use(offer.target):
            self._release(offer.target, connection, None)
            return
        line.leave(waiter)
        waiter.handle.give(offer, connection)

    async def _ask_candidates(self, job: _Job, takes_slow: bool = False) -> _Chosen | None:
        """Asks candidates and returns the best one that can start the request now.

        Args:
            job: the request.
            takes_slow: whether a target may be taken that will answer after the target latency.
        """
        now = self._clock()
        usable = [
            target
            for target in self._registry.usable(job.service.name)
            if target.id not in job.tried
        ]
        candidates = self._selector.candidates(now, usable)
        asked: dict[asyncio.Task, RegisteredTarget] = {}
        answered: dict[Offer, Connection] = {}
        job.asked = 0
        try:
            for group in (candidates[:FIRST_CANDIDATES], candidates[FIRST_CANDIDATES:]):
                for target in group:
                    if self._probe_budget.take(self._clock()):
                        asked[self._start_ask(target, job.service)] = target
                        job.asked += 1
                await self._collect(job, asked, answered)
                if self._has_good(answered):
                    break
            job.offers = tuple(answered)
            return self._pick(job, answered, takes_slow)
        finally:
            for task in asked:
                task.add_done_callback(self._give_back)
            for offer, connection in answered.items():
                self._release(offer.target, connection, None)

    def _start_ask(self, target: RegisteredTarget, service: RoutedService) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(self._ask(target, service))
        self._asks.add(task)
        task.add_done_callback(self._asks.discard)
        return task

    def _has_good(self, answered: dict[Offer, Connection]) -> bool:
        now = self._clock()
        return any(self._selector.is_clearly_good(now, offer) for offer in answered)

    async def _collect(
        self,
        job: _Job,
        asked: dict[asyncio.Task, RegisteredTarget],
        answered: dict[Offer, Connection],
    ) -> None:
        """Waits for answers until one is good enough or the time to wait is over."""
        end = min(self._clock() + ASK_WAIT_S, job.expires_at - MIN_SEND_S)
        while asked and not self._has_good(answered):
            left = end - self._clock()
            if left <= 0:
                return
            done, _ = await asyncio.wait(asked, timeout=left, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                del asked[task]
                if task.result() is not None:
                    offer, connection = task.result()
                    answered[offer] = connection

    def _pick(
        self, job: _Job, answered: dict[Offer, Connection], takes_slow: bool
    ) -> _Chosen | None:
        """Takes the best offer out of those answered."""
        now = self._clock()
        if job.expires_at - now < MIN_SEND_S:
            return None
        latency = job.route.target_latency
        work = self._work_times.expected(job.route.name, latency)
        allowed = [
            offer
            for offer in answered
            if self._registry.may_use(offer.target)
            and self._selector.is_open(offer)
            and (takes_slow or self._is_in_time(job, offer, now, work))
            and self._may_take(now, job, offer)
        ]
        best = self._selector.best(now, allowed, work, latency)
        if best is None:
            return None
        service_time = self._selector.service_time(now, best, work)
        self.evidence(best.target).on_chosen()
        if best.is_cold:
            self._cold_starts.on_sent(now, best.target.id)
        return _Chosen(best, answered.pop(best), service_time)

    def _is_in_time(self, job: _Job, offer: Offer, now: float, work: float) -> bool:
        """Whether a target would answer within the target latency, or at a usual pace if late."""
        expected = self._selector.service_time(now, offer, work)
        due = job.request.arrived_at + job.route.target_latency
        return expected <= max(due - now, LATE_PACE * work)

    def _may_take(self, now: float, job: _Job, offer: Offer) -> bool:
        if not offer.is_cold:
            return True
        return self._cold_starts.may_send(
            now, offer.target.id, job.service.cold_per_s, self._nodes()
        )

    async def _ask(
        self, target: RegisteredTarget, service: RoutedService
    ) -> tuple[Offer, Connection] | None:
        """Asks a target for its state; returns None if it must not receive work."""
        key = (target.id, target.started_ms)
        evidence = self.evidence(target)
        self._count("probes")
        evidence.open_probes += 1
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                connection = await self._pool.acquire(key, target.host, target.port)
                answer = await connection.exchange(
                    "GET",
                    service.health_path,
                    self._wire.probe_headers(f"{target.host}:{target.port}", target.id),
                    b"",
                    lambda status, headers: bool(
                        self._wire.answer_facts(status, headers).target_id
                    ),
                )
        except (ExchangeError, TimeoutError) as error:
            # A full target answers its probes late, which is no fault.
            if not (isinstance(error, TimeoutError) and evidence.is_full):
                evidence.on_failure(self._clock())
            log_event(_log, "probe failed", target=target.id, reason=str(error) or "timeout")
            return None
        finally:
            evidence.open_probes -= 1
        facts = self._wire.answer_facts(answer.status, answer.headers)
        if facts.load is not None:
            evidence.on_load(self._clock(), facts.load)
        if facts.target_id != target.id or facts.is_not_run or answer.status != 200:
            log_event(
                _log, "probe refused", target=target.id, status=answer.status, by=facts.target_id
            )
            if facts.target_id == target.id and facts.is_not_run:
                self._release(target, connection, facts)
            else:
                connection.close()
            return None
        if not connection.is_usable:
            connection.close()
            return None
        if facts.idle_timeout is not None:
            connection.idle_until = self._clock() + facts.idle_timeout
        return Offer(target, facts.load, facts.cold_for > 0), connection

    def _give_back(self, task: asyncio.Task) -> None:
        """Keeps the connection of a candidate whose answer nobody waited for."""
        if task.cancelled() or task.exception() is not None or task.result() is None:
            return
        offer, connection = task.result()
        self._release(offer.target, connection, None)

    def _release(
        self, target: RegisteredTarget, connection: Connection, facts: AnswerFacts | None
    ) -> None:
        idle = facts.idle_timeout if facts else max(0.0, connection.idle_until - self._clock())
        self._pool.release((target.id, target.started_ms), connection, idle)

    # One attempt.

    async def _dispatch(self, job: _Job, chosen: _Chosen) -> _Result:
        target = chosen.offer.target
        started = self._clock()
        try:
            return await self._exchange(job, chosen, started)
        except ExchangeError as error:
            log_event(
                _log, "answer lost", request=job.request.id, target=target.id, reason=str(error)
            )
            self._on_failure(target)
            self._check_for_crash(job, target)
            return _Result(Attempt(AttemptEnd.BROKEN), target)
        except asyncio.CancelledError:
            chosen.connection.close()
            self._on_abandoned(job, chosen, self._clock() - started)
            raise

    async def _exchange(self, job: _Job, chosen: _Chosen, started: float) -> _Result:
        request, target, connection = job.request, chosen.offer.target, chosen.connection
        evidence = self.evidence(target)
        headers = self._wire.target_headers(
            request.headers, target.id, job.expires_at - started, request.body
        )
        evidence.in_flight += 1
        try:
            answer = await connection.exchange(
                request.method,
                request.path,
                headers,
                request.body,
                lambda status, headers: self._wire.answer_facts(status, headers).request_id
                == request.id,
            )
        finally:
            evidence.in_flight -= 1
        now = self._clock()
        facts = self._wire.answer_facts(answer.status, answer.headers)
        if facts.idle_timeout is not None:
            connection.idle_until = now + facts.idle_timeout
        if facts.load is not None and not chosen.offer.is_cold and not facts.is_not_run:
            # The answer's figures still count the request that it answers.
            running = max(0, facts.load.running - 1)
            load = dataclasses.replace(facts.load, running=running)
            evidence.on_load(now, load)
            self._hand_over(job.service.name, Offer(target, load), connection)
        else:
            self._release(target, connection, facts)
        if facts.is_not_run:
            if answer.status != 503:
                self._on_failure(target)
            return _Result(Attempt(AttemptEnd.REFUSED, answer.status), target, answer)
        if not facts.is_whole_encoding or (answer.status < 300 and not facts.is_signed):
            self._on_failure(target)
            return _Result(Attempt(AttemptEnd.BROKEN), target)
        if answer.status >= 500:
            self._on_failure(target)
        else:
            evidence.on_success(now)
            self._on_duration(job, chosen, now - started)
        return _Result(Attempt(AttemptEnd.ANSWERED, answer.status), target, answer, facts.load)

    def _on_duration(self, job: _Job, chosen: _Chosen, seconds: float) -> None:
        route, target = job.route, chosen.offer.target
        expected = max(0.001, chosen.service_time)
        factor = seconds / expected
        evidence = self.evidence(target)
        slowness = evidence.slowness(self._clock())
        evidence.on_duration(self._clock(), factor * slowness)
        work = self._work_times.expected(route.name, route.target_latency)
        self._work_times.observe(route.name, route.target_latency, work * factor)
        if factor >= SLOW_SIGN_FACTOR:
            self._tell(target.id, 0.0, factor)

    def _on_abandoned(self, job: _Job, chosen: _Chosen, seconds: float) -> None:
        """Takes the time of an attempt that was given up as the least it would have needed."""
        factor = seconds / max(0.001, chosen.service_time)
        if factor < SLOW_SIGN_FACTOR / 2:
            return
        target = chosen.offer.target
        self.evidence(target).on_duration(self._clock(), factor * 1.5)
        self._tell(target.id, 0.0, factor * 1.5)

    def _on_failure(self, target: RegisteredTarget) -> None:
        self.evidence(target).on_failure(self._clock())
        self._tell(target.id, 1.0, 0.0)

    # Requests that crash targets.

    def _fingerprint(self, request: EntryRequest) -> str:
        head = f"{request.method} {request.host} {request.path}".encode()
        return hashing.fingerprint(head, request.body)

    def _check_for_crash(self, job: _Job, target: RegisteredTarget) -> None:
        """Finds out whether a target is gone after it gave no answer to a request."""
        task = asyncio.get_running_loop().create_task(self._verify_crash(job.request, target))
        self._asks.add(task)
        task.add_done_callback(self._asks.discard)

    async def _verify_crash(self, request: EntryRequest, target: RegisteredTarget) -> None:
        try:
            connection = await self._pool.acquire(
                ("crash check", target.id), target.host, target.port, CONNECT_TIMEOUT_S
            )
            connection.close()
        except ExchangeError:
            fingerprint = self._fingerprint(request)
            count = self._crashes.record(self._clock(), fingerprint)
            log_event(_log, "target crashed", request=request.id, target=target.id, crashes=count)
            self._tell_crash(fingerprint, count)

    def _table_version(self) -> int:
        table = self._table()
        return table.version if table else 0

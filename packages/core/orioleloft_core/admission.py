"""Requester's side of admission: ask, grant, bypass, deadlines, retries and hedges."""

import heapq
from typing import Protocol

from orioleloft_core.asks import Asks
from orioleloft_core.dispatches import Dispatches, Suspects
from orioleloft_core.effects import Answer, Effect, Send
from orioleloft_core.errors import KINDS, Code, Outcome
from orioleloft_core.flow import Attempt, Flow, OpenAsk, Permit, Route
from orioleloft_core.hedging import Hedging
from orioleloft_core.holders import FleetView, Holders, Place
from orioleloft_core.messages import Granted, Queued, Refused, Release
from orioleloft_core.refusals import ENDING_CODES, refusal, refused_code
from orioleloft_core.request import DispatchResult, Ending, Reply, Request
from orioleloft_core.settings import RoutingMode, Settings

# How often a queued ask is checked for a holder that has gone.
QUEUE_CHECK_SECONDS = 0.05

# Without a holder a request waits this long for a bypass target. Bypass carries less than grants,
# so that a longer wait would only fill the node.
BYPASS_WAIT_SECONDS = 0.25
BYPASS_CHECK_SECONDS = 0.05

# Without a bypass target, an ask stays open for this many ask timeouts: a holder's short pause
# is then no failure for the caller.
SILENT_ASK_TIMEOUTS = 10

# Dispatches without a live connection are not counted as attempts, so they need a limit of
# their own.
MAX_UNSENT = 8


class RetryBudget(Protocol):
    """Limits retries to a share of requests."""

    def earn(self) -> None:
        """Counts a request."""

    def take(self) -> bool:
        """Takes a retry, if there is one."""


class Admission:
    """Brings each submitted request to a target, or answers it.

    Args:
        settings: all settings.
        seat: own seat.
        incarnation: own incarnation; makes the ids of asks unique.
        fleet_view: catalog, holders and suspicion.
        retry_budget: limit of retries.
        suspects: contents that break targets.
    """

    def __init__(
        self,
        settings: Settings,
        seat: str,
        incarnation: str,
        fleet_view: FleetView,
        retry_budget: RetryBudget,
        suspects: Suspects,
    ) -> None:
        self._attempts = settings.requests.attempts
        self._ask_timeout = settings.routing.ask_timeout_ms / 1000
        self._is_by_view = settings.routing.mode is RoutingMode.VIEWS
        self._view = fleet_view
        self._retry_budget = retry_budget
        self._suspects = suspects
        self._holders = Holders(settings, seat, fleet_view)
        self._dispatches = Dispatches(
            settings, seat, incarnation, fleet_view, self._holders, suspects
        )
        self._asks = Asks(incarnation, self._holders)
        self._hedging = Hedging(settings)
        self._flows: dict[str, Flow] = {}
        # Timers name the request, so that an answered one's body is not kept until its deadline.
        self._timers: list[tuple[float, int, str, OpenAsk | Attempt | None]] = []
        self._number = 0
        self._queue_per_slot = settings.routing.queue_per_slot
        # Requests that wait for a bypass target, the oldest first.
        self._waiting: dict[str, Flow] = {}

    @property
    def in_flight(self) -> int:
        """Requests that are not answered, or have a dispatch under way."""
        return len(self._flows)

    def submit(self, now: float, request: Request) -> list[Effect]:
        """Takes a request; a keyed one has passed `KeyTable.begin` before."""
        if self._view.catalog.service(request.service) is None:
            return [Answer(request.id, refusal(Code.UNKNOWN_SERVICE))]
        if self._suspects.is_blocked(now, request.fingerprint):
            return [Answer(request.id, refusal(Code.CRASH_SUSPECT))]
        self._retry_budget.earn()
        self._hedging.earn()
        flow = Flow(request)
        self._flows[request.id] = flow
        self._set_timer(request.deadline, flow, None)
        return self._route(now, flow)

    def on_heard(self, now: float, seat: str) -> None:
        """Notes that a holder answers again; for messages that are not passed to this class."""
        self._holders.heard(now, seat)

    def on_granted(self, now: float, seat: str, granted: Granted) -> list[Effect]:
        """Takes a grant; one that no request waits for is released unused."""
        self._holders.heard(now, seat)
        if self._holders.is_held(seat, granted.grant_id):
            return []
        ask = self._asks.close(seat, granted.ask_id)
        if ask is None:
            return [Send(seat, Release(granted.grant_id, None))]
        flow, target_id = ask.flow, granted.target_id
        if now >= flow.request.deadline or not self._view.catalog.accepts_new_work(target_id):
            flow.exclude(target_id)
            unused = Send(seat, Release(granted.grant_id, None))
            return [unused, *([] if ask.is_hedge else self._route(now, flow))]
        self._holders.hold(now, seat, granted.grant_id)
        needs_live = not granted.is_first_use
        permit = Permit(Route.GRANT, target_id, ask.group, seat, granted.grant_id, needs_live)
        return self._start(now, flow, permit)

    def on_queued(self, now: float, seat: str, queued: Queued) -> list[Effect]:
        """Notes that an ask waits; a hedge does not wait, because it would add to the queue."""
        self._holders.heard(now, seat)
        ask = self._asks.get(seat, queued.ask_id)
        if ask is None:
            return []
        if ask.is_hedge:
            return self._asks.withdraw(ask.flow)
        ask.is_queued = True
        return []

    def on_refused(self, now: float, seat: str, refused: Refused) -> list[Effect]:
        """Takes a refusal; a holder without a usable lease leads to bypass."""
        self._holders.heard(now, seat)
        ask = self._asks.close(seat, refused.ask_id)
        if ask is None or ask.is_hedge:
            return []
        code = refused_code(refused.code)
        if code is Code.NODE_ISOLATED:
            return self._bypass_or_refuse(now, ask.flow)
        return self._refuse(ask.flow, code)

    def may_start(self, now: float, dispatch_id: str) -> bool:
        """Tells, right before the first byte, whether a dispatch may start."""
        return self._dispatches.may_start(now, dispatch_id)

    def deny(self, dispatch_id: str) -> bool:
        """Keeps a dispatch from starting; returns False, as `may_start` would."""
        return self._dispatches.deny(dispatch_id)

    def on_finished(self, now: float, dispatch_id: str, result: DispatchResult) -> list[Effect]:
        """Takes the result of a dispatch: answers, retries or waits for a second dispatch."""
        attempt, effects = self._dispatches.finish(now, dispatch_id, result)
        if attempt is None:
            return effects
        effects = effects + self._after_finish(now, attempt, result)
        if attempt.permit.route is Route.BYPASS:
            effects += self._serve_waiting(now, attempt.flow.request.service)
        return effects

    def _after_finish(self, now: float, attempt: Attempt, result: DispatchResult) -> list[Effect]:
        flow = attempt.flow
        if flow.is_answered:
            self._forget_if_over(flow)
            return []
        if result.ending is not Ending.ANSWERED:
            return self._after_failure(now, attempt, result.ending)
        self._hedging.observe(flow.request.service, result.service_ms)
        reply = Reply(result.status, Outcome.COMPLETE, headers=result.headers, body=result.body)
        return self._answer(flow, reply)

    def cancel(self, now: float, request_id: str) -> list[Effect]:
        """Ends a request whose caller left; a keyed one goes on, so that a resend finds it."""
        flow = self._flows.get(request_id)
        if flow is None or flow.is_answered:
            return []
        if flow.request.key and not flow.request.is_idempotent:
            return []
        return self._end(flow)

    def tick(self, now: float) -> list[Effect]:
        """Takes due deadlines, ask timeouts and hedges; reports the grants held."""
        effects = self._holders.held_reports(now)
        while self._timers and self._timers[0][0] <= now:
            _, _, request_id, subject = heapq.heappop(self._timers)
            flow = self._flows.get(request_id)
            if flow is not None and not flow.is_answered:
                effects += self._on_timer(now, flow, subject)
        return effects

    def _on_timer(
        self, now: float, flow: Flow, subject: OpenAsk | Attempt | Flow | None
    ) -> list[Effect]:
        match subject:
            case None:
                return self._after_deadline(flow)
            case OpenAsk() if subject is flow.ask:
                return self._check_ask(now, subject)
            case Attempt() if subject.dispatch_id in flow.attempts:
                return self._hedge(now, subject)
            case Flow() if flow.request.id in self._waiting:
                return self._route(now, flow)
        return []

    def _route(self, now: float, flow: Flow) -> list[Effect]:
        """Starts the next dispatch of a request, or asks for one."""
        request = flow.request
        self._waiting.pop(request.id, None)
        if not flow.may_run or now >= request.deadline:
            return self._refuse(flow, Code.DEADLINE_BEFORE_START)
        if self._is_by_view:
            permit = self._dispatches.view_permit(flow)
            return self._start(now, flow, permit) if permit else self._refuse_full(flow)
        place = self._holders.choose(now, request.service, request.id)
        if place is None or place.seat is None:
            return self._bypass_or_refuse(now, flow)
        if self._holders.is_silent(place.seat) and not self._holders.take_probe(now, place.seat):
            permit = self._dispatches.bypass_permit(now, flow)
            if permit is not None:
                return self._start(now, flow, permit)
        return self._ask(now, flow, place, is_hedge=False)

    def _bypass_or_refuse(self, now: float, flow: Flow) -> list[Effect]:
        permit = self._dispatches.bypass_permit(now, flow)
        if permit is not None:
            return self._start(now, flow, permit)
        if not self._may_wait(now, flow):
            return self._refuse_full(flow)
        self._waiting[flow.request.id] = flow
        self._set_timer(now + BYPASS_CHECK_SECONDS, flow, flow)
        return []

    def _may_wait(self, now: float, flow: Flow) -> bool:
        if flow.waits_since is None:
            flow.waits_since = now
        if now - flow.waits_since >= BYPASS_WAIT_SECONDS:
            return False
        usable = self._dispatches.count_bypass_targets(now, flow.request.service)
        return len(self._waiting) < usable * self._queue_per_slot

    def _serve_waiting(self, now: float, service: str) -> list[Effect]:
        """Gives a bypass target that has become free to the oldest request that waits for it."""
        for flow in self._waiting.values():
            if flow.request.service == service:
                return self._route(now, flow)
        return []

    def _ask(self, now: float, flow: Flow, place: Place, is_hedge: bool) -> list[Effect]:
        effects = self._asks.open(now, flow, place.group, place.seat, is_hedge)
        self._set_timer(now + self._ask_timeout, flow, flow.ask)
        return effects

    def _check_ask(self, now: float, ask: OpenAsk) -> list[Effect]:
        """Looks after an open ask: silence leads to bypass, a lost holder to a new route."""
        flow = ask.flow
        if self._holders.usable_seat(now, ask.group) != ask.seat:
            return self._asks.withdraw(flow) + ([] if ask.is_hedge else self._route(now, flow))
        if ask.is_queued and not self._holders.is_silent(ask.seat):
            self._set_timer(now + QUEUE_CHECK_SECONDS, flow, ask)
            return []
        if ask.is_queued:
            return self._asks.withdraw(flow) + self._route(now, flow)
        self._holders.note_silence(now, ask.seat, ask.asked_at)
        if ask.is_hedge:
            return self._asks.withdraw(flow)
        permit = self._dispatches.bypass_permit(now, flow)
        if permit is not None:
            return self._asks.withdraw(flow) + self._start(now, flow, permit)
        if now - ask.asked_at >= SILENT_ASK_TIMEOUTS * self._ask_timeout:
            return self._asks.withdraw(flow) + self._refuse_full(flow)
        self._set_timer(now + self._ask_timeout, flow, ask)
        return []

    def _start(self, now: float, flow: Flow, permit: Permit) -> list[Effect]:
        effects = self._dispatches.start(now, flow, permit)
        delay = self._hedging.delay(flow.request.service)
        if flow.request.is_idempotent and delay is not None and permit.route is Route.GRANT:
            attempt = next(reversed(flow.attempts.values()))
            self._set_timer(now + delay, flow, attempt)
        return effects

    def _hedge(self, now: float, attempt: Attempt) -> list[Effect]:
        """Asks for a second dispatch beside one that is much slower than usual."""
        flow = attempt.flow
        is_single = len(flow.attempts) == 1 and flow.ask is None
        if not is_single or attempt.is_cancelled or flow.counted >= self._attempts:
            return []
        place = self._holders.choose(now, flow.request.service, flow.request.id)
        if place is None or place.seat is None or self._holders.is_silent(place.seat):
            return []
        if not self._hedging.take():
            return []
        return self._ask(now, flow, place, is_hedge=True)

    def _after_failure(self, now: float, attempt: Attempt, ending: Ending) -> list[Effect]:
        flow = attempt.flow
        match ending:
            case Ending.NOT_SENT if attempt.is_denied:
                flow.counted -= 1
                flow.exclude(attempt.permit.target_id)
                return self._continue(now, flow)
            case Ending.NOT_SENT if attempt.permit.needs_live_connection:
                flow.counted -= 1
                flow.unsent += 1
                if flow.unsent <= MAX_UNSENT:
                    return self._continue(now, flow)
        code = ENDING_CODES[ending]
        if KINDS[code].outcome is Outcome.UNKNOWN and flow.maybe_ran is None:
            flow.maybe_ran = code
        flow.exclude(attempt.permit.target_id)
        if flow.attempts or flow.ask or self._may_retry(now, flow):
            return self._continue(now, flow)
        return self._refuse(flow, code)

    def _continue(self, now: float, flow: Flow) -> list[Effect]:
        """Waits for what is under way, or starts the next dispatch."""
        if flow.ask is not None:
            flow.ask.is_hedge = False
            return []
        return [] if flow.attempts else self._route(now, flow)

    def _may_retry(self, now: float, flow: Flow) -> bool:
        request = flow.request
        if not flow.may_run or flow.counted >= self._attempts or now >= request.deadline:
            return False
        if self._suspects.is_blocked(now, request.fingerprint):
            return False
        return self._retry_budget.take()

    def _after_deadline(self, flow: Flow) -> list[Effect]:
        effects = self._asks.withdraw(flow)
        if not flow.attempts:
            return effects + self._refuse(flow, Code.DEADLINE_BEFORE_START)
        # The ending of the dispatch tells whether the request may have run.
        return effects + self._dispatches.cancel(flow)

    def _refuse_full(self, flow: Flow) -> list[Effect]:
        return self._refuse(flow, Code.NO_CAPACITY)

    def _refuse(self, flow: Flow, code: Code) -> list[Effect]:
        return self._answer(flow, refusal(flow.final_code(code)))

    def _answer(self, flow: Flow, reply: Reply) -> list[Effect]:
        return [Answer(flow.request.id, reply), *self._end(flow)]

    def _end(self, flow: Flow) -> list[Effect]:
        flow.is_answered = True
        self._waiting.pop(flow.request.id, None)
        effects = self._asks.withdraw(flow) + self._dispatches.cancel(flow)
        self._forget_if_over(flow)
        return effects

    def _forget_if_over(self, flow: Flow) -> None:
        if flow.is_over:
            self._flows.pop(flow.request.id, None)

    def _set_timer(self, when: float, flow: Flow, subject: OpenAsk | Attempt | Flow | None) -> None:
        self._number += 1
        heapq.heappush(self._timers, (when, self._number, flow.request.id, subject))

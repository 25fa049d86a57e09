"""Holder of a group: grants the slots of its targets to requests of all seats."""

from orioleloft_core.catalog import Catalog
from orioleloft_core.effects import Effect, LogEvent, Send
from orioleloft_core.errors import Code
from orioleloft_core.fairqueue import FairQueue, WaitingAsk
from orioleloft_core.grantledger import Grant, GrantLedger
from orioleloft_core.messages import (
    Ask,
    BypassReport,
    Granted,
    Held,
    Queued,
    Refused,
    Release,
    TargetReport,
    Withdraw,
)
from orioleloft_core.probing import Prober
from orioleloft_core.request import Ending, LoadReport
from orioleloft_core.settings import Settings
from orioleloft_core.suspects import Suspects
from orioleloft_core.targetgroup import TargetGroup
from orioleloft_core.targetstate import Phase, TargetState

# Weight of one request in the mean time that a grant is held.
HOLD_SHARE = 0.05

# Silence, rests and pauses between probes last a second or more, so the targets need not be looked
# at in every tick. At 6,600 targets, that took most of a node's time for control.
UPKEEP_SECONDS = 0.1


class Grantor:
    """Admission control for one group of targets.

    Each `Ask` gets one `Granted` or `Refused` in the end, unless it was withdrawn; one that has to
    wait gets `Queued` before. All methods take the time in seconds on the holder's clock.
    """

    def __init__(self, group: str, settings: Settings, suspects: Suspects) -> None:
        self._suspects = suspects
        self._queue_per_slot = settings.routing.queue_per_slot
        self._targets = TargetGroup(group, settings.routing)
        self._ledger = GrantLedger(group, settings.node.name)
        self._queue = FairQueue()
        self._prober = Prober(settings)
        self._catalog = Catalog()
        self._hold_ms = 0.0
        self._answers = 0
        self._deferred: list[Effect] = []
        self._next_upkeep_at = 0.0
        self._next_probes_at = 0.0

    @property
    def waiting(self) -> int:
        """Number of waiting asks."""
        return len(self._queue)

    @property
    def outstanding(self) -> int:
        """Number of grants that have not come back."""
        return len(self._ledger)

    def phase(self, target_id: str) -> Phase | None:
        """Returns the phase of a target, or None if it is not in the group."""
        target = self._targets.get(target_id)
        return target.phase if target else None

    def configure(self, now: float, catalog: Catalog) -> list[Effect]:
        """Adopts a catalog; no new grant goes to a closed zone or a draining target."""
        self._catalog = catalog
        self._targets.configure(now, catalog)
        return self._refuse_without_candidate() + self._serve(now)

    def reset(self, now: float) -> list[Effect]:
        """Starts a lease: all targets are unknown and no grant is out.

        Asks that wait since an earlier lease are refused, as their seats no longer wait.
        """
        self._ledger.reset(now)
        self._targets.reset(now)
        waiting = self._queue.in_order()
        return [self._refuse_waiting(ask, Code.NODE_ISOLATED) for ask in reversed(waiting)]

    def ask(self, now: float, seat: str, ask: Ask) -> list[Effect]:
        """Grants a slot, queues the ask or refuses it."""
        code = self._refusal(now, ask)
        if code is not None:
            return [_refused(seat, ask, code)]
        deadline = now + ask.remaining_ms / 1000
        if not len(self._queue):
            target = self._targets.choose(now, seat, ask.excluded, False, 0.0)
            if target is not None:
                return [self._grant(now, seat, ask, deadline, target)]
        return self._enqueue(now, seat, ask, deadline)

    def release(self, now: float, seat: str, release: Release) -> list[Effect]:
        """Takes a grant back, with what its dispatch showed."""
        grant = self._ledger.give_back(seat, release.grant_id)
        effects: list[Effect] = []
        if grant is not None:
            self._take_back(grant, release.report)
        # A grant that was freed may be older than the target's evidence; only a break still counts.
        report = release.report
        if report is not None and (grant is not None or report.ending == Ending.BROKEN):
            effects += self._observe(now, seat, grant, report)
        return effects + self._serve(now)

    def bypass_report(self, now: float, seat: str, report: BypassReport) -> list[Effect]:
        """Takes what a dispatch without a grant showed."""
        return self._observe(now, seat, None, report.report) + self._serve(now)

    def withdraw(self, now: float, seat: str, withdraw: Withdraw) -> list[Effect]:
        """Forgets a waiting ask; a grant that crosses this message comes back as a release."""
        waiting = self._queue.find(seat, withdraw.ask_id)
        if waiting is not None:
            self._queue.remove(waiting)
        return []

    def held(self, now: float, seat: str, held: Held) -> list[Effect]:
        """Frees older grants of the seat that it does not list; their release was lost."""
        for grant in self._ledger.reconcile(now, seat, frozenset(held.grant_ids)):
            self._take_back(grant, None)
        return self._serve(now)

    def tick(self, now: float) -> list[Effect]:
        """Lets time pass: deadlines, silence, pauses and rests."""
        for grant in self._ledger.expire(now):
            self._target_of(grant).give_back(grant)
        effects, self._deferred = self._deferred, []
        if now >= self._next_upkeep_at:
            self._next_upkeep_at = now + UPKEEP_SECONDS
            effects += self._upkeep(now)
        if not len(self._queue):
            return effects
        return effects + self._refuse_overdue(now) + self._serve(now)

    def probed(self, now: float, target_id: str, report: LoadReport | None) -> None:
        """Takes the result of a probe; the next `tick` returns the effects.

        Args:
            now: seconds on the holder's clock.
            target_id: the target.
            report: its load report, or None if it gave none.
        """
        target = self._targets.get(target_id)
        if target is None:
            return
        before = target.phase
        target.probed(now, report)
        self._deferred += self._adopt_phase(now, target, before)

    def due_probes(self, now: float) -> list[Effect]:
        """Returns the probes to send now."""
        if now < self._next_probes_at:
            return []
        self._next_probes_at = now + UPKEEP_SECONDS
        heard_at = [(target.id, target.heard_at) for target in self._targets if target.is_open]
        return list(self._prober.due(now, heard_at))

    def _upkeep(self, now: float) -> list[Effect]:
        """Ends silence and rests of targets, and drops what no longer counts."""
        effects: list[Effect] = []
        for target in self._targets:
            before = target.phase
            target.check_silence(now)
            target.end_rest(now)
            effects += _phase_change(target, before)
        self._targets.refresh(now)
        self._queue.forget()
        self._prober.forget(now)
        return effects

    def _refusal(self, now: float, ask: Ask) -> Code | None:
        if self._suspects.is_blocked(now, ask.fingerprint):
            return Code.CRASH_SUSPECT
        if ask.remaining_ms <= 0:
            return Code.DEADLINE_BEFORE_START
        if not self._targets.has_candidate(ask.excluded):
            return Code.NO_CAPACITY
        return None

    def _enqueue(self, now: float, seat: str, ask: Ask, deadline: float) -> list[Effect]:
        repeated = self._queue.find(seat, ask.ask_id)
        if repeated is not None:
            # The seat has restarted and counts its asks anew; the earlier one is of no use.
            self._queue.remove(repeated)
        weight = max(1, self._catalog.customer(ask.customer).weight)
        if self._wait_ms(self._queue.ahead_of(ask.customer, weight)) > ask.remaining_ms:
            return [_refused(seat, ask, Code.NO_CAPACITY)]
        effects: list[Effect] = []
        if len(self._queue) >= self._queue_per_slot * self._targets.slots:
            overdrawn = self._queue.overdrawn(ask.customer, weight)
            if overdrawn is None:
                is_shared = self._queue.is_shared(ask.customer)
                code = Code.CUSTOMER_SHARE if is_shared else Code.QUEUE_FULL
                return [_refused(seat, ask, code)]
            effects.append(self._refuse_waiting(overdrawn, Code.CUSTOMER_SHARE))
        self._queue.add(seat, ask, deadline, weight)
        effects.append(Send(seat, Queued(ask.ask_id)))
        return effects + self._serve(now)

    def _serve(self, now: float) -> list[Effect]:
        """Grants free slots to waiting asks in fair order.

        An ask that no free target suits stays, and later asks are tried. Once a seat's ask without
        exclusions has found no target, no other ask of the seat can find one.
        """
        if not len(self._queue) or not self._targets.has_room(now):
            return []
        effects: list[Effect] = []
        seats_without_target: set[str] = set()
        wait_ms = self._wait_ms(len(self._queue))
        for waiting in self._queue.in_order():
            if waiting.seat in seats_without_target:
                continue
            code = self._overdue_code(now, waiting)
            if code is not None:
                effects.append(self._refuse_waiting(waiting, code))
                continue
            excluded = waiting.ask.excluded
            target = self._targets.choose(now, waiting.seat, excluded, True, wait_ms)
            if target is not None:
                self._queue.take(waiting)
                effects.append(
                    self._grant(now, waiting.seat, waiting.ask, waiting.deadline, target)
                )
            elif not self._targets.has_room(now):
                break
            elif not excluded:
                seats_without_target.add(waiting.seat)
        return effects

    def _grant(
        self, now: float, seat: str, ask: Ask, deadline: float, target: TargetState
    ) -> Effect:
        is_first_use = seat not in target.known_seats
        target.grant(self._targets.next_grant(), is_first_use)
        grant = self._ledger.give(now, seat, target.id, target.generation, deadline, is_first_use)
        return Send(seat, Granted(ask.ask_id, grant.id, target.id, is_first_use))

    def _take_back(self, grant: Grant, report: TargetReport | None) -> None:
        target = self._target_of(grant)
        target.give_back(grant)
        if report is None and not grant.is_first_use:
            # An unused grant may mean that the seat has lost its connection to the target. Without
            # this, the seat would get the same grant again and again.
            target.forget_seat(grant.seat)

    def _observe(
        self, now: float, seat: str, grant: Grant | None, report: TargetReport
    ) -> list[Effect]:
        target = self._targets.get(report.target_id)
        if target is None or (grant is not None and grant.target_id != target.id):
            return []
        before = target.phase
        target.observe(now, seat, grant, report, self._targets.median_ms)
        effects: list[Effect] = []
        if report.ending == Ending.ANSWERED:
            if grant is not None:
                self._measure_hold((now - grant.given_at) * 1000)
            effects += self._compare(now)
        return effects + self._adopt_phase(now, target, before)

    def _measure_hold(self, hold_ms: float) -> None:
        if not self._hold_ms:
            self._hold_ms = hold_ms
        self._hold_ms += (hold_ms - self._hold_ms) * HOLD_SHARE

    def _compare(self, now: float) -> list[Effect]:
        """Looks for slow targets after as many answers as the group has slots."""
        self._answers += 1
        if self._answers < self._targets.slots:
            return []
        self._answers = 0
        return [
            LogEvent("target-slow", (("target", target.id), ("phase", target.phase.value)))
            for target in self._targets.compare(now)
        ]

    def _wait_ms(self, ahead: float) -> float:
        """Expected wait of an ask that is served after `ahead` others."""
        limit = self._targets.limit
        if not limit:
            return float("inf")
        return (ahead + 1) * (self._hold_ms or self._targets.service_ms) / limit

    def _adopt_phase(self, now: float, target: TargetState, before: Phase) -> list[Effect]:
        if target.phase is before:
            return []
        self._targets.refresh(now)
        effects = _phase_change(target, before)
        if target.phase is Phase.DRAINING:
            effects += self._refuse_without_candidate()
        return effects

    def _refuse_without_candidate(self) -> list[Effect]:
        return [
            self._refuse_waiting(waiting, Code.NO_CAPACITY)
            for waiting in self._queue.in_order()
            if not self._targets.has_candidate(waiting.ask.excluded)
        ]

    def _refuse_overdue(self, now: float) -> list[Effect]:
        # The newest go first, which saves moving up the others of the same customer.
        return [
            self._refuse_waiting(waiting, code)
            for waiting in reversed(self._queue.in_order())
            if (code := self._overdue_code(now, waiting)) is not None
        ]

    def _overdue_code(self, now: float, waiting: WaitingAsk) -> Code | None:
        if waiting.deadline <= now:
            return Code.DEADLINE_BEFORE_START
        if self._suspects.is_blocked(now, waiting.ask.fingerprint):
            return Code.CRASH_SUSPECT
        return None

    def _refuse_waiting(self, waiting: WaitingAsk, code: Code) -> Effect:
        self._queue.remove(waiting)
        return _refused(waiting.seat, waiting.ask, code)

    def _target_of(self, grant: Grant) -> TargetState:
        # A target stays in its group while it has grants.
        return self._targets.get(grant.target_id)


def _refused(seat: str, ask: Ask, code: Code) -> Send:
    return Send(seat, Refused(ask.ask_id, code.value))


def _phase_change(target: TargetState, before: Phase) -> list[Effect]:
    if target.phase is before:
        return []
    return [LogEvent("target-phase", (("target", target.id), ("phase", target.phase.value)))]

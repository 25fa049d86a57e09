"""Roll-outs on a node: evidence reports to the deciding node, and the decider itself.

Every node counts what it observes and sends the counts to the nodes that read the store. The first
of these by name decides: it tests the counts, sends directives to all nodes and writes the status.
The others hold the same counts, so that the next decider can go on.
"""

import asyncio
import dataclasses
import json
import logging
from collections.abc import Callable
from typing import Any

from orioleloft_core.fleet import Fleet
from orioleloft_core.messages import NodeState, RolloutDirective, RolloutEvidence, StoreAccess
from orioleloft_core.registry import RegisteredTarget, TargetRegistry
from orioleloft_core.rolloutevidence import EvidenceCounter, EvidenceLedger, EvidenceRow, Verdict
from orioleloft_core.rollouts import (
    Directive,
    RolloutFindings,
    RolloutOrder,
    RolloutRun,
    Rollouts,
    VersionGate,
    is_repeated,
    usable_slots,
)
from orioleloft_core.routes import RouteTable
from orioleloftd.controlserver import ControlResponse
from orioleloftd.logs import log_event
from orioleloftd.peering import DatagramEndpoint
from orioleloftd.rolloutsync import RolloutStore
from orioleloftd.storesync import StoreError

ROLLOUTS_PATH = "/rollouts"
# Interval between reports of evidence and between steps of the decider, in seconds.
REPORT_PERIOD_S = 0.25
# Interval between directives, in seconds; three may be lost before one lapses.
DIRECTIVE_PERIOD_S = 0.5
# Reports after which all rows are sent again, as datagrams may be lost.
FULL_REPORT_INTERVAL = 4
# Maximum number of rows in a datagram.
MAX_ROWS_PER_DATAGRAM = 40
# Greatest time since an order that another node may state, in seconds.
MAX_ELAPSED_S = 3600.0
# Access to the store of the nodes that may decide.
_DECIDING_ACCESS = (StoreAccess.READING, StoreAccess.LOST)

_log = logging.getLogger(__name__)


class _Progress:
    """What this node holds of one order."""

    def __init__(self, now: float, order: RolloutOrder) -> None:
        self.order = order
        self.seen_at = now
        self.counter = EvidenceCounter()
        self.ledger = EvidenceLedger()
        self.run = RolloutRun(order)
        self.verdict = Verdict()
        # Requests at old targets and whether the node has switched, by node.
        self.reports: dict[str, tuple[int, bool]] = {}
        self.report_count = 0
        self.directive_at = float("-inf")
        self.must_read = False
        # Era in which the object was last read for a write.
        self.read_era = order.era

    def on_written_again(self, order: RolloutOrder) -> None:
        """Goes on with the same order after an operator has written it into a restored store.

        The counts of all nodes are cumulative, so they stay valid.
        """
        self.order = order
        self.read_era = order.era

    def elapsed(self, now: float) -> float:
        """Returns the time since the order was seen by any node, in seconds."""
        return now - self.seen_at

    def on_elapsed(self, now: float, elapsed_ms: int) -> None:
        """Notes when another node has seen the order, which may be earlier."""
        elapsed = min(MAX_ELAPSED_S, max(0.0, elapsed_ms / 1000))
        self.seen_at = min(self.seen_at, now - elapsed)

    def on_stored(self, order: RolloutOrder) -> None:
        """Adopts the order as it was read or written, unless a later revision is known."""
        if order.key == self.order.key and order.revision >= self.order.revision:
            self.order = order
            self.run.on_stored(order.state)


class RolloutControl:
    """Reports evidence, follows directives, and decides while this node is the decider.

    Args:
        versions: decides which versions get requests.
        registry: the registered targets.
        fleet: membership of this node.
        transport: sends datagrams.
        store: client of the platform's store.
        is_reading: returns whether this node can read the store.
        table: returns the route table, or None.
        in_flight: returns the requests of this node that run at a target.
        count: increments a metric.
        clock: returns seconds of the node's clock.
        unix_time_ms: returns the time of day in Unix milliseconds.
    """

    def __init__(
        self,
        *,
        versions: VersionGate,
        registry: TargetRegistry,
        fleet: Fleet,
        transport: DatagramEndpoint,
        store: RolloutStore,
        is_reading: Callable[[], bool],
        table: Callable[[], RouteTable | None],
        in_flight: Callable[[RegisteredTarget], int],
        count: Callable[..., None],
        clock: Callable[[], float],
        unix_time_ms: Callable[[], int],
    ) -> None:
        self._versions = versions
        self._registry = registry
        self._fleet = fleet
        self._transport = transport
        self._store = store
        self._is_reading = is_reading
        self._table = table
        self._in_flight = in_flight
        self._count = count
        self._clock = clock
        self._unix_time_ms = unix_time_ms
        self._progress: dict[str, _Progress] = {}
        self._warm_seen_at: dict[tuple[str, int], float] = {}
        self._logged_held_back: dict[str, list[str]] = {}
        self._write_task: asyncio.Task | None = None

    @property
    def undecided_count(self) -> int:
        """Number of orders without a final status."""
        return sum(not each.order.state.is_final for each in self._progress.values())

    # Evidence of this node; see `attemptrecorder.AttemptEvidence`.

    def on_attempt(
        self,
        target: RegisteredTarget,
        route: str,
        is_failure: bool,
        ratio: float | None,
        seconds: float,
    ) -> None:
        """Counts an attempt for the version of its target."""
        found = self._versions.evidence_target(target)
        if found is None:
            return
        key, counted_target = found
        progress = self._progress.get(target.service)
        if progress is None or progress.order.key != key:
            return
        progress.counter.record(route, counted_target, is_failure, ratio, seconds)
        version = "new" if counted_target else "old"
        outcome = "failure" if is_failure else "answer"
        self._count("rollout_answers", service=target.service, version=version, outcome=outcome)

    # Periodic work.

    async def run(self) -> None:
        """Reports and decides periodically until it is cancelled."""
        while self._versions.is_enabled:
            await asyncio.sleep(REPORT_PERIOD_S)
            try:
                self.tick()
            except Exception:
                # A defect in one order must not end the reports for all.
                _log.exception("roll-outs failed unexpectedly")

    def tick(self) -> None:
        """Reports new evidence, takes the decider's next steps and starts a write if one is due."""
        now = self._clock()
        self._follow_orders(now)
        is_decider = self.is_decider()
        for service, progress in self._progress.items():
            if progress.order.state.is_final and progress.run.wanted_state is progress.order.state:
                continue
            self._report(now, service, progress)
            progress.ledger.tick(now)
            if is_decider:
                self._decide(now, service, progress)
        self._log_held_back(now)
        is_writing = self._write_task is not None and not self._write_task.done()
        if is_decider and self._is_reading() and not is_writing and self._due_writes():
            self._write_task = asyncio.get_running_loop().create_task(self.write_statuses())

    def is_decider(self) -> bool:
        """Whether this node decides: it is the first by name of those that read the store.

        While no node can read the store, the first of those that have lost it decides. It can stop
        a version by a directive.
        """
        if not self._versions.is_enabled:
            return False
        own = self._fleet.own_state
        alive = self._fleet.alive()
        readers = [state.name for state in alive if state.store is StoreAccess.READING]
        if self._is_reading():
            return all(own.name < name for name in readers)
        if readers or own.store is not StoreAccess.LOST:
            return False
        return all(own.name < s.name for s in alive if s.store is StoreAccess.LOST)

    def _follow_orders(self, now: float) -> None:
        """Begins with orders that are new, and forgets those that are gone or replaced."""
        orders = {order.service: order for order in self._versions.orders}
        for service in [service for service in self._progress if service not in orders]:
            log_event(_log, "rollout withdrawn", service=service)
            del self._progress[service]
            self._warm_seen_at.clear()
        for service, order in orders.items():
            progress = self._progress.get(service)
            if progress is None or progress.order.key != order.key:
                is_again = progress is not None and is_repeated(order, progress.order)
                if is_again:
                    progress.on_written_again(order)
                else:
                    progress = self._progress[service] = _Progress(now, order)
                log_event(
                    _log,
                    "rollout ordered",
                    service=service,
                    version=order.target_version,
                    duration=order.duration,
                    state=order.state.name.lower(),
                    revision=order.revision,
                    again=is_again,
                )
            progress.on_stored(order)
            final = self._versions.final_state(service)
            if final is not None:
                progress.run.on_stored(final)
            elif self._versions.is_rolled_back(service):
                progress.run.on_found_bad("directive of another node")

    def _report(self, now: float, service: str, progress: _Progress) -> None:
        """Sends the counts of this node to the nodes that may decide, if there are new ones."""
        own = self._fleet.own_state
        progress.report_count += 1
        is_full = progress.report_count % FULL_REPORT_INTERVAL == 0
        rows = progress.counter.rows(only_unreported=not is_full)
        progress.ledger.merge(own.name, own.incarnation, rows)
        is_switched = self._versions.is_switched(now, service)
        old_requests = sum(map(self._in_flight, self._versions.old_targets(service)))
        progress.reports[own.name] = old_requests, is_switched
        if not rows and not is_switched:
            return
        elapsed_ms = round(1000 * progress.elapsed(now))
        datagram = RolloutEvidence(
            own, service, progress.order.key, elapsed_ms, old_requests, is_switched, ()
        )
        for first in range(0, max(1, len(rows)), MAX_ROWS_PER_DATAGRAM):
            self._send_rows(datagram, rows[first : first + MAX_ROWS_PER_DATAGRAM])

    def _send_rows(self, datagram: RolloutEvidence, rows: list[EvidenceRow]) -> None:
        """Sends rows in one datagram, or in several if they exceed its size."""
        filled = dataclasses.replace(datagram, rows=tuple(rows))
        if self._transport.send(self._fleet.broadcast(filled, _may_decide)) or len(rows) < 2:
            return
        half = len(rows) // 2
        self._send_rows(datagram, rows[:half])
        self._send_rows(datagram, rows[half:])

    def _log_held_back(self, now: float) -> None:
        held_back = self._versions.held_back(now)
        for service, versions in held_back.items():
            if self._logged_held_back.get(service) != versions:
                admission = self._versions.admission(now, service).value
                log_event(
                    _log, "version held back", service=service, versions=versions, gets=admission
                )
        self._logged_held_back = held_back

    # Messages of other nodes.

    def on_datagram(self, datagram: RolloutEvidence | RolloutDirective) -> None:
        """Handles evidence or a directive, and relays it if this node is a relay."""
        if not self._versions.is_enabled:
            return
        now = self._clock()
        match datagram:
            case RolloutEvidence():
                self._on_evidence(now, datagram)
                self._transport.send(self._fleet.relay(datagram, _may_decide))
            case RolloutDirective():
                self._on_directive(now, datagram)
                self._transport.send(self._fleet.relay(datagram))

    def _on_evidence(self, now: float, datagram: RolloutEvidence) -> None:
        progress = self._progress.get(datagram.service)
        if progress is None or progress.order.key != datagram.order:
            return
        sender = datagram.state
        progress.on_elapsed(now, datagram.elapsed_ms)
        progress.reports[sender.name] = datagram.old_requests, datagram.is_switched
        progress.ledger.merge(sender.name, sender.incarnation, datagram.rows)

    def _on_directive(self, now: float, datagram: RolloutDirective) -> None:
        progress = self._progress.get(datagram.service)
        if progress is not None and progress.order.key == datagram.directive.order:
            progress.on_elapsed(now, datagram.elapsed_ms)
        self._adopt(now, datagram.service, datagram.directive)

    def _adopt(self, now: float, service: str, directive: Directive) -> None:
        if self._versions.on_directive(now, directive):
            log_event(
                _log,
                "rollout directive adopted",
                service=service,
                action=directive.action.name.lower(),
                sender=directive.sender,
                gets=self._versions.admission(now, service).value,
            )

    # The decider.

    def _decide(self, now: float, service: str, progress: _Progress) -> None:
        progress.verdict = progress.ledger.judge(len(self._new_targets(service, progress)))
        findings = self._findings(now, service, progress)
        has_changed = progress.run.step(findings, progress.verdict.text)
        if has_changed:
            self._log_step(now, service, progress)
        if has_changed or now - progress.directive_at >= DIRECTIVE_PERIOD_S:
            progress.directive_at = now
            self._direct(now, service, progress)

    def _log_step(self, now: float, service: str, progress: _Progress) -> None:
        self._count("rollout_steps", service=service, phase=progress.run.phase)
        log_event(
            _log,
            "rollout step",
            service=service,
            version=progress.order.target_version,
            phase=progress.run.phase,
            reason=progress.run.reason,
            elapsed=round(progress.elapsed(now), 2),
            evidence=progress.verdict.text,
            counts=progress.ledger.summary(),
        )

    def _direct(self, now: float, service: str, progress: _Progress) -> None:
        own = self._fleet.own_state
        elapsed = progress.elapsed(now)
        step = int(elapsed / DIRECTIVE_PERIOD_S)
        directive = Directive(own.name, progress.order.key, progress.run.action, step)
        self._adopt(now, service, directive)
        datagram = RolloutDirective(own, service, directive, round(1000 * elapsed))
        self._transport.send(self._fleet.broadcast(datagram))

    def _new_targets(self, service: str, progress: _Progress) -> list[RegisteredTarget]:
        version = progress.order.target_version
        targets = self._registry.eligible_targets(service)
        return [target for target in targets if target.version == version]

    def _findings(self, now: float, service: str, progress: _Progress) -> RolloutFindings:
        new = self._new_targets(service, progress)
        warm = {target.id: self._is_warm(now, target) for target in new}
        old = [
            target
            for target in self._registry.eligible_targets(service)
            if target.version != progress.order.target_version
        ]
        return RolloutFindings(
            elapsed=progress.elapsed(now),
            is_bad=progress.verdict.is_bad,
            evidence=progress.verdict.evidence,
            doubt=progress.verdict.doubt,
            answers=progress.ledger.answers,
            usable_slots=usable_slots(new, warm),
            old_slots=sum(target.slots for target in old),
            running=progress.ledger.running(now),
            is_drained=self._is_drained(progress),
            can_write=self._is_reading(),
        )

    def _is_warm(self, now: float, target: RegisteredTarget) -> bool:
        """Whether a target has run for the cold start of its service, by either clock."""
        table = self._table()
        service = table.service(target.service) if table else None
        cold_start = service.cold_start if service else 0.0
        seen_at = self._warm_seen_at.setdefault((target.id, target.started_ms), now)
        age = (self._unix_time_ms() - target.started_ms) / 1000
        return now - seen_at >= cold_start or age >= cold_start

    def _is_drained(self, progress: _Progress) -> bool:
        """Whether all live nodes that have reported have switched and have no old requests."""
        alive = {state.name for state in self._fleet.alive()} | {self._fleet.own_state.name}
        reports = [report for name, report in progress.reports.items() if name in alive]
        return all(is_switched and not requests for requests, is_switched in reports)

    # Writes.

    def _due_writes(self) -> list[tuple[str, _Progress]]:
        return [
            (service, progress)
            for service, progress in self._progress.items()
            if progress.must_read
            or self._is_restored(progress)
            or (
                not progress.order.state.is_final
                and progress.order.state is not progress.run.wanted_state
            )
        ]

    def _is_restored(self, progress: _Progress) -> bool:
        """Whether the store was restored since the order was read, so that its status may be lost.

        The order in force is held for some time then, but its revision is of no use for a write.
        """
        era = self._versions.version.era
        return progress.order.era < era and progress.read_era < era

    async def write_statuses(self) -> None:
        """Writes the statuses that are due; reads an object first whose state is not certain."""
        for service, progress in self._due_writes():
            try:
                if progress.must_read or self._is_restored(progress):
                    await self._read_again(service, progress)
                else:
                    await self._write(service, progress)
            except StoreError as error:
                # The write may have been applied.
                progress.must_read = True
                log_event(
                    _log,
                    "rollout status not written",
                    logging.WARNING,
                    service=service,
                    reason=str(error),
                )
            except Exception:
                _log.exception("write of a roll-out failed unexpectedly")

    async def _read_again(self, service: str, progress: _Progress) -> None:
        order = await self._store.read_rollout(service)
        progress.must_read = False
        progress.read_era = self._versions.version.era
        if order is not None:
            progress.on_stored(order)

    async def _write(self, service: str, progress: _Progress) -> None:
        state = progress.run.wanted_state
        written = await self._store.write_rollout_status(progress.order, state)
        if written is None:
            log_event(_log, "rollout changed meanwhile", service=service, state=state.name.lower())
            progress.must_read = True
            return
        progress.on_stored(written)
        log_event(
            _log,
            "rollout status written",
            service=service,
            version=progress.order.target_version,
            state=state.name.lower(),
            revision=written.revision,
            reason=progress.run.reason,
            evidence=progress.verdict.text,
            counts=progress.ledger.summary(),
        )

    # Start and control port.

    async def read_initial(self) -> Rollouts | None:
        """Returns the orders for a node that starts without a peer; None without roll-outs."""
        if not self._versions.is_enabled:
            return None
        return await self._store.read_rollouts(allow_stale=True)

    def answer(self) -> ControlResponse:
        """Answers a request for the state of the orders, for the operators' command."""
        now = self._clock()
        orders = [self._describe(now, *item) for item in sorted(self._progress.items())]
        document = {
            "node": self._fleet.own_state.name,
            "is_decider": self.is_decider(),
            "orders": orders,
            "held_back": self._versions.held_back(now),
        }
        return 200, "application/json", json.dumps(document).encode()

    def _describe(self, now: float, service: str, progress: _Progress) -> dict[str, Any]:
        return {
            "service": service,
            "version": progress.order.target_version,
            "state": progress.order.state.name.lower(),
            "phase": progress.run.phase,
            "reason": progress.run.reason,
            "gets": self._versions.admission(now, service).value,
            "elapsed": round(progress.elapsed(now), 2),
            "duration": progress.order.duration,
            "evidence": progress.ledger.judge(len(self._new_targets(service, progress))).text,
            "counts": progress.ledger.summary(),
        }


def _may_decide(state: NodeState) -> bool:
    return state.store in _DECIDING_ACCESS

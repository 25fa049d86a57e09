"""The decisions of one entry node: events in, effects out."""

import collections
import random
from collections.abc import Iterator

from orioleloft_core import addresses
from orioleloft_core.addresses import EntryAddress
from orioleloft_core.admission import Admission
from orioleloft_core.budget import Backoff, RetryBudget, TokenBucket
from orioleloft_core.catalog import Catalog, Target
from orioleloft_core.effects import Answer, Dispatch, Effect, Send, Stopped
from orioleloft_core.errors import Code
from orioleloft_core.events import (
    AssignmentRead,
    CallerLeft,
    DispatchFinished,
    Event,
    HeadRead,
    MessageArrived,
    ProbeFinished,
    RequestArrived,
    StopRequested,
    Tick,
)
from orioleloft_core.holdings import Holdings
from orioleloft_core.idempotency import AnswerNow, AskOwner, Join, KeyTable, Run
from orioleloft_core.lease import LeaseKeeper
from orioleloft_core.lifecycle import DRAINING, LEAVING, SERVING, STARTING, STOPPED, NodeLifecycle
from orioleloft_core.membership import Membership
from orioleloft_core.messages import (
    Ask,
    AssignmentData,
    BypassReport,
    CatalogData,
    FetchAssignment,
    FetchCatalog,
    Granted,
    Held,
    KeyQuery,
    KeyState,
    Message,
    NodeFacts,
    Ping,
    Pong,
    Queued,
    Refused,
    Release,
    Suspect,
    Withdraw,
)
from orioleloft_core.pacing import Pacer
from orioleloft_core.request import Request, error_reply
from orioleloft_core.settings import Settings
from orioleloft_core.shares import DispatchShares
from orioleloft_core.spread import Spread
from orioleloft_core.status import NodeStatus, TargetStatus
from orioleloft_core.suspects import Suspects

TICK_SECONDS = 0.01
MS_PER_SECOND = 1000

# Retries that may be made at once before any request has earned one.
RETRY_BURST = 10

# Without an event for this long, ticks included, the process was paused. Grants that waited in
# the socket meanwhile may have been given by a holder that has lost its lease since.
PAUSE_SECONDS = 0.5

# Time after a pause in which messages that waited in the socket are delivered.
STALE_GRANT_SECONDS = 0.1


_REFUSAL_MESSAGES = {
    Code.NODE_STARTING: "the node has not loaded a catalog yet.",
    Code.NODE_STOPPING: "the node is stopping and takes no new work.",
    Code.NODE_ISOLATED: "the node has lost contact with the platform and with most other nodes.",
}


class Node:
    """Composes the parts of the core; it owns no socket, clock or global random source."""

    def __init__(
        self, settings: Settings, incarnation: str, started_ms: int, rng: random.Random
    ) -> None:
        """Builds a node that knows nothing yet.

        Args:
            settings: checked settings.
            incarnation: 16 hex digits, new for each process.
            started_ms: wall clock at the start in milliseconds.
            rng: random source for jitter and choices.
        """
        self._settings = settings
        self._incarnation = incarnation
        self._started_ms = started_ms
        self._rng = rng
        self._seat = settings.node.name
        self._membership = Membership(settings, incarnation)
        self._bucket = TokenBucket(settings.platform.calls_per_second, settings.platform.burst)
        self._lease = LeaseKeeper(settings, incarnation, pacer=self._build_pacer(), rng=rng)
        self._spread = Spread(settings, pacer=self._build_pacer(), rng=rng)
        self._suspects = Suspects(settings)
        self._shares = DispatchShares()
        self._keys = KeyTable(settings, self._seat, incarnation)
        self._lifecycle = NodeLifecycle()
        self._holdings = Holdings(settings, self._lease, self._suspects)
        self._routing = self._build_routing()
        self._last_event_at: float | None = None
        self._stale_until = 0.0
        self._in_force_since = 0.0
        self._leaving_since = 0.0
        self._is_stopped = False

    @property
    def settings(self) -> Settings:
        """Settings of the node."""
        return self._settings

    @property
    def incarnation(self) -> str:
        """Incarnation of the node's process."""
        return self._incarnation

    @property
    def started_ms(self) -> int:
        """Wall clock at the start in milliseconds."""
        return self._started_ms

    @property
    def state(self) -> str:
        """Lifecycle state."""
        return self._lifecycle.state

    @property
    def catalog(self) -> Catalog:
        """Catalog in force on this node."""
        return self._spread.catalog

    def holder_seat(self, group: str) -> str | None:
        """Returns the seat that holds the group's lease as far as this node knows."""
        holder = self._lease.holder(group)
        return holder.seat if holder else None

    def is_suspected(self, now: float, seat: str) -> bool:
        """Tells whether another seat has been silent for too long."""
        return seat != self._seat and self._membership.is_suspected(now, seat)

    def handle(self, now: float, event: Event) -> list[Effect]:
        """Takes one event and returns what is to be done.

        Args:
            now: seconds on the node's monotonic clock.
            event: what happened.
        """
        self._note_pause(now)
        return self._settle(now, self._on_event(now, event))

    def may_start(self, now: float, dispatch_id: str) -> bool:
        """Tells whether a dispatch may send its first byte at this moment."""
        self._note_pause(now)
        # A retry or a queued request of a node that has lost contact would go by an old catalog.
        if now < self._stale_until or not self._spread.is_fresh(now, self._membership):
            return self._routing.deny(dispatch_id)
        return self._routing.may_start(now, dispatch_id)

    def addresses(self, now: float, zone: str) -> tuple[EntryAddress, ...]:
        """Returns entry addresses for a caller; see `addresses.choose`."""
        if not self._spread.is_fresh(now, self._membership):
            return ()
        known = [
            peer.facts
            for seat, peer in self._membership.peers.items()
            if not self._membership.is_suspected(now, seat)
        ]
        return addresses.choose([self._facts(now), *known], self.catalog, zone, self._rng)

    def status(self, now: float) -> NodeStatus:
        """Returns the node's state for operators."""
        node = self._settings.node
        return NodeStatus(
            seat=self._seat,
            incarnation=self._incarnation,
            zone=node.zone,
            state=self.state,
            catalog_version=self.catalog.version,
            in_force_ms=self._in_force_ms(now),
            targets=tuple(self._target_statuses(now)),
        )

    def _target_statuses(self, now: float) -> Iterator[TargetStatus]:
        by_service: dict[str, list[Target]] = collections.defaultdict(list)
        for target in self.catalog.targets:
            by_service[target.service].append(target)
        for targets in by_service.values():
            for target, share in zip(targets, self._shares.of(now, targets), strict=True):
                yield TargetStatus(target.id, self._phase(target), share)

    def _phase(self, target: Target) -> str:
        is_open = self.catalog.accepts_new_work(target.id)
        return self._holdings.phase(target.id) or ("open" if is_open else "closed")

    def _build_pacer(self) -> Pacer:
        platform = self._settings.platform
        first, cap = platform.backoff_first_ms, platform.backoff_cap_ms
        return Pacer(self._bucket, Backoff(first / MS_PER_SECOND, cap / MS_PER_SECOND, self._rng))

    def _build_routing(self) -> Admission:
        budget = RetryBudget(self._settings.requests.retry_share, RETRY_BURST)
        return Admission(
            self._settings, self._seat, self._incarnation, self, budget, self._suspects
        )

    def _note_pause(self, now: float) -> None:
        last, self._last_event_at = self._last_event_at, now
        if last is not None and now - last > PAUSE_SECONDS:
            self._stale_until = now + STALE_GRANT_SECONDS

    def _on_event(self, now: float, event: Event) -> list[Effect]:
        match event:
            case RequestArrived(request):
                return self._on_request(now, request)
            case MessageArrived(seat, message):
                return self._on_message(now, seat, message)
            case DispatchFinished(dispatch_id, result):
                return self._routing.on_finished(now, dispatch_id, result)
            case CallerLeft(request_id):
                return self._on_caller_left(now, request_id)
            case Tick():
                return self._on_tick(now)
            case _:
                return self._on_control_event(now, event)

    def _on_control_event(self, now: float, event: Event) -> list[Effect]:
        match event:
            case ProbeFinished(target_id, report):
                self._holdings.probed(now, target_id, report)
            case HeadRead():
                return self._configure(now, self._spread.on_head_read(now, event))
            case AssignmentRead():
                return self._lease.on_read(now, event)
            case StopRequested():
                self._on_stop(now)
        return []

    def _on_request(self, now: float, request: Request) -> list[Effect]:
        if request.is_idempotent:
            return self._start(now, request)
        match self._keys.begin(now, request, self._incarnation_on):
            case AnswerNow(reply):
                return [Answer(request.id, reply)]
            case AskOwner(seat, query):
                return [Send(seat, query)]
            case Run():
                return self._start(now, request)
            case Join():
                return []

    def _start(self, now: float, request: Request) -> list[Effect]:
        code = self._refusal_code(now)
        if code is not None:
            return [_refusal(request, code, _REFUSAL_MESSAGES[code])]
        return self._routing.submit(now, request)

    def _refusal_code(self, now: float) -> Code | None:
        if self.state == STARTING:
            return Code.NODE_STARTING
        if self.state in (DRAINING, STOPPED):
            return Code.NODE_STOPPING
        if not self._spread.is_fresh(now, self._membership):
            return Code.NODE_ISOLATED
        return None

    def _on_caller_left(self, now: float, request_id: str) -> list[Effect]:
        self._keys.cancel(now, request_id)
        return self._routing.cancel(now, request_id)

    def _on_message(self, now: float, seat: str, message: Message) -> list[Effect]:
        match message:
            case Ask():
                return self._holdings.ask(now, seat, message)
            case Release():
                return self._holdings.release(now, seat, message)
            case Granted():
                return self._on_granted(now, seat, message)
            case Queued():
                return self._routing.on_queued(now, seat, message)
            case Refused():
                return self._routing.on_refused(now, seat, message)
            case Withdraw():
                return self._holdings.withdraw(now, seat, message)
            case Held():
                return self._holdings.held(now, seat, message)
            case BypassReport():
                return self._holdings.bypass_report(now, seat, message)
            case _:
                return self._on_control_message(now, seat, message)

    def _on_control_message(self, now: float, seat: str, message: Message) -> list[Effect]:
        match message:
            case Ping():
                return self._on_ping(now, message)
            case Pong():
                return self._on_pong(now, message)
            case KeyQuery():
                return [Send(seat, self._keys.on_query(now, message))]
            case KeyState():
                return self._keys.on_state(now, message)
            case FetchCatalog():
                return self._spread.on_fetch(now, seat, message)
            case CatalogData():
                return self._configure(now, self._spread.on_data(now, message))
            case FetchAssignment():
                return self._lease.on_fetch(now, seat, message)
            case AssignmentData():
                self._lease.on_data(now, message)
            case Suspect():
                self._suspects.merge(now, message)
        return []

    def _on_granted(self, now: float, seat: str, granted: Granted) -> list[Effect]:
        if now >= self._stale_until or seat == self._seat:
            return self._routing.on_granted(now, seat, granted)
        unused = Send(seat, Release(granted.grant_id, None))
        refused = Refused(granted.ask_id, Code.NODE_ISOLATED)
        return [unused, *self._routing.on_refused(now, seat, refused)]

    def _on_ping(self, now: float, ping: Ping) -> list[Effect]:
        if not self._membership.accepts(ping.facts):
            return []
        effects = self._membership.on_ping(now, ping, self._facts(now))
        self._lease.on_facts(now, ping.facts)
        self._spread.on_facts(now, ping.facts)
        return effects

    def _on_pong(self, now: float, pong: Pong) -> list[Effect]:
        sent_at = self._membership.on_pong(now, pong)
        if sent_at is not None:
            self._lease.on_pong(now, pong.facts, sent_at)
            self._spread.on_facts(now, pong.facts, sent_at)
            self._routing.on_heard(now, pong.facts.seat)
        return []

    def _on_tick(self, now: float) -> list[Effect]:
        self._lease.on_heard_majority(now)
        effects = self._follow_lifecycle(now)
        if self._membership.is_ping_due(now):
            effects.extend(self._membership.tick(now, self._facts(now)))
        effects.extend(self._spread.tick(now, self._membership))
        closed = [zone.name for zone in self.catalog.zones if not zone.is_open]
        effects.extend(
            self._lease.propose(
                now, self.catalog.groups, self._membership, self.state, closed_zones=closed
            )
        )
        effects.extend(self._holdings.tick(now))
        effects.extend(self._routing.tick(now))
        effects.extend(self._keys.tick(now))
        return effects

    def _follow_lifecycle(self, now: float) -> list[Effect]:
        state = self.state
        if state == STARTING and self._spread.is_loaded(now, self._membership):
            self._lifecycle.handle("ready")
        elif state == LEAVING and now >= self._leaving_since + self._leaving_seconds():
            self._lifecycle.handle("lifetime_over")
        elif state == DRAINING and not (self._routing.in_flight or self._keys.waiting):
            self._lifecycle.handle("idle")
        if self.state != STOPPED or self._is_stopped:
            return []
        self._is_stopped = True
        return [Stopped()]

    def _leaving_seconds(self) -> float:
        stop = self._settings.stop
        return (stop.address_lifetime_ms + stop.margin_ms) / MS_PER_SECOND

    def _on_stop(self, now: float) -> None:
        if self.state == SERVING:
            self._leaving_since = now
            # The other nodes name this one in address answers until they hear of the stop. A wait
            # for the next heartbeat would use up the whole margin.
            self._membership.announce()
        self._lifecycle.handle("stop")

    def _configure(self, now: float, is_changed: bool) -> list[Effect]:
        if not is_changed:
            return []
        self._in_force_since = now
        return self._holdings.configure(now, self.catalog)

    def _settle(self, now: float, effects: list[Effect]) -> list[Effect]:
        """Delivers messages to the own seat and completes the answers of keyed requests."""
        pending = collections.deque(effects)
        settled: list[Effect] = []
        while pending:
            effect = pending.popleft()
            match effect:
                case Send(seat, message) if seat == self._seat:
                    pending.extend(self._on_message(now, seat, message))
                case Answer(request_id, reply):
                    settled.append(effect)
                    settled.extend(self._keys.finish(now, request_id, reply))
                case _:
                    self._count(now, effect)
                    settled.append(effect)
        return settled

    def _count(self, now: float, effect: Effect) -> None:
        match effect:
            case Dispatch(_, target_id):
                self._shares.count(now, target_id)

    def _incarnation_on(self, seat: str) -> str | None:
        peer = self._membership.peers.get(seat)
        return peer.facts.incarnation if peer else None

    def _in_force_ms(self, now: float) -> int:
        return int((now - self._in_force_since) * MS_PER_SECOND)

    def _facts(self, now: float) -> NodeFacts:
        node = self._settings.node
        return NodeFacts(
            seat=self._seat,
            incarnation=self._incarnation,
            started_ms=self._started_ms,
            state=self.state,
            zone=node.zone,
            entry_address=node.listen_address,
            catalog_version=self.catalog.version,
            in_force_ms=self._in_force_ms(now),
            epoch=self._lease.reported_epoch,
            key_window=self._keys.window(now),
            platform_age_ms=self._spread.platform_age_ms(now),
        )


def _refusal(request: Request, code: Code, message: str) -> Answer:
    return Answer(request.id, error_reply(code, message))

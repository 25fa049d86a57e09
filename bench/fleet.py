"""Driver of several decision cores with an injected clock and fakes at their interfaces."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from bench.targets import FakeTarget, Job
from orioleloft_core import effects, events
from orioleloft_core.catalog import Catalog, Customer, Service, Target, Zone
from orioleloft_core.errors import Outcome
from orioleloft_core.node import TICK_SECONDS, Node
from orioleloft_core.request import DispatchResult, Ending, Request
from orioleloft_core.settings import (
    FleetSettings,
    NodeSettings,
    RoutingMode,
    RoutingSettings,
    Seat,
    Settings,
)

ACROSS_ZONES_SECONDS = 0.001
WITHIN_ZONE_SECONDS = 0.0002
CONNECT_SECONDS = 0.001
PROBE_SECONDS = 0.006
PLATFORM_SECONDS = 0.003
WATCH_SECONDS = 2.0
# Bytes of a probe and its answer on the wire, headers included.
PROBE_BYTES = 400


@dataclasses.dataclass(frozen=True)
class Shape:
    """Places and services of one deployment."""

    name: str
    zones: tuple[str, ...]
    services: tuple[Service, ...]
    endpoints: tuple[int, ...]


BOLETERIA = Shape(
    "boleteria",
    ("gt-a", "gt-b", "gt-c"),
    (Service("availability", 2), Service("ledger", 2), Service("collections", 2)),
    (12, 10, 6),
)
DASGUPTA = Shape(
    "dasgupta",
    ("kolkata", "howrah", "bardhaman", "nadia"),
    (
        Service("van-tracker", 6, connections=250, overlap=6),
        Service("route-ledger", 6, connections=250, overlap=6),
        Service("booking-desk", 6, connections=250, overlap=6),
    ),
    (14, 14, 8),
)


def catalog_of(shape: Shape, version: int = 1, closed: frozenset[str] = frozenset()) -> Catalog:
    """Builds the catalog of a deployment, targets dealt to the zones in turn."""
    ports = itertools.count(20000)
    targets = [
        Target(
            service.name,
            f"{service.name[:2]}-{index:02d}",
            "127.0.0.1",
            next(ports),
            shape.zones[index % len(shape.zones)],
        )
        for service, count in zip(shape.services, shape.endpoints, strict=True)
        for index in range(count)
    ]
    zones = tuple(Zone(name, "", name not in closed) for name in shape.zones)
    return Catalog(version, zones, shape.services, tuple(targets), (Customer("large"),))


@dataclasses.dataclass
class Outcomes:
    """What callers saw; latencies in microseconds."""

    latency: HdrHistogram
    by_customer: dict[str, HdrHistogram]
    sent: int = 0
    complete: int = 0
    refused: int = 0
    failed: int = 0
    small_not_complete: int = 0


def new_histogram() -> HdrHistogram:
    """Histogram from 1 us to 60 s with three digits."""
    return HdrHistogram(1, 60_000_000, 3)


class Fleet:
    """Nodes, targets and the platform on one simulated clock."""

    def __init__(
        self,
        shape: Shape,
        nodes: int,
        mode: RoutingMode,
        seed: int,
        routing: RoutingSettings | None = None,
    ) -> None:
        """Builds a fleet that has not started.

        Args:
            shape: deployment.
            nodes: number of entry nodes.
            mode: routing of every node.
            seed: seed of all random sources.
            routing: limits to use instead of the defaults; its mode is replaced.
        """
        self.now = 0.0
        self.shape = shape
        self.rng = random.Random(seed)
        self.catalog = catalog_of(shape)
        self.outcomes = Outcomes(new_histogram(), {})
        self.measured_from = 0.0
        self.probes: dict[str, int] = {}
        self.platform_calls = 0
        self.messages = 0
        self.on_answer: Callable[[float, float, Outcome], None] | None = None
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._epoch = 0
        self._holders: tuple[tuple[str, str, str], ...] = ()
        self._watchers: list[Callable[[], None]] = []
        self._open: dict[str, dict[str, float]] = {}
        self._jobs: dict[tuple[str, str], tuple[FakeTarget, Job]] = {}
        self._connections: dict[tuple[str, str], int] = {}
        self.targets = {
            target.id: FakeTarget(
                target,
                self.catalog.service(target.service),
                random.Random(f"{seed}/{target.id}"),
                self.after,
                lambda: self.now,
            )
            for target in self.catalog.targets
        }
        self.zones: dict[str, str] = {}
        self.nodes = self._build_nodes(nodes, mode, seed, routing or RoutingSettings())

    def after(self, delay: float, call: Callable[[], None]) -> None:
        """Calls a function after a delay in seconds."""
        heapq.heappush(self._heap, (self.now + delay, next(self._order), call))

    def run_until(self, end: float) -> None:
        """Runs all events up to a time in seconds."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = end

    def submit(self, seat: str, request: Request) -> None:
        """Lets a caller's request arrive at a node."""
        self._open[seat][request.id] = self.now
        self.outcomes.sent += 1
        self.feed(seat, events.RequestArrived(request))

    def publish(self, catalog: Catalog) -> None:
        """Accepts a new catalog at the platform."""
        self.catalog = catalog
        watchers, self._watchers = self._watchers, []
        for wake in watchers:
            wake()

    def feed(self, seat: str, event: events.Event) -> None:
        """Passes an event to a node and carries out its effects."""
        node = self.nodes.get(seat)
        if node is None:
            return
        for effect in node.handle(self.now, event):
            self._carry_out(seat, effect)

    def _build_nodes(
        self, count: int, mode: RoutingMode, seed: int, routing: RoutingSettings
    ) -> dict[str, Node]:
        zones = self.shape.zones
        seats = tuple(
            Seat(f"entry-{index:02d}", zones[index % len(zones)], f"127.0.0.1:{30000 + index}")
            for index in range(count)
        )
        routing = dataclasses.replace(routing, mode=mode)
        nodes = {}
        for index, seat in enumerate(seats):
            settings = Settings(
                NodeSettings(seat.name, seat.zone), FleetSettings(seats), routing=routing
            )
            self.zones[seat.name] = seat.zone
            self._open[seat.name] = {}
            nodes[seat.name] = Node(
                settings, f"{index:016x}", 1, random.Random(f"{seed}/{seat.name}")
            )
            self.after(self.rng.random() * TICK_SECONDS, lambda name=seat.name: self._tick(name))
        return nodes

    def _tick(self, seat: str) -> None:
        self.feed(seat, events.Tick())
        if seat in self.nodes:
            self.after(TICK_SECONDS, lambda: self._tick(seat))

    def _carry_out(self, seat: str, effect: effects.Effect) -> None:
        match effect:
            case effects.Send(to, message):
                self.messages += 1
                event = events.MessageArrived(seat, message)
                if to in self.zones:
                    delay = self._delay(self.zones[seat], self.zones[to])
                    self.after(delay, lambda: self.feed(to, event))
            case effects.Answer(request_id, reply):
                self._record(seat, request_id, reply.outcome)
            case effects.Dispatch():
                self._dispatch(seat, effect)
            case effects.CancelDispatch(dispatch_id):
                self._cancel(seat, dispatch_id)
            case effects.Probe(target_id):
                self._probe(seat, target_id)
            case _:
                self._call_platform(seat, effect)

    def _delay(self, here: str, there: str) -> float:
        base = WITHIN_ZONE_SECONDS if here == there else ACROSS_ZONES_SECONDS
        return base * (1 + 0.2 * self.rng.random())

    def _record(self, seat: str, request_id: str, outcome: Outcome) -> None:
        arrived = self._open[seat].pop(request_id, None)
        if arrived is None:
            return
        if arrived < self.measured_from:
            return
        micros = max(1, int((self.now - arrived) * 1e6))
        match outcome:
            case Outcome.COMPLETE:
                self.outcomes.complete += 1
            case Outcome.NOT_RUN:
                self.outcomes.refused += 1
            case Outcome.UNKNOWN:
                self.outcomes.failed += 1
        self.outcomes.latency.record_value(micros)
        customer = request_id.partition("/")[0]
        if outcome is not Outcome.COMPLETE and customer != "large":
            self.outcomes.small_not_complete += 1
        self.outcomes.by_customer.setdefault(customer, new_histogram()).record_value(micros)
        if self.on_answer:
            self.on_answer(arrived, self.now, outcome)

    def _dispatch(self, seat: str, effect: effects.Dispatch) -> None:
        target = self.targets[effect.target_id]
        link = (seat, effect.target_id)
        is_connected = self._connections.get(link) == target.incarnation
        if effect.needs_live_connection and not is_connected:
            self._finish(seat, effect.dispatch_id, DispatchResult(Ending.NOT_SENT))
            return
        wait = 0.0 if is_connected else CONNECT_SECONDS
        self.after(wait, lambda: self._start(seat, effect, target))

    def _start(self, seat: str, effect: effects.Dispatch, target: FakeTarget) -> None:
        node = self.nodes.get(seat)
        if node is None:
            return
        if not node.may_start(self.now, effect.dispatch_id):
            self._finish(seat, effect.dispatch_id, DispatchResult(Ending.NOT_SENT))
            return
        delay = self._delay(self.zones[seat], target.target.zone)

        def done(result: DispatchResult) -> None:
            if result.ending is Ending.ANSWERED:
                self._connections[(seat, effect.target_id)] = target.incarnation
            took = self.now - started + delay
            result = dataclasses.replace(result, service_ms=took * 1000)
            self._jobs.pop((seat, effect.dispatch_id), None)
            self.after(delay, lambda: self._finish(seat, effect.dispatch_id, result))

        started = self.now
        job = Job(effect.request.deadline, done)
        self._jobs[(seat, effect.dispatch_id)] = (target, job)
        self.after(delay, lambda: None if job.is_cancelled else target.accept(job))

    def _finish(self, seat: str, dispatch_id: str, result: DispatchResult) -> None:
        event = events.DispatchFinished(dispatch_id, result)
        self.after(0.0, lambda: self.feed(seat, event))

    def _cancel(self, seat: str, dispatch_id: str) -> None:
        target, job = self._jobs.pop((seat, dispatch_id), (None, None))
        if target is None or job is None:
            return
        target.cancel(job)
        self._finish(seat, dispatch_id, DispatchResult(Ending.CANCELLED))

    def _probe(self, seat: str, target_id: str) -> None:
        self.probes[target_id] = self.probes.get(target_id, 0) + 1
        target = self.targets[target_id]
        self.after(
            PROBE_SECONDS,
            lambda: self.feed(seat, events.ProbeFinished(target_id, target.report())),
        )

    def _call_platform(self, seat: str, effect: effects.Effect) -> None:
        started = self.now
        match effect:
            case effects.ReadHead(wait_for):
                self.platform_calls += 1
                self._read_head(seat, wait_for, started)
            case effects.ReadAssignment():
                self.platform_calls += 1
                self.after(PLATFORM_SECONDS, lambda: self._give_assignment(seat, started))
            case effects.WriteAssignment(base_epoch, holders):
                self.platform_calls += 1
                if base_epoch == self._epoch:
                    self._epoch, self._holders = base_epoch + 1, holders
                self.after(PLATFORM_SECONDS, lambda: self._give_assignment(seat, started))

    def _read_head(self, seat: str, wait_for: int, started: float) -> None:
        state = {"done": False}

        def answer() -> None:
            if state["done"]:
                return
            state["done"] = True
            catalog = self.catalog if self.catalog.version > wait_for else None
            event = events.HeadRead(catalog, True, started)
            self.after(PLATFORM_SECONDS, lambda: self.feed(seat, event))

        if self.catalog.version > wait_for:
            answer()
            return
        self._watchers.append(answer)
        self.after(WATCH_SECONDS, answer)

    def _give_assignment(self, seat: str, started: float) -> None:
        self.feed(seat, events.AssignmentRead(self._epoch, self._holders, True, started))

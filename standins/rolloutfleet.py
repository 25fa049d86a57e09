"""Nodes, targets and a store in memory for roll-outs, on a loop with a virtual clock.

The nodes run the code of the entry node for orders, evidence and decisions. Requests, targets,
datagrams and membership are emulated: datagrams are late and may be lost, nodes die, links are cut,
and the store is away or loses an answer.
"""

import asyncio
import dataclasses
import math
import random
from types import SimpleNamespace

from orioleloft_core.entrysettings import RolloutBounds
from orioleloft_core.messages import OutgoingDatagram, StoreAccess
from orioleloft_core.registry import RegisteredTarget, StateVersion, TargetList, TargetRegistry
from orioleloft_core.rollouts import RolloutOrder, Rollouts, RolloutState, VersionGate
from orioleloft_core.routes import DEFAULT_LIMITS, RoutedService, RouteTable
from orioleloftd.rolloutcontrol import RolloutControl
from orioleloftd.storesync import StoreError
from standins.rolloutmodel import DEVIATION, Fault

SERVICE = "s"
BOUNDS = RolloutBounds(expose_share=0.1, expose_slack=50.0, rollback=5.0)
TABLE = RouteTable(1, (), (RoutedService(SERVICE, "/health", 100, 2.0, 0.0),), DEFAULT_LIMITS)
GOOD = Fault()
WORK_S = 0.08
# Range of the time that a datagram or a change in the store takes to a node, in seconds.
DELAY_S = (0.002, 0.06)
# Longest time between the selection of a target and the dispatch, in seconds.
MAX_SELECTION_S = 0.02


def make_targets(version: str, count: int, slots: int = 8) -> tuple[RegisteredTarget, ...]:
    """Returns registrations of targets of one version."""
    return tuple(
        RegisteredTarget(f"{version}-{i}", SERVICE, "m", 1, "z", slots, False, 1, version)
        for i in range(count)
    )


@dataclasses.dataclass(frozen=True)
class Sent:
    """A request that was sent to a target.

    Attributes:
        at: when, in seconds.
        version: version of the target.
        is_bad: whether its answer was bad because of the version.
        answered_at: when it was answered.
    """

    at: float
    version: str
    is_bad: bool
    answered_at: float


class MemoryRolloutStore:
    """The store's orders, with conditional writes; implements `RolloutStore`."""

    def __init__(self, fleet: "RolloutFleet") -> None:
        self._fleet = fleet
        self.is_up = True
        self.loses_answers = 0
        self.call_s = 0.01
        self.is_watched = True
        self.revision = 1
        self.orders: dict[str, RolloutOrder] = {}
        self.history: list[tuple[float, RolloutState]] = []

    def put(self, version: str, duration: float = 12.0) -> RolloutOrder:
        """Writes an order as an operator does."""
        self.revision += 1
        order = RolloutOrder(SERVICE, version, duration, self.revision, self.revision)
        self.orders[SERVICE] = order
        self.publish()
        return order

    def replace(self, order: RolloutOrder | None) -> None:
        """Replaces or removes the order, as a restore of the store or an operator does."""
        self.revision += 1
        self.orders = {}
        if order is not None:
            self.orders[SERVICE] = dataclasses.replace(order, revision=self.revision)
        self.publish()

    def publish(self) -> None:
        """Sends the orders to all nodes, unless their watches are stuck."""
        if not self.is_watched:
            return
        snapshot = Rollouts(StateVersion(self.revision, 1), tuple(self.orders.values()))
        self._fleet.publish(snapshot)

    async def read_rollout(self, service: str) -> RolloutOrder | None:
        """See `RolloutStore`."""
        await self._call()
        return self.orders.get(service)

    async def write_rollout_status(
        self, order: RolloutOrder, state: RolloutState
    ) -> RolloutOrder | None:
        """See `RolloutStore`."""
        await self._call()
        current = self.orders.get(order.service)
        if current is None or current.revision != order.revision:
            return None
        self.revision += 1
        written = dataclasses.replace(current, revision=self.revision, state=state)
        self.orders[order.service] = written
        self.history.append((self._fleet.now(), state))
        self.publish()
        if self.loses_answers:
            self.loses_answers -= 1
            raise StoreError("the answer was lost")
        return written

    async def _call(self) -> None:
        await asyncio.sleep(self.call_s)
        if not self.is_up:
            raise StoreError("down")


class RolloutNode:
    """One node of the fleet, which is its membership and transport as well."""

    def __init__(self, fleet: "RolloutFleet", name: str, incarnation: int) -> None:
        self._fleet = fleet
        self.name = name
        self.registry = TargetRegistry()
        self.versions = VersionGate(BOUNDS, self.registry)
        self.in_flight: dict[str, int] = {}
        self._incarnation = incarnation
        self.control = RolloutControl(
            versions=self.versions,
            registry=self.registry,
            fleet=self,
            transport=self,
            store=fleet.store,
            is_reading=lambda: fleet.store.is_up,
            table=lambda: TABLE,
            in_flight=lambda target: self.in_flight.get(target.id, 0),
            count=lambda *_, **__: None,
            clock=fleet.now,
            unix_time_ms=lambda: 10**9,
        )

    @property
    def own_state(self):
        """State of the node, with the fields that are used."""
        access = StoreAccess.READING if self._fleet.store.is_up else StoreAccess.LOST
        return SimpleNamespace(name=self.name, store=access, incarnation=self._incarnation)

    def alive(self) -> list:
        """Returns the states of the nodes that this one hears."""
        return [node.own_state for node in self._fleet.heard_by(self.name)]

    def broadcast(self, datagram, is_recipient=lambda state: True) -> list[OutgoingDatagram]:
        """Addresses a datagram to the nodes that this one hears."""
        return [
            OutgoingDatagram(state.name, datagram) for state in self.alive() if is_recipient(state)
        ]

    def relay(self, datagram, is_recipient=None) -> list[OutgoingDatagram]:
        """Relays nothing, as all datagrams are sent directly."""
        return []

    def send(self, outgoing: list[OutgoingDatagram]) -> bool:
        """Sends datagrams, which may be lost."""
        for item in outgoing:
            self._fleet.deliver(item)
        return True

    def set_targets(self, targets: tuple[RegisteredTarget, ...]) -> None:
        """Registers the targets."""
        revision = self.registry.target_list.version.revision + 1
        self.registry.replace_targets(TargetList(StateVersion(revision, 1), targets))
        self.versions.refresh()


class RolloutFleet:
    """Nodes, targets, callers and a store.

    Args:
        seed: seed of all choices.
        node_count: number of nodes.
        fault: what is wrong with the new version `v2`.
        rate: requests per second.
        loss: share of the datagrams that are lost.
        new_targets: number of targets of the version `v2`.
        work_s: median service time, in seconds.
    """

    def __init__(
        self,
        seed: int,
        node_count: int = 5,
        fault: Fault = GOOD,
        rate: float = 300.0,
        loss: float = 0.0,
        new_targets: int = 5,
        work_s: float = WORK_S,
    ) -> None:
        self.work_s = work_s
        self.rng = random.Random(seed)
        self.fault = fault
        self.rate = rate
        self.loss = loss
        self.store = MemoryRolloutStore(self)
        self.targets = make_targets("v1", 12)
        self.new_targets = make_targets("v2", new_targets)
        self.is_cut = False
        self.sent: list[Sent] = []
        self.refused = 0
        self.nodes: dict[str, RolloutNode] = {}
        self._runs: dict[str, asyncio.Task] = {}
        self._tasks: set[asyncio.Task] = set()
        self._snapshot = Rollouts(StateVersion(1, 1), ())
        self._names = [f"n{index}" for index in range(node_count)]

    def now(self) -> float:
        """Returns the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    def start_all(self) -> None:
        """Starts all nodes, with the old targets only; then the new targets register."""
        for name in self._names:
            self.start(name)
        self.set_targets(self.targets + self.new_targets)

    def start(self, name: str) -> RolloutNode:
        """Starts or restarts a node; it gets the state in force from the other nodes."""
        self.kill(name)
        node = RolloutNode(self, name, round(1000 * self.now()) + 1)
        known = next((each.versions.known_versions for each in self.nodes.values()), ())
        node.versions.on_rollouts(dataclasses.replace(self._snapshot, known=known))
        node.set_targets(self.targets)
        self.nodes[name] = node
        self._runs[name] = asyncio.get_running_loop().create_task(node.control.run())
        return node

    def kill(self, name: str) -> None:
        """Ends a node."""
        if self.nodes.pop(name, None) is not None:
            self._runs.pop(name).cancel()

    def set_targets(self, targets: tuple[RegisteredTarget, ...]) -> None:
        """Registers targets at all nodes."""
        self.targets = targets
        for node in self.nodes.values():
            node.set_targets(targets)

    def decider(self) -> RolloutNode:
        """Returns the first node that decides."""
        return next(
            self.nodes[name] for name in sorted(self.nodes) if self.nodes[name].control.is_decider()
        )

    def heard_by(self, name: str) -> list[RolloutNode]:
        """Returns the other live nodes; a cut separates nodes with even and odd numbers."""
        return [
            node
            for other, node in self.nodes.items()
            if other != name and not (self.is_cut and (int(name[1:]) + int(other[1:])) % 2)
        ]

    def deliver(self, item: OutgoingDatagram) -> None:
        """Delivers a datagram later, or loses it."""
        if self.rng.random() < self.loss:
            return
        node = self.nodes.get(item.host)
        if node is not None:
            delay = self.rng.uniform(*DELAY_S)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, node.control.on_datagram, item.datagram)

    def publish(self, snapshot: Rollouts) -> None:
        """Sends a snapshot of the orders to all nodes."""
        self._snapshot = snapshot
        for node in self.nodes.values():
            delay = self.rng.uniform(*DELAY_S)
            asyncio.get_running_loop().call_later(delay, self._apply, node, snapshot)

    def _apply(self, node: RolloutNode, snapshot: Rollouts) -> None:
        if snapshot.version >= node.versions.version:
            node.versions.on_rollouts(snapshot)

    async def send_for(self, seconds: float) -> None:
        """Sends requests to random nodes for some time."""
        end = self.now() + seconds
        while True:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            if self.now() >= end:
                return
            node = self.rng.choice(list(self.nodes.values()))
            task = asyncio.get_running_loop().create_task(self._send(node))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def send_until_decided(self, limit: float = 30.0) -> RolloutState:
        """Sends requests until the status in the store is final, or for `limit` seconds."""
        end = self.now() + limit
        while self.now() < end and not self.state.is_final:
            await self.send_for(0.05)
        return self.state

    @property
    def state(self) -> RolloutState:
        """State of the order in the store."""
        order = self.store.orders.get(SERVICE)
        return order.state if order else RolloutState.ORDERED

    async def _send(self, node: RolloutNode) -> None:
        versions, rng = node.versions, self.rng
        route = "a" if rng.random() < 0.7 else "b"
        is_chosen = versions.choose(self.now(), SERVICE)
        eligible = node.registry.eligible_targets(SERVICE)
        targets = versions.admitted(self.now(), SERVICE, eligible, is_chosen)
        if not targets:
            self.refused += 1
            return
        versions.on_first_attempt(SERVICE)
        target = rng.choice(targets)
        await asyncio.sleep(rng.uniform(0.0, MAX_SELECTION_S))
        if not versions.admits(self.now(), target, is_chosen):
            self.refused += 1
            return
        sent_at = self.now()
        is_bad = target.version == "v2" and self._draws_fault(sent_at, route)
        is_failure = is_bad and rng.random() < self.fault.failure_share
        is_slow = is_bad and rng.random() < self.fault.slow_share and self.fault.slowdown > 1
        log = rng.gauss(0.0, DEVIATION) + math.log(self.fault.slowdown) * is_slow
        seconds = self.work_s * math.exp(log)
        node.in_flight[target.id] = node.in_flight.get(target.id, 0) + 1
        await asyncio.sleep(seconds)
        node.in_flight[target.id] -= 1
        self.sent.append(Sent(sent_at, target.version, is_failure or is_slow, self.now()))
        ratio = None if is_failure else seconds / self.work_s
        node.control.on_attempt(target, route, is_failure, ratio, seconds)

    def _draws_fault(self, now: float, route: str) -> bool:
        fault = self.fault
        return (
            now >= fault.begins
            and fault.route in ("", route)
            and self.rng.random() < fault.load_share
        )


def excess(sent: list[Sent], ordered_at: float, duration: float) -> str:
    """Returns how a bad version broke the limits of a roll-out, or an empty text.

    Args:
        sent: requests sent to targets.
        ordered_at: when the order was written, in seconds.
        duration: duration of the order, in seconds.
    """
    within = [each for each in sent if ordered_at <= each.at <= ordered_at + duration]
    new = [each for each in sent if each.version == "v2" and each.at >= ordered_at]
    exposed = sum(each.version == "v2" for each in within)
    limit = BOUNDS.expose_share * len(within) + BOUNDS.expose_slack
    if exposed > limit:
        return f"{exposed} requests, allowed are {limit:.0f} of {len(within)}"
    bad = sorted(each.answered_at for each in new if each.is_bad)
    if len(bad) >= 50 and any(each.at > bad[49] + BOUNDS.rollback for each in new):
        return f"requests more than {BOUNDS.rollback} s after the 50th bad answer"
    if any(each.version == "v2" and each.at < ordered_at for each in sent):
        return "requests before the order"
    return ""

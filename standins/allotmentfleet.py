"""Allotments of a fleet of nodes in memory, on the virtual clock and with faults of all kinds."""

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable, Iterator, Sequence

from orioleloft_core import messages
from orioleloft_core.entrysettings import AllotmentBounds
from orioleloft_core.messages import (
    AllotmentAnswer,
    AllotmentParts,
    AllotmentQuestion,
    NodeAddress,
    NodeList,
    NodeState,
    OutgoingDatagram,
    PartList,
    StateVersions,
    StoreAccess,
)
from orioleloft_core.routes import Tenant
from orioleloftd import codec
from orioleloftd.allotmentexchange import AllotmentExchange, Refused
from orioleloftd.storesync import StoreError

BOUNDS = AllotmentBounds(window=5.0, overage=0.1, slack=20.0)
# Time within which all nodes adopt a table, and interval in which nodes hear of each other, in
# seconds.
CONFIG_DEADLINE_S = 2.5
GOSSIP_PERIOD_S = 0.25
ZONES = 3
# Time that a call to the store takes each way, in seconds.
STORE_DELAY_S = 0.01
# Age of the registered nodes that a stale read returns, in seconds.
STALE_S = 2.0


class _View:
    """What one process knows of the other nodes; has the interface of `Fleet`."""

    def __init__(self, name: str, zone: str, incarnation: int) -> None:
        self.own_state = NodeState(
            name, name, zone, incarnation, 0, True, False, False, StoreAccess.READY, StateVersions()
        )
        self.zones = {name: zone}
        self.heard: dict[str, NodeState] = {}

    def add(self, node: NodeAddress) -> bool:
        if node.name in self.zones:
            return False
        self.zones = self.zones | {node.name: node.zone}
        return True

    def remove(self, name: str) -> None:
        self.zones = {other: zone for other, zone in self.zones.items() if other != name}
        self.heard.pop(name, None)

    def host_of(self, name: str) -> str | None:
        return name if name in self.zones else None

    def is_alive(self, name: str) -> bool:
        return name in self.heard

    def is_staying(self, name: str) -> bool:
        return name in self.heard and not self.heard[name].is_leaving

    def alive(self) -> list[NodeState]:
        return list(self.heard.values())


@dataclasses.dataclass(eq=False)
class _Process:
    """One start of a node."""

    view: _View
    exchange: AllotmentExchange
    tasks: set[asyncio.Task]


class _StoreClient:
    """The store as one node reaches it."""

    def __init__(self, fleet: "AllotmentFleet", name: str) -> None:
        self._fleet = fleet
        self._name = name

    async def _call(self) -> None:
        """Takes the time of one way of a call.

        Raises:
            StoreError: the store does not answer this node.
        """
        self._fleet.store_calls += 0.5
        await asyncio.sleep(STORE_DELAY_S + self._fleet.thaws_in(self._name))
        if not self._fleet.is_store_up or self._name in self._fleet.cut_from_store:
            raise StoreError("down")

    async def read_registered_nodes(self, allow_stale: bool = False) -> NodeList:
        await self._call()
        nodes = self._fleet.registered_nodes(allow_stale)
        await self._call()
        return nodes

    async def read_allotment_parts(self) -> PartList:
        await self._call()
        parts = self._fleet.parts
        await self._call()
        return parts

    async def write_allotment_parts(self, parts: PartList) -> bool:
        await self._call()
        is_current = parts.revision == self._fleet.parts.revision
        if is_current:
            self._fleet.parts_before.append(self._fleet.parts)
            revision = self._fleet.parts.revision + 1
            self._fleet.parts = dataclasses.replace(parts, revision=revision)
        # The answer may be lost after the write.
        await self._call()
        return is_current


@dataclasses.dataclass(frozen=True)
class Ran:
    """A request that ran, and the node that it came through."""

    at: float
    node: str


class AllotmentFleet:
    """Nodes that share the allotments of tenants.

    Args:
        node_count: number of nodes at the start, in three zones.
        seed: seed of all choices.
        tenants: the tenants at the start.
        whole_rate_each: whether each node grants itself the whole rate, as a negative control.
        gossip_period_s: interval in which nodes hear of each other, in seconds.

    Attributes:
        ran: requests that ran, by tenant.
        offered: times of all requests, by tenant.
        refused: refusals with their times, by tenant.
        loss: share of datagrams that are lost.
        delay_s: bounds of the delay of datagrams, in seconds.
        is_cut: whether datagrams from one node to another are lost.
        is_store_up: whether the store answers.
        cut_from_store: nodes that the store does not answer.
        store_calls: number of calls to the store, answered or not.
        parts: assignments of parts in the store.
        parts_before: earlier ones.
        era: how often the store was restored, as the nodes count it.
        queue_wait_s: longest time for which admitted requests wait for a target, in seconds.
        queue_ends_at: time until which all admitted requests wait.
        datagrams: number of datagrams sent.
        datagram_bytes: size of the largest datagram.
        limits: tenants with the time from which they apply, in the order of the tables.
    """

    def __init__(
        self,
        node_count: int,
        seed: int,
        tenants: Sequence[Tenant],
        *,
        whole_rate_each: bool = False,
        gossip_period_s: float = GOSSIP_PERIOD_S,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self._whole_rate_each = whole_rate_each
        self._gossip_period_s = gossip_period_s
        self.zones = {f"n{i}": f"z{i % ZONES}" for i in range(node_count)}
        self.registered = dict(self.zones)
        self._registered_before = [(-math.inf, dict(self.zones))]
        self.ran: dict[str, list[Ran]] = {}
        self.offered: dict[str, list[float]] = {}
        self.refused: dict[str, list[tuple[float, Refused]]] = {}
        self.loss = 0.0
        self.delay_s = 0.0005, 0.002
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.is_store_up = True
        self.cut_from_store: set[str] = set()
        self.store_calls = 0.0
        self.parts = PartList((), 0)
        self.parts_before = [self.parts]
        self.era = 1
        self.queue_wait_s = 0.0
        self.queue_ends_at = 0.0
        self.datagrams = 0
        self.datagram_bytes = 0
        self.limits: list[tuple[float, tuple[Tenant, ...]]] = [(0.0, tuple(tenants))]
        self._clock_offsets: dict[str, float] = {}
        self._frozen_until: dict[str, float] = {}
        self._tables: dict[str, tuple[Tenant, ...]] = {}
        self._incarnation = 0
        self._requests: set[asyncio.Task] = set()
        self.processes: dict[str, _Process] = {}
        for name in self.zones:
            self.start(name)
        self._gossip_task = self._loop.create_task(self._gossip())

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self._loop.time()

    # Nodes.

    def start(self, name: str) -> None:
        """Starts or restarts a node, which then knows the table and no other node."""
        self.stop(name)
        self._incarnation += 1
        view = _View(name, self.zones[name], self._incarnation)
        process = _Process(view, None, set())
        offset = self._clock_offsets.setdefault(name, self.rng.uniform(0, 1e5))
        process.exchange = AllotmentExchange(
            bounds=BOUNDS,
            fleet=view,
            store=_StoreClient(self, name),
            has_seeds=True,
            send=lambda outgoing: self._send(name, process, outgoing),
            count=lambda *_, **__: None,
            spawn=lambda work: process.tasks.add(self._loop.create_task(work)),
            clock=lambda: self._loop.time() + offset,
            rng=random.Random(f"{self.rng.random()}"),
        )
        self.processes[name] = process
        process.exchange.start()
        process.exchange.adopt(self._tables.setdefault(name, self.limits[-1][1]))

    def stop(self, name: str) -> None:
        """Kills the process of a node."""
        process = self.processes.pop(name, None)
        for task in process.tasks if process else ():
            task.cancel()

    def leave(self, name: str) -> None:
        """Sends a node the signal to stop; its process goes on until `stop` or `remove`."""
        process = self.processes[name]
        process.view.own_state = dataclasses.replace(process.view.own_state, is_leaving=True)
        process.exchange.stop()

    def add(self, name: str, zone: str) -> None:
        """Adds a node that no other knows yet."""
        self.zones[name] = zone
        self.start(name)

    def remove(self, name: str) -> None:
        """Kills a node, which the others then remove at different times."""
        self.stop(name)
        self.zones.pop(name)
        self.registered.pop(name, None)
        self._registered_before.append((self.now, dict(self.registered)))
        for process in self.processes.values():
            self._loop.call_later(self.rng.uniform(0.0, 2.0), process.view.remove, name)

    def freeze(self, name: str, seconds: float) -> None:
        """Stops a node from sending and receiving for a while; its clock goes on."""
        self._frozen_until[name] = self.now + seconds

    def thaws_in(self, name: str) -> float:
        """Returns the seconds until a frozen node goes on, 0 for others."""
        return max(0.0, self._frozen_until.get(name, 0.0) - self.now)

    def change(self, tenants: Sequence[Tenant], within_s: float = CONFIG_DEADLINE_S) -> None:
        """Confirms a table with other tenants, which the nodes adopt at different times."""
        number = len(self.limits)
        self.limits.append((self.now, tuple(tenants)))
        for name in self.zones:
            self._loop.call_later(self.rng.uniform(0.0, within_s), self._adopt, name, number)

    def _adopt(self, name: str, number: int) -> None:
        tenants = self.limits[number][1]
        known = [i for i, (_, each) in enumerate(self.limits) if each is self._tables.get(name)]
        if known and known[-1] < number:
            self._tables[name] = tenants
            if name in self.processes:
                self.processes[name].exchange.adopt(tenants)

    async def _gossip(self) -> None:
        while True:
            await asyncio.sleep(self._gossip_period_s)
            for name, process in self.processes.items():
                process.view.heard = {}
                if self._whole_rate_each:
                    continue
                for other in self.processes:
                    if other == name or self.is_cut(other, name) or self.thaws_in(other):
                        continue
                    process.view.heard[other] = self.processes[other].view.own_state
                    process.view.add(NodeAddress(other, other, self.zones[other]))
                if process.view.heard and self.is_store_up:
                    self._register(name)

    def _register(self, name: str) -> None:
        if name not in self.registered:
            self.registered[name] = self.zones[name]
            self._registered_before.append((self.now, dict(self.registered)))

    def _registered_at(self, time: float) -> dict[str, str]:
        return [nodes for since, nodes in self._registered_before if since <= time][-1]

    def registered_nodes(self, allow_stale: bool) -> NodeList:
        """Returns the registered nodes, as the store does; stale ones are 2 s old."""
        nodes = self._registered_at(self.now - STALE_S) if allow_stale else self.registered
        if self._whole_rate_each:
            nodes = {}
        return NodeList(tuple(NodeAddress(n, n, zone) for n, zone in nodes.items()), 1)

    def restore_store(self) -> None:
        """Restores the store from a copy that lacks the last assignments of parts."""
        self.parts = dataclasses.replace(
            self.rng.choice(self.parts_before), revision=self.parts.revision + 1
        )
        for process in self.processes.values():
            self.era += 1
            self._loop.call_later(self.rng.uniform(0.0, 1.0), process.exchange.note_era, self.era)

    # Datagrams.

    def _send(self, name: str, process: _Process, outgoing: list[OutgoingDatagram]) -> None:
        if self.processes.get(name) is not process:
            return
        for message in outgoing:
            self.datagrams += 1
            if self.datagrams % 16 == 0:
                size = len(codec.encode(messages.pack(message.datagram)))
                self.datagram_bytes = max(self.datagram_bytes, size)
            if self.rng.random() < self.loss or self.is_cut(name, message.host):
                continue
            delay = self.thaws_in(name) + self.rng.uniform(*self.delay_s)
            self._loop.call_later(delay, self._receive, message.host, message.datagram)

    def _receive(self, name: str, datagram: messages.Direct) -> None:
        if self.thaws_in(name):
            self._loop.call_later(self.thaws_in(name) + 1e-6, self._receive, name, datagram)
            return
        if name not in self.processes:
            return
        match datagram:
            case AllotmentQuestion():
                self.processes[name].exchange.on_question(datagram)
            case AllotmentAnswer():
                self.processes[name].exchange.on_answer(datagram)
            case AllotmentParts():
                self.processes[name].exchange.on_parts(datagram)

    # Requests.

    def request(self, name: str, tenant: Tenant, not_run_share: float = 0.0) -> None:
        """Sends a request through a node that runs.

        Args:
            name: name of the node.
            tenant: tenant of the request, as the caller's node has it.
            not_run_share: share of admitted requests that are not run after all.
        """
        self.offered.setdefault(tenant.name, []).append(self.now)
        if name in self.processes:
            task = self._loop.create_task(self._request(name, tenant, not_run_share))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    async def _request(self, name: str, tenant: Tenant, not_run_share: float) -> None:
        process = self.processes.get(name)
        if process is None or not self._knows(name, tenant):
            return
        outcome = await process.exchange.admit(tenant)
        if self.processes.get(name) is not process or not self._knows(name, tenant):
            return
        if isinstance(outcome, Refused):
            self.refused.setdefault(tenant.name, []).append((self.now, outcome))
            return
        if self.rng.random() < not_run_share:
            await asyncio.sleep(self.rng.uniform(0.0, 0.6))
            process.exchange.on_not_run(outcome)
            return
        wait = max(self.rng.uniform(0.0, self.queue_wait_s), self.queue_ends_at - self.now)
        if wait > 0:
            await asyncio.sleep(wait)
        refused = await process.exchange.spend(tenant, outcome, math.inf)
        if self.processes.get(name) is not process or not self._knows(name, tenant):
            return
        if refused is not None:
            process.exchange.on_not_run(outcome)
            self.refused.setdefault(tenant.name, []).append((self.now, refused))
            return
        self.ran.setdefault(tenant.name, []).append(Ran(self.now, name))

    def _knows(self, name: str, tenant: Tenant) -> bool:
        """Whether a node's table has a tenant; requests of others are refused for their keys."""
        return any(each.name == tenant.name for each in self._tables[name])

    async def send(
        self, seconds: float, per_s: float, tenant: Tenant, names: Sequence[str], **options: float
    ) -> int:
        """Sends requests of a tenant at random times through random nodes; returns how many."""
        end = self.now + seconds
        count = 0
        while True:
            await asyncio.sleep(self.rng.expovariate(per_s))
            if self.now >= end:
                return count
            name = self.rng.choice(names)
            if not self.thaws_in(name):
                count += 1
                self.request(name, tenant, **options)

    def owed(self, tenant: Tenant) -> int:
        """Returns how many requests a single token bucket with the limit would have let run."""
        cap = max(1.0, tenant.burst)
        tokens, filled_at, count = cap, 0.0, 0
        for at in self.offered.get(tenant.name, []):
            tokens = min(cap, tokens + (at - filled_at) * tenant.rate_per_s)
            filled_at = at
            if tokens >= 1:
                tokens -= 1
                count += 1
        return count

    def share(self, *tenants: Tenant) -> float:
        """Returns the share of what the tenants were owed that ran, up to 1 for each."""
        owed = {each.name: self.owed(each) for each in tenants}
        ran = sum(min(count, len(self.ran.get(name, []))) for name, count in owed.items())
        return ran / sum(owed.values())

    def _limits_of(self, tenant: str, start: float, end: float) -> Iterator[tuple[float, float]]:
        """Yields rate and burst of each limit that may apply in a window.

        A limit that was replaced applies until all nodes have had the time to adopt the next one.
        """
        for index, (since, tenants) in enumerate(self.limits):
            is_last = index + 1 == len(self.limits)
            until = math.inf if is_last else self.limits[index + 1][0] + CONFIG_DEADLINE_S
            for each in tenants:
                if each.name == tenant and since <= end and start < until:
                    yield each.rate_per_s, each.burst

    def greatest_excess(self, tenant: str) -> float:
        """Returns by how many requests the worst window of a tenant exceeds its bound."""
        times = sorted(ran.at for ran in self.ran.get(tenant, []))
        worst = -math.inf
        first = 0
        for last, end in enumerate(times):
            while times[first] < end - BOUNDS.window:
                first += 1
            limits = list(self._limits_of(tenant, times[first], end))
            rate = max(rate for rate, _ in limits)
            burst = max(burst for _, burst in limits)
            allowed = (rate * BOUNDS.window + burst) * (1 + BOUNDS.overage) + BOUNDS.slack
            worst = max(worst, last - first + 1 - allowed)
        return worst

"""Nodes and targets in memory: forwarders that send requests to targets without sockets."""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from unittest import mock

from tornado import httputil

from orioleloft_adapter.headers import PlatformHeaders
from orioleloft_core.admissionqueue import AdmissionPolicy
from orioleloft_core.budget import TokenBucket
from orioleloft_core.crashes import CrashTracker
from orioleloft_core.memory import MemoryAccount
from orioleloft_core.ratelimits import RateLimitNotice, RateLimits
from orioleloft_core.registry import RegisteredTarget, StateVersion, TargetList, TargetRegistry
from orioleloft_core.retrybudget import RetryBudget
from orioleloft_core.routes import (
    DEFAULT_LIMITS,
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    WeightedService,
)
from orioleloft_core.slowstart import SlowStartLimiter
from orioleloftd.connections import HttpResponse
from orioleloftd.forwarding import Forwarder
from orioleloftd.requestcontext import CallerReply, CallerRequest

SERVICE = RoutedService("s", "/health", 100, 2.1, 3.0)
ROUTE = Route("r", "a", "/", RouteKind.IDEMPOTENT, 3.0, 0.4, 1, 2, (WeightedService("s", 1.0),))
# One-way delay between a node and a target, in seconds.
NETWORK_DELAY_S = 0.001
SWEEP_PERIOD_S = 1.0
# Range of the time that a report takes to another node, in seconds.
REPORT_DELAY_S = (0.001, 0.03)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request or probe that reached a target.

    Attributes:
        at: virtual time in seconds.
        node: sender.
        is_probe: whether it was a probe.
        told_at: when the target had first stated its limit to the sender, or None.
    """

    at: float
    node: str
    is_probe: bool
    told_at: float | None


class MemoryTarget:
    """A target with slots and a service time that can state a rate limit.

    Args:
        registration: how it is registered.
        work_s: mean service time, in seconds.
        seed: seed of its service times.
        states_limit_on_probes: whether the answers to probes state the limit as well.

    Attributes:
        refuses_all: whether it refuses all requests at once, although it has free slots.
    """

    def __init__(
        self,
        registration: RegisteredTarget,
        work_s: float,
        seed: int,
        states_limit_on_probes: bool = True,
    ) -> None:
        self.registration = registration
        self.limit: str | None = None
        self.arrivals: list[Arrival] = []
        self.told_at: dict[str, float] = {}
        self.running = 0
        self.refuses_all = False
        self._states_limit_on_probes = states_limit_on_probes
        self._work_s = work_s
        self._rng = random.Random(seed)

    async def serve(self, node: str, path: str, headers: httputil.HTTPHeaders) -> HttpResponse:
        """Answers a probe at once, or a request after its service time or with a refusal."""
        is_probe = path == SERVICE.health_path
        now = asyncio.get_running_loop().time()
        self.arrivals.append(Arrival(now, node, is_probe, self.told_at.get(node)))
        slots = self.registration.slots
        answer = httputil.HTTPHeaders({"X-Server-Load": f"{self.running},0,{slots},100"})
        if is_probe:
            answer["X-Instance-Id"] = self.registration.id
            return self._answer(node, 200, answer, self._states_limit_on_probes)
        answer["X-Request-Id"] = headers["X-Request-Id"]
        if self.refuses_all or self.running >= slots:
            answer["X-Not-Executed"] = "1"
            return self._answer(node, 503, answer)
        self.running += 1
        try:
            await asyncio.sleep(self._work_s * self._rng.uniform(0.7, 1.3))
        finally:
            self.running -= 1
        answer["X-Response-Signature"] = "s"
        return self._answer(node, 200, answer)

    def _answer(
        self, node: str, status: int, headers: httputil.HTTPHeaders, states_limit: bool = True
    ) -> HttpResponse:
        if self.limit is not None and states_limit:
            headers["Server-Limit"] = self.limit
            self.told_at.setdefault(node, asyncio.get_running_loop().time())
        return HttpResponse(status, headers, b"")


class _MemoryConnection:
    """Connection of a node to a `MemoryTarget`, with the interface of `Connection`."""

    is_usable = True
    is_unused = True

    def __init__(self, node: str, target: MemoryTarget) -> None:
        self._node = node
        self._target = target
        self.idle_until = 0.0

    def set_idle_timeout(self, seconds: float | None) -> None:
        """Ignores the timeout, as targets in memory close no connections."""

    def start_idle(self, now: float) -> None:
        self.idle_until = now + 4.0

    def close(self) -> None:
        self.is_usable = False

    async def exchange(self, method, path, headers, body, matches_request, limits=None):
        self.is_unused = False
        await asyncio.sleep(NETWORK_DELAY_S)
        response = await self._target.serve(self._node, path, headers)
        await asyncio.sleep(NETWORK_DELAY_S)
        return response


class MemoryNode:
    """A forwarder of one node and its targets.

    Args:
        name: name of the node.
        zones: availability zones of all registered nodes.
        targets: all targets.
        seed: seed of its choices.
        report_rate_limit: sends a rate limit to the other nodes: name of this node, the limit.
        admission: order of admission while the table has no tenants.

    Attributes:
        table: route table in force.
        counts: values of the metrics by name and labels.
    """

    def __init__(
        self,
        name: str,
        zones: dict[str, str],
        targets: list[MemoryTarget],
        seed: int,
        report_rate_limit: Callable[[str, RateLimitNotice], None],
        admission: AdmissionPolicy = AdmissionPolicy.ARRIVAL,
    ) -> None:
        self.name = name
        self.counts: collections.Counter = collections.Counter()
        self.memory = MemoryAccount(10_000_000)
        self.rate_limits = RateLimits(name, lambda: zones, lambda: round(self._clock() * 1000))
        registry = TargetRegistry()
        registrations = tuple(target.registration for target in targets)
        registry.replace_targets(TargetList(StateVersion(1, 1), registrations))
        self.table = RouteTable(1, (ROUTE,), (SERVICE,), DEFAULT_LIMITS)
        self._clock = asyncio.get_running_loop().time
        self.forwarder = Forwarder(
            wire=PlatformHeaders(),
            table=lambda: self.table,
            registry=registry,
            zones=lambda: zones,
            zone=zones[name],
            budget=RetryBudget(0.2, 58, 10.0, lambda: 18),
            slow_start_limiter=SlowStartLimiter(name, 1.5, 5.0),
            rate_limits=self.rate_limits,
            report_rate_limit=lambda notice: report_rate_limit(name, notice),
            report_leaving=lambda *_: None,
            probe_budget=TokenBucket(lambda: 1000, lambda: 1000),
            memory=self.memory,
            report_target=lambda *_: None,
            crashes=CrashTracker(),
            report_crashes=lambda *_: None,
            count=self._count,
            clock=self._clock,
            rng=random.Random(f"{seed} {name}"),
            admission=admission,
        )
        self._request_count = 0

    def _count(self, name: str, amount: float = 1, **labels: str) -> None:
        self.counts[name, *labels.values()] += amount

    async def send(self, route: Route = ROUTE) -> tuple[CallerReply, float]:
        """Forwards a request of a caller; returns the reply and its time in seconds."""
        started_at = self._clock()
        self._request_count += 1
        request_id = f"{self.name}-{self._request_count}"
        headers = httputil.HTTPHeaders({"Host": "a", "X-Request-Id": request_id})
        request = CallerRequest(request_id, "GET", "a", "/x", headers, b"", self._clock(), 3.0)
        reply = await self.forwarder.forward(request, route, "s")
        return reply, self._clock() - started_at


class MemoryFleet:
    """Nodes in three availability zones and their targets; a context in which they can connect.

    Args:
        node_count: number of nodes.
        target_count: number of targets.
        seed: seed of all choices and service times.
        slots: slots of each target.
        work_s: mean service time, in seconds.
        states_limit_on_probes: see `MemoryTarget`.
        admission: order of admission of all nodes.
    """

    def __init__(
        self,
        node_count: int,
        target_count: int,
        seed: int,
        *,
        slots: int = 6,
        work_s: float = 0.15,
        states_limit_on_probes: bool = True,
        admission: AdmissionPolicy = AdmissionPolicy.ARRIVAL,
    ) -> None:
        self._admission = admission
        self.zones = {f"n{i}": f"z{i % 3}" for i in range(node_count)}
        registrations = [
            RegisteredTarget(f"t{i}", "s", "m", i, f"z{i % 3}", slots, False, 1)
            for i in range(target_count)
        ]
        self.targets = [
            MemoryTarget(each, work_s, seed + i, states_limit_on_probes)
            for i, each in enumerate(registrations)
        ]
        self._seed = seed
        self._rng = random.Random(seed)
        self.loss = 0.0
        self.nodes: dict[str, MemoryNode] = {}

    def start(self, name: str) -> None:
        """Starts or restarts a node, which then knows nothing but the targets and the nodes."""
        self.nodes[name] = MemoryNode(
            name,
            self.zones,
            self.targets,
            self._seed,
            self._report_rate_limit,
            self._admission,
        )

    def _report_rate_limit(self, sender: str, notice: RateLimitNotice) -> None:
        for name, node in self.nodes.items():
            if name != sender and self._rng.random() >= self.loss:
                delay = self._rng.uniform(*REPORT_DELAY_S)
                asyncio.get_running_loop().call_later(
                    delay, node.forwarder.rate_limit_recorder.on_peer_notice, notice, sender
                )

    @contextmanager
    def running(self) -> Iterator[None]:
        """Starts all nodes; connections go to the targets in memory until the context ends."""
        for name in self.zones:
            self.start(name)
        with (
            mock.patch("orioleloftd.connections.connect", self._connect),
            mock.patch("orioleloftd.targetaccess.connect", self._connect),
        ):
            yield

    async def _connect(self, host, port, now, timeout, memory) -> _MemoryConnection:
        # Each node has an account of its own, which tells who connects.
        node = next(node for node in self.nodes.values() if node.memory is memory)
        await asyncio.sleep(2 * NETWORK_DELAY_S)
        return _MemoryConnection(node.name, self.targets[port])

    async def send_requests(self, seconds: float, per_s: float) -> list[CallerReply]:
        """Sends requests to random nodes at random times, and returns their replies.

        Args:
            seconds: time to send for.
            per_s: mean rate over all nodes.
        """
        return [reply for reply, _ in await self.send_timed_requests(seconds, per_s)]

    async def sweep_for(self, seconds: float) -> None:
        """Runs the periodic work of all nodes for some time, without requests."""
        for _ in range(round(seconds / SWEEP_PERIOD_S)):
            await asyncio.sleep(SWEEP_PERIOD_S)
            self._sweep()

    def _sweep(self) -> None:
        for node in self.nodes.values():
            node.forwarder.sweep()

    async def send_timed_requests(
        self, seconds: float, per_s: float
    ) -> list[tuple[CallerReply, float]]:
        """Sends requests like `send_requests`; returns the replies and their times in seconds."""
        loop = asyncio.get_running_loop()
        rng = random.Random(self._seed)
        tasks = []
        end = loop.time() + seconds
        swept_at = loop.time()
        while loop.time() < end:
            await asyncio.sleep(rng.expovariate(per_s))
            if loop.time() - swept_at >= SWEEP_PERIOD_S:
                swept_at = loop.time()
                self._sweep()
            name = rng.choice(list(self.nodes))
            tasks.append(loop.create_task(self.nodes[name].send()))
        return await asyncio.gather(*tasks)

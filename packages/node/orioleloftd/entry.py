"""The entry node: wiring of its components, periodic tasks, start-up and shutdown."""

import asyncio
import logging
import math
import random
import time
from collections.abc import Callable

from orioleloft_core import membership, nodecapacity, placement
from orioleloft_core.budget import TokenBucket
from orioleloft_core.configurationage import ConfigurationAge
from orioleloft_core.crashes import CrashTracker
from orioleloft_core.entrysettings import EntrySettings
from orioleloft_core.fleet import Fleet
from orioleloft_core.looplag import LoopLagMonitor
from orioleloft_core.memory import MemoryAccount
from orioleloft_core.messages import (
    AllotmentAnswer,
    AllotmentParts,
    AllotmentQuestion,
    CapacityReport,
    ContentionReport,
    Datagram,
    LeavingReport,
    NodeState,
    RateLimitReport,
    StateVersions,
    StoreAccess,
    TargetReport,
)
from orioleloft_core.ratelimits import RateLimits
from orioleloft_core.retrybudget import RetryBudget
from orioleloft_core.rollouts import VersionGate
from orioleloft_core.routes import DEFAULT_LIMITS, CallerLimits, RouteTable, TrafficSplitter
from orioleloft_core.slowstart import SlowStartLimiter
from orioleloft_core.stopping import GracefulShutdown
from orioleloftd.allotmentexchange import AllotmentExchange
from orioleloftd.bootstrap import Bootstrap
from orioleloftd.capacityexchange import CapacityExchange
from orioleloftd.connections import HttpClient
from orioleloftd.controlserver import ControlResponse, ControlServer
from orioleloftd.crasharchive import CrashArchive
from orioleloftd.crashdissemination import CrashDissemination
from orioleloftd.explainer import EXPLAIN_PATH, Explainer
from orioleloftd.exposition import NodeMetrics
from orioleloftd.forwarding import Forwarder
from orioleloftd.frontend import CallerServer
from orioleloftd.logs import log_event
from orioleloftd.noderegistrar import NodeRegistrar
from orioleloftd.peering import CRASHES_PATH, STATE_PATH, DatagramEndpoint, StateExchange
from orioleloftd.peerprotocol import PeerProtocol
from orioleloftd.requestcontext import CallerReply, CallerRequest
from orioleloftd.requesthandler import RequestHandler
from orioleloftd.rolloutcontrol import ROLLOUTS_PATH, RolloutControl
from orioleloftd.rolloutsync import RolloutsResource
from orioleloftd.sharedstate import ChangeOrigin, SharedState
from orioleloftd.shutdown import ShutdownSequence
from orioleloftd.startupgate import StartupGate
from orioleloftd.storesync import Store, StoreSync
from orioleloftd.wire import WireFormat

# Budgets of the fleet (retries, probes) are divided by the number of registered nodes, reachable or
# not: counting reachable nodes only would raise the share of each node in every partition. The
# factor leaves room for nodes that are added. The minimum applies to a node that has just started
# and knows no others; a fleet has 15 to 19 nodes.
FLEET_GROWTH_FACTOR = 1.2
MIN_BUDGET_NODES = 18
# Fraction of the fleet's probe budget that the nodes use in total.
PROBE_BUDGET_FRACTION = 0.8
# Fraction of an equal share of the probe budget that a node gets if the directory lists it for no
# service; callers that cached its address may still connect.
IDLE_NODE_PROBE_FRACTION = 0.2
# Burst capacity of the probe token bucket, as seconds of its rate. The operators' limit is an
# average over a day, and overload doubles the probes of a node for some seconds.
PROBE_BURST_S = 8.0
# Interval between samples of the event-loop lag, in seconds.
LAG_SAMPLE_PERIOD_S = 0.25
# Interval between sweeps that close idle connections, in seconds.
SWEEP_PERIOD_S = 1.0
# Interval between the reports of contention to other nodes, in seconds, and the new observations of
# a service from which it is reported.
CONTENTION_REPORT_PERIOD_S = 2.0
MIN_REPORTED_OBSERVATIONS = 5
# Maximum number of node addresses that the directory returns to callers.
MAX_ENTRY_ADDRESSES = 64
# Lifetime (TTL) of the node addresses that the directory returns to callers, in seconds.
ADDRESS_TTL_S = 2.0
# Fraction of the memory that request and response bodies may take. Copying a whole body
# holds it twice for a moment, and an idle node takes a sixth of the smallest VM.
BODY_MEMORY_FRACTION = 0.25

_log = logging.getLogger(__name__)


def node_clock() -> float:
    """Returns seconds of the boot-time clock, which keeps running while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time_ms() -> int:
    """Returns the time of day in Unix milliseconds."""
    return time.time_ns() // 1_000_000


class EntryNode:
    """One entry node: owns the components and implements `Gateway` for caller connections.

    Args:
        settings: settings of this node.
        wire: platform-specific headers for callers and targets.
        store: client of the platform's store.
        on_stopped: called once when shutdown has finished.
    """

    def __init__(
        self,
        settings: EntrySettings,
        wire: WireFormat,
        store: Store,
        on_stopped: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._wire = wire
        self._store = store
        self._on_stopped = on_stopped
        self._rng = random.Random()
        self._tasks: set[asyncio.Task] = set()
        self._probe_rate_versions: tuple[object, ...] = ()
        self._cached_probe_rate = 0.0
        self._configuration_age = ConfigurationAge(node_clock)
        self._state = SharedState(
            self._on_state_change,
            lambda rollouts: self._versions.on_rollouts(rollouts),
            lambda: self._versions.known_versions,
            self._configuration_age,
        )
        self._startup_gate = StartupGate(
            lambda: self._state.is_complete, node_clock, not settings.is_fleet_bootstrap
        )
        self._versions = VersionGate(settings.bounds.rollouts, self._state.registry)
        self._logged_limits: dict[str, dict[int, int]] = {}
        self._applied_table: RouteTable | None = None
        self._traffic_splitter = TrafficSplitter(self._rng)
        self._metrics = NodeMetrics()
        seeds = [seed.host for seed in settings.seeds]
        self._fleet = Fleet(self._initial_state(), self._rng, seeds)
        self._transport = DatagramEndpoint(settings.peer_endpoint.port, self._on_datagram)
        self._memory = MemoryAccount(int(settings.memory_bytes * BODY_MEMORY_FRACTION))
        self._state_exchange = StateExchange(HttpClient(node_clock), settings.peer_endpoint.port)
        self._crash_tracker = CrashTracker()
        self._crash_dissemination = CrashDissemination(
            self._crash_tracker,
            self._fleet,
            self._transport,
            self._state_exchange,
            self._rng,
            node_clock,
        )
        self._allotments = AllotmentExchange(
            bounds=settings.bounds.allotments,
            fleet=self._fleet,
            store=store,
            has_seeds=bool(seeds),
            send=self._transport.send,
            count=self._metrics.count,
            spawn=self._spawn,
            clock=node_clock,
            rng=self._rng,
        )
        self._rollouts = RolloutControl(
            versions=self._versions,
            registry=self._state.registry,
            fleet=self._fleet,
            transport=self._transport,
            store=store,
            is_reading=lambda: self._store_sync.is_reading,
            table=lambda: self._state.table,
            in_flight=lambda target: self._forwarder.access.observations(target).in_flight,
            count=self._metrics.count,
            clock=node_clock,
            unix_time_ms=unix_time_ms,
        )
        self._peer_protocol = PeerProtocol(
            fleet=self._fleet,
            state=self._state,
            transport=self._transport,
            exchange=self._state_exchange,
            reports=self,
            crashes=self._crash_dissemination,
            rollouts=self._rollouts,
            spawn=self._spawn,
            clock=node_clock,
            rng=self._rng,
        )
        self._capacity = nodecapacity.node_capacity(
            settings.cpu_cores, settings.link_mbps, settings.memory_bytes
        )
        self._capacity_exchange = CapacityExchange(
            self._capacity,
            self._fleet,
            self._transport,
            node_clock,
            self._rng,
        )
        self._store_sync = StoreSync(
            store,
            self._state,
            self._is_watcher,
            self._on_store_access,
            node_clock,
            self._rng,
            (RolloutsResource,) if self._versions.is_enabled else (),
        )
        self._crash_archive = CrashArchive(
            self._crash_tracker, store, self._fleet, self._store_sync, node_clock
        )
        self._registrar = NodeRegistrar(store, self._fleet, self._store_sync, node_clock, self._rng)
        self._rate_limits = RateLimits(settings.name, lambda: self._fleet.zones, unix_time_ms)
        self._forwarder = self._make_forwarder()
        self._caller_server = CallerServer(self, wire)
        self._shutdown = GracefulShutdown(settings.bounds.grace_period)
        self._shutdown_sequence = ShutdownSequence(
            self._shutdown, self._caller_server, self._peer_protocol.announce, node_clock
        )
        self._bootstrap = Bootstrap(
            settings=settings,
            state=self._state,
            gate=self._startup_gate,
            is_ready=lambda: self.is_ready,
            peers=self._peer_protocol,
            store=store,
            store_sync=self._store_sync,
            crash_archive=self._crash_archive,
            registrar=self._registrar,
            read_rollouts=self._rollouts.read_initial,
            spawn=self._spawn,
            clock=node_clock,
            rng=self._rng,
        )
        self._explainer = Explainer(
            node=settings.name,
            state=self._state,
            parts=self._forwarder.parts,
            traffic_splitter=self._traffic_splitter,
            allotments=self._allotments,
            shutdown=self._shutdown,
            clock=node_clock,
        )
        self._request_handler = RequestHandler(
            state=self._state,
            startup_gate=self._startup_gate,
            forwarder=self._forwarder,
            traffic_splitter=self._traffic_splitter,
            allotments=self._allotments,
            shutdown=self._shutdown,
            shutdown_sequence=self._shutdown_sequence,
            metrics=self._metrics,
            clock=node_clock,
            rng=self._rng,
        )

    def _initial_state(self) -> NodeState:
        settings = self._settings
        return NodeState(
            settings.name,
            settings.peer_endpoint.host,
            settings.zone,
            unix_time_ms(),
            sequence=0,
            is_ready=False,
            is_leaving=False,
            is_busy=False,
            store=StoreAccess.STARTING,
            state_versions=StateVersions(),
        )

    def _make_forwarder(self) -> Forwarder:
        bounds = self._settings.bounds
        return Forwarder(
            wire=self._wire,
            table=lambda: self._state.table,
            registry=self._state.registry,
            zones=lambda: self._fleet.zones,
            zone=self._settings.zone,
            budget=RetryBudget(
                bounds.retry_budget_ratio,
                bounds.retry_budget_extra,
                bounds.retry_budget_window,
                self._budget_node_count,
            ),
            slow_start_limiter=SlowStartLimiter(
                self._settings.name, bounds.cold_rate_multiplier, bounds.extra_cold_rate
            ),
            rate_limits=self._rate_limits,
            probe_budget=TokenBucket(self._probe_rate, lambda: self._probe_rate() * PROBE_BURST_S),
            memory=self._memory,
            report_target=self._peer_protocol.report_target,
            report_rate_limit=self._peer_protocol.report_rate_limit,
            report_leaving=self._peer_protocol.report_leaving,
            crashes=self._crash_tracker,
            report_crashes=self._crash_dissemination.report,
            count=self._metrics.count,
            clock=node_clock,
            rng=self._rng,
            admission=self._settings.admission,
            versions=self._versions,
            evidence=self._rollouts,
        )

    def _budget_node_count(self) -> int:
        """Returns the number of nodes among which the fleet's budgets are divided."""
        known = len(self._fleet.zones)
        return max(MIN_BUDGET_NODES, math.ceil(known * FLEET_GROWTH_FACTOR))

    def _probe_rate(self) -> float:
        """Returns the rate of this node's probe token bucket, in probes per second."""
        versions = self._fleet.version, self._state.state_versions.targets
        if versions != self._probe_rate_versions:
            self._probe_rate_versions = versions
            self._cached_probe_rate = self._compute_probe_rate()
        return self._cached_probe_rate

    def _compute_probe_rate(self) -> float:
        # The probe budget of a service is divided among the nodes that receive its requests: when
        # it was divided among all nodes, 18 of 110 exhausted theirs under load while the others
        # made no probes.
        registry = self._state.registry
        own_host = self._settings.peer_endpoint.host
        targets = sum(
            registry.count(service)
            for service in registry.services
            if own_host in self._serving_hosts(service, self._settings.zone)
        )
        targets_per_node = targets / placement.receiver_count(self._fleet.zones)
        minimum = (
            len(registry.target_list.targets) / self._budget_node_count() * IDLE_NODE_PROBE_FRACTION
        )
        return (
            max(targets_per_node, minimum)
            * self._settings.bounds.probe_rate_per_target
            * PROBE_BUDGET_FRACTION
        )

    # Startup and shutdown.

    async def start(self) -> None:
        """Opens all listening sockets and starts the background tasks, including the bootstrap."""
        settings = self._settings
        await self._transport.open(settings.peer_endpoint.host)
        self._caller_server.listen(settings.caller_endpoint.port, settings.caller_endpoint.host)
        ControlServer(self._serve_state).listen(
            settings.peer_endpoint.host, settings.peer_endpoint.port
        )
        if settings.metrics_endpoint is not None:
            server = ControlServer(self._serve_metrics)
            server.listen(settings.metrics_endpoint.host, settings.metrics_endpoint.port)
        log_event(
            _log,
            "started",
            incarnation=self._fleet.own_state.incarnation,
            zone=settings.zone,
            capacity=self._capacity,
        )
        self._allotments.start()
        self._spawn(self._bootstrap.run())
        self._spawn(self._run_periodically(membership.PING_PERIOD_S, self._tick))
        self._spawn(self._sample_lag())
        self._spawn(self._rollouts.run())
        self._spawn(self._run_periodically(SWEEP_PERIOD_S, self._forwarder.sweep))
        self._spawn(self._run_periodically(CONTENTION_REPORT_PERIOD_S, self._report_contention))

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("background task failed", exc_info=task.exception())

    async def _run_periodically(self, period: float, work: Callable[[], None]) -> None:
        while True:
            await asyncio.sleep(period)
            try:
                work()
            except Exception:
                _log.exception("periodic work failed")

    async def _sample_lag(self) -> None:
        """Samples the event-loop lag and announces when this node becomes or stops being busy."""
        monitor = LoopLagMonitor()
        while True:
            due = node_clock() + LAG_SAMPLE_PERIOD_S
            await asyncio.sleep(LAG_SAMPLE_PERIOD_S)
            now = node_clock()
            was_busy = monitor.is_busy
            if monitor.observe(now, now - due) != was_busy:
                log_event(_log, "busy" if monitor.is_busy else "busy no more")
                self._peer_protocol.update(is_busy=monitor.is_busy)

    def stop(self) -> None:
        """Starts a graceful shutdown; further calls have no effect."""
        if not self._shutdown.begin(node_clock()):
            return
        log_event(_log, "stopping", requests=self._caller_server.open_requests)
        self._store_sync.stop()
        self._allotments.stop()
        self._peer_protocol.update(is_leaving=True, is_ready=False)
        self._spawn(self._drain())

    async def _drain(self) -> None:
        await self._shutdown_sequence.run()
        log_event(_log, "stopped", requests=self._caller_server.open_requests)
        self._transport.close()
        self._on_stopped()

    # Shared state.

    def _is_watcher(self) -> bool:
        return self._fleet.is_watcher(node_clock())

    @property
    def is_ready(self) -> bool:
        """Whether the node has the shared state and is not stopping."""
        return self._state.is_complete and not self._shutdown.has_begun

    def _on_state_change(self, origin: ChangeOrigin) -> None:
        """Applies a change of the shared state to the components and disseminates it."""
        table = self._state.table
        if table is not None and table is not self._applied_table:
            self._applied_table = table
            self._traffic_splitter.retain_routes(table.routes)
            self._caller_server.apply_limits(table.limits)
            self._allotments.adopt(table.tenants)
        self._store_sync.note_era(self._state.era)
        self._allotments.note_era(self._state.era)
        self._versions.refresh()
        before = self._fleet.own_state
        self._fleet.set_state_versions(self._state.state_versions)
        if self.is_ready and not before.is_ready:
            log_event(_log, "ready", table=table.version)
        self._peer_protocol.on_state_change(origin, before.state_versions)
        self._peer_protocol.update(is_ready=self.is_ready)
        self._startup_gate.on_state_change()

    def _on_store_access(self, access: StoreAccess) -> None:
        """Announces whether this node can reach the store."""
        self._peer_protocol.update(store=access)
        self._observe_configuration(self._fleet.own_state)

    # Other nodes.

    def _tick(self) -> None:
        self._peer_protocol.tick()
        self._capacity_exchange.tick()
        # Each waiting resource loop ranks the watcher candidates again, so only watchers are woken.
        if self._is_watcher():
            self._spawn(self._store_sync.wake_waiting_tasks())

    def _observe_configuration(self, state: NodeState) -> None:
        self._configuration_age.observe(
            state.state_versions.table, state.store is StoreAccess.READING
        )

    def _on_datagram(self, datagram: Datagram) -> None:
        match datagram:
            case AllotmentQuestion():
                self._allotments.on_question(datagram)
            case AllotmentAnswer():
                self._allotments.on_answer(datagram)
            case AllotmentParts():
                self._allotments.on_parts(datagram)
            case _:
                self._observe_configuration(datagram.state)
                self._peer_protocol.on_datagram(datagram)
        if isinstance(datagram, CapacityReport):
            self._capacity_exchange.on_report(datagram)

    def on_target_report(self, now: float, report: TargetReport) -> None:
        """Adds another node's report to the observations of the target, for outlier detection."""
        observations = self._forwarder.access.observations_by_id(report.target_id)
        if observations is not None:
            observations.on_peer_report(now, report.failures, report.latency_ratio)

    def on_rate_limit_report(self, report: RateLimitReport) -> None:
        """Adopts another node's notice of the rate limit of a target."""
        self._forwarder.rate_limit_recorder.on_peer_notice(report.notice, report.state.name)

    def on_leaving_report(self, report: LeavingReport) -> None:
        """Adopts another node's report that a target process leaves."""
        self._forwarder.availability_recorder.on_peer_report(
            report.target_id, report.started_ms, report.state.name
        )

    def recipients(self, target_id: str) -> Callable[[NodeState], bool]:
        """Returns a predicate that selects the nodes receiving requests for a target's service."""
        target = self._state.registry.get(target_id)
        if target is None:
            return lambda state: False
        return self.service_recipients(target.service)

    def service_recipients(self, service: str) -> Callable[[NodeState], bool]:
        """Returns a predicate that selects the nodes receiving requests for a service."""
        return lambda state: state.host in self._serving_hosts(service, state.zone)

    def on_contention_report(self, now: float, report: ContentionReport) -> None:
        """Adds another node's observations to the contention curve of a known service."""
        if report.service in self._state.registry.services:
            self._forwarder.contention.of(report.service).on_peer_statistics(
                now, report.state.name, report.routes
            )

    def _report_contention(self) -> None:
        contention = self._forwarder.contention
        for service in contention.unreported(MIN_REPORTED_OBSERVATIONS):
            curve = contention.of(service)
            self._peer_protocol.report_contention(service, curve.statistics(node_clock()))
            if curve.limits and curve.limits != self._logged_limits.get(service):
                self._logged_limits[service] = curve.limits
                log_event(_log, "concurrency learned", service=service, limits=curve.limits)

    def _serving_hosts(self, service: str, zone: str) -> list[str]:
        """Returns the entry nodes that callers in a zone are given for a service."""
        return self._fleet.entry_hosts(zone, service, MAX_ENTRY_ADDRESSES)

    # HTTP endpoints.

    def _serve_state(self, method: str, path: str, query: dict[str, str]) -> ControlResponse:
        if path == CRASHES_PATH:
            records = self._crash_dissemination.records_to_transfer()
            return self._state_exchange.answer_crashes(records)
        if path == ROLLOUTS_PATH:
            return self._rollouts.answer()
        if path == EXPLAIN_PATH:
            return self._explainer.respond(query)
        if path != STATE_PATH:
            return 404, "text/plain", b"unknown path"
        nodes = (self._fleet.own_state, *self._fleet.alive())
        return self._state_exchange.answer(
            query, self._state.state_versions, self._state.update_since, nodes
        )

    def _serve_metrics(self, method: str, path: str, query: dict[str, str]) -> ControlResponse:
        self._metrics.set_gauge("rate_limits_in_force", self._rate_limits.count)
        for name, value in self._allotments.gauges.items():
            self._metrics.set_gauge(name, value)
        self._metrics.set_gauge("fair_share_lag_seconds", self._forwarder.fair_share_lag)
        self._metrics.set_gauge("blocked_requests", self._crash_tracker.blocked_count)
        self._metrics.set_gauge("rollouts_undecided", self._rollouts.undecided_count)
        self._metrics.set_gauge("unreadable_registrations", self._store.unreadable_registrations)
        self._metrics.set_gauge("store_era", self._state.era)
        self._metrics.set_gauge("store_watch", float(self._store_sync.is_reading))
        unconfirmed = self._configuration_age.unconfirmed
        if unconfirmed is not None:
            self._metrics.set_gauge("configuration_unconfirmed_seconds", unconfirmed)
        return 200, "text/plain; version=0.0.4", self._metrics.render()

    def entry_hosts(self, zone: str, service_host: str) -> list[str]:
        """Returns the entry nodes, as IP addresses, that a caller should connect to.

        Args:
            zone: availability zone of the caller.
            service_host: host name that the caller wants to reach.
        """
        table = self._state.table
        service = table.primary_service(service_host) if table else None
        return self._fleet.entry_hosts(zone, service or service_host, MAX_ENTRY_ADDRESSES)

    def address_ttl(self) -> float:
        """Returns the lifetime of entry addresses in seconds, within the operators' bounds."""
        bounds = self._settings.bounds
        lifetime = max(ADDRESS_TTL_S, self._settings.min_address_ttl)
        return min(lifetime, bounds.max_address_ttl)

    # Callers; see `Gateway`.

    def now(self) -> float:
        """Returns the time of the node's clock in seconds."""
        return node_clock()

    def limits(self) -> CallerLimits:
        """Returns the caller limits of the route table, or the defaults if there is none yet."""
        return self._state.table.limits if self._state.table else DEFAULT_LIMITS

    def is_draining(self) -> bool:
        """Whether connections are closed after the response, to move callers to other nodes."""
        return self._shutdown.has_begun

    def is_idempotent(self, request: CallerRequest) -> bool:
        """Whether a request may be executed more than once; true if no route matches it.

        Before a route table is known, no request is known to be idempotent. It may wait for the
        table, so those behind it on its connection must not run ahead of it.
        """
        table = self._state.table
        if table is None:
            return False
        route = table.route(request.host, request.path)
        return route is None or route.is_idempotent

    def is_denied(self, host: str, path: str, key_digest: str | None) -> bool:
        """Whether a request would be refused because it has no API key of a tenant."""
        return self._request_handler.is_denied(host, path, key_digest)

    def reserve_memory(self, size: int) -> bool:
        """Reserves memory for a chunk of a body; returns False if the limit would be exceeded."""
        return self._memory.reserve(size)

    def release_memory(self, size: int) -> None:
        """Releases memory that was reserved for body chunks."""
        self._memory.release(size)

    async def serve(self, request: CallerRequest) -> CallerReply:
        """Answers a request; see `RequestHandler.serve`."""
        return await self._request_handler.serve(request)

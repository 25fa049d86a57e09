"""Protocol between nodes: pings, dissemination of state changes and reports, anti-entropy."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from orioleloft_core import messages, statesources
from orioleloft_core.contention import RouteStatistics
from orioleloft_core.entrysettings import Endpoint
from orioleloft_core.fleet import Fleet
from orioleloft_core.messages import (
    Announcement,
    ContentionReport,
    CrashReport,
    Datagram,
    Delivery,
    LeavingReport,
    NodeState,
    OutgoingDatagram,
    Ping,
    PingAnswer,
    RateLimitReport,
    RolloutDirective,
    RolloutEvidence,
    SharedStateUpdate,
    StateVersions,
    TargetReport,
)
from orioleloft_core.ratelimits import RateLimitNotice
from orioleloftd.connections import ExchangeError
from orioleloftd.crashdissemination import CrashDissemination
from orioleloftd.logs import log_event
from orioleloftd.peering import DatagramEndpoint, StateExchange
from orioleloftd.rolloutcontrol import RolloutControl
from orioleloftd.sharedstate import ChangeOrigin, SharedState

# Delay before the shared state is fetched from another node, in seconds; a datagram with the same
# change may be on its way.
FETCH_DELAY_S = 0.02
# Interval at which a node that waits for sources with room looks for them again, in seconds.
FETCH_STEP_S = 0.05
# Time after which a second source is asked beside one that has not answered, in seconds, and the
# number of sources that are asked at most.
FETCH_HEDGE_DELAY_S = 0.25
MAX_SOURCES_ASKED = 3
# Interval between requests to a seed that has no shared state yet, in seconds. If the store
# answers, a restarted node has read the state from there in 0.1 s.
SEED_RETRY_S = 0.5
# Time for which seeds are asked, in seconds; after that, pings find the running nodes.
SEED_FETCH_TIMEOUT_S = 5.0
# Number of version pairs remembered for which the delta does not fit a datagram.
MAX_OVERSIZED_ENTRIES = 32
# Maximum number of node names in one log line.
MAX_LOGGED_NODES = 20

_log = logging.getLogger(__name__)


class ReportReceiver(Protocol):
    """Receives the reports that other nodes disseminate."""

    def on_target_report(self, now: float, report: TargetReport) -> None:
        """Handles a report of failures or of a high latency ratio of a target."""

    def on_contention_report(self, now: float, report: ContentionReport) -> None:
        """Handles a report of the contention at a service's targets."""

    def on_rate_limit_report(self, report: RateLimitReport) -> None:
        """Handles a report of the rate limit of a target."""

    def on_leaving_report(self, report: LeavingReport) -> None:
        """Handles a report that a target process leaves."""

    def recipients(self, target_id: str) -> Callable[[NodeState], bool]:
        """Returns a predicate that selects the nodes interested in a target's reports."""

    def service_recipients(self, service: str) -> Callable[[NodeState], bool]:
        """Returns a predicate that selects the nodes interested in a service's reports."""


class PeerProtocol:
    """Exchanges membership, state changes and reports with the other nodes.

    Args:
        fleet: membership and failure detection.
        state: shared state of this node.
        transport: sends datagrams.
        exchange: fetches the shared state over HTTP.
        reports: receives the reports of other nodes.
        crashes: exchanges the evidence on requests that crash targets.
        rollouts: exchanges the evidence on new versions of targets, and directives.
        spawn: runs a coroutine as a background task.
        clock: returns seconds of the node's clock.
        rng: random number generator.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        state: SharedState,
        transport: DatagramEndpoint,
        exchange: StateExchange,
        reports: ReportReceiver,
        crashes: CrashDissemination,
        rollouts: RolloutControl,
        spawn: Callable[[Awaitable[None]], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._state = state
        self._transport = transport
        self._state_exchange = exchange
        self._report_receiver = reports
        self._crashes = crashes
        self._rollouts = rollouts
        self._spawn = spawn
        self._clock = clock
        self._rng = rng
        self._is_fetching = False
        self._oversized: dict[tuple[StateVersions, StateVersions], None] = {}
        self._logged_version = -1
        self._logged_alive: frozenset[str] = frozenset()

    # Bootstrap.

    def fetch_from_seeds(self, seeds: Iterable[Endpoint], includes_members: bool) -> None:
        """Starts background tasks that ask the seeds until the shared state is complete.

        Args:
            seeds: addresses of the seed nodes.
            includes_members: whether one seed is asked for its member list as well. The states of
                312 nodes take 23 KB, and nodes that start together find each other by pings.
        """
        hosts = [seed.host for seed in seeds if seed.host != self._fleet.own_state.host]
        self._rng.shuffle(hosts)
        for index, host in enumerate(hosts):
            self._spawn(self._fetch_from_seed(host, includes_members and index == 0))

    async def _fetch_from_seed(self, host: str, includes_members: bool) -> None:
        end = self._clock() + SEED_FETCH_TIMEOUT_S
        while not self._state.is_complete and self._clock() < end:
            # With the state this node begins to serve, so the blocks come first.
            await self._crashes.fetch(host)
            await self._fetch(host, includes_members)
            await asyncio.sleep(SEED_RETRY_S)

    # Dissemination.

    def update(self, **changes: object) -> None:
        """Changes fields of this node's own state and announces it if any value is different."""
        if self._fleet.update(**changes):
            self.announce()

    def announce(self) -> None:
        """Announces this node's own state to all nodes."""
        self._transport.send(self._fleet.announce())

    def on_state_change(self, origin: ChangeOrigin, versions_before: StateVersions) -> None:
        """Disseminates a change of the shared state, depending on its origin.

        Args:
            origin: source of the change.
            versions_before: versions held before the change.
        """
        match origin:
            case ChangeOrigin.STORE:
                self._disseminate_update(versions_before)
            case ChangeOrigin.PEER_SNAPSHOT:
                self._transport.send(self._fleet.gossip_state())

    def _disseminate_update(self, versions_before: StateVersions) -> None:
        """Broadcasts a delta, or has a few nodes fetch the change if it exceeds a datagram."""
        update = self._state.update_since(versions_before)
        message = SharedStateUpdate(self._fleet.own_state, update)
        if not update.has_only_deltas or not self._transport.send(self._fleet.broadcast(message)):
            self._transport.send(self._fleet.gossip_state())

    def report_target(self, target_id: str, failures: float, latency_ratio: float) -> None:
        """Reports failures or a high latency ratio to the nodes that send requests to the target.

        Args:
            target_id: id of the target.
            failures: weight of the failures, 0 for none.
            latency_ratio: measured over expected response time, 0 for none.
        """
        report = TargetReport(self._fleet.own_state, target_id, failures, latency_ratio)
        self._transport.send(
            self._fleet.broadcast(report, self._report_receiver.recipients(target_id))
        )

    def report_contention(self, service: str, routes: tuple[RouteStatistics, ...]) -> None:
        """Reports this node's observations of contention to the nodes that serve the service."""
        report = ContentionReport(self._fleet.own_state, service, routes)
        self._transport.send(
            self._fleet.broadcast(report, self._report_receiver.service_recipients(service))
        )

    def report_rate_limit(self, notice: RateLimitNotice) -> None:
        """Reports the rate limit of a target to all nodes, as callers may send to any of them."""
        self._transport.send(self._fleet.broadcast(RateLimitReport(self._fleet.own_state, notice)))

    def report_leaving(self, target_id: str, started_ms: int) -> None:
        """Reports to all nodes that a target process leaves, as callers may send to any of them.

        Args:
            target_id: id of the target.
            started_ms: start of the process, in Unix milliseconds.
        """
        report = LeavingReport(self._fleet.own_state, target_id, started_ms)
        self._transport.send(self._fleet.broadcast(report))

    # Periodic work and incoming datagrams.

    def tick(self) -> None:
        """Sends due pings and fetches newer state; called every `membership.PING_PERIOD_S`."""
        self._transport.send(self._fleet.tick(self._clock()))
        self._crashes.tick()
        self._log_nodes()
        self._fetch_newer_state(is_directly_announced=False)

    def _log_nodes(self) -> None:
        if self._fleet.version == self._logged_version:
            return
        self._logged_version = self._fleet.version
        alive = frozenset(state.name for state in self._fleet.alive())
        for event, names in (
            ("node heard", alive - self._logged_alive),
            ("node down", self._logged_alive - alive),
        ):
            if names:
                shown = sorted(names)[:MAX_LOGGED_NODES]
                log_event(_log, event, nodes=shown, count=len(names), alive=len(alive))
        self._logged_alive = alive

    def on_datagram(self, datagram: Datagram) -> None:
        """Handles a datagram: updates the membership, applies or relays its content."""
        now = self._clock()
        self._transport.send(self._fleet.receive(now, datagram))
        match datagram:
            case TargetReport(target_id=target_id):
                self._report_receiver.on_target_report(now, datagram)
                self._transport.send(
                    self._fleet.relay(datagram, self._report_receiver.recipients(target_id))
                )
            case ContentionReport(service=service):
                self._report_receiver.on_contention_report(now, datagram)
                self._transport.send(
                    self._fleet.relay(datagram, self._report_receiver.service_recipients(service))
                )
            case CrashReport():
                self._crashes.on_report(datagram)
            case RolloutEvidence() | RolloutDirective():
                self._rollouts.on_datagram(datagram)
            case RateLimitReport():
                self._report_receiver.on_rate_limit_report(datagram)
                self._transport.send(self._fleet.relay(datagram))
            case LeavingReport():
                self._report_receiver.on_leaving_report(datagram)
                self._transport.send(self._fleet.relay(datagram))
            case SharedStateUpdate():
                self._on_state_update(datagram)
            case Ping(state=state) | PingAnswer(state=state):
                self._send_missing_delta(state)
            case Announcement(delivery=delivery):
                self._fetch_newer_state(is_directly_announced=delivery is Delivery.DIRECT)

    def _on_state_update(self, message: SharedStateUpdate) -> None:
        """Applies a delta, and relays it within this zone if it changed anything here."""
        versions_before = self._fleet.own_state.state_versions
        self._state.apply(message.update, message.state.host)
        if self._fleet.own_state.state_versions != versions_before:
            self._transport.send(self._fleet.relay(message))

    def _send_missing_delta(self, state: NodeState) -> None:
        """Sends an outdated node the delta to this node's versions if it fits a datagram."""
        if not messages.has_newer_version(
            self._fleet.own_state.state_versions, state.state_versions
        ):
            return
        key = self._fleet.own_state.state_versions, state.state_versions
        if key in self._oversized:
            return
        update = self._state.update_since(state.state_versions)
        message = OutgoingDatagram(state.host, SharedStateUpdate(self._fleet.own_state, update))
        if not update.has_only_deltas or not self._transport.send([message]):
            # Computing and encoding a thousand routes for every ping would block the event loop.
            self._oversized[key] = None
            while len(self._oversized) > MAX_OVERSIZED_ENTRIES:
                self._oversized.pop(next(iter(self._oversized)))

    # Anti-entropy: fetching from nodes that hold newer versions.

    def _fetch_newer_state(self, is_directly_announced: bool) -> None:
        """Starts a fetch of the shared state from a node that holds a newer version, if any does.

        Args:
            is_directly_announced: whether an announcement sent to this node itself caused the
                fetch; then it does not wait for a node in its own zone to have the change.
        """
        if self._is_fetching or not self._fleet.nodes_ahead():
            return
        self._is_fetching = True
        self._spawn(self._fetch_after_delay(is_directly_announced))

    async def _fetch_after_delay(self, is_directly_announced: bool) -> None:
        started_at = self._clock()
        try:
            await asyncio.sleep(FETCH_DELAY_S)
            while ahead := self._fleet.nodes_ahead():
                chosen = statesources.choose_sources(
                    self._fleet.own_state,
                    ahead,
                    zone_size=self._fleet.zone_size,
                    waited=self._clock() - started_at,
                    is_directly_announced=is_directly_announced,
                    rng=self._rng,
                )
                if chosen:
                    await self._fetch_from_any([state.host for state in chosen[:MAX_SOURCES_ASKED]])
                    return
                await asyncio.sleep(FETCH_STEP_S)
        finally:
            self._is_fetching = False

    async def _fetch_from_any(self, hosts: list[str]) -> None:
        """Fetches from the first source, and from the next ones while none has answered."""
        pending: set[asyncio.Task[bool]] = set()
        try:
            for host in hosts:
                pending.add(asyncio.ensure_future(self._fetch(host)))
                if await self._wait_for_any(pending, FETCH_HEDGE_DELAY_S):
                    return
            while pending and not await self._wait_for_any(pending, None):
                pass
        finally:
            for task in pending:
                task.cancel()

    async def _wait_for_any(self, pending: set[asyncio.Task[bool]], timeout: float | None) -> bool:
        """Waits until a fetch ends and removes it from the set; returns whether it succeeded."""
        done, _ = await asyncio.wait(pending, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        pending -= done
        return any([task.result() for task in done])

    async def _fetch(self, host: str, includes_members: bool = False) -> bool:
        """Fetches the shared state from a node and applies it; returns whether it answered."""
        try:
            fetched = await self._state_exchange.fetch(
                host, self._state.state_versions, includes_members
            )
        except ExchangeError as error:
            log_event(_log, "state not fetched", source=host, reason=str(error))
            return False
        for node in fetched.transfer.nodes:
            self._fleet.merge_state(node)
        update, versions_before = fetched.transfer.update, self._state.state_versions
        self._state.apply(update, host)
        is_newer = self._state.state_versions != versions_before
        # A snapshot is announced by `on_state_change`, and a small delta reaches all nodes as a
        # datagram.
        if is_newer and update.has_only_deltas and fetched.exceeds_datagram:
            self._transport.send(self._fleet.gossip_state(is_fetched=True))
        return True

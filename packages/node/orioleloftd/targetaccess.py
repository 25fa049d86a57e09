"""Access to targets: pooled connections, observations for outlier detection, and load probes."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from orioleloft_core.acceptdelay import AcceptDelays
from orioleloft_core.memory import MemoryAccount
from orioleloft_core.observations import (
    OVERSIZED_RESPONSE_WEIGHT,
    LoadFigures,
    TargetObservations,
)
from orioleloft_core.ratelimits import AnswerKind
from orioleloft_core.registry import RegisteredTarget, TargetRegistry
from orioleloft_core.routes import RoutedService
from orioleloft_core.selection import ProbedTarget
from orioleloft_core.targetavailability import TargetAvailability
from orioleloftd.availabilityrecorder import AvailabilityRecorder
from orioleloftd.connections import (
    CONNECT_TIMEOUT_S,
    PROBE_RESPONSE_LIMITS,
    Connection,
    ConnectionPool,
    ExchangeError,
    connect,
)
from orioleloftd.logs import log_event
from orioleloftd.ratelimitrecorder import RateLimitRecorder
from orioleloftd.wire import WireFormat

# Time to wait for a connection or for probe responses before a request goes elsewhere, in seconds.
# A probe takes up to 6 ms at the target and a round trip between zones 2 ms.
PROBE_WAIT_S = 0.016
# Timeout of a probe, in seconds; a probe that times out counts as a failure of the target.
PROBE_TIMEOUT_S = 1.0

_log = logging.getLogger(__name__)


def result_or_none(task: asyncio.Task) -> Any:
    """Returns the result of a finished task, or None if it was cancelled or failed.

    An exception of the task is logged.
    """
    if task.cancelled():
        return None
    if task.exception() is not None:
        _log.error("task failed", exc_info=task.exception())
        return None
    return task.result()


class TargetAccess:
    """Connection pool and observations of all targets, by target process.

    Args:
        wire: format of the headers.
        registry: the known targets.
        memory: account that is charged for response bodies.
        count: increments a metric.
        clock: seconds on the node's clock.
        rate_limits: records the rate limits that the targets state.
        availability: decides whether a target may be asked.
        availability_recorder: records what the targets state about it.
    """

    def __init__(
        self,
        wire: WireFormat,
        registry: TargetRegistry,
        memory: MemoryAccount,
        count: Callable[..., None],
        clock: Callable[[], float],
        rate_limits: RateLimitRecorder,
        availability: TargetAvailability,
        availability_recorder: AvailabilityRecorder,
    ) -> None:
        self._wire = wire
        self._registry = registry
        self._count = count
        self._clock = clock
        self._observations: dict[tuple[str, int], TargetObservations] = {}
        self._memory = memory
        self._accept_delays = AcceptDelays()
        self._rate_limits = rate_limits
        self._availability = availability
        self._availability_recorder = availability_recorder
        self._pool = ConnectionPool(clock, lambda: count("target_connections"), memory)

    def observations(self, target: RegisteredTarget) -> TargetObservations:
        """Returns the observations of a target process, which are created on first use."""
        key = (target.id, target.started_ms)
        found = self._observations.get(key)
        if found is None:
            found = self._observations[key] = TargetObservations()
        return found

    def known_observations(self, target: RegisteredTarget) -> TargetObservations:
        """Returns the observations of a target process, or empty ones that are not kept."""
        return self._observations.get((target.id, target.started_ms)) or TargetObservations()

    def observations_by_id(self, target_id: str) -> TargetObservations | None:
        """Returns the observations of a registered target, or None if it is unknown."""
        target = self._registry.get(target_id)
        return None if target is None else self.observations(target)

    def has_idle_connection(self, target: RegisteredTarget) -> bool:
        """Whether the pool holds an idle connection to a target."""
        return self._pool.has_idle((target.id, target.started_ms))

    def sweep(self) -> None:
        """Closes expired connections and drops the state of targets that are not registered.

        To be called periodically.
        """
        known = {(t.id, t.started_ms) for t in self._registry.target_list.targets}
        self._observations = {
            key: observations
            for key, observations in self._observations.items()
            if key in known or observations.in_flight > 0
        }
        self._pool.sweep(lambda key: key in known)
        self._rate_limits.retain_only(known)

    async def probe(
        self, target: RegisteredTarget, service: RoutedService, has_permit: bool = False
    ) -> tuple[ProbedTarget, Connection] | None:
        """Probes a target for its load and updates the observations of it.

        Args:
            target: the target.
            service: its service.
            has_permit: whether a permit for a target with a rate limit was used for the probe.

        Returns:
            Its load and a connection that is ready for a request, or None if the probe failed or
            the target accepts no requests.
        """
        try:
            return await self._probe(target, service, has_permit)
        except Exception:
            # A defect that one target triggers must not end the requests that probe it.
            _log.exception("probe failed unexpectedly")
            self.observations(target).on_failure(self._clock())
            return None

    async def _probe(
        self, target: RegisteredTarget, service: RoutedService, has_permit: bool
    ) -> tuple[ProbedTarget, Connection] | None:
        observations = self.observations(target)
        if self._availability.withdrawal(self._clock(), target) is not None:
            return None
        self._count("probes")
        observations.open_probes += 1
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                started_at = self._clock()
                connection = await self._acquire(target)
                connected_at = self._clock()
                is_new = connection.is_unused
                if self._availability.withdrawal(connected_at, target) is not None or (
                    self._rate_limits.is_limited(target) and not has_permit
                ):
                    self.release(target, connection)
                    return None
                self._rate_limits.on_sent(target, "probe")
                response = await connection.exchange(
                    "GET",
                    service.health_path,
                    self._wire.probe_headers(f"{target.host}:{target.port}"),
                    b"",
                    lambda status, headers: bool(
                        self._wire.parse_response(status, headers).target_id
                    ),
                    PROBE_RESPONSE_LIMITS,
                )
        except (ExchangeError, TimeoutError) as error:
            # A target without free slots responds late to probes, which is not a failure.
            if not (isinstance(error, TimeoutError) and observations.is_full):
                is_oversized = isinstance(error, ExchangeError) and error.is_oversized
                observations.on_failure(
                    self._clock(), OVERSIZED_RESPONSE_WEIGHT if is_oversized else 1.0
                )
            log_event(_log, "probe failed", target=target.id, reason=str(error) or "timeout")
            return None
        finally:
            observations.open_probes -= 1
        metadata = self._wire.parse_response(response.status, response.headers)
        now = self._clock()
        accept_delay = None
        if is_new:
            # Connecting takes one round trip, and so does the exchange beside the target's work.
            accept_delay = (now - connected_at) - (connected_at - started_at)
        load = self.record_load(target, metadata.load, accept_delay)
        self._availability_recorder.on_answer(target, metadata.availability)
        if metadata.target_id == target.id:
            observations.on_cold(now, metadata.cold_seconds)
            self._rate_limits.on_answer(target, metadata.rate_limit, AnswerKind.PROBE, connected_at)
        if metadata.target_id != target.id or metadata.is_not_executed or response.status != 200:
            log_event(
                _log,
                "probe refused",
                target=target.id,
                status=response.status,
                by=metadata.target_id,
            )
            if metadata.target_id != target.id:
                # The address was reassigned to another target, so this one is gone.
                observations.on_failure(self._clock())
                connection.close()
            elif metadata.is_not_executed:
                self.release(target, connection)
            else:
                connection.close()
            return None
        if self._availability.withdrawal(now, target) is not None or not connection.is_usable:
            connection.close()
            return None
        connection.set_idle_timeout(metadata.idle_timeout)
        return ProbedTarget(target, load, metadata.cold_seconds > 0), connection

    async def _acquire(self, target: RegisteredTarget) -> Connection:
        """Returns a connection for a probe: a new one if only that shows the target's speed."""
        if self._uses_new_connections(target):
            connection = await self._pool.open(target.host, target.port)
        else:
            key = (target.id, target.started_ms)
            connection = await self._pool.acquire(key, target.host, target.port)
        return connection

    def _uses_new_connections(self, target: RegisteredTarget) -> bool:
        return self.observations(
            target
        ).reports_load is False and self._accept_delays.is_informative(target.service)

    def record_load(
        self,
        target: RegisteredTarget,
        reported: LoadFigures | None,
        accept_delay: float | None = None,
    ) -> LoadFigures:
        """Records the load of a target after an answer and returns it, estimated if need be.

        Args:
            target: the target that has answered.
            reported: the load in the answer, or None if it states none.
            accept_delay: see `AcceptDelays.observe`, or None if the connection was used before.
        """
        observations = self.observations(target)
        if reported is not None:
            observations.on_load_report(self._clock(), reported)
            return reported
        pace = None
        if accept_delay is not None:
            pace = self._accept_delays.observe(target.service, accept_delay)
        return observations.on_answer_without_load(self._clock(), target.slots, pace)

    def release_late_probe(self, task: asyncio.Task) -> None:
        """Returns the connection of a late probe to the pool; a done callback of its task."""
        found = result_or_none(task)
        if found is not None:
            candidate, connection = found
            self.release(candidate.target, connection)

    def release(self, target: RegisteredTarget, connection: Connection) -> None:
        """Returns a connection to the pool after a complete response.

        It is closed if the next probe of the target uses a new connection anyway.
        """
        if self._uses_new_connections(target):
            connection.close()
            return
        self._pool.release((target.id, target.started_ms), connection)

    async def open(self, target: RegisteredTarget) -> Connection | None:
        """Opens a connection for a request without a probe, or returns None if that fails.

        The connection is new, as only a probe shows whether an idle one still works.
        """
        try:
            async with asyncio.timeout(PROBE_WAIT_S):
                return await self._pool.open(target.host, target.port)
        except TimeoutError:
            # This node may be busy, so it does not count as a failure of the target.
            log_event(_log, "connection failed", target=target.id, reason="timeout")
        except ExchangeError as error:
            self.observations(target).on_failure(self._clock())
            log_event(_log, "connection failed", target=target.id, reason=str(error))
        return None

    async def connection_failure(self, target: RegisteredTarget) -> str | None:
        """Opens a new connection to a target; returns why it accepts none, or None if it does."""
        try:
            connection = await connect(
                target.host, target.port, self._clock(), CONNECT_TIMEOUT_S, self._memory
            )
        except ExchangeError as error:
            return str(error)
        connection.close()
        return None

"""Access to targets: connections, evidence, and probes of their state."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from orioleloft_core.stats import EXCESSIVE_FAILURES, TargetEvidence
from orioleloft_core.memory import MemoryAccount
from orioleloft_core.registry import RegisteredTarget, Registry
from orioleloft_core.routes import RoutedService
from orioleloft_core.selection import Offer
from orioleloftd.connections import (
    CONNECT_TIMEOUT_S,
    PROBE_RESPONSE_LIMITS,
    Connection,
    ConnectionPool,
    ExchangeError,
    connect,
)
from orioleloftd.logs import log_event
from orioleloftd.wire import Wire

# Time after which an unanswered probe counts as a failure of the target, in seconds.
PROBE_TIMEOUT_S = 1.0

_log = logging.getLogger(__name__)


def result_or_none(task: asyncio.Task) -> Any:
    """Returns the result of a task that has ended, or None if it has none."""
    if task.cancelled():
        return None
    if task.exception() is not None:
        _log.error("task failed", exc_info=task.exception())
        return None
    return task.result()


class TargetAccess:
    """Connections to targets and what they have shown.

    Args:
        wire: form of the headers.
        registry: the known targets.
        memory: account that the bodies of answers count against.
        count: counts an event for the metrics.
        clock: seconds on the node's clock.
    """

    def __init__(
        self,
        wire: Wire,
        registry: Registry,
        memory: MemoryAccount,
        count: Callable[..., None],
        clock: Callable[[], float],
    ) -> None:
        self._wire = wire
        self._registry = registry
        self._count = count
        self._clock = clock
        self._stats: dict[tuple[str, int], TargetEvidence] = {}
        self._memory = memory
        self._pool = ConnectionPool(clock, lambda: count("target_connections"), memory)

    def stats(self, target: RegisteredTarget) -> TargetEvidence:
        """Returns the evidence about one process of a target."""
        key = (target.id, target.started_ms)
        found = self._stats.get(key)
        if found is None:
            found = self._stats[key] = TargetEvidence()
        return found

    def evidence_by_id(self, target_id: str) -> TargetEvidence | None:
        """Returns the evidence about a registered target, or None if it is unknown."""
        target = self._registry.get(target_id)
        return None if target is None else self.stats(target)

    def is_connected(self, target: RegisteredTarget) -> bool:
        """Whether an open connection to a target is idle."""
        return self._pool.has_idle((target.id, target.started_ms))

    def sweep(self) -> None:
        """Closes idle connections and forgets targets that are gone; called now and then."""
        known = {(t.id, t.started_ms) for t in self._registry.target_list.targets}
        self._stats = {
            key: stats for key, stats in self._stats.items() if key in known or stats.in_flight > 0
        }
        self._pool.sweep(lambda key: key in known)

    async def probe(
        self, target: RegisteredTarget, service: RoutedService
    ) -> tuple[Offer, Connection] | None:
        """Asks a target for its state; returns None if it must not receive work."""
        key = (target.id, target.started_ms)
        stats = self.stats(target)
        self._count("probes")
        stats.open_probes += 1
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                connection = await self._pool.acquire(key, target.host, target.port)
                response = await connection.exchange(
                    "GET",
                    service.health_path,
                    self._wire.probe_headers(f"{target.host}:{target.port}"),
                    b"",
                    lambda status, headers: bool(
                        self._wire.answer_facts(status, headers).target_id
                    ),
                    PROBE_RESPONSE_LIMITS,
                )
        except (ExchangeError, TimeoutError) as error:
            # A full target answers its probes late, which is no fault.
            if not (isinstance(error, TimeoutError) and stats.is_full):
                is_oversized = isinstance(error, ExchangeError) and error.is_oversized
                stats.on_failure(self._clock(), EXCESSIVE_FAILURES if is_oversized else 1.0)
            log_event(_log, "probe failed", target=target.id, reason=str(error) or "timeout")
            return None
        finally:
            stats.open_probes -= 1
        metadata = self._wire.answer_facts(response.status, response.headers)
        if metadata.load is not None:
            stats.on_load(self._clock(), metadata.load)
        if metadata.target_id == target.id:
            stats.on_cold(self._clock(), metadata.cold_for)
        if metadata.target_id != target.id or metadata.is_not_run or response.status != 200:
            log_event(
                _log,
                "probe refused",
                target=target.id,
                status=response.status,
                by=metadata.target_id,
            )
            if metadata.target_id != target.id:
                # The address belongs to another target now, so this one is gone.
                stats.on_failure(self._clock())
                connection.close()
            elif metadata.is_not_run:
                self.release(target, connection)
            else:
                connection.close()
            return None
        if not connection.is_usable:
            connection.close()
            return None
        connection.set_idle_timeout(metadata.idle_timeout)
        return Offer(target, metadata.load, metadata.cold_for > 0), connection

    def release_probed(self, task: asyncio.Task) -> None:
        """Keeps the connection of a candidate whose answer nobody waited for."""
        found = result_or_none(task)
        if found is not None:
            candidate, connection = found
            self.release(candidate.target, connection)

    def release(self, target: RegisteredTarget, connection: Connection) -> None:
        """Takes a connection back after a whole answer."""
        self._pool.release((target.id, target.started_ms), connection)

    async def is_reachable(self, target: RegisteredTarget) -> bool:
        """Whether a target accepts a new connection."""
        try:
            connection = await connect(
                target.host, target.port, self._clock(), CONNECT_TIMEOUT_S, self._memory
            )
        except ExchangeError:
            return False
        connection.close()
        return True

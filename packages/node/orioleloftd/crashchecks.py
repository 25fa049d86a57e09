"""Finds out whether a target has crashed under a request, and clears requests that are answered."""

import asyncio
import logging
from collections.abc import Callable

from orioleloft_core.crashes import CrashRecord, CrashTracker, process_id
from orioleloft_core.registry import RegisteredTarget
from orioleloft_core.targetavailability import TargetAvailability
from orioleloftd.logs import log_event
from orioleloftd.requestcontext import CallerRequest
from orioleloftd.targetaccess import TargetAccess

_log = logging.getLogger(__name__)


class CrashChecks:
    """Collects the evidence on requests that crash targets, and reports it to other nodes.

    Args:
        tracker: evidence of this node and of the others.
        report: reports evidence to other nodes.
        access: connections to targets.
        availability: tells which targets leave or pause.
        count: increments a metric.
        clock: seconds on the node's clock.
    """

    def __init__(
        self,
        tracker: CrashTracker,
        report: Callable[[tuple[CrashRecord, ...]], None],
        access: TargetAccess,
        availability: TargetAvailability,
        count: Callable[..., None],
        clock: Callable[[], float],
    ) -> None:
        self._tracker = tracker
        self._report = report
        self._access = access
        self._availability = availability
        self._count = count
        self._clock = clock
        self._tasks: set[asyncio.Task] = set()

    def start(self, request: CallerRequest, target: RegisteredTarget) -> asyncio.Task:
        """Starts a background check whether a target has crashed that broke off its response."""
        task = asyncio.get_running_loop().create_task(self._run(request, target))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run(self, request: CallerRequest, target: RegisteredTarget) -> None:
        if self._availability.withdrawal(self._clock(), target) is not None:
            # The process has announced that it stops, or wants no connection now.
            return
        reason = await self._access.connection_failure(target)
        if reason is None:
            return
        records = self._tracker.on_crash(
            self._clock(), request.fingerprints, process_id(target.id, target.started_ms)
        )
        log_event(
            _log,
            "target crashed",
            request=request.id,
            target=target.id,
            crashes={r.scope.name.lower(): len(r.crashed) - len(r.cleared) for r in records},
            reason=reason,
        )
        self._count("target_crashes")
        self._report(records)

    def on_answer(self, request: CallerRequest) -> None:
        """Clears a request of the crashes that it was suspected of, as a target has answered it."""
        records = self._tracker.on_answer(self._clock(), request.fingerprints)
        if not records:
            return
        log_event(
            _log,
            "request cleared",
            request=request.id,
            crashes={r.scope.name.lower(): len(r.crashed) for r in records},
        )
        self._report(records)

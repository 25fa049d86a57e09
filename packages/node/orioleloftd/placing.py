"""Choice of a target for a request: probes of candidates, and the line of those that wait."""

import asyncio
import contextlib
import logging
from collections.abc import Callable

from orioleloft_core.budget import TokenBucket
from orioleloft_core.coldstart import ColdStarts
from orioleloft_core.registry import RegisteredTarget, Registry
from orioleloft_core.routes import RoutedService
from orioleloft_core.selection import FIRST_CANDIDATES, Offer, Selector
from orioleloft_core.waitline import Waiter, WaitLine
from orioleloft_core.worktime import WorkTimes
from orioleloftd.connections import Connection
from orioleloftd.jobs import SelectedTarget, RequestContext
from orioleloftd.logs import log_event
from orioleloftd.probing import TargetAccess

# Time for candidates to answer before the best of those that did is chosen, in seconds. A probe
# takes up to 6 ms at the target and a round trip between zones 2 ms.
PROBE_WAIT_S = 0.016
# A request stops waiting when this multiple of its working time is left of its target latency: work
# takes longer than usual on shared machines.
QUEUE_WORK_MARGIN = 1.3
# A request that is late already still prefers targets up to this pace; spells of slow machines end
# after 0.3 s, while a slow target keeps its slot for several times as long.
LATE_SLOWDOWN = 2.0
# A request that is late already waits for this long, in seconds, as a slot may just get free.
MIN_QUEUE_WAIT_S = 0.08
# A request that has been tried before waits for this long, in seconds: its answer is late either
# way, and callers who wait in vain come back later.
CALLER_RETRY_WAIT_S = 0.4
# A request with less time left than this is not sent any more, in seconds.
MIN_DISPATCH_S = 0.03

_log = logging.getLogger(__name__)


class _SlotHandover:
    """Place where a waiting request is given a target whose slot has become free."""

    def __init__(self) -> None:
        self._event = asyncio.Event()
        self._slot: tuple[Offer, Connection] | None = None

    def put(self, candidate: Offer, connection: Connection) -> None:
        """Gives a target; the request has left the line, so it is given one at a time."""
        self._slot = (candidate, connection)
        self._event.set()

    def take(self) -> tuple[Offer, Connection] | None:
        """Returns what was given, once."""
        slot, self._slot = self._slot, None
        self._event.clear()
        return slot

    async def wait(self, seconds: float) -> None:
        """Waits until a target is given, for a time at most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._event.wait()


class TargetChooser:
    """Finds the target for each request.

    Args:
        access: connections and evidence.
        registry: the known targets.
        selector: chooses among targets.
        work_times: expected working times.
        zones: returns the availability zones of all registered nodes by name.
        cold_starts: ration of cold targets.
        probe_budget: probes that this node may make.
        clock: seconds on the node's clock.
    """

    def __init__(
        self,
        *,
        access: TargetAccess,
        registry: Registry,
        selector: Selector,
        work_times: WorkTimes,
        zones: Callable[[], dict[str, str]],
        cold_starts: ColdStarts,
        probe_budget: TokenBucket,
        clock: Callable[[], float],
    ) -> None:
        self._access = access
        self._registry = registry
        self._selector = selector
        self._work_times = work_times
        self._zones = zones
        self._cold_starts = cold_starts
        self._probe_budget = probe_budget
        self._clock = clock
        self._queues: dict[str, WaitLine] = {}
        self._probe_tasks: set[asyncio.Task] = set()

    def has_queued(self, service: str) -> bool:
        """Whether requests of a service wait for a target."""
        return bool(self._queues.get(service))

    def sweep(self) -> None:
        """Forgets targets that are gone."""
        self._cold_starts.forget(target.id for target in self._registry.target_list.targets)

    async def choose(self, context: RequestContext) -> SelectedTarget | None:
        """Returns a target that can start the request now, if need be after a short wait."""
        queue = self._queues.setdefault(context.service.name, WaitLine())
        selected = None
        if not queue.is_blocked(context.rank):
            selected = await self.probe_candidates(context)
        now = self._clock()
        if selected is not None:
            queue.on_passed(now)
            return selected
        give_up_at = now + self._max_wait(context, now)
        waiter = queue.join(now, context.rank, give_up_at, _SlotHandover())
        if waiter is None:
            self._log_no_target(context, queue, now, "the line is too long")
            return None
        try:
            selected = await self._wait_in_queue(context, queue, waiter)
        finally:
            queue.leave(waiter)
            unused_slot = waiter.handle.take()
            if unused_slot is not None:
                self.hand_over(context.service.name, *unused_slot)
        if selected is None:
            self._log_no_target(context, queue, now, "no target became free in time")
        else:
            queue.on_served(self._clock(), context.rank)
        return selected

    def _log_no_target(
        self, context: RequestContext, queue: WaitLine, since: float, reason: str
    ) -> None:
        log_event(
            _log,
            "no target",
            request=context.request.id,
            reason=reason,
            waited_ms=round((self._clock() - since) * 1000),
            line=len(queue),
            usable=len(self._registry.usable(context.service.name)),
            asked=context.probe_count,
            offers={candidate.target.id: candidate.load for candidate in context.candidates},
            cold=[candidate.target.id for candidate in context.candidates if candidate.is_cold],
            targets=self._registry.target_list.version.revision,
        )

    def _max_wait(self, context: RequestContext, now: float) -> float:
        """Returns the time for which waiting for a target still serves the caller, in seconds."""
        work = self._work_times.expected(context.route.name, context.route.target_latency)
        remaining = context.deadline - now - work
        if context.is_caller_retry:
            return max(MIN_QUEUE_WAIT_S, min(CALLER_RETRY_WAIT_S, remaining))
        useful_wait = (
            context.request.arrived_at
            + context.route.target_latency
            - QUEUE_WORK_MARGIN * work
            - now
        )
        return max(MIN_QUEUE_WAIT_S, min(useful_wait, remaining))

    async def _wait_in_queue(
        self, context: RequestContext, queue: WaitLine, waiter: Waiter
    ) -> SelectedTarget | None:
        while True:
            remaining = waiter.give_up_at - self._clock()
            if remaining <= 0:
                # Where others wait, a slot for an answer that is late makes theirs late as well.
                is_only_waiter = len(queue) == 1
                return (
                    await self.probe_candidates(context, allows_late=True)
                    if is_only_waiter
                    else None
                )
            await waiter.handle.wait(min(remaining, queue.poll))
            slot = waiter.handle.take()
            selected = None
            if slot is not None:
                selected = self._accept_handover(context, *slot)
                if selected is None:
                    queue.rejoin(waiter)
            elif queue.head is waiter:
                selected = await self.probe_candidates(context)
                if selected is None:
                    queue.on_nothing_free()
            if selected is not None:
                return selected

    def _accept_handover(
        self, context: RequestContext, candidate: Offer, connection: Connection
    ) -> SelectedTarget | None:
        """Takes a target whose slot an earlier request of this node has just left."""
        now = self._clock()
        work = self._work_times.expected(context.route.name, context.route.target_latency)
        is_eligible = candidate.target.id not in context.tried_ids and self._registry.may_use(
            candidate.target
        )
        if not (
            is_eligible and connection.is_usable and self._is_in_time(context, candidate, now, work)
        ):
            self._access.release(candidate.target, connection)
            return None
        service_time = self._selector.service_time(now, candidate, work)
        self._access.stats(candidate.target).on_chosen()
        return SelectedTarget(candidate, connection, service_time)

    def hand_over(self, service: str, candidate: Offer, connection: Connection) -> None:
        """Gives a target with a free slot to the request that waits longest, or keeps it."""
        queue = self._queues.get(service)
        waiter = queue.head if queue else None
        is_free = self._selector.is_open(candidate) and connection.is_usable
        if waiter is None or not is_free or not self._registry.may_use(candidate.target):
            self._access.release(candidate.target, connection)
            return
        queue.leave(waiter)
        waiter.handle.put(candidate, connection)

    async def probe_candidates(
        self, context: RequestContext, allows_late: bool = False
    ) -> SelectedTarget | None:
        """Asks candidates and returns the best one that can start the request now.

        Args:
            job: the request.
            takes_slow: whether a target may be taken that will answer after the target latency.
        """
        now = self._clock()
        usable = [
            target
            for target in self._registry.usable(context.service.name)
            if target.id not in context.tried_ids and self._is_probe_allowed(now, context, target)
        ]
        ranked = self._selector.candidates(now, usable)
        probes: dict[asyncio.Task, RegisteredTarget] = {}
        responsive: dict[Offer, Connection] = {}
        context.probe_count = 0
        try:
            for batch in (ranked[:FIRST_CANDIDATES], ranked[FIRST_CANDIDATES:]):
                for target in batch:
                    if self._probe_budget.take(self._clock()):
                        probes[self._start_probe(target, context.service)] = target
                        context.probe_count += 1
                await self._collect_responses(context, probes, responsive)
                if self._has_good_candidate(responsive):
                    break
            context.candidates = tuple(responsive)
            return self._select_best(context, responsive, allows_late)
        finally:
            for task in probes:
                task.add_done_callback(self._access.release_probed)
            for candidate, connection in responsive.items():
                self._access.release(candidate.target, connection)

    def _start_probe(self, target: RegisteredTarget, service: RoutedService) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(self._access.probe(target, service))
        self._probe_tasks.add(task)
        task.add_done_callback(self._probe_tasks.discard)
        return task

    def _has_good_candidate(self, responsive: dict[Offer, Connection]) -> bool:
        now = self._clock()
        return any(self._selector.is_clearly_good(now, candidate) for candidate in responsive)

    async def _collect_responses(
        self,
        context: RequestContext,
        probes: dict[asyncio.Task, RegisteredTarget],
        responsive: dict[Offer, Connection],
    ) -> None:
        """Waits for answers until one is good enough or the time to wait is over."""
        end = min(self._clock() + PROBE_WAIT_S, context.deadline - MIN_DISPATCH_S)
        while probes and not self._has_good_candidate(responsive):
            remaining = end - self._clock()
            if remaining <= 0:
                return
            done, _ = await asyncio.wait(
                probes, timeout=remaining, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                del probes[task]
                if task.result() is not None:
                    candidate, connection = task.result()
                    responsive[candidate] = connection

    def _select_best(
        self, context: RequestContext, responsive: dict[Offer, Connection], allows_late: bool
    ) -> SelectedTarget | None:
        """Takes the best offer out of those answered."""
        now = self._clock()
        if context.deadline - now < MIN_DISPATCH_S:
            return None
        latency = context.route.target_latency
        work = self._work_times.expected(context.route.name, latency)
        eligible = [
            candidate
            for candidate, connection in responsive.items()
            if connection.is_usable
            and self._registry.may_use(candidate.target)
            and self._selector.is_open(candidate)
            and self._is_soon_enough(context, candidate, now, work, allows_late)
            and self._is_dispatch_allowed(now, context, candidate)
        ]
        best = self._selector.best(now, eligible, work, latency)
        if best is None:
            return None
        service_time = self._selector.service_time(now, best, work)
        self._access.stats(best.target).on_chosen()
        if best.is_cold:
            self._cold_starts.on_sent(now, best.target.id)
        return SelectedTarget(best, responsive.pop(best), service_time)

    def _is_in_time(
        self, context: RequestContext, candidate: Offer, now: float, work: float
    ) -> bool:
        """Whether a target would answer within the target latency, or at a usual pace if late."""
        expected = self._selector.service_time(now, candidate, work)
        due_at = context.request.arrived_at + context.route.target_latency
        return expected <= max(due_at - now, LATE_SLOWDOWN * work)

    def _is_soon_enough(
        self, context: RequestContext, candidate: Offer, now: float, work: float, allows_late: bool
    ) -> bool:
        """Whether a target would answer in time, or at least while the caller waits."""
        if not allows_late:
            return self._is_in_time(context, candidate, now, work)
        return self._selector.service_time(now, candidate, work) <= context.deadline - now

    def release_unused(self, selected: SelectedTarget) -> None:
        """Takes back a target that was chosen for a request and not sent it."""
        target = selected.candidate.target
        self._access.stats(target).on_withdrawn()
        if selected.candidate.is_cold:
            self._cold_starts.on_withdrawn(target.id)
        self._access.release(target, selected.connection)

    def _is_probe_allowed(
        self, now: float, context: RequestContext, target: RegisteredTarget
    ) -> bool:
        """Whether a target can take a request of this node by what is known before it is asked.

        After the return of a zone most of its targets are cold; probes of targets that this node
        may not use would take the places of others.
        """
        if not self._access.stats(target).is_cold(now):
            return True
        return self._cold_starts.may_send(now, target, context.service.cold_per_s, self._zones())

    def _is_dispatch_allowed(self, now: float, context: RequestContext, candidate: Offer) -> bool:
        if not candidate.is_cold:
            return True
        return self._cold_starts.may_send(
            now, candidate.target, context.service.cold_per_s, self._zones()
        )

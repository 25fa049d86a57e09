"""Simulation of one node and its slots under overload, on the decision code of the admission."""

import collections
import dataclasses
import heapq
import itertools
import random

from orioleloft_core.admissionorder import ArrivalOrder, RequestDemand, WaitingRequest
from orioleloft_core.admissionqueue import Rank
from orioleloft_core.deadlineorder import DeadlineOrder
from orioleloft_core.refusalreturns import RefusalReturns

# Margin, least wait, and wait of a caller's retry, as in `orioleloftd.queuewaiting`.
WORK_MARGIN, MIN_WAIT_S, RETRY_WAIT_S = 1.3, 0.08, 0.4
# Share of the first timeout below which a request counts as a caller's retry.
RETRY_FRACTION = 0.8


@dataclasses.dataclass(frozen=True)
class Kind:
    """Requests of one route and tenant: times in seconds, `share` of the arrivals."""

    route: str
    work: float
    target_latency: float
    priority: int
    share: float = 1.0
    tenant: str = ""


@dataclasses.dataclass(eq=False)
class Call:
    """A caller's request over all its attempts."""

    kind: Kind
    sent_at: float
    timeout: float
    attempts: int = 0
    answered_at: float | None = None

    @property
    def value(self) -> float:
        if self.answered_at is None:
            return 0.0
        return 1.0 if self.answered_at - self.sent_at <= self.kind.target_latency else 0.1


class EarliestDeadline(DeadlineOrder):
    """Serves the earliest deadline first and refuses the newest request."""

    def next_request(self, now):
        return min(self._entries, key=lambda each: (each.wait_deadline, each.order), default=None)

    def _plan(self, now):
        entries = sorted(self._entries.values(), key=self._place)
        rate, work = self._rate.work_per_s(now), 0.0
        newest = max(entries, key=lambda each: each.request.order)
        for entry in entries if len(entries) > 2 else ():
            if work > rate * (entry.request.wait_deadline - now):
                return [newest.request]
            work += entry.work
        return []

    def _place(self, entry):
        return entry.request.wait_deadline, entry.request.order


class LeastWork(EarliestDeadline):
    """Serves the least work first and refuses the newest request."""

    def next_request(self, now):
        return min(self._entries, key=lambda each: (each.demand.work, each.order), default=None)

    def _place(self, entry):
        return entry.work, entry.request.order


class OverloadSimulation:
    """One node with a number of slots, callers that return, and one order of admission.

    Args:
        order: the order of admission.
        slots: requests that run at a time.
        seed: seed of arrivals and service times.
        timeout: time that callers wait in all, in seconds.
    """

    def __init__(self, order, slots: int, seed: int, timeout: float = 3.0) -> None:
        self.order = order
        self.calls: list[Call] = []
        self._free = slots
        self._rng = random.Random(seed)
        self._timeout = timeout
        self._returns = RefusalReturns(random.Random(seed + 1))
        self._events: list = []
        self._numbers = itertools.count()

    def _at(self, at: float, action, *arguments) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action, arguments))

    def add_arrivals(self, kind: Kind, start: float, end: float, per_s: float) -> None:
        """Adds calls of a kind at random times."""
        at = start + self._rng.expovariate(per_s)
        while at < end:
            call = Call(kind, at, self._timeout)
            self.calls.append(call)
            self._at(at, self._arrive, call)
            at += self._rng.expovariate(per_s)

    def run(self) -> None:
        """Runs until all calls have ended."""
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)

    def _arrive(self, now: float, call: Call) -> None:
        kind, left = call.kind, call.sent_at + call.timeout - now
        is_caller_retry = call.attempts > 0 and left < RETRY_FRACTION * call.timeout
        call.attempts += 1
        demand = RequestDemand(
            Rank(kind.priority, is_caller_retry),
            kind.route,
            kind.tenant,
            kind.priority,
            kind.work,
            call.sent_at + call.timeout,
        )
        self.order.on_asked(now, demand)
        self._returns.on_asked(now, is_caller_retry)
        if self._free and not self.order.must_queue(now, demand):
            self.order.on_unqueued_dispatch(now, demand)
            self._start(now, call)
            return
        wait = kind.target_latency - WORK_MARGIN * kind.work
        wait = min(RETRY_WAIT_S if is_caller_retry else wait, left - kind.work)
        admission = self.order.admit(now, demand, now + max(MIN_WAIT_S, wait), call)
        for displaced in admission.displaced:
            self._refuse(now, displaced.handle)
        if admission.request is None:
            self._refuse(now, call)
        else:
            self._at(admission.request.wait_deadline, self._expire, admission.request)
            self._serve_queue(now)

    def _expire(self, now: float, request: WaitingRequest) -> None:
        if request in self.order.waiting:
            self.order.dequeue(request)
            self.order.on_refused(now)
            self._refuse(now, request.handle)

    def _refuse(self, now: float, call: Call) -> None:
        left = call.sent_at + call.timeout - now - call.kind.work
        if isinstance(self.order, ArrivalOrder):
            delay = self._rng.uniform(0.4, 1.3)
        else:
            delay = self._returns.retry_after(now, self.order.backlog(now), left)
        if delay < left:
            self._at(now + min(delay, left / 3), self._arrive, call)

    def _start(self, now: float, call: Call) -> None:
        self._free -= 1
        self._at(now + call.kind.work * self._rng.uniform(0.75, 1.25), self._end, call)

    def _end(self, now: float, call: Call) -> None:
        self._free += 1
        self._returns.on_ended(now)
        if now <= call.sent_at + call.timeout:
            call.answered_at = now
        self._serve_queue(now)

    def _serve_queue(self, now: float) -> None:
        while self._free:
            request = self.order.next_request(now)
            if request is None:
                return
            self.order.dequeue(request)
            self.order.on_queued_dispatch(now, request)
            self._start(now, request.handle)


def totals(calls: list[Call], key) -> dict[object, tuple[int, int, float]]:
    """Returns the numbers of calls and answers, and the value, by group."""
    groups: dict[object, list[Call]] = collections.defaultdict(list)
    for call in calls:
        groups[key(call)].append(call)
    return {
        name: (
            len(group),
            sum(call.answered_at is not None for call in group),
            sum(call.value for call in group),
        )
        for name, group in groups.items()
    }

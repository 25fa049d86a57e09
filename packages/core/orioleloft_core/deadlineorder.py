"""Order of admission by priority, deadline and work, with fair and guaranteed shares.

Under overload not all requests can be answered in time. Those that cannot start in time are refused
at once, and where the waiting work exceeds the room, the requests that cost least to refuse give
way: less urgent ones, late ones, those of the tenant with the largest backlog for its share, and
those that need the most work.
"""

from collections.abc import Mapping
from typing import Any

from orioleloft_core.admissionorder import (
    ADOPTED_ORDER_OFFSET,
    Admission,
    AdmissionOrder,
    RequestDemand,
    WaitingRequest,
    work_of_starts,
)
from orioleloft_core.admissionqueue import (
    MAX_REPROBE_INTERVAL_S,
    MIN_QUEUE_LIMIT,
    MIN_REPROBE_INTERVAL_S,
    AdmissionPolicy,
)
from orioleloft_core.fairshare import FairShare, TenantDemand
from orioleloft_core.servedshares import Kind, KindType, ServedShares
from orioleloft_core.workrate import WorkRate

# Bound of the queue of one service. A node handles some 100 requests a second, and none waits much
# longer than a second; the bound keeps the cost of the plan small after a burst.
MAX_WAITING = 200
# Time for which the next request is not determined again while the queue does not change, in
# seconds. All waiting requests ask for it each time they wake.
NEXT_REQUEST_TTL_S = 0.01
# Time after a refusal for which the service counts as overloaded, in seconds.
OVERLOAD_HOLD_S = 1.0
# Expected service time of dispatches of which it is not known, in seconds.
DEFAULT_WORK_S = 0.1
# Added to the priority of the requests of a surging tenant beyond its usual demand, so that they
# come after all others.
SURGE_PRIORITY_OFFSET = 1 << 20

_LATE = Kind(KindType.LATE)


class _Entry:
    """Properties of a waiting request that do not change while it waits."""

    __slots__ = ("is_late", "kinds", "priority", "request", "tenant", "work")

    def __init__(self, request: WaitingRequest) -> None:
        demand = request.demand
        self.request = request
        self.priority = request.priority
        self.is_late = demand.rank.is_caller_retry
        self.tenant = demand.tenant
        self.work = demand.work
        self.kinds = _kinds(demand)


def _kinds(demand: RequestDemand) -> tuple[Kind, ...]:
    kinds = (Kind(KindType.ROUTE, demand.route),)
    if demand.tenant:
        kinds += (Kind(KindType.TENANT, demand.tenant),)
    if demand.rank.is_caller_retry:
        kinds += (_LATE,)
    return kinds


class DeadlineOrder:
    """Waiting requests of one service under `AdmissionPolicy.DEADLINE`."""

    policy = AdmissionPolicy.DEADLINE

    def __init__(self) -> None:
        self._entries: dict[WaitingRequest, _Entry] = {}
        self._next_order = 0
        self._demand = TenantDemand()
        self._fair_share = FairShare(self._demand)
        self._shares = ServedShares()
        self._rate = WorkRate()
        self._reprobe_interval_s = MIN_REPROBE_INTERVAL_S
        self._refused_at: float | None = None
        self._next: WaitingRequest | None = None
        self._next_at: float | None = None

    def __len__(self) -> int:
        """Number of waiting requests."""
        return len(self._entries)

    @property
    def waiting(self) -> tuple[WaitingRequest, ...]:
        """See `AdmissionOrder`."""
        return tuple(sorted(self._entries, key=lambda request: request.order))

    @property
    def starts(self) -> tuple[tuple[float, float | None], ...]:
        """See `AdmissionOrder`."""
        return self._rate.starts

    @property
    def reprobe_interval(self) -> float:
        """See `AdmissionOrder`."""
        return self._reprobe_interval_s

    @property
    def fair_share_lag(self) -> float:
        """See `FairShare.lag`."""
        return self._fair_share.lag(self._backlogs(list(self._entries.values())))

    def requests_per_s(self, now: float) -> float:
        """Returns the requests that can begin per second."""
        return self._rate.requests_per_s(now)

    def backlog(self, now: float) -> float:
        """Returns the time in which the queue is worked off, in seconds; 0 if it is not known."""
        rate = self._rate.work_per_s(now)
        return sum(each.work for each in self._entries.values()) / rate if rate > 0 else 0.0

    # Arrival.

    def is_overloaded(self, now: float) -> bool:
        """Whether requests wait, or were refused within the last second."""
        if self._entries:
            return True
        return self._refused_at is not None and now - self._refused_at < OVERLOAD_HOLD_S

    def on_asked(self, now: float, demand: RequestDemand) -> None:
        """See `AdmissionOrder`."""
        if demand.is_retry:
            return
        if demand.rank.is_caller_retry:
            # The shares are those of callers' requests, each of which may be sent several times.
            self._shares.on_asked_again(now, _LATE)
            return
        self._shares.on_asked(now, _kinds(demand))
        if demand.tenant:
            self._demand.on_asked(now, demand.tenant, demand.work, self.is_overloaded(now))

    def _priority(self, now: float, demand: RequestDemand) -> int:
        if demand.tenant and not self._demand.keeps_priority(now, demand.tenant, demand.work):
            return demand.priority + SURGE_PRIORITY_OFFSET
        return demand.priority

    def must_queue(self, now: float, demand: RequestDemand) -> bool:
        """Whether a request that waits is at least as urgent, or is due for its guaranteed share.

        A request of a surging tenant waits behind all others.
        """
        if not self._entries:
            return False
        place = demand.priority, demand.rank.is_caller_retry
        if any((each.priority, each.is_late) <= place for each in self._entries.values()):
            return True
        if self._shortfall(now, self._entries[self.next_request(now)]) > 0:
            return True
        return bool(demand.tenant) and self._demand.is_surging(now, demand.tenant)

    def count_ahead(self, demand: RequestDemand) -> int:
        """See `AdmissionOrder`."""
        place = demand.priority, demand.rank.is_caller_retry
        return sum((each.priority, each.is_late) <= place for each in self._entries.values())

    def position(self, request: WaitingRequest) -> int:
        """See `AdmissionOrder`."""
        own = self._entries.get(request)
        if own is None:
            return 0
        place = own.priority, own.is_late, request.wait_deadline
        return sum(
            (each.priority, each.is_late, other.wait_deadline) < place
            for other, each in self._entries.items()
        )

    def admit(
        self, now: float, demand: RequestDemand, wait_deadline: float, handle: Any
    ) -> Admission:
        """Adds a request, then refuses those for which there is no room; see `_plan`."""
        request = WaitingRequest(demand, wait_deadline, handle, self._next_order)
        self._next_order += 1
        request.priority = self._priority(now, demand)
        self._add(request)
        refused = self._plan(now)
        for each in refused:
            self.dequeue(each)
        if refused:
            self._refused_at = now
        self._rate.on_queue(now, not self._entries)
        displaced = tuple(each for each in refused if each is not request)
        return Admission(None if request in refused else request, displaced)

    def _add(self, request: WaitingRequest) -> None:
        self._entries[request] = _Entry(request)
        self._next_at = None

    def _plan(self, now: float) -> list[WaitingRequest]:
        """Returns the waiting requests to refuse, so that all others start in time.

        Goes through the requests in the order in which they are served. Where one would start
        after the end of its wait, the one that costs least to refuse gives way, which is it or one
        before it (Moore-Hodgson: of equals the one with the most work, so that the fewest are
        refused). The first `MIN_QUEUE_LIMIT` requests are always kept, as a slot may be about to
        become free.
        """
        entries = list(self._entries.values())
        if len(entries) <= MIN_QUEUE_LIMIT:
            return []
        rate = self._rate.work_per_s(now)
        protected = self._protected(now, entries)
        entries.sort(
            key=lambda each: (
                each not in protected,
                each.priority,
                each.is_late,
                each.request.wait_deadline,
                each.request.order,
            )
        )
        backlogs = self._backlogs(entries)
        kept: list[_Entry] = []
        refused: list[WaitingRequest] = []
        work = 0.0
        for entry in entries:
            kept.append(entry)
            while len(kept) > MIN_QUEUE_LIMIT and (
                len(kept) > MAX_WAITING
                or now + work / max(rate, 1e-9) > kept[-1].request.wait_deadline
            ):
                victim = max(kept, key=lambda each: self._refusal_key(each, protected, backlogs))
                kept.remove(victim)
                refused.append(victim.request)
                if backlogs:
                    backlogs[victim.priority, victim.tenant] -= victim.work
                if victim is entry:
                    break
                work -= victim.work
            else:
                work += entry.work
        return refused

    def _backlogs(self, entries: list[_Entry]) -> dict[tuple[int, str], float]:
        """Returns the waiting work by priority and tenant, or nothing if there is one tenant."""
        if len({each.tenant for each in entries}) < 2:
            return {}
        backlogs: dict[tuple[int, str], float] = {}
        for each in entries:
            key = each.priority, each.tenant
            backlogs[key] = backlogs.get(key, 0.0) + each.work
        return backlogs

    def _refusal_key(
        self,
        entry: _Entry,
        protected: Mapping[_Entry, float],
        backlogs: Mapping[tuple[int, str], float],
    ) -> tuple:
        """Returns a key that is greatest for the request that costs least to refuse."""
        tag = 0.0
        if backlogs:
            work = backlogs[entry.priority, entry.tenant]
            tag = self._fair_share.backlog_tag(entry.priority, entry.tenant, work)
        is_free = entry not in protected
        return is_free, entry.priority, entry.is_late, tag, entry.work, entry.request.order

    def _protected(self, now: float, entries: list[_Entry]) -> dict[_Entry, float]:
        """Returns the requests that are due to kinds below their guaranteed shares.

        These are as many of each kind as it is short of, the best ones first.
        """
        open_shortfalls: dict[Kind, float] = {}
        for entry in entries:
            for kind in entry.kinds:
                if kind not in open_shortfalls:
                    open_shortfalls[kind] = self._shares.shortfall(now, kind)
        short = {kind for kind, shortfall in open_shortfalls.items() if shortfall > 0}
        if not short:
            return {}
        protected: dict[_Entry, float] = {}
        for entry in sorted(_of_kinds(entries, short), key=_quality):
            due = max(open_shortfalls[kind] for kind in entry.kinds)
            if due >= 1.0:
                protected[entry] = due
                for kind in entry.kinds:
                    open_shortfalls[kind] -= 1.0
        return protected

    # Dispatch.

    def next_request(self, now: float) -> WaitingRequest | None:
        """Returns the request that receives the next free slot, or None if none waits.

        Kinds below their guaranteed shares go first, the one that is furthest below before the
        others.
        """
        if self._next_at is not None and now - self._next_at < NEXT_REQUEST_TTL_S:
            return self._next
        self._next_at = now
        self._next = None
        if self._entries:
            self._next = self._find_next(now).request
        return self._next

    def _find_next(self, now: float) -> _Entry:
        entries = list(self._entries.values())
        if len(entries) == 1:
            return entries[0]
        shortfalls: dict[Kind, float] = {}
        for entry in entries:
            for kind in entry.kinds:
                if kind not in shortfalls:
                    shortfalls[kind] = self._shares.shortfall(now, kind)
        greatest = max(shortfalls.values())
        if greatest > 0:
            shortest = {kind for kind, shortfall in shortfalls.items() if shortfall == greatest}
            return min(_of_kinds(entries, shortest), key=_quality)
        tags: dict[tuple[int, str], int] = {}
        for each in entries:
            key = each.priority, each.tenant
            if key not in tags:
                tags[key] = self._fair_share.rounded_tag(*key)
        return min(
            entries,
            key=lambda each: (
                each.priority,
                each.is_late,
                tags[each.priority, each.tenant],
                each.request.wait_deadline,
                each.request.order,
            ),
        )

    def _shortfall(self, now: float, entry: _Entry) -> float:
        return max(self._shares.shortfall(now, kind) for kind in entry.kinds)

    def requeue(self, request: WaitingRequest) -> None:
        """See `AdmissionOrder`; the request may have left the queue under another order."""
        if request.queued is not None:
            request.order -= ADOPTED_ORDER_OFFSET
            request.queued = None
        self._add(request)

    def dequeue(self, request: WaitingRequest) -> None:
        """See `AdmissionOrder`."""
        if self._entries.pop(request, None) is not None:
            self._next_at = None

    def adopt(self, previous: AdmissionOrder) -> None:
        """See `AdmissionOrder`."""
        waiting = previous.waiting
        works = [request.demand.work for request in waiting]
        usual = sum(works) / len(works) if works else DEFAULT_WORK_S
        for at, work in work_of_starts(previous.starts, usual):
            self._rate.on_start(at, work)
        for request in waiting:
            request.order -= ADOPTED_ORDER_OFFSET
            request.queued = None
            request.priority = request.demand.priority
            self._add(request)

    def on_no_free_target(self) -> None:
        """Doubles the poll interval up to its maximum, after a round that found no free target."""
        self._reprobe_interval_s = min(MAX_REPROBE_INTERVAL_S, 2 * self._reprobe_interval_s)

    def on_unqueued_dispatch(self, now: float, demand: RequestDemand) -> None:
        """See `AdmissionOrder`."""
        self._on_dispatch(now, demand, demand.priority)

    def on_queued_dispatch(self, now: float, request: WaitingRequest) -> None:
        """See `AdmissionOrder`."""
        self._reprobe_interval_s = MIN_REPROBE_INTERVAL_S
        self._on_dispatch(now, request.demand, request.priority)

    def _on_dispatch(self, now: float, demand: RequestDemand, priority: int) -> None:
        self._rate.on_start(now, demand.work)
        self._rate.on_queue(now, not self._entries)
        self._next_at = None
        if demand.tenant:
            waiting = {each.tenant for each in self._entries.values() if each.priority == priority}
            self._fair_share.on_served(priority, demand.tenant, demand.work, waiting)
        if not demand.is_retry:
            self._shares.on_served(now, _kinds(demand))

    def on_refused(self, now: float) -> None:
        """Records that a request was refused at the end of its wait."""
        self._refused_at = now

    def describe(self, now: float, demand: RequestDemand) -> Mapping[str, object]:
        """See `AdmissionOrder`."""
        return {
            "policy": self.policy.value,
            "route": demand.route,
            "tenant": demand.tenant or None,
            "priority": demand.priority,
            "late": demand.rank.is_caller_retry,
            "work_ms": round(demand.work * 1000),
            "backlog_ms": round(self.backlog(now) * 1000),
            "rate": round(self.requests_per_s(now), 1),
        }


def _of_kinds(entries: list[_Entry], kinds: set[Kind]) -> list[_Entry]:
    """Returns the entries that are of at least one of some kinds."""
    return [entry for entry in entries if not kinds.isdisjoint(entry.kinds)]


def _quality(entry: _Entry) -> tuple:
    """Returns a key that is smallest for the request that is served first within its kind."""
    request = entry.request
    return entry.is_late, entry.priority, request.wait_deadline, request.order

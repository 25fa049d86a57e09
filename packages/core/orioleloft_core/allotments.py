"""Allotments of tenants: the rate and burst of each tenant, over all nodes together.

In each zone one node, the holder, has the zone's part of all allotments as token buckets. The other
nodes ask it for tokens, ahead of need where a tenant sends much. A request takes one token.

The bound: in any window of `window` seconds at most

    (rate x window + burst) x (1 + overage) + slack

requests of a tenant get a token that is still valid. A token is valid for `lifetime` seconds from
the time at which the asking node sent its question, hence for less than that after the holder
granted it. The tokens taken in a window were therefore all granted in the window or in the
`lifetime` before it. A bucket with the part p of the rate and the cap c grants at most
c + p x rate x (window + lifetime) in that time, so all buckets together grant at most

    sum of caps + rate x (window + lifetime).

With `lifetime` = overage x window (0.1 x 5 s) and the sum of caps = burst + EXTRA_TOKENS, where
EXTRA_TOKENS <= slack, this is at most the bound for every rate and burst, whatever the number of
unspent tokens. A holder that restarts, or replaces another one, starts with a nearly empty bucket.
It grants no more than its predecessor would have with the tokens that it had left, except for
`START_SHARE` of the slack, which is one token of all holders together at the usual slack.

Views of the zones may differ for a moment, as nodes learn of each other. A holder's part counts in
its own view. `HOLDER_DELAY_S` lets a node that has just started learn of the others first; see
`AllotmentHolder`. In a partition the views stay, because nodes that are down remain registered.
"""

import bisect
import dataclasses
import hashlib
import math
import random
from collections.abc import Callable, Iterable, Mapping

from orioleloft_core import hashing
from orioleloft_core.entrysettings import AllotmentBounds
from orioleloft_core.messages import (
    AllotmentAnswer,
    AllotmentQuestion,
    TenantDemand,
    TenantGrant,
)
from orioleloft_core.routes import Tenant

# Key under which the holders are ranked.
RANKING_KEY = "allotments"
# Maximum number of holders. Each needs room for a whole token, which the slack provides.
MAX_HOLDERS = 8
# Part of the slack that all holders together start with. It lets their first tokens come one after
# the other, since a tenant with 0.3 requests per second gets one from each holder in 10 s.
START_SHARE = 0.05
# Tokens that the buckets of all holders have room for on top of the burst, or half of the slack if
# that is less. Arrivals of a tenant at its limit vary by some tokens; the other half of the slack
# is left for requests that start late and for views of the zones that differ for a moment.
EXTRA_TOKENS = 10.0
# Time for which a token is valid at most, in seconds.
MAX_LIFETIME_S = 0.5
# Time from the moment a node finds itself to be the holder to its first token, in seconds. The
# tokens of the predecessor have lapsed by then, and the predecessor has heard of the new holder.
HOLDER_DELAY_S = 1.0

# Tenants in one question: an answer with as many takes 1,300 bytes at most.
MAX_DEMANDS = 48
# Tokens of one demand at most.
MAX_COUNT = 10_000
# Time for which the demand of a node counts in the division of scarce tokens, in seconds.
DEMAND_MEMORY_S = 1.0
# Bounds of the time after which a node that got fewer tokens than it asked for asks again, in
# seconds. A bucket never fills up meanwhile, and each of many nodes is told to wait for its share.
MIN_WAIT_S = 0.01
MAX_PACE_S = 0.05
MAX_SHARE_WAIT_S = 0.5
# Time for which a node keeps to a refusal at most, in seconds, as the limit may be raised.
MAX_REFUSAL_S = 1.0
# Time after which a holder that does not know a tenant is asked again, in seconds.
UNKNOWN_WAIT_S = 0.1
# Answers that are kept for repeated questions, and for how long, in seconds.
MAX_KEPT_ANSWERS = 4096
KEPT_ANSWER_S = 1.0
# Removed tenants whose tokens are remembered, so that adding them again is no second burst.
MAX_REMOVED = 1_000

# Interval between questions ahead of need, in seconds.
ASK_PERIOD_S = 0.25
# Expected demand that tokens are held for, in seconds, and the requests per second of a tenant at
# this node from which they are. Tokens held for few requests lapse too often.
AHEAD_S = 0.3
MIN_AHEAD_PER_S = 10.0
# Weight of the last period in the mean demand.
DEMAND_WEIGHT = 0.4
# Mean demand in requests per second below which a tenant is idle.
IDLE_PER_S = 0.05
# Age of an unanswered question at which other holders are asked as well, in seconds.
OVERDUE_S = 0.02
# Time for which an answer is waited for, in seconds, and for which the holder then counts as
# unreachable.
ANSWER_TIMEOUT_S = 0.06
UNREACHABLE_S = 0.4
# Bounds of the time after which a caller should return while no holder can be reached, in seconds.
UNAVAILABLE_MIN_S = 0.2
UNAVAILABLE_MAX_S = 0.8
# Time over which callers that return are spread at most, and shortest time they are told, in
# seconds.
MAX_SPREAD_S = 5.0
MIN_RETRY_AFTER_S = 0.02

_EPSILON = 1e-9


def tenant_key(name: str) -> int:
    """Returns the number by which nodes name a tenant, with the same or different tables."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=6).digest(), "big")


def holders(zones: Mapping[str, str]) -> dict[str, str]:
    """Returns the holder of each zone.

    Args:
        zones: zones of all registered nodes by node name, alive or not.
    """
    nodes: dict[str, list[str]] = {}
    for node, zone in zones.items():
        nodes.setdefault(zone, []).append(node)
    chosen = hashing.rendezvous_order(RANKING_KEY, nodes)[:MAX_HOLDERS]
    return {zone: hashing.rendezvous_order(RANKING_KEY, nodes[zone])[0] for zone in chosen}


class HolderView:
    """The holders as they follow from the registered nodes, computed once for each set of nodes.

    Args:
        zones: returns the zones of all registered nodes by node name.
    """

    def __init__(self, zones: Callable[[], Mapping[str, str]]) -> None:
        self._zones = zones
        self._seen: Mapping[str, str] | None = None
        self._holders: dict[str, str] = {}

    def get(self) -> dict[str, str]:
        """Returns the holder of each zone; the same object while the nodes are the same."""
        zones = self._zones()
        if zones is not self._seen:
            if zones != self._seen:
                found = holders(zones)
                self._holders = self._holders if found == self._holders else found
            self._seen = zones
        return self._holders

    def replaced_by(self, node: str) -> str | None:
        """Returns the node that would hold the part of a node's zone without it, or None."""
        zones = self._zones()
        others = [name for name, zone in zones.items() if zone == zones[node] and name != node]
        return hashing.rendezvous_order(RANKING_KEY, others)[0] if others else None


def token_lifetime(bounds: AllotmentBounds) -> float:
    """Returns the time for which tokens are valid, in seconds."""
    return min(MAX_LIFETIME_S, bounds.overage * bounds.window)


def total_cap(bounds: AllotmentBounds, tenant: Tenant) -> float:
    """Returns the number of tokens of a tenant that all buckets together have room for."""
    return max(0.0, tenant.burst or 0.0) + min(EXTRA_TOKENS, bounds.slack / 2)


# Holder.


class _Bucket:
    """A holder's part of the allotment of one tenant."""

    def __init__(self, now: float) -> None:
        self.rate = 0.0
        self.cap = 0.0
        self.tokens = 0.0
        self.askers: dict[str, tuple[float, int]] = {}
        self._refilled_at = now

    def set_limits(self, now: float, rate: float, cap: float) -> None:
        """Changes the limits; tokens above a lower cap are dropped."""
        self._refill(now)
        self.rate, self.cap = rate, cap
        self.tokens = min(self.tokens, cap)

    def fill(self) -> None:
        self.tokens = self.cap

    def restart(self, now: float, tokens: float) -> None:
        """Begins with some tokens and without a memory of demand."""
        self.tokens = min(self.cap, tokens)
        self.askers.clear()
        self._refilled_at = now

    def _refill(self, now: float) -> None:
        added = max(0.0, now - self._refilled_at) * self.rate
        self.tokens = min(self.cap, self.tokens + added)
        self._refilled_at = max(now, self._refilled_at)

    def take(self, now: float, asker: str, count: int) -> TenantGrant:
        """Takes up to `count` tokens, or this node's share by demand if there are too few."""
        self._refill(now)
        share = self._share(now, asker, count)
        whole = math.floor(self.tokens + _EPSILON)
        # The least share is one token; nodes with little demand are told to ask less often.
        granted = min(count, whole)
        if share < 1 and granted:
            granted = min(granted, max(1, math.floor(whole * share)))
        self.tokens = max(0.0, self.tokens - granted)
        if granted == count:
            return TenantGrant(granted, 0.0, 0.0)
        room = max(0.0, 1 - self.tokens) / self.rate
        pace = min(MAX_PACE_S, self.cap / self.rate / 2)
        if share < 1:
            pace = max(pace, min(MAX_SHARE_WAIT_S, 1 / (share * self.rate)))
        return TenantGrant(granted, round(max(MIN_WAIT_S, room, pace), 4), round(room, 4))

    def _share(self, now: float, asker: str, count: int) -> float:
        """Returns the part of the tokens for a node: 1 if there is enough for all that ask."""
        self.askers.pop(asker, None)
        self.askers[asker] = now, count
        while True:
            oldest = next(iter(self.askers))
            if self.askers[oldest][0] > now - DEMAND_MEMORY_S:
                break
            del self.askers[oldest]
        total = sum(demand for _, demand in self.askers.values())
        return 1.0 if total <= self.tokens + _EPSILON else count / total


class AllotmentHolder:
    """Answers questions for tokens while this node is the holder of its zone.

    A node that starts is no holder until `confirm` is called: it may know few nodes yet, and take
    itself for the holder of the only zone. The caller confirms once the node has compared its view
    with the registered nodes in the store.

    Args:
        node: name of this node.
        view: holders by the registered nodes.
        bounds: how far tenants may exceed their allotments.
    """

    def __init__(self, node: str, view: HolderView, bounds: AllotmentBounds) -> None:
        self._node = node
        self._view = view
        self._bounds = bounds
        self._is_confirmed = False
        self._known_holders: dict[str, str] | None = None
        self._part = 0.0
        self._holds_from: float | None = None
        self._is_holding = False
        self._held_since = 0.0
        self._tenants: dict[int, Tenant] = {}
        self._buckets: dict[int, _Bucket] = {}
        self._removed: dict[int, _Bucket] = {}
        self._answers: dict[tuple[str, int, int], tuple[float, AllotmentAnswer]] = {}

    def confirm(self) -> None:
        """Lets this node hold a part if its view of the registered nodes says so."""
        self._is_confirmed = True

    def is_holding(self, now: float) -> bool:
        """Whether this node grants tokens now."""
        self._update_part(now)
        if not self._is_holding and self._holds_from is not None and self._is_confirmed:
            if now < self._holds_from:
                return False
            self._is_holding = True
            self._held_since = now
            for bucket in (*self._buckets.values(), *self._removed.values()):
                bucket.restart(now, self._tokens_at_start())
        return self._is_holding

    def _tokens_at_start(self) -> float:
        """Returns this holder's step of a staircase below one token, one step for each holder."""
        nodes = sorted(self._known_holders.values())
        step = min(1.0, 2 / max(1, len(nodes) - 1)) / len(nodes)
        return nodes.index(self._node) * step * min(1.0, START_SHARE * self._bounds.slack)

    def _update_part(self, now: float) -> None:
        found = self._view.get()
        if found is self._known_holders:
            return
        self._known_holders = found
        if self._node not in found.values():
            self._holds_from = None
            self._is_holding = False
        elif self._holds_from is None:
            self._holds_from = now + HOLDER_DELAY_S
        part = 1 / len(found) if found else 0.0
        if part != self._part:
            self._part = part
            self._apply_limits(now)

    def adopt(self, now: float, tenants: Iterable[Tenant]) -> None:
        """Adopts the tenants of the table in force.

        A tenant that was removed continues with the tokens that it had left, without any for the
        time between. A new tenant starts with all tokens if this node has held the part for so long
        that no request with a token of an earlier holder counts any more, otherwise with none.
        """
        self._update_part(now)
        counted = self._bounds.window + token_lifetime(self._bounds)
        is_settled = self._is_holding and now - self._held_since >= counted
        self._tenants = {tenant_key(each.name): each for each in tenants if each.is_limited}
        for key in self._buckets.keys() - self._tenants.keys():
            bucket = self._buckets.pop(key)
            bucket.set_limits(now, 0.0, bucket.cap)
            self._removed[key] = bucket
        while len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
        added = self._tenants.keys() - self._buckets.keys()
        new = added - self._removed.keys()
        for key in added:
            self._buckets[key] = self._removed.pop(key, None) or _Bucket(now)
        self._apply_limits(now)
        for key in new if is_settled else ():
            self._buckets[key].fill()

    def _apply_limits(self, now: float) -> None:
        for key, tenant in self._tenants.items():
            cap = total_cap(self._bounds, tenant) * self._part
            self._buckets[key].set_limits(now, tenant.rate_per_s * self._part, cap)

    def answer(self, now: float, question: AllotmentQuestion) -> AllotmentAnswer:
        """Answers a question; a repeated one gets the same answer and takes no more tokens.

        Args:
            now: seconds on the node's clock.
            question: the question.
        """
        key = question.node, question.incarnation, question.number
        kept = self._answers.get(key)
        if kept is not None:
            return kept[1]
        grants = tuple(self._grant(now, question.node, demand) for demand in question.demands)
        answer = AllotmentAnswer(question.number, self._node, grants)
        self._answers[key] = now, answer
        self._drop_old_answers(now)
        return answer

    def _grant(self, now: float, asker: str, demand: TenantDemand) -> TenantGrant:
        bucket = self._buckets.get(demand.tenant)
        if bucket is None or not self.is_holding(now):
            return TenantGrant(0, UNKNOWN_WAIT_S, None)
        return bucket.take(now, asker, min(demand.count, MAX_COUNT))

    def _drop_old_answers(self, now: float) -> None:
        while self._answers:
            oldest = next(iter(self._answers))
            is_old = self._answers[oldest][0] < now - KEPT_ANSWER_S
            if not is_old and len(self._answers) <= MAX_KEPT_ANSWERS:
                return
            del self._answers[oldest]


# Client.


@dataclasses.dataclass(frozen=True)
class Taken:
    """The request may run; its token is valid until `expires_at`, on the node's clock."""

    expires_at: float


@dataclasses.dataclass(frozen=True)
class Exceeded:
    """The tenant has used up its allotment; there is room after `retry_after` seconds."""

    retry_after: float


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """No holder can be reached; the caller should return after `retry_after` seconds."""

    retry_after: float


@dataclasses.dataclass(frozen=True)
class Ask:
    """There is no token, and a holder that may have one is asked."""


Outcome = Taken | Exceeded | Unavailable | Ask


class _Tokens:
    """Tokens of one tenant at this node, by the time at which they lapse."""

    def __init__(self) -> None:
        self._lots: list[list[float]] = []

    def count(self, now: float) -> int:
        while self._lots and self._lots[0][0] <= now:
            del self._lots[0]
        return int(sum(lot[1] for lot in self._lots))

    def add(self, expires_at: float, count: int) -> None:
        bisect.insort(self._lots, [expires_at, count])

    def take(self, now: float) -> float | None:
        """Takes the token that lapses first and returns when it lapses, or None if none is left."""
        while self._lots and (self._lots[0][0] <= now or self._lots[0][1] < 1):
            del self._lots[0]
        if not self._lots:
            return None
        self._lots[0][1] -= 1
        return self._lots[0][0]

    def reduce_to(self, limit: float) -> None:
        """Drops tokens above a limit, those that lapse last first."""
        excess = sum(lot[1] for lot in self._lots) - math.floor(limit)
        for lot in reversed(self._lots):
            dropped = max(0, min(excess, lot[1]))
            lot[1] -= dropped
            excess -= dropped


@dataclasses.dataclass
class _Refusal:
    """What a holder has said when it gave fewer tokens than asked for.

    Attributes:
        until: when it may be asked again.
        room_at: when it has its next token, or None if it could not say.
    """

    until: float
    room_at: float | None


class _TenantState:
    """Tokens and demand of one tenant at this node."""

    def __init__(self, tenant: Tenant) -> None:
        self.tenant = tenant
        self.key = tenant_key(tenant.name)
        self.tokens = _Tokens()
        self.arrivals = 0
        self.demand = 0.0
        self.granted = 0
        self.granted_per_s = 0.0
        self.waiting = 0
        self.refusals: dict[str, _Refusal] = {}
        self.pending: dict[str, _Pending] = {}
        self.refused_until = 0.0
        self.last_return_at = 0.0

    def end_period(self, seconds: float) -> None:
        self.demand += DEMAND_WEIGHT * (self.arrivals / seconds - self.demand)
        self.granted_per_s += DEMAND_WEIGHT * (self.granted / seconds - self.granted_per_s)
        self.arrivals = self.granted = 0

    def wanted(self) -> int:
        ahead = math.floor(self.demand * AHEAD_S) if self.demand >= MIN_AHEAD_PER_S else 0
        return min(MAX_COUNT, self.waiting + ahead)


@dataclasses.dataclass(eq=False)
class _Pending:
    """A question that was sent.

    Attributes:
        holder: name of the holder.
        question: the question, which is repeated as it is.
        states: tenants in the order of the question.
        sent_at: when it was sent first; its tokens are valid from then on.
        is_overdue: whether the answer has not come in time.
    """

    holder: str
    question: AllotmentQuestion
    states: list[_TenantState]
    sent_at: float
    is_overdue: bool = False


class AllotmentClient:
    """Tokens of this node for all tenants, and its questions to the holders.

    Args:
        node: name of this node.
        incarnation: incarnation of this node.
        host: IP address of this node.
        zone: zone of this node.
        view: holders by the registered nodes.
        bounds: how far tenants may exceed their allotments.
        rng: source of the spread of callers that return.
    """

    def __init__(
        self,
        node: str,
        incarnation: int,
        host: str,
        zone: str,
        view: HolderView,
        bounds: AllotmentBounds,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._host = host
        self._zone = zone
        self._view = view
        self._lifetime = token_lifetime(bounds)
        self._bounds = bounds
        self._rng = rng
        self._states: dict[str, _TenantState] = {}
        self._active: dict[str, _TenantState] = {}
        self._questions: dict[int, _Pending] = {}
        self._unreachable_until: dict[str, float] = {}
        self._number = 0
        self._period_began_at: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no tenant has had a request lately and no question is open."""
        return not self._active and not self._questions

    def outstanding(self, now: float) -> int:
        """Returns the number of unspent tokens of all tenants at this node."""
        return sum(state.tokens.count(now) for state in self._states.values())

    def adopt(self, now: float, tenants: Iterable[Tenant]) -> None:
        """Adopts the tenants of the table in force; tokens above a lower limit are dropped."""
        known, self._states = self._states, {}
        for tenant in tenants:
            if not tenant.is_limited:
                continue
            state = known.get(tenant.name) or _TenantState(tenant)
            self._states[tenant.name] = state
            if state.tenant == tenant:
                continue
            state.tenant = tenant
            state.refusals.clear()
            state.refused_until = 0.0
            self._drop_excess(state)
        self._active = {name: s for name, s in self._active.items() if name in self._states}

    def _drop_excess(self, state: _TenantState) -> None:
        """Drops tokens beyond what the limit allows, which a holder granted by an earlier one."""
        tenant = state.tenant
        limit = total_cap(self._bounds, tenant) + tenant.rate_per_s * self._lifetime
        state.tokens.reduce_to(limit)

    # Requests.

    def take(self, now: float, name: str) -> Outcome:
        """Takes a token for a request of a tenant that has an allotment.

        Args:
            now: seconds on the node's clock.
            name: name of the tenant; one without an allotment needs no token.
        """
        state = self._states.get(name)
        if state is None:
            return Taken(math.inf)
        state.arrivals += 1
        self._active[name] = state
        return self._resolve(now, state)

    def resolve(self, now: float, name: str, *, is_last: bool = False) -> Outcome:
        """Takes a token for a request that waits.

        Args:
            now: seconds on the node's clock.
            name: name of the tenant.
            is_last: whether the request cannot wait any longer; then `Ask` is never returned.
        """
        state = self._states.get(name)
        if state is None:
            return Taken(math.inf)
        outcome = self._resolve(now, state)
        return self._refuse(now, state) if is_last and isinstance(outcome, Ask) else outcome

    def _resolve(self, now: float, state: _TenantState) -> Outcome:
        expires_at = state.tokens.take(now)
        if expires_at is not None:
            return Taken(expires_at)
        if now < state.refused_until:
            return self._refuse(now, state)
        chosen = self._view.get().values()
        if any(not pending.is_overdue for pending in state.pending.values()):
            return Ask()
        if any(self._may_ask(now, state, holder) for holder in chosen):
            return Ask()
        if not state.pending:
            # Every holder has refused or is unreachable. No question is worth its cost before then.
            state.refused_until = min(
                (self._ask_at(now, state, holder) for holder in chosen), default=now
            )
            return self._refuse(now, state)
        return Ask()

    def set_waiting(self, name: str, count: int) -> None:
        """Sets the number of requests that wait for a token of a tenant."""
        state = self._states.get(name)
        if state is not None:
            state.waiting = count
            self._active[name] = state

    def give_back(self, now: float, name: str, token: Taken) -> None:
        """Gives back the token of a request that was not run; it stays valid no longer."""
        state = self._states.get(name)
        if state is not None and now < token.expires_at < math.inf:
            state.tokens.add(token.expires_at, 1)

    def _refuse(self, now: float, state: _TenantState) -> Exceeded | Unavailable:
        chosen = self._view.get().values()
        refusals = [state.refusals[holder] for holder in chosen if holder in state.refusals]
        rooms = [
            refusal.room_at
            for refusal in refusals
            if refusal.room_at is not None and refusal.until > now - ANSWER_TIMEOUT_S
        ]
        if not rooms:
            return Unavailable(self._rng.uniform(UNAVAILABLE_MIN_S, UNAVAILABLE_MAX_S))
        return Exceeded(self._return_delay(now, state, max(0.0, min(rooms) - now)))

    def _return_delay(self, now: float, state: _TenantState, room: float) -> float:
        """Returns the seconds after which the next refused caller of a tenant should return.

        Callers get one time each, at the rate at which this node has got tokens lately. Once the
        times reach `MAX_SPREAD_S`, further callers are spread over that.
        """
        rate = state.tenant.rate_per_s
        interval = 1 / min(rate, max(state.granted_per_s, rate / 10))
        earliest = room + interval * self._rng.random()
        return_at = max(now + earliest, state.last_return_at + interval)
        if return_at > now + room + MAX_SPREAD_S:
            return max(MIN_RETRY_AFTER_S, room + self._rng.uniform(0.1, 1) * MAX_SPREAD_S)
        state.last_return_at = return_at
        return max(MIN_RETRY_AFTER_S, return_at - now)

    # Questions.

    def _ask_at(self, now: float, state: _TenantState, holder: str) -> float:
        refusal = state.refusals.get(holder)
        until = refusal.until if refusal is not None else now
        return max(until, self._unreachable_until.get(holder, now))

    def _may_ask(self, now: float, state: _TenantState, holder: str) -> bool:
        return holder not in state.pending and self._ask_at(now, state, holder) <= now

    def end_period(self, now: float) -> None:
        """Updates the mean demand; called every `ASK_PERIOD_S`."""
        if self._period_began_at is not None:
            seconds = max(ASK_PERIOD_S / 2, now - self._period_began_at)
            for name, state in list(self._active.items()):
                state.end_period(seconds)
                if state.demand < IDLE_PER_S and not state.waiting:
                    del self._active[name]
        self._period_began_at = now

    def questions(self, now: float) -> list[tuple[str, AllotmentQuestion]]:
        """Returns the questions to send now, with the names of their holders.

        The holder of the own zone is asked first. The others are asked for what it does not give:
        once it has refused, cannot be reached, or is late with its answer.
        """
        batches: dict[str, list[tuple[_TenantState, int]]] = {}
        for state in self._active.values():
            for holder, count in self._plan(now, state):
                batches.setdefault(holder, []).append((state, count))
        out = []
        for holder, demands in batches.items():
            for start in range(0, len(demands), MAX_DEMANDS):
                question = self._make_question(now, holder, demands[start : start + MAX_DEMANDS])
                out.append((holder, question))
        return out

    def _plan(self, now: float, state: _TenantState) -> list[tuple[str, int]]:
        need = state.wanted()
        if not need:
            return []
        need -= state.tokens.count(now)
        for pending in state.pending.values():
            if not pending.is_overdue:
                index = pending.states.index(state)
                need -= pending.question.demands[index].count
        if need <= 0:
            return []
        found = self._view.get()
        own = found.get(self._zone)
        if own is not None:
            if self._may_ask(now, state, own):
                return [(own, need)]
            if own in state.pending and not state.pending[own].is_overdue:
                return []
        others = [each for each in found.values() if self._may_ask(now, state, each)]
        # All nodes of a zone would otherwise ask the same holder first for a single token.
        self._rng.shuffle(others)
        counts = [(need + index) // len(others) for index in range(len(others))]
        return [(each, count) for each, count in zip(others, counts, strict=True) if count]

    def _make_question(
        self, now: float, holder: str, demands: list[tuple[_TenantState, int]]
    ) -> AllotmentQuestion:
        self._number += 1
        question = AllotmentQuestion(
            self._number,
            self._node,
            self._incarnation,
            self._host,
            tuple(TenantDemand(state.key, count) for state, count in demands),
        )
        pending = _Pending(holder, question, [state for state, _ in demands], now)
        self._questions[self._number] = pending
        for state, _ in demands:
            state.pending[holder] = pending
        return question

    def on_answer(self, now: float, answer: AllotmentAnswer) -> list[str]:
        """Adds the tokens that a holder has granted; returns the names of the tenants.

        Tokens of an answer that comes later than their lifetime are worthless.
        """
        pending = self._questions.get(answer.number)
        if pending is None or pending.holder != answer.node:
            return []
        if len(answer.grants) != len(pending.states):
            return []
        self._close(pending)
        self._unreachable_until.pop(pending.holder, None)
        demands = pending.question.demands
        for state, demand, grant in zip(pending.states, demands, answer.grants, strict=True):
            self._add_grant(now, pending, state, min(grant.count, demand.count), grant)
            if grant.count >= demand.count:
                state.refusals.pop(pending.holder, None)
                continue
            until = now + min(MAX_REFUSAL_S, max(MIN_WAIT_S, grant.wait_s))
            room_at = None if grant.room_s is None else now + grant.room_s
            state.refusals[pending.holder] = _Refusal(until, room_at)
        return [state.tenant.name for state in pending.states]

    def _add_grant(
        self, now: float, pending: _Pending, state: _TenantState, count: int, grant: TenantGrant
    ) -> None:
        expires_at = pending.sent_at + self._lifetime
        is_known = self._states.get(state.tenant.name) is state
        if count and is_known and expires_at > now:
            state.tokens.add(expires_at, count)
            state.granted += count
            self._drop_excess(state)
            state.refused_until = 0.0

    def _close(self, pending: _Pending) -> None:
        self._questions.pop(pending.question.number, None)
        for state in pending.states:
            if state.pending.get(pending.holder) is pending:
                del state.pending[pending.holder]

    def is_open(self, number: int) -> bool:
        """Whether a question has not been answered."""
        return number in self._questions

    def repeat(self, now: float, number: int) -> AllotmentQuestion | None:
        """Returns a question to send again, or None if it was answered or its time is over.

        An unanswered question no longer keeps this node from asking the other holders.
        """
        pending = self._questions.get(number)
        if pending is None:
            return None
        pending.is_overdue = True
        if now - pending.sent_at < ANSWER_TIMEOUT_S - _EPSILON:
            return pending.question
        # The answer may still come, and its tokens count until they lapse.
        self._unreachable_until[pending.holder] = now + UNREACHABLE_S
        for state in pending.states:
            if state.pending.get(pending.holder) is pending:
                del state.pending[pending.holder]
        return None

    def drop_old_questions(self, now: float) -> None:
        """Forgets questions whose tokens have lapsed."""
        for pending in list(self._questions.values()):
            if now - pending.sent_at < self._lifetime:
                break
            self._close(pending)
        holders_in_view = set(self._view.get().values())
        for holder in [h for h in self._unreachable_until if h not in holders_in_view]:
            del self._unreachable_until[holder]

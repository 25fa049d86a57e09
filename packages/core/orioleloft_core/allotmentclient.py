"""Tokens of one node for the allotments of tenants, and its questions to the holders.

See `allotments` for the bound on the requests of all nodes, and for the holders.
"""

import bisect
import collections
import dataclasses
import math
import random
from collections.abc import Callable, Iterable

from orioleloft_core.allotments import (
    MAX_COUNT,
    MAX_DEMANDS,
    MIN_WAIT_S,
    HolderView,
    late_start,
    tenant_key,
    token_lifetime,
    total_cap,
)
from orioleloft_core.entrysettings import AllotmentBounds
from orioleloft_core.messages import (
    AllotmentAnswer,
    AllotmentQuestion,
    TenantDemand,
    TenantGrant,
)
from orioleloft_core.routes import Tenant

# Time for which a node keeps to a refusal at most, in seconds, as the limit may be raised.
MAX_REFUSAL_S = 1.0
# Interval between questions ahead of need, in seconds.
ASK_PERIOD_S = 0.25
# Expected demand that tokens are held for, in seconds, and the requests per second of a tenant at
# this node from which they are. From 10 per second on, a tenant that sent its whole rate through 15
# nodes got 0.976 of it, as many tokens lapsed; from 20 per second on, it got 0.996.
AHEAD_S = 0.3
MIN_AHEAD_PER_S = 20.0
# Weight of the last period in the mean demand.
DEMAND_WEIGHT = 0.4
# Mean demand in requests per second below which a tenant is idle.
IDLE_PER_S = 0.05
# Age of an unanswered question at which it is repeated, in seconds.
REPEAT_S = 0.02
# Age from which other holders are asked as well: this multiple of the mean time of the holder's
# answers, at least `REPEAT_S` and at most `MAX_OVERDUE_S`. With `REPEAT_S` alone and answers after
# 30 ms, the tokens of both holders were granted and those of one lapsed.
OVERDUE_FACTOR = 1.5
MAX_OVERDUE_S = 0.04
ANSWER_TIME_WEIGHT = 0.1
# Time for which an answer is waited for, in seconds, and for which the holder then counts as
# unreachable.
ANSWER_TIMEOUT_S = 0.06
UNREACHABLE_S = 0.4
# Time from the start of the process for which holders may not be known or not hold their parts yet,
# in seconds. Until then, a holder that cannot grant is asked again after `START_RETRY_S`, and one
# that does not answer after `START_UNREACHABLE_S`.
START_PHASE_S = 2.0
START_RETRY_S = 0.04
START_UNREACHABLE_S = 0.08
# Bounds of the time after which a caller should return while no holder can be reached, in seconds;
# added to the time until the next one grants tokens, if that is known.
UNAVAILABLE_MIN_S = 0.2
UNAVAILABLE_MAX_S = 0.8
# Time over which callers that return are spread at most, and shortest time they are told, in
# seconds.
MAX_SPREAD_S = 5.0
MIN_RETRY_AFTER_S = 0.02
# Part of a tenant's rate at which the callers of a node that got few tokens return.
MIN_RETURN_SHARE = 0.25
# Time for which the lapsed token of a request that was not run lets another request in, in seconds,
# and the maximum number of them for each tenant. Refused callers return within that time.
UNSENT_MEMORY_S = 2.0
MAX_UNSENT = 200

_EPSILON = 1e-9


@dataclasses.dataclass(eq=False)
class Taken:
    """The request has a token.

    Attributes:
        expires_at: when the token lapses, on the node's clock; changed if the request gets another.
        is_spent: whether an attempt has been sent with it, or it was given back.
        is_admission_only: whether no token was granted for the request, so that it needs one before
            it is sent.
        limit: limit under which the token was granted for a request that waits, or None.
    """

    expires_at: float
    is_spent: bool = False
    is_admission_only: bool = False
    limit: Tenant | None = None


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


@dataclasses.dataclass(frozen=True)
class AllotmentState:
    """What a node knows of the allotment of one tenant.

    Attributes:
        tokens: unspent tokens at this node.
        waiting: requests of the tenant that wait for a token.
        may_ask: whether a request without a token asks a holder, or waits for an answer.
        room_in: seconds until a holder that has refused has its next token, or None.
        holder: name of the holder in the zone of this node, or None.
        holder_count: number of holders in all zones.
    """

    tokens: int
    waiting: int
    may_ask: bool
    room_in: float | None
    holder: str | None
    holder_count: int


class _Tokens:
    """Tokens of one tenant at this node, by the time at which they lapse."""

    def __init__(self) -> None:
        self._lots: list[list[float]] = []

    def count(self, now: float) -> int:
        while self._lots and self._lots[0][0] <= now:
            del self._lots[0]
        return int(sum(lot[1] for lot in self._lots))

    def peek(self, now: float) -> int:
        """Returns the number of tokens like `count`, but keeps those that have lapsed."""
        return int(sum(count for expires_at, count in self._lots if expires_at > now))

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
        # Tokens of requests that have not been sent, and the times until which lapsed tokens of
        # requests that were never sent let others in.
        self.held: collections.deque[Taken] = collections.deque()
        self.unsent: collections.deque[float] = collections.deque(maxlen=MAX_UNSENT)

    def hold(self, now: float, token: Taken) -> None:
        self._drop_used(now)
        self.held.append(token)

    def next_held(self, now: float) -> Taken | None:
        self._drop_used(now)
        return self.held.popleft() if self.held else None

    def _drop_used(self, now: float) -> None:
        while self.held and (self.held[0].is_spent or self.held[0].expires_at <= now):
            self.held.popleft()

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
        overdue_at: when other holders are asked as well.
    """

    holder: str
    question: AllotmentQuestion
    states: list[_TenantState]
    sent_at: float
    overdue_at: float


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
        started_at: start of the process, in seconds on the node's clock.
        holder_due: returns the seconds from a time on until a node grants tokens, 0 if one may do
            so at that time.
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
        started_at: float = -math.inf,
        holder_due: Callable[[float], float] = lambda now: 0.0,
    ) -> None:
        self._holder_due = holder_due
        self._starting_until = started_at + START_PHASE_S
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
        self._answer_times: dict[str, float] = {}
        self._number = 0
        self._period_began_at: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no tenant has had a request lately and no question is open."""
        return not self._active and not self._questions

    def is_starting(self, now: float) -> bool:
        """Whether holders may not be known or not hold their parts yet."""
        return now < self._starting_until

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
        outcome = self._decide(now, state)
        if isinstance(outcome, Unavailable) and self.is_starting(now):
            return Ask()
        return outcome

    def _decide(self, now: float, state: _TenantState) -> Outcome:
        expires_at = state.tokens.take(now)
        if expires_at is not None:
            return Taken(expires_at)
        if now < state.refused_until:
            return self._refuse(now, state)
        chosen = self._view.get().values()
        if any(now < pending.overdue_at for pending in state.pending.values()):
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

    def peek(self, now: float, name: str) -> AllotmentState | None:
        """Returns what `take` would find for a tenant, without taking or counting anything.

        Returns:
            None if the tenant has no allotment here.
        """
        state = self._states.get(name)
        if state is None:
            return None
        chosen = self._view.peek()
        rooms = [
            refusal.room_at - now
            for holder, refusal in state.refusals.items()
            if holder in chosen.values()
            and refusal.room_at is not None
            and refusal.until > now - ANSWER_TIMEOUT_S
        ]
        may_ask = bool(state.pending) or any(
            self._ask_at(now, state, holder) <= now for holder in chosen.values()
        )
        return AllotmentState(
            tokens=state.tokens.peek(now),
            waiting=state.waiting,
            may_ask=may_ask and now >= state.refused_until,
            room_in=max(0.0, min(rooms)) if rooms else None,
            holder=chosen.get(self._zone),
            holder_count=len(chosen),
        )

    def set_waiting(self, name: str, count: int) -> None:
        """Sets the number of requests that wait for a token of a tenant."""
        state = self._states.get(name)
        if state is not None:
            state.waiting = count
            self._active[name] = state

    def hold(self, now: float, name: str, token: Taken) -> None:
        """Lets requests that are sent earlier use the token of an admitted request."""
        state = self._states.get(name)
        if state is not None and now < token.expires_at < math.inf:
            token.limit = state.tenant
            state.hold(now, token)

    def admit_without_token(self, now: float, name: str) -> Taken | None:
        """Admits a request in place of one that was never sent and whose token has lapsed.

        Such a tenant has not used its allotment. The request needs a token before it is sent.
        """
        state = self._states.get(name)
        while state is not None and state.unsent:
            if state.unsent.popleft() > now:
                return Taken(-math.inf, is_admission_only=True)
        return None

    def spend(self, now: float, name: str, token: Taken) -> Outcome:
        """Spends a token for an attempt that is about to be sent.

        If the token has lapsed while the request waited, the request gets that of one which still
        waits, and which gets the lapsed one for it, or one that nobody has. A tenant whose requests
        all wait for a while thus needs one token for each, not one for its arrival and one for its
        start.

        Returns:
            The token, or `Ask` or a refusal if it has lapsed and there is no other.
        """
        state = self._states.get(name)
        if state is not None and not self._may_start(now, state, token):
            other = state.next_held(now)
            if other is not None:
                # The tokens of requests that wait lapse before those that nobody has.
                expires_at, other.expires_at = other.expires_at, -math.inf
                other.is_admission_only = token.is_admission_only or token.is_spent
            else:
                expires_at = state.tokens.take(now)
                if expires_at is None:
                    return self._resolve(now, state)
            token.expires_at, token.is_admission_only = expires_at, False
        token.is_spent = True
        return token

    def _may_start(self, now: float, state: _TenantState, token: Taken) -> bool:
        if token.is_spent or token.limit is not state.tenant:
            return now < token.expires_at
        return now < token.expires_at + late_start(self._bounds, state.tenant)

    def give_back(self, now: float, name: str, token: Taken) -> None:
        """Gives back the token of a request that was not run; it stays valid no longer."""
        state = self._states.get(name)
        if state is None or token.expires_at == math.inf:
            return
        if now < token.expires_at:
            state.tokens.add(token.expires_at, 1)
        elif not token.is_admission_only:
            state.unsent.append(now + UNSENT_MEMORY_S)
        token.expires_at, token.is_spent, token.is_admission_only = -math.inf, True, True

    def _refuse(self, now: float, state: _TenantState) -> Exceeded | Unavailable:
        chosen = self._view.get().values()
        refusals = [state.refusals[holder] for holder in chosen if holder in state.refusals]
        rooms = [
            refusal.room_at
            for refusal in refusals
            if refusal.room_at is not None and refusal.until > now - ANSWER_TIMEOUT_S
        ]
        if not rooms:
            spread = self._rng.uniform(UNAVAILABLE_MIN_S, UNAVAILABLE_MAX_S)
            return Unavailable(self._holder_due(now) + spread)
        return Exceeded(self._return_delay(now, state, max(0.0, min(rooms) - now)))

    def _return_delay(self, now: float, state: _TenantState, room: float) -> float:
        """Returns the seconds after which the next refused caller of a tenant should return.

        Callers get one time each, at the rate at which this node has got tokens lately. Once the
        times reach `MAX_SPREAD_S`, further callers are spread over that.
        """
        rate = state.tenant.rate_per_s
        interval = 1 / min(rate, max(state.granted_per_s, rate * MIN_RETURN_SHARE))
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
            if now < pending.overdue_at:
                index = pending.states.index(state)
                need -= pending.question.demands[index].count
        if need <= 0:
            return []
        found = self._view.get()
        own = found.get(self._zone)
        if own is not None:
            if self._may_ask(now, state, own):
                return [(own, need)]
            if own in state.pending and now < state.pending[own].overdue_at:
                return []
        others = [e for e in dict.fromkeys(found.values()) if self._may_ask(now, state, e)]
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
        mean = self._answer_times.get(holder, 0.0)
        overdue = min(MAX_OVERDUE_S, max(REPEAT_S, mean * OVERDUE_FACTOR))
        states = [state for state, _ in demands]
        pending = _Pending(holder, question, states, now, now + overdue - _EPSILON)
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
        mean = self._answer_times.get(pending.holder, 0.0)
        change = ANSWER_TIME_WEIGHT * (now - pending.sent_at - mean)
        self._answer_times[pending.holder] = mean + change
        demands = pending.question.demands
        for state, demand, grant in zip(pending.states, demands, answer.grants, strict=True):
            self._add_grant(now, pending, state, min(grant.count, demand.count), grant)
            if grant.count >= demand.count:
                state.refusals.pop(pending.holder, None)
                continue
            wait = min(MAX_REFUSAL_S, max(MIN_WAIT_S, grant.wait_s))
            if grant.room_s is None and self.is_starting(now):
                wait = START_RETRY_S
            until = now + wait
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

        After that, the holder counts as unreachable for a while.
        """
        pending = self._questions.get(number)
        if pending is None:
            return None
        if now - pending.sent_at < ANSWER_TIMEOUT_S - _EPSILON:
            return pending.question
        # The answer may still come, and its tokens count until they lapse.
        pause = START_UNREACHABLE_S if self.is_starting(now) else UNREACHABLE_S
        self._unreachable_until[pending.holder] = now + pause
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
        chosen = set(self._view.get().values())
        for known in (self._unreachable_until, self._answer_times):
            for holder in known.keys() - chosen:
                del known[holder]

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

With `lifetime` = overage x window (0.1 x 5 s) and the sum of caps = burst + EXTRA_TOKENS, this is
at most the bound for every rate and burst, whatever the number of unspent tokens. A request that
has waited for a target may start `late_start` seconds after its token has lapsed, which adds
rate x late_start <= LATE_SHARE x slack + overage x burst. A holder that restarts, or replaces
another one, starts with a nearly empty bucket and accrues tokens from the start of its process. It
grants no more than its predecessor would have with the tokens that it had left, except for
`START_SHARE` of the slack for all holders together. `EXTRA_SHARE`, `LATE_SHARE` and seven starts of
all holders make 0.985 of the slack together.

Views of the zones may differ for a moment, as nodes learn of each other. A holder's part counts in
its own view. A node that starts reads the registered nodes first; see `AllotmentHolder`. In a
partition the number of zones stays, because nodes that are down remain registered. The part of a
holder that is gone passes to another node under a lease; see `allotmentparts`.
"""

import dataclasses
import hashlib
import math
from collections.abc import Callable, Iterable, Mapping

from orioleloft_core import hashing
from orioleloft_core.allotmentparts import RANKING_KEY
from orioleloft_core.entrysettings import AllotmentBounds
from orioleloft_core.messages import (
    AllotmentAnswer,
    AllotmentQuestion,
    TenantDemand,
    TenantGrant,
)
from orioleloft_core.routes import Tenant

# Maximum number of holders. Each needs room for a whole token, which the slack provides.
MAX_HOLDERS = 8
# Part of the slack that all holders together start with: 1.1 tokens at the usual slack. The first
# holder can grant one at once, and the next ones come one after the other, since a tenant with 0.3
# requests per second gets one from each holder in 10 s. Seven starts of all nodes in one window
# cost 7.7 tokens, which the slack has room for beside the shares below. A power failure lasts 0.6 s
# at least and a process takes 0.3 s to start, so there are no more.
START_SHARE = 0.055
# Time from the start of the process within which a holder may go on with its part, in seconds. In
# that time no new node is taken into the list of registered nodes and then for a holder.
RESUME_WINDOW_S = 1.0
# Longest time before the first grant for which a holder that goes on has tokens, in seconds.
MAX_START_ACCRUAL_S = 5.0
# Tokens that the buckets of all holders have room for on top of the burst, and the part of the
# slack that they are at most. Arrivals of a tenant at its limit vary by some tokens: with 8 instead
# of 10 tokens, a tenant with 100 requests per second got 0.985 of its rate instead of 0.997.
EXTRA_TOKENS = 10.0
EXTRA_SHARE = 0.5
# Requests of a tenant that may start later than their tokens' time in one window, as a part of the
# slack; the overage of the burst comes on top. The longest such delay in seconds.
LATE_SHARE = 0.1
MAX_LATE_S = 2.5
# Time for which a token is valid at most, in seconds.
MAX_LIFETIME_S = 0.5
# Time from the moment a node finds itself to be the holder to its first token, in seconds. The
# tokens of the predecessor have lapsed by then, and the predecessor has heard of the new holder.
HOLDER_DELAY_S = 1.0
# The same from the moment at which a new node finds itself registered, in seconds. A predecessor
# that restarts meanwhile goes on at once if a list that is some seconds old lacks the new node.
NEW_HOLDER_DELAY_S = 5.0

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
# Time from the start of a bucket after which all of that is kept for other nodes, in seconds. A
# bucket that starts nearly empty cannot spare it: with 100 requests per second, 0.72 of the
# requests of the first 2 s ran, without it 0.85.
KEEPING_DELAY_S = 5.0
# Maximum time to the next token that takes refused callers at other nodes into account, in seconds.
MAX_ROOM_S = 2.0
# Time after which a holder that does not know a tenant is asked again, in seconds.
UNKNOWN_WAIT_S = 0.1
# Answers that are kept for repeated questions, and for how long, in seconds.
MAX_KEPT_ANSWERS = 4096
KEPT_ANSWER_S = 1.0
# Removed tenants whose tokens are remembered, so that adding them again is no second burst.
MAX_REMOVED = 1_000

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
    """The holders by the registered nodes and the assignments, computed once for each set of them.

    Args:
        zones: returns the zones of all registered nodes by node name.
        assigned: returns the holders by zone that the assignments name; another object after each
            change.
    """

    def __init__(
        self,
        zones: Callable[[], Mapping[str, str]],
        assigned: Callable[[], Mapping[str, str]] = dict,
    ) -> None:
        self._zones = zones
        self._assigned = assigned
        self._seen: Mapping[str, str] | None = None
        self._seen_assigned: Mapping[str, str] = {}
        self._holders: dict[str, str] = {}

    def get(self) -> dict[str, str]:
        """Returns the holder of each zone; the same object while nothing has changed."""
        zones, assigned = self._zones(), self._assigned()
        if zones is not self._seen or assigned is not self._seen_assigned:
            if zones != self._seen or assigned != self._seen_assigned:
                found = self._compute(zones, assigned)
                self._holders = self._holders if found == self._holders else found
            self._seen, self._seen_assigned = zones, assigned
        return self._holders

    def peek(self) -> dict[str, str]:
        """Returns the holder of each zone without keeping what was computed."""
        zones, assigned = self._zones(), self._assigned()
        is_seen = zones is self._seen and assigned is self._seen_assigned
        return self._holders if is_seen else self._compute(zones, assigned)

    @staticmethod
    def _compute(zones: Mapping[str, str], assigned: Mapping[str, str]) -> dict[str, str]:
        return {zone: assigned.get(zone, holder) for zone, holder in holders(zones).items()}

    def is_assigned(self, zone: str) -> bool:
        """Whether an assignment names the holder of a zone."""
        return zone in self._assigned()

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
    return max(0.0, tenant.burst or 0.0) + min(EXTRA_TOKENS, EXTRA_SHARE * bounds.slack)


def late_start(bounds: AllotmentBounds, tenant: Tenant) -> float:
    """Returns how long after its token has lapsed a request that has waited may start, in seconds.

    Requests with tokens of this age are `rate` times the delay at most, which the slack covers.
    """
    covered = LATE_SHARE * bounds.slack + bounds.overage * max(0.0, tenant.burst or 0.0)
    return min(MAX_LATE_S, covered / tenant.rate_per_s)


@dataclasses.dataclass
class _Asker:
    """What a node has asked a bucket for lately.

    Attributes:
        at: time of its last question.
        unmet: tokens that it did not get then.
        granted: tokens granted, of which the older ones count less.
    """

    at: float
    unmet: int = 0
    granted: float = 0.0

    def recent(self, now: float) -> float:
        """Returns the tokens granted lately; the weight of each falls to 1/e in the memory."""
        return self.granted * math.exp((self.at - now) / DEMAND_MEMORY_S)


class _Bucket:
    """A holder's part of the allotment of one tenant."""

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._cap = 0.0
        self._tokens = 0.0
        self._askers: dict[str, _Asker] = {}
        self._refilled_at = now
        self._started_at = now

    def set_limits(self, now: float, rate: float, cap: float) -> None:
        """Changes the limits; tokens above a lower cap are dropped."""
        self._refill(now)
        self._rate, self._cap = rate, cap
        self._tokens = min(self._tokens, cap)

    def stop(self, now: float) -> None:
        """Keeps the tokens and adds none."""
        self.set_limits(now, 0.0, self._cap)

    def fill(self) -> None:
        """Begins with all tokens."""
        self._tokens = self._cap

    def restart(self, since: float, tokens: float) -> None:
        """Begins with some tokens, those since a time, and without a memory of demand."""
        self._tokens = min(self._cap, tokens)
        self._askers.clear()
        self._refilled_at = self._started_at = since

    def _refill(self, now: float) -> None:
        added = max(0.0, now - self._refilled_at) * self._rate
        self._tokens = min(self._cap, self._tokens + added)
        self._refilled_at = max(now, self._refilled_at)

    def available(self, now: float) -> float:
        """Returns the tokens in the bucket at a time, without taking any."""
        return min(self._cap, self._tokens + max(0.0, now - self._refilled_at) * self._rate)

    def take(self, now: float, node: str, count: int) -> TenantGrant:
        """Takes up to `count` tokens, or the node's part by demand if there are too few for all."""
        self._refill(now)
        asker = self._asker(now, node)
        competing = [each for each in self._askers.values() if each.unmet and each is not asker]
        total = count + sum(each.unmet for each in competing)
        entitled = float(count)
        if total > self._tokens + _EPSILON:
            # Each node gets its part of what was granted lately and of what is left. Tokens are not
            # kept for the others if the bucket might overflow before they ask: a tenant without
            # burst that sent ten times its rate of 200 per second got 0.79 of it.
            recent = asker.granted + sum(each.recent(now) for each in competing)
            entitled = count / total * (self._tokens + recent) - asker.granted
            room = max(0.0, self._cap - self._rate * MAX_PACE_S - 1)
            kept = min(self._cap / 2, self._rate * MAX_SHARE_WAIT_S, room)
            kept *= min(1.0, (now - self._started_at) / KEEPING_DELAY_S)
            entitled = max(entitled, self._tokens - kept)
        granted = max(0, min(count, math.floor(min(entitled, self._tokens) + _EPSILON)))
        self._tokens = max(0.0, self._tokens - granted)
        asker.granted += granted
        asker.unmet = count - granted
        if granted == count:
            return TenantGrant(granted, 0.0, 0.0)
        room = max(0.0, 1 - self._tokens) / self._rate
        pace = min(MAX_PACE_S, self._cap / self._rate / 2)
        if competing:
            pace = max(pace, min(MAX_SHARE_WAIT_S, total / (count * self._rate)))
        # Callers that were refused at other nodes return as well.
        before = max(0.0, 1 - self._tokens + sum(each.unmet for each in competing))
        room_for_all = min(MAX_ROOM_S, before / self._rate)
        wait = max(MIN_WAIT_S, room, pace)
        return TenantGrant(granted, round(wait, 4), round(max(room, room_for_all), 4))

    def _asker(self, now: float, node: str) -> _Asker:
        """Returns what is known of a node, and forgets the nodes that ask no more."""
        asker = self._askers.pop(node, None) or _Asker(now)
        asker.granted, asker.at = asker.recent(now), now
        self._askers[node] = asker
        while True:
            oldest = next(iter(self._askers))
            if self._askers[oldest].at > now - DEMAND_MEMORY_S:
                return asker
            del self._askers[oldest]


class AllotmentHolder:
    """Answers questions for tokens while this node is the holder of its zone.

    A node that starts is no holder until `resume` or `confirm` is called: it may know few nodes
    yet, and take itself for the holder of the only zone. The caller does so once the node has
    compared its view with the registered nodes in the store. The parts that it holds are those of
    the zones for which it has a lease; see `renew`.

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
        self._leased_zones: frozenset[str] = frozenset()
        self._lease_until = -math.inf
        self._part = 0.0
        self._holds_from: float | None = None
        self._accrues_from: float | None = None
        self._is_holding = False
        self._held_since = 0.0
        self._tenants: dict[int, Tenant] = {}
        self._buckets: dict[int, _Bucket] = {}
        self._removed: dict[int, _Bucket] = {}
        self._answers: dict[tuple[str, int, int], tuple[float, AllotmentAnswer]] = {}

    @property
    def is_confirmed(self) -> bool:
        """Whether this node may hold a part if its view of the registered nodes says so."""
        return self._is_confirmed

    @property
    def leased_zones(self) -> frozenset[str]:
        """Zones of the last lease, which may have ended."""
        return self._leased_zones

    def resume(self, now: float, started_at: float) -> None:
        """Lets this node go on at once with the part that it held before its restart.

        No other node has granted tokens of the part meanwhile, and its own earlier ones lapse by
        themselves. The buckets therefore have the tokens since the start of the process.

        Args:
            now: seconds on the node's clock.
            started_at: start of the process.
        """
        self.confirm(now)
        if self._holds_from is not None:
            self._holds_from = now
            self._accrues_from = started_at

    def confirm(self, now: float, delay: float = 0.0) -> None:
        """Lets this node hold a part if its view of the registered nodes says so.

        Args:
            now: seconds on the node's clock.
            delay: minimum time to the first token, in seconds.
        """
        self._is_confirmed = True
        self._update_part(now)
        if self._holds_from is not None:
            self._holds_from = max(self._holds_from, now + delay)

    def lease_left(self, now: float) -> float:
        """Returns the seconds for which this node may grant tokens, 0 without a valid lease."""
        return max(0.0, self._lease_until - now) if self._leased_zones else 0.0

    def renew(self, now: float, until: float, zones: frozenset[str]) -> None:
        """Begins a lease in the place of the last one.

        Args:
            now: seconds on the node's clock.
            until: end of the lease.
            zones: zones whose parts this node may hold.
        """
        if now >= self._lease_until:
            # Another node may have granted the tokens that have accrued since.
            self._is_holding = False
        self._lease_until = until
        if zones != self._leased_zones:
            self._leased_zones = zones
            self._known_holders = None
        self._update_part(now)

    def resign(self, now: float) -> None:
        """Ends the lease."""
        self.renew(now, -math.inf, frozenset())

    def is_holding(self, now: float) -> bool:
        """Whether this node grants tokens now."""
        self._update_part(now)
        if now >= self._lease_until:
            self._is_holding = False
            return False
        if not self._is_holding and self._holds_from is not None and self._is_confirmed:
            if now < self._holds_from:
                return False
            self._is_holding = True
            self._held_since = since = now
            accrues_from, self._accrues_from = self._accrues_from, None
            if accrues_from is not None and now - accrues_from <= MAX_START_ACCRUAL_S:
                since = accrues_from
            tokens = self._tokens_at_start(accrues_from is not None)
            for bucket in (*self._buckets.values(), *self._removed.values()):
                bucket.restart(since, tokens)
        return self._is_holding

    def _tokens_at_start(self, is_resumed: bool) -> float:
        """Returns this holder's step of a staircase, one step for each holder.

        The highest is one token, for a holder that goes on with its own part. The steps below it
        share what is left of the tokens of all.
        """
        total = START_SHARE * self._bounds.slack
        nodes = sorted(set(self._known_holders.values()))
        rank = nodes.index(self._node)
        if rank == 0:
            return min(1.0, total) if is_resumed else 0.0
        if total <= 1:
            return 0.0
        steps = len(nodes) - 1
        if steps == 1:
            return min(0.5, total - 1)
        return (steps - rank) * min(1 / (steps + 1), 2 * (total - 1) / (steps * (steps - 1)))

    def _update_part(self, now: float) -> None:
        found = self._view.get()
        if found is self._known_holders:
            return
        self._known_holders = found
        held = [z for z, holder in found.items() if holder == self._node]
        held = [zone for zone in held if zone in self._leased_zones]
        if not held:
            self._holds_from = None
            self._accrues_from = None
            self._is_holding = False
        elif self._holds_from is None:
            # An assignment is in force only once the predecessor's tokens have lapsed.
            is_assigned = all(map(self._view.is_assigned, held))
            self._holds_from = now if is_assigned else now + HOLDER_DELAY_S
        part = max(1, len(held)) / len(found) if found else 0.0
        if part > self._part:
            # The earlier holder of what is added may have granted tokens of it until now.
            self._held_since = now
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
            bucket.stop(now)
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

    def available(self, now: float, name: str) -> float | None:
        """Returns the tokens of a tenant that this holder has left, or None if it grants none.

        Nothing is taken, and the node does not begin to hold its part by it.
        """
        bucket = self._buckets.get(tenant_key(name))
        return bucket.available(now) if bucket is not None and self._is_holding else None

    def _drop_old_answers(self, now: float) -> None:
        while self._answers:
            oldest = next(iter(self._answers))
            is_old = self._answers[oldest][0] < now - KEPT_ANSWER_S
            if not is_old and len(self._answers) <= MAX_KEPT_ANSWERS:
                return
            del self._answers[oldest]

"""Leases of target groups: assignment by epoch, confirmation by seats, fencing, proposals.

The platform's assignment object orders the epochs. Using a lease needs no platform, only recent
acknowledgements of a majority of the configured seats. Two holders never use one group at a time:

- A lease of epoch E is used at time t only while a majority acknowledged pings sent after
  t - hold time with an epoch of at most E.
- A holder that gains a group at epoch S first sees a majority acknowledge S or more, all of it for
  pings sent within one hold time that ends at F, and uses the group from F + hold time on.
- The two majorities share a seat. Its acknowledgement for S precedes F and the one for E follows
  F, so a lower E needs a seat that forgot S.
- A restarted seat acknowledges no epoch at first. It learns the epoch from a platform read, or
  from a majority of the other seats, that it sent at least one hold time after its start. By then,
  each fence that counted its predecessor is complete, so the answer is at least S.
"""

import collections
import dataclasses
import math
import random
from collections.abc import Collection

from orioleloft_core import hashing, placement
from orioleloft_core.effects import Effect, LogEvent, ReadAssignment, Send, WriteAssignment
from orioleloft_core.events import AssignmentRead
from orioleloft_core.lifecycle import LEAVING, SERVING
from orioleloft_core.membership import NEVER, Membership
from orioleloft_core.messages import AssignmentData, FetchAssignment, NodeFacts
from orioleloft_core.pacing import Pacer
from orioleloft_core.placement import Holder, Holders
from orioleloft_core.settings import Settings

# Seats propose one after the other, so that in most cases only the first one writes. A write and
# its spread to the other seats take less than one step.
PROPOSAL_STEP_S = 0.25

# Time between two requests to peers for an assignment that was heard of.
FETCH_INTERVAL_S = 0.25

# Time after which an assignment that no peer delivers is read from the platform.
PEER_FETCH_S = 2.0

PROPOSAL_KEY = "assignment"


@dataclasses.dataclass(frozen=True)
class Fence:
    """Waiting time of one group before its new holder may use it.

    Attributes:
        since: first epoch from which on every epoch is known to name this holder.
        usable_from: time from which the lease may be used; infinite until a majority has
            reported `since`.
        carried_until: end of the confirmations of an earlier epoch that also named this holder.
    """

    since: int
    usable_from: float = math.inf
    carried_until: float = NEVER


class LeaseKeeper:
    """Assignment that a node has adopted, and its own leases.

    Each read or write of the assignment must be answered by exactly one `on_read`.

    Args:
        settings: settings of the node.
        incarnation: own incarnation.
        pacer: limits the calls to the platform.
        rng: source of the jitter of proposals and of the choice of peers.
    """

    def __init__(
        self, settings: Settings, incarnation: str, *, pacer: Pacer, rng: random.Random
    ) -> None:
        fleet = settings.fleet
        self._own = Holder(settings.node.name, incarnation)
        self._zones = {seat.name: seat.zone for seat in fleet.seats}
        self._others = tuple(name for name in fleet.names if name != self._own.seat)
        self._majority = fleet.majority
        self._hold_s = fleet.hold_time_ms / 1000
        self._pacer = pacer
        self._rng = rng
        self._epoch = 0
        self._holders: dict[str, Holder] = {}
        self._fences: dict[str, Fence] = {}
        # Newest sending time of the pings that a seat acknowledged, by seat and reported epoch.
        self._reports: dict[str, dict[int, float]] = collections.defaultdict(dict)
        self._confirmed_until = NEVER
        # Time of the last acknowledgement, if it came since the last `_refresh`.
        self._outdated_at: float | None = None
        self._has_open_fence = False
        self._started: float | None = None
        self._is_loaded = False
        self._heard_epoch = 0
        self._heard_since = NEVER
        self._next_fetch_at = NEVER
        self._is_calling = False
        self._has_read = False
        self._is_unresolved = False
        self._written: WriteAssignment | None = None
        self._proposal_due: float | None = None
        self._next_proposal_at = NEVER
        # Inputs for which there is nothing to propose.
        self._settled_groups: Collection[str] | None = None
        self._settled_inputs: tuple[int, int, str, tuple[str, ...]] | None = None

    @property
    def epoch(self) -> int:
        """Epoch of the assignment adopted, 0 if none."""
        return self._epoch

    @property
    def reported_epoch(self) -> int:
        """Epoch to state in heartbeats; 0 until the node may acknowledge one."""
        return self._epoch if self._is_loaded else 0

    @property
    def own_groups(self) -> Collection[str]:
        """Groups that the adopted assignment gives to the own node."""
        return self._fences.keys()

    def holder(self, group: str) -> Holder | None:
        """Returns the holder that the adopted assignment names for a group."""
        return self._holders.get(group)

    def may_use(self, now: float, group: str) -> bool:
        """Tells whether the own node may grant for a group at this moment."""
        fence = self._fences.get(group)
        if fence is None or not self._is_loaded or self._heard_epoch > self._epoch:
            return False
        self._catch_up()
        fence = self._fences[group]
        if now < fence.carried_until:
            return True
        return fence.usable_from <= now < self._confirmed_until

    def adopt(self, now: float, epoch: int, holders: Holders) -> bool:
        """Adopts an assignment unless its epoch is not above the adopted one.

        Args:
            now: seconds on the own clock.
            epoch: epoch of the assignment.
            holders: (group, seat, incarnation) for each group.

        Returns:
            Whether the assignment was adopted.
        """
        self._note_start(now)
        if epoch <= self._epoch:
            return False
        self._catch_up()
        # After a gap, another holder may have had the group in an epoch that was not seen.
        has_gap = epoch != self._epoch + 1
        named = {group: Holder(seat, incarnation) for group, seat, incarnation in holders}
        own = [group for group, holder in named.items() if holder == self._own]
        self._fences = {group: self._fence(now, group, epoch, has_gap) for group in own}
        self._epoch = epoch
        self._holders = named
        self._refresh(now)
        return True

    def on_facts(self, now: float, facts: NodeFacts) -> None:
        """Takes the facts of an accepted ping or pong.

        A higher epoch ends the own leases at once, until the assignment of that epoch is adopted.
        """
        self._note_start(now)
        if facts.epoch <= max(self._heard_epoch, self._epoch):
            return
        if self._heard_epoch <= self._epoch:
            self._heard_since = now
        self._heard_epoch = facts.epoch

    def on_pong(self, now: float, facts: NodeFacts, ping_sent_at: float) -> None:
        """Counts an acknowledgement from the sending of its ping.

        Args:
            now: seconds on the own clock.
            facts: facts of the sender, which `Membership` has accepted.
            ping_sent_at: result of `Membership.on_pong`.
        """
        self.on_facts(now, facts)
        if facts.epoch <= 0 or facts.seat not in self._others:
            return
        reports = self._reports[facts.seat]
        reports[facts.epoch] = max(ping_sent_at, reports.get(facts.epoch, NEVER))
        self._outdated_at = now
        if not self._is_loaded or self._has_open_fence:
            self._refresh(now)

    def on_heard_majority(self, now: float) -> None:
        """Checks whether the own node may acknowledge epochs from now on.

        The check counts the acknowledgements itself; the call may come at any time.
        """
        self._note_start(now)
        # Later, only an acknowledgement or an assignment can change what is proven.
        if not self._is_loaded:
            self._refresh(now)

    def on_fetch(self, now: float, seat: str, fetch: FetchAssignment) -> list[Effect]:
        """Answers a peer that asks for a newer assignment than it has."""
        self._note_start(now)
        return [Send(seat, self._data())] if self._epoch > fetch.above else []

    def on_data(self, now: float, data: AssignmentData) -> bool:
        """Adopts an assignment that a peer sent; returns whether it was adopted."""
        return self.adopt(now, data.epoch, data.holders)

    def on_read(self, now: float, read: AssignmentRead) -> list[Effect]:
        """Takes the result of a read or write of the assignment object.

        Returns:
            Messages that spread an assignment which the own node has just written.
        """
        self._note_start(now)
        self._is_calling = False
        written, self._written = self._written, None
        if not read.is_reachable:
            # A write may have taken effect, and only a new read can tell.
            self._is_unresolved = self._is_unresolved or written is not None
            self._pacer.failed(now)
            return []
        self._pacer.succeeded()
        self._is_unresolved = False
        self._has_read = True
        is_adopted = self.adopt(now, read.epoch, read.holders)
        if read.started >= self._load_from:
            self._is_loaded = True
            self._refresh(now)
        if not is_adopted or written is None or written.holders != read.holders:
            return []
        return self._announce()

    def propose(
        self,
        now: float,
        groups: Collection[str],
        membership: Membership,
        own_state: str,
        *,
        closed_zones: Collection[str] = (),
    ) -> list[Effect]:
        """Does the periodic work: catches up with peers, reads, and proposes changes.

        Args:
            now: seconds on the own clock.
            groups: all groups of the catalog in force; the same object as long as they stay the
                same.
            membership: view of the fleet.
            own_state: own lifecycle state.
            closed_zones: availability zones that operators have taken out.
        """
        self._note_start(now)
        effects = self._fetch(now, membership)
        if self._is_calling:
            return effects
        if self._needs_read(now):
            if self._pacer.may_call(now):
                self._is_calling = True
                effects.append(ReadAssignment())
            return effects
        inputs = (membership.revision(now), self._epoch, own_state, tuple(closed_zones))
        if groups is self._settled_groups and inputs == self._settled_inputs:
            return effects
        if not self._may_propose(now, membership, own_state):
            self._proposal_due = None
            return effects
        serving = self._serving(now, membership, own_state)
        candidates = self._prefer_open(serving, closed_zones)
        unheard = {
            seat
            for seat in self._others
            if seat not in membership.peers and not membership.is_suspected(now, seat)
        }
        kept = placement.keep(self._holders, set(groups), serving, unheard, candidates)
        if not candidates or len(kept) == len(groups) == len(self._holders):
            self._settled_groups, self._settled_inputs = groups, inputs
            self._proposal_due = None
            return effects
        return effects + self._proposal(now, set(groups), membership, kept, candidates)

    @property
    def _load_from(self) -> float:
        """Time from which on what a starting node hears may be acknowledged."""
        return math.inf if self._started is None else self._started + self._hold_s

    def _note_start(self, now: float) -> None:
        if self._started is None:
            self._started = now

    def _fence(self, now: float, group: str, epoch: int, has_gap: bool) -> Fence:
        known = self._fences.get(group)
        if known is None:
            return Fence(epoch)
        if not has_gap:
            return known
        # No holder of a skipped epoch can pass its fence before the confirmations of the last
        # epoch run out, so the group stays usable until then.
        is_usable = self._is_loaded and known.usable_from <= now
        return Fence(epoch, math.inf, self._confirmed_until if is_usable else known.carried_until)

    def _catch_up(self) -> None:
        if self._outdated_at is not None:
            self._refresh(self._outdated_at)

    def _refresh(self, now: float) -> None:
        """Recomputes what the acknowledgements prove, so that `may_use` only compares times.

        It costs time for each seat, and the acknowledgements of one heartbeat come together. While
        no fence is open, it therefore waits for the next `may_use` or assignment and is then made
        for the time of the last acknowledgement, with the same result.
        """
        self._outdated_at = None
        self._forget_old_reports(now)
        self._check_loaded()
        self._confirmed_until = self._compute_confirmed_until()
        for group, fence in self._fences.items():
            if fence.usable_from == math.inf and self._is_passed(fence.since):
                self._fences[group] = dataclasses.replace(fence, usable_from=now + self._hold_s)
        self._has_open_fence = any(fence.usable_from == math.inf for fence in self._fences.values())

    def _forget_old_reports(self, now: float) -> None:
        oldest = now - self._hold_s
        for seat, reports in self._reports.items():
            kept = {epoch: sent_at for epoch, sent_at in reports.items() if sent_at >= oldest}
            self._reports[seat] = kept

    def _check_loaded(self) -> None:
        if self._is_loaded:
            return
        heard = [self._epochs_since(seat, self._load_from) for seat in self._others]
        told = [epochs for epochs in heard if epochs]
        # The own seat does not count: with it, a majority could miss the seats of a fence that
        # counted the predecessor on this seat.
        if len(told) >= self._majority and self._epoch >= max(map(max, told)):
            self._is_loaded = True

    def _epochs_since(self, seat: str, oldest: float) -> list[int]:
        reports = self._reports.get(seat, {})
        return [epoch for epoch, sent_at in reports.items() if sent_at >= oldest]

    def _compute_confirmed_until(self) -> float:
        needed = self._majority - 1
        if needed == 0:
            return math.inf
        times = sorted(map(self._confirmed_at, self._others), reverse=True)
        return times[needed - 1] + self._hold_s

    def _confirmed_at(self, seat: str) -> float:
        """Returns when the newest ping was sent that a seat answered with no higher epoch."""
        reports = self._reports.get(seat, {})
        times = (sent_at for epoch, sent_at in reports.items() if epoch <= self._epoch)
        return max(times, default=NEVER)

    def _is_passed(self, since: int) -> bool:
        if not self._is_loaded:
            return False
        reports = (self._reports.get(seat, {}) for seat in self._others)
        return 1 + sum(any(epoch >= since for epoch in seen) for seen in reports) >= self._majority

    def _fetch(self, now: float, membership: Membership) -> list[Effect]:
        if self._heard_epoch <= self._epoch or now < self._next_fetch_at:
            return []
        sources = [
            seat
            for seat, peer in membership.peers.items()
            if peer.facts.epoch > self._epoch and not membership.is_suspected(now, seat)
        ]
        if not sources:
            return []
        self._next_fetch_at = now + FETCH_INTERVAL_S
        return [Send(self._rng.choice(sources), FetchAssignment(self._epoch))]

    def _needs_read(self, now: float) -> bool:
        if self._is_unresolved:
            return True
        if self._heard_epoch > self._epoch:
            return now - self._heard_since >= PEER_FETCH_S
        return not self._is_loaded and (not self._has_read or now >= self._load_from)

    def _may_propose(self, now: float, membership: Membership, own_state: str) -> bool:
        # A minority that still reaches the platform would take groups that it cannot use.
        return (
            own_state in (SERVING, LEAVING)
            and (self._has_read or self._epoch > 0)
            and self._heard_epoch <= self._epoch
            and membership.hears_majority(now)
        )

    def _serving(self, now: float, membership: Membership, own_state: str) -> dict[str, str]:
        """Returns seat and incarnation of the nodes that may hold groups."""
        found = {
            seat: peer.facts.incarnation
            for seat, peer in membership.peers.items()
            if peer.facts.state == SERVING and not membership.is_suspected(now, seat)
        }
        if own_state == SERVING:
            found[self._own.seat] = self._own.incarnation
        return found

    def _prefer_open(self, serving: dict[str, str], closed: Collection[str]) -> dict[str, str]:
        in_open = {seat: name for seat, name in serving.items() if self._zones[seat] not in closed}
        return in_open or serving

    def _proposal(
        self,
        now: float,
        groups: set[str],
        membership: Membership,
        kept: dict[str, Holder],
        candidates: dict[str, str],
    ) -> list[Effect]:
        if self._proposal_due is None:
            self._proposal_due = now + self._proposal_delay(now, membership)
        if now < max(self._proposal_due, self._next_proposal_at) or not self._pacer.may_call(now):
            return []
        self._proposal_due = None
        self._next_proposal_at = now + self._hold_s
        self._is_calling = True
        placed = placement.place(groups, kept, candidates)
        self._written = WriteAssignment(self._epoch, placed)
        moved = len(groups) - len(kept)
        fields = (("base_epoch", self._epoch), ("groups", len(groups)), ("moved", moved))
        return [LogEvent("assignment-proposed", fields), self._written]

    def _proposal_delay(self, now: float, membership: Membership) -> float:
        seats = [self._own.seat, *membership.peers]
        present = [seat for seat in seats if not membership.is_suspected(now, seat)]
        rank = hashing.order(PROPOSAL_KEY, present).index(self._own.seat)
        return (rank + self._rng.random()) * PROPOSAL_STEP_S

    def _announce(self) -> list[Effect]:
        data = self._data()
        return [Send(seat, data) for seat in self._others]

    def _data(self) -> AssignmentData:
        holders = self._holders.items()
        return AssignmentData(
            self._epoch,
            tuple((group, holder.seat, holder.incarnation) for group, holder in holders),
        )

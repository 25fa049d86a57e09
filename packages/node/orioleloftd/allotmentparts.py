"""Keeps the leases of this node on parts of the allotments, and takes over those of nodes that end.

See `orioleloft_core.allotmentparts` for the rules.
"""

import asyncio
import contextlib
import dataclasses
import logging
import math
from collections.abc import Callable, Coroutine
from typing import Protocol

from orioleloft_core.allotmentparts import (
    CLAIM_DELAY_S,
    CLAIM_STAGGER_S,
    LEASE_S,
    MAX_CLAIM_RANK,
    RENEWAL_PERIOD_S,
    RENEWAL_RETRY_S,
    SETTLEMENT_DELAY_S,
    PartRegister,
    assignment_of,
    claim_due,
    claimed,
    corrected,
    leased_zones,
    released,
    successors,
    with_assignment,
)
from orioleloft_core.allotments import AllotmentHolder, HolderView
from orioleloft_core.fleet import Fleet
from orioleloft_core.messages import (
    AllotmentParts,
    NodeList,
    OutgoingDatagram,
    PartAssignment,
    PartList,
)
from orioleloftd.logs import log_event
from orioleloftd.storesync import StoreError

# Interval between checks of the leases and of the holders that are down, in seconds.
CHECK_PERIOD_S = 0.5
# Attempts of a node that stops to write who takes over, while others write as well.
MAX_RELEASE_ATTEMPTS = 4

_log = logging.getLogger(__name__)


class PartStore(Protocol):
    """Reads and writes the assignments; implemented by the store's client.

    Every method raises `StoreError` if the call fails.
    """

    async def read_allotment_parts(self) -> PartList:
        """Returns the assignments in the store, which are not stale."""

    async def write_allotment_parts(self, parts: PartList) -> bool:
        """Replaces the assignments; returns False if they have changed since the read."""

    async def read_registered_nodes(self, allow_stale: bool = False) -> NodeList:
        """Returns the registered nodes; a stale list may be some seconds old."""


@dataclasses.dataclass(frozen=True)
class _Claim:
    """A claim that is not settled.

    Attributes:
        assignment: the claim as it was written.
        settles_at: when it may be settled if it is one of this node, and when it should have been
            if it is one of another, in seconds on the node's clock.
    """

    assignment: PartAssignment
    settles_at: float


class PartKeeper:
    """Keeps the leases of this node, and claims the parts of holders that are down.

    Args:
        holder: grants tokens under the leases.
        view: holders by the registered nodes and the assignments.
        register: assignments that this node knows.
        fleet: membership.
        store: assignments in the store.
        send: sends datagrams.
        spawn: runs a coroutine as a background task.
        clock: returns seconds of the node's clock.
    """

    def __init__(
        self,
        *,
        holder: AllotmentHolder,
        view: HolderView,
        register: PartRegister,
        fleet: Fleet,
        store: PartStore,
        send: Callable[[list[OutgoingDatagram]], object],
        spawn: Callable[[Coroutine], None],
        clock: Callable[[], float],
    ) -> None:
        self._holder = holder
        self._view = view
        self._register = register
        self._fleet = fleet
        self._store = store
        self._send = send
        self._spawn = spawn
        self._clock = clock
        self._name = fleet.own_state.name
        self._renews_at = 0.0
        self._retries_at = 0.0
        self._era = 0
        self._is_resigned = False
        self._is_releasing = False
        # Zones whose parts this node has held until it began to stop.
        self._released: frozenset[str] = frozenset()
        # Times since which the holders of zones are down, by zone and holder.
        self._down_since: dict[tuple[str, str], float] = {}
        self._claims: dict[str, _Claim] = {}
        # Claims of other nodes for which this node waits, by zone.
        self._awaited: dict[str, _Claim] = {}
        # Nodes that have been told the assignments, by name and incarnation.
        self._informed: set[tuple[str, int]] = set()
        self._woken = asyncio.Event()
        self._assigned = asyncio.Event()

    # Events.

    def wake(self) -> None:
        """Makes the next renewal due at once."""
        self._renews_at = self._retries_at = self._clock()
        self._woken.set()

    async def wait_for_assignment(self, seconds: float) -> None:
        """Waits until a part is assigned to this node, or for a time in seconds."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._assigned.wait(), seconds)
        self._assigned.clear()

    def note_era(self, era: int) -> None:
        """Reads the assignments again if the store was restored, as it may have lost some."""
        if era > self._era:
            is_restored, self._era = self._era > 0, era
            if is_restored:
                self.wake()

    def on_parts(self, parts: AllotmentParts) -> None:
        """Adopts assignments from another node."""
        if self._register.merge(parts.assignments):
            self._on_merged()

    def _on_merged(self) -> None:
        if self._name not in self._register.holders.values():
            return
        if self._is_resigned:
            self.release()
            return
        self._assigned.set()
        self.wake()

    def _adopt(self, read: PartList) -> None:
        """Adopts assignments from the store, and tells the other nodes those that are news."""
        if self._register.merge(read.assignments):
            self._informed.clear()
            self._inform()
            self._on_merged()

    def _inform(self) -> None:
        """Tells the assignments to the nodes that are alive and have not been told yet."""
        alive = {(state.name, state.incarnation): state.host for state in self._fleet.alive()}
        new = [host for key, host in sorted(alive.items()) if key not in self._informed]
        self._informed = set(alive)
        if new and self._register.assignments:
            parts = AllotmentParts(self._register.assignments)
            self._send([OutgoingDatagram(host, parts) for host in new])

    def holder_due(self, now: float) -> float:
        """Returns the seconds until a node grants tokens, 0 if one may do so now.

        Args:
            now: seconds on the node's clock.
        """
        due = math.inf
        for key in self._view.get().items():
            since = self._down_since.get(key)
            if since is None or now - since < CLAIM_DELAY_S:
                return 0.0
            due = min(due, since + CLAIM_DELAY_S + SETTLEMENT_DELAY_S - now)
        return max(0.0, due) if due < math.inf else 0.0

    # Periodic work.

    async def run(self, is_active: Callable[[], bool]) -> None:
        """Renews leases and takes over parts while there are allotments."""
        while is_active():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._woken.wait(), CHECK_PERIOD_S)
            self._woken.clear()
            if self._is_resigned or self._clock() < self._retries_at:
                continue
            try:
                await self._check()
            except StoreError as error:
                self._retries_at = self._clock() + RENEWAL_RETRY_S
                log_event(_log, "allotment parts not read", reason=str(error))
            except Exception:
                _log.exception("keeping the parts of allotments failed")

    async def _check(self) -> None:
        now = self._clock()
        chosen = self._view.get()
        own = self._own_zones()
        if self._register.assignments and (own or self._name in self._register.holders.values()):
            self._inform()
        known = self._holder.leased_zones | self._claims.keys()
        is_missing = any(zone not in known and not self._is_awaiting(zone) for zone in own)
        if own and (now >= self._renews_at or is_missing):
            await self.renew()
        down = self._down_since.items()
        self._down_since = {key: at for key, at in down if chosen.get(key[0]) == key[1]}
        for zone, holder in chosen.items():
            await self._check_holder(zone, holder)

    def _own_zones(self) -> set[str]:
        """Returns the zones whose holder this node is by its view, with or without a lease."""
        return {zone for zone, holder in self._view.get().items() if holder == self._name}

    async def renew(self) -> bool:
        """Reads the assignments and begins the lease anew.

        Returns:
            Whether this node may hold a part.

        Raises:
            StoreError: the assignments could not be read or written.
        """
        sent_at = self._clock()
        read = await self._store.read_allotment_parts()
        self._adopt(read)
        chosen = self._view.get()
        is_valid = self._holder.lease_left(self._clock()) > 0
        leased = self._holder.leased_zones if is_valid else frozenset()
        parts = corrected(self._name, chosen, self._register, read, leased)
        if parts != read:
            sent_at = self._clock()
            if not await self._store.write_allotment_parts(parts):
                self._retries_at = self._clock()
                return False
            log_event(_log, "allotment parts taken back", parts=len(parts.assignments))
            self._adopt(parts)
            chosen = self._view.get()
        zones = leased_zones(self._name, chosen, self._register, parts)
        if self._is_resigned:
            return False
        self._holder.renew(self._clock(), sent_at + LEASE_S, zones)
        self._renews_at = sent_at + RENEWAL_PERIOD_S
        for zone in sorted(self._own_zones() - zones - self._claims.keys()):
            await self._claim(zone, self._name, read)
        return bool(zones)

    # Holders that are down.

    async def _check_holder(self, zone: str, holder: str) -> None:
        now = self._clock()
        is_own = holder == self._name
        if is_own or self._fleet.is_alive(holder):
            self._down_since.pop((zone, holder), None)
            if not is_own or zone in self._holder.leased_zones:
                self._claims.pop(zone, None)
        else:
            since = self._down_since.setdefault((zone, holder), now)
            if now - since < CLAIM_DELAY_S or self._is_awaiting(zone):
                return
            if not self._may_claim(zone, now - since):
                return
        claim = self._claims.get(zone)
        if claim is not None and now >= claim.settles_at:
            await self._settle(zone, claim)
        elif claim is None and not is_own and not self._fleet.is_alive(holder):
            await self._claim(zone, holder, await self._store.read_allotment_parts())

    def _successors(self, zone: str) -> list[str]:
        zones = self._fleet.zones
        candidates = [name for name in zones if self._fleet.is_staying(name)]
        if not self._is_resigned:
            candidates.append(self._name)
        return successors(zone, zones, candidates, self._view.get())

    def _may_claim(self, zone: str, down_s: float) -> bool:
        ranked = self._successors(zone)
        first = ranked[: MAX_CLAIM_RANK + 1]
        return self._name in first and down_s >= claim_due(first.index(self._name))

    def _is_awaiting(self, zone: str) -> bool:
        """Whether another live node has claimed a part and still has time to settle the claim."""
        claim = self._awaited.get(zone)
        if claim is None or not self._fleet.is_staying(claim.assignment.holder):
            return False
        return self._clock() < claim.settles_at

    async def _claim(self, zone: str, holder: str, read: PartList) -> None:
        """Claims a part, unless the store names another holder than this node knows."""
        self._adopt(read)
        for node in (await self._store.read_registered_nodes()).nodes:
            self._fleet.add(node)
        stored = assignment_of(read, zone)
        self._note_claim(zone, stored)
        if self._view.get().get(zone) != holder or self._is_awaiting(zone):
            return
        if stored is None or stored.is_settled or stored.holder != self._name:
            parts = claimed(self._name, zone, holder, self._register, read)
            if not await self._store.write_allotment_parts(parts):
                return
            stored = assignment_of(parts, zone)
            log_event(_log, "allotment part claimed", zone=zone, of=holder, number=stored.number)
        self._claims[zone] = _Claim(stored, self._clock() + SETTLEMENT_DELAY_S)

    def _note_claim(self, zone: str, stored: PartAssignment | None) -> None:
        """Begins to wait for the claim of another node, when it is read for the first time."""
        if stored is None or stored.is_settled or stored.holder == self._name:
            return
        awaited = self._awaited.get(zone)
        if awaited is None or awaited.assignment != stored:
            until = self._clock() + SETTLEMENT_DELAY_S + CLAIM_STAGGER_S
            self._awaited[zone] = _Claim(stored, until)

    async def _settle(self, zone: str, claim: _Claim) -> None:
        del self._claims[zone]
        read = await self._store.read_allotment_parts()
        if assignment_of(read, zone) != claim.assignment:
            self._adopt(read)
            return
        settled = dataclasses.replace(claim.assignment, is_settled=True)
        parts = with_assignment(read, settled)
        if await self._store.write_allotment_parts(parts):
            log_event(_log, "allotment part taken over", zone=zone, number=settled.number)
            self._adopt(parts)

    # Stop of this node.

    def release(self) -> None:
        """Ends the leases, and lets other nodes hold the parts of this one at once."""
        self._is_resigned = True
        now = self._clock()
        # A node that has not compared its view with the store may take itself for a holder.
        if self._holder.is_confirmed and self._holder.lease_left(now) > 0:
            self._released |= self._holder.leased_zones & self._own_zones()
        self._holder.resign(now)
        is_named = self._name in self._register.holders.values()
        if (self._released or is_named) and not self._is_releasing:
            self._is_releasing = True
            self._spawn(self._hand_over())

    async def _hand_over(self) -> None:
        try:
            for _ in range(MAX_RELEASE_ATTEMPTS):
                if await self._try_to_hand_over():
                    return
        except StoreError as error:
            log_event(_log, "allotment parts not handed over", reason=str(error))
        finally:
            self._is_releasing = False

    async def _try_to_hand_over(self) -> bool:
        """Assigns the parts of this node to others; returns False if the list has changed."""
        read = await self._store.read_allotment_parts()
        self._register.merge(read.assignments)
        zones = self._released | {
            zone for zone, holder in self._register.holders.items() if holder == self._name
        }
        parts = read
        for zone in sorted(zones):
            ranked = self._successors(zone)
            if ranked:
                has_held = zone in self._released
                parts = released(self._name, zone, ranked[0], self._register, parts, has_held)
        if parts != read and not await self._store.write_allotment_parts(parts):
            return False
        self._released = frozenset()
        if parts != read:
            log_event(_log, "allotment parts handed over", parts=len(parts.assignments))
            self._adopt(parts)
        return True

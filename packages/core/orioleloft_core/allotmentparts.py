"""Which node holds each zone's part of the allotments, and until when it may grant tokens.

A zone's part belongs to the node that follows from the registered nodes (`allotments.holders`),
unless the store has an assignment of it to another node. An assignment is written under a
condition, so that all writers agree on the order of a zone's assignments; their numbers increase.

A holder grants tokens only under a lease. It begins the lease anew by a read of the assignments
that shows no other holder, and counts it from the time at which it sent the read.

- A holder that stops ends its lease and assigns its parts to other nodes, settled at once.
- The part of a holder that is down is claimed by an assignment that is not settled. The claimant
  settles it once each lease that began before the claim has ended. Until then the holder takes its
  part back, if it can reach the store, and the settlement then fails.

So at any time at most one node has a valid lease for the part of a zone.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from orioleloft_core import hashing
from orioleloft_core.messages import PartAssignment, PartList

# Key under which nodes are ranked as holders.
RANKING_KEY = "allotments"
# Time for which a read of the assignments lets a holder grant tokens, in seconds. The store may be
# away for 20 s, which must stop no holder.
LEASE_S = 30.0
# Interval between the reads of a holder, in seconds, and the interval after a failed one.
RENEWAL_PERIOD_S = 6.0
RENEWAL_RETRY_S = 0.5
# Time from a claim to its settlement, in seconds. It covers the lease, tokens that were granted at
# its end, and clocks that run at different rates.
SETTLEMENT_DELAY_S = LEASE_S + 1.0
# Time for which a holder must have been down until its part is claimed, in seconds. Most processes
# that end are restarted within that time.
CLAIM_DELAY_S = 3.0
# Time after which the next successor claims it as well, in seconds, and the last rank that does.
CLAIM_STAGGER_S = 4.0
MAX_CLAIM_RANK = 4


def assignment_of(parts: PartList, zone: str) -> PartAssignment | None:
    """Returns the assignment of a zone in a list, or None."""
    return next((each for each in parts.assignments if each.zone == zone), None)


def with_assignment(parts: PartList, assignment: PartAssignment) -> PartList:
    """Returns the list with an assignment in the place of the zone's earlier one."""
    kept = [each for each in parts.assignments if each.zone != assignment.zone]
    changed = sorted([*kept, assignment], key=lambda each: each.zone)
    return dataclasses.replace(parts, assignments=tuple(changed))


def _next_number(zone: str, register: "PartRegister", read: PartList) -> int:
    """Returns a number above that of each assignment of a zone that is known or stored."""
    stored = assignment_of(read, zone)
    return max(register.number(zone), stored.number if stored else 0) + 1


class PartRegister:
    """The newest settled assignments that a node knows."""

    def __init__(self) -> None:
        self._holders: Mapping[str, str] = {}
        self._assignments: dict[str, PartAssignment] = {}

    @property
    def holders(self) -> Mapping[str, str]:
        """Holders by zone; another object after each change."""
        return self._holders

    @property
    def assignments(self) -> tuple[PartAssignment, ...]:
        """All known assignments."""
        return tuple(self._assignments.values())

    def number(self, zone: str) -> int:
        """Returns the number of a zone's assignment, 0 if none is known."""
        return self._assignments[zone].number if zone in self._assignments else 0

    def merge(self, assignments: Iterable[PartAssignment]) -> bool:
        """Adopts the assignments that are settled and newer; returns whether there was one."""
        newer = [a for a in assignments if a.is_settled and a.number > self.number(a.zone)]
        if not newer:
            return False
        self._assignments |= {each.zone: each for each in newer}
        self._holders = {zone: each.holder for zone, each in self._assignments.items()}
        return True


def leased_zones(
    node: str, chosen: Mapping[str, str], register: PartRegister, read: PartList
) -> frozenset[str]:
    """Returns the zones whose parts a node may hold after a read of the assignments.

    Args:
        node: name of the node.
        chosen: holders by zone as the node knows them, with what was read.
        register: assignments that the node knows.
        read: assignments in the store.
    """
    found = set()
    for zone, holder in chosen.items():
        stored = assignment_of(read, zone)
        if holder != node:
            continue
        if stored is None:
            is_confirmed = not register.number(zone)
        else:
            is_settled = stored.is_settled and stored.holder == node
            is_confirmed = is_settled and stored.number >= register.number(zone)
        if is_confirmed:
            found.add(zone)
    return frozenset(found)


def corrected(
    node: str,
    chosen: Mapping[str, str],
    register: PartRegister,
    read: PartList,
    leased: frozenset[str],
) -> PartList:
    """Returns the assignments as a holder should write them; the same if nothing is to change.

    It takes back the parts that others have claimed and not settled. It assigns itself again those
    that a restored store has lost, while its lease shows that no later assignment was lost as well.

    Args:
        node: name of the node.
        chosen: see `leased_zones`.
        register: see `leased_zones`.
        read: assignments in the store.
        leased: zones for which the node has a valid lease.
    """
    changed = read
    for zone in [zone for zone, holder in chosen.items() if holder == node]:
        stored = assignment_of(read, zone)
        is_claimed = stored is not None and not stored.is_settled
        is_claimed = is_claimed and stored.previous == node != stored.holder
        is_lost = register.number(zone) > (stored.number if stored else 0)
        if is_claimed or (is_lost and zone in leased):
            own = PartAssignment(zone, node, _next_number(zone, register, read), True, node)
            changed = with_assignment(changed, own)
    return changed


def claimed(node: str, zone: str, holder: str, register: PartRegister, read: PartList) -> PartList:
    """Returns the assignments with a claim of a node on the part of a zone.

    Args:
        node: name of the node.
        zone: zone of the part.
        holder: holder of the zone as the node knows it, which is down.
        register: assignments that the node knows.
        read: assignments in the store. The claim of another node is replaced.
    """
    number = _next_number(zone, register, read)
    match assignment_of(read, zone):
        case PartAssignment(is_settled=False, previous=previous):
            pass
        case PartAssignment(holder=previous):
            pass
        case None:
            previous = holder
    return with_assignment(read, PartAssignment(zone, node, number, False, previous))


def released(
    node: str, zone: str, follower: str, register: PartRegister, read: PartList, has_held: bool
) -> PartList:
    """Returns the assignments by which a node that grants no more leaves a part to another one.

    Args:
        node: name of the node.
        zone: zone of the part, which the node held or was assigned.
        follower: name of the next holder.
        register: assignments that the node knows.
        read: assignments in the store. They stay if another node may hold the part.
        has_held: whether the node has just ended a valid lease for the part. A restored store that
            names no holder may otherwise have lost an assignment to another node.
    """
    match assignment_of(read, zone):
        case None:
            last = node if has_held else None
        case PartAssignment(is_settled=True, holder=last) | PartAssignment(previous=last):
            pass
    if last != node:
        return read
    number = _next_number(zone, register, read)
    return with_assignment(read, PartAssignment(zone, follower, number, True, node))


def successors(
    zone: str, zones: Mapping[str, str], candidates: Iterable[str], chosen: Mapping[str, str]
) -> list[str]:
    """Returns the nodes that may take over the part of a zone, the preferred one first.

    They are nodes of the zone, or of other zones if none is left; then nodes that hold no part, if
    there are any.

    Args:
        zone: zone of the part.
        zones: zones of the known nodes by node name.
        candidates: nodes that are alive and do not stop.
        chosen: holders by zone.
    """
    found = list(candidates)
    local = [node for node in found if zones.get(node) == zone]
    if local:
        return hashing.rendezvous_order(RANKING_KEY, local)
    held = set(chosen.values())
    idle = [node for node in found if node not in held]
    return hashing.rendezvous_order(f"{RANKING_KEY}/{zone}", idle or found)


def claim_due(rank: int) -> float:
    """Returns how long a holder must have been down until a node claims its part, in seconds.

    Args:
        rank: position of the node among the successors, up to `MAX_CLAIM_RANK`. Those before it
            may not reach the store.
    """
    return CLAIM_DELAY_S + rank * CLAIM_STAGGER_S

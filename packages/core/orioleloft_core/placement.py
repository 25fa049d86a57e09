"""Choice of the holder of each group: balanced, with as few groups moved as possible."""

import collections
import dataclasses
from collections.abc import Collection, Mapping

from orioleloft_core import hashing

# A seat with more than this many times its share gives groups away. Moving a group costs it its
# grants for several seconds, so smaller differences are left alone.
IMBALANCE_LIMIT = 2

Holders = tuple[tuple[str, str, str], ...]


@dataclasses.dataclass(frozen=True)
class Holder:
    """The node that an assignment names for a group."""

    seat: str
    incarnation: str


def keep(
    holders: Mapping[str, Holder],
    groups: Collection[str],
    serving: Mapping[str, str],
    unheard: Collection[str],
    candidates: Collection[str],
) -> dict[str, Holder]:
    """Returns the present holders that stay; one in a closed zone does.

    Args:
        holders: present holder of each group.
        groups: groups of the catalog in force.
        serving: incarnations of the nodes that may hold groups, by seat.
        unheard: seats that have not been heard yet and are not suspected.
        candidates: seats that may get groups.
    """
    valid = {
        group: holder
        for group, holder in holders.items()
        if group in groups
        and (serving.get(holder.seat) == holder.incarnation or holder.seat in unheard)
    }
    share = _share(groups, candidates)
    counts = collections.Counter(holder.seat for holder in valid.values())
    excess = {
        seat: count - share for seat, count in counts.items() if count > IMBALANCE_LIMIT * share
    }
    for group in sorted(valid) if excess else ():
        seat = valid[group].seat
        if excess.get(seat, 0) > 0:
            excess[seat] -= 1
            del valid[group]
    return valid


def place(groups: set[str], kept: Mapping[str, Holder], candidates: Mapping[str, str]) -> Holders:
    """Gives each group without a holder to the first seat in its order that has room.

    Args:
        groups: all groups.
        kept: holders that stay.
        candidates: incarnations of the seats that may get groups, by seat.
    """
    share = _share(groups, candidates)
    counts = collections.Counter(holder.seat for holder in kept.values())
    placed = dict(kept)
    for group in sorted(groups - kept.keys()):
        order = hashing.order(group, candidates)
        seat = next((seat for seat in order if counts[seat] < share), order[0])
        counts[seat] += 1
        placed[group] = Holder(seat, candidates[seat])
    return tuple((group, item.seat, item.incarnation) for group, item in sorted(placed.items()))


def _share(groups: Collection[str], candidates: Collection[str]) -> int:
    return -(-len(groups) // max(1, len(candidates)))

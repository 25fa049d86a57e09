"""Keeping of roll-outs while what the store returns may date from an older copy; see `restore`.

The copy may lack orders and statuses, have those of earlier orders, and have orders that were
removed. Operators write their orders again within about two seconds, and the decider writes a
status again that it knows to be true. Until then a version that was rolled back stays shut.
"""

import collections
from collections.abc import Iterable

from orioleloft_core.registry import StateVersion
from orioleloft_core.rollouts import RolloutOrder, Rollouts, is_repeated

# Services whose removed orders are remembered; deployments have a few dozen services.
MAX_REMOVED_ORDERS = 256


def changed_services(old: Rollouts, new: Rollouts) -> frozenset[str]:
    """Returns the services whose order or status differs between two snapshots."""
    changed = set(old.orders) ^ set(new.orders)
    return frozenset(order.service for order in changed)


class RolloutMemory:
    """Services whose orders were removed, for reads of a restored store."""

    def __init__(self) -> None:
        self._removed: collections.OrderedDict[str, None] = collections.OrderedDict()

    def observe(self, old: Rollouts, new: Rollouts) -> None:
        """Remembers which orders a new snapshot in force removes."""
        services = {order.service for order in new.orders}
        for service in services:
            self._removed.pop(service, None)
        for order in old.orders:
            if order.service not in services:
                self._removed[order.service] = None
        while len(self._removed) > MAX_REMOVED_ORDERS:
            self._removed.popitem(last=False)

    def held(self, in_force: Rollouts, read: Rollouts, named: Iterable[str] = ()) -> Rollouts:
        """Returns the orders to follow while those read from the copy may be outdated.

        The orders in force stay as they are, with their states. Taken from the store are the orders
        that events of the new era name, those that were written again, and those of services for
        which no order was seen before.

        Args:
            in_force: the snapshot in force.
            read: the snapshot read from the restored store.
            named: services whose orders events of the new era have changed.
        """
        named = set(named)
        orders = {order.service: order for order in in_force.orders if order.service not in named}
        for order in read.orders:
            current = orders.get(order.service)
            if current is None:
                is_taken = order.service in named or order.service not in self._removed
            else:
                is_taken = _is_written_again(order, current)
            if is_taken:
                orders[order.service] = order
        return Rollouts(
            StateVersion(read.version.revision, 0),
            tuple(orders[name] for name in sorted(orders)),
            read.known,
        )


def _is_written_again(read: RolloutOrder, in_force: RolloutOrder) -> bool:
    """Whether an order was created again after the restore, rather than being in the copy.

    One that is decided already may be an earlier order of the copy with the same content.
    """
    return is_repeated(read, in_force) and read.key != in_force.key and not read.state.is_final

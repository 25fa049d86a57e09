"""Snapshots and deltas of the shared state, as nodes exchange them.

A delta from one version to the next takes a few hundred bytes. Snapshots for each change would make
up most of the traffic between nodes.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable
from typing import Any, ClassVar

from orioleloft_core.registry import ClosedZones, RegisteredTarget, StateVersion, TargetList
from orioleloft_core.rollouts import Rollouts
from orioleloft_core.routes import CallerLimits, Route, RoutedService, RouteTable, Tenant

# Versions that deltas can start from. Operators publish up to three versions a second, so 16 reach
# back five seconds; a node that was away for longer gets a snapshot.
HISTORY_LENGTH = 16


@dataclasses.dataclass(frozen=True)
class TableDelta:
    """Delta from one route table to a later one.

    Attributes:
        base_version: version that the delta applies to.
        version: version that results.
        limits: limits of the later table.
        routes: routes added or changed.
        removed_routes: host and path prefix of the routes removed.
        services: services added or changed.
        removed_services: names of the services removed.
        tenants: tenants added or changed.
        removed_tenants: names of the tenants removed.
    """

    base_version: int
    version: int
    limits: CallerLimits
    routes: tuple[Route, ...]
    removed_routes: tuple[tuple[str, str], ...]
    services: tuple[RoutedService, ...]
    removed_services: tuple[str, ...]
    tenants: tuple[Tenant, ...] = ()
    removed_tenants: tuple[str, ...] = ()

    optional_fields: ClassVar[tuple[str, ...]] = ("tenants", "removed_tenants")


@dataclasses.dataclass(frozen=True)
class TargetDelta:
    """Delta of the target list up to a version.

    It holds each target touched since the base version, even one that has returned to its earlier
    state. It therefore applies to the list of any version from the base on, which is needed because
    two nodes that watch the store reach different revisions with the same changes.

    Attributes:
        base_version: earliest version that the delta applies to.
        version: version that results.
        targets: targets touched, as they are at the resulting version.
        removed: ids of targets touched that no longer exist at the resulting version.
    """

    base_version: StateVersion
    version: StateVersion
    targets: tuple[RegisteredTarget, ...]
    removed: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class StateUpdate:
    """Update of the shared state for a node that is behind; None for each part that is current.

    Attributes:
        table: snapshot or delta of the route table.
        targets: snapshot or delta of the target list.
        closed_zones: the closed availability zones, always as a snapshot.
        rollouts: the orders to move services to versions, always as a snapshot.
    """

    table: RouteTable | TableDelta | None = None
    targets: TargetList | TargetDelta | None = None
    closed_zones: ClosedZones | None = None
    rollouts: Rollouts | None = None

    optional_fields: ClassVar[tuple[str, ...]] = ("rollouts",)

    @property
    def is_empty(self) -> bool:
        """Whether no part is behind."""
        return self == StateUpdate()

    @property
    def has_only_deltas(self) -> bool:
        """Whether route table and targets come as deltas, if at all, and may fit a datagram."""
        return not isinstance(self.table, RouteTable) and not isinstance(self.targets, TargetList)


def table_delta(old: RouteTable, new: RouteTable) -> TableDelta:
    """Computes the delta from one route table to a later one."""
    routes, removed_routes = _diff(old.routes, new.routes, _route_key)
    services, removed_services = _diff(old.services, new.services, _name)
    tenants, removed_tenants = _diff(old.tenants, new.tenants, _name)
    return TableDelta(
        old.version,
        new.version,
        new.limits,
        routes,
        removed_routes,
        services,
        removed_services,
        tenants,
        removed_tenants,
    )


def apply_table_delta(old: RouteTable, delta: TableDelta) -> RouteTable:
    """Returns the later table; `old` must have the base version of the delta."""
    routes = _merged(old.routes, delta.routes, delta.removed_routes, _route_key)
    services = _merged(old.services, delta.services, delta.removed_services, _name)
    tenants = _merged(old.tenants, delta.tenants, delta.removed_tenants, _name)
    return RouteTable(delta.version, routes, services, delta.limits, tenants)


def apply_target_delta(old: TargetList, delta: TargetDelta) -> TargetList:
    """Returns the later list; `old` must have the base version of the delta or a later one."""
    targets = _merged(old.targets, delta.targets, delta.removed, _target_key)
    return TargetList(delta.version, targets)


def _route_key(route: Route) -> tuple[str, str]:
    return route.host, route.path_prefix


def _name(item: RoutedService | Tenant) -> str:
    return item.name


def _target_key(target: RegisteredTarget) -> str:
    return target.id


def _diff(old: Iterable, new: Iterable, key: Callable[[Any], Any]) -> tuple[tuple, tuple]:
    """Returns the items added or changed, and the keys of the items removed."""
    before = {key(item): item for item in old}
    after = {key(item): item for item in new}
    changed = tuple(item for name, item in after.items() if before.get(name) != item)
    return changed, tuple(name for name in before if name not in after)


def _merged(old: Iterable, changed: Iterable, removed: Iterable, key: Callable) -> tuple:
    items = {key(item): item for item in old}
    items.update((key(item), item) for item in changed)
    for name in removed:
        items.pop(name, None)
    return tuple(items.values())


class TableHistory:
    """The last `HISTORY_LENGTH` route tables, from which deltas are computed."""

    def __init__(self) -> None:
        self._tables: collections.OrderedDict[int, RouteTable] = collections.OrderedDict()

    def add(self, table: RouteTable) -> None:
        """Adds the newest table and drops the oldest beyond the limit."""
        self._tables[table.version] = table
        while len(self._tables) > HISTORY_LENGTH:
            self._tables.popitem(last=False)

    def update_since(self, version: int, newest: RouteTable) -> RouteTable | TableDelta:
        """Returns the delta from a version to the newest table.

        If the version is no longer in the history, returns the newest table itself.
        """
        old = self._tables.get(version)
        return newest if old is None else table_delta(old, newest)


@dataclasses.dataclass(frozen=True)
class _TargetListChange:
    version: StateVersion
    changed_ids: frozenset[str]


class TargetHistory:
    """Ids of the targets touched by each of the last changes of the target list."""

    def __init__(self) -> None:
        self._base = StateVersion()
        self._changes: collections.deque[_TargetListChange] = collections.deque()

    def reset(self, version: StateVersion) -> None:
        """Clears the history after a snapshot; deltas can start at its version or later."""
        self._base = version
        self._changes.clear()

    def add(self, version: StateVersion, changed_ids: Iterable[str]) -> None:
        """Adds the newest version with the ids of the targets that it touched."""
        self._changes.append(_TargetListChange(version, frozenset(changed_ids)))
        while len(self._changes) > HISTORY_LENGTH:
            self._base = self._changes.popleft().version

    def update_since(self, version: StateVersion, newest: TargetList) -> TargetList | TargetDelta:
        """Returns the delta from a version to the newest list.

        Returns the newest list itself if the history does not reach back to the version, or if
        removals are deferred (`is_settled` 0) in one of the versions.
        """
        # Lists with deferred removals may differ between nodes at the same version.
        if not self._base.is_settled or not version.is_settled or version < self._base:
            return newest
        changed_id_sets = [
            change.changed_ids for change in self._changes if change.version > version
        ]
        changed_ids = frozenset().union(*changed_id_sets)
        targets = tuple(target for target in newest.targets if target.id in changed_ids)
        removed = changed_ids - {target.id for target in targets}
        return TargetDelta(version, newest.version, targets, tuple(sorted(removed)))

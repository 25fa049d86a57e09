"""What nodes tell each other of the shared state: whole parts, or what has changed since a version.

A node that is one version behind needs a few hundred bytes. Whole lists for each change would take
most of the traffic between nodes.
"""

import collections
import dataclasses
from collections.abc import Callable, Hashable, Iterable
from typing import Any

from orioleloft_core.registry import ClosedZones, ContentVersion, RegisteredTarget, TargetList
from orioleloft_core.routes import CallerLimits, Route, RoutedService, RouteTable

# Versions that are kept to work out changes from. Operators publish up to three a second, so these
# reach back five seconds; a node that was away for longer fetches the whole part.
KEPT_VERSIONS = 16


@dataclasses.dataclass(frozen=True)
class TableDelta:
    """Changes from one route table to a later one.

    Attributes:
        base: version that the changes apply to.
        version: version that results.
        limits: limits of the later table.
        routes: routes that are new or different.
        removed_routes: host and prefix of routes that are gone.
        services: services that are new or different.
        removed_services: names of services that are gone.
    """

    base: int
    version: int
    limits: CallerLimits
    routes: tuple[Route, ...]
    removed_routes: tuple[tuple[str, str], ...]
    services: tuple[RoutedService, ...]
    removed_services: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class TargetDelta:
    """Changes from one list of registered targets to a later one.

    Attributes:
        base: version that the changes apply to.
        version: version that results.
        targets: targets that are new or different.
        removed: ids of targets that are gone.
    """

    base: ContentVersion
    version: ContentVersion
    targets: tuple[RegisteredTarget, ...]
    removed: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class StateUpdate:
    """Parts of the shared state that a node lacks; None where it lacks nothing.

    Attributes:
        table: route table, whole or as changes.
        targets: registered targets, whole or as changes.
        closed_zones: availability zones that are out.
    """

    table: RouteTable | TableDelta | None = None
    targets: TargetList | TargetDelta | None = None
    closed_zones: ClosedZones | None = None

    @property
    def is_empty(self) -> bool:
        """Whether nothing is lacking."""
        return self == StateUpdate()

    @property
    def is_small(self) -> bool:
        """Whether it holds changes only, which may fit a datagram."""
        return not isinstance(self.table, RouteTable) and not isinstance(self.targets, TargetList)


def table_delta(old: RouteTable, new: RouteTable) -> TableDelta:
    """Returns the changes from one route table to a later one."""
    routes, removed_routes = _changes(old.routes, new.routes, _route_key)
    services, removed_services = _changes(old.services, new.services, _service_key)
    return TableDelta(
        old.version, new.version, new.limits, routes, removed_routes, services, removed_services
    )


def apply_table_delta(old: RouteTable, delta: TableDelta) -> RouteTable:
    """Returns the later table; `old` must be of the delta's base version."""
    routes = _applied(old.routes, delta.routes, delta.removed_routes, _route_key)
    services = _applied(old.services, delta.services, delta.removed_services, _service_key)
    return RouteTable(delta.version, routes, services, delta.limits)


def target_delta(old: TargetList, new: TargetList) -> TargetDelta:
    """Returns the changes from one list of targets to a later one."""
    targets, removed = _changes(old.targets, new.targets, _target_key)
    return TargetDelta(old.version, new.version, targets, removed)


def apply_target_delta(old: TargetList, delta: TargetDelta) -> TargetList:
    """Returns the later list; `old` must be of the delta's base version."""
    targets = _applied(old.targets, delta.targets, delta.removed, _target_key)
    return TargetList(delta.version, targets)


def _route_key(route: Route) -> tuple[str, str]:
    return route.host, route.path_prefix


def _service_key(service: RoutedService) -> str:
    return service.name


def _target_key(target: RegisteredTarget) -> str:
    return target.id


def _changes(old: Iterable, new: Iterable, key: Callable[[Any], Any]) -> tuple[tuple, tuple]:
    """Returns the items that are new or different, and the keys of those that are gone."""
    before = {key(item): item for item in old}
    after = {key(item): item for item in new}
    changed = tuple(item for name, item in after.items() if before.get(name) != item)
    return changed, tuple(name for name in before if name not in after)


def _applied(old: Iterable, changed: Iterable, removed: Iterable, key: Callable) -> tuple:
    items = {key(item): item for item in old}
    items.update((key(item), item) for item in changed)
    for name in removed:
        items.pop(name, None)
    return tuple(items.values())


class Versions:
    """The last versions of one part of the shared state.

    Args:
        difference: returns the changes between two versions.
    """

    def __init__(self, difference: Callable[[Any, Any], Any]) -> None:
        self._difference = difference
        self._kept: collections.OrderedDict[Hashable, Any] = collections.OrderedDict()
        self._deltas: dict[Hashable, Any] = {}

    def add(self, version: Hashable, part: Any) -> None:
        """Keeps a version, which is the newest one."""
        self._kept[version] = part
        self._deltas.clear()
        while len(self._kept) > KEPT_VERSIONS:
            self._kept.popitem(last=False)

    def since(self, version: Hashable, newest: Any) -> Any:
        """Returns the changes from a version to the newest one, or the latter if it is not kept."""
        old = self._kept.get(version)
        if old is None:
            return newest
        if version not in self._deltas:
            self._deltas[version] = self._difference(old, newest)
        return self._deltas[version]

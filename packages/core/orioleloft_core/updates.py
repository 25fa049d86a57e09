"""What nodes tell each other of the shared state: whole parts, or what has changed since a version.

A node that is one version behind needs a few hundred bytes. Whole lists for each change would take
most of the traffic between nodes.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable
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
    """Changes of the registered targets up to a version.

    They name each target that was touched since the base, also one that is as it was then. So they
    apply to the list of any version from the base on: two nodes that watch the store reach
    different revisions with the same changes.

    Attributes:
        base: earliest version that the changes apply to.
        version: version that results.
        targets: targets touched, as they are at that version.
        removed: ids of targets touched that are gone at that version.
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


def apply_target_delta(old: TargetList, delta: TargetDelta) -> TargetList:
    """Returns the later list; `old` must be of the delta's base version or a later one."""
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


class TableHistory:
    """The last route tables."""

    def __init__(self) -> None:
        self._kept: collections.OrderedDict[int, RouteTable] = collections.OrderedDict()

    def add(self, table: RouteTable) -> None:
        """Keeps a table, which is the newest one."""
        self._kept[table.version] = table
        while len(self._kept) > KEPT_VERSIONS:
            self._kept.popitem(last=False)

    def since(self, version: int, newest: RouteTable) -> RouteTable | TableDelta:
        """Returns the changes from a version to the newest table, or the latter as a whole."""
        old = self._kept.get(version)
        return newest if old is None else table_delta(old, newest)


@dataclasses.dataclass(frozen=True)
class _Step:
    version: ContentVersion
    touched: frozenset[str]


class TargetHistory:
    """Which targets the last changes have touched."""

    def __init__(self) -> None:
        self._base = ContentVersion()
        self._steps: collections.deque[_Step] = collections.deque()

    def restart(self, version: ContentVersion) -> None:
        """Begins with a list that was taken as a whole; what led to it is not known."""
        self._base = version
        self._steps.clear()

    def add(self, version: ContentVersion, touched: Iterable[str]) -> None:
        """Keeps the ids of the targets that were touched up to a version, the newest one."""
        self._steps.append(_Step(version, frozenset(touched)))
        while len(self._steps) > KEPT_VERSIONS:
            self._base = self._steps.popleft().version

    def since(self, version: ContentVersion, newest: TargetList) -> TargetList | TargetDelta:
        """Returns the changes from a version to the newest list, or the latter as a whole."""
        # Lists with removals held back differ between nodes at the same version.
        if not self._base.is_settled or not version.is_settled or version < self._base:
            return newest
        steps = [step.touched for step in self._steps if step.version > version]
        touched = frozenset().union(*steps)
        targets = tuple(target for target in newest.targets if target.id in touched)
        removed = touched - {target.id for target in targets}
        return TargetDelta(version, newest.version, targets, tuple(sorted(removed)))

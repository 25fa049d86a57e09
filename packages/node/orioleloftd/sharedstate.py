"""Route table, registered targets, closed zones and roll-outs in force on this node.

Updates come from the store, if this node is a watcher, and from other nodes. Versions are
monotonic: an older one never replaces a newer one, in whatever order updates arrive. After a
restore of the store, `orioleloft_core.restore` keeps what the older copy would revert.
"""

import dataclasses
import enum
import logging
from collections.abc import Callable, Iterable

from orioleloft_core import restore, updates
from orioleloft_core.configurationage import ConfigurationAge
from orioleloft_core.messages import StateVersions
from orioleloft_core.registry import (
    ClosedZones,
    StateVersion,
    StoreRevision,
    TargetList,
    TargetRegistry,
    defer_removals,
)
from orioleloft_core.restore import TargetMemory, ZoneMemory
from orioleloft_core.rolloutrestore import RolloutMemory
from orioleloft_core.rollouts import Rollouts, ServiceVersions
from orioleloft_core.routes import RouteTable
from orioleloft_core.updates import (
    StateUpdate,
    TableDelta,
    TableHistory,
    TargetDelta,
    TargetHistory,
)
from orioleloftd.logs import log_event
from orioleloftd.storesync import TargetChanges

# Sources of updates from the store, as written in the log.
STORE = "store"
WATCH_SOURCE = "watch"

_log = logging.getLogger(__name__)


class ChangeOrigin(enum.Enum):
    """Source of a change of the shared state; decides how the change is disseminated."""

    STORE = "the store"
    INITIAL_READ = "the store, read once at the start"
    PEER_DELTA = "changes from another node"
    PEER_SNAPSHOT = "a whole part from another node"


class SharedState:
    """The parts of the shared state in force, with the histories from which deltas are computed.

    Args:
        on_change: called after each change with its origin.
        on_rollouts: called with each newer snapshot of the roll-outs.
        known_versions: returns the versions of services that need no order.
        age: tracks how late route tables come into force; None tracks nothing.
    """

    def __init__(
        self,
        on_change: Callable[[ChangeOrigin], None],
        on_rollouts: Callable[[Rollouts], None] = lambda rollouts: None,
        known_versions: Callable[[], tuple[ServiceVersions, ...]] = tuple,
        age: ConfigurationAge | None = None,
    ) -> None:
        self._age = age
        self._on_change = on_change
        self._on_rollouts = on_rollouts
        self._known_versions = known_versions
        self._rollouts = Rollouts(StateVersion(), ())
        self._table: RouteTable | None = None
        self._registry = TargetRegistry()
        self._table_history = TableHistory()
        self._target_history = TargetHistory()
        self._target_memory = TargetMemory()
        self._zone_memory = ZoneMemory()
        self._rollout_memory = RolloutMemory()

    @property
    def table(self) -> RouteTable | None:
        """The route table in force, or None before the first one."""
        return self._table

    @property
    def registry(self) -> TargetRegistry:
        """The registered targets and closed zones in force."""
        return self._registry

    @property
    def is_complete(self) -> bool:
        """Whether a route table and a target list are loaded, as needed to serve callers."""
        return self._table is not None and self._registry.is_loaded

    @property
    def state_versions(self) -> StateVersions:
        """The versions in force."""
        return StateVersions(
            self._table.version if self._table else 0,
            self._registry.target_list.version,
            self._registry.closed_zones.version,
            self._rollouts.version,
        )

    @property
    def era(self) -> int:
        """Highest era of the store that this node has seen in a part of the state."""
        versions = self.state_versions
        return max(versions.targets.era, versions.closed_zones.era, versions.rollouts.era)

    # Results from the store; see `storesync.StoreListener`.

    def on_table(self, table: RouteTable) -> None:
        """Replaces the route table if the given one is newer."""
        if self._replace_table(table, STORE):
            self._on_change(ChangeOrigin.STORE)

    def on_targets(self, targets: TargetList) -> None:
        """Replaces the target list if the given complete one is newer."""
        if self._replace_targets(self._target_memory.corrected(targets), STORE):
            self._on_change(ChangeOrigin.STORE)

    def on_target_changes(self, changes: TargetChanges) -> None:
        """Applies target changes that this node's watch has delivered."""
        old = self._registry.target_list
        changed_ids = [target.id for target in changes.changed]
        era = StoreRevision.from_number(changes.revision).era
        self._target_memory.note_events(era, changed_ids, changes.removed)
        if not self._registry.apply_watch_changes(
            changes.revision, changes.changed, changes.removed
        ):
            return
        self._target_memory.observe(old, self._registry.target_list)
        self._record_changes(changed_ids, changes.removed, WATCH_SOURCE)
        self._on_change(ChangeOrigin.STORE)

    def on_incomplete_targets(self, targets: TargetList) -> None:
        """Applies a list that may lack running targets or be outdated; removes none of them."""
        in_force = self._registry.target_list
        if not targets.version.era:
            self.on_targets(defer_removals(in_force, targets))
            return
        corrected = self._target_memory.corrected(targets)
        if self._replace_targets(restore.merge_targets(in_force, corrected), STORE):
            self._on_change(ChangeOrigin.STORE)

    def on_closed_zones(self, closed: ClosedZones) -> None:
        """Replaces the closed availability zones if the given ones are newer."""
        if self._replace_closed_zones(closed, STORE):
            self._on_change(ChangeOrigin.STORE)

    def on_outdated_closed_zones(self, closed: ClosedZones, named: frozenset[str]) -> None:
        """Keeps the closed zones in force and takes only what the copy cannot revert.

        Args:
            closed: the zones read from the restored store.
            named: zones that events of the new era have closed or opened.
        """
        held = self._zone_memory.held(self._registry.closed_zones, closed, named)
        if self._replace_closed_zones(held, STORE):
            self._on_change(ChangeOrigin.STORE)

    def on_rollouts(self, rollouts: Rollouts) -> None:
        """Replaces the roll-outs if the given ones are newer."""
        if self._replace_rollouts(rollouts, STORE):
            self._on_change(ChangeOrigin.STORE)

    def on_outdated_rollouts(self, rollouts: Rollouts, named: frozenset[str]) -> None:
        """Keeps the roll-outs in force and takes only what the copy cannot revert.

        Args:
            rollouts: the orders read from the restored store.
            named: services whose orders events of the new era have changed.
        """
        if self._replace_rollouts(
            self._rollout_memory.held(self._rollouts, rollouts, named), STORE
        ):
            self._on_change(ChangeOrigin.STORE)

    # Updates from other nodes, and the initial read.

    def apply_initial(self, update: StateUpdate) -> None:
        """Applies the result of the initial read, which is not disseminated."""
        targets, closed, rollouts = update.targets, update.closed_zones, update.rollouts
        if targets is not None:
            targets = dataclasses.replace(targets, version=restore.lowest_version(targets.version))
        if closed is not None:
            closed = dataclasses.replace(closed, version=restore.lowest_version(closed.version))
        if rollouts is not None:
            version = restore.lowest_version(rollouts.version)
            rollouts = dataclasses.replace(rollouts, version=version)
        update = dataclasses.replace(
            update, targets=targets, closed_zones=closed, rollouts=rollouts
        )
        if self._apply_parts(update, STORE):
            self._on_change(ChangeOrigin.INITIAL_READ)

    def apply(self, update: StateUpdate, source: str) -> None:
        """Applies the newer parts of an update; deltas against other versions are ignored.

        Args:
            update: snapshots or deltas from another node.
            source: IP address of that node, for the log.
        """
        if self._apply_parts(update, source):
            self._on_change(
                ChangeOrigin.PEER_DELTA if update.has_only_deltas else ChangeOrigin.PEER_SNAPSHOT
            )

    def _apply_parts(self, update: StateUpdate, source: str) -> bool:
        before = self.state_versions
        if update.rollouts is not None:
            self._replace_rollouts(self._merged_rollouts(update.rollouts), source)
        match update.table:
            case RouteTable() as table:
                self._replace_table(table, source)
            case TableDelta(base_version=base_version) as delta if (
                self._table and base_version == self._table.version
            ):
                self._replace_table(updates.apply_table_delta(self._table, delta), source)
        match update.targets:
            case TargetList() as targets:
                self._replace_targets(self._merged_targets(targets), source)
            case TargetDelta(base_version=base_version) as delta if base_version <= before.targets:
                self._apply_target_delta(delta, source)
        if update.closed_zones is not None:
            self._replace_closed_zones(self._merged_zones(update.closed_zones), source)
        return self.state_versions != before

    def _merged_targets(self, new: TargetList) -> TargetList:
        """Returns another node's list, merged with what this node knows if the other knew less."""
        in_force = self._registry.target_list
        if not restore.is_lowest_version(new.version):
            return new
        return restore.merge_targets(in_force, self._target_memory.corrected(new))

    def _merged_zones(self, new: ClosedZones) -> ClosedZones:
        """Returns another node's closed zones, merged as `_merged_targets` merges targets."""
        if not restore.is_lowest_version(new.version):
            return new
        return self._zone_memory.held(self._registry.closed_zones, new)

    def _merged_rollouts(self, new: Rollouts) -> Rollouts:
        """Returns another node's roll-outs, merged as `_merged_targets` merges targets."""
        if not restore.is_lowest_version(new.version):
            return new
        return self._rollout_memory.held(self._rollouts, new)

    def update_since(self, known: StateVersions) -> StateUpdate:
        """Returns the update, in deltas where possible, for a node with the given versions."""
        table, targets, closed = None, None, None
        if self._table is not None and self._table.version > known.table:
            table = self._table_history.update_since(known.table, self._table)
        newest = self._registry.target_list
        if newest.version > known.targets:
            targets = self._target_history.update_since(known.targets, newest)
        if self._registry.closed_zones.version > known.closed_zones:
            closed = self._registry.closed_zones
        rollouts = None
        if self._rollouts.version > known.rollouts:
            rollouts = dataclasses.replace(self._rollouts, known=self._known_versions())
        return StateUpdate(table, targets, closed, rollouts)

    # Replacement of single parts.

    def _replace_table(self, table: RouteTable, source: str) -> bool:
        if self._table is not None and table.version <= self._table.version:
            return False
        self._table = table
        self._table_history.add(table)
        log_event(
            _log,
            "table in force",
            version=table.version,
            source=source,
            **self._delay_fields(table.version),
        )
        return True

    def _delay_fields(self, version: int) -> dict[str, int | None]:
        """Returns the log fields that say how late a version of the table comes into force."""
        if self._age is None:
            return {}
        delay = self._age.replace(version)
        unconfirmed = None if delay.unconfirmed is None else round(delay.unconfirmed * 1000)
        return {"unconfirmed_ms": unconfirmed, "known_ms": round(delay.known * 1000)}

    def _replace_targets(self, targets: TargetList, source: str) -> bool:
        old = self._registry.target_list
        if not self._registry.replace_targets(targets):
            return False
        self._target_memory.observe(old, targets)
        self._log_restore(old.version, targets.version, source)
        self._target_history.reset(targets.version)
        self._log_targets(source)
        return True

    def _apply_target_delta(self, delta: TargetDelta, source: str) -> None:
        current = self._registry.target_list
        # The sender of the delta does not know which removals are deferred here.
        if not current.version.is_settled:
            return
        if self._registry.replace_targets(updates.apply_target_delta(current, delta)):
            self._target_memory.observe(current, self._registry.target_list)
            self._record_changes([target.id for target in delta.targets], delta.removed, source)

    def _record_changes(self, changed: Iterable[str], removed: Iterable[str], source: str) -> None:
        self._target_history.add(self._registry.target_list.version, [*changed, *removed])
        self._log_targets(source)

    def _log_targets(self, source: str) -> None:
        targets = self._registry.target_list
        log_event(
            _log,
            "targets in force",
            revision=targets.version.revision,
            settled=targets.version.is_settled,
            count=len(targets.targets),
            draining=[target.id for target in targets.targets if target.is_draining],
            source=source,
        )

    def _log_restore(self, old: StateVersion, new: StateVersion, source: str) -> None:
        if old.revision and new.era > old.era:
            log_event(_log, "store restored", old=old.era, new=new.era, source=source)

    def _replace_closed_zones(self, closed: ClosedZones, source: str) -> bool:
        before = self._registry.closed_zones
        if not self._registry.replace_closed_zones(closed):
            return False
        self._zone_memory.observe(before, closed)
        if closed.zones != before.zones:
            log_event(_log, "closed zones in force", zones=closed.zones, source=source)
        return True

    def _replace_rollouts(self, rollouts: Rollouts, source: str) -> bool:
        if rollouts.version <= self._rollouts.version:
            return False
        before, self._rollouts = self._rollouts, rollouts
        self._rollout_memory.observe(before, rollouts)
        self._on_rollouts(rollouts)
        if rollouts.orders != before.orders:
            orders = {
                order.service: f"{order.target_version} {order.state.name.lower()}"
                for order in rollouts.orders
            }
            log_event(_log, "rollouts in force", orders=orders, source=source)
        return True

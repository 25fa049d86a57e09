"""Merging of what the store returns after it was restored from an older copy.

The copy lacks the last seconds: targets that were removed are back, some that run are missing, and
some that drain appear to be ready. Targets and operators write their own data again within about
two seconds. Until then nothing that a node knows better is given up.
"""

import collections
import dataclasses
from collections.abc import Iterable

from orioleloft_core.registry import (
    ClosedZones,
    RegisteredTarget,
    StateVersion,
    StoreRevision,
    TargetList,
    defer_removals,
)

# Removed targets that are remembered. The copy is some seconds old, and a fleet of a few hundred
# targets that is replaced at once removes fewer in that time.
MAX_REMOVED_TARGETS = 1024
# Reopened availability zones that are remembered; deployments have a handful of zones.
MAX_REOPENED_ZONES = 64


def has_to_hold(in_force: StateVersion, read: StateVersion) -> bool:
    """Whether a part that was just read must not yet replace the one in force as it is.

    That is so if the store has been restored since the part in force was read, or if the writers'
    time to write again is still running, as the deferred removals of the part in force show.
    Without an era it never is.
    """
    return read.era > 0 and (
        in_force.era < read.era or (in_force.era == read.era and not in_force.is_settled)
    )


def lowest_version(version: StateVersion) -> StateVersion:
    """Returns the version for a part read by a node that may have missed what was lost.

    Such a node has just started, or was cut off before the restore. Within the era its part never
    outranks that of a node which has merged it with what was in force. Without an era the version
    stays.
    """
    if not version.era:
        return version
    return StateVersion(StoreRevision(version.era, 0).number, 0)


def is_lowest_version(version: StateVersion) -> bool:
    """Whether a version is one that `lowest_version` has lowered."""
    return version.era > 0 and version == lowest_version(version)


class RestoreHold:
    """Decides from when on a part of the state that was read may be taken as it is.

    Args:
        duration: time that writers need to write their data again, in seconds.
    """

    def __init__(self, duration: float) -> None:
        self._duration = duration
        self._era = 0
        self._until: float | None = None

    @property
    def is_active(self) -> bool:
        """Whether a complete read is still to come."""
        return self._until is not None

    def is_due(self, now: float) -> bool:
        """Whether the time is over and the complete read has to be made."""
        return self._until is not None and now >= self._until

    def limit(self, now: float, wait: float) -> float:
        """Returns the timeout for a watch that must end when the complete read is due."""
        return wait if self._until is None else max(0.1, min(wait, self._until - now))

    def begin(self, now: float) -> None:
        """Starts the time, or starts it again."""
        self._until = now + self._duration

    def is_complete(self, now: float, in_force: StateVersion, read: StateVersion) -> bool:
        """Whether a part that was read may replace the one in force as it is.

        Args:
            now: seconds on the node's clock.
            in_force: version of the part in force.
            read: version of the part that was read.
        """
        is_new_hold = self._until is None or self._era != read.era
        if is_new_hold and has_to_hold(in_force, read):
            self.begin(now)
        self._era = read.era
        if self._until is not None and now < self._until:
            return False
        self._until = None
        return True

    def confirm(self, now: float, in_force: StateVersion) -> None:
        """Starts the time again if the part in force is unsettled although a complete one was read.

        Another node may have delivered a newer unsettled part and may be gone before it settles it.
        """
        if self._until is None and in_force.era and not in_force.is_settled:
            self.begin(now)


@dataclasses.dataclass(frozen=True)
class _Observation:
    """State of one process of a target, with the era in which it was seen first."""

    started_ms: int
    era: int


class TargetMemory:
    """Removed and draining targets that this node knows of, for reads of a restored store."""

    def __init__(self) -> None:
        self._removed: collections.OrderedDict[str, _Observation] = collections.OrderedDict()
        # Bounded by the list in force, as targets that leave it are dropped.
        self._draining: dict[str, _Observation] = {}

    @property
    def removed_count(self) -> int:
        """Number of removed targets that are remembered."""
        return len(self._removed)

    def note_events(self, era: int, changed: Iterable[str], removed: Iterable[str]) -> None:
        """Drops what was known before of targets that events of the current era name.

        Args:
            era: the era.
            changed: ids of targets that were registered or changed.
            removed: ids of targets that were removed. What the next copy has of them is outdated.
        """
        for target_id in changed:
            self._removed.pop(target_id, None)
            self._draining.pop(target_id, None)
        for target_id in removed:
            if target_id in self._removed:
                known = self._removed[target_id]
                self._removed[target_id] = dataclasses.replace(known, era=era)

    def observe(self, old: TargetList, new: TargetList) -> None:
        """Remembers which targets a new list in force removes or shows as draining."""
        # What an unsettled list shows may date from before the restore.
        era = new.version.era - (not new.version.is_settled)
        new_ids = set()
        draining = {}
        for target in new.targets:
            new_ids.add(target.id)
            self._removed.pop(target.id, None)
            if target.is_draining:
                known = self._draining.get(target.id)
                is_known = known is not None and known.started_ms == target.started_ms
                draining[target.id] = known if is_known else _Observation(target.started_ms, era)
        self._draining = draining
        for target in old.targets:
            if target.id not in new_ids:
                self._removed[target.id] = _Observation(target.started_ms, new.version.era)
        while len(self._removed) > MAX_REMOVED_TARGETS:
            self._removed.popitem(last=False)

    def corrected(self, read: TargetList) -> TargetList:
        """Returns a list that was read without what the copy reverts.

        A process that was removed in an earlier era is left out, and one that drained in an
        earlier era still drains, until an event names it. A later process of a target is taken as
        it is.
        """
        era = read.version.era
        if not era:
            return read
        targets = tuple(
            (
                dataclasses.replace(target, is_draining=True)
                if _is_reverted(self._draining.get(target.id), target, era)
                else target
            )
            for target in read.targets
            if not _is_reverted(self._removed.get(target.id), target, era)
        )
        return TargetList(read.version, targets)


def _is_reverted(known: _Observation | None, target: RegisteredTarget, era: int) -> bool:
    return known is not None and known.era < era and target.started_ms <= known.started_ms


def merge_targets(in_force: TargetList, read: TargetList) -> TargetList:
    """Returns the list read after a restore with the removals deferred.

    A process that is older than the one in force is a registration of the copy and is not used.
    """
    known = {target.id: target for target in in_force.targets}
    targets = tuple(
        (
            known[target.id]
            if target.id in known and target.started_ms < known[target.id].started_ms
            else target
        )
        for target in read.targets
    )
    return defer_removals(in_force, TargetList(read.version, targets))


class ZoneMemory:
    """Availability zones that were closed and are open again, for reads of a restored store."""

    def __init__(self) -> None:
        self._reopened: collections.OrderedDict[str, None] = collections.OrderedDict()

    def observe(self, old: ClosedZones, new: ClosedZones) -> None:
        """Remembers which zones a new snapshot in force opens again."""
        for zone in new.zones:
            self._reopened.pop(zone, None)
        for zone in old.zones:
            if zone not in new.zones:
                self._reopened[zone] = None
        while len(self._reopened) > MAX_REOPENED_ZONES:
            self._reopened.popitem(last=False)

    def held(
        self, in_force: ClosedZones, read: ClosedZones, named: Iterable[str] = ()
    ) -> ClosedZones:
        """Returns the zones to close while those read from the copy may be outdated.

        The zones in force stay as they are. A zone that is closed in the store and was never seen
        closed, or that an event of the new era names, is taken from the store.

        Args:
            in_force: the snapshot in force.
            read: the snapshot read from the restored store.
            named: zones that events of the new era have closed or opened.
        """
        named = set(named)
        kept = {zone for zone in in_force.zones if zone not in named}
        added = {zone for zone in read.zones if zone in named or zone not in self._reopened}
        return ClosedZones(StateVersion(read.version.revision, 0), tuple(sorted(kept | added)))

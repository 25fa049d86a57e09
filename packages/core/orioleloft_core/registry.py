"""Registered targets and closed availability zones, with the versions that order their updates."""

import dataclasses
from collections.abc import Iterable
from typing import ClassVar

# Bits of a packed number that hold the revision. With the greatest era, 2**18, the number stays
# below 2**63, the limit of msgpack and of the log's readers.
REVISION_BITS = 44
MAX_REVISION = 2**REVISION_BITS - 1
MAX_ERA = 2**18


@dataclasses.dataclass(frozen=True, order=True)
class StoreRevision:
    """Revision of the store together with the era in which the store issued it.

    Attributes:
        era: number of the store's era, which rises each time the store is restored from an older
            copy; 0 if the store states none.
        revision: revision within the era; a restored store issues the lost ones again.
    """

    era: int
    revision: int

    @property
    def number(self) -> int:
        """Both values packed into one integer, which orders like the pair."""
        return (self.era << REVISION_BITS) + self.revision

    @classmethod
    def from_number(cls, number: int) -> "StoreRevision":
        """Unpacks what `number` returned."""
        return cls(number >> REVISION_BITS, number & MAX_REVISION)


@dataclasses.dataclass(frozen=True)
class RegisteredTarget:
    """Registration of one target.

    Attributes:
        id: identifier of the target at its address; a restarted process can have the same one.
        service: name of its service.
        host: IP address.
        port: TCP port.
        zone: availability zone.
        slots: requests that the target runs concurrently.
        is_draining: whether the target finishes its requests and accepts no new ones.
        started_ms: start of its process, in Unix milliseconds; it tells restarts apart.
        version: version of its software, empty in deployments without roll-outs.
    """

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_draining: bool
    started_ms: int
    version: str = ""

    optional_fields: ClassVar[tuple[str, ...]] = ("version",)


@dataclasses.dataclass(frozen=True, order=True)
class StateVersion:
    """Version of one part of the state that nodes share; versions compare, and greater is newer.

    Attributes:
        revision: revision of the store, packed with its era; see `StoreRevision.number`.
        is_settled: 0 while removals seen after an outage or a restore of the store are deferred,
            else 1. A list with all removals is thus newer than one of the same revision without
            them.
    """

    revision: int = 0
    is_settled: int = 0

    @property
    def era(self) -> int:
        """Era of the store in which the revision was issued."""
        return StoreRevision.from_number(self.revision).era


@dataclasses.dataclass(frozen=True)
class TargetList:
    """Snapshot of all registered targets at one version."""

    version: StateVersion
    targets: tuple[RegisteredTarget, ...]


@dataclasses.dataclass(frozen=True)
class ClosedZones:
    """Snapshot of the availability zones that operators have closed, at one version."""

    version: StateVersion
    zones: tuple[str, ...]


class TargetRegistry:
    """The newest snapshots of targets and closed zones that this node has, indexed for lookups."""

    def __init__(self) -> None:
        self._target_list = TargetList(StateVersion(), ())
        self._closed_zones = ClosedZones(StateVersion(), ())
        self._by_id: dict[str, RegisteredTarget] = {}
        self._by_service: dict[str, list[RegisteredTarget]] = {}

    @property
    def target_list(self) -> TargetList:
        """All registered targets with their version; empty at revision 0 at first."""
        return self._target_list

    @property
    def closed_zones(self) -> ClosedZones:
        """The closed availability zones with their version."""
        return self._closed_zones

    @property
    def is_loaded(self) -> bool:
        """Whether any targets have been received; until then the registry is empty."""
        return self._target_list.version.revision > 0

    def get(self, target_id: str) -> RegisteredTarget | None:
        """Returns the current registration of a target, or None if it is not registered."""
        return self._by_id.get(target_id)

    def replace_targets(self, new: TargetList) -> bool:
        """Replaces all targets if the snapshot is newer, and returns whether it was."""
        if new.version <= self._target_list.version:
            return False
        self._target_list = new
        self._by_id = {target.id: target for target in new.targets}
        self._by_service = {}
        for target in new.targets:
            self._by_service.setdefault(target.service, []).append(target)
        return True

    def apply_watch_changes(
        self, revision: int, changed: Iterable[RegisteredTarget], removed: Iterable[str]
    ) -> bool:
        """Applies the changes that this node's watch of the store reported up to a revision.

        The watch must not have missed events. The changes may begin after the current version, as
        the revision of a watch also advances while no target changes.

        Args:
            revision: packed revision of the store that the changes lead to.
            changed: targets that were registered or changed.
            removed: ids of targets that were removed.

        Returns:
            False if the current revision is the same or newer; nothing was applied then.
        """
        if revision <= self._target_list.version.revision:
            return False
        targets = dict(self._by_id)
        targets.update((target.id, target) for target in changed)
        for target_id in removed:
            targets.pop(target_id, None)
        version = StateVersion(revision, self._target_list.version.is_settled)
        return self.replace_targets(TargetList(version, tuple(targets.values())))

    def replace_closed_zones(self, new: ClosedZones) -> bool:
        """Replaces the closed zones if the snapshot is newer, and returns whether it was."""
        if new.version <= self._closed_zones.version:
            return False
        self._closed_zones = new
        return True

    def is_eligible(self, target: RegisteredTarget) -> bool:
        """Whether a target that was looked up earlier may still receive new requests.

        It may not if it was removed, drains, has restarted since, or if its zone is closed.
        """
        current = self._by_id.get(target.id)
        if current is None or current.is_draining:
            return False
        return (
            current.zone not in self._closed_zones.zones and current.started_ms == target.started_ms
        )

    def count(self, service: str) -> int:
        """Returns the number of registered targets of a service, draining ones included."""
        return len(self._by_service.get(service, ()))

    @property
    def services(self) -> list[str]:
        """Names of the services with at least one registered target."""
        return list(self._by_service)

    def eligible_targets(self, service: str) -> list[RegisteredTarget]:
        """Returns the targets of a service that neither drain nor are in a closed zone."""
        return [
            target
            for target in self._by_service.get(service, ())
            if not target.is_draining and target.zone not in self._closed_zones.zones
        ]


def defer_removals(old: TargetList, new: TargetList) -> TargetList:
    """Returns the new list with the targets added that only the old one has.

    Its `is_settled` is 0, which means that removals are deferred.

    Registrations expire during an outage of the store and are renewed shortly after it. Applying
    these removals would take live targets out of service.
    """
    new_ids = {target.id for target in new.targets}
    missing = tuple(target for target in old.targets if target.id not in new_ids)
    return TargetList(StateVersion(new.version.revision, 0), new.targets + missing)

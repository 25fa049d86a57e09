"""List-and-watch synchronisation of the shared state with the platform's store."""

import asyncio
import dataclasses
import logging
import random
from collections.abc import Callable
from typing import Any, Protocol

from orioleloft_core.budget import Backoff
from orioleloft_core.crashes import CrashRecord
from orioleloft_core.messages import NodeList, PartList, StateVersions, StoreAccess
from orioleloft_core.registry import (
    ClosedZones,
    RegisteredTarget,
    StateVersion,
    StoreRevision,
    TargetList,
)
from orioleloft_core.restore import RestoreHold, has_to_hold, lowest_version
from orioleloft_core.rollouts import Rollouts
from orioleloft_core.routes import RouteTable
from orioleloftd.logs import log_event

# Timeout of a watch (long poll), in seconds; a shorter one costs more calls. A store that stops
# answering a node is noticed when the next of its three watches should return. Their ends are
# therefore staggered by a third of this time: a configuration must be in force within 2 s even if
# all watchers are cut off.
WATCH_TIMEOUT_S = 4.0
RESOURCE_COUNT = 3
# Minimum timeout for which a watch is worth a call, in seconds.
MIN_WATCH_TIMEOUT_S = 0.5
# Pause between a change and the next watch, in seconds: changes arrive in batches, and each call is
# billed.
BATCH_DELAY_S = 0.3
# Interval between probes of the store by a node that reads it, in seconds. A stale read costs a
# tenth of a call, and a watch notices a path that was cut silently only at its end.
PROBE_PERIOD_S = 0.4
# Timeout of a probe, in seconds. A slow store takes up to 0.25 s, sixty times as long as usual.
PROBE_TIMEOUT_S = 0.5
# Timeout of a read, in seconds: a list of a megabyte takes 0.8 s over a link of 10 Mbit/s.
CALL_TIMEOUT_S = 0.8
# Time allowed for the answer of a watch after its timeout, in seconds. A slow store takes up to
# 0.25 s, sixty times as long as usual.
WATCH_TIMEOUT_MARGIN_S = 0.5
# Time within which targets register again after the store is back or was restored, in seconds;
# stated by the platform. Operators write their data again in the same time.
REREGISTRATION_S = 2.2
# Outage after which registrations in the store may have expired, in seconds.
REGISTRATION_EXPIRY_S = 2.5
# Initial and maximum backoff for calls to a store that does not answer, in seconds. Three nodes
# retry, so its return is noticed within half a second.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.5

_log = logging.getLogger(__name__)


def watch_timeout(now: float, index: int) -> float:
    """Returns the timeout for a watch that starts now, in seconds.

    Args:
        now: seconds of the node's clock.
        index: index of the resource, which staggers the ends of the watches.
    """
    stagger = index * WATCH_TIMEOUT_S / RESOURCE_COUNT
    remaining = WATCH_TIMEOUT_S - (now - stagger) % WATCH_TIMEOUT_S
    return remaining if remaining >= MIN_WATCH_TIMEOUT_S else remaining + WATCH_TIMEOUT_S


class StoreError(Exception):
    """A call to the store timed out, failed or was rejected."""


class RevisionCompactedError(StoreError):
    """The store has no history from the revision from which a watch was to continue.

    It has compacted the revision, or was restored since it issued it.
    """


@dataclasses.dataclass(frozen=True)
class TargetChanges:
    """Changes of the registered targets up to a revision.

    Attributes:
        revision: revision of the store that the changes lead to.
        changed: targets that were added or modified.
        removed: ids of targets that were removed.
    """

    revision: int
    changed: tuple[RegisteredTarget, ...]
    removed: tuple[str, ...]


class Store(Protocol):
    """Client of the platform's store.

    Every method raises `StoreError` if the call fails. Each revision is packed with the era in
    which the store issued it; see `registry.StoreRevision.number`.
    """

    @property
    def era(self) -> int:
        """Highest era that the store has stated to this node, 0 if it has stated none."""

    @property
    def unreadable_registrations(self) -> int:
        """Number of registrations of targets that were read and refused as malformed."""

    async def read_table(self, allow_stale: bool = False) -> tuple[RouteTable | None, int]:
        """Returns the newest valid route table, or None, and the store's revision.

        Args:
            allow_stale: whether a result that is some seconds old is acceptable;
                such a call costs less.
        """

    async def watch_table(self, revision: int, wait: float) -> tuple[RouteTable | None, int]:
        """Waits for a table newer than a revision.

        Args:
            revision: revision that the last call returned.
            wait: timeout in seconds.

        Returns:
            The new table, or None if there is none, and the revision to continue from.
        """

    async def read_targets(self, allow_stale: bool = False) -> TargetList:
        """Returns all registered targets; for `allow_stale` see `read_table`."""

    async def watch_targets(self, revision: int, wait: float) -> TargetChanges:
        """Waits up to `wait` seconds for changes of the targets after a revision."""

    async def read_closed_zones(self, allow_stale: bool = False) -> ClosedZones:
        """Returns the availability zones that operators closed; see `read_table`."""

    async def watch_closed_zones(self, revision: int, wait: float) -> int:
        """Waits up to `wait` seconds for a change of the closed zones.

        Returns:
            The revision to continue from, or 0 if the zones changed and must be read again.
        """

    async def probe(self) -> None:
        """Makes a cheap call that shows whether the store answers this node."""

    async def read_registered_nodes(self, allow_stale: bool = False) -> NodeList:
        """Returns the registered entry nodes; for `allow_stale` see `read_table`."""

    async def write_registered_nodes(self, registered: NodeList) -> bool:
        """Replaces the registered nodes; returns False if they have changed since the read."""

    async def read_allotment_parts(self) -> PartList:
        """Returns the assignments of allotment parts; never a stale list."""

    async def write_allotment_parts(self, parts: PartList) -> bool:
        """Replaces the assignments; returns False if they have changed since the read."""

    async def read_blocked_requests(self) -> list[CrashRecord]:
        """Returns the saved requests that were blocked because they crash targets."""

    async def save_blocked_request(self, record: CrashRecord) -> None:
        """Saves a request that is blocked, or replaces what was saved of it."""

    async def remove_blocked_request(self, fingerprint: str) -> None:
        """Removes a saved request that is not blocked any more."""


class StoreListener(Protocol):
    """Receives the results of reads and watches."""

    @property
    def state_versions(self) -> StateVersions:
        """The versions in force."""

    def on_table(self, table: RouteTable) -> None:
        """Handles a route table that was read or changed."""

    def on_targets(self, targets: TargetList) -> None:
        """Handles a complete list of targets."""

    def on_target_changes(self, changes: TargetChanges) -> None:
        """Handles changes relative to the targets delivered before."""

    def on_incomplete_targets(self, targets: TargetList) -> None:
        """Handles a list read after an outage or a restore of the store.

        It may lack targets that are still running, and may hold outdated ones.
        """

    def on_closed_zones(self, closed: ClosedZones) -> None:
        """Handles the list of closed availability zones."""

    def on_outdated_closed_zones(self, closed: ClosedZones, named: frozenset[str]) -> None:
        """Handles the list read after a restore of the store, which may be outdated.

        Args:
            closed: the list.
            named: zones that were closed or opened since the first read after the restore.
        """

    def on_rollouts(self, rollouts: Rollouts) -> None:
        """Handles the list of orders to move services to versions."""

    def on_outdated_rollouts(self, rollouts: Rollouts, named: frozenset[str]) -> None:
        """Handles the orders read after a restore of the store, which may be outdated.

        Args:
            rollouts: the orders.
            named: services whose order or status changed since the first read after the restore.
        """


class StoreSync:
    """Lists and watches the store's resources while this node is a watcher.

    Args:
        store: client of the store.
        listener: receives the results.
        is_watcher: returns whether this node is a watcher.
        on_access: called with this node's access to the store after each call, and when it stops
            watching.
        clock: returns seconds of the node's clock.
        rng: random number generator for backoff jitter.
        other_resources: classes of further resources to synchronise.
    """

    def __init__(
        self,
        store: Store,
        listener: StoreListener,
        is_watcher: Callable[[], bool],
        on_access: Callable[[StoreAccess], None],
        clock: Callable[[], float],
        rng: random.Random,
        other_resources: tuple[type["Resource"], ...] = (),
    ) -> None:
        self._other_resources = other_resources
        self._store = store
        self._listener = listener
        self._is_watcher = is_watcher
        self._on_access = on_access
        self._clock = clock
        self._rng = rng
        self._access_changed = asyncio.Condition()
        self._outage_since: float | None = None
        self._is_reading = False
        self._probing_resource: Resource | None = None
        self._era: int | None = None
        # Calls in progress; a restore of the store ends those that watch an earlier era.
        self._polls: dict[Resource, asyncio.Task] = {}
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Starts one background task for each resource of the store."""
        loop = asyncio.get_running_loop()
        for resource in (
            _TableResource,
            _TargetsResource,
            _ZonesResource,
            *self._other_resources,
        ):
            self._tasks.append(
                loop.create_task(self._run(resource(self._store, self._listener, self)))
            )
        self._tasks.append(loop.create_task(self._probe_periodically()))

    def stop(self) -> None:
        """Cancels all tasks."""
        for task in self._tasks:
            task.cancel()

    async def wake_waiting_tasks(self) -> None:
        """Makes the waiting tasks check again whether this node is a watcher."""
        async with self._access_changed:
            self._access_changed.notify_all()

    @property
    def is_reading(self) -> bool:
        """Whether this node is a watcher and its last call to the store succeeded."""
        return self._is_reading

    def outage_duration(self) -> float:
        """Returns the duration of the current store outage in seconds, 0 if there is none."""
        return 0.0 if self._outage_since is None else self._clock() - self._outage_since

    def now(self) -> float:
        """Returns the time of the node's clock in seconds."""
        return self._clock()

    def note_era(self, era: int) -> None:
        """Ends the watches of earlier eras, if the store was restored, so that all parts are read.

        A watch that is pending when the store is restored may wait for a revision that the store
        reaches again only much later, and report nothing until it times out.

        Args:
            era: an era that the store has stated to this node or to another one.
        """
        is_restored = self._era is not None and era > self._era
        self._era = era if self._era is None else max(era, self._era)
        if not is_restored:
            return
        for resource, poll in self._polls.items():
            if resource.revision and StoreRevision.from_number(resource.revision).era < era:
                poll.cancel()

    async def _run(self, resource: "Resource") -> None:
        """Polls a resource while this node is a watcher, with backoff after failed calls."""
        backoff = Backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S, self._rng)
        while True:
            if not self._may_call(resource):
                resource.interrupt()
                await self._wait_until_allowed(resource)
            started = self._clock()
            try:
                await self._poll(resource)
            except asyncio.CancelledError:
                if asyncio.current_task().cancelling():
                    raise
                # `note_era` or a failed probe has ended the call; the resource is read again.
                resource.reset()
                continue
            except RevisionCompactedError as error:
                log_event(_log, "history gone", part=resource.name, reason=str(error))
                resource.reset()
            except StoreError as error:
                resource.interrupt()
                self._on_failure(started, resource, error)
                await asyncio.sleep(backoff.next_delay())
                continue
            except Exception:
                # An unexpected error in one resource must not end the watch for the whole fleet.
                _log.exception("reading of the store failed")
                resource.interrupt()
                await asyncio.sleep(backoff.next_delay())
                continue
            backoff.reset()
            await self._on_success()
            await asyncio.sleep(resource.pop_call_delay())

    async def _probe_periodically(self) -> None:
        """Probes the store while this node reads it; a failed probe ends all watches."""
        while True:
            async with self._access_changed:
                await self._access_changed.wait_for(lambda: self._is_reading)
            await asyncio.sleep(PROBE_PERIOD_S)
            if not self._is_reading:
                continue
            started = self._clock()
            try:
                await self._store.probe()
            except StoreError as error:
                self._on_probe_failure(started, error)
            except Exception:
                _log.exception("probe of the store failed unexpectedly")

    def _on_probe_failure(self, started: float, error: StoreError) -> None:
        if not self._is_reading:
            return
        self._on_failure(started, None, error)
        for resource, poll in self._polls.items():
            resource.interrupt()
            poll.cancel()

    async def _poll(self, resource: "Resource") -> None:
        self._polls[resource] = asyncio.ensure_future(resource.poll())
        try:
            await self._polls[resource]
        finally:
            del self._polls[resource]
        if resource.revision:
            self.note_era(StoreRevision.from_number(resource.revision).era)

    def _may_call(self, resource: "Resource") -> bool:
        """Returns whether the task of a resource may call the store now.

        Until a call succeeds only one task probes the store on behalf of all (as a half-open
        circuit breaker does), because calls to a store that is down are billed as well.
        """
        if not self._is_watcher():
            return False
        if not self._is_reading and self._probing_resource is None:
            self._probing_resource = resource
        return self._is_reading or self._probing_resource is resource

    async def _wait_until_allowed(self, resource: "Resource") -> None:
        if self._probing_resource is resource:
            self._probing_resource = None
            await self.wake_waiting_tasks()
        if not self._is_watcher() and self._is_reading:
            self._is_reading = False
            log_event(_log, "store watch ended")
            self._on_access(StoreAccess.READY)
        async with self._access_changed:
            await self._access_changed.wait_for(lambda: self._may_call(resource))

    def _on_failure(self, started: float, resource: "Resource | None", error: StoreError) -> None:
        """Handles a failed call; without a resource it was a probe, and any resource may retry."""
        if self._outage_since is None:
            part = resource.name if resource else "probe"
            log_event(_log, "store lost", logging.WARNING, part=part, reason=str(error))
            self._outage_since = started
        self._outage_since = min(self._outage_since, started)
        if self._is_reading or self._probing_resource is None:
            self._probing_resource = resource
        self._is_reading = False
        self._on_access(StoreAccess.LOST)

    async def _on_success(self) -> None:
        if self._outage_since is not None:
            log_event(_log, "store regained", after=round(self.outage_duration(), 2))
        self._outage_since = None
        if not self._is_reading:
            self._is_reading = True
            log_event(_log, "store watch began")
            self._probing_resource = None
            await self.wake_waiting_tasks()
        self._on_access(StoreAccess.READING)


class Resource:
    """A resource of the store that is read completely once and then watched.

    While its revision is 0, the next call reads it completely.
    """

    name = ""
    index = 0

    def __init__(self, store: Store, listener: StoreListener, sync: StoreSync) -> None:
        self._store = store
        self._listener = listener
        self._store_sync = sync
        self._revision = 0
        # Whether no change can have been missed since a complete read, other than by a restore. A
        # read during a hold is not complete: a node that begins with one does not know what the
        # copy lacks, and after another restore neither.
        self._is_continuous = False
        self._call_delay = 0.0

    @property
    def revision(self) -> int:
        """Packed revision from which the next watch continues, 0 if the next call is a read."""
        return self._revision

    def pop_call_delay(self) -> float:
        """Returns the pause before the next call in seconds, and resets it to 0."""
        pause, self._call_delay = self._call_delay, 0.0
        return pause

    def _watch_timeout(self) -> float:
        return watch_timeout(self._store_sync.now(), self.index)

    def reset(self) -> None:
        """Discards the revision, so that the next call reads the complete resource."""
        self._revision = 0

    def interrupt(self) -> None:
        """Does the same after a failed call, or when this node stops to watch."""
        self._is_continuous = False
        self.reset()

    def _version_to_rank(self, in_force: StateVersion, read: StateVersion) -> StateVersion:
        """Returns the version for a part that was read and may be outdated.

        A node that has not watched from before the restore to the end of the hold may have missed
        changes, and must not impose the part that it merged on nodes that know better.

        Args:
            in_force: version of the part in force.
            read: version of the part that was read.
        """
        is_behind = has_to_hold(in_force, read) and not self._is_continuous
        return lowest_version(read) if is_behind else read

    async def poll(self) -> None:
        """Makes one call to the store and delivers its result."""
        raise NotImplementedError


class _TableResource(Resource):
    """Synchronises the route table."""

    name = "table"

    async def poll(self) -> None:
        """Reads or watches the route table once."""
        if not self._revision:
            table, self._revision = await self._store.read_table()
        else:
            table, self._revision = await self._store.watch_table(
                self._revision, self._watch_timeout()
            )
        if table is not None:
            self._listener.on_table(table)
            self._call_delay = BATCH_DELAY_S


class SnapshotResource(Resource):
    """A resource that is read as a whole after each change, with few items.

    After a restore of the store the snapshot in force is held until operators have had time to
    write theirs again. Only items that change meanwhile are taken from the store at once. A
    subclass supplies the calls and the listener's methods; its snapshots have a `version`.
    """

    def __init__(self, store: Store, listener: StoreListener, sync: StoreSync) -> None:
        super().__init__(store, listener, sync)
        self._hold = RestoreHold(REREGISTRATION_S)
        # The last snapshot that was read during the hold, and the items named since the first.
        self._last_outdated: Any = None
        self._named: frozenset[str] = frozenset()

    async def poll(self) -> None:
        """Reads or watches the resource once."""
        if self._hold.is_due(self._store_sync.now()):
            self._revision = 0
        if self._revision:
            wait = self._hold.limit(self._store_sync.now(), self._watch_timeout())
            self._revision = await self._watch(wait)
            return
        snapshot = await self._read()
        in_force = self._version_in_force()
        now = self._store_sync.now()
        if self._hold.is_complete(now, in_force, snapshot.version):
            self._last_outdated = None
            self._deliver(snapshot)
            self._hold.confirm(now, self._version_in_force())
            self._is_continuous = True
        else:
            self._note_named(snapshot)
            version = self._version_to_rank(in_force, snapshot.version)
            self._deliver_outdated(dataclasses.replace(snapshot, version=version), self._named)
        self._revision = snapshot.version.revision

    def _note_named(self, snapshot: Any) -> None:
        last, self._last_outdated = self._last_outdated, snapshot
        if last is None or last.version.era != snapshot.version.era:
            self._named = frozenset()
        else:
            self._named |= self._changed_names(last, snapshot)

    async def _read(self) -> Any:
        """Reads the snapshot."""
        raise NotImplementedError

    async def _watch(self, wait: float) -> int:
        """Waits for a change; returns the revision to continue from, or 0 to read again."""
        raise NotImplementedError

    def _version_in_force(self) -> StateVersion:
        """Returns the version of the snapshot in force."""
        raise NotImplementedError

    def _changed_names(self, old: Any, new: Any) -> frozenset[str]:
        """Returns the names of the items that differ between two snapshots."""
        raise NotImplementedError

    def _deliver(self, snapshot: Any) -> None:
        """Hands a snapshot to the listener that may replace the one in force."""
        raise NotImplementedError

    def _deliver_outdated(self, snapshot: Any, named: frozenset[str]) -> None:
        """Hands a snapshot to the listener that is valid only for the named items."""
        raise NotImplementedError


class _ZonesResource(SnapshotResource):
    """Synchronises the closed availability zones."""

    name = "closed zones"
    index = 1

    async def _read(self) -> ClosedZones:
        return await self._store.read_closed_zones()

    async def _watch(self, wait: float) -> int:
        return await self._store.watch_closed_zones(self._revision, wait)

    def _version_in_force(self) -> StateVersion:
        return self._listener.state_versions.closed_zones

    def _changed_names(self, old: ClosedZones, new: ClosedZones) -> frozenset[str]:
        return frozenset(old.zones) ^ frozenset(new.zones)

    def _deliver(self, snapshot: ClosedZones) -> None:
        self._listener.on_closed_zones(snapshot)

    def _deliver_outdated(self, snapshot: ClosedZones, named: frozenset[str]) -> None:
        self._listener.on_outdated_closed_zones(snapshot, named)


class _TargetsResource(Resource):
    """Synchronises the registered targets.

    After an outage or a restore of the store its list may lack targets that are still running,
    until they have registered again. Removals are held back until the list has been read once more.
    """

    name = "targets"
    index = 2

    def __init__(self, store: Store, listener: StoreListener, sync: StoreSync) -> None:
        super().__init__(store, listener, sync)
        self._hold = RestoreHold(REREGISTRATION_S)

    async def poll(self) -> None:
        """Reads or watches the targets once."""
        if self._hold.is_due(self._store_sync.now()):
            self._revision = 0
        if not self._revision:
            await self._read()
            return
        wait = self._hold.limit(self._store_sync.now(), self._watch_timeout())
        changes = await self._store.watch_targets(self._revision, wait)
        self._revision = changes.revision
        if not changes.changed and not changes.removed:
            return
        self._listener.on_target_changes(changes)
        self._call_delay = BATCH_DELAY_S

    async def _read(self) -> None:
        outage = self._store_sync.outage_duration()
        targets = await self._store.read_targets()
        self._revision = targets.version.revision
        now = self._store_sync.now()
        if not self._hold.is_active and outage > REGISTRATION_EXPIRY_S:
            self._hold.begin(now)
        in_force = self._listener.state_versions.targets
        if not self._hold.is_complete(now, in_force, targets.version):
            version = self._version_to_rank(in_force, targets.version)
            self._listener.on_incomplete_targets(dataclasses.replace(targets, version=version))
        else:
            self._listener.on_targets(targets)
            self._hold.confirm(now, self._listener.state_versions.targets)
            self._is_continuous = True

"""List-and-watch synchronisation of the shared state with the platform's store."""

import asyncio
import dataclasses
import logging
import random
from collections.abc import Callable
from typing import Protocol

from orioleloft_core.budget import Backoff
from orioleloft_core.crashes import CrashRecord
from orioleloft_core.messages import NodeList, StoreAccess
from orioleloft_core.registry import ClosedZones, RegisteredTarget, TargetList
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
# Timeout of a read, in seconds: a list of a megabyte takes 0.8 s over a link of 10 Mbit/s.
CALL_TIMEOUT_S = 0.8
# Time allowed for the answer of a watch after its timeout, in seconds. A slow store takes up to
# 0.25 s, sixty times as long as usual.
WATCH_TIMEOUT_MARGIN_S = 0.5
# Time within which targets register again after the store is back, in seconds; stated by the
# platform.
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
    """The store has compacted the revision from which a watch was to continue."""


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

    Every method raises `StoreError` if the call fails.
    """

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

    async def read_registered_nodes(self) -> NodeList:
        """Returns the registered entry nodes."""

    async def write_registered_nodes(self, registered: NodeList) -> bool:
        """Replaces the registered nodes; returns False if they have changed since the read."""

    async def read_blocked_requests(self) -> list[CrashRecord]:
        """Returns the saved requests that were blocked because they crash targets."""

    async def save_blocked_request(self, record: CrashRecord) -> None:
        """Saves a request that is blocked, or replaces what was saved of it."""

    async def remove_blocked_request(self, fingerprint: str) -> None:
        """Removes a saved request that is not blocked any more."""


class StoreListener(Protocol):
    """Receives the results of reads and watches."""

    def on_table(self, table: RouteTable) -> None:
        """Handles a route table that was read or changed."""

    def on_targets(self, targets: TargetList) -> None:
        """Handles a complete list of targets."""

    def on_target_changes(self, changes: TargetChanges) -> None:
        """Handles changes relative to the targets delivered before."""

    def on_incomplete_targets(self, targets: TargetList) -> None:
        """Handles a list read after an outage, which may lack targets that are still running."""

    def on_closed_zones(self, closed: ClosedZones) -> None:
        """Handles the list of closed availability zones."""

    def on_rollouts(self, rollouts: Rollouts) -> None:
        """Handles the list of orders to move services to versions."""


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
        other_resources: tuple[type["_Resource"], ...] = (),
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
        self._probing_resource: _Resource | None = None
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

    async def _run(self, resource: "_Resource") -> None:
        """Polls a resource while this node is a watcher, with backoff after failed calls."""
        backoff = Backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S, self._rng)
        while True:
            if not self._may_call(resource):
                resource.reset()
                await self._wait_until_allowed(resource)
            started = self._clock()
            try:
                await resource.poll()
            except asyncio.CancelledError:
                raise
            except RevisionCompactedError as error:
                log_event(_log, "history gone", part=resource.name, reason=str(error))
                resource.reset()
            except StoreError as error:
                resource.reset()
                self._on_failure(started, resource, error)
                await asyncio.sleep(backoff.next_delay())
                continue
            except Exception:
                # An unexpected error in one resource must not end the watch for the whole fleet.
                _log.exception("reading of the store failed")
                resource.reset()
                await asyncio.sleep(backoff.next_delay())
                continue
            backoff.reset()
            await self._on_success()
            await asyncio.sleep(resource.pop_call_delay())

    def _may_call(self, resource: "_Resource") -> bool:
        """Returns whether the task of a resource may call the store now.

        Until a call succeeds only one task probes the store on behalf of all (as a half-open
        circuit breaker does), because calls to a store that is down are billed as well.
        """
        if not self._is_watcher():
            return False
        if not self._is_reading and self._probing_resource is None:
            self._probing_resource = resource
        return self._is_reading or self._probing_resource is resource

    async def _wait_until_allowed(self, resource: "_Resource") -> None:
        if self._probing_resource is resource:
            self._probing_resource = None
            await self.wake_waiting_tasks()
        if not self._is_watcher() and self._is_reading:
            self._is_reading = False
            self._on_access(StoreAccess.READY)
        async with self._access_changed:
            await self._access_changed.wait_for(lambda: self._may_call(resource))

    def _on_failure(self, started: float, resource: "_Resource", error: StoreError) -> None:
        if self._outage_since is None:
            log_event(_log, "store lost", logging.WARNING, part=resource.name, reason=str(error))
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
            self._probing_resource = None
            await self.wake_waiting_tasks()
        self._on_access(StoreAccess.READING)


class _Resource:
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
        self._call_delay = 0.0

    def pop_call_delay(self) -> float:
        """Returns the pause before the next call in seconds, and resets it to 0."""
        pause, self._call_delay = self._call_delay, 0.0
        return pause

    def _watch_timeout(self) -> float:
        return watch_timeout(self._store_sync.now(), self.index)

    def reset(self) -> None:
        """Discards the revision, so that the next call reads the complete resource."""
        self._revision = 0

    async def poll(self) -> None:
        """Makes one call to the store and delivers its result."""
        raise NotImplementedError


class _TableResource(_Resource):
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


class _ZonesResource(_Resource):
    """Synchronises the closed availability zones."""

    name = "closed zones"
    index = 1

    async def poll(self) -> None:
        """Reads or watches the closed zones once."""
        if self._revision:
            self._revision = await self._store.watch_closed_zones(
                self._revision, self._watch_timeout()
            )
            return
        closed = await self._store.read_closed_zones()
        self._listener.on_closed_zones(closed)
        self._revision = closed.version.revision


class _TargetsResource(_Resource):
    """Synchronises the registered targets.

    After an outage of the store its list may lack targets that are still running, until they have
    registered again. Removals are held back until the list has been read once more.
    """

    name = "targets"
    index = 2

    def __init__(self, store: Store, listener: StoreListener, sync: StoreSync) -> None:
        super().__init__(store, listener, sync)
        self._full_read_at: float | None = None

    async def poll(self) -> None:
        """Reads or watches the targets once."""
        if self._full_read_at is not None and self._store_sync.now() >= self._full_read_at:
            self._revision = 0
        if not self._revision:
            await self._read()
            return
        wait = self._watch_timeout()
        if self._full_read_at is not None:
            wait = max(0.1, min(wait, self._full_read_at - self._store_sync.now()))
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
        if self._full_read_at is None and outage > REGISTRATION_EXPIRY_S:
            self._full_read_at = self._store_sync.now() + REREGISTRATION_S
        if self._full_read_at is not None and self._store_sync.now() < self._full_read_at:
            self._listener.on_incomplete_targets(targets)
            return
        self._full_read_at = None
        self._listener.on_targets(targets)

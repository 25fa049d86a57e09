"""Blocked requests in the platform's store, for a start of all nodes at once."""

import asyncio
import logging
from collections.abc import Callable

from orioleloft_core.crashes import CrashRecord, CrashTracker
from orioleloft_core.fleet import Fleet
from orioleloft_core.messages import StoreAccess
from orioleloftd.logs import log_event
from orioleloftd.storesync import Store, StoreError, StoreSync

# Time between two writes, in seconds; each write is billed.
WRITE_PERIOD_S = 0.5
# Maximum number of requests that are saved, the newest ones.
MAX_SAVED = 100

_log = logging.getLogger(__name__)


class CrashArchive:
    """Keeps the requests that are blocked in the store while this node is the first watcher.

    Args:
        tracker: evidence of this node.
        store: client of the store.
        fleet: membership; tells which nodes read the store.
        sync: tells whether this node can read the store.
        clock: returns seconds of the node's clock.
    """

    def __init__(
        self,
        tracker: CrashTracker,
        store: Store,
        fleet: Fleet,
        sync: StoreSync,
        clock: Callable[[], float],
    ) -> None:
        self._tracker = tracker
        self._store = store
        self._fleet = fleet
        self._store_sync = sync
        self._clock = clock
        # Processes under which each blocked request had crashed when it was saved, by fingerprint;
        # none if another node was to save it.
        self._saved: dict[str, tuple[str, ...]] = {}
        # Era of the store to which `_saved` applies.
        self._era = 0

    async def load(self) -> None:
        """Merges the saved requests; does nothing if the store cannot be read."""
        try:
            records = await self._store.read_blocked_requests()
        except StoreError as error:
            log_event(_log, "blocked requests not read", logging.WARNING, reason=str(error))
            return
        for record in records:
            self._tracker.merge(self._clock(), record)
            self._saved[record.fingerprint] = record.crashed
        if records:
            log_event(_log, "blocked requests read", count=len(records))

    async def run(self) -> None:
        """Saves and removes requests, one at a time, until it is cancelled."""
        while True:
            await asyncio.sleep(WRITE_PERIOD_S)
            try:
                if self._is_writer():
                    await self._write_next()
                else:
                    self._follow()
            except StoreError as error:
                log_event(_log, "blocked request not saved", logging.WARNING, reason=str(error))
            except Exception:
                _log.exception("saving of blocked requests failed unexpectedly")

    def _is_writer(self) -> bool:
        """Whether this node is the first of those that read the store."""
        if not self._store_sync.is_reading:
            return False
        own_name = self._fleet.own_state.name
        return all(
            own_name < state.name
            for state in self._fleet.alive()
            if state.store is StoreAccess.READING
        )

    def _blocked(self) -> dict[str, CrashRecord]:
        records = self._tracker.records(self._clock(), MAX_SAVED, only_blocked=True)
        return {record.fingerprint: record for record in records}

    def _follow(self) -> None:
        """Notes what the writer saves, so that this node can remove it if it becomes the writer."""
        self._saved = {
            fingerprint: self._saved.get(fingerprint, ()) for fingerprint in self._blocked()
        }

    async def _write_next(self) -> None:
        """Saves one request that was not saved as it is now, or removes one."""
        await self._note_restore()
        blocked = self._blocked()
        for fingerprint, record in blocked.items():
            if self._saved.get(fingerprint) != record.crashed:
                await self._store.save_blocked_request(record)
                self._saved[fingerprint] = record.crashed
                log_event(_log, "blocked request saved", fingerprint=fingerprint)
                return
        for fingerprint in self._saved:
            if fingerprint not in blocked:
                await self._store.remove_blocked_request(fingerprint)
                del self._saved[fingerprint]
                log_event(_log, "blocked request removed", fingerprint=fingerprint)
                return

    async def _note_restore(self) -> None:
        """Reads what is saved after a restore of the store, so that all is saved again once.

        The restored store may lack requests that are blocked, and may hold some that are no longer.
        """
        era = self._store.era
        if era == self._era:
            return
        records = await self._store.read_blocked_requests()
        self._saved = {record.fingerprint: () for record in records}
        # The read may have shown a yet later era, which is then noted by the next call.
        self._era = era
        log_event(_log, "blocked requests read", count=len(records), era=era)

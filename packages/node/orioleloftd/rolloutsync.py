"""Synchronisation of the orders to move services to versions with the platform's store."""

from typing import Protocol

from orioleloft_core.registry import StateVersion
from orioleloft_core.rolloutrestore import changed_services
from orioleloft_core.rollouts import RolloutOrder, Rollouts, RolloutState
from orioleloftd.storesync import SnapshotResource


class RolloutStore(Protocol):
    """The part of the store's client that roll-outs need; its methods raise `StoreError`."""

    async def read_rollouts(self, allow_stale: bool = False) -> Rollouts:
        """Returns all readable orders; for `allow_stale` see `Store.read_table`."""

    async def watch_rollouts(self, revision: int, wait: float) -> int:
        """Waits up to `wait` seconds for a change of an order or its status.

        Returns:
            The revision to continue from, or 0 if there was a change and the orders must be read
            again.
        """

    async def read_rollout(self, service: str) -> RolloutOrder | None:
        """Returns the order of a service, or None if there is none."""

    async def write_rollout_status(
        self, order: RolloutOrder, state: RolloutState
    ) -> RolloutOrder | None:
        """Writes the status of an order if its object has not changed since it was read.

        Returns:
            The order as stored, or None if the object has changed or is gone.
        """


class RolloutsResource(SnapshotResource):
    """Synchronises the orders; any event makes it read all of them again."""

    name = "rollouts"
    # The watch of the closed zones ends at the same time; neither changes often.
    index = 1

    async def _read(self) -> Rollouts:
        return await self._store.read_rollouts()

    async def _watch(self, wait: float) -> int:
        return await self._store.watch_rollouts(self._revision, wait)

    def _version_in_force(self) -> StateVersion:
        return self._listener.state_versions.rollouts

    def _changed_names(self, old: Rollouts, new: Rollouts) -> frozenset[str]:
        return changed_services(old, new)

    def _deliver(self, snapshot: Rollouts) -> None:
        self._listener.on_rollouts(snapshot)

    def _deliver_outdated(self, snapshot: Rollouts, named: frozenset[str]) -> None:
        self._listener.on_outdated_rollouts(snapshot, named)

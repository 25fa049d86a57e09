"""Synchronisation of the orders to move services to versions with the platform's store."""

from typing import Protocol

from orioleloft_core.rollouts import RolloutOrder, Rollouts, RolloutState
from orioleloftd.storesync import _Resource


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


class RolloutsResource(_Resource):
    """Synchronises the orders; any event makes it read all of them again."""

    name = "rollouts"
    # The watch of the closed zones ends at the same time; neither changes often.
    index = 1

    async def poll(self) -> None:
        """Reads or watches the orders once."""
        if self._revision:
            self._revision = await self._store.watch_rollouts(self._revision, self._watch_timeout())
            return
        rollouts = await self._store.read_rollouts()
        self._listener.on_rollouts(rollouts)
        self._revision = rollouts.version.revision

"""Changes by operators, restores of the store, and statements of targets, at random."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Callable

from standins.soak.cluster import Cluster
from standins.soak.faults import FAULT_DURATION_S, Fault
from standins.soak.operator import Operator
from standins.soak.records import Removal
from standins.target import BEHAVIOUR_PATH, DRAIN_PATH

# Range of the interval between changes, in seconds.
CHANGE_INTERVAL_S = (0.4, 1.6)
# Range of the time for which a target states that it leaves before it stops, in seconds.
LEAVING_S = (3.0, 5.0)
# Range of the age of the copy from which the store is restored, in seconds.
COPY_AGE_S = (0.3, 4.0)
# Times of a removed target, in seconds: until the store may be restored, and until it registers.
REMOVAL_RESTORE_S = (0.2, 2.0)
REMOVAL_S = 7.0
PAUSES = ("0.7", "1.2", "2.5")
ODD_STATUSES = ("000", "099", "600")


@dataclasses.dataclass(frozen=True)
class Plan:
    """What a seed draws besides its faults.

    Attributes:
        has_tenants: whether the configuration has tenants, and the settings allotments.
        has_restores: whether the store states its era and is restored.
    """

    has_tenants: bool
    has_restores: bool


def draw_plan(rng: random.Random) -> Plan:
    """Draws a plan; each of its parts is in force in half of the seeds."""
    return Plan(rng.random() < 0.5, rng.random() < 0.5)


class ChangeInjector:
    """Makes overlapping changes while faults are injected.

    Args:
        cluster: processes and links.
        operator: writes to the store.
        plan: what the seed draws.
        rng: random source of the changes.

    Attributes:
        removals: targets that were removed for a time.
    """

    def __init__(
        self, cluster: Cluster, operator: Operator, plan: Plan, rng: random.Random
    ) -> None:
        self._cluster = cluster
        self._operator = operator
        self._plan = plan
        self._rng = rng
        self.removals: list[Removal] = []

    async def inject_changes(self, seconds: float) -> list[Fault]:
        """Makes changes for some seconds and waits until the last one is over.

        Returns:
            The changes in the order of injection.
        """
        started = time.monotonic()
        changes, running = [], set()
        while (now := time.monotonic() - started) < seconds:
            kind, change = self._rng.choice(self._choices())
            target = self._rng.choice(self._cluster.targets)
            duration = round(self._rng.uniform(*FAULT_DURATION_S), 2)
            changes.append(Fault(round(now, 2), kind, target, duration))
            running.add(asyncio.get_running_loop().create_task(change(target, duration)))
            await asyncio.sleep(self._rng.uniform(*CHANGE_INTERVAL_S))
        await asyncio.gather(*running)
        return changes

    def _choices(self) -> list[tuple[str, Callable]]:
        choices = [
            ("leaving target", self._leave),
            ("pausing target", self._pause),
            ("target with odd statuses", self._send_odd_statuses),
            ("removed target", self._remove),
        ]
        if self._plan.has_tenants:
            choices += [("change of keys", self._change_keys)] * 3
        if self._plan.has_restores:
            choices += [("restore of the store", self._restore)] * 2
        return choices

    async def _change_keys(self, target: str, seconds: float) -> None:
        del target, seconds
        await self._operator.change_keys()

    async def _restore(self, target: str, seconds: float) -> None:
        del target, seconds
        await self._restore_once(self._rng.uniform(*COPY_AGE_S))

    async def _restore_once(self, age: float) -> None:
        await self._cluster.restore_store(age)
        await self._operator.write_again()

    async def _leave(self, target: str, seconds: float) -> None:
        del seconds
        if not self._cluster.is_up(target):
            return
        says_so_in_store = self._rng.random() < 0.5
        seconds = self._rng.uniform(*LEAVING_S)
        self._cluster.stopped.add(target)
        await self._cluster.post_to_target(target, BEHAVIOUR_PATH, {"leaves": True})
        if says_so_in_store:
            await self._cluster.post_to_target(target, DRAIN_PATH, {})
        await asyncio.sleep(seconds)
        self._cluster.processes.kill(target)
        self._cluster.start_process(target)
        self._cluster.stopped.discard(target)

    async def _pause(self, target: str, seconds: float) -> None:
        pause = self._rng.choice(PAUSES)
        await self._behave(target, seconds, {"pause": pause}, {"pause": ""})

    async def _send_odd_statuses(self, target: str, seconds: float) -> None:
        odd = {"odd_status_share": 0.5, "odd_status": self._rng.choice(ODD_STATUSES)}
        await self._behave(target, seconds, odd, {"odd_status_share": 0.0})

    async def _behave(self, target: str, seconds: float, odd: dict, normal: dict) -> None:
        await self._cluster.post_to_target(target, BEHAVIOUR_PATH, odd)
        await asyncio.sleep(seconds)
        await self._cluster.post_to_target(target, BEHAVIOUR_PATH, normal)

    async def _remove(self, target: str, seconds: float) -> None:
        del seconds
        if not self._cluster.is_up(target):
            return
        restore_after = self._rng.uniform(*REMOVAL_RESTORE_S)
        age = self._rng.uniform(*COPY_AGE_S)
        self._cluster.stopped.add(target)
        self._operator.removed_targets.add(target)
        await self._cluster.post_to_target(target, BEHAVIOUR_PATH, {"registers": False})
        # A registration may be under way when the target is told to end them.
        await asyncio.sleep(0.2)
        await self._operator.remove_target(target)
        removed_at = time.monotonic()
        if self._plan.has_restores:
            await asyncio.sleep(restore_after)
            await self._restore_once(age + restore_after)
        await asyncio.sleep(max(0.0, removed_at + REMOVAL_S - time.monotonic()))
        self._operator.removed_targets.discard(target)
        self.removals.append(Removal(target, removed_at, time.monotonic()))
        await self._cluster.post_to_target(target, BEHAVIOUR_PATH, {"registers": True})
        self._cluster.stopped.discard(target)

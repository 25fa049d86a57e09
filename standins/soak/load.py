"""Callers that send requests while faults are injected."""

import asyncio
import random
import time
from collections.abc import Callable

from orioleloft_core.entrysettings import Endpoint
from standins.callers import Caller, CallerAttempt, RequestKind
from standins.soak.cluster import ZONES, Cluster
from standins.soak.operator import draw_key

REQUEST_KINDS = (
    RequestKind("look-up", "lookups.example", "GET", "/api/", 0, True),
    RequestKind("hold", "ledger.example", "POST", "/api/", 300, False),
)
# Mean think time of a caller between two requests, in seconds.
THINK_TIME_S = 0.03
# Callers that keep their connections idle for long between two requests, and the range of that time
# in seconds, which is below the idle timeout.
IDLE_CALLERS = 4
IDLE_S = (3.5, 6.0)
# Callers of the tenant that sends many times its allotment, beside the other callers.
HOT_CALLERS = 3
HOT_KEY = "key-of-hot"
STABLE_KEY = "key-of-main"


class Load:
    """Callers of one soak run and the attempts that they recorded.

    Args:
        cluster: entry nodes to send to.
        rng: random source of the callers.
        key_rng: random source of their keys, or None for callers without keys.
        long_header: returns the length of a further header that callers may send to a node, by its
            address; 0 for none.
    """

    def __init__(
        self,
        cluster: Cluster,
        rng: random.Random,
        key_rng: random.Random | None,
        long_header: Callable[[str], int],
    ) -> None:
        self._long_header = long_header
        self._cluster = cluster
        self._rng = rng
        self._key_rng = key_rng
        self.callers: list[Caller] = []
        self._is_stopped = False

    async def run(self, callers: int) -> None:
        """Sends requests from a number of concurrent callers until `stop` is called."""
        directories = [
            Endpoint(host, self._cluster.ports["directory"])
            for host in self._cluster.node_hosts.values()
        ]
        self.callers = [
            Caller(
                f"c{i}",
                ZONES[i % len(ZONES)],
                directories,
                random.Random(self._rng.random()),
                self._draw_key,
                long_header=self._long_header,
            )
            for i in range(callers)
        ]
        if self._key_rng is not None:
            self.callers += [
                Caller(
                    f"h{i}",
                    ZONES[i % len(ZONES)],
                    directories,
                    random.Random(self._key_rng.random()),
                    lambda: HOT_KEY,
                    waits=False,
                )
                for i in range(HOT_CALLERS)
            ]
        idle_rng = random.Random(f"{callers} idle")
        idle = [
            Caller(
                f"i{i}",
                ZONES[i % len(ZONES)],
                directories,
                random.Random(idle_rng.random()),
                lambda: STABLE_KEY if self._key_rng is not None else "",
                long_header=self._long_header,
            )
            for i in range(IDLE_CALLERS)
        ]
        busy = [self._run_caller(caller) for caller in self.callers]
        self.callers += idle
        await asyncio.gather(*busy, *[self._run_idle_caller(caller) for caller in idle])

    async def _run_idle_caller(self, caller: Caller) -> None:
        rng = random.Random(caller.name)
        while not self._is_stopped:
            await caller.send(rng.choice(REQUEST_KINDS))
            idle_until = time.monotonic() + rng.uniform(*IDLE_S)
            while time.monotonic() < idle_until and not self._is_stopped:
                await asyncio.sleep(0.1)
        caller.close()

    def _draw_key(self) -> str:
        return draw_key(self._key_rng) if self._key_rng is not None else ""

    async def _run_caller(self, caller: Caller) -> None:
        # The callers of the hot tenant draw from the other source, so that a seed means the same
        # faults with and without tenants.
        is_hot = caller.name.startswith("h")
        source = self._key_rng if is_hot and self._key_rng is not None else self._rng
        rng = random.Random(source.random())
        while not self._is_stopped:
            await asyncio.sleep(rng.expovariate(1 / THINK_TIME_S))
            await caller.send(rng.choice(REQUEST_KINDS))
        caller.close()

    def stop(self) -> None:
        """Makes each caller stop after its current request."""
        self._is_stopped = True

    @property
    def attempts(self) -> list[CallerAttempt]:
        """Attempts of all callers so far."""
        return [attempt for caller in self.callers for attempt in caller.attempts]

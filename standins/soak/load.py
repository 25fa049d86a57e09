"""Callers that send requests while faults are injected."""

import asyncio
import random

from orioleloft_core.entrysettings import Endpoint
from standins.callers import Caller, CallerAttempt, RequestKind
from standins.soak.cluster import ZONES, Cluster

REQUEST_KINDS = (
    RequestKind("look-up", "lookups.example", "GET", "/api/", 0, True),
    RequestKind("hold", "ledger.example", "POST", "/api/", 300, False),
)
# Mean think time of a caller between two requests, in seconds.
THINK_TIME_S = 0.03


class Load:
    """Callers of one soak run and the attempts that they recorded.

    Args:
        cluster: entry nodes to send to.
        rng: random source of the callers.
    """

    def __init__(self, cluster: Cluster, rng: random.Random) -> None:
        self._cluster = cluster
        self._rng = rng
        self.callers: list[Caller] = []
        self._is_stopped = False

    async def run(self, callers: int) -> None:
        """Sends requests from a number of concurrent callers until `stop` is called."""
        directories = [
            Endpoint(host, self._cluster.ports["directory"])
            for host in self._cluster.node_hosts.values()
        ]
        self.callers = [
            Caller(f"c{i}", ZONES[i % len(ZONES)], directories, random.Random(self._rng.random()))
            for i in range(callers)
        ]
        await asyncio.gather(*[self._run_caller(caller) for caller in self.callers])

    async def _run_caller(self, caller: Caller) -> None:
        rng = random.Random(self._rng.random())
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

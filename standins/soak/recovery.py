"""End of a soak run: the fleet recovers, keeps stated rate limits, and stops gracefully."""

import asyncio
import json
import random
import signal
import time

from orioleloft_core.entrysettings import Endpoint
from standins.callers import Caller
from standins.oracle import find_rate_limit_violation
from standins.processes import HOST
from standins.proxy import LinkFault
from standins.soak.cluster import HANG_TIMEOUT_S, SERVICES, Cluster
from standins.soak.load import REQUEST_KINDS, Load
from standins.target import ARRIVALS_PATH, BEHAVIOUR_PATH

# Rate limit that one target of each service states after the recovery, in requests per second; the
# time after which the users' bound applies, and the time for which it is stated, in seconds.
RATE_LIMIT_PER_S = 2.0
RATE_LIMIT_KNOWN_S = 0.5
RATE_LIMIT_CHECK_S = 6.0


class Recovery:
    """Checks a cluster after the last fault; what fails is added to its `failures`.

    Args:
        cluster: processes and links.
        load: callers that go on while the checks are made.
        rng: random source for the names of callers.
        key: API key of the requests that nodes must serve, or empty for none.

    Attributes:
        recovered_at: time from which no fault was in force, on the monotonic clock in seconds.
        reached_at: last time at which a request or probe arrived, by target, on the same clock.
    """

    def __init__(self, cluster: Cluster, load: Load, rng: random.Random, key: str = "") -> None:
        self._cluster = cluster
        self._load = load
        self._rng = rng
        self._key = key
        self.recovered_at = 0.0
        self.reached_at: dict[str, float] = {}

    async def recover(self, timeout: float) -> None:
        """Clears all faults and waits until all nodes serve; adds those that do not to `failures`.

        Args:
            timeout: time for all nodes together to serve again, in seconds.
        """
        await self._cluster.set_store_mode("up")
        await self._cluster.reopen_zone("za")
        for name in tuple(self._cluster.draining):
            # A target that was paused when it was to be restarted drains still.
            self._cluster.processes.kill(name)
            self._cluster.start_process(name)
        for link in (*self._cluster.store_links.values(), *self._cluster.target_links.values()):
            link.set_fault(LinkFault.NONE)
        self.recovered_at = time.monotonic()
        deadline = time.monotonic() + timeout
        for name, host in self._cluster.node_hosts.items():
            while time.monotonic() < deadline and not await self._serves_requests(host):
                await asyncio.sleep(0.1)
            if not await self._serves_requests(host):
                self._cluster.failures.append(
                    f"{name} does not serve {timeout:g} s after the last fault"
                )

    async def _serves_requests(self, host: str) -> bool:
        """Whether a node answers ten consecutive requests of each kind with 200."""
        name = f"p{self._rng.randrange(10**9)}"
        caller = Caller(name, "", (), random.Random(1), lambda: self._key)
        caller.pin_node(Endpoint(host, self._cluster.ports["front"]))
        self._load.callers.append(caller)
        for kind in REQUEST_KINDS * 10:
            attempt = await caller.send(kind)
            if attempt is None or attempt.status != 200:
                return False
        caller.close()
        return True

    async def check_rate_limits(self) -> None:
        """Lets one target of each service state a rate limit; adds exceeded limits to `failures`.

        No other fault is in force, so all nodes count, whether or not they were told.
        """
        limited = [f"{service}-00" for service in SERVICES]
        await asyncio.gather(
            *[
                self._cluster.post_to_target(
                    name, BEHAVIOUR_PATH, {"rate_limit": str(RATE_LIMIT_PER_S)}
                )
                for name in limited
            ]
        )
        since = time.monotonic() + RATE_LIMIT_KNOWN_S
        await asyncio.sleep(RATE_LIMIT_CHECK_S)
        for name in self._cluster.targets:
            response = await self._cluster.client.call(
                HOST,
                self._cluster.target_ports[name][0],
                "GET",
                ARRIVALS_PATH,
                timeout=HANG_TIMEOUT_S,
            )
            arrived_at = json.loads(response.body)
            if response.status != 200 or not isinstance(arrived_at, list):
                self._cluster.failures.append(
                    f"{name}: status {response.status} instead of its arrivals"
                )
                continue
            self.reached_at[name] = max(arrived_at, default=0.0)
            if name not in limited:
                continue
            self._cluster.failures += find_rate_limit_violation(
                name, arrived_at, RATE_LIMIT_PER_S, since
            )
            await self._cluster.post_to_target(name, BEHAVIOUR_PATH, {"rate_limit": ""})

    async def stop_nodes(self) -> None:
        """Stops all nodes but one gracefully under load, then ends the load and stops the last one.

        Requests to the first nodes that get no response, and exit codes other than 0 and -SIGTERM,
        go to `failures`.
        """
        since = time.monotonic()
        *others, last = self._cluster.node_hosts
        for name in others:
            self._cluster.processes.signal(name, signal.SIGTERM)
        for name in others:
            await self._cluster.wait_until(
                f"stop of {name}", lambda name=name: self._cluster.has_ended(name)
            )
            self._cluster.check_exit_code(name, self._cluster.processes.wait(name, HANG_TIMEOUT_S))
        self._cluster.failures += [
            f"{attempt.id} got no response during the graceful stop of {attempt.node_host}"
            for attempt in self._load.attempts
            if attempt.sent_at > since
            and attempt.status == 0
            and attempt.node_host != self._cluster.node_hosts[last]
        ]
        self._load.stop()
        self._cluster.processes.signal(last, signal.SIGTERM)
        await self._cluster.wait_until(f"stop of {last}", lambda: self._cluster.has_ended(last))
        self._cluster.check_exit_code(last, self._cluster.processes.wait(last, HANG_TIMEOUT_S))

"""Changes of the limits on callers and of the whole list of tenants, and their check."""

import asyncio
import random
import time
from collections.abc import Iterable

from standins.soak.cluster import Cluster
from standins.soak.operator import Operator
from standins.soak.records import CONFIG_DEADLINE_S, LOOPBACK_MARGIN_S, Records

# Smallest and raised limit of header blocks, in bytes, and the length of a header that only the
# raised one allows.
HEADER_LIMITS = (16 * 1024, 64 * 1024)
LONG_HEADER_BYTES = 24_000
# Ranges in seconds: interval between changes, time without tenants, and time for which the limit
# stays raised. Callers use the raised one once all nodes in touch must know it.
INTERVAL_S = (0.5, 2.5)
NO_TENANTS_S = (0.5, 4.0)
RAISED_S = (5.0, 8.0)
# Time for which a caller may still be sending a long header, in seconds.
SENDING_S = 0.5
REQUEST_TOO_LARGE = 413


class ConfigurationChanger:
    """Raises and lowers the limit of header blocks, and removes all tenants for a while.

    Args:
        operator: writes to the store.
        cluster: tells which nodes were disturbed.
        rng: random source.
    """

    def __init__(self, operator: Operator, cluster: Cluster, rng: random.Random) -> None:
        self._operator = operator
        self._cluster = cluster
        self._node_of_host = {host: name for name, host in cluster.node_hosts.items()}
        self._rng = rng
        self._limit_rng = random.Random(rng.random())
        self._raised_at: float | None = None

    def long_header(self, host: str) -> int:
        """Returns the length of a further header that a node must accept now, 0 for none.

        Args:
            host: address of the node. One that has just started knows no limit yet.
        """
        known_s = CONFIG_DEADLINE_S + LOOPBACK_MARGIN_S
        now = time.monotonic()
        if self._raised_at is None or now < self._raised_at + known_s:
            return 0
        records = Records(disturbances=self._cluster.disturbances.entries)
        is_in_touch = records.was_in_touch(self._node_of_host.get(host, ""), now, known_s)
        return LONG_HEADER_BYTES if is_in_touch else 0

    async def run(self, seconds: float) -> None:
        """Makes changes for some seconds, and ends with the first limit and tenants in force."""
        end = time.monotonic() + seconds
        await asyncio.gather(self._change_limits(end), self._remove_tenants(end))

    async def _change_limits(self, end: float) -> None:
        smallest, raised = HEADER_LIMITS
        while time.monotonic() < end:
            await asyncio.sleep(self._limit_rng.uniform(*INTERVAL_S))
            await self._operator.change_limits(max_header_bytes=raised)
            self._raised_at = time.monotonic()
            await asyncio.sleep(self._limit_rng.uniform(*RAISED_S))
            self._raised_at = None
            await asyncio.sleep(SENDING_S)
            await self._operator.change_limits(max_header_bytes=smallest)

    async def _remove_tenants(self, end: float) -> None:
        while time.monotonic() < end:
            await asyncio.sleep(2 * self._rng.uniform(*INTERVAL_S))
            await self._operator.remove_all_tenants(self._rng.uniform(*NO_TENANTS_S))


def find_refused_headers(records: Records) -> Iterable[str]:
    """Yields a message for each request that a node refused as too large; all are within limits."""
    for attempt in records.attempts:
        node = records.node_of_host.get(attempt.node_host, "")
        known_s = CONFIG_DEADLINE_S + LOOPBACK_MARGIN_S
        is_refused = attempt.status == REQUEST_TOO_LARGE
        if is_refused and records.was_in_touch(node, attempt.sent_at, known_s):
            yield f"{attempt.id} was answered {attempt.status} by {node}, but the limit allows it"

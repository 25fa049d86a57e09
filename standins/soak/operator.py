"""Operator of a soak run: writes tenants and their keys, and writes them again after a restore."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Mapping
from typing import Any

from orioleloft_adapter.decoding import decode_table
from orioleloft_adapter.encoding import encode_table
from orioleloft_adapter.store import CONFIG_KIND, CONFIG_OBJECT, TARGETS_KIND
from orioleloft_core.routes import RouteTable
from orioleloftd.connections import ExchangeError
from standins.soak.cluster import Cluster
from standins.soak.records import Allotment, Configuration

# Keys that each configuration holds, by tenant. `hot` sends many times its allotment.
STABLE_KEYS = {"key-of-main": "main", "key-of-hot": "hot", "key-of-small": "small"}
ALLOTMENTS = {"hot": Allotment(8.0, 10.0), "small": Allotment(0.8, 3.0)}
# Keys that are added, removed and moved between the tenants without a limit.
CHANGING_KEYS = tuple(f"changing-key-{i}" for i in range(6))
CHANGING_TENANTS = ("left", "right")
UNKNOWN_KEYS = ("unknown-key", "key-of-mai", "KEY-OF-MAIN")
RETRY_INTERVAL_S = 0.1
# Range of the time after which the operator sees that the store was restored, in seconds.
RESTORE_SEEN_S = (0.2, 1.5)


class Operator:
    """Writes to the store of a cluster.

    Args:
        cluster: processes and links.
        rng: random source of the changes.
        has_tenants: whether the configuration has tenants.

    Attributes:
        configurations: the versions with tenants, in the order of their writes.
        removed_targets: targets whose registrations are removed.
    """

    def __init__(self, cluster: Cluster, rng: random.Random, has_tenants: bool) -> None:
        self._cluster = cluster
        self._rng = rng
        self._has_tenants = has_tenants
        self._lock = asyncio.Lock()
        self._spec: dict[str, Any] = {}
        self.configurations: list[Configuration] = []
        self.removed_targets: set[str] = set()

    async def write_first_keys(self) -> None:
        """Adds tenants to the configuration, half of the changing keys among them."""
        if not self._has_tenants:
            return
        held = {key: self._rng.choice(CHANGING_TENANTS) for key in CHANGING_KEYS[::2]}
        await self._publish(STABLE_KEYS | held)

    async def change_keys(self) -> None:
        """Adds a key that no tenant holds, or removes or moves one that a tenant holds."""
        if not self.configurations:
            return
        held = {
            key: tenant
            for key, tenant in self.configurations[-1].tenant_of.items()
            if key in CHANGING_KEYS
        }
        key = self._rng.choice(CHANGING_KEYS)
        tenant = held.pop(key, None)
        if tenant is None:
            held[key] = self._rng.choice(CHANGING_TENANTS)
        elif self._rng.random() < 0.4:
            held[key] = next(each for each in CHANGING_TENANTS if each != tenant)
        await self._publish(STABLE_KEYS | held)

    async def remove_all_tenants(self, seconds: float) -> None:
        """Writes an empty list of tenants, and after some seconds the one before it."""
        if not self.configurations:
            return
        tenant_of = self.configurations[-1].tenant_of
        await self._publish({})
        await asyncio.sleep(seconds)
        await self._publish(tenant_of or STABLE_KEYS)

    async def change_limits(self, **changes: float) -> None:
        """Writes a version with other limits on callers and waits until the store confirms it."""
        async with self._lock:
            table = await self._read_table()
            limits = dataclasses.replace(table.limits, **changes)
            changed = dataclasses.replace(table, version=table.version + 1, limits=limits)
            self._spec = encode_table(changed, table.version, self._spec.get("tenants"))
            await self._write_table()

    async def _read_table(self) -> RouteTable:
        """Returns the newest table, which is read from the store at the first call."""
        while not self._spec:
            try:
                _, stored = await self._cluster.call_store("GET", f"{CONFIG_KIND}/{CONFIG_OBJECT}")
                self._spec = stored["spec"]
            except (ExchangeError, KeyError, TypeError):
                await asyncio.sleep(RETRY_INTERVAL_S)
        return decode_table(self._spec)

    async def _publish(self, tenant_of: Mapping[str, str]) -> None:
        """Writes a version with other keys and waits until the store confirms it."""
        async with self._lock:
            table = await self._read_table()
            self._spec = encode_table(
                dataclasses.replace(table, version=table.version + 1),
                table.version,
                _encode_tenants(tenant_of),
            )
            self.configurations.append(Configuration(tenant_of, time.monotonic()))
            await self._write_table()
            confirmed = dataclasses.replace(self.configurations[-1], confirmed_at=time.monotonic())
            self.configurations[-1] = confirmed

    async def _write_table(self) -> None:
        """Writes the newest table until the store holds it."""
        path = f"{CONFIG_KIND}/{CONFIG_OBJECT}"
        while True:
            # A silent store executes a write only when nobody waits for it any more.
            if self._cluster.store_mode == "up":
                try:
                    status, stored = await self._cluster.call_store("GET", path)
                    if status == 200 and stored["spec"] == self._spec:
                        return
                    document = {
                        "metadata": {
                            "name": CONFIG_OBJECT,
                            "revision": stored["metadata"]["revision"],
                        },
                        "spec": self._spec,
                    }
                    status, _ = await self._cluster.call_store("PUT", path, document)
                    if status == 200:
                        return
                except (ExchangeError, KeyError):
                    pass
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def remove_target(self, name: str) -> None:
        """Removes the registration of a target and waits until the store confirms it."""
        while True:
            if self._cluster.store_mode == "up":
                try:
                    status, _ = await self._cluster.call_store("DELETE", f"{TARGETS_KIND}/{name}")
                    if status in (200, 404):
                        return
                except ExchangeError:
                    pass
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def write_again(self) -> None:
        """Writes what a restore of the store may have lost, some time after it."""
        await asyncio.sleep(self._rng.uniform(*RESTORE_SEEN_S))
        if self._spec:
            async with self._lock:
                await self._write_table()
        for name in tuple(self.removed_targets):
            await self.remove_target(name)
        for zone in tuple(self._cluster.closed_zones):
            await self._cluster.close_zone(zone)


def _encode_tenants(tenant_of: Mapping[str, str]) -> dict[str, Any]:
    names = sorted({*STABLE_KEYS.values(), *CHANGING_TENANTS}) if tenant_of else []
    rows = []
    for name in names:
        keys = [key for key, tenant in tenant_of.items() if tenant == name]
        allotment = ALLOTMENTS.get(name)
        limits = [allotment.rate_per_s, allotment.burst] if allotment else [None, None]
        rows.append([name, keys, None, *limits])
    return {"columns": ["name", "api_keys", "priority", "rate_per_s", "burst"], "rows": rows}


def draw_key(rng: random.Random) -> str:
    """Draws the key for a request of a caller that is not `hot`, or an empty string for none."""
    kind = rng.random()
    if kind < 0.7:
        return "key-of-main"
    if kind < 0.9:
        return rng.choice(CHANGING_KEYS)
    if kind < 0.92:
        return "key-of-small"
    if kind < 0.98:
        return rng.choice(UNKNOWN_KEYS)
    return ""

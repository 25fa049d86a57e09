"""Faults that are injected from outside the processes, at random."""

import asyncio
import contextlib
import dataclasses
import json
import random
import signal
import time
from collections.abc import Callable

from orioleloft_adapter.store import TARGETS_KIND
from standins import oddentries
from standins.processes import HOST
from standins.proxy import LinkFault, LinkProxy
from standins.soak.cluster import HANG_TIMEOUT_S, ZONES, Cluster
from standins.soak.records import Part
from standins.target import BEHAVIOUR_PATH, DRAIN_PATH

# Ranges of the interval between fault injections and of the duration of a fault, in seconds. Faults
# last longer than the interval, so they overlap.
FAULT_INTERVAL_S = (0.1, 0.9)
FAULT_DURATION_S = (0.4, 3.0)


@dataclasses.dataclass(frozen=True)
class Fault:
    """An injected fault, as listed in the report of a failed seed.

    Attributes:
        start_s: time since the first injection, in seconds.
        kind: description of the fault.
        component: name of the affected process, link or zone.
        duration_s: duration in seconds.
    """

    start_s: float
    kind: str
    component: str
    duration_s: float


class FaultInjector:
    """Injects overlapping faults into a cluster.

    Args:
        cluster: processes and links.
        rng: random source of the choice of faults, which the seed of a run determines.
    """

    def __init__(self, cluster: Cluster, rng: random.Random) -> None:
        self._cluster = cluster
        self._rng = rng

    async def inject_faults(self, seconds: float) -> list[Fault]:
        """Injects overlapping random faults for some seconds and waits until the last one is over.

        Returns:
            The faults in the order of injection.
        """
        started = time.monotonic()
        faults, running = [], set()
        while (now := time.monotonic() - started) < seconds:
            kind, component, inject_fault = self._rng.choice(self._fault_choices())
            fault = Fault(
                round(now, 2), kind, component, round(self._rng.uniform(*FAULT_DURATION_S), 2)
            )
            faults.append(fault)
            running.add(
                asyncio.get_running_loop().create_task(inject_fault(component, fault.duration_s))
            )
            await asyncio.sleep(self._rng.uniform(*FAULT_INTERVAL_S))
        await asyncio.gather(*running)
        return faults

    def _fault_choices(self) -> list[tuple[str, str, Callable]]:
        node = self._rng.choice(list(self._cluster.node_hosts))
        target = self._rng.choice(self._cluster.targets)
        link_fault = self._rng.choice([fault for fault in LinkFault if fault is not LinkFault.NONE])
        return [
            ("kill node", node, self._kill_and_restart),
            ("kill half of the nodes", node, self._kill_half_of_nodes),
            ("pause node", node, self._pause_process),
            ("stop node", node, self._restart_gracefully),
            ("reload settings", node, self._reload_settings),
            (
                f"store link {link_fault.value}",
                node,
                self._link_fault_injector(self._cluster.store_links, link_fault),
            ),
            (
                f"target link {link_fault.value}",
                target,
                self._link_fault_injector(self._cluster.target_links, link_fault),
            ),
            (
                f"target link {link_fault.value}",
                target,
                self._link_fault_injector(self._cluster.target_links, link_fault),
            ),
            ("kill target", target, self._kill_and_restart),
            ("pause target", target, self._pause_process),
            ("drain target", target, self._drain_and_restart),
            ("slow target", target, self._behaviour_fault_injector({"pace": 8.0}, {"pace": 1.0})),
            (
                "lost responses",
                target,
                self._behaviour_fault_injector({"lost_share": 0.4}, {"lost_share": 0.0}),
            ),
            (
                "duplicate responses",
                target,
                self._behaviour_fault_injector({"stale_share": 0.5}, {"stale_share": 0.0}),
            ),
            (
                "delayed duplicate responses",
                target,
                self._behaviour_fault_injector({"late_share": 0.5}, {"late_share": 0.0}),
            ),
            (
                "failing target",
                target,
                self._behaviour_fault_injector({"error_share": 0.6}, {"error_share": 0.0}),
            ),
            (
                "repeated refusals of a full target",
                target,
                self._behaviour_fault_injector(
                    {"repeated_refusal_share": 0.5, "queue": 0},
                    {"repeated_refusal_share": 0.0, "queue": 4},
                ),
            ),
            (
                "answers cut in their head",
                target,
                self._behaviour_fault_injector({"cut_head_share": 0.3}, {"cut_head_share": 0.0}),
            ),
            (
                "rate limit",
                target,
                self._behaviour_fault_injector({"rate_limit": "1.5"}, {"rate_limit": ""}),
            ),
            (
                "malformed rate limit",
                target,
                self._behaviour_fault_injector({"rate_limit": "-1"}, {"rate_limit": ""}),
            ),
            ("store busy", "store", self._store_fault_injector("busy")),
            ("store silent", "store", self._store_fault_injector("silent")),
            ("closed zone", "za", self._close_and_reopen_zone),
            ("odd entry of another writer", "store", self._write_odd_entry),
        ]

    async def _kill_and_restart(self, name: str, seconds: float) -> None:
        if not self._cluster.is_up(name):
            return
        with self._cluster.disturbances.recording(Part.PROCESS, name):
            self._cluster.stopped.add(name)
            self._cluster.processes.kill(name)
            await asyncio.sleep(seconds / 3)
            self._cluster.start_process(name)
            self._cluster.stopped.discard(name)

    async def _kill_half_of_nodes(self, name: str, seconds: float) -> None:
        names = list(self._cluster.node_hosts)
        half = [name, *self._rng.sample(names, len(names) // 2)]
        await asyncio.gather(
            *[self._kill_and_restart(each, seconds) for each in dict.fromkeys(half)]
        )

    async def _pause_process(self, name: str, seconds: float) -> None:
        if not self._cluster.is_up(name):
            return
        with self._cluster.disturbances.recording(Part.PROCESS, name):
            self._cluster.paused.add(name)
            self._cluster.processes.signal(name, signal.SIGSTOP)
            await asyncio.sleep(seconds)
            self._cluster.processes.signal(name, signal.SIGCONT)
            self._cluster.paused.discard(name)

    async def _restart_gracefully(self, name: str, seconds: float) -> None:
        if not self._cluster.is_up(name):
            return
        with self._cluster.disturbances.recording(Part.PROCESS, name):
            self._cluster.stopped.add(name)
            self._cluster.processes.signal(name, signal.SIGTERM)
            await asyncio.sleep(0.1)
            # A second SIGTERM must not interrupt a graceful stop.
            with contextlib.suppress(ProcessLookupError):
                self._cluster.processes.signal(name, signal.SIGTERM)
            await self._cluster.wait_until(f"stop of {name}", lambda: self._cluster.has_ended(name))
            self._cluster.check_exit_code(name, self._cluster.processes.wait(name, HANG_TIMEOUT_S))
            self._cluster.start_process(name)
            self._cluster.stopped.discard(name)

    async def _reload_settings(self, name: str, seconds: float) -> None:
        if self._cluster.is_up(name) and await self._cluster.is_ready(
            self._cluster.node_hosts[name]
        ):
            self._cluster.processes.signal(name, signal.SIGHUP)

    def _link_fault_injector(self, links: dict[str, LinkProxy], fault: LinkFault) -> Callable:
        part = Part.STORE_LINK if links is self._cluster.store_links else Part.TARGET_LINK

        async def apply(name: str, seconds: float) -> None:
            with self._cluster.disturbances.recording(part, name):
                links[name].set_fault(fault)
                await asyncio.sleep(seconds)
                links[name].set_fault(LinkFault.NONE)

        return apply

    def _behaviour_fault_injector(self, fault_settings: dict, normal_settings: dict) -> Callable:
        async def apply(name: str, seconds: float) -> None:
            # Half of the service's targets, because nodes route around a single misbehaving one.
            service = name.rpartition("-")[0]
            names = [each for each in self._cluster.targets if each.startswith(service)]
            affected = self._rng.sample(names, len(names) // 2)
            await asyncio.gather(
                *[
                    self._cluster.post_to_target(each, BEHAVIOUR_PATH, fault_settings)
                    for each in affected
                ]
            )
            await asyncio.sleep(seconds)
            await asyncio.gather(
                *[
                    self._cluster.post_to_target(each, BEHAVIOUR_PATH, normal_settings)
                    for each in affected
                ]
            )

        return apply

    async def _drain_and_restart(self, name: str, seconds: float) -> None:
        await self._cluster.post_to_target(name, DRAIN_PATH, {})
        self._cluster.draining.add(name)
        await asyncio.sleep(2.5)
        await self._kill_and_restart(name, seconds)

    def _store_fault_injector(self, mode: str) -> Callable:
        async def apply(name: str, seconds: float) -> None:
            with self._cluster.disturbances.recording(Part.STORE, "store"):
                await self._cluster.set_store_mode(mode)
                await asyncio.sleep(seconds)
                await self._cluster.set_store_mode("up")

        return apply

    async def _write_odd_entry(self, name: str, seconds: float) -> None:
        """Adds an entry that names no target to use; it stays for the rest of the run."""
        port, _ = self._cluster.target_ports[self._cluster.targets[0]]
        sound_spec = {
            "service": self._cluster.targets[0].rpartition("-")[0],
            "address": f"{HOST}:{port}",
            "zone": ZONES[0],
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold_remaining": "0ms",
            "sequence": 1,
            "born": 1,
        }
        entry = oddentries.draw(self._rng, sound_spec)
        raw_object = {
            "kind": TARGETS_KIND,
            "name": entry.name,
            "spec": entry.spec.decode("latin1"),
        }
        body = json.dumps({"raw_object": raw_object}).encode()
        await self._cluster.client.call(
            HOST, self._cluster.store.port, "POST", "/control", body=body, timeout=HANG_TIMEOUT_S
        )

    async def _close_and_reopen_zone(self, zone: str, seconds: float) -> None:
        await self._cluster.close_zone(zone)
        await asyncio.sleep(seconds)
        await self._cluster.reopen_zone(zone)

"""Randomized soak test: `python -m standins.soak --seed 1 --seconds 20`.

Entry nodes, an emulated store and emulated targets run as separate processes on loopback while
callers send requests over persistent connections. Faults are injected from outside the processes:
links to the store and to targets are delayed, reset, blackholed or cut in one direction; processes
are killed, paused, stopped and restarted. At the end all faults are cleared, the fleet has to
recover, and the nodes are stopped gracefully. Exits with 0 if no invariant was violated.
"""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Sequence

from absl import flags

from orioleloft_adapter.store import TARGETS_KIND
from orioleloft_core.entrysettings import Endpoint
from orioleloftd.connections import ExchangeError, HttpClient
from standins import oddentries
from standins.callers import Caller, CallerAttempt, RequestKind, latency_table
from standins.oracle import find_rate_limit_violation, find_violations
from standins.processes import (
    HOST,
    Processes,
    free_ports,
    killing_at_exit,
    publish,
    write_node_settings,
)
from standins.proxy import LinkFault, LinkProxy
from standins.target import ARRIVALS_PATH, BEHAVIOUR_PATH, DRAIN_PATH, Run

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = ("za", "zb", "zc")
SERVICES = {"availability": 6, "ledger": 6}
REQUEST_KINDS = (
    RequestKind("look-up", "lookups.example", "GET", "/api/", 0, True),
    RequestKind("hold", "ledger.example", "POST", "/api/", 300, False),
)
# Each node has its own loopback address, from 127.0.1.1 on, so that all nodes listen on the same
# ports, as entry VMs do.
NODE_HOST = "127.0.1.{}"
GRACE_PERIOD_S = 3.0
# Ranges of the interval between fault injections and of the duration of a fault, in seconds. Faults
# last longer than the interval, so they overlap.
FAULT_INTERVAL_S = (0.1, 0.9)
FAULT_DURATION_S = (0.4, 3.0)
# Mean think time of a caller between two requests, in seconds.
THINK_TIME_S = 0.03
# Time within which the fleet must serve again after the last fault, in seconds; the users' bound is
# 15 s. Runs that must not depend on the speed of the machine pass `HANG_TIMEOUT_S` instead.
RECOVERY_TIMEOUT_S = 15.0
HANG_TIMEOUT_S = 60.0
# Rate limit that one target of each service states after the recovery, in requests per second; the
# time after which the users' bound applies, and the time for which it is stated, in seconds.
RATE_LIMIT_PER_S = 2.0
RATE_LIMIT_KNOWN_S = 0.5
RATE_LIMIT_CHECK_S = 6.0


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


class Cluster:
    """Processes, proxied links and callers of one soak run.

    Args:
        run_dir: directory for the settings and logs of the processes.
        processes: starts the processes and sends signals to them.
        nodes: number of entry nodes.
        seed: seed of the random choices of faults, callers and requests.
    """

    def __init__(self, run_dir: pathlib.Path, processes: Processes, nodes: int, seed: int) -> None:
        self._run_dir = run_dir
        self._processes = processes
        self._rng = random.Random(seed)
        self._client = HttpClient(time.monotonic)
        ports = free_ports(5 + nodes + 2 * sum(SERVICES.values()))
        self._store = Endpoint(HOST, ports.pop())
        names = ("front", "ready", "control", "directory")
        self._ports = dict(zip(names, [ports.pop() for _ in names], strict=True))
        self.node_hosts = {f"entry-{i}": NODE_HOST.format(i + 1) for i in range(nodes)}
        self.store_links = {name: LinkProxy(HOST, self._store.port) for name in self.node_hosts}
        self._link_ports = {name: ports.pop() for name in self.node_hosts}
        self._target_ports = {
            f"{service}-{i:02d}": (ports.pop(), ports.pop())
            for service, count in SERVICES.items()
            for i in range(count)
        }
        self.target_links = {
            name: LinkProxy(HOST, port) for name, (port, _) in self._target_ports.items()
        }
        self._paused: set[str] = set()
        self._stopped: set[str] = set()
        self._started_once: set[str] = set()
        self.callers: list[Caller] = []
        self._is_load_stopped = False
        self.failures: list[str] = []

    @property
    def targets(self) -> list[str]:
        """Names of all targets, such as `ledger-03`."""
        return list(self._target_ports)

    async def start(self) -> None:
        """Starts the store, targets and nodes, and waits until all nodes are ready.

        Raises:
            TimeoutError: the store or a node was not ready within `HANG_TIMEOUT_S`.
        """
        self._processes.start("store", "-m", "standins.store", f"--port={self._store.port}")
        await self._wait_until("store", lambda: self._responds_ok(self._store, "/control"))
        store = f"{self._store.host}:{self._store.port}"
        (self._run_dir / "orioleloft.ini").write_text(f"[store]\naddress = {store}\noperator = s\n")
        publish(self._run_dir, ROOT / "examples" / "start.ini")
        for name, link in self.target_links.items():
            await link.listen(self._target_ports[name][1])
            self.start_process(name)
        for name, link in self.store_links.items():
            await link.listen(self._link_ports[name])
            self.start_process(name)
        for host in self.node_hosts.values():
            await self._wait_until(host, lambda host=host: self._is_ready(host))

    def start_process(self, name: str) -> None:
        """Starts a node or target for the first time or restarts it."""
        is_node = name in self.node_hosts
        arguments = self._node_arguments(name) if is_node else self._target_arguments(name)
        self._started_once.add(name)
        self._processes.start(name, "-m", *arguments)

    def _node_arguments(self, name: str) -> list[str]:
        seeds = [f"{host}:{self._ports['control']}" for host in list(self.node_hosts.values())[:3]]
        path = write_node_settings(
            self._run_dir,
            name,
            host=self.node_hosts[name],
            ports=self._ports,
            zone=ZONES[list(self.node_hosts).index(name) % len(ZONES)],
            store=f"{HOST}:{self._link_ports[name]}",
            seeds=seeds,
            grace_period=GRACE_PERIOD_S,
            is_fleet_bootstrap=name not in self._started_once,
        )
        return ["orioleloftd.main", f"--settings={path}"]

    def _target_arguments(self, name: str) -> list[str]:
        service, _, number = name.rpartition("-")
        port, advertised = self._target_ports[name]
        zone = ZONES[int(number) % len(ZONES)]
        return [
            *("standins.target", f"--store={HOST}:{self._store.port}"),
            *(f"--service={service}", f"--first={int(number)}", f"--zones={zone}"),
            *(f"--port={port}", f"--advertised={advertised}", "--prints_runs"),
            *("--cold_s=0.5", "--slots=4", "--work_ms=40"),
        ]

    # Load.

    async def run_load(self, callers: int) -> None:
        """Sends requests from a number of concurrent callers until `stop_load` is called."""
        directories = [
            Endpoint(host, self._ports["directory"]) for host in self.node_hosts.values()
        ]
        self.callers = [
            Caller(f"c{i}", ZONES[i % len(ZONES)], directories, random.Random(self._rng.random()))
            for i in range(callers)
        ]
        await asyncio.gather(*[self._run_caller(caller) for caller in self.callers])

    async def _run_caller(self, caller: Caller) -> None:
        rng = random.Random(self._rng.random())
        while not self._is_load_stopped:
            await asyncio.sleep(rng.expovariate(1 / THINK_TIME_S))
            await caller.send(rng.choice(REQUEST_KINDS))
        caller.close()

    def stop_load(self) -> None:
        """Makes each caller stop after its current request."""
        self._is_load_stopped = True

    @property
    def attempts(self) -> list[CallerAttempt]:
        """Attempts of all callers so far."""
        return [attempt for caller in self.callers for attempt in caller.attempts]

    def runs(self) -> list[Run]:
        """Returns the requests that all targets have started to run, parsed from their logs."""
        lines = [line for name in self.targets for line in self._processes.log(name).splitlines()]
        return [Run(**json.loads(line)) for line in lines if line.startswith('{"request_id"')]

    # Faults.

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
        node = self._rng.choice(list(self.node_hosts))
        target = self._rng.choice(self.targets)
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
                self._link_fault_injector(self.store_links, link_fault),
            ),
            (
                f"target link {link_fault.value}",
                target,
                self._link_fault_injector(self.target_links, link_fault),
            ),
            (
                f"target link {link_fault.value}",
                target,
                self._link_fault_injector(self.target_links, link_fault),
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

    def _is_up(self, name: str) -> bool:
        return name not in self._stopped and name not in self._paused

    async def _kill_and_restart(self, name: str, seconds: float) -> None:
        if not self._is_up(name):
            return
        self._stopped.add(name)
        self._processes.kill(name)
        await asyncio.sleep(seconds / 3)
        self.start_process(name)
        self._stopped.discard(name)

    async def _kill_half_of_nodes(self, name: str, seconds: float) -> None:
        names = list(self.node_hosts)
        half = [name, *self._rng.sample(names, len(names) // 2)]
        await asyncio.gather(
            *[self._kill_and_restart(each, seconds) for each in dict.fromkeys(half)]
        )

    async def _pause_process(self, name: str, seconds: float) -> None:
        if not self._is_up(name):
            return
        self._paused.add(name)
        self._processes.signal(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._processes.signal(name, signal.SIGCONT)
        self._paused.discard(name)

    async def _restart_gracefully(self, name: str, seconds: float) -> None:
        if not self._is_up(name):
            return
        self._stopped.add(name)
        self._processes.signal(name, signal.SIGTERM)
        await asyncio.sleep(0.1)
        # A second SIGTERM must not interrupt a graceful stop.
        with contextlib.suppress(ProcessLookupError):
            self._processes.signal(name, signal.SIGTERM)
        await self._wait_until(f"stop of {name}", lambda: self._has_ended(name))
        self._check_exit_code(name, self._processes.wait(name, HANG_TIMEOUT_S))
        self.start_process(name)
        self._stopped.discard(name)

    def _check_exit_code(self, name: str, code: int) -> None:
        # SIGTERM ends a process that has not installed its signal handlers yet.
        if code not in (0, -signal.SIGTERM):
            self.failures.append(f"{name} ended with exit code {code}")

    async def _has_ended(self, name: str) -> bool:
        return self._processes.has_ended(name)

    async def _reload_settings(self, name: str, seconds: float) -> None:
        if self._is_up(name) and await self._is_ready(self.node_hosts[name]):
            self._processes.signal(name, signal.SIGHUP)

    def _link_fault_injector(self, links: dict[str, LinkProxy], fault: LinkFault) -> Callable:
        async def apply(name: str, seconds: float) -> None:
            links[name].set_fault(fault)
            await asyncio.sleep(seconds)
            links[name].set_fault(LinkFault.NONE)

        return apply

    def _behaviour_fault_injector(self, fault_settings: dict, normal_settings: dict) -> Callable:
        async def apply(name: str, seconds: float) -> None:
            # Half of the service's targets, because nodes route around a single misbehaving one.
            service = name.rpartition("-")[0]
            names = [each for each in self.targets if each.startswith(service)]
            affected = self._rng.sample(names, len(names) // 2)
            await asyncio.gather(
                *[self._post_to_target(each, BEHAVIOUR_PATH, fault_settings) for each in affected]
            )
            await asyncio.sleep(seconds)
            await asyncio.gather(
                *[self._post_to_target(each, BEHAVIOUR_PATH, normal_settings) for each in affected]
            )

        return apply

    async def _drain_and_restart(self, name: str, seconds: float) -> None:
        await self._post_to_target(name, DRAIN_PATH, {})
        await asyncio.sleep(2.5)
        await self._kill_and_restart(name, seconds)

    async def _post_to_target(self, name: str, path: str, document: dict) -> None:
        body = json.dumps(document).encode()
        with contextlib.suppress(ExchangeError):
            await self._client.call(
                HOST, self._target_ports[name][0], "POST", path, body=body, timeout=1.0
            )

    def _store_fault_injector(self, mode: str) -> Callable:
        async def apply(name: str, seconds: float) -> None:
            await self._set_store_mode(mode)
            await asyncio.sleep(seconds)
            await self._set_store_mode("up")

        return apply

    async def _set_store_mode(self, mode: str) -> None:
        body = json.dumps({"mode": mode}).encode()
        await self._client.call(
            HOST, self._store.port, "POST", "/control", body=body, timeout=HANG_TIMEOUT_S
        )

    async def _write_odd_entry(self, name: str, seconds: float) -> None:
        """Adds an entry that names no target to use; it stays for the rest of the run."""
        port, _ = self._target_ports[self.targets[0]]
        sound_spec = {
            "service": self.targets[0].rpartition("-")[0],
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
        await self._client.call(
            HOST, self._store.port, "POST", "/control", body=body, timeout=HANG_TIMEOUT_S
        )

    async def _close_and_reopen_zone(self, zone: str, seconds: float) -> None:
        path = "/v1/objects/evacuations"
        body = json.dumps({"metadata": {"name": zone}, "spec": {}}).encode()
        with contextlib.suppress(ExchangeError):
            await self._client.call(HOST, self._store.port, "POST", path, body=body, timeout=2.0)
        await asyncio.sleep(seconds)
        await self._reopen_zone(zone)

    async def _reopen_zone(self, zone: str) -> None:
        path = f"/v1/objects/evacuations/{zone}"
        with contextlib.suppress(ExchangeError):
            await self._client.call(HOST, self._store.port, "DELETE", path, timeout=2.0)

    # Recovery and shutdown.

    async def recover(self, timeout: float) -> None:
        """Clears all faults and waits until all nodes serve; adds those that do not to `failures`.

        Args:
            timeout: time for all nodes together to serve again, in seconds.
        """
        await self._set_store_mode("up")
        await self._reopen_zone("za")
        for link in (*self.store_links.values(), *self.target_links.values()):
            link.set_fault(LinkFault.NONE)
        deadline = time.monotonic() + timeout
        for name, host in self.node_hosts.items():
            while time.monotonic() < deadline and not await self._serves_requests(host):
                await asyncio.sleep(0.1)
            if not await self._serves_requests(host):
                self.failures.append(f"{name} does not serve {timeout:g} s after the last fault")

    async def _serves_requests(self, host: str) -> bool:
        """Whether a node answers ten consecutive requests of each kind with 200."""
        caller = Caller(f"p{self._rng.randrange(10**9)}", "", (), random.Random(1))
        caller.pin_node(Endpoint(host, self._ports["front"]))
        self.callers.append(caller)
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
                self._post_to_target(name, BEHAVIOUR_PATH, {"rate_limit": str(RATE_LIMIT_PER_S)})
                for name in limited
            ]
        )
        since = time.monotonic() + RATE_LIMIT_KNOWN_S
        await asyncio.sleep(RATE_LIMIT_CHECK_S)
        for name in limited:
            response = await self._client.call(
                HOST, self._target_ports[name][0], "GET", ARRIVALS_PATH, timeout=HANG_TIMEOUT_S
            )
            arrived_at = json.loads(response.body)
            self.failures += find_rate_limit_violation(name, arrived_at, RATE_LIMIT_PER_S, since)
            await self._post_to_target(name, BEHAVIOUR_PATH, {"rate_limit": ""})

    async def stop_nodes(self) -> None:
        """Stops all nodes but one gracefully under load, then ends the load and stops the last one.

        Requests to the first nodes that get no response, and exit codes other than 0 and -SIGTERM,
        go to `failures`.
        """
        since = time.monotonic()
        *others, last = self.node_hosts
        for name in others:
            self._processes.signal(name, signal.SIGTERM)
        for name in others:
            await self._wait_until(f"stop of {name}", lambda name=name: self._has_ended(name))
            self._check_exit_code(name, self._processes.wait(name, HANG_TIMEOUT_S))
        self.failures += [
            f"{attempt.id} got no response during the graceful stop of {attempt.node_host}"
            for attempt in self.attempts
            if attempt.sent_at > since
            and attempt.status == 0
            and attempt.node_host != self.node_hosts[last]
        ]
        self.stop_load()
        self._processes.signal(last, signal.SIGTERM)
        await self._wait_until(f"stop of {last}", lambda: self._has_ended(last))
        self._check_exit_code(last, self._processes.wait(last, HANG_TIMEOUT_S))

    async def close(self) -> None:
        """Closes the proxies of all links."""
        for link in (*self.store_links.values(), *self.target_links.values()):
            await link.close()

    async def _responds_ok(self, endpoint: Endpoint, path: str) -> bool:
        try:
            response = await self._client.call(
                endpoint.host, endpoint.port, "GET", path, timeout=1.0
            )
        except ExchangeError:
            return False
        return response.status == 200

    async def _is_ready(self, host: str) -> bool:
        return await self._responds_ok(Endpoint(host, self._ports["ready"]), "/v1/ready")

    async def _wait_until(self, description: str, condition: Callable) -> None:
        deadline = time.monotonic() + HANG_TIMEOUT_S
        while not await condition():
            if time.monotonic() > deadline:
                raise TimeoutError(f"{description}: not within {HANG_TIMEOUT_S:g} s")
            await asyncio.sleep(0.05)


async def run_soak(
    run_dir: pathlib.Path,
    seed: int,
    seconds: float,
    nodes: int,
    callers: int,
    recovery_timeout: float = RECOVERY_TIMEOUT_S,
) -> tuple[list[Fault], list[str], list[CallerAttempt]]:
    """Runs one soak from the start of the processes to their end.

    Args:
        run_dir: directory for the settings and logs of the processes.
        seed: seed of the random choices of faults, callers and requests.
        seconds: duration of the fault injection.
        nodes: number of entry nodes.
        callers: number of concurrent callers.
        recovery_timeout: time for all nodes to serve again after the last fault, in seconds.

    Returns:
        The injected faults, a message for each violated invariant, and the attempts of callers.

    Raises:
        TimeoutError: a process did not start or stop within `HANG_TIMEOUT_S`.
    """
    with killing_at_exit(Processes(run_dir)) as processes:
        cluster = Cluster(run_dir, processes, nodes, seed)
        try:
            await cluster.start()
            load = asyncio.get_running_loop().create_task(cluster.run_load(callers))
            await asyncio.sleep(1.0)
            faults = await cluster.inject_faults(seconds)
            await cluster.recover(recovery_timeout)
            await cluster.check_rate_limits()
            await cluster.stop_nodes()
            await load
            failures = cluster.failures + find_violations(cluster.attempts, cluster.runs())
            return faults, failures, cluster.attempts
        finally:
            await cluster.close()


# A registry of its own, because the modules of several commands may be imported in one process.
_FLAGS = flags.FlagValues()
_SEED = flags.DEFINE_integer("seed", 1, "first seed", flag_values=_FLAGS)
_SEEDS = flags.DEFINE_integer("seeds", 1, "number of consecutive seeds to run", flag_values=_FLAGS)
_SECONDS = flags.DEFINE_float(
    "seconds", 15.0, "duration of the fault injection for each seed, in seconds", flag_values=_FLAGS
)
_NODES = flags.DEFINE_integer("nodes", 5, "number of entry nodes", flag_values=_FLAGS)
_CALLERS = flags.DEFINE_integer("callers", 12, "number of callers", flag_values=_FLAGS)
_KEEP = flags.DEFINE_string(
    "keep", "", "directory for the logs and settings of failed seeds", flag_values=_FLAGS
)


def _run_seed(seed: int) -> bool:
    with tempfile.TemporaryDirectory() as name:
        run_dir = pathlib.Path(name)
        faults, failures, attempts = asyncio.run(
            run_soak(run_dir, seed, _SECONDS.value, _NODES.value, _CALLERS.value)
        )
        print(
            f"seed {seed}: {len(faults)} faults, {len(attempts)} attempts, {len(failures)} failures"
        )
        if not failures:
            return True
        print("\n".join([*failures[:20], *map(str, faults), *latency_table(attempts)]))
        if _KEEP.value:
            run_dir.rename(pathlib.Path(_KEEP.value) / f"seed-{seed}")
            run_dir.mkdir()
        return False


def main(argv: Sequence[str]) -> int:
    """Runs the soak for each seed; returns 0 if no invariant was violated, else 1."""
    del argv
    # Raises SystemExit, so that the child processes are ended as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    results = [_run_seed(seed) for seed in range(_SEED.value, _SEED.value + _SEEDS.value)]
    print(f"{results.count(True)} of {len(results)} seeds passed")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main(_FLAGS(sys.argv)))

"""Processes of one soak run: the store, targets and entry nodes, with a proxy on each link."""

import asyncio
import contextlib
import json
import pathlib
import signal
import time
from collections.abc import Callable, Mapping
from typing import Any

from orioleloft_core.entrysettings import Endpoint
from orioleloftd.connections import ExchangeError, HttpClient
from standins.processes import HOST, Processes, free_ports, publish, write_node_settings
from standins.proxy import LinkProxy
from standins.soak.records import DisturbanceLog, Part
from standins.target import Arrival, Run, Statement

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ("za", "zb", "zc")
SERVICES = {"availability": 6, "ledger": 6}
# Each node has its own loopback address, from 127.0.1.1 on, so that all nodes listen on the same
# ports, as entry VMs do.
NODE_HOST = "127.0.1.{}"
GRACE_PERIOD_S = 3.0
# Time limit of waits that must not depend on the speed of the machine, in seconds.
HANG_TIMEOUT_S = 60.0


class Cluster:
    """Processes and proxied links of one soak run.

    Args:
        run_dir: directory for the settings and logs of the processes.
        processes: starts the processes and sends signals to them.
        nodes: number of entry nodes.
        contracts: parts of the platform's rules that are in force, or empty for none.
        sends_era: whether the store states its era.

    Attributes:
        paused: processes that a fault has stopped with SIGSTOP.
        stopped: processes that a fault has ended and not yet restarted.
        draining: targets that were told to drain and have not been restarted.
        closed_zones: zones that an operator has closed.
        store_mode: mode of the store, `up` if it has no fault.
        disturbances: times in which processes, links or the store were disturbed.
        failures: messages on processes that did not do what was asked of them.
    """

    def __init__(
        self,
        run_dir: pathlib.Path,
        processes: Processes,
        nodes: int,
        contracts: str = "",
        sends_era: bool = False,
    ) -> None:
        self._run_dir = run_dir
        self.processes = processes
        self.client = HttpClient(time.monotonic)
        ports = free_ports(5 + nodes + 2 * sum(SERVICES.values()))
        self.store = Endpoint(HOST, ports.pop())
        names = ("front", "ready", "control", "directory")
        self.ports = dict(zip(names, [ports.pop() for _ in names], strict=True))
        self.node_hosts = {f"entry-{i}": NODE_HOST.format(i + 1) for i in range(nodes)}
        self.store_links = {name: LinkProxy(HOST, self.store.port) for name in self.node_hosts}
        self._link_ports = {name: ports.pop() for name in self.node_hosts}
        self.target_ports = {
            f"{service}-{i:02d}": (ports.pop(), ports.pop())
            for service, count in SERVICES.items()
            for i in range(count)
        }
        self.target_links = {
            name: LinkProxy(HOST, port) for name, (port, _) in self.target_ports.items()
        }
        self.paused: set[str] = set()
        self.stopped: set[str] = set()
        self.draining: set[str] = set()
        self.closed_zones: set[str] = set()
        self.store_mode = "up"
        self.disturbances = DisturbanceLog()
        self._contracts = contracts
        self._sends_era = sends_era
        self._restorable_since = 0.0
        self._tasks: set[asyncio.Task] = set()
        self._started_once: set[str] = set()
        self.failures: list[str] = []

    @property
    def targets(self) -> list[str]:
        """Names of all targets, such as `ledger-03`."""
        return list(self.target_ports)

    def zone_of(self, target: str) -> str:
        """Returns the availability zone of a target."""
        return ZONES[int(target.rpartition("-")[2]) % len(ZONES)]

    async def start_store(self) -> None:
        """Starts the store and publishes the first configuration.

        Raises:
            TimeoutError: the store was not ready within `HANG_TIMEOUT_S`.
        """
        self.processes.start("store", "-m", "standins.store", f"--port={self.store.port}")
        await self.wait_until("store", lambda: self._responds_ok(self.store, "/control"))
        store = f"{self.store.host}:{self.store.port}"
        (self._run_dir / "orioleloft.ini").write_text(f"[store]\naddress = {store}\noperator = s\n")
        publish(self._run_dir, ROOT / "examples" / "start.ini")
        if self._sends_era:
            await self._control_store({"sends_era": True})

    async def start(self) -> None:
        """Starts the targets and nodes, and waits until all nodes are ready.

        Raises:
            TimeoutError: a node was not ready within `HANG_TIMEOUT_S`.
        """
        self._restorable_since = time.monotonic()
        for name, link in self.target_links.items():
            await link.listen(self.target_ports[name][1])
            self.start_process(name)
        for name, link in self.store_links.items():
            await link.listen(self._link_ports[name])
            self.start_process(name)
        for host in self.node_hosts.values():
            await self.wait_until(host, lambda host=host: self.is_ready(host))

    def start_process(self, name: str) -> None:
        """Starts a node or target for the first time or restarts it."""
        is_node = name in self.node_hosts
        arguments = self._node_arguments(name) if is_node else self._target_arguments(name)
        is_restart = name in self._started_once
        self._started_once.add(name)
        self.draining.discard(name)
        self.processes.start(name, "-m", *arguments)
        if is_node and is_restart:
            task = asyncio.get_running_loop().create_task(self._record_start(name))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _record_start(self, name: str) -> None:
        """Records a node as disturbed until it is ready, which takes seconds on a busy machine."""
        with self.disturbances.recording(Part.PROCESS, name):
            while not await self.is_ready(self.node_hosts[name]):
                await asyncio.sleep(0.05)

    def _node_arguments(self, name: str) -> list[str]:
        seeds = [f"{host}:{self.ports['control']}" for host in list(self.node_hosts.values())[:3]]
        path = write_node_settings(
            self._run_dir,
            name,
            host=self.node_hosts[name],
            ports=self.ports,
            zone=ZONES[list(self.node_hosts).index(name) % len(ZONES)],
            store=f"{HOST}:{self._link_ports[name]}",
            seeds=seeds,
            grace_period=GRACE_PERIOD_S,
            is_fleet_bootstrap=name not in self._started_once,
            contracts=self._contracts,
        )
        return ["orioleloftd.main", f"--settings={path}"]

    def _target_arguments(self, name: str) -> list[str]:
        service, _, number = name.rpartition("-")
        port, advertised = self.target_ports[name]
        zone = self.zone_of(name)
        return [
            *("standins.target", f"--store={HOST}:{self.store.port}"),
            *(f"--service={service}", f"--first={int(number)}", f"--zones={zone}"),
            *(f"--port={port}", f"--advertised={advertised}", "--prints_runs"),
            *("--cold_s=0.5", "--slots=4", "--work_ms=40"),
        ]

    def runs(self) -> list[Run]:
        """Returns the requests that all targets have started to run, parsed from their logs."""
        return [Run(**each) for each in self._logged("request_id")]

    def arrivals(self) -> list[Arrival]:
        """Returns the requests that have reached all targets, parsed from their logs."""
        return [Arrival(**each) for each in self._logged("arrived_id")]

    def statements(self) -> list[Statement]:
        """Returns the answers of all targets that state something, parsed from their logs."""
        return [Statement(**each) for each in self._logged("answered_id")]

    def _logged(self, first_field: str) -> list[dict[str, Any]]:
        lines = [line for name in self.targets for line in self.processes.log(name).splitlines()]
        return [json.loads(line) for line in lines if line.startswith(f'{{"{first_field}"')]

    def is_up(self, name: str) -> bool:
        """Whether no fault has ended or paused a process."""
        return name not in self.stopped and name not in self.paused

    def check_exit_code(self, name: str, code: int) -> None:
        """Adds an unexpected exit code to `failures`."""
        # SIGTERM ends a process that has not installed its signal handlers yet.
        if code not in (0, -signal.SIGTERM):
            self.failures.append(f"{name} ended with exit code {code}")

    async def has_ended(self, name: str) -> bool:
        """Whether a process has exited."""
        return self.processes.has_ended(name)

    async def post_to_target(self, name: str, path: str, document: dict) -> None:
        """Sends a control request to a target, which may be unreachable."""
        body = json.dumps(document).encode()
        with contextlib.suppress(ExchangeError):
            await self.client.call(
                HOST, self.target_ports[name][0], "POST", path, body=body, timeout=1.0
            )

    async def set_store_mode(self, mode: str) -> None:
        """Injects or clears a fault of the store."""
        self.store_mode = mode
        await self._control_store({"mode": mode})

    async def restore_store(self, age: float) -> None:
        """Restores the store from a copy that is some seconds old, but has the first keys."""
        age = min(age, time.monotonic() - self._restorable_since)
        await self._control_store({"restore": {"seconds": age}})

    async def _control_store(self, command: Mapping[str, Any]) -> None:
        await self.client.call(
            HOST,
            self.store.port,
            "POST",
            "/control",
            body=json.dumps(command).encode(),
            timeout=HANG_TIMEOUT_S,
        )

    async def call_store(
        self, method: str, path: str, document: Mapping[str, Any] | None = None
    ) -> tuple[int, Any]:
        """Sends a request to the API of the store; returns status and document of the response.

        Raises:
            ExchangeError: no response within 2 s.
        """
        response = await self.client.call(
            HOST,
            self.store.port,
            method,
            f"/v1/objects/{path}",
            body=json.dumps(document).encode() if document else b"",
            timeout=2.0,
        )
        return response.status, json.loads(response.body) if response.body else None

    async def _wait_for_store(self) -> None:
        """Waits until the store has no fault; a silent one would execute a write much later."""
        while self.store_mode != "up":
            await asyncio.sleep(0.05)

    async def close_zone(self, zone: str) -> None:
        """Writes the evacuation of a zone to the store."""
        self.closed_zones.add(zone)
        await self._wait_for_store()
        with contextlib.suppress(ExchangeError):
            await self.call_store("POST", "evacuations", {"metadata": {"name": zone}, "spec": {}})

    async def reopen_zone(self, zone: str) -> None:
        """Removes the evacuation of a zone from the store."""
        self.closed_zones.discard(zone)
        await self._wait_for_store()
        with contextlib.suppress(ExchangeError):
            await self.call_store("DELETE", f"evacuations/{zone}")

    async def close(self) -> None:
        """Closes the proxies of all links."""
        for task in tuple(self._tasks):
            task.cancel()
        for link in (*self.store_links.values(), *self.target_links.values()):
            await link.close()

    async def _responds_ok(self, endpoint: Endpoint, path: str) -> bool:
        try:
            response = await self.client.call(
                endpoint.host, endpoint.port, "GET", path, timeout=1.0
            )
        except ExchangeError:
            return False
        return response.status == 200

    async def is_ready(self, host: str) -> bool:
        """Whether the node of a host states that it is ready."""
        return await self._responds_ok(Endpoint(host, self.ports["ready"]), "/v1/ready")

    async def wait_until(self, description: str, condition: Callable) -> None:
        """Polls a condition until it is true.

        Raises:
            TimeoutError: it did not become true within `HANG_TIMEOUT_S`.
        """
        deadline = time.monotonic() + HANG_TIMEOUT_S
        while not await condition():
            if time.monotonic() > deadline:
                raise TimeoutError(f"{description}: not within {HANG_TIMEOUT_S:g} s")
            await asyncio.sleep(0.05)

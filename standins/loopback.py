"""A whole deployment on loopback: platform and target stand-ins, entry nodes, a release note."""

import dataclasses
import functools
import pathlib
import subprocess
import sys
from collections.abc import Sequence

from standins.processes import HOST, Processes, fetch_json, free_ports, settings_text, wait_until

START_SECONDS = 20.0


@dataclasses.dataclass(frozen=True)
class ServiceShape:
    """A service of the deployment.

    Attributes:
        name: service name.
        endpoints: number of targets.
        slots: slots of each.
        service_ms: mean service time of the stand-in.
    """

    name: str
    endpoints: int
    slots: int
    service_ms: float = 5.0


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Zones, number of nodes, and services."""

    zones: tuple[str, ...]
    nodes: int
    services: tuple[ServiceShape, ...]
    extra_settings: str = ""


class Loopback:
    """Processes and addresses of one deployment.

    Args:
        deployment: what to start.
        folder: for settings, notes and output.
    """

    def __init__(self, deployment: Deployment, folder: pathlib.Path) -> None:
        self.deployment = deployment
        self.folder = folder
        self.processes = Processes(folder)
        count = sum(service.endpoints for service in deployment.services)
        ports = free_ports(1 + count + 2 * deployment.nodes)
        self.platform_port = ports.pop()
        self.platform = f"{HOST}:{self.platform_port}"
        self.targets: dict[str, str] = {}
        self._zone_of: dict[str, str] = {}
        for service in deployment.services:
            for index in range(service.endpoints):
                name = f"{service.name}/{service.name}-{index:02d}"
                self.targets[name] = f"{HOST}:{ports.pop()}"
                self._zone_of[name] = deployment.zones[index % len(deployment.zones)]
        zones = deployment.zones
        self.seats = [
            (f"entry-{index:02d}", zones[index % len(zones)], ports.pop())
            for index in range(deployment.nodes)
        ]
        self.nodes = {name: f"{HOST}:{ports.pop()}" for name, _, _ in self.seats}

    def start(self) -> None:
        """Starts everything, publishes the first note and waits until all nodes serve."""
        self.start_platform()
        for service in self.deployment.services:
            self.start_targets(service)
        self.publish("start", self.first_note()).check_returncode()
        for name in self.nodes:
            self.start_node(name)
        self.wait_serving(self.nodes)

    def start_platform(self) -> None:
        """Starts the platform stand-in and waits until it answers."""
        self.processes.start("platform", "standins.platform", f"--port={self.platform_port}")
        wait_until("platform", START_SECONDS, lambda: fetch_json(self.platform, "/control"))

    def start_targets(self, service: ServiceShape, *options: str) -> None:
        """Starts the targets of one service in one process."""
        addresses = [self.targets[name] for name in self.targets_of(service.name)]
        ports = [f"--port={address.rpartition(':')[2]}" for address in addresses]
        self.processes.start(
            f"targets-{service.name}",
            "standins.target",
            *ports,
            f"--slots={service.slots}",
            f"--service_ms={service.service_ms}",
            *options,
        )
        wait_until(service.name, START_SECONDS, functools.partial(self.records, service.name))

    def start_node(self, name: str) -> None:
        """Starts an entry node."""
        port = int(self.nodes[name].rpartition(":")[2])
        text = settings_text(
            name, self.seats, port, self.platform_port, self.deployment.extra_settings
        )
        path = self.folder / f"{name}.ini"
        path.write_text(text)
        self.processes.start(name, "orioleloftd.main", f"--settings={path}")

    def wait_serving(self, names: Sequence[str]) -> None:
        """Waits until the nodes serve."""
        for name in names:
            wait_until(name, START_SECONDS, functools.partial(self.is_serving, name))

    def is_serving(self, name: str) -> bool:
        """Tells whether a node serves."""
        return self.status(name)["state"] == "serving"

    def status(self, name: str) -> dict:
        """Returns a node's status."""
        return fetch_json(self.nodes[name], "/_orioleloft/status")

    def records(self, service: str) -> list[dict]:
        """Returns what ran at each target of a service."""
        return fetch_json(self.targets[self.targets_of(service)[0]], "/_control/record")

    def set_targets(self, service: str, **changes: object) -> None:
        """Changes options of a service's target stand-in; see `standins.target`."""
        fetch_json(self.targets[self.targets_of(service)[0]], "/_control/set", changes)

    def targets_of(self, service: str) -> list[str]:
        """Returns the ids of a service's targets."""
        return [name for name in self.targets if name.partition("/")[0] == service]

    def runs_in(self, zone: str, service: str) -> list[dict]:
        """Returns the runs of a service's targets in one availability zone."""
        names = [name for name in self.targets_of(service) if self._zone_of[name] == zone]
        ports = {int(self.targets[name].rpartition(":")[2]) for name in names}
        listed = [record for record in self.records(service) if record["port"] in ports]
        return [run for record in listed for run in record["runs"]]

    def command(self, *words: str) -> subprocess.CompletedProcess:
        """Runs the operators' command."""
        return subprocess.run(
            [sys.executable, "-m", "orioleloft.main", f"--platform={self.platform}", *words],
            capture_output=True,
            text=True,
            check=False,
        )

    def publish(self, name: str, text: str) -> subprocess.CompletedProcess:
        """Publishes a note."""
        path = self.folder / f"{name}.note"
        path.write_text(text)
        return self.command("--operator=demo", "note", "publish", str(path))

    def first_note(self) -> str:
        """Returns the note that adds all zones, services and targets."""
        lines = ["[note]", "name = start", "base = 0", "author = demo"]
        for zone in self.deployment.zones:
            lines += [f"[zone {zone}]", "change = add", "region = demo", "state = open"]
        for service in self.deployment.services:
            lines += [f"[service {service.name}]", "change = add", f"slots = {service.slots}"]
        for target_id, address in self.targets.items():
            lines += [f"[target {target_id}]", "change = add", f"address = {address}"]
            lines += [f"zone = {self._zone_of[target_id]}", "state = serving"]
        return "\n".join(lines) + "\n"

    def zone_note(self, name: str, base: int, zone: str, state: str) -> str:
        """Returns a note that opens or closes a zone."""
        return "\n".join(
            ["[note]", f"name = {name}", f"base = {base}", "author = demo"]
            + [f"[zone {zone}]", "change = change", f"state = {state}", ""]
        )

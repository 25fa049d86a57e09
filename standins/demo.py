"""Demonstration of a complete deployment on loopback: `python -m standins.demo`.

A store, targets of two services in three availability zones and five entry nodes run as separate
processes. Release notes are published, requests are sent, a zone is closed, a tenant gets a key and
a node is stopped gracefully. Exits with 0 if all checks pass.
"""

import http.client
import itertools
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
from collections.abc import Callable

from orioleloft_adapter.store import CONFIG_KIND, CONFIG_OBJECT
from standins.processes import (
    HOST,
    Processes,
    fetch_json,
    free_ports,
    killing_at_exit,
    publish,
    wait_until,
    write_node_settings,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = ("za", "zb", "zc")
NODE_COUNT = 5
REQUESTS_PER_CHECK = 60
CONFIG_PATH = f"/v1/objects/{CONFIG_KIND}/{CONFIG_OBJECT}"
START_TIMEOUT_S = 20.0
GRACE_PERIOD_S = 3.0
START_NOTE = ROOT / "examples" / "start.ini"
CLOSE_ZONE_NOTE = ROOT / "examples" / "zone-out.ini"
# Tenant that the configuration gets in the course of the demonstration, and its API key.
DEMO_TENANT, DEMO_KEY = "team-a", "demo-key"
LOOKUPS_HOST, LEDGER_HOST = "lookups.example", "ledger.example"

_request_ids = itertools.count(1)


class Deployment:
    """Processes and addresses of the demonstration.

    Args:
        folder: directory for the settings and logs of the processes.
        processes: starts the processes.
    """

    def __init__(self, folder: pathlib.Path, processes: Processes) -> None:
        self.folder = folder
        self.processes = processes
        self.key = ""
        ports = free_ports(5)
        self.store = f"{HOST}:{ports[0]}"
        self.ports = dict(zip(("front", "ready", "control", "directory"), ports[1:], strict=True))
        self.hosts = [f"127.0.1.{index + 1}" for index in range(NODE_COUNT)]

    def start(self) -> None:
        """Starts the store, targets and nodes, and waits until all nodes are ready.

        Raises:
            TimeoutError: the store or a node was not ready within `START_TIMEOUT_S`.
        """
        port = self.store.rpartition(":")[2]
        self.processes.start("store", "-m", "standins.store", f"--port={port}")
        wait_until("store", START_TIMEOUT_S, lambda: fetch_json(self.store, "/control"))
        (self.folder / "orioleloft.ini").write_text(
            f"[store]\naddress = {self.store}\noperator = demo\n"
        )
        publish(self.folder, START_NOTE)
        for service, count in (("availability", 6), ("ledger", 4)):
            self.processes.start(
                service,
                "-m",
                "standins.target",
                f"--store={self.store}",
                f"--service={service}",
                f"--count={count}",
                f"--zones={','.join(ZONES)}",
            )
        for index in range(NODE_COUNT):
            self._start_node(index)
        for host in self.hosts:
            wait_until(host, START_TIMEOUT_S, lambda host=host: self.is_ready(host))

    def _start_node(self, index: int) -> None:
        host, zone = self.hosts[index], ZONES[index % len(ZONES)]
        path = write_node_settings(
            self.folder,
            f"entry-{index}",
            host=host,
            ports=self.ports,
            zone=zone,
            store=self.store,
            seeds=[f"{self.hosts[0]}:{self.ports['control']}"],
            grace_period=GRACE_PERIOD_S,
            is_fleet_bootstrap=True,
        )
        self.processes.start(f"entry-{index}", "-m", "orioleloftd.main", f"--settings={path}")

    def is_ready(self, host: str) -> bool:
        """Whether a node reports that it is ready, which includes targets of all zones."""
        connection = http.client.HTTPConnection(host, self.ports["ready"], timeout=2)
        connection.request("GET", "/v1/ready")
        return connection.getresponse().status == 200

    def node_addresses(self, zone: str) -> list[str]:
        """Returns the entry addresses that the directory gives to callers in a zone."""
        directory = f"{self.hosts[-1]}:{self.ports['directory']}"
        return fetch_json(directory, f"/v1/lookup?name={LOOKUPS_HOST}&zone={zone}")["addresses"]

    def send_request(self, address: str, method: str, host: str) -> int:
        """Sends a request, up to 8 times while the status is 503, as 503 means "not executed".

        Returns:
            The last status.
        """
        body = b"x" * 100 if method == "POST" else None
        for _ in range(8):
            node, _, port = address.rpartition(":")
            connection = http.client.HTTPConnection(node, int(port), timeout=5)
            headers = {
                "Host": host,
                "X-Request-Id": f"demo-{next(_request_ids)}",
                "X-Deadline-Ms": "4000",
                **({"Authorization": f"Token {self.key}"} if self.key else {}),
            }
            connection.request(method, "/api/item", body=body, headers=headers)
            response = connection.getresponse()
            response.read()
            if response.status != 503:
                break
        return response.status

    def add_tenant(self) -> None:
        """Writes a version of the configuration that has a tenant, as other programs do."""
        spec = fetch_json(self.store, CONFIG_PATH)["spec"]
        spec["version"] = f"r{int(spec['version'][1:]) + 1}"
        spec["tenants"] = {"columns": ["name", "api_keys"], "rows": [[DEMO_TENANT, [DEMO_KEY]]]}
        raw_object = {"kind": CONFIG_KIND, "name": CONFIG_OBJECT, "spec": json.dumps(spec)}
        fetch_json(self.store, "/control", {"raw_object": raw_object})

    def runs(self, service: str) -> list[dict]:
        """Returns the requests that the targets of a service have started to run."""
        ports = self.processes.log(service).splitlines()[0].split()[1:]
        return [run for port in ports for run in fetch_json(f"{HOST}:{port}", "/control/record")]


def _print_check_result(check: str, result: object, has_passed: bool) -> bool:
    print(f"{check:<58} {result!s:<32} {'ok' if has_passed else 'FAILED'}")
    return has_passed


def _count_successes(statuses: list[int]) -> str:
    return f"{statuses.count(200)}/{len(statuses)}"


def _run_in_threads(send: Callable[[int], int], count: int) -> list[int]:
    statuses: list[int] = []
    threads = [
        threading.Thread(target=lambda index=index: statuses.append(send(index)))
        for index in range(count)
    ]
    for batch in range(0, count, 6):
        for thread in threads[batch : batch + 6]:
            thread.start()
        for thread in threads[batch : batch + 6]:
            thread.join()
    return statuses


def _run_checks(deployment: Deployment) -> bool:
    node_addresses = [f"{host}:{deployment.ports['front']}" for host in deployment.hosts]
    lookups = _run_in_threads(
        lambda i: deployment.send_request(node_addresses[i % NODE_COUNT], "GET", LOOKUPS_HOST),
        REQUESTS_PER_CHECK,
    )
    has_passed = _print_check_result(
        "look-ups through all nodes",
        _count_successes(lookups),
        lookups.count(200) == REQUESTS_PER_CHECK,
    )
    holds = _run_in_threads(
        lambda i: deployment.send_request(node_addresses[i % NODE_COUNT], "POST", LEDGER_HOST),
        REQUESTS_PER_CHECK,
    )
    has_passed &= _print_check_result(
        "holds through all nodes", _count_successes(holds), holds.count(200) == REQUESTS_PER_CHECK
    )
    executed_ids = [run["request_id"] for run in deployment.runs("ledger")]
    has_passed &= _print_check_result(
        "each hold ran once",
        f"{len(set(executed_ids))}/{len(executed_ids)}",
        len(set(executed_ids)) == len(executed_ids),
    )
    found_addresses = deployment.node_addresses("za")
    has_passed &= _print_check_result(
        "entry addresses for a caller in za", len(found_addresses), len(found_addresses) == 2
    )
    has_passed &= _check_closed_zone(deployment, node_addresses)
    has_passed &= _check_tenant(deployment, node_addresses)
    has_passed &= _check_graceful_stop(deployment, node_addresses)
    return has_passed


def _check_closed_zone(deployment: Deployment, node_addresses: list[str]) -> bool:
    publish(deployment.folder, CLOSE_ZONE_NOTE)
    # Closing a zone must take effect within the operators' bound of 5 s.
    threading.Event().wait(5.0)
    earlier_ids = {run["request_id"] for run in deployment.runs("availability")}
    statuses = _run_in_threads(
        lambda i: deployment.send_request(node_addresses[i % NODE_COUNT], "GET", LOOKUPS_HOST), 30
    )
    used_targets = {
        run["target"]
        for run in deployment.runs("availability")
        if run["request_id"] not in earlier_ids
    }
    closed_targets = {f"availability-{index:02d}" for index in range(6) if ZONES[index % 3] == "zb"}
    has_passed = _print_check_result(
        "look-ups with zone zb closed", _count_successes(statuses), statuses.count(200) == 30
    )
    return has_passed & _print_check_result(
        "targets used in zone zb",
        len(used_targets & closed_targets),
        not used_targets & closed_targets,
    )


def _check_tenant(deployment: Deployment, node_addresses: list[str]) -> bool:
    deployment.add_tenant()
    # A version of the configuration must be in force within the operators' bound of 2.5 s.
    threading.Event().wait(2.5)
    statuses = [deployment.send_request(each, "GET", LOOKUPS_HOST) for each in node_addresses]
    has_passed = _print_check_result(
        "look-ups without the key of a tenant", statuses, set(statuses) == {401}
    )
    deployment.key = DEMO_KEY
    statuses = [deployment.send_request(each, "GET", LOOKUPS_HOST) for each in node_addresses]
    has_passed &= _print_check_result(
        "look-ups with its key", _count_successes(statuses), set(statuses) == {200}
    )
    identities = [run["identity"] for run in deployment.runs("availability") if run["identity"]]
    return has_passed & _print_check_result(
        "tenant at the targets",
        identities[0]["X-Tenant"] if identities else None,
        bool(identities) and all(each == {"X-Tenant": DEMO_TENANT} for each in identities),
    )


def _check_graceful_stop(deployment: Deployment, node_addresses: list[str]) -> bool:
    stop_timer = threading.Timer(
        0.1, lambda: deployment.processes.signal("entry-0", signal.SIGTERM)
    )
    stop_timer.start()
    statuses = _run_in_threads(
        lambda _: deployment.send_request(node_addresses[0], "GET", LOOKUPS_HOST), 30
    )
    stop_timer.join()
    has_passed = _print_check_result(
        "look-ups through a node that is stopping",
        _count_successes(statuses),
        statuses.count(200) == 30,
    )
    code = deployment.processes.wait("entry-0", START_TIMEOUT_S)
    has_passed &= _print_check_result("exit code of the stopped node", code, code == 0)
    found_addresses = deployment.node_addresses("za")
    return has_passed & _print_check_result(
        "entry addresses without the stopped node",
        len(found_addresses),
        node_addresses[0] not in found_addresses,
    )


def main() -> int:
    """Runs the demonstration; prints the logs of the processes if it cannot be completed.

    Returns:
        The exit code, 0 if all checks passed, else 1.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with killing_at_exit(Processes(folder)) as processes:
            deployment = Deployment(folder, processes)
            try:
                deployment.start()
                return 0 if _run_checks(deployment) else 1
            except (TimeoutError, OSError, json.JSONDecodeError, subprocess.SubprocessError) as e:
                print(f"the demonstration failed: {e}", file=sys.stderr)
                for log in sorted(folder.glob("*.log")):
                    print(f"== {log.name}", log.read_text()[-2000:], sep="\n", file=sys.stderr)
                return 1


if __name__ == "__main__":
    sys.exit(main())

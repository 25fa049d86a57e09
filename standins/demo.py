"""A whole deployment on loopback: `python -m standins.demo`; exits 0 if all checks hold.

A store, targets of two services in three availability zones and five entry nodes run as separate
processes. Release notes are published, requests are sent, a zone is taken out, a node is stopped.
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

from standins.processes import (
    HOST,
    Processes,
    closing,
    fetch_json,
    free_ports,
    publish,
    wait_until,
    write_node_settings,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = ("za", "zb", "zc")
NODES = 5
REQUESTS = 60
START_S = 20.0
GRACE_S = 3.0
START_NOTE = ROOT / "examples" / "start.ini"
ZONE_NOTE = ROOT / "examples" / "zone-out.ini"
LOOKUPS, LEDGER = "lookups.example", "ledger.example"

_ids = itertools.count(1)


class Deployment:
    """Processes and addresses of the demonstration."""

    def __init__(self, folder: pathlib.Path, processes: Processes) -> None:
        self.folder = folder
        self.processes = processes
        ports = free_ports(5)
        self.store = f"{HOST}:{ports[0]}"
        self.ports = dict(zip(("front", "ready", "control", "directory"), ports[1:], strict=True))
        self.hosts = [f"127.0.1.{index + 1}" for index in range(NODES)]

    def start(self) -> None:
        """Starts everything and waits until all nodes are ready."""
        port = self.store.rpartition(":")[2]
        self.processes.start("store", "-m", "standins.store", f"--port={port}")
        wait_until("store", START_S, lambda: fetch_json(self.store, "/control"))
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
        for index in range(NODES):
            self._start_node(index)
        for host in self.hosts:
            wait_until(host, START_S, lambda host=host: self.is_ready(host))

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
            grace_period=GRACE_S,
            is_first_start=True,
        )
        self.processes.start(f"entry-{index}", "-m", "orioleloftd.main", f"--settings={path}")

    def is_ready(self, host: str) -> bool:
        """Whether a node says that it is ready and knows targets of all zones."""
        connection = http.client.HTTPConnection(host, self.ports["ready"], timeout=2)
        connection.request("GET", "/v1/ready")
        return connection.getresponse().status == 200

    def addresses(self, zone: str) -> list[str]:
        """Asks a node for entry addresses."""
        directory = f"{self.hosts[-1]}:{self.ports['directory']}"
        return fetch_json(directory, f"/v1/lookup?name={LOOKUPS}&zone={zone}")["addresses"]

    def call(self, address: str, method: str, host: str) -> int:
        """Sends one request; returns its status, following refusals that promise "not run"."""
        body = b"x" * 100 if method == "POST" else None
        for _ in range(8):
            node, _, port = address.rpartition(":")
            connection = http.client.HTTPConnection(node, int(port), timeout=5)
            sent = {"Host": host, "X-Request-Id": f"demo-{next(_ids)}", "X-Deadline-Ms": "4000"}
            connection.request(method, "/api/item", body=body, headers=sent)
            answer = connection.getresponse()
            answer.read()
            if answer.status != 503:
                break
        return answer.status

    def runs(self, service: str) -> list[dict]:
        """Returns what ran at the targets of a service."""
        ports = self.processes.log(service).splitlines()[0].split()[1:]
        return [run for port in ports for run in fetch_json(f"{HOST}:{port}", "/control/record")]


def _row(what: str, seen: object, is_good: bool) -> bool:
    print(f"{what:<58} {seen!s:<32} {'ok' if is_good else 'FAILED'}")
    return is_good


def _count(results: list[int]) -> str:
    return f"{results.count(200)}/{len(results)}"


def _in_threads(work: Callable[[int], int], count: int) -> list[int]:
    results: list[int] = []
    threads = [
        threading.Thread(target=lambda index=index: results.append(work(index)))
        for index in range(count)
    ]
    for batch in range(0, count, 6):
        for thread in threads[batch : batch + 6]:
            thread.start()
        for thread in threads[batch : batch + 6]:
            thread.join()
    return results


def _check(deployment: Deployment) -> bool:
    addresses = [f"{host}:{deployment.ports['front']}" for host in deployment.hosts]
    lookups = _in_threads(lambda i: deployment.call(addresses[i % NODES], "GET", LOOKUPS), REQUESTS)
    good = _row("look-ups through all nodes", _count(lookups), lookups.count(200) == REQUESTS)
    holds = _in_threads(lambda i: deployment.call(addresses[i % NODES], "POST", LEDGER), REQUESTS)
    good &= _row("holds through all nodes", _count(holds), holds.count(200) == REQUESTS)
    ran = [run["request_id"] for run in deployment.runs("ledger")]
    good &= _row("each hold ran once", f"{len(set(ran))}/{len(ran)}", len(set(ran)) == len(ran))
    named = deployment.addresses("za")
    good &= _row("entry addresses for a caller in za", len(named), len(named) == 2)
    good &= _check_zone(deployment, addresses)
    good &= _check_stop(deployment, addresses)
    return good


def _check_zone(deployment: Deployment, addresses: list[str]) -> bool:
    publish(deployment.folder, ZONE_NOTE)
    # The operators' bound for a zone that is taken out is 5 s.
    threading.Event().wait(5.0)
    before = {run["request_id"] for run in deployment.runs("availability")}
    results = _in_threads(lambda i: deployment.call(addresses[i % NODES], "GET", LOOKUPS), 30)
    targets = {
        run["target"] for run in deployment.runs("availability") if run["request_id"] not in before
    }
    closed = {f"availability-{index:02d}" for index in range(6) if ZONES[index % 3] == "zb"}
    good = _row("look-ups with zone zb out", _count(results), results.count(200) == 30)
    return good & _row("targets used in zb", len(targets & closed), not targets & closed)


def _check_stop(deployment: Deployment, addresses: list[str]) -> bool:
    stopped = threading.Timer(0.1, lambda: deployment.processes.signal("entry-0", signal.SIGTERM))
    stopped.start()
    results = _in_threads(lambda _: deployment.call(addresses[0], "GET", LOOKUPS), 30)
    stopped.join()
    good = _row("look-ups at a node that is stopped", _count(results), results.count(200) == 30)
    code = deployment.processes.wait("entry-0", START_S)
    good &= _row("exit code of the stopped node", code, code == 0)
    named = deployment.addresses("za")
    return good & _row("it is named no more", len(named), addresses[0] not in named)


def main() -> int:
    """Runs the demonstration; returns the exit code."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with closing(Processes(folder)) as processes:
            deployment = Deployment(folder, processes)
            try:
                deployment.start()
                return 0 if _check(deployment) else 1
            except (TimeoutError, OSError, json.JSONDecodeError, subprocess.SubprocessError) as e:
                print(f"the demonstration failed: {e}", file=sys.stderr)
                for log in sorted(folder.glob("*.log")):
                    print(f"== {log.name}", log.read_text()[-2000:], sep="\n", file=sys.stderr)
                return 1


if __name__ == "__main__":
    sys.exit(main())

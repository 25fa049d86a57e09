"""Demonstration on loopback: `python -m standins.demo`; exits 0 if all checks hold."""

import concurrent.futures
import dataclasses
import http.client
import itertools
import json
import pathlib
import signal
import sys
import tempfile

from standins.loopback import Deployment, Loopback, ServiceShape
from standins.processes import closing

DEPLOYMENT = Deployment(
    zones=("gt-a", "gt-b", "gt-c"),
    nodes=5,
    services=(ServiceShape("availability", 6, 2), ServiceShape("ledger", 4, 2)),
    extra_settings="[stop]\naddress_lifetime = 2 s\nmargin = 1 s\n",
)
REQUESTS = 60
CALLERS = 6
STOP_SECONDS = 20.0


@dataclasses.dataclass(frozen=True)
class CallerAnswer:
    """What a caller saw."""

    status: int
    outcome: str
    code: str
    body: bytes


class Caller:
    """A caller that asks for addresses once and then uses them in turn."""

    _numbers = itertools.count(1)

    def __init__(self, address: str, zone: str) -> None:
        """Asks a node for entry addresses."""
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        connection.request("GET", f"/_orioleloft/addresses?zone={zone}")
        listed = json.loads(connection.getresponse().read())
        connection.close()
        self.entries = [(item["address"], item["key_prefix"]) for item in listed["addresses"]]

    def new_key(self, index: int) -> str:
        """Returns a key that the entry node with this index may run."""
        return f"{self.entries[index][1]}.{next(self._numbers)}"

    def call(
        self, index: int, method: str, service: str, key: str = "", **headers: str
    ) -> CallerAnswer:
        """Sends one request to an entry node."""
        host, _, port = self.entries[index % len(self.entries)][0].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        sent = {"Orioleloft-Service": service, "Orioleloft-Customer": "parish", **headers}
        if key:
            sent["Orioleloft-Key"] = key
        connection.request(method, "/demo", body=b"x" if method == "POST" else None, headers=sent)
        response = connection.getresponse()
        answer = CallerAnswer(
            response.status,
            response.getheader("Orioleloft-Outcome", ""),
            response.getheader("Orioleloft-Code", ""),
            response.read(),
        )
        connection.close()
        return answer


def _row(what: str, seen: str, is_good: bool) -> bool:
    print(f"{what:<58} {seen:<32} {'ok' if is_good else 'FAILED'}")
    return is_good


def _count(answers: list[CallerAnswer]) -> str:
    complete = sum(answer.outcome == "complete" for answer in answers)
    return f"{complete} of {len(answers)} complete"


def _is_complete(answers: list[CallerAnswer]) -> bool:
    return all(answer.status == 200 and answer.outcome == "complete" for answer in answers)


def _reads(caller: Caller, pool: concurrent.futures.Executor) -> bool:
    calls = [pool.submit(caller.call, index, "GET", "availability") for index in range(REQUESTS)]
    answers = [call.result() for call in calls]
    return _row("reads through all entry nodes", _count(answers), _is_complete(answers))


def run(folder: pathlib.Path) -> bool:
    """Runs the demonstration; returns whether all checks held."""
    loopback = Loopback(DEPLOYMENT, folder)
    with closing(loopback.processes), concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        loopback.start()
        listed = loopback.command("note", "list")
        results = [_row("note published", listed.stdout.strip().splitlines()[-1][:32], True)]
        caller = Caller(next(iter(loopback.nodes.values())), "gt-b")
        results.append(_reads(caller, pool))
        for name in loopback.nodes:
            loopback.processes.signal(name, signal.SIGTERM)
        codes = [loopback.processes.wait(name, STOP_SECONDS) for name in loopback.nodes]
        results.append(_row("graceful stop of all nodes, exit codes", str(codes), not any(codes)))
    return all(results)


def main() -> int:
    """Runs the demonstration in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        return 0 if run(pathlib.Path(folder)) else 1


if __name__ == "__main__":
    sys.exit(main())

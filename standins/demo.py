"""Demonstration on loopback: `python -m standins.demo`; exits 0 if all checks hold."""

import collections
import concurrent.futures
import dataclasses
import functools
import http.client
import itertools
import json
import pathlib
import signal
import sys
import tempfile

from standins.loopback import Deployment, Loopback, ServiceShape
from standins.processes import closing, wait_until

DEPLOYMENT = Deployment(
    zones=("gt-a", "gt-b", "gt-c"),
    nodes=5,
    services=(ServiceShape("availability", 6, 2), ServiceShape("ledger", 4, 2)),
    extra_settings="[stop]\naddress_lifetime = 2 s\nmargin = 1 s\n",
)
REQUESTS = 60
CALLERS = 6
STOP_SECONDS = 20.0
READY_SECONDS = 20.0


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
        return f"{self.entries[index][1]}{next(self._numbers)}"

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


def _spread(pool: concurrent.futures.Executor, call, count: int) -> list[CallerAnswer]:
    return [each.result() for each in [pool.submit(call, index) for index in range(count)]]


def _writes(caller: Caller, pool: concurrent.futures.Executor) -> list[bool]:
    keys = [caller.new_key(index % len(caller.entries)) for index in range(REQUESTS)]

    def first(index: int) -> CallerAnswer:
        return caller.call(index, "POST", "ledger", keys[index])

    def again(index: int) -> CallerAnswer:
        return caller.call(index + 1, "POST", "ledger", keys[index])

    answers, resent = _spread(pool, first, REQUESTS), _spread(pool, again, REQUESTS)
    is_same = all(
        (one.status, one.body) == (other.status, other.body)
        for one, other in zip(answers, resent, strict=True)
    )
    return [
        _row("non-idempotent requests with keys", _count(answers), _is_complete(answers)),
        _row("the same keys sent again to other nodes", _count(resent), is_same),
    ]


def _runs(loopback: Loopback, service: str) -> list[dict]:
    return [run for record in loopback.records(service) for run in record["runs"]]


def _oracle(loopback: Loopback) -> bool:
    keys = collections.Counter(run["key"] for run in _runs(loopback, "ledger") if run["key"])
    seen = f"{len(keys)} keys, at most {max(keys.values())} run each"
    return _row("runs that the targets recorded", seen, max(keys.values()) == 1)


def _stop_one(loopback: Loopback, caller: Caller, pool: concurrent.futures.Executor) -> bool:
    name = next(iter(loopback.nodes))
    loopback.processes.signal(name, signal.SIGTERM)
    answers = _spread(pool, lambda index: caller.call(index, "GET", "availability"), REQUESTS)
    code = loopback.processes.wait(name, STOP_SECONDS)
    is_good = code == 0 and _is_complete(answers)
    return _row("graceful stop of one node under load", _count(answers), is_good)


def _commands(loopback: Loopback) -> list[bool]:
    nodes = f"--nodes={','.join(loopback.nodes.values())}"
    results = []
    for words in (["note", "list"], ["audit"], [nodes, "status"]):
        done = loopback.command(*words)
        lines = len(done.stdout.splitlines())
        name = " ".join(["orioleloft", *(word for word in words if word != nodes)])
        results.append(_row(name, f"exit {done.returncode}, {lines} lines", lines > 0))
    return results


def run(folder: pathlib.Path) -> bool:
    """Runs the demonstration; returns whether all checks held."""
    loopback = Loopback(DEPLOYMENT, folder)
    with closing(loopback.processes), concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        loopback.start()
        caller = Caller(next(iter(loopback.nodes.values())), "gt-b")
        for service in DEPLOYMENT.services:
            wait_until(
                f"targets of {service.name}",
                READY_SECONDS,
                functools.partial(_is_served, caller, service.name),
            )
        results = _commands(loopback)
        reads = _spread(pool, lambda index: caller.call(index, "GET", "availability"), REQUESTS)
        results.append(_row("reads through all nodes", _count(reads), _is_complete(reads)))
        results += _writes(caller, pool)
        results.append(_oracle(loopback))
        results.append(_stop_one(loopback, caller, pool))
        left = list(loopback.nodes)[1:]
        for name in left:
            loopback.processes.signal(name, signal.SIGTERM)
        codes = [loopback.processes.wait(name, STOP_SECONDS) for name in left]
        results.append(_row("graceful stop of the others, exit codes", str(codes), not any(codes)))
    return all(results)


def _is_served(caller: Caller, service: str) -> bool:
    answers = [caller.call(index, "GET", service) for index in range(len(caller.entries))]
    return _is_complete(answers)


def main() -> int:
    """Runs the demonstration in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        return 0 if run(pathlib.Path(folder)) else 1


if __name__ == "__main__":
    sys.exit(main())

"""Cost that a node adds to a call, with real processes on loopback: `python -m bench.call`."""

import concurrent.futures
import http.client
import os
import pathlib
import statistics
import tempfile
import time
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from bench.figures import Figure
from bench.fleet import new_histogram
from standins.loopback import Deployment, Loopback, ServiceShape
from standins.processes import closing, wait_until

SERVICE = "echo"
ENTRY = "entry-00"
TARGETS = 8
# One node with one seat: it grants to itself, so no message between nodes is in these figures.
DEPLOYMENT = Deployment(("a-1",), 1, (ServiceShape(SERVICE, TARGETS, 32, 0.0),))
WARM_UP_CALLS = 600
ROUNDS = 8
CALLS_A_ROUND = 250
IDLE_SECONDS = 3.0
LOAD_SECONDS = 5.0
CALLERS = 16
READY_SECONDS = 30.0
HEADERS = {"Orioleloft-Service": SERVICE, "Orioleloft-Customer": "bench"}
MICROS = 1e6


def figures() -> list[Figure]:
    """Starts a deployment and measures calls with and without the node in turn."""
    with tempfile.TemporaryDirectory() as folder:
        loopback = Loopback(DEPLOYMENT, pathlib.Path(folder))
        with closing(loopback.processes):
            loopback.start()
            wait_until("grants", READY_SECONDS, lambda: _is_served(loopback.nodes[ENTRY]))
            return [*_idle(loopback), *_latency(loopback), *_full_load(loopback)]


def _idle(loopback: Loopback) -> list[Figure]:
    """Processor time and memory of the node process without calls."""
    pid = loopback.processes.pid(ENTRY)
    before = cpu_seconds(pid)
    time.sleep(IDLE_SECONDS)
    used = (cpu_seconds(pid) - before) / IDLE_SECONDS
    return [
        Figure("call.idle.cpu", used * 1000, "ms/s"),
        Figure("call.idle.memory", resident_kib(pid) / 1024, "MiB"),
    ]


def _latency(loopback: Loopback) -> list[Figure]:
    """One caller at a time, rounds through the node and to a target in turn."""
    node, target = loopback.nodes[ENTRY], loopback.targets[loopback.targets_of(SERVICE)[0]]
    for address in (node, target):
        _calls(address, WARM_UP_CALLS, new_histogram())
    through, direct = new_histogram(), new_histogram()
    node_pid = loopback.processes.pid(ENTRY)
    target_pid = loopback.processes.pid(f"targets-{SERVICE}")
    node_cpu, target_cpu = [], []
    for _ in range(ROUNDS):
        node_cpu.append(_micros_a_call(node_pid, lambda: _calls(node, CALLS_A_ROUND, through)))
        target_cpu.append(_micros_a_call(target_pid, lambda: _calls(target, CALLS_A_ROUND, direct)))
    made = [_latency_figure(percentile, through, direct) for percentile in (50.0, 99.0)]
    cpu, baseline = statistics.mean(node_cpu), statistics.mean(target_cpu)
    return [*made, Figure("call.cpu", cpu, "us", baseline)]


def _latency_figure(percentile: float, through: HdrHistogram, direct: HdrHistogram) -> Figure:
    value = through.get_value_at_percentile(percentile)
    return Figure(
        f"call.p{percentile:g}", value, "us", float(direct.get_value_at_percentile(percentile))
    )


def _full_load(loopback: Loopback) -> list[Figure]:
    """Calls of many callers at once; the baseline goes to the targets directly."""
    pid = loopback.processes.pid(ENTRY)
    targets = [loopback.targets[name] for name in loopback.targets_of(SERVICE)]
    before = cpu_seconds(pid)
    through = _count_calls([loopback.nodes[ENTRY]])
    used = cpu_seconds(pid) - before
    direct = _count_calls(targets)
    return [
        Figure("call.full_load", through / LOAD_SECONDS, "calls/s", direct / LOAD_SECONDS),
        Figure("call.full_load.cpu", used / LOAD_SECONDS * 100, "%"),
        Figure("call.full_load.per_core", through / used, "calls/s"),
    ]


def _count_calls(addresses: list[str]) -> int:
    end = time.monotonic() + LOAD_SECONDS

    def work(index: int) -> int:
        connection = _connect(addresses[index % len(addresses)])
        done = 0
        while time.monotonic() < end:
            done += _call(connection)
        connection.close()
        return done

    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        return sum(pool.map(work, range(CALLERS)))


def _calls(address: str, count: int, histogram: HdrHistogram) -> None:
    connection = _connect(address)
    for _ in range(count):
        begin = time.perf_counter()
        if not _call(connection):
            raise RuntimeError(f"{address} did not answer a call with status 200.")
        histogram.record_value(max(1, round((time.perf_counter() - begin) * MICROS)))
    connection.close()


def _is_served(address: str) -> bool:
    connection = _connect(address)
    try:
        return _call(connection)
    finally:
        connection.close()


def _connect(address: str) -> http.client.HTTPConnection:
    host, _, port = address.rpartition(":")
    return http.client.HTTPConnection(host, int(port), timeout=10)


def _call(connection: http.client.HTTPConnection) -> bool:
    connection.request("GET", "/bench", headers=HEADERS)
    response = connection.getresponse()
    response.read()
    return response.status == http.client.OK


def _micros_a_call(pid: int, run: Callable[[], None]) -> float:
    before = cpu_seconds(pid)
    run()
    return (cpu_seconds(pid) - before) / CALLS_A_ROUND * MICROS


def cpu_seconds(pid: int) -> float:
    """Returns user and system time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_kib(pid: int) -> int:
    """Returns the resident memory of a process in KiB."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS:"))


def main() -> None:
    print(f"# load average {os.getloadavg()[0]:.2f}")
    for figure in figures():
        print(figure.line(), flush=True)


if __name__ == "__main__":
    main()

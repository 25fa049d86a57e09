"""Stand-in for targets: `python -m standins.target --port 9001 --port 9002 ...`.

Each port is one target of its own. A request may carry headers that steer its run:
`Service-Ms`, `Answer-Bytes`, `Cut-Body` (bytes after which the body ends), `Crash-Target`.
`GET /_control/record` returns what ran, `POST /_control/set` changes options while it runs.
"""

import asyncio
import dataclasses
import json
import os
import random
import socket
import struct
import time
from collections.abc import Sequence
from typing import Any

from absl import app, flags
from tornado import httpserver, httputil, netutil

from orioleloft_core.request import LoadReport, Warmth
from orioleloftd import targetprotocol

CONTROL_PATH = "/_control/"
CALL_ID = "Call-Id"
CRASH_EXIT_CODE = 70
# With linger time 0, closing resets the connection as the end of a process does.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass
class Options:
    """Behaviour of a target; durations are in milliseconds.

    Attributes:
        slots: requests that run at once.
        queue: requests that wait for a slot; more are shed.
        service_ms: mean service time, of which half is fixed and half exponential.
        straggler_share: share of requests that take `straggler_factor` times as long.
        straggler_factor: see `straggler_share`.
        slow_factor: factor on every service time, for a target that is slow as a whole.
        cold_answers: answers after a start until the target is warm.
        cold_factor: factor on service times while cold.
        cold_limit: requests at a time, waiting ones included, that a cold target survives.
        report_lag_ms: age up to which a load report is repeated.
        lie_in_flight: number that reports state instead of the true one; -1 for the true one.
        lie_state: state that reports state instead of the true one; empty for the true one.
        is_draining: new requests are shed and reports state `draining`.
        crash: `exit` ends the process, `restart` and `down` end this port's target only.
        restart_ms: time until a crashed target listens again, for `restart`.
    """

    slots: int = 2
    queue: int = 8
    service_ms: float = 5.0
    straggler_share: float = 0.0
    straggler_factor: float = 10.0
    slow_factor: float = 1.0
    cold_answers: int = 0
    cold_factor: float = 4.0
    cold_limit: int = 2
    report_lag_ms: float = 0.0
    lie_in_flight: int = -1
    lie_state: str = ""
    is_draining: bool = False
    crash: str = "exit"
    restart_ms: float = 500.0


@dataclasses.dataclass
class Run:
    """One request that was started; times are wall clock seconds."""

    request_id: str
    call_id: str
    key: str
    method: str
    path: str
    incarnation: str
    started: float
    ended: float = 0.0
    ending: str = "running"


class Target:
    """One target on one port.

    Args:
        port: port on the loopback address; 0 takes a free one.
        options: behaviour; changed in place by the control path.
        seed: seed of service times and incarnations.
    """

    def __init__(self, port: int, options: Options, seed: int) -> None:
        self.port = port
        self.options = options
        self.runs: list[Run] = []
        self.shed = 0
        self.crashes = 0
        self.max_in_flight = 0
        self.connections_opened = 0
        self._rng = random.Random(f"{seed} {port}")
        self._server: httpserver.HTTPServer | None = None
        self._tasks: set[asyncio.Task] = set()
        self._streams: set[Any] = set()
        self._begin()

    def _begin(self) -> None:
        self.incarnation = f"{self._rng.getrandbits(64):016x}"
        self._slots = asyncio.Semaphore(self.options.slots)
        self._answers = 0
        self._report: tuple[float, str] | None = None

    @property
    def in_flight(self) -> int:
        """Requests that run or wait for a slot."""
        return len(self._tasks)

    @property
    def is_cold(self) -> bool:
        """Whether the target has not given enough answers since its start."""
        return self._answers < self.options.cold_answers

    def start(self) -> None:
        """Listens on the port."""
        sockets = netutil.bind_sockets(self.port, "127.0.0.1")
        self.port = sockets[0].getsockname()[1]
        self._server = _Server(self._handle, self)
        self._server.add_sockets(sockets)

    def opened(self, stream: Any) -> None:
        """Counts a connection."""
        self.connections_opened += 1
        self._streams = {known for known in self._streams if not known.closed()}
        self._streams.add(stream)

    def stop(self) -> None:
        """Resets all connections and closes the port."""
        if self._server is not None:
            self._server.stop()
        for stream in self._streams:
            if not stream.closed():
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
                stream.close()
        for task in list(self._tasks):
            task.cancel()
        self._streams.clear()

    def crash(self) -> None:
        """Ends the target without notice."""
        self.crashes += 1
        if self.options.crash == "exit":
            os._exit(CRASH_EXIT_CODE)
        for run in self.runs:
            if run.ending == "running":
                self._end(run, "crashed")
        self.stop()
        if self.options.crash == "restart":
            loop = asyncio.get_running_loop()
            loop.call_later(self.options.restart_ms / 1000, self._restart)

    def _restart(self) -> None:
        self._begin()
        self.start()

    def go_cold(self) -> None:
        """Loses warmth inside the same process."""
        self._answers = 0

    def record(self) -> dict[str, Any]:
        """Returns what ran, for an oracle."""
        return {
            "port": self.port,
            "incarnation": self.incarnation,
            "in_flight": self.in_flight,
            "max_in_flight": self.max_in_flight,
            "shed": self.shed,
            "crashes": self.crashes,
            "connections_opened": self.connections_opened,
            "runs": [dataclasses.asdict(run) for run in self.runs],
        }

    def _handle(self, request: httputil.HTTPServerRequest) -> None:
        if request.path.startswith(CONTROL_PATH):
            _answer(request, 200, json.dumps(control(request)).encode())
            return
        if request.path == targetprotocol.LOAD_PATH:
            _answer(request, 200, b"", self._headers())
            return
        if self.options.is_draining or self.in_flight >= self.options.slots + self.options.queue:
            self.shed += 1
            shed = {targetprotocol.LOAD_SHED: targetprotocol.NOT_STARTED}
            _answer(request, targetprotocol.SHED_STATUS, b"", self._headers() | shed)
            return
        task = asyncio.get_running_loop().create_task(self._serve(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        request.connection.set_close_callback(task.cancel)
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        if "Crash-Target" in request.headers or (
            self.is_cold and self.in_flight > self.options.cold_limit
        ):
            self._begin_run(request)
            self.crash()

    async def _serve(self, request: httputil.HTTPServerRequest) -> None:
        timeout_ms = float(request.headers.get(targetprotocol.DEADLINE_MS, "60000"))
        run: Run | None = None
        try:
            async with asyncio.timeout(timeout_ms / 1000), self._slots:
                run = self._begin_run(request)
                await asyncio.sleep(self._service_seconds(request))
            self._end(run, "done")
        except TimeoutError:
            if run is not None:
                self._end(run, "deadline")
            _answer(request, 504, b"", self._headers())
            return
        except asyncio.CancelledError:
            if run is not None and run.ending == "running":
                self._end(run, "cancelled")
            raise
        self._answers += 1
        self._finish(request, run)

    def _begin_run(self, request: httputil.HTTPServerRequest) -> Run:
        headers = request.headers
        run = Run(
            request_id=headers.get(targetprotocol.REQUEST_ID, ""),
            call_id=headers.get(CALL_ID, ""),
            key=headers.get(targetprotocol.KEY, ""),
            method=request.method,
            path=request.path,
            incarnation=self.incarnation,
            started=time.time(),
        )
        self.runs.append(run)
        return run

    def _end(self, run: Run, ending: str) -> None:
        run.ending = ending
        run.ended = time.time()

    def _service_seconds(self, request: httputil.HTTPServerRequest) -> float:
        options = self.options
        mean = float(request.headers.get("Service-Ms", options.service_ms))
        ms = mean / 2 + self._rng.expovariate(1.0) * mean / 2
        if self._rng.random() < options.straggler_share:
            ms *= options.straggler_factor
        if self.is_cold:
            ms *= options.cold_factor
        return ms * options.slow_factor / 1000

    def _finish(self, request: httputil.HTTPServerRequest, run: Run) -> None:
        size = int(request.headers.get("Answer-Bytes", "0"))
        echo = {"target": self.port, "request_id": run.request_id, "call_id": run.call_id}
        body = b"x" * size if size else json.dumps(echo).encode()
        cut = request.headers.get("Cut-Body")
        if cut is None:
            _answer(request, 200, body, self._headers())
            return
        self._end(run, "cut")
        stream = request.connection.stream
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        stream.write(head + body[: int(cut)])
        stream.close()

    def _headers(self) -> dict[str, str]:
        return {targetprotocol.LOAD_REPORT: self._report_now()}

    def _report_now(self) -> str:
        now = time.monotonic()
        if self._report is not None and now - self._report[0] < self.options.report_lag_ms / 1000:
            return self._report[1]
        state = Warmth.COLD if self.is_cold else Warmth.WARM
        if self.options.is_draining:
            state = Warmth.DRAINING
        lie = self.options.lie_in_flight
        report = LoadReport(
            incarnation=self.incarnation,
            in_flight=self.in_flight if lie < 0 else lie,
            warmth=Warmth(self.options.lie_state or state),
        )
        self._report = (now, targetprotocol.write_report(report))
        return self._report[1]


class _Server(httpserver.HTTPServer):
    """An HTTP server that knows its connections, so that a crash can reset them."""

    def initialize(self, handle: Any, target: Target) -> None:
        super().initialize(handle)
        self._target = target

    def handle_stream(self, stream: Any, address: tuple) -> None:
        stream.set_nodelay(True)
        self._target.opened(stream)
        super().handle_stream(stream, address)


TARGETS: list[Target] = []


def control(request: httputil.HTTPServerRequest) -> Any:
    """Runs a control command for the targets of this process.

    `set` takes a JSON object of options and, optionally, `port` and `do`, which is `crash`,
    `cold` or `forget`.
    """
    if request.path == CONTROL_PATH + "record":
        return [target.record() for target in TARGETS]
    changes = json.loads(request.body)
    port = changes.pop("port", None)
    action = changes.pop("do", "")
    names = {field.name for field in dataclasses.fields(Options)}
    for target in TARGETS:
        if port in (None, target.port):
            for name in names & changes.keys():
                setattr(target.options, name, changes[name])
            _act(target, action)
    return {"unknown": sorted(changes.keys() - names)}


def _act(target: Target, action: str) -> None:
    match action:
        case "crash":
            asyncio.get_running_loop().call_soon(target.crash)
        case "cold":
            target.go_cold()
        case "forget":
            target.runs.clear()
            target.max_in_flight = 0


def _answer(
    request: httputil.HTTPServerRequest,
    status: int,
    body: bytes,
    extra: dict[str, str] | None = None,
) -> None:
    headers = httputil.HTTPHeaders(extra or {})
    headers["Content-Length"] = str(len(body))
    if request.method == "HEAD":
        body = b""
    start_line = httputil.ResponseStartLine("HTTP/1.1", status, httputil.responses[status])
    request.connection.set_close_callback(None)
    request.connection.write_headers(start_line, headers, body)
    request.connection.finish()


_FLAGS = flags.FLAGS
_HELP = {
    line.split(":")[0].strip(): line.split(":", 1)[1].strip()
    for line in Options.__doc__.splitlines()
    if ": " in line
}


def define_flags() -> None:
    """Defines one flag for each option."""
    flags.DEFINE_multi_integer("port", [], "port of a target; may be given several times")
    flags.DEFINE_integer("seed", 1, "seed of service times and incarnations")
    kinds = {int: flags.DEFINE_integer, float: flags.DEFINE_float, str: flags.DEFINE_string}
    for field in dataclasses.fields(Options):
        define = flags.DEFINE_boolean if field.type is bool else kinds[field.type]
        define(field.name, field.default, _HELP.get(field.name, field.name))


async def serve(ports: Sequence[int], options: Options, seed: int) -> None:
    """Serves targets until the process ends; prints one line with the ports."""
    for port in ports:
        target = Target(port, dataclasses.replace(options), seed)
        target.start()
        TARGETS.append(target)
    print("listening", *(target.port for target in TARGETS), flush=True)
    await asyncio.Event().wait()


def main(argv: Sequence[str]) -> None:
    """Runs the stand-in with the flags' values."""
    del argv
    values = {field.name: _FLAGS[field.name].value for field in dataclasses.fields(Options)}
    asyncio.run(serve(_FLAGS.port, Options(**values), _FLAGS.seed))


if __name__ == "__main__":
    define_flags()
    app.run(main)

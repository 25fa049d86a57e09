"""Emulator of targets: `python -m standins.target --store HOST:PORT --service s --count 4`.

Each target has concurrency slots, a bounded queue, a service time with random slow requests and a
cold start, and registers itself in the platform's store. `GET /control/record` returns the requests
that it has started to run, `GET /control/arrivals` when requests and probes arrived.
`POST /control/behaviour` changes its behaviour, and any request to `/control/drain` makes it drain.
"""

import asyncio
import dataclasses
import json
import random
import sys
import time
import urllib.parse
from collections.abc import Callable, Sequence
from typing import Any

from absl import flags
from tornado import httpserver, httputil, iostream

from orioleloft_adapter import headers as wire
from orioleloft_adapter.store import TARGETS_KIND
from orioleloft_core.entrysettings import parse_endpoint
from orioleloftd.connections import ExchangeError, HttpClient

HEALTH_PATH = "/health"
RUNS_PATH = "/control/record"
# Upper bound of the delay of a delayed duplicate response, in seconds.
MAX_DUPLICATE_DELAY_S = 0.05
BEHAVIOUR_PATH = "/control/behaviour"
DRAIN_PATH = "/control/drain"
ARRIVALS_PATH = "/control/arrivals"


@dataclasses.dataclass
class Behaviour:
    """Settings of a target, which can change while it runs.

    The names of the fields are the keys of the JSON sent to `BEHAVIOUR_PATH`. Shares are
    probabilities per request.

    Attributes:
        slots: requests that run concurrently; fixed at the start, later only reported.
        queue: requests that wait for a slot; further ones are refused with 503.
        work_s: mean service time, in seconds.
        pace: slowdown factor on the service time; 1.0 is the usual speed, higher is slower.
        slow_share: share of requests whose service time is also multiplied by `slow_pace`.
        slow_pace: see `slow_share`.
        cold_s: duration of the cold start, in seconds.
        cold_per_s: requests per second that overload a cold target.
        error_share: share of requests that run and are answered with 500.
        lost_share: share of requests that run and whose connection is closed without a response.
        stale_share: share of successes that are immediately followed by a duplicate.
        reports_load: whether answers state the load.
        leaves: whether answers state that the process leaves.
        pause: time in seconds for which probes and requests are refused with 503; an empty text
            refuses none.
        odd_status_share: share of requests that run and are answered with `odd_status`.
        odd_status: status of such answers as it stands in the status line, such as `000`.
        registers: whether the process renews its registration in the store.
        late_share: share of successes that are followed by a duplicate after a delay of up to
            `MAX_DUPLICATE_DELAY_S`, when the next response on the connection may be due.
        repeated_refusal_share: share of refusals that are written again after such a delay.
        cut_head_share: share of successes that end within their head, with the connection.
        crashing_path: path of requests that crash the target as they start to run, or empty.
        rate_limit: requests per second that the target states to take from all nodes together; an
            empty text states none.
        version: version of its software, which it registers.
        fault_error_share: share of requests that a bad version answers with 500.
        fault_pace: factor on the service time of a bad version, which the load header hides.
        fault_after_s: time after its start from which a bad version is bad, in seconds.
        fault_running: running requests from which a bad version is bad.
        fault_path: path prefix of the only requests that a bad version is bad at.
    """

    slots: int = 2
    queue: int = 4
    work_s: float = 0.02
    pace: float = 1.0
    slow_share: float = 0.0
    slow_pace: float = 4.0
    cold_s: float = 0.0
    cold_per_s: float = 8.0
    error_share: float = 0.0
    lost_share: float = 0.0
    stale_share: float = 0.0
    late_share: float = 0.0
    repeated_refusal_share: float = 0.0
    cut_head_share: float = 0.0
    crashing_path: str = ""
    rate_limit: str = ""
    version: str = "v1"
    fault_error_share: float = 0.0
    fault_pace: float = 1.0
    fault_after_s: float = 0.0
    fault_running: int = 0
    fault_path: str = "/"
    reports_load: bool = True
    leaves: bool = False
    pause: str = ""
    odd_status_share: float = 0.0
    odd_status: str = "000"
    registers: bool = True


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that has reached a target; the fields are the keys of the printed JSON.

    Attributes:
        arrived_id: id of the request.
        target: id of the target.
        started_ms: start of its process in Unix milliseconds.
        at: time on the system's monotonic clock, in seconds.
    """

    arrived_id: str
    target: str
    started_ms: int
    at: float


@dataclasses.dataclass(frozen=True)
class Statement:
    """What an answer to a request states; the fields are the keys of the printed JSON.

    Attributes:
        answered_id: id of the request.
        target: id of the target.
        started_ms: start of its process in Unix milliseconds.
        at: time on the system's monotonic clock, in seconds.
        leaves: whether it states that the process leaves.
        pause_s: pause that it asks for, in seconds, or 0.0 for none.
    """

    answered_id: str
    target: str
    started_ms: int
    at: float
    leaves: bool
    pause_s: float


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that a target has started to run; the fields are the keys of the printed JSON.

    Attributes:
        request_id: id of the request.
        method: HTTP method.
        path: path and query.
        target: id of the target.
        body: body of the request, decoded as Latin-1.
        at: start on the system's monotonic clock, in seconds.
        identity: headers for key and tenant that reached the target, in any spelling.
    """

    request_id: str
    method: str
    path: str
    target: str
    body: str
    at: float
    identity: dict[str, str] = dataclasses.field(default_factory=dict)


class TargetEmulator:
    """HTTP server that emulates one target.

    Args:
        name: id of the target.
        behaviour: initial settings.
        seed: seed of its random choices, combined with the name.
        on_run: called for each request that starts to run.
        on_event: called for each request that arrives and each answer that states something.
    """

    def __init__(
        self,
        name: str,
        behaviour: Behaviour,
        seed: int = 1,
        on_run: Callable[[Run], None] = lambda run: None,
        on_event: Callable[[Arrival | Statement], None] = lambda event: None,
    ) -> None:
        self.name = name
        self.behaviour = behaviour
        self.runs: list[Run] = []
        self.refused_count = 0
        self.probes = 0
        self.arrived_at: list[float] = []
        self.running = 0
        self.waiting = 0
        self.is_draining = False
        self._on_run = on_run
        self._on_event = on_event
        self._rng = random.Random(f"{seed} {name}")
        self._started_at = time.monotonic()
        self.started_ms = time.time_ns() // 1_000_000
        self._slots = asyncio.Semaphore(behaviour.slots)
        self._tasks: set[asyncio.Task] = set()
        self._server = httpserver.HTTPServer(self._handle_request)

    @property
    def cold_remaining_ms(self) -> int:
        """Remaining time of the cold start, in milliseconds."""
        remaining = self._started_at + self.behaviour.cold_s - time.monotonic()
        return max(0, round(remaining * 1000))

    def listen(self, host: str, port: int = 0) -> int:
        """Starts to accept connections; port 0 takes a free one. Returns the port."""
        self._server.listen(port, host)
        return next(iter(self._server._sockets.values())).getsockname()[1]

    async def close(self) -> None:
        """Stops to listen, cancels the running requests and closes all connections."""
        self._server.stop()
        for task in list(self._tasks):
            task.cancel()
        await self._server.close_all_connections()

    def crash(self) -> None:
        """Stops to listen and ends all connections at once, as the end of its process does."""
        self._server.stop()
        for connection in list(self._server._connections):
            connection.stream.close()

    def _handle_request(self, request: httputil.HTTPServerRequest) -> None:
        if request.path == RUNS_PATH:
            document = [dataclasses.asdict(run) for run in self.runs]
            _write_response(request, 200, {}, json.dumps(document).encode())
            return
        if request.path == ARRIVALS_PATH:
            _write_response(request, 200, {}, json.dumps(self.arrived_at).encode())
            return
        if request.path == BEHAVIOUR_PATH:
            self.behaviour = dataclasses.replace(self.behaviour, **json.loads(request.body))
            _write_response(request, 200, {})
            return
        if request.path == DRAIN_PATH:
            self.is_draining = True
            _write_response(request, 200, {})
            return
        expected = request.headers.get(wire.EXPECTED_TARGET, self.name)
        if expected != self.name:
            _write_response(request, 421, {wire.RESPONDING_TARGET: self.name})
            return
        self.arrived_at.append(time.monotonic())
        if request.path != HEALTH_PATH:
            request_id = request.headers.get(wire.REQUEST_ID, "")
            self._on_event(Arrival(request_id, self.name, self.started_ms, time.monotonic()))
        task = asyncio.get_running_loop().create_task(self._run_request(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        request.connection.set_close_callback(task.cancel)

    async def _run_request(self, request: httputil.HTTPServerRequest) -> None:
        if request.path == HEALTH_PATH:
            self.probes += 1
            cold = {wire.COLD_MS: str(self.cold_remaining_ms)} if self.cold_remaining_ms else {}
            status = 503 if self.is_draining or self.behaviour.pause else 200
            _write_response(
                request,
                status,
                self._load_headers()
                | self._pause_header()
                | cold
                | {wire.RESPONDING_TARGET: self.name},
            )
            return
        request_id = request.headers.get(wire.REQUEST_ID, "")
        id_header = {wire.REQUEST_ID: request_id}
        if self.behaviour.pause or (self.waiting >= self.behaviour.queue and self._slots.locked()):
            self.refused_count += 1
            self._refuse(request, id_header)
            return
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            body = request.body.decode("latin1")
            run = Run(
                request_id,
                request.method,
                request.uri,
                self.name,
                body,
                time.monotonic(),
                _identity_headers(request.headers),
            )
            self.runs.append(run)
            self._on_run(run)
            if request.path == self.behaviour.crashing_path:
                self.crash()
                return
            is_faulty = self._is_faulty(request.path)
            await asyncio.sleep(self._draw_service_time_s(is_faulty))
            if is_faulty and self._rng.random() < self.behaviour.fault_error_share:
                _write_response(request, 500, self._load_headers() | id_header)
                return
            self._respond(request, id_header)
        finally:
            self.running -= 1
            self._slots.release()

    def _refuse(self, request: httputil.HTTPServerRequest, id_header: dict[str, str]) -> None:
        headers = self._load_headers() | self._pause_header() | id_header
        headers[wire.NOT_EXECUTED] = "1"
        self._report_statement(id_header, float(self.behaviour.pause or 0))
        _write_response(request, 503, headers)
        if self._rng.random() < self.behaviour.repeated_refusal_share:
            self._write_later(request.connection.stream, _encode(503, headers))

    def _report_statement(self, id_header: dict[str, str], pause_s: float = 0.0) -> None:
        leaves = self.behaviour.leaves
        if leaves or pause_s:
            request_id = id_header[wire.REQUEST_ID]
            now = time.monotonic()
            self._on_event(Statement(request_id, self.name, self.started_ms, now, leaves, pause_s))

    def _write_later(self, stream: iostream.IOStream, data: bytes) -> None:
        """Writes bytes after a random delay, when the next response may be due."""
        delay = self._rng.random() * MAX_DUPLICATE_DELAY_S
        asyncio.get_running_loop().call_later(delay, _write_if_open, stream, data)

    def _is_faulty(self, path: str) -> bool:
        """Whether a request that starts to run meets the fault of a bad version."""
        behaviour = self.behaviour
        age = time.monotonic() - self._started_at
        return (
            age >= behaviour.fault_after_s
            and self.running >= behaviour.fault_running
            and path.startswith(behaviour.fault_path)
        )

    def _draw_service_time_s(self, is_faulty: bool) -> float:
        behaviour = self.behaviour
        pace = behaviour.pace * (behaviour.fault_pace if is_faulty else 1.0)
        if self._rng.random() < behaviour.slow_share:
            pace *= behaviour.slow_pace
        return behaviour.work_s * self._rng.uniform(0.7, 1.3) * pace

    def _respond(self, request: httputil.HTTPServerRequest, id_header: dict[str, str]) -> None:
        random_value = self._rng.random()
        behaviour = self.behaviour
        if random_value < behaviour.lost_share:
            request.connection.stream.close()
            return
        if random_value < behaviour.lost_share + behaviour.error_share:
            _write_response(
                request, 500, self._load_headers() | id_header | {wire.RESPONSE_SIGNATURE: "s"}
            )
            return
        document = {"target": self.name, "path": request.path}
        body = json.dumps(document | {"id": id_header[wire.REQUEST_ID]}).encode()
        headers = self._load_headers() | id_header | {wire.RESPONSE_SIGNATURE: f"s{len(body)}"}
        stream = request.connection.stream
        if self._rng.random() < behaviour.cut_head_share:
            head = _encode(200, headers, body).removesuffix(b"\r\n\r\n" + body)
            _write_if_open(stream, head[: self._rng.randrange(len(head))])
            stream.close()
            return
        if behaviour.odd_status_share and self._rng.random() < behaviour.odd_status_share:
            _write_if_open(stream, _encode(behaviour.odd_status, headers, body))
            stream.close()
            return
        self._report_statement(id_header)
        _write_response(request, 200, headers, body)
        duplicate = _encode(200, headers, body)
        if self._rng.random() < behaviour.stale_share:
            stream.write(duplicate)
        if self._rng.random() < behaviour.late_share:
            self._write_later(stream, duplicate)

    def _pause_header(self) -> dict[str, str]:
        pause = self.behaviour.pause
        return {wire.RETRY_AFTER: pause} if pause else {}

    def _load_headers(self) -> dict[str, str]:
        limit = self.behaviour.rate_limit
        limit_header = {wire.RATE_LIMIT: limit} if limit else {}
        if self.behaviour.leaves:
            limit_header[wire.LEAVING] = "1"
        if not self.behaviour.reports_load:
            return limit_header
        pace = round(self.behaviour.pace * 100)
        return limit_header | {
            wire.TARGET_LOAD: f"{self.running},{self.waiting},{self.behaviour.slots},{pace}"
        }

    def registration(self, service: str, host: str, port: int, zone: str, sequence: int) -> dict:
        """Returns the object by which the target registers itself in the store.

        Args:
            service: service of the target.
            host: address to register.
            port: port to register.
            zone: availability zone of the target.
            sequence: number that grows with each registration.
        """
        spec = {
            "service": service,
            "address": f"{host}:{port}",
            "zone": zone,
            "version": self.behaviour.version,
            "slots": self.behaviour.slots,
            "state": "draining" if self.is_draining else "ready",
            "cold_remaining": f"{self.cold_remaining_ms}ms",
            "sequence": sequence,
            "born": self.started_ms,
        }
        return {"metadata": {"name": self.name}, "spec": spec}


def _identity_headers(headers: httputil.HTTPHeaders) -> dict[str, str]:
    names = {wire.AUTHORIZATION.lower(), wire.TENANT.lower()}
    return {
        name: value for name, value in headers.items() if name.lower().replace("_", "-") in names
    }


def _encode(status: int | str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join([f"HTTP/1.1 {status} Answer", *lines, f"Content-Length: {len(body)}"])
    return head.encode() + b"\r\n\r\n" + body


def _write_if_open(stream: iostream.IOStream, data: bytes) -> None:
    if not stream.closed():
        stream.write(data)


def _write_response(
    request: httputil.HTTPServerRequest,
    status: int,
    headers: dict[str, str],
    body: bytes = b"",
) -> None:
    if request.connection.stream.closed():
        return
    response_headers = httputil.HTTPHeaders(headers)
    response_headers["Content-Length"] = str(len(body))
    request.connection.set_close_callback(None)
    start_line = httputil.ResponseStartLine("HTTP/1.1", status, "Answer")
    request.connection.write_headers(start_line, response_headers, body)
    request.connection.finish()


async def _register(client: HttpClient, store: Any, document: dict) -> None:
    name = urllib.parse.quote(document["metadata"]["name"])
    body = json.dumps(document).encode()
    kind = f"/v1/objects/{TARGETS_KIND}"
    response = await client.call(
        store.host, store.port, "PUT", f"{kind}/{name}", body=body, timeout=2.0
    )
    if response.status == 404:
        await client.call(store.host, store.port, "POST", kind, body=body, timeout=2.0)


# A registry of its own, because the modules of several commands may be imported in one process.
_FLAGS = flags.FlagValues()
_STORE = flags.DEFINE_string(
    "store", "127.0.0.1:9000", "HOST:PORT of the store", flag_values=_FLAGS
)
_SERVICE = flags.DEFINE_string("service", "s", "service of the targets", flag_values=_FLAGS)
_HOST = flags.DEFINE_string("host", "127.0.0.1", "address to listen on", flag_values=_FLAGS)
_COUNT = flags.DEFINE_integer("count", 1, "number of targets", flag_values=_FLAGS)
_ZONES = flags.DEFINE_list(
    "zones", ["za"], "availability zones, assigned round-robin", flag_values=_FLAGS
)
_WORK_MS = flags.DEFINE_float(
    "work_ms", 20.0, "mean service time, in milliseconds", flag_values=_FLAGS
)
_SLOTS = flags.DEFINE_integer(
    "slots", 2, "requests that a target runs concurrently", flag_values=_FLAGS
)
_FIRST = flags.DEFINE_integer("first", 0, "number of the first target", flag_values=_FLAGS)
_PORT = flags.DEFINE_integer(
    "port", 0, "port of the first target, or 0 for any", flag_values=_FLAGS
)
_ADVERTISED_PORT = flags.DEFINE_integer(
    "advertised", 0, "port to register, or 0 for the port it listens on", flag_values=_FLAGS
)
_COLD_S = flags.DEFINE_float(
    "cold_s", 0.0, "duration of the cold start, in seconds", flag_values=_FLAGS
)
_VERSION = flags.DEFINE_string("version", "v1", "version of the targets", flag_values=_FLAGS)
_PRINTS_RUNS = flags.DEFINE_bool(
    "prints_runs",
    False,
    "whether each request that starts to run is printed as JSON",
    flag_values=_FLAGS,
)
_REGISTRATION_INTERVAL_S = 0.5


def _print_event(event: Run | Arrival | Statement) -> None:
    print(json.dumps(dataclasses.asdict(event)), flush=True)


def _ignore_event(event: Run | Arrival | Statement) -> None:
    del event


async def _run_targets() -> None:
    store = parse_endpoint(_STORE.value)
    client = HttpClient(time.monotonic)
    targets = []
    on_event = _print_event if _PRINTS_RUNS.value else _ignore_event
    for index in range(_FIRST.value, _FIRST.value + _COUNT.value):
        behaviour = Behaviour(
            slots=_SLOTS.value,
            work_s=_WORK_MS.value / 1000,
            cold_s=_COLD_S.value,
            version=_VERSION.value,
        )
        name = f"{_SERVICE.value}-{index:02d}"
        target = TargetEmulator(name, behaviour, on_run=on_event, on_event=on_event)
        port = target.listen(_HOST.value, _PORT.value)
        port = _ADVERTISED_PORT.value or port
        targets.append((target, port, _ZONES.value[index % len(_ZONES.value)]))
    print("listening", *(port for _, port, _ in targets), flush=True)
    sequence = 0
    while True:
        sequence += 1
        for target, port, zone in targets:
            if not target.behaviour.registers:
                continue
            document = target.registration(_SERVICE.value, _HOST.value, port, zone, sequence)
            try:
                await _register(client, store, document)
            except ExchangeError as error:
                print("registration failed:", error, flush=True)
        await asyncio.sleep(_REGISTRATION_INTERVAL_S)


def main(argv: Sequence[str]) -> None:
    """Runs the targets and renews their registrations until the process ends."""
    del argv
    asyncio.run(_run_targets())


if __name__ == "__main__":
    main(_FLAGS(sys.argv))

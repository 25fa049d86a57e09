"""Emulated callers that follow the platform's rules for callers.

They look up entry addresses in a directory and cache them for their TTL, keep connections open for
many requests, and retry only requests that are idempotent or were not executed. Each attempt is
recorded.
"""

import asyncio
import collections
import dataclasses
import json
import math
import random
import time
from collections.abc import Callable, Sequence

from tornado import httputil

from orioleloft_adapter import headers as wire
from orioleloft_core.entrysettings import Endpoint, parse_endpoint
from orioleloft_core.memory import MemoryAccount
from orioleloftd.connections import Connection, ExchangeError, HttpClient, connect

# Timeouts that the platform's pages specify for callers, in seconds.
DIRECTORY_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
# Memory for buffered responses of one caller, in bytes.
MAX_RESPONSE_MEMORY_BYTES = 4 * 1024 * 1024
REQUEST_TIMEOUT_S = 4.0
# Attempts per request, including the first one.
MAX_ATTEMPTS = 3
# Statuses that guarantee that the request was not executed.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Further header of requests near the limit on headers; it says nothing.
LONG_HEADER = "X-Filler"


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """Template of the requests that a caller sends.

    Attributes:
        name: label in the latency table.
        host: value of the `Host` header.
        method: HTTP method.
        path_prefix: path prefix, completed to a unique path for each request.
        body_bytes: size of the body, in bytes.
        is_idempotent: whether the request may run more than once.
        max_targets: maximum number of targets that may run one attempt.
    """

    name: str
    host: str
    method: str
    path_prefix: str
    body_bytes: int
    is_idempotent: bool
    max_targets: int = 2


@dataclasses.dataclass(frozen=True)
class CallerAttempt:
    """An attempt of a request, with the response that the caller received.

    Attributes:
        id: request id, unique for each attempt.
        kind: template of the request.
        path: path of the request.
        body: body of the request.
        node_host: host of the entry node.
        status: status of the response, or 0 without a response.
        response_body: body of the response.
        response_id: request id in the headers of the response, or empty.
        sent_at: start on the system's monotonic clock, in seconds.
        ended_at: end on the same clock, in seconds.
        key: API key in the request, or empty.
        fault: why there was no response, or empty.
    """

    id: str
    kind: RequestKind
    path: str
    body: str
    node_host: str
    status: int
    response_body: bytes
    response_id: str
    sent_at: float
    ended_at: float
    key: str = ""
    fault: str = ""


class Caller:
    """A caller that sends one request at a time over one persistent connection.

    Args:
        name: prefix of its request ids.
        zone: its availability zone.
        directories: nodes that serve the directory of entry addresses.
        rng: random source for paths, bodies and the choice of nodes.
        draw_key: returns the API key for a request, or an empty string for none.
        waits: whether it waits for as long as `Retry-After` says.
        long_header: returns the length of a further header to a node, by its address; 0 for none.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        directories: Sequence[Endpoint],
        rng: random.Random,
        draw_key: Callable[[], str] = lambda: "",
        waits: bool = True,
        long_header: Callable[[str], int] = lambda host: 0,
    ) -> None:
        self._long_header = long_header
        self._name = name
        self._zone = zone
        self._directories = list(directories)
        self._rng = rng
        self._draw_key = draw_key
        self._waits = waits
        self._client = HttpClient(time.monotonic)
        self._memory = MemoryAccount(MAX_RESPONSE_MEMORY_BYTES)
        self._addresses: list[Endpoint] = []
        self._failed_addresses: set[Endpoint] = set()
        self._addresses_expire_at = 0.0
        self._connection: tuple[Endpoint, Connection] | None = None
        self._attempt_count = 0
        self.attempts: list[CallerAttempt] = []

    @property
    def name(self) -> str:
        """Prefix of the request ids."""
        return self._name

    def pin_node(self, node: Endpoint) -> None:
        """Makes the caller send all requests to one node instead of those from a directory."""
        self._addresses = [node]
        self._addresses_expire_at = math.inf

    async def send(self, kind: RequestKind) -> CallerAttempt | None:
        """Sends a request, with retries where they are allowed.

        Returns:
            The last attempt, or None if an attempt found no node that accepts a connection.
        """
        path = f"{kind.path_prefix}{self._name}-{self._rng.randrange(10**9)}"
        body = "".join(self._rng.choices("abcdef", k=kind.body_bytes))
        key = self._draw_key()
        last = None
        for _ in range(MAX_ATTEMPTS):
            last, retry_after = await self._send_once(kind, path, body, key)
            if last is None:
                return None
            self.attempts.append(last)
            may_retry = kind.is_idempotent and (last.status == 0 or last.status >= 500)
            if last.status not in NOT_EXECUTED_STATUSES and not may_retry:
                return last
            self._drop_connection()
            await asyncio.sleep(retry_after if self._waits else 0.0)
        return last

    async def _send_once(
        self, kind: RequestKind, path: str, body: str, key: str
    ) -> tuple[CallerAttempt | None, float]:
        endpoint, connection = await self._connect()
        if connection is None:
            return None, 0.0
        self._attempt_count += 1
        request_id = f"{self._name}-{self._attempt_count}"
        headers = httputil.HTTPHeaders({"Host": kind.host, wire.REQUEST_ID: request_id})
        headers[wire.DEADLINE_MS] = str(round(REQUEST_TIMEOUT_S * 1000))
        if body:
            headers["Content-Length"] = str(len(body))
        if key:
            headers[wire.AUTHORIZATION] = f"{wire.KEY_SCHEME} {key}"
            if self._attempt_count % 4 == 0:
                headers[wire.TENANT] = "stated-by-the-caller"
        if length := self._long_header(endpoint.host):
            headers[LONG_HEADER] = "x" * length
        sent_at = time.monotonic()
        status, response_body, response_id, retry_after, fault = 0, b"", "", 0.0, ""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                response = await connection.exchange(
                    kind.method, path, headers, body.encode(), lambda *_: True
                )
            status, response_body = response.status, response.body
            response_id = response.headers.get(wire.REQUEST_ID, "")
            retry_after = float(response.headers.get(wire.RETRY_AFTER, 0.0))
        except (ExchangeError, TimeoutError) as error:
            fault = str(error) or type(error).__name__
            self._failed_addresses.add(endpoint)
        if not connection.is_usable:
            self._drop_connection()
        ended_at = time.monotonic()
        attempt = CallerAttempt(
            request_id,
            kind,
            path,
            body,
            endpoint.host,
            status,
            response_body,
            response_id,
            sent_at,
            ended_at,
            key,
            fault,
        )
        return attempt, retry_after

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None

    async def _connect(self) -> tuple[Endpoint, Connection | None]:
        await self._refresh_addresses()
        if self._connection is not None:
            endpoint, connection = self._connection
            if connection.is_usable and endpoint in self._addresses:
                return endpoint, connection
            self._drop_connection()
        candidates = [
            e for e in self._addresses if e not in self._failed_addresses
        ] or self._addresses
        for endpoint in self._rng.sample(candidates, len(candidates)):
            try:
                connection = await connect(
                    endpoint.host, endpoint.port, time.monotonic(), CONNECT_TIMEOUT_S, self._memory
                )
            except ExchangeError:
                self._failed_addresses.add(endpoint)
                continue
            self._connection = endpoint, connection
            return endpoint, connection
        return Endpoint("", 0), None

    async def _refresh_addresses(self) -> None:
        if time.monotonic() < self._addresses_expire_at:
            return
        self._rng.shuffle(self._directories)
        for directory in self._directories[:3]:
            try:
                response = await self._client.call(
                    directory.host,
                    directory.port,
                    "GET",
                    f"/v1/lookup?name=any&region=r&zone={self._zone}",
                    timeout=DIRECTORY_TIMEOUT_S,
                )
                document = json.loads(response.body)
                self._addresses = [parse_endpoint(text) for text in document["addresses"]]
            except (ExchangeError, ValueError, KeyError):
                continue
            self._failed_addresses.clear()
            self._addresses_expire_at = (
                time.monotonic() + float(document["ttl"].removesuffix("ms")) / 1000
            )
            return

    def close(self) -> None:
        """Closes the connection of the caller."""
        self._drop_connection()


def latency_table(attempts: Sequence[CallerAttempt]) -> list[str]:
    """Formats the number of attempts and latency quantiles for each kind and status."""
    groups = collections.defaultdict(list)
    for attempt in attempts:
        groups[attempt.kind.name, attempt.status].append(attempt.ended_at - attempt.sent_at)
    lines = [f"{'kind':<16}{'status':>7}{'count':>8}{'p50 ms':>9}{'p99 ms':>9}"]
    for (kind, status), latencies in sorted(groups.items()):
        latencies.sort()
        p50, p99 = latencies[len(latencies) // 2], latencies[len(latencies) * 99 // 100]
        lines.append(
            f"{kind:<16}{status:>7}{len(latencies):>8}{p50 * 1000:>9.1f}{p99 * 1000:>9.1f}"
        )
    return lines

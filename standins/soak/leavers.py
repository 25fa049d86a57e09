"""Callers that leave behind requests that the node has not read, and what must not follow."""

import asyncio
import random
import time
from collections.abc import Iterable

from orioleloft_adapter import headers as wire
from standins.callers import CallerAttempt
from standins.soak.load import REQUEST_KINDS
from standins.soak.records import LOOPBACK_MARGIN_S, Records

# Mean interval between callers that leave, and range of the time until they do, in seconds.
LEAVE_INTERVAL_S = 0.3
STAY_S = (0.05, 0.8)
# Time after a caller has left from which its requests must not be sent any more, in seconds, and
# how many may be.
GONE_AFTER_S = 0.5
MAX_LATE_RUNS = 3
LEFT = "left"


class LeavingCallers:
    """Sends requests with further ones behind them, and closes the connections.

    Args:
        hosts: addresses of the nodes.
        port: port of each node for callers.
        key: API key of the requests, or empty for none.
        rng: random source.

    Attributes:
        attempts: all requests, with the fault `LEFT` and the time at which their caller left.
    """

    name = "leavers"

    def __init__(self, hosts: list[str], port: int, key: str, rng: random.Random) -> None:
        self._hosts = hosts
        self._port = port
        self._key = key
        self._rng = rng
        self._count = 0
        self.attempts: list[CallerAttempt] = []

    def close(self) -> None:
        """Does nothing; each connection is closed as its caller leaves."""

    async def run(self, seconds: float) -> None:
        """Lets callers come and leave for some seconds."""
        end = time.monotonic() + seconds
        running = set()
        while time.monotonic() < end:
            running.add(asyncio.get_running_loop().create_task(self._visit()))
            await asyncio.sleep(self._rng.expovariate(1 / LEAVE_INTERVAL_S))
        await asyncio.gather(*running)

    async def _visit(self) -> None:
        self._count += 1
        request_id = f"leaver-{self._count}"
        node_host = self._rng.choice(self._hosts)
        stay = self._rng.uniform(*STAY_S)
        look_up, hold = REQUEST_KINDS
        path, body = f"{hold.path_prefix}{request_id}", "x" * hold.body_bytes
        sent_at = time.monotonic()
        try:
            _, writer = await asyncio.open_connection(node_host, self._port)
        except OSError:
            return
        writer.write(self._encode(hold.method, path, hold.host, request_id, body))
        for number in range(self._rng.randrange(3)):
            further = f"{request_id}-{number}"
            behind = f"{look_up.path_prefix}{further}"
            writer.write(self._encode(look_up.method, behind, look_up.host, further, ""))
            self._record(look_up, further, behind, "", node_host, sent_at, sent_at + stay)
        await asyncio.sleep(stay)
        writer.transport.abort() if self._rng.random() < 0.5 else writer.close()
        self._record(hold, request_id, path, body, node_host, sent_at, time.monotonic())

    def _encode(self, method: str, path: str, host: str, request_id: str, body: str) -> bytes:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"{wire.REQUEST_ID}: {request_id}"]
        lines += [f"Content-Length: {len(body)}"] if body else []
        lines += [f"{wire.AUTHORIZATION}: {wire.KEY_SCHEME} {self._key}"] if self._key else []
        return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()

    def _record(self, kind, request_id, path, body, node_host, sent_at, ended_at) -> None:
        attempt = CallerAttempt(
            request_id, kind, path, body, node_host, 0, b"", "", sent_at, ended_at, self._key, LEFT
        )
        self.attempts.append(attempt)


def find_late_runs(records: Records) -> Iterable[str]:
    """Yields a message if more than a few requests ran long after their callers had left."""
    left = {each.id: each for each in records.attempts if each.fault == LEFT}
    late = []
    for run in records.runs:
        attempt = left.get(run.request_id)
        if attempt is None:
            continue
        node = records.node_of_host.get(attempt.node_host, "")
        is_late = run.at > attempt.ended_at + GONE_AFTER_S + LOOPBACK_MARGIN_S
        if is_late and records.was_in_touch(node, run.at, GONE_AFTER_S + LOOPBACK_MARGIN_S):
            late.append(f"{run.request_id} {run.at - attempt.ended_at:.2f} s")
    if len(late) > MAX_LATE_RUNS:
        yield f"{len(late)} requests ran after their callers had left: {', '.join(late[:10])}"

"""Callers for tests with real processes: they follow docs/callers.md and keep what they saw."""

import collections
import contextlib
import dataclasses
import http.client
import itertools
import random
import threading
import time
from collections.abc import Callable, Iterable, Sequence

from standins.loopback import Loopback
from standins.processes import fetch_json, wait_until

ANSWER_SECONDS = 20.0
JOIN_SECONDS = 40.0
SETTLE_SECONDS = 15.0
# The remedy of the refusals "not run" is to send again after a random delay.
ATTEMPTS = 30
RETRY_SECONDS = (0.05, 0.2)

# Outcomes that no node states: the connection ended before a whole answer, or never opened.
LOST = "lost"
UNSENT = "unsent"
COMPLETE = "complete"
NOT_RUN = "not-run"
UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class CallerAnswer:
    """What a caller saw of one request."""

    status: int
    outcome: str
    code: str = ""
    body: bytes = b""


@dataclasses.dataclass(frozen=True)
class Exchange:
    """One request to one address; times are wall clock seconds, as in targets' records."""

    address: str
    key: str
    started: float
    ended: float
    answer: CallerAnswer


@dataclasses.dataclass(frozen=True)
class Entry:
    """One address of an address answer."""

    address: str
    zone: str
    key_prefix: str


def call(
    address: str,
    method: str,
    service: str,
    *,
    path: str = "/test",
    key: str = "",
    seconds: float = ANSWER_SECONDS,
    **headers: str,
) -> CallerAnswer:
    """Sends one request on a connection of its own; underscores in header names become dashes."""
    host, _, port = address.rpartition(":")
    sent = {name.replace("_", "-"): value for name, value in headers.items()}
    sent["Orioleloft-Service"] = service
    if key:
        sent["Orioleloft-Key"] = key
    body = b"x" if method == "POST" else None
    connection = http.client.HTTPConnection(host, int(port), timeout=seconds)
    with contextlib.closing(connection):
        try:
            connection.connect()
        except OSError:
            return CallerAnswer(0, UNSENT)
        try:
            connection.request(method, path, body=body, headers=sent)
            response = connection.getresponse()
            return CallerAnswer(
                response.status,
                response.getheader("Orioleloft-Outcome", ""),
                response.getheader("Orioleloft-Code", ""),
                response.read(),
            )
        except (OSError, http.client.HTTPException):
            return CallerAnswer(0, LOST)


def entries_of(address: str, zone: str = "") -> tuple[list[Entry], float]:
    """Asks a node for entry addresses; returns them and how many seconds they may be kept."""
    listed = fetch_json(address, f"/_orioleloft/addresses?zone={zone}")
    return [Entry(**item) for item in listed["addresses"]], listed["keep_ms"] / 1000


class AddressBook:
    """Entry addresses of one caller, asked for again when their time is over.

    Args:
        nodes: addresses to ask, tried in random order.
        zone: availability zone of the caller.
        rng: random source.
    """

    def __init__(self, nodes: Sequence[str], zone: str, rng: random.Random) -> None:
        self._nodes = list(nodes)
        self._zone = zone
        self._rng = rng
        self._entries: list[Entry] = []
        self._until = 0.0

    def entries(self) -> list[Entry]:
        """Returns addresses that may be used now, the best first."""
        if time.monotonic() >= self._until:
            self._ask()
        return self._entries

    def _ask(self) -> None:
        for node in self._rng.sample(self._nodes, len(self._nodes)):
            asked_at = time.monotonic()
            try:
                entries, keep = entries_of(node, self._zone)
            except OSError:
                continue
            if entries:
                self._entries, self._until = entries, asked_at + keep
                return
        raise AssertionError("No node names an entry address.")


class Journal:
    """Exchanges of all callers of a test."""

    def __init__(self) -> None:
        self.exchanges: list[Exchange] = []
        self._numbers = itertools.count(1)

    def new_key(self, entry: Entry) -> str:
        """Returns a key that the entry's node may run."""
        return f"{entry.key_prefix}{next(self._numbers)}"

    def call(
        self, address: str, method: str, service: str, key: str = "", **options
    ) -> CallerAnswer:
        """Sends a request and keeps what came of it; options as for `call`."""
        started = time.time()
        answer = call(address, method, service, key=key, **options)
        self.exchanges.append(Exchange(address, key, started, time.time(), answer))
        return answer

    def insist(
        self, book: AddressBook, rng: random.Random, method: str, service: str, **options
    ) -> None:
        """Sends a request, and sends it again after each answer that it was not run.

        Raises:
            AssertionError: it was never run, or its outcome is not known.
        """
        for _ in range(ATTEMPTS):
            entry = rng.choice(book.entries())
            key = self.new_key(entry) if method == "POST" else ""
            answer = self.call(entry.address, method, service, key, **options)
            if answer.outcome != NOT_RUN:
                break
            time.sleep(rng.uniform(*RETRY_SECONDS))
        if answer.outcome != COMPLETE or answer.status != 200:
            raise AssertionError(f"{method} through {entry.address} ended with {answer}.")

    def outcomes(self, exchanges: Iterable[Exchange] | None = None) -> collections.Counter:
        """Counts outcomes together with codes, for assertions and their messages."""
        listed = list(self.exchanges if exchanges is None else exchanges)
        return collections.Counter((each.answer.outcome, each.answer.code) for each in listed)

    def since(self, started: float) -> list[Exchange]:
        """Returns the exchanges that started at a wall clock time or later."""
        return [each for each in list(self.exchanges) if each.started >= started]


class Load:
    """Threads that repeat a step until the end of the block.

    Args:
        workers: number of threads.
        step: called with the worker's own random source and its number, again and again.
        seed: seed of the random sources.
    """

    def __init__(
        self, workers: int, step: Callable[[random.Random, int], None], seed: int = 1
    ) -> None:
        self._step = step
        self._seed = seed
        self._is_over = threading.Event()
        self._errors: list[BaseException] = []
        self._threads = [
            threading.Thread(target=self._work, args=(number,), daemon=True)
            for number in range(workers)
        ]

    def __enter__(self) -> "Load":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, kind, error, trace) -> None:
        self._is_over.set()
        for thread in self._threads:
            thread.join(JOIN_SECONDS)
        if error is not None:
            return
        if self._errors:
            raise self._errors[0]
        if any(thread.is_alive() for thread in self._threads):
            raise AssertionError("A caller did not end.")

    def _work(self, number: int) -> None:
        rng = random.Random(f"{self._seed} {number}")
        try:
            while not self._is_over.is_set():
                self._step(rng, number)
        except Exception as error:
            self._errors.append(error)


def runs_of(loopback: Loopback, service: str) -> list[dict]:
    """Returns all runs that the targets of a service recorded, once none is under way."""

    def is_idle() -> bool:
        return all(record["in_flight"] == 0 for record in loopback.records(service))

    wait_until(f"runs of {service} to end", SETTLE_SECONDS, is_idle)
    return [run for record in loopback.records(service) for run in record["runs"]]


def key_faults(exchanges: Iterable[Exchange], runs: Iterable[dict]) -> list[str]:
    """Checks answers against runs, key by key; returns what contradicts the promises."""
    ran = collections.Counter(run["key"] for run in runs if run["key"])
    faults = [f"{key} ran {count} times" for key, count in ran.items() if count > 1]
    bodies: dict[str, bytes] = {}
    for each in exchanges:
        key, answer = each.key, each.answer
        if not key:
            continue
        if answer.outcome == NOT_RUN and key in ran:
            faults.append(f"{key} was told {answer.code}, not run, but ran")
        if answer.outcome == COMPLETE and key not in ran:
            faults.append(f"{key} was told complete, but did not run")
        if answer.outcome == COMPLETE and bodies.setdefault(key, answer.body) != answer.body:
            faults.append(f"{key} was told two different answers")
    return faults

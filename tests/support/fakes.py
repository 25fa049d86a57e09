"""Fakes at the daemon's interfaces, and raw connections for bad input."""

import asyncio
import dataclasses
import re

from tornado import testing

from orioleloft_core import effects, events
from orioleloft_core.catalog import Catalog, Service, Target, Zone
from orioleloft_core.errors import Outcome
from orioleloft_core.request import Ending, Reply, Request
from orioleloft_core.settings import FleetSettings, NodeSettings, RequestSettings, Seat, Settings

# Far above the duration of any test; a test that waits in vain ends then.
ASYNC_TEST_SECONDS = 30


def settings(peer_port=0, **requests):
    """Returns settings of a one-seat fleet on loopback."""
    return Settings(
        NodeSettings("entry-01", "gt-a", "127.0.0.1:0"),
        FleetSettings((Seat("entry-01", "gt-a", f"127.0.0.1:{peer_port or '*'}"),)),
        requests=RequestSettings(**requests),
    )


def catalog(*ports):
    """Returns a catalog with the service `ledger` on these ports."""
    targets = tuple(Target("ledger", f"l-{port}", "127.0.0.1", port, "gt-a") for port in ports)
    return Catalog(1, (Zone("gt-a"),), (Service("ledger", 2),), targets)


def request(method="GET", path="/", deadline=30.0, **fields):
    """Returns a request to the service `ledger`."""
    return Request("r-1", "ledger", "parish", method, path, deadline, **fields)


@dataclasses.dataclass(frozen=True)
class Status:
    """Status of the fake node."""

    state: str = "serving"


@dataclasses.dataclass(frozen=True)
class Address:
    """Entry address of the fake node."""

    address: str
    zone: str
    key_prefix: str


class Node:
    """A core that sends every request to the first target and answers with the result."""

    def __init__(self, known=None):
        self.catalog = known or Catalog()
        self.state = "serving"
        self.events = []
        self.next_effects = []
        self.allows_start = True

    def handle(self, now, event):
        """Records the event and returns effects."""
        del now
        if not isinstance(event, events.Tick):
            self.events.append(event)
        made, self.next_effects = self.next_effects, []
        match event:
            case events.RequestArrived(arrived) if self.catalog.targets:
                target = self.catalog.targets[0].id
                made.append(effects.Dispatch(f"d/{arrived.id}", target, arrived))
            case events.DispatchFinished(dispatch_id, result):
                is_whole = result.ending is Ending.ANSWERED
                outcome = Outcome.COMPLETE if is_whole else Outcome.UNKNOWN
                reply = Reply(
                    result.status or 502, outcome, headers=result.headers, body=result.body
                )
                made.append(effects.Answer(dispatch_id.removeprefix("d/"), reply))
        return made

    def may_start(self, now, dispatch_id):
        """Tells what the test has set."""
        del now, dispatch_id
        return self.allows_start

    def addresses(self, now, zone):
        """Returns one address."""
        del now
        return (Address("127.0.0.1:80", zone, "entry-01.ab.3."),)

    def status(self, now):
        """Returns a fixed status."""
        del now
        return Status()

    def seen(self, kind):
        """Returns the events of a kind."""
        return [event for event in self.events if isinstance(event, kind)]


async def until(condition):
    """Waits until a condition holds; a test that waits in vain ends by its own time limit."""
    while not condition():
        await asyncio.sleep(0.002)


async def exchange(port, data):
    """Sends bytes on a new connection and returns all that comes back until it is closed."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    received = await reader.read()
    writer.close()
    return received


def async_test(method):
    """Runs a test method on the loop of its `AsyncTestCase`."""
    return testing.gen_test(timeout=ASYNC_TEST_SECONDS)(method)


class RawTarget:
    """A target that writes given bytes for every request that it has read whole.

    Args:
        answer: bytes to write for each request.
        closes: whether the connection is closed after the answer.
        reads_body: whether bodies are read; if not, nothing is read after the first head.
    """

    def __init__(self, answer=b"", closes=False, reads_body=True):
        self.answer = answer
        self.closes = closes
        self.reads_body = reads_body
        self.requests = []
        self.opened = 0
        self.closed = 0
        self._writers = []

    async def start(self):
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self):
        """Closes the port."""
        self._server.close()

    def hang_up(self):
        """Closes all connections."""
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer):
        self.opened += 1
        self._writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"Content-Length: (\d+)", head)
                if length and self.reads_body:
                    head += await reader.readexactly(int(length.group(1)))
                self.requests.append(head)
                writer.write(self.answer)
                if not self.reads_body:
                    await asyncio.Event().wait()
                if self.closes:
                    break
        except (EOFError, asyncio.CancelledError, asyncio.LimitOverrunError, ConnectionError):
            pass
        finally:
            self.closed += 1
            writer.close()

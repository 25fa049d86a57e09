"""Stand-in for the platform's object API, in memory: `python -m standins.platform --port N`.

It implements the HTTP form described in `orioleloft_platform.objectstore`. `POST /control` takes a
JSON object with any of the fields of `Faults` and, under `vms`, the lists of live and leaving VMs.
`GET /control` returns the faults in force, the number of calls of each kind, and the accepted
writes in their order.
"""

import asyncio
import copy
import dataclasses
import json
from typing import Any
from urllib.parse import unquote

from absl import app, flags
from tornado import httpserver, web

MAX_VALUE_BYTES = 1024 * 1024

_PORT = flags.DEFINE_integer("port", 8300, "Port to listen on.", 0, 65535)
_HOST = flags.DEFINE_string("host", "127.0.0.1", "Address to listen on.")


@dataclasses.dataclass
class Faults:
    """How the stand-in misbehaves.

    Attributes:
        is_down: refuses each call with 503.
        drops_calls: closes each call's connection without an answer and without effect.
        delay_ms: delay before each call takes effect.
        lose_answers: number of next writes that take effect and lose their answer.
        has_stale_reads: reads return the version before the newest one.
        has_stale_lists: lists stay as they were when this was set.
    """

    is_down: bool = False
    drops_calls: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    has_stale_reads: bool = False
    has_stale_lists: bool = False


@dataclasses.dataclass
class AcceptedWrite:
    """One accepted write, for an oracle."""

    name: str
    version: int
    value: Any


class PlatformStandIn:
    """The objects, the faults and the counts of one stand-in."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.counts: dict[str, int] = {}
        self.writes: list[AcceptedWrite] = []
        self.vms: dict[str, list[dict[str, str]]] = {"live": [], "leaving": []}
        self._objects: dict[str, list[Any]] = {}
        self._frozen_list: dict[str, int] = {}
        self._frozen_vms: dict[str, list[dict[str, str]]] = {"live": [], "leaving": []}
        self._changed = asyncio.Condition()

    def application(self) -> web.Application:
        """Returns the tornado application that serves this stand-in."""
        return web.Application(
            [
                (r"/v1/objects/(.+)", _ObjectHandler, {"standin": self}),
                (r"/v1/objects", _ListHandler, {"standin": self}),
                (r"/v1/vms", _VMsHandler, {"standin": self}),
                (r"/control", _ControlHandler, {"standin": self}),
            ],
            log_function=lambda handler: None,
        )

    def control(self, change: dict[str, Any]) -> None:
        """Sets faults and the list of VMs.

        Raises:
            TypeError: a field is unknown.
        """
        change = dict(change)
        if change.get("has_stale_lists") and not self.faults.has_stale_lists:
            self._frozen_list = self._versions()
            self._frozen_vms = copy.deepcopy(self.vms)
        self.vms = change.pop("vms", self.vms)
        self.faults = dataclasses.replace(self.faults, **change)

    def count(self, kind: str) -> None:
        """Counts one call."""
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def read(self, name: str) -> tuple[int, Any]:
        """Returns version and value; version 0 if there is no object."""
        values = self._objects.get(name, [])
        version = len(values)
        if self.faults.has_stale_reads and version > 0:
            version -= 1
        return version, values[version - 1] if version else None

    def listed(self) -> dict[str, int]:
        """Returns the versions of all objects by name, as a list shows them."""
        return self._frozen_list if self.faults.has_stale_lists else self._versions()

    def listed_vms(self) -> dict[str, list[dict[str, str]]]:
        """Returns the VMs as a list shows them."""
        return self._frozen_vms if self.faults.has_stale_lists else self.vms

    async def write(self, name: str, expected: int, value: Any) -> int:
        """Stores the value if the newest version is `expected`; returns the new version or 0."""
        values = self._objects.setdefault(name, [])
        if len(values) != expected:
            return 0
        values.append(value)
        self.writes.append(AcceptedWrite(name, len(values), value))
        async with self._changed:
            self._changed.notify_all()
        return expected + 1

    async def wait(self, name: str, above: int, wait_ms: int) -> None:
        """Waits until the version is above `above`, at most `wait_ms`."""
        try:
            async with asyncio.timeout(wait_ms / 1000), self._changed:
                await self._changed.wait_for(lambda: self.read(name)[0] > above)
        except TimeoutError:
            return

    def _versions(self) -> dict[str, int]:
        return {name: len(values) for name, values in self._objects.items() if values}


class _Handler(web.RequestHandler):
    """Common part of the handlers: faults and JSON."""

    def initialize(self, standin: PlatformStandIn) -> None:
        self.standin = standin

    async def begin(self, kind: str) -> bool:
        """Counts the call and applies the faults; False if the call was answered by a fault."""
        self.standin.count(kind)
        faults = self.standin.faults
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1000)
        if faults.drops_calls:
            self.drop()
            return False
        if faults.is_down:
            self.reply({"error": "down"}, 503)
            return False
        return True

    def drop(self) -> None:
        """Closes the connection without an answer."""
        self.detach().close()

    def reply(self, body: Any, status: int = 200) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body))


class _ObjectHandler(_Handler):
    async def get(self, quoted: str) -> None:
        above = self.get_query_argument("wait_above", None)
        if not await self.begin("read" if above is None else "watch"):
            return
        name = unquote(quoted)
        if above is not None:
            await self.standin.wait(name, int(above), int(self.get_query_argument("wait_ms")))
        version, value = self.standin.read(name)
        if above is not None and version <= int(above):
            self.set_status(204)
            return
        if not version:
            self.reply({"error": "no such object"}, 404)
            return
        self.reply({"version": version, "value": value})

    async def put(self, quoted: str) -> None:
        is_create = self.request.headers.get("If-None-Match") == "*"
        match = self.request.headers.get("If-Match", "").strip('"')
        if not await self.begin("create" if is_create else "update"):
            return
        if len(self.request.body) > MAX_VALUE_BYTES:
            self.reply({"error": "value too large"}, 413)
            return
        if not is_create and not (match.isdecimal() and int(match) > 0):
            self.reply({"error": "If-Match or If-None-Match is missing"}, 400)
            return
        expected = 0 if is_create else int(match)
        await self._write(unquote(quoted), expected, json.loads(self.request.body))

    async def _write(self, name: str, expected: int, value: Any) -> None:
        version = await self.standin.write(name, expected, value)
        faults = self.standin.faults
        if version and faults.lose_answers > 0:
            faults.lose_answers -= 1
            self.drop()
            return
        if not version:
            self.reply({"error": "another version"}, 412)
            return
        self.reply({"version": version}, 201 if version == 1 else 200)


class _ListHandler(_Handler):
    async def get(self) -> None:
        if not await self.begin("list"):
            return
        prefix = self.get_query_argument("prefix", "")
        listed = sorted(self.standin.listed().items())
        found = [{"name": n, "version": v} for n, v in listed if n.startswith(prefix)]
        self.reply({"objects": found})


class _VMsHandler(_Handler):
    async def get(self) -> None:
        if await self.begin("vms"):
            self.reply(self.standin.listed_vms())


class _ControlHandler(_Handler):
    def get(self) -> None:
        standin = self.standin
        self.reply(
            {
                "faults": dataclasses.asdict(standin.faults),
                "counts": standin.counts,
                "writes": [dataclasses.asdict(write) for write in standin.writes],
            }
        )

    def post(self) -> None:
        try:
            self.standin.control(json.loads(self.request.body))
        except (TypeError, ValueError) as error:
            self.reply({"error": str(error)}, 400)
            return
        self.reply({})


async def _serve() -> None:
    server = httpserver.HTTPServer(PlatformStandIn().application())
    server.listen(_PORT.value, _HOST.value)
    await asyncio.Event().wait()


def main(argv: list[str]) -> None:
    """Serves until the process is ended."""
    del argv
    asyncio.run(_serve())


if __name__ == "__main__":
    app.run(main)

"""Emulator of the platform's store: `python -m standins.store --port 9000`.

It implements the platform's published HTTP API. `POST /control` with
`{"mode": "up" | "busy" | "silent"}` injects or clears a fault: a busy store answers with 503, a
silent one delays each response by `MAX_WATCH_S`. `GET /control` returns the mode and the number of
API requests. `{"raw_object": {"kind": ..., "name": ..., "spec": ...}}` writes an object as another
program may leave it: the spec is JSON text that is sent to readers as it is, one character a byte.
`{"sends_era": true}` adds the header `Store-Era` to all responses of the API.
`{"restore": {"seconds": 3}}` or `{"restore": {"revisions": 20}}` restores the store from a copy of
that age: later writes are lost, their revisions are issued again, and the era rises. Watches that
are pending go on waiting.
"""

import asyncio
import collections
import dataclasses
import json
import sys
import time
from collections.abc import Callable, Sequence
from typing import Any

from absl import flags
from tornado import httpserver, httputil

OBJECTS_PATH = "/v1/objects/"
CONTROL_PATH = "/control"
PAGE_SIZE = 50
# Size from which a page of a list is complete, in bytes.
PAGE_BYTES = 1_000_000
# Longest duration of a watch request, in seconds.
MAX_WATCH_S = 30.0


# Writes that a restore can undo.
MAX_UNDO = 50_000


@dataclasses.dataclass(frozen=True)
class _Undo:
    """A write as a restore undoes it: the object before it, or None if there was none."""

    revision: int
    time: float
    kind: str
    name: str
    previous: dict[str, Any] | None


class StoreEmulator:
    """Objects by kind and name, with one revision counter and a history of events for watches.

    Args:
        clock: seconds, from which the age of a copy is computed.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._undo: collections.deque[_Undo] = collections.deque(maxlen=MAX_UNDO)
        self.era = 1
        self.sends_era = False
        self.mode = "up"
        self.request_count = 0
        self.revision = 1
        self.oldest_revision = 1
        self._objects_by_kind: dict[str, dict[str, dict[str, Any]]] = {}
        # JSON text of raw specs by the placeholder that is stored in their place.
        self._raw_specs: dict[str, bytes] = {}
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._history_changed = asyncio.Condition()

    def objects(self, kind: str) -> dict[str, dict[str, Any]]:
        """Returns the stored objects of a kind by name; changes to the mapping cause no events."""
        return self._objects_by_kind.setdefault(kind, {})

    def compact_history(self) -> None:
        """Compacts the history, so that watches from earlier revisions are answered with 410."""
        self._history.clear()
        self.oldest_revision = self.revision

    @property
    def api_headers(self) -> dict[str, str]:
        """Headers of each response of the API."""
        return {"Store-Era": str(self.era)} if self.sends_era else {}

    def restore(self, *, seconds: float = 0.0, revisions: int = 0) -> None:
        """Restores the store from a copy of an earlier time.

        Args:
            seconds: age of the copy.
            revisions: number of revisions since the copy, an alternative to its age.
        """
        oldest_kept = self._clock() - seconds
        target = self.revision - revisions if revisions else None
        while self._undo:
            write = self._undo[-1]
            if write.revision <= target if target is not None else write.time <= oldest_kept:
                break
            self._undo.pop()
            if write.previous is None:
                self.objects(write.kind).pop(write.name, None)
            else:
                self.objects(write.kind)[write.name] = write.previous
            self.revision = write.revision - 1
        self.era += 1
        self._history = [event for event in self._history if event[0] <= self.revision]
        self.oldest_revision = min(self.oldest_revision, self.revision)

    async def handle_api_request(
        self, method: str, path: str, query: dict, body: bytes
    ) -> tuple[int, Any]:
        """Executes an API request; returns the status and the JSON document of the response."""
        self.request_count += 1
        if self.mode == "busy":
            return 503, {"error": "busy"}
        if self.mode == "silent":
            await asyncio.sleep(MAX_WATCH_S)
        kind, _, name = path.removeprefix(OBJECTS_PATH).partition("/")
        document = json.loads(body) if body else {}
        match method, name:
            case "GET", "":
                if "watch" in query:
                    return await self._watch(kind, query)
                return self._list(kind, query)
            case "GET", _:
                existing = self.objects(kind).get(name)
                return (404, {"error": "no such object"}) if existing is None else (200, existing)
            case "POST", "":
                return await self._create(kind, document)
            case "PUT", _ if name.endswith("/status"):
                return await self._write_status(kind, name.removesuffix("/status"), document)
            case "PUT", _:
                return await self._replace(kind, name, document)
            case "DELETE", _:
                return await self._delete(kind, name)
        return 404, {"error": "no such call"}

    def _list(self, kind: str, query: dict) -> tuple[int, Any]:
        after = query.get("after", "")
        names = sorted(name for name in self.objects(kind) if name > after)
        page = []
        page_bytes = 0
        while len(page) < min(len(names), PAGE_SIZE) and page_bytes < PAGE_BYTES:
            page.append(self.objects(kind)[names[len(page)]])
            page_bytes += len(self._encode(page[-1]))
        return 200, {"items": page, "has_more": len(names) > len(page), "at": self.revision}

    async def _watch(self, kind: str, query: dict) -> tuple[int, Any]:
        since = int(query["watch"])
        if since < self.oldest_revision or since > self.revision:
            return 410, {"error": "history is gone"}
        wait = min(MAX_WATCH_S, int(query.get("wait_ms", "0")) / 1000)
        try:
            async with asyncio.timeout(wait), self._history_changed:
                await self._history_changed.wait_for(lambda: self._events_since(kind, since))
        except TimeoutError:
            pass
        return 200, {"events": self._events_since(kind, since), "at": self.revision}

    def _events_since(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            event
            for revision, event_kind, event in self._history
            if event_kind == kind and revision > since
        ]

    async def _create(self, kind: str, document: dict[str, Any]) -> tuple[int, Any]:
        name = document["metadata"]["name"]
        existing = self.objects(kind).get(name)
        if existing is not None:
            return 409, existing
        return await self._write(kind, name, document.get("spec"), None)

    async def _replace(self, kind: str, name: str, document: dict[str, Any]) -> tuple[int, Any]:
        existing = self.objects(kind).get(name)
        if existing is None:
            return 404, {"error": "no such object"}
        expected_revision = document.get("metadata", {}).get("revision")
        if expected_revision is not None and expected_revision != existing["metadata"]["revision"]:
            return 409, existing
        if existing["spec"] == document.get("spec"):
            return 200, existing
        return await self._write(kind, name, document.get("spec"), existing)

    async def _write(self, kind: str, name: str, spec: Any, existing: Any) -> tuple[int, Any]:
        self.revision += 1
        created = existing["metadata"]["create_revision"] if existing else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "create_revision": created,
            "finalizers": [],
            "deleting": False,
        }
        stored_object = {"metadata": metadata, "spec": spec, "status": None}
        self._remember(kind, name)
        self.objects(kind)[name] = stored_object
        await self._append_event(kind, {"object": stored_object, "removed": False})
        return 200, stored_object

    async def _write_status(
        self, kind: str, name: str, document: dict[str, Any]
    ) -> tuple[int, Any]:
        """Replaces the status of an object, if it still has the revision that the caller gives."""
        existing = self.objects(kind).get(name)
        if existing is None:
            return 404, {"error": "no such object"}
        expected_revision = document.get("metadata", {}).get("revision")
        if expected_revision is not None and expected_revision != existing["metadata"]["revision"]:
            return 409, existing
        self.revision += 1
        metadata = existing["metadata"] | {"revision": self.revision}
        stored_object = existing | {"metadata": metadata, "status": document.get("status")}
        self._remember(kind, name)
        self.objects(kind)[name] = stored_object
        await self._append_event(kind, {"object": stored_object, "removed": False})
        return 200, stored_object

    async def _delete(self, kind: str, name: str) -> tuple[int, Any]:
        existing = self.objects(kind).get(name)
        if existing is None:
            return 404, {"error": "no such object"}
        self.revision += 1
        self._remember(kind, name)
        del self.objects(kind)[name]
        await self._append_event(kind, {"object": existing, "removed": True})
        return 200, existing

    def _remember(self, kind: str, name: str) -> None:
        previous = self.objects(kind).get(name)
        self._undo.append(_Undo(self.revision, self._clock(), kind, name, previous))

    async def _append_event(self, kind: str, event: dict[str, Any]) -> None:
        self._history.append((self.revision, kind, event))
        async with self._history_changed:
            self._history_changed.notify_all()

    async def handle_control_request(self, method: str, body: bytes) -> tuple[int, Any]:
        """Executes a control request; returns the status and the document.

        A POST sets the mode, writes a raw object, restores the store or has it state its era.
        """
        if method == "POST":
            command = json.loads(body)
            self.mode = command.get("mode", self.mode)
            self.sends_era = command.get("sends_era", self.sends_era)
            if "restore" in command:
                self.restore(**command["restore"])
            if "raw_object" in command:
                await self._write_raw(**command["raw_object"])
        return 200, {"mode": self.mode, "calls": self.request_count, "era": self.era}

    async def _write_raw(self, kind: str, name: str, spec: str) -> None:
        placeholder = f"raw spec {len(self._raw_specs)}"
        self._raw_specs[placeholder] = spec.encode("latin1")
        await self._write(kind, name, placeholder, self.objects(kind).get(name))

    def _encode(self, document: Any) -> bytes:
        body = json.dumps(document).encode()
        for placeholder, spec in self._raw_specs.items():
            body = body.replace(json.dumps(placeholder).encode(), spec)
        return body

    async def handle_request(self, request: httputil.HTTPServerRequest) -> None:
        """Handles a request of the HTTP server, unless its connection closes in the meantime."""
        query = {
            name: values[-1].decode("utf-8", "surrogatepass")
            for name, values in request.arguments.items()
        }
        if request.path == CONTROL_PATH:
            status, document = await self.handle_control_request(request.method, request.body)
        else:
            status, document = await self.handle_api_request(
                request.method, request.path, query, request.body
            )
        body = self._encode(document)
        headers = httputil.HTTPHeaders(
            {"Content-Type": "application/json", "Content-Length": str(len(body))}
        )
        if request.path != CONTROL_PATH:
            headers.update(self.api_headers)
        start_line = httputil.ResponseStartLine("HTTP/1.1", status, "Answer")
        if not request.connection.stream.closed():
            request.connection.write_headers(start_line, headers, body)
            request.connection.finish()


def listen(store: StoreEmulator, host: str, port: int) -> int:
    """Serves a store over HTTP in the running event loop; returns the port."""
    tasks: set[asyncio.Task] = set()

    def handle_request(request: httputil.HTTPServerRequest) -> None:
        task = asyncio.get_running_loop().create_task(store.handle_request(request))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    server = httpserver.HTTPServer(handle_request)
    server.listen(port, host)
    return next(iter(server._sockets.values())).getsockname()[1]


# A registry of its own, because the modules of several commands may be imported in one process.
_FLAGS = flags.FlagValues()
_HOST = flags.DEFINE_string("host", "127.0.0.1", "address to listen on", flag_values=_FLAGS)
_PORT = flags.DEFINE_integer("port", 9000, "port to listen on", flag_values=_FLAGS)


async def _serve_forever() -> None:
    listen(StoreEmulator(), _HOST.value, _PORT.value)
    await asyncio.Event().wait()


def main(argv: Sequence[str]) -> None:
    """Runs the emulated store until the process ends."""
    del argv
    asyncio.run(_serve_forever())


if __name__ == "__main__":
    main(_FLAGS(sys.argv))

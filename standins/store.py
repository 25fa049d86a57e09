"""Stand-in for the platform's store: `python -m standins.store --port 9000`.

It speaks the platform's published form. `POST /control` with `{"mode": "up" | "busy" | "silent"}`
changes how it answers; `GET /control` returns the mode and the number of calls.
"""

import asyncio
import json
import sys
from collections.abc import Sequence
from typing import Any

from absl import flags
from tornado import httpserver, httputil

OBJECTS = "/v1/objects/"
CONTROL = "/control"
PAGE_ITEMS = 50
# Longest wait of a watch, in seconds.
MAX_WAIT_S = 30.0


class StoreStandIn:
    """Objects by kind and name with one revision counter and a history of changes."""

    def __init__(self) -> None:
        self.mode = "up"
        self.calls = 0
        self.revision = 1
        self.first_revision = 1
        self._kinds: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Condition()

    def objects(self, kind: str) -> dict[str, dict[str, Any]]:
        """Returns the objects of a kind by name."""
        return self._kinds.setdefault(kind, {})

    def forget_history(self) -> None:
        """Drops the history, so that older watches are answered with 410."""
        self._history.clear()
        self.first_revision = self.revision

    async def answer(self, method: str, path: str, query: dict, body: bytes) -> tuple[int, Any]:
        """Answers one call."""
        self.calls += 1
        if self.mode == "busy":
            return 503, {"error": "busy"}
        if self.mode == "silent":
            await asyncio.sleep(MAX_WAIT_S)
        kind, _, name = path.removeprefix(OBJECTS).partition("/")
        document = json.loads(body) if body else {}
        match method, name:
            case "GET", "":
                if "watch" in query:
                    return await self._watch(kind, query)
                return self._list(kind, query)
            case "GET", _:
                found = self.objects(kind).get(name)
                return (404, {"error": "no such object"}) if found is None else (200, found)
            case "POST", "":
                return await self._create(kind, document)
            case "PUT", _:
                return await self._replace(kind, name, document)
            case "DELETE", _:
                return await self._delete(kind, name)
        return 404, {"error": "no such call"}

    def _list(self, kind: str, query: dict) -> tuple[int, Any]:
        after = query.get("after", "")
        names = sorted(name for name in self.objects(kind) if name > after)
        items = [self.objects(kind)[name] for name in names[:PAGE_ITEMS]]
        has_more = len(names) > PAGE_ITEMS
        return 200, {"items": items, "has_more": has_more, "at": self.revision}

    async def _watch(self, kind: str, query: dict) -> tuple[int, Any]:
        since = int(query["watch"])
        if since < self.first_revision:
            return 410, {"error": "history is gone"}
        wait = min(MAX_WAIT_S, int(query.get("wait_ms", "0")) / 1000)
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(lambda: self._events(kind, since))
        except TimeoutError:
            pass
        return 200, {"events": self._events(kind, since), "at": self.revision}

    def _events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [event for revision, its, event in self._history if its == kind and revision > since]

    async def _create(self, kind: str, document: dict[str, Any]) -> tuple[int, Any]:
        name = document["metadata"]["name"]
        known = self.objects(kind).get(name)
        if known is not None:
            return 409, known
        return await self._store(kind, name, document.get("spec"), None)

    async def _replace(self, kind: str, name: str, document: dict[str, Any]) -> tuple[int, Any]:
        known = self.objects(kind).get(name)
        if known is None:
            return 404, {"error": "no such object"}
        wanted = document.get("metadata", {}).get("revision")
        if wanted is not None and wanted != known["metadata"]["revision"]:
            return 409, known
        if known["spec"] == document.get("spec"):
            return 200, known
        return await self._store(kind, name, document.get("spec"), known)

    async def _store(self, kind: str, name: str, spec: Any, known: Any) -> tuple[int, Any]:
        self.revision += 1
        created = known["metadata"]["create_revision"] if known else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "create_revision": created,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self.objects(kind)[name] = item
        await self._record(kind, {"object": item, "removed": False})
        return 200, item

    async def _delete(self, kind: str, name: str) -> tuple[int, Any]:
        known = self.objects(kind).pop(name, None)
        if known is None:
            return 404, {"error": "no such object"}
        self.revision += 1
        await self._record(kind, {"object": known, "removed": True})
        return 200, known

    async def _record(self, kind: str, event: dict[str, Any]) -> None:
        self._history.append((self.revision, kind, event))
        async with self._changed:
            self._changed.notify_all()

    def control(self, method: str, body: bytes) -> tuple[int, Any]:
        """Changes or tells how calls are answered."""
        if method == "POST":
            self.mode = json.loads(body)["mode"]
        return 200, {"mode": self.mode, "calls": self.calls}

    async def handle(self, request: httputil.HTTPServerRequest) -> None:
        """Answers a request of the HTTP server."""
        query = {name: values[-1].decode() for name, values in request.arguments.items()}
        if request.path == CONTROL:
            status, document = self.control(request.method, request.body)
        else:
            status, document = await self.answer(request.method, request.path, query, request.body)
        body = json.dumps(document).encode()
        headers = httputil.HTTPHeaders(
            {"Content-Type": "application/json", "Content-Length": str(len(body))}
        )
        start_line = httputil.ResponseStartLine("HTTP/1.1", status, "Answer")
        if not request.connection.stream.closed():
            request.connection.write_headers(start_line, headers, body)
            request.connection.finish()


def listen(store: StoreStandIn, host: str, port: int) -> int:
    """Serves a store; returns the port."""
    tasks: set[asyncio.Task] = set()

    def handle(request: httputil.HTTPServerRequest) -> None:
        task = asyncio.get_running_loop().create_task(store.handle(request))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    server = httpserver.HTTPServer(handle)
    server.listen(port, host)
    return next(iter(server._sockets.values())).getsockname()[1]


# Flags of this command only, as another command may be imported beside it.
_FLAGS = flags.FlagValues()
_HOST = flags.DEFINE_string("host", "127.0.0.1", "address to listen on", flag_values=_FLAGS)
_PORT = flags.DEFINE_integer("port", 9000, "port to listen on", flag_values=_FLAGS)


async def _serve() -> None:
    listen(StoreStandIn(), _HOST.value, _PORT.value)
    await asyncio.Event().wait()


def main(argv: Sequence[str]) -> None:
    """Runs the stand-in."""
    del argv
    asyncio.run(_serve())


if __name__ == "__main__":
    main(_FLAGS(sys.argv))

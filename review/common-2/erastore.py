"""A store that states its era and can be restored from an older copy, and endpoints for it."""

import asyncio
import json
import time

from standins import HEARTBEAT_S, Endpoint, Store, encode, read_body, read_head


def _content(spec):
    """What counts as a change of an entry: more than its sequence."""
    return {name: value for name, value in (spec or {}).items() if name != "sequence"}


class EraStore(Store):
    """The store with `Store-Era` in all its answers, as the users' letter of the load tells."""

    def __init__(self):
        super().__init__()
        self.era = 1
        self._waiting = set()

    def copy(self):
        """Returns a copy of what the store holds."""
        return self.revision, {kind: dict(objects) for kind, objects in self._objects.items()}

    async def restore(self, copy, away_s):
        """Is away for a moment and comes back from a copy; watches that wait are cut off."""
        self.outage = "busy"
        for writer in list(self._waiting):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        self.revision, objects = copy
        self._objects = {kind: dict(each) for kind, each in objects.items()}
        self._events = [event for event in self._events if event[0] <= self.revision]
        self.era += 1
        self.outage = ""

    async def _write(self, kind, name, spec):
        old = self._objects.get(kind, {}).get(name)
        if old is not None and _content(old["spec"]) == _content(spec):
            return old
        return await super()._write(kind, name, spec)

    async def _watch(self, kind, query):
        if int(query["watch"]) > self.revision:
            return 410, {"error": "no such history"}
        return await super()._watch(kind, query)

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                if self.outage:
                    status, document = 503, {"error": "busy"}
                else:
                    self._waiting.add(writer)
                    status, document = await self._answer(method, target, body)
                    self._waiting.discard(writer)
                fields = {"Content-Type": "application/json", "Store-Era": self.era}
                writer.write(encode(status, fields, json.dumps(document).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._waiting.discard(writer)
            writer.close()


class LeavingEndpoint(Endpoint):
    """An endpoint that notes when it runs what, and can end its reports and go on serving."""

    is_reporting = True

    def __init__(self, *arguments, **settings):
        super().__init__(*arguments, **settings)
        self.run_at = {}

    async def _beat(self, store):
        sequence = 1
        while self.is_reporting:
            await asyncio.sleep(HEARTBEAT_S)
            sequence += 1
            if self.is_reporting and not store.outage:
                await self.register(store, sequence)

    async def _run(self, method, path, headers, body, writer):
        self.run_at[headers.get("x-request-id", "")] = time.monotonic()
        await super()._run(method, path, headers, body, writer)

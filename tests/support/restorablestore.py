"""Nodes that share a stand-in of the store in memory, which can be restored from an older copy."""

import asyncio
import json
import random
import urllib.parse

from tornado import httputil

from orioleloft_adapter.encoding import encode_table
from orioleloft_adapter.store import (
    CLOSED_ZONES_KIND,
    CONFIG_KIND,
    CONFIG_OBJECT,
    TARGETS_KIND,
    PlatformStore,
)
from orioleloft_core.entrysettings import Endpoint
from orioleloft_core.rollouts import VersionGate
from orioleloft_core.routes import DEFAULT_LIMITS, RouteTable
from orioleloft_core.updates import StateUpdate
from orioleloftd.connections import ExchangeError, HttpResponse
from orioleloftd.rolloutsync import RolloutsResource
from orioleloftd.sharedstate import ChangeOrigin, SharedState
from orioleloftd.storesync import StoreSync
from standins.store import OBJECTS_PATH, StoreEmulator

# Times of a call and of a message between nodes, in seconds.
CALL_S = 0.002
MESSAGE_S = 0.01
PING_PERIOD_S = 0.25


class MemoryClient:
    """Client of a stand-in in the same process, with the interface of `HttpClient`.

    Attributes:
        is_cut: whether calls fail.
        header: what the next responses state as their era instead of the truth, "" for nothing.
        before_answer: called once, between the effect of the next call and its answer.
    """

    def __init__(self, emulator):
        self._emulator = emulator
        self.is_cut = False
        self.header = None
        self.calls = []
        self.before_answer = lambda: None

    async def call(self, host, port, method, path, *, body=b"", content_type="", timeout):
        parts = urllib.parse.urlsplit(path)
        self.calls.append(f"{method} {path.removeprefix(OBJECTS_PATH)}")
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(timeout if self.is_cut else CALL_S)
                query = dict(urllib.parse.parse_qsl(parts.query))
                status, document = await self._emulator.handle_api_request(
                    method, parts.path, query, body
                )
        except TimeoutError as error:
            raise ExchangeError("cut", was_request_sent=True) from error
        if self.is_cut:
            raise ExchangeError("cut", was_request_sent=True)
        hook, self.before_answer = self.before_answer, lambda: None
        hook()
        headers = httputil.HTTPHeaders(self._emulator.api_headers)
        if self.header is not None:
            headers["Store-Era"] = self.header
        return HttpResponse(status, headers, json.dumps(document).encode())


class Node:
    """Shared state and store watch of one node; see `Fleet`."""

    def __init__(self, name, fleet):
        self.name = name
        self.is_cut_from_peers = False
        self.is_watcher = False
        self.client = MemoryClient(fleet.emulator)
        self.store = PlatformStore(Endpoint("store", 1), self.client, fleet.bounds is not None)
        self._fleet = fleet
        self.state = SharedState(
            self._on_change,
            lambda rollouts: self.versions.on_rollouts(rollouts),
            lambda: self.versions.known_versions,
        )
        self.versions = VersionGate(fleet.bounds, self.state.registry)
        clock = asyncio.get_running_loop().time
        self.sync = StoreSync(
            self.store,
            self.state,
            lambda: self.is_watcher,
            lambda access: None,
            clock,
            random.Random(name),
            (RolloutsResource,) if self.versions.is_enabled else (),
        )
        self.sync.start()

    def _on_change(self, origin):
        self.sync.note_era(self.state.era)
        self.versions.refresh()
        if origin is ChangeOrigin.STORE:
            self._fleet.spread(self)

    async def watch(self, is_watcher=True):
        self.is_watcher = is_watcher
        await self.sync.wake_waiting_tasks()

    async def read_initial_state(self):
        """Reads the state once, as a node does that finds no other one."""
        (table, _), targets, closed = (
            await self.store.read_table(),
            await self.store.read_targets(),
            await self.store.read_closed_zones(),
        )
        self.state.apply_initial(StateUpdate(table, targets, closed))

    @property
    def eligible(self):
        return {target.id for target in self.state.registry.eligible_targets("s")}

    @property
    def known(self):
        return {target.id for target in self.state.registry.target_list.targets}

    @property
    def closed_zones(self):
        return set(self.state.registry.closed_zones.zones)


class Fleet:
    """Nodes that tell each other of changes at once and compare their versions periodically."""

    def __init__(self, names, watchers, bounds=None):
        self.bounds = bounds
        self.emulator = StoreEmulator(asyncio.get_running_loop().time)
        self.emulator.sends_era = True
        self.nodes = {}
        for name in names:
            self.start(name, name in watchers)
        self._tasks = [asyncio.ensure_future(self._compare_versions())]

    def start(self, name, is_watcher=False):
        node = self.nodes[name] = Node(name, self)
        node.is_watcher = is_watcher
        return node

    def stop(self, name):
        self.nodes.pop(name).sync.stop()

    def spread(self, sender):
        for other in self.nodes.values():
            if other is not sender:
                asyncio.get_running_loop().call_later(MESSAGE_S, self._tell, sender, other)

    def _tell(self, sender, other):
        if sender.is_cut_from_peers or other.is_cut_from_peers:
            return
        update = sender.state.update_since(other.state.state_versions)
        if not update.is_empty:
            other.state.apply(update, sender.name)

    async def _compare_versions(self):
        while True:
            await asyncio.sleep(PING_PERIOD_S)
            for node in list(self.nodes.values()):
                self.spread(node)

    async def write(self, method, kind, name="", spec=None):
        document = {"metadata": {"name": name}, "spec": spec or {}}
        path = f"{OBJECTS_PATH}{kind}" + (f"/{name}" if method != "POST" else "")
        body = b"" if method == "DELETE" else json.dumps(document).encode()
        status, _ = await self.emulator.handle_api_request(method, path, {}, body)
        return status

    async def register(self, name, state="ready", born=1):
        spec = {
            "address": "10.0.0.1:80",
            "service": "s",
            "zone": "za",
            "slots": 2,
            "state": state,
            "born": born,
        }
        if await self.write("PUT", TARGETS_KIND, name, spec) == 404:
            await self.write("POST", TARGETS_KIND, name, spec)

    async def remove(self, name):
        await self.write("DELETE", TARGETS_KIND, name)

    async def publish(self, version):
        spec = encode_table(RouteTable(version, (), (), DEFAULT_LIMITS), None)
        if await self.write("PUT", CONFIG_KIND, CONFIG_OBJECT, spec) == 404:
            await self.write("POST", CONFIG_KIND, CONFIG_OBJECT, spec)

    async def close_zone(self, zone):
        await self.write("POST", CLOSED_ZONES_KIND, zone)

    async def open_zone(self, zone):
        await self.write("DELETE", CLOSED_ZONES_KIND, zone)

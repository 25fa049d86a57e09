"""Tests of publishing: races of operators, lost answers, repeated notes."""

import asyncio
import pathlib
import unittest

from nose2.tools import params

from orioleloft import publishing
from orioleloft.publishing import ConflictError, Published
from orioleloft_core import note as notes
from orioleloft_core.errors import OutcomeUnknownError, ReleaseRefusedError

START = (pathlib.Path(__file__).resolve().parent.parent / "examples" / "start.ini").read_text()


def change(name, route, timeout="3 s"):
    head = f"[note]\nname = {name}\nauthor = a\n"
    return notes.parse(f"{head}[route {route}]\nchange = change\ntimeout = {timeout}\n")


class FakeStore:
    """A store in memory; `before_write` is called before each write of a table."""

    def __init__(self):
        self.published = Published(None, 0)
        self.audit = []
        self.zones = set()
        self.before_write = lambda: None
        self.lose = ""

    async def read_published(self):
        return self.published

    async def write_published(self, old, table):
        hook, self.before_write = self.before_write, lambda: None
        hook()
        if old.revision != self.published.revision:
            raise ConflictError
        lose, self.lose = self.lose, ""
        if lose != "before":
            self.published = Published(table, self.published.revision + 1)
        if lose:
            raise OutcomeUnknownError("no answer")

    async def set_zone(self, zone, is_closed):
        (self.zones.add if is_closed else self.zones.discard)(zone)

    async def append_audit(self, entry):
        self.audit.append(entry)

    async def read_audit(self):
        return self.audit


class PublishingTest(unittest.TestCase):
    def setUp(self):
        self.store = FakeStore()
        self.publish(notes.parse(START))

    def publish(self, note):
        return asyncio.run(publishing.publish(self.store, note, "op"))

    def race(self, note):
        def write():
            table = notes.apply(self.store.published.table, note)
            self.store.published = Published(table, self.store.published.revision + 1)

        self.store.before_write = write

    def test_notes_that_touch_different_things(self):
        """Guards against a note that is lost to another one accepted at the same moment."""
        self.race(change("x", "seat-hold"))
        self.assertEqual(self.publish(change("y", "seat-look")).version, 3)
        routes = {route.name: route.timeout for route in self.store.published.table.routes}
        self.assertEqual(routes, {"seat-hold": 3.0, "seat-look": 3.0})

    def test_notes_that_overlap(self):
        """Guards against a note that silently undoes another operator's."""
        self.race(change("x", "seat-look", "4 s"))
        with self.assertRaises(ReleaseRefusedError):
            self.publish(change("y", "seat-look", "3 s"))
        route = self.store.published.table.route("lookups.example", "/api/1")
        self.assertEqual(route.timeout, 4.0)

    @params("before", "after")
    def test_lost_answer(self, when):
        """Guards against a note that takes effect twice or not at all when its answer is lost."""
        self.store.lose = when
        self.assertEqual(self.publish(change("x", "seat-look")).version, 2)
        self.assertEqual(self.store.published.table.version, 2)

    def test_note_sent_again(self):
        """Guards against a second version for the same note."""
        note = change("x", "seat-look")
        first = self.publish(note)
        self.assertEqual(self.publish(note), first)
        with self.assertRaises(ReleaseRefusedError):
            self.publish(change("x", "seat-look", "4 s"))

    def test_zone_and_audit(self):
        """Guards against a zone that stays as it was, and against changes without a trail."""
        text = "[note]\nname = z\nauthor = a\n[zone zb]\nstate = closed\n"
        self.publish(notes.parse(text))
        self.assertEqual(self.store.zones, {"zb"})
        self.assertEqual([entry.note for entry in self.store.audit], ["start", "z"])
        self.assertEqual(self.store.audit[1].edits, ("zone zb",))

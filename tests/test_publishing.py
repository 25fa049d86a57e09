"""Tests of publishing: concurrent operators, lost answers, repeated notes."""

import asyncio
import pathlib
import unittest

from nose2.tools import params

from orioleloft import publishing
from orioleloft.publishing import PublishedTable, VersionConflictError
from orioleloft_core import note as notes
from orioleloft_core.errors import OutcomeUnknownError, ReleaseRefusedError

START = (pathlib.Path(__file__).resolve().parent.parent / "examples" / "start.ini").read_text()


def make_note(name, route, timeout="3 s"):
    head = f"[note]\nname = {name}\nauthor = a\n"
    return notes.parse(f"{head}[route {route}]\nchange = change\ntimeout = {timeout}\n")


class FakeStore:
    """In-memory store with hooks for races and lost answers.

    Attributes:
        before_write: called once, before the next write of a table.
        lost_answer: "before" or "after" to lose the answer of the next write of a table before or
            after it takes effect, "" to lose none.
    """

    def __init__(self):
        self.published = PublishedTable(None, 0)
        self.audit = []
        self.zones = set()
        self.before_write = lambda: None
        self.lost_answer = ""

    async def read_published_table(self):
        return self.published

    async def write_published_table(self, old, table):
        hook, self.before_write = self.before_write, lambda: None
        hook()
        if old.revision != self.published.revision:
            raise VersionConflictError
        lost_answer, self.lost_answer = self.lost_answer, ""
        if lost_answer != "before":
            self.published = PublishedTable(table, self.published.revision + 1)
        if lost_answer:
            raise OutcomeUnknownError("no answer")

    async def set_zone_closed(self, zone, is_closed):
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

    def publish_before_next_write(self, note):
        def write():
            table = notes.apply(self.store.published.table, note)
            self.store.published = PublishedTable(table, self.store.published.revision + 1)

        self.store.before_write = write

    def test_concurrent_notes_for_different_items(self):
        """Guards against a note that is lost when another one is accepted at the same time."""
        self.publish_before_next_write(make_note("x", "seat-hold"))
        self.assertEqual(self.publish(make_note("y", "seat-look")).version, 3)
        routes = {route.name: route.timeout for route in self.store.published.table.routes}
        self.assertEqual(routes, {"seat-hold": 3.0, "seat-look": 3.0})

    def test_concurrent_notes_for_same_item(self):
        """Guards against a note that silently overwrites another operator's change."""
        self.publish_before_next_write(make_note("x", "seat-look", "4 s"))
        with self.assertRaises(ReleaseRefusedError):
            self.publish(make_note("y", "seat-look", "3 s"))
        route = self.store.published.table.route("lookups.example", "/api/1")
        self.assertEqual(route.timeout, 4.0)

    @params("before", "after")
    def test_lost_answer(self, when):
        """Guards against a note that takes effect twice or never when the answer is lost."""
        self.store.lost_answer = when
        self.assertEqual(self.publish(make_note("x", "seat-look")).version, 2)
        self.assertEqual(self.store.published.table.version, 2)

    def test_repeated_note(self):
        """Guards against a second version for a repeated note, and against reuse of its name."""
        note = make_note("x", "seat-look")
        first = self.publish(note)
        self.assertEqual(self.publish(note), first)
        with self.assertRaises(ReleaseRefusedError):
            self.publish(make_note("x", "seat-look", "4 s"))

    def test_zone_and_audit_trail(self):
        """Guards against a zone that stays open, and against changes missing in the audit trail."""
        text = "[note]\nname = z\nauthor = a\n[zone zb]\nstate = closed\n"
        self.publish(notes.parse(text))
        self.assertEqual(self.store.zones, {"zb"})
        self.assertEqual([entry.note for entry in self.store.audit], ["start", "z"])
        self.assertEqual(self.store.audit[1].edits, ("zone zb",))

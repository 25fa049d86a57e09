"""Tests of publishing: concurrent operators, lost answers, repeated and interrupted notes."""

import asyncio
import contextlib
import copy
import dataclasses
import itertools
import pathlib
import unittest

from nose2.tools import params

from orioleloft import publishing
from orioleloft.publishing import PublishedTable, VersionConflictError
from orioleloft_core import note as notes
from orioleloft_core.errors import OutcomeUnknownError, ReleaseRefusedError, StoreRestoredError
from orioleloft_core.registry import StoreRevision

START = (pathlib.Path(__file__).resolve().parent.parent / "examples" / "start.ini").read_text()


def make_note(name, route, timeout="3 s"):
    head = f"[note]\nname = {name}\nauthor = a\n"
    return notes.parse(f"{head}[route {route}]\nchange = change\ntimeout = {timeout}\n")


class FakeStore:
    """In-memory store with hooks for races and lost answers.

    Attributes:
        cut_at: number of the call that is cut off, 0 for none.
        cut_when: "before" or "after" its effect.
        before_write: called once, before the next write of a table.
        lost_answer: "before" or "after" to lose the answer of the next write of a table before or
            after it takes effect, "" to lose none.
        era: era of the store.
    """

    era = 0

    def __init__(self):
        self.published = PublishedTable(None, 0)
        self.audit = []
        self.zones = set()
        self.before_write = lambda: None
        self.lost_answer = ""
        self.pending = {}
        self.orders = itertools.count(1)
        self.calls = 0
        self.cut_at = 0
        self.cut_when = ""
        self.restores = {}
        self.removed_entries = 0

    def copy(self):
        """Returns a copy to which `restore_at` can go back."""
        return copy.deepcopy((self.published, self.audit, self.zones, self.pending))

    def restore_at(self, call, older=None):
        """Restores the store with a later call, before its effect and in the era of its answer."""
        self.restores[self.calls + call] = older or self.copy()

    def _restore(self, older):
        self.era += 1
        self.published, self.audit, self.zones, self.pending = copy.deepcopy(older)
        revision = StoreRevision(self.era, self.published.revision).number
        self.published = dataclasses.replace(self.published, revision=revision)

    async def read_published_table(self):
        await self._count_call()
        return self.published

    async def _count_call(self, effect=lambda: None):
        """Counts a call and cuts it off, before or after its effect, if it is the chosen one."""
        await asyncio.sleep(0)
        self.calls += 1
        if self.calls in self.restores:
            self._restore(self.restores.pop(self.calls))
        if self.calls == self.cut_at and self.cut_when == "before":
            raise OutcomeUnknownError("cut off")
        result = effect()
        if self.calls == self.cut_at:
            raise OutcomeUnknownError("cut off")
        return result

    async def add_pending(self, pending):
        def add():
            if pending.note in self.pending:
                return False
            self.pending[pending.note] = dataclasses.replace(pending, order=next(self.orders))
            return True

        return await self._count_call(add)

    async def read_pending(self):
        await self._count_call()
        return sorted(self.pending.values(), key=lambda each: each.order)

    async def remove_pending(self, name):
        await self._count_call(lambda: self.pending.pop(name, None))

    async def write_published_table(self, old, table):
        hook, self.before_write = self.before_write, lambda: None
        hook()
        lost_answer, self.lost_answer = self.lost_answer, ""

        def write():
            if old.revision != self.published.revision:
                raise VersionConflictError
            if lost_answer != "before":
                self.published = PublishedTable(table, self.published.revision + 1)

        await self._count_call(write)
        if lost_answer:
            raise OutcomeUnknownError("no answer")

    async def set_zone_closed(self, zone, is_closed):
        change = self.zones.add if is_closed else self.zones.discard
        await self._count_call(lambda: change(zone))

    async def append_audit(self, entry):
        def append():
            if entry.note not in [each.note for each in self.audit]:
                self.audit.append(entry)

        await self._count_call(append)

    async def remove_audit(self, entry):
        def remove():
            self.removed_entries += 1
            self.audit = [each for each in self.audit if each.note != entry.note]

        await self._count_call(remove)

    async def read_audit(self):
        await self._count_call()
        return list(self.audit)


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

    NOTE_WITH_ALL_STEPS = (
        "[note]\nname = all\nauthor = a\n[route seat-look]\nchange = change\ntimeout = 3 s\n"
        "[service archive]\nchange = add\nhealth_path = /h\nmax_connections = 9\n"
        "cold_per_s = 2\ncold_start = 3 s\n[zone zb]\nstate = closed\n"
    )

    @params("before", "after")
    def test_note_that_is_cut_off(self, when):
        """Guards against a note whose zones or audit entry can never be written.

        Its items were in force after the first attempt, so publishing it again was refused.
        """
        note = notes.parse(self.NOTE_WITH_ALL_STEPS)
        for step in range(1, 30):
            self.setUp()
            self.store.calls, self.store.cut_at, self.store.cut_when = 0, step, when
            with contextlib.suppress(OutcomeUnknownError):
                self.publish(note)
            is_past_last_call = self.store.calls < step
            self.store.cut_at = 0
            entry = asyncio.run(publishing.publish(self.store, note, "second operator"))
            self.assertEqual((entry.version, self.store.published.table.version), (2, 2), step)
            self.assertEqual(self.store.zones, {"zb"}, step)
            self.assertEqual([each.note for each in self.store.audit], ["start", "all"], step)
            self.assertEqual(self.store.pending, {}, step)
            if is_past_last_call:
                return
        self.fail("the note takes more calls than were cut off")

    def test_note_that_overlaps_a_pending_one(self):
        """Guards against a note that is undone when an earlier one is finished after it."""
        first = make_note("first", "seat-look", "3 s")
        self.store.calls, self.store.cut_at, self.store.cut_when = 0, 3, "after"
        with self.assertRaises(OutcomeUnknownError):
            self.publish(first)
        self.store.cut_at = 0
        with self.assertRaises(ReleaseRefusedError) as raised:
            self.publish(make_note("second", "seat-look", "4 s"))
        self.assertIn("first", str(raised.exception))
        self.assertEqual(list(self.store.pending), ["first"])
        self.publish(make_note("other", "seat-hold"))
        self.publish(first)
        self.publish(make_note("second", "seat-look", "4 s"))
        route = self.store.published.table.route("lookups.example", "/api/1")
        self.assertEqual((route.timeout, self.store.published.table.version), (4.0, 4))
        self.assertEqual(self.store.pending, {})

    def test_two_operators_finish_a_note(self):
        """Guards against a second version, or two audit entries, if both finish it at once."""
        note = notes.parse(self.NOTE_WITH_ALL_STEPS)

        async def publish_twice():
            return await asyncio.gather(
                *[publishing.publish(self.store, note, name) for name in ("op1", "op2")]
            )

        self.assertEqual([entry.version for entry in asyncio.run(publish_twice())], [2, 2])
        self.assertEqual([each.note for each in self.store.audit], ["start", "all"])
        self.assertEqual((self.store.zones, self.store.pending), ({"zb"}, {}))

    @params(*range(1, 9))
    def test_restore_during_a_publish(self, step):
        """Guards against a note that is reported as published and lost with the store.

        The store is restored with the given call, to its state before the note.
        """
        self.store.zones.add("zc")
        self.store.restore_at(step)
        entry = self.publish(notes.parse(self.NOTE_WITH_ALL_STEPS))
        self.assertEqual((entry.version, self.store.published.table.version), (2, 2))
        self.assertEqual(self.store.zones, {"zb", "zc"})
        self.assertEqual([each.note for each in self.store.audit], ["start", "all"])
        self.assertEqual((self.store.pending, self.store.era), ({}, 1))
        # Only the call that adds the entry cannot know that the store was just restored.
        self.assertEqual(self.store.removed_entries, int(step == 7))

    @params(5, 6, 7)
    def test_restore_to_an_older_table(self, step):
        """Guards against a version with other content than the one that nodes had under it.

        They would ignore it, and the operator would believe that it is in force.
        """
        older = self.store.copy()
        self.publish(make_note("lost", "seat-hold", "4 s"))
        self.store.restore_at(step, older)
        with self.assertRaises(StoreRestoredError) as raised:
            self.publish(make_note("x", "seat-look"))
        self.assertIn("version", str(raised.exception))
        self.assertTrue(raised.exception.remedy)
        self.assertEqual((self.store.published.table.version, self.store.pending), (1, {}))
        self.assertEqual([each.note for each in self.store.audit], ["start"])

    def test_refused_note_is_not_pending(self):
        """Guards against a note that is refused and blocks all others that edit its items."""
        with self.assertRaises(ReleaseRefusedError):
            self.publish(make_note("x", "nothing"))
        self.assertEqual(self.store.pending, {})

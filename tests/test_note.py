"""Tests of parsing release notes and applying them to the route table."""

import pathlib
import unittest

from nose2.tools import params

from orioleloft_core import note as notes
from orioleloft_core.errors import NoteError, ReleaseRefusedError

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEADER = "[note]\nname = n\nauthor = a\n"
START = (ROOT / "examples" / "start.ini").read_text()


def parse_section(section, *lines):
    return notes.parse(HEADER + "\n".join([f"[{section}]", *lines]) + "\n")


class ParseTest(unittest.TestCase):
    @params("start.ini", "zone-out.ini", "zone-back.ini")
    def test_examples(self, name):
        """Guards against shipped examples that are not valid notes."""
        self.assertTrue(notes.parse((ROOT / "examples" / name).read_text()).edits)

    @params(
        ("no ini", "not valid INI"),
        ("[note]\nname = n\n[limits]\nidle_timeout = 5 s\n", "no author"),
        (HEADER, "contains no changes"),
        (HEADER + "[shop a]\nchange = add\n", "not a known section"),
        (HEADER + "[route a]\nchange = drop\n", "add, change or withdraw"),
        (HEADER + "[route a]\nchange = add\nhost = h\n", "lacks"),
        (HEADER + "[route a]\nchange = change\ntimeout = 5\n", "not a duration"),
        (HEADER + "[route a]\nchange = change\nattempts = 0\n", "not greater than 0"),
        (HEADER + "[route a]\nchange = change\npath_prefix = /a\n", "slash"),
        (HEADER + "[route a]\nchange = change\nservices = s:x\n", "whole number"),
        (HEADER + "[route a]\nchange = change\ncolour = red\n", "unknown key"),
        (HEADER + "[zone a]\nstate = away\n", "state = open"),
        (HEADER + "[route a]\nchange = change\nattempts = ²\n", "not a whole number"),
        (HEADER + "[service a]\nchange = change\ncold_per_s = nan\n", "not a finite number"),
        (HEADER + "[service a]\nchange = change\ncold_per_s = -1\n", "not a finite number"),
    )
    def test_faults(self, text, message):
        """Guards against invalid notes that are accepted, or rejected without naming the fault."""
        with self.assertRaises(NoteError) as raised:
            notes.parse(text)
        self.assertIn(message, str(raised.exception))

    def test_digest_ignores_line_endings(self):
        """Guards against a note that counts as another one after a change of line endings."""
        self.assertEqual(notes.parse(START).digest, notes.parse(START.replace("\n", "\r\n")).digest)


class ApplyTest(unittest.TestCase):
    def setUp(self):
        self.table = notes.apply(None, notes.parse(START))

    def test_first_table(self):
        """Guards against a first route table that lacks items that the note adds."""
        self.assertEqual(self.table.version, 1)
        self.assertEqual(self.table.route("lookups.example", "/api/1").name, "seat-look")

    def test_change_and_withdraw(self):
        """Guards against a change that resets fields which the note does not mention."""
        changed = notes.apply(
            self.table,
            parse_section(
                "route seat-look", "change = change", "services = availability:9, ledger"
            ),
        )
        route = changed.route("lookups.example", "/api/1")
        self.assertEqual([weighted.weight for weighted in route.weighted_services], [9.0, 1.0])
        self.assertEqual(route.timeout, 2.0)
        withdrawn = notes.apply(changed, parse_section("route seat-look", "change = withdraw"))
        self.assertIsNone(withdrawn.route("lookups.example", "/api/1"))
        self.assertEqual(withdrawn.version, 3)

    @params(
        ("route seat-look", ("change = withdraw",), True),
        ("route nothing", ("change = withdraw",), False),
        ("service ledger", ("change = withdraw",), False),
        ("route seat-look", ("change = change", "services = nowhere"), False),
        ("route seat-look", ("change = change", "target_latency = 9 s"), False),
        ("route seat-look", ("change = change", "host = ledger.example"), False),
        ("limits", ("idle_timeout = 4 s",), True),
    )
    def test_consistency_with_table(self, section, lines, is_accepted):
        """Guards against a table that the platform refuses or that routes to unknown services."""
        note = parse_section(section, *lines)
        if is_accepted:
            self.assertEqual(notes.apply(self.table, note).version, 2)
            return
        with self.assertRaises(ReleaseRefusedError):
            notes.apply(self.table, note)

    def test_edited_and_changed_items(self):
        """Guards against an undetected conflict of two notes that edit the same item."""
        note = parse_section("route seat-look", "change = change", "timeout = 3 s")
        new = notes.apply(self.table, note)
        self.assertEqual(notes.changed_items(self.table, new), {("route", "seat-look")})
        self.assertEqual(notes.edited_items(note), {("route", "seat-look")})

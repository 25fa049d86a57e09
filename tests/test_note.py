"""Tests of release notes."""

import pathlib
import unittest

from nose2.tools import params

from orioleloft_core import note as notes
from orioleloft_core.errors import NoteError, ReleaseRefusedError

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEAD = "[note]\nname = n\nauthor = a\n"
START = (ROOT / "examples" / "start.ini").read_text()


def edit(section, *lines):
    return notes.parse(HEAD + "\n".join([f"[{section}]", *lines]) + "\n")


class ParseTest(unittest.TestCase):
    @params("start.ini", "zone-out.ini", "zone-back.ini")
    def test_examples(self, name):
        """Guards against examples that the command refuses."""
        self.assertTrue(notes.parse((ROOT / "examples" / name).read_text()).edits)

    @params(
        ("no ini", "no INI text"),
        ("[note]\nname = n\n[limits]\nidle_timeout = 5 s\n", "no author"),
        (HEAD, "changes nothing"),
        (HEAD + "[shop a]\nchange = add\n", "no known section"),
        (HEAD + "[route a]\nchange = drop\n", "add, change or withdraw"),
        (HEAD + "[route a]\nchange = add\nhost = h\n", "lacks"),
        (HEAD + "[route a]\nchange = change\ntimeout = 5\n", "not a time"),
        (HEAD + "[route a]\nchange = change\nattempts = 0\n", "not above 0"),
        (HEAD + "[route a]\nchange = change\npath_prefix = /a\n", "slash"),
        (HEAD + "[route a]\nchange = change\nservices = s:x\n", "whole number"),
        (HEAD + "[route a]\nchange = change\ncolour = red\n", "unknown key"),
        (HEAD + "[zone a]\nstate = away\n", "state = open"),
    )
    def test_faults(self, text, message):
        """Guards against a note that is published with a fault, or refused without its place."""
        with self.assertRaises(NoteError) as raised:
            notes.parse(text)
        self.assertIn(message, str(raised.exception))

    def test_digest_ignores_line_ends(self):
        """Guards against the same note that is taken for another one."""
        self.assertEqual(notes.parse(START).digest, notes.parse(START.replace("\n", "\r\n")).digest)


class ApplyTest(unittest.TestCase):
    def setUp(self):
        self.table = notes.apply(None, notes.parse(START))

    def test_first(self):
        """Guards against a first configuration that lacks what the note adds."""
        self.assertEqual(self.table.version, 1)
        self.assertEqual(self.table.route("lookups.example", "/api/1").name, "seat-look")

    def test_change_and_withdraw(self):
        """Guards against changes that lose the other fields."""
        changed = notes.apply(
            self.table,
            edit("route seat-look", "change = change", "services = availability:9, ledger"),
        )
        route = changed.route("lookups.example", "/api/1")
        self.assertEqual([share.weight for share in route.shares], [9.0, 1.0])
        self.assertEqual(route.timeout, 2.0)
        gone = notes.apply(changed, edit("route seat-look", "change = withdraw"))
        self.assertIsNone(gone.route("lookups.example", "/api/1"))
        self.assertEqual(gone.version, 3)

    @params(
        ("route seat-look", ("change = withdraw",), True),
        ("route nothing", ("change = withdraw",), False),
        ("service ledger", ("change = withdraw",), False),
        ("route seat-look", ("change = change", "services = nowhere"), False),
        ("route seat-look", ("change = change", "target_latency = 9 s"), False),
        ("route seat-look", ("change = change", "host = ledger.example"), False),
        ("limits", ("idle_timeout = 4 s",), True),
    )
    def test_fits_the_table(self, section, lines, is_accepted):
        """Guards against a table that the platform refuses or that routes to nothing."""
        note = edit(section, *lines)
        if is_accepted:
            self.assertEqual(notes.apply(self.table, note).version, 2)
            return
        with self.assertRaises(ReleaseRefusedError):
            notes.apply(self.table, note)

    def test_differences(self):
        """Guards against an overlap of two notes that is not seen."""
        note = edit("route seat-look", "change = change", "timeout = 3 s")
        new = notes.apply(self.table, note)
        self.assertEqual(notes.differences(self.table, new), {("route", "seat-look")})
        self.assertEqual(notes.touched(note), {("route", "seat-look")})

"""Tests of the parser and the offline checks of release notes."""

import pathlib
import unittest

from nose2.tools import params

from orioleloft_core import note
from orioleloft_core.errors import NoteError
from orioleloft_core.note import Change, Kind
from tests.support.fixtures import START, text

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
ZONE = ("zone za", "change = add", "region = r")
SERVICE = ("service s", "change = add", "slots = 2")


def target(name, *keys):
    return (f"target s/{name}", "change = add", *keys)


class NoteTest(unittest.TestCase):
    def test_values(self):
        """Guards against a key that is read into another field or type."""
        found = note.parse(START)
        edits = {edit.path: edit for edit in found.edits}
        self.assertEqual((found.name, found.base, found.author), ("start", 0, "test"))
        self.assertEqual(edits["zone/za"].fields, {"region": "r"})
        self.assertEqual(edits["service/ledger"].fields, {"slots": 2})
        expected = {"host": "127.0.0.1", "port": 9001, "zone": "za"}
        self.assertEqual(edits["target/ledger/l-01"].fields, expected)
        kind = edits["customer/web"].kind, edits["customer/web"].change
        self.assertEqual(kind, (Kind.CUSTOMER, Change.ADD))

    def test_id_follows_the_content(self):
        """Guards against a resubmitted note that looks new, and a changed one that looks old."""
        found = note.parse(START)
        self.assertEqual(note.parse(START.replace("\n", "\r\n")).id, found.id)
        self.assertNotEqual(note.parse(START.replace("9001", "9002")).id, found.id)
        self.assertRegex(found.id, r"^start-[0-9a-f]{12}$")

    def test_multi_line_values(self):
        """Guards against a continued value whose lines are taken for keys."""
        content = text("n", 1, ZONE).replace(
            "author = test", "author = test\ndescription = one\n  two = 2\n  [three]"
        )
        self.assertEqual(note.parse(content).description, "one\ntwo = 2\n[three]")

    @params(
        (("zones a", "change = add"), 5, "the section [zones a] is unknown."),
        (("DEFAULT", "change = add"), 5, "the section [DEFAULT] is unknown."),
        (("zone a", "change = add", "region = r", "stat = open"), 8, "the key stat of [zone a] is"),
        (("zone a", "change = add"), 5, "the key region of [zone a] is missing."),
        (("zone a", "region = r"), 5, "the key change of [zone a] is missing."),
        (("zone a", "change = put"), 6, "change = put is wrong."),
        (("zone a", "change = change"), 5, "[zone a] changes nothing."),
        (("zone a", "change = withdraw", "state = open"), 5, "[zone a] withdraws and also"),
        (("zone a", "change = change", "state = shut"), 7, "state = shut is wrong."),
        (("zone a b", "change = withdraw"), 5, "'a b' cannot name a zone."),
        (("target s", "change = withdraw"), 5, "'s' cannot name a target."),
        (("target s/a/b", "change = withdraw"), 5, "'s/a/b' cannot name a target."),
        (("service s", "change = add", "slots = 0"), 7, "slots = 0 is wrong."),
        (("service s", "change = add", "slots = ²"), 7, "slots = ² is wrong."),
        (("service s", "change = change", "overlap = -1"), 7, "overlap = -1 is wrong."),
        (("customer c", "change = add", "weight = 1.5"), 7, "weight = 1.5 is wrong."),
        (("target s/a", "change = change", "address = host:80"), 7, "address = host:80 is wrong."),
        (("target s/a", "change = change", "address = 1.2.3.4:0"), 7, "address = 1.2.3.4:0 is"),
        (("target s/a", "change = change", "address = ::1:80"), 7, "address = ::1:80 is wrong."),
        (("zone a", "change = withdraw", "change = withdraw"), 7, "key change is also on line 6."),
        (("zone a", "change = withdraw", "text"), 7, "the line is no section and no key."),
    )
    def test_faults_with_lines(self, section, line, message):
        """Guards against a fault that is accepted, or reported at another line."""
        found, faults = note.check(text("n", 1, section))
        self.assertIsNone(found)
        matching = [fault for fault in faults if fault.message.startswith(message)]
        self.assertEqual([fault.line for fault in matching], [line], faults)
        self.assertTrue(all(fault.remedy for fault in faults))

    @params(
        ([SERVICE, target("a", "address = 127.0.0.1:1", "zone = zx")], 1, None),
        ([SERVICE, target("a", "address = 127.0.0.1:1", "zone = zx")], 0, "unknown zone zx"),
        ([ZONE, target("a", "address = 127.0.0.1:1", "zone = za")], 0, "unknown service s"),
        (
            [("zone zx", "change = withdraw"), target("a", "address = 127.0.0.1:1", "zone = zx")],
            1,
            "zone zx that this note withdraws",
        ),
        (
            [
                target("a", "address = 127.0.0.1:1", "zone = za"),
                target("b", "address = 127.0.0.1:1", "zone = za"),
            ],
            1,
            "127.0.0.1:1 of s/b is also the address of s/a",
        ),
        ([("customer c", "change = withdraw")], 0, "changes what base 0 does not have"),
        ([], 1, "the note changes nothing"),
    )
    def test_sections_together(self, sections, base, message):
        """Guards against contradictions in one note that only show after publishing."""
        _, faults = note.check(text("n", base, *sections))
        if message is None:
            self.assertEqual(faults, ())
            return
        self.assertTrue(any(message in fault.message for fault in faults), faults)

    def test_all_faults_at_once(self):
        """Guards against an operator who must publish once for each fault."""
        content = "x = 1\n[note]\nname = a/b\nbase = x\n[zone a]\n[zone a]\nchange = no\n"
        _, faults = note.check(content)
        self.assertEqual([fault.line for fault in faults], [1, 2, 3, 4, 6, 7])
        with self.assertRaisesRegex(NoteError, "(?s)6 faults.*line 1: .*line 7: "):
            note.parse(content)

    @params("", "[zone a]", "\0", "[note]\n[note", "[note]\nname\n")
    def test_no_text_breaks_the_parser(self, content):
        """Guards against an exception of the INI library instead of a fault."""
        found, faults = note.check(content)
        self.assertIsNone(found)
        self.assertTrue(faults)

    def test_size_limit(self):
        """Guards against a note whose object the platform would not take."""
        _, faults = note.check(START + "#" * note.MAX_NOTE_BYTES)
        self.assertIn("Split it", faults[0].remedy)

    @params(("boleteria", 28, 3, 3), ("dasgupta", 36, 4, 3))
    def test_examples(self, user, targets, zones, services):
        """Guards against example notes that are out of date."""
        for path in (EXAMPLES / user).glob("*.ini"):
            self.assertEqual(note.check(path.read_text())[1], (), path)
        kinds = [
            edit.kind for edit in note.parse((EXAMPLES / user / "start.ini").read_text()).edits
        ]
        counts = tuple(map(kinds.count, (Kind.TARGET, Kind.ZONE, Kind.SERVICE)))
        self.assertEqual(counts, (targets, zones, services))


if __name__ == "__main__":
    unittest.main()

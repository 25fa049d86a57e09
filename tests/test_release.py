"""Tests of planning, overlap, merge, documents, and of publishing without faults."""

import json
import unittest
from unittest import mock

from nose2.tools import params

from orioleloft_core import head as headdocument
from orioleloft_core import note, publishing, release
from orioleloft_core.catalog import Customer, Service, Target, Zone
from orioleloft_core.errors import DocumentError, NoteError, OutcomeUnknownError
from orioleloft_core.head import Entry, Head, Part
from orioleloft_core.publishing import Accepted
from tests.support.fakeplatform import FakePlatform
from tests.support.fixtures import START, text

ADD_T = ("target ledger/l-02", "change = add", "address = 127.0.0.1:9002", "zone = za")
ADD_U = ("target ledger/l-03", "change = add", "address = 127.0.0.1:9003", "zone = za")
SAME_ADDRESS = ("target ledger/l-04", "change = add", "address = 127.0.0.1:9002", "zone = za")
DRAIN = ("target ledger/l-01", "change = change", "state = draining")
MOVE = ("target ledger/l-01", "change = change", "zone = zb")
NEW_PORT = ("target ledger/l-01", "change = change", "address = 127.0.0.1:9009")
OLD_PORT = ("target ledger/l-05", "change = add", "address = 127.0.0.1:9001", "zone = zb")
GONE = ("target ledger/l-01", "change = withdraw")
CLOSE = ("zone za", "change = change", "state = closed")
OUT = ("zone za", "change = withdraw")
OUT_B = ("zone zb", "change = withdraw")
SLOTS = ("service ledger", "change = change", "slots = 3")
NO_SERVICE = ("service ledger", "change = withdraw")
WEIGHT = ("customer web", "change = change", "weight = 5")


class ReleaseTest(unittest.TestCase):
    def setUp(self):
        self.platform = FakePlatform()
        self.assertEqual(self.publish(START), Accepted(1))

    def publish(self, content, operator="ana"):
        steps = publishing.publish(note.parse(content), operator, 1000)
        return self.platform.run(steps)

    def catalog(self):
        head = self.platform.run(publishing.read_head())
        services = tuple(head.objects)
        parts = self.platform.run(publishing.read_parts(head, services, {}))
        return headdocument.catalog(head, parts)

    @params(
        (CLOSE, ADD_T),
        (SLOTS, ADD_T),
        (ADD_T, ADD_U),
        (DRAIN, ADD_T),
        (CLOSE, WEIGHT),
        (SLOTS, CLOSE),
        (NEW_PORT, ADD_T),
    )
    def test_disjoint_notes_merge_in_both_orders(self, one, other):
        """Guards against a note that undoes, or wrongly meets, one accepted after its base."""
        catalogs = []
        for first, second in ((one, other), (other, one)):
            self.setUp()
            self.assertEqual(self.publish(text("first", 1, first)), Accepted(2))
            self.assertEqual(self.publish(text("second", 1, second)), Accepted(3))
            catalogs.append(self.catalog())
        self.assertEqual(catalogs[0], catalogs[1])

    @params(
        (CLOSE, CLOSE, "zone/za"),
        (DRAIN, MOVE, "target/ledger/l-01"),
        (WEIGHT, WEIGHT, "customer/web"),
        (ADD_T, SAME_ADDRESS, "address/127.0.0.1:9002"),
        (NEW_PORT, OLD_PORT, "address/127.0.0.1:9001"),
        (MOVE, OUT_B, "zone/zb/targets"),
        (MOVE, OUT, "zone/za/targets"),
        (OUT_B, MOVE, "zone/zb/exists"),
        (OUT_B, OLD_PORT, "zone/zb/exists"),
        (GONE, NO_SERVICE, "service/ledger/targets"),
        (GONE, OUT, "zone/za/targets"),
        (GONE, OLD_PORT, "address/127.0.0.1:9001"),
    )
    def test_overlap_names_the_note_that_it_meets(self, first, second, path):
        """Guards against a note that was judged on a catalog which another note has changed."""
        self.assertEqual(self.publish(text("first", 1, first), "luz"), Accepted(2))
        refused = self.publish(text("second", 1, second))
        first_id = self.platform.objects["head"][-1]["history"][-1]["note_id"]
        self.assertIn(f"meets note {first_id} of luz, accepted as version 2", refused.reason)
        self.assertIn(path, refused.reason)
        self.assertIn("new name", refused.remedy)
        self.assertEqual(len(self.platform.objects["head"]), 2)

    def test_service_withdrawn_under_a_new_target(self):
        """Guards against a target in a service that another note has withdrawn."""
        self.assertEqual(self.publish(text("first", 1, GONE, NO_SERVICE)), Accepted(2))
        self.assertIn("service/ledger/exists", self.publish(text("second", 1, ADD_T)).reason)

    @params(
        (("zone za", "change = add", "region = r"), "zone za exists already"),
        (("zone zx", "change = withdraw"), "there is no zone zx"),
        (("target ledger/l-09", "change = withdraw"), "there is no target ledger/l-09"),
        (NO_SERVICE, "service ledger still has 1 targets, for example ledger/l-01"),
        (OUT, "zone za still has 1 targets"),
        (OLD_PORT, "127.0.0.1:9001 of ledger/l-05 is also the address of ledger/l-01"),
        (("target ledger/l-01", "change = change", "zone = zx"), "the unknown zone zx"),
        (
            ("target s/a", "change = add", "address = 127.0.0.1:1", "zone = za"),
            "the unknown service s",
        ),
    )
    def test_note_that_does_not_fit_is_refused_for_good(self, section, reason):
        """Guards against a catalog that contradicts itself, and a refusal that does not last."""
        content = text("wrong", 1, section)
        steps = publishing.preview(note.parse(content))
        self.assertIn(reason, self.platform.run(steps).reason)
        self.assertNotIn("note/wrong", self.platform.objects)
        refused = self.publish(content)
        self.assertIn(reason, refused.reason)
        self.assertRegex(refused.reason, r"(Correct|Use|Withdraw|Give|Add) .*\.$")
        self.publish(text("other", 1, GONE, ("zone zx", "change = add", "region = r")))
        self.assertEqual(self.publish(content), refused)
        listed = [name for name in self.platform.objects if name.startswith("refusal/")]
        self.assertEqual(listed, ["refusal/000000000001000.wrong"])

    def test_plan_shows_the_differences(self):
        """Guards against a plan that hides or invents a change."""
        steps = publishing.preview(note.parse(text("n", 1, CLOSE, GONE)))
        planned = self.platform.run(steps)
        found = [(it.path, bool(it.before), bool(it.after)) for it in planned.differences]
        self.assertEqual(found, [("target/ledger/l-01", True, False), ("zone/za", True, True)])
        self.assertIn("is_open=False", planned.differences[1].after)
        self.assertEqual(
            self.platform.run(publishing.preview(note.parse(START))), Accepted(1, True)
        )

    def test_same_note_and_same_name(self):
        """Guards against a note that is released twice, and two notes under one name."""
        self.assertEqual(self.publish(START), Accepted(1, is_repeat=True))
        other = self.publish(START.replace("9001", "9002"))
        self.assertIn("the name start belongs to note start-", other.reason)
        self.assertEqual(len(self.platform.objects["head"]), 1)

    @mock.patch.object(headdocument, "MAX_HISTORY_ENTRIES", 2)
    def test_old_base_is_read_from_the_audit(self):
        """Guards against an overlap with a note that the head no longer lists."""
        self.assertEqual(self.publish(text("v2", 1, CLOSE)), Accepted(2))
        for version in (3, 4, 5):
            content = text(f"v{version}", version - 1, ("customer web", "change = change"))
            self.publish(f"{content}\nweight = {version}")
        self.assertIn("accepted as version 2", self.publish(text("a", 1, CLOSE)).reason)
        self.assertEqual(self.publish(text("b", 1, DRAIN)), Accepted(6))
        with mock.patch.object(publishing, "MAX_AUDIT_READS", 2):
            refused = self.publish(text("c", 1, SLOTS))
        self.assertIn("base 1 is 5 versions older", refused.reason)
        self.assertIn("Set base to 6", refused.remedy)
        self.platform.objects["audit/3"] = []
        with self.assertRaisesRegex(NoteError, "audit/3 is missing.*Set base to 6"):
            self.publish(text("d", 1, SLOTS))

    def test_base_above_the_version_in_force(self):
        """Guards against a note that is judged without the notes that it is based on."""
        with self.assertRaisesRegex(NoteError, "above version 1 in force"):
            self.publish(text("n", 2, CLOSE))
        self.assertNotIn("note/n", self.platform.objects)

    def test_urgent_note_reads_no_parts(self):
        """Guards against a zone that cannot be closed quickly with many services."""
        steps = publishing.publish(note.parse(text("n", 1, CLOSE)), "ana", 1000)
        names, call = [], next(steps)
        with self.assertRaises(StopIteration):
            while True:
                names += call.names if isinstance(call, publishing.Read) else [call.name]
                call = steps.send(self.platform.execute(call))
        self.assertFalse([name for name in names if name.startswith("service/")])
        self.assertLess(len(names), 14)

    def test_stale_head_does_not_refuse(self):
        """Guards against a final refusal because a lagging read shows less than the base."""
        self.assertEqual(self.publish(text("v2", 1, ADD_T)), Accepted(2))
        content = text("n", 2, ("target ledger/l-02", "change = change", "state = draining"))
        steps = publishing.publish(note.parse(content), "ana", 1000)
        heads = [call := next(steps)]
        with self.assertRaises(StopIteration) as end:
            while True:
                result = self.platform.execute(call)
                if call == publishing.Read(("head",)):
                    heads.append(call)
                    result = (self.platform.read("head", is_stale=len(heads) == 3),)
                call = steps.send(result)
        self.assertEqual(end.exception.value, Accepted(3))

    def test_lost_answer_and_then_an_outage(self):
        """Guards against "nothing was released" while the lost write may be in force."""
        steps = publishing.publish(note.parse(text("n", 1, CLOSE)), "ana", 1000)
        call = next(steps)
        while getattr(call, "name", "") != "head":
            call = steps.send(self.platform.execute(call))
        steps.throw(OutcomeUnknownError("lost"))
        with self.assertRaises(OutcomeUnknownError):
            steps.throw(publishing.PlatformDownError("down"))

    def test_too_large_a_note_is_refused(self):
        """Guards against a head that the platform would not take."""
        with mock.patch.object(release, "MAX_PATH_BYTES", 20):
            self.assertIn("paths", self.publish(text("n", 1, GONE)).reason)
        with mock.patch.object(headdocument, "MAX_DOCUMENT_BYTES", 20):
            self.assertRaises(NoteError, self.publish, text("m", 1, GONE))


class DocumentTest(unittest.TestCase):
    def test_round_trip_and_size_at_full_scale(self):
        """Guards against documents over 1 MB at 6,600 targets in 230 services."""
        zones = tuple(Zone(f"zone-{index}", "region", index != 3) for index in range(6))
        customers = tuple(Customer(f"customer-{index:04d}", 1 + index % 7) for index in range(2000))
        parts = {}
        for index in range(230):
            name = f"service-{index:03d}-of-the-fleet"
            count = 6600 // 230 + (index < 6600 % 230)
            targets = tuple(
                Target(name, f"target-{at:04d}", "10.100.100.100", 9000, "zone-1", at % 2 == 0)
                for at in range(count)
            )
            parts[name] = Part(Service(name, 2), targets)
        self.assertEqual(sum(len(part.targets) for part in parts.values()), 6600)
        paths = tuple(f"target/service/target-{at:04d}" for at in range(200))
        entries = [
            Entry(v, f"note-{v}-0123456789ab", "ana", 1, v - 1, paths) for v in range(1, 501)
        ]
        objects = {name: part.object_name("note-1-0123456789ab") for name, part in parts.items()}
        head = Head(
            500, zones, customers, tuple(objects.items()), headdocument.trimmed(tuple(entries))
        )
        for part in parts.values():
            document = json.loads(json.dumps(part.to_document()))
            self.assertEqual(Part.from_document(document), part)
            self.assertLess(headdocument.document_bytes(document), 1024 * 1024)
        document = json.loads(json.dumps(head.to_document()))
        self.assertEqual(Head.from_document(500, document), head)
        self.assertLess(headdocument.document_bytes(document), 1024 * 1024)
        catalog = headdocument.catalog(head, parts)
        self.assertEqual((catalog.version, len(catalog.targets)), (500, 6600))

    def test_one_service_with_all_targets(self):
        """Guards against a fleet whose largest possible service cannot be stored."""
        targets = tuple(
            Target("service", f"target-{at:04d}", "10.100.100.100", 9000, "zone-1")
            for at in range(6600)
        )
        size = headdocument.document_bytes(Part(Service("service", 2), targets).to_document())
        self.assertLess(size, 1024 * 1024)

    @params(
        (Head.from_document, (1, {})),
        (Head.from_document, (1, None)),
        (Part.from_document, ({"service": {"name": "s"}, "targets": []},)),
        (Part.from_document, ({"service": {"name": "s", "slots": 1, "x": 1}, "targets": []},)),
        (Entry.from_document, ([],)),
        (headdocument.NoteRecord.from_document, ({"state": "?"},)),
        (headdocument.Refusal.from_document, (3,)),
    )
    def test_foreign_documents_are_errors(self, read, arguments):
        """Guards against a document of another form that breaks its reader."""
        self.assertRaises(DocumentError, read, *arguments)

    def test_history_is_trimmed_by_size(self):
        """Guards against a head that grows with the notes, or loses its own entry."""
        large = tuple("x" * 1000 + str(at) for at in range(200))
        entries = tuple(Entry(v, "n-1", "ana", 1, 0, large) for v in range(1, 6))
        self.assertEqual([entry.version for entry in headdocument.trimmed(entries)], [5])
        small = tuple(Entry(v, "n-1", "ana", 1, 0, ()) for v in range(1, 201))
        self.assertEqual(len(headdocument.trimmed(small)), headdocument.MAX_HISTORY_ENTRIES)


if __name__ == "__main__":
    unittest.main()

"""Tests of recording and replay, and replay of the stored failure scenarios."""

import dataclasses
import io
import json
import random
import unittest
from unittest import mock

from nose2.tools import params

from orioleloft_core import events, messages, node, trace
from orioleloft_core.effects import ReadHead
from orioleloft_core.errors import MessageError, TraceError
from tests.support import requester, traces
from tests.support.fleet import make_facts

SCENARIOS = tuple(scenario.__name__ for scenario in traces.SCENARIOS)
MAX_STORED_BYTES = 200_000


def read(name):
    return (traces.FOLDER / f"{name}.jsonl").read_text().splitlines()


def recorder(settings=None):
    """Returns a recorded node and its file."""
    file = io.StringIO()
    own = settings or requester.settings()
    return trace.Recorder(node.Node(own, "ab" * 8, 1, random.Random(7)), 7, file), file


def lines_of(file):
    return file.getvalue().splitlines()


class Steps:
    """The calls of a stored trace, with the questions that the outcomes need."""

    def __init__(self, name):
        self.lines = [json.loads(line) for line in read(name)[1:]]

    def events(self, kind):
        """Returns (index, fields) of the events of a kind."""
        named = enumerate(line.get("event") for line in self.lines)
        return [(index, event[1:]) for index, event in named if event and event[0] == kind]

    def messages(self, kind):
        arrived = self.events("MessageArrived")
        return [(index, fields[1]) for index, fields in arrived if fields[1][0] == kind]

    def effects(self, kind, start=0):
        """Returns (index, fields) of the effects of a kind from a line on."""
        return [
            (index, effect[1:])
            for index, line in enumerate(self.lines)
            for effect in line.get("effects", ())
            if effect[0] == kind and index >= start
        ]

    def sent(self, kind):
        """Returns the indexes of the lines that send a kind of message."""
        return [index for index, fields in self.effects("Send") if fields[1][0] == kind]

    def woken(self):
        """Returns the index of the first line after a pause."""
        times = [line["now"] for line in self.lines]
        return next(i for i in range(1, len(times)) if times[i] - times[i - 1] > 1)

    def outcomes(self, start=0):
        """Returns outcome and code of each answer from a line on."""
        return [tuple(fields[1][1:3]) for _, fields in self.effects("Answer", start)]


class StoredTraceTest(unittest.TestCase):
    @params(*SCENARIOS)
    def test_replays(self, name):
        """Guards against a decision that changes unnoticed; docs/traces.md has what to do then."""
        self.assertEqual([], list(trace.replay(read(name)))[:1])

    def test_size(self):
        """Guards against traces that outgrow the repository."""
        sizes = [path.stat().st_size for path in traces.FOLDER.iterdir()]
        self.assertEqual(len(SCENARIOS), len(sizes))
        self.assertLessEqual(sum(sizes), MAX_STORED_BYTES)

    def test_holder_dies(self):
        """Guards against failures of callers while no holder answers."""
        steps = Steps("holder_dies")
        withdrawn = steps.sent("Withdraw")[0]
        replaced = steps.events("AssignmentRead")[-1][0]
        dispatches = [index for index, _ in steps.effects("Dispatch", withdrawn)]
        bypassed = [index for index in dispatches if index < replaced]
        self.assertEqual((3, 4), (len(bypassed), len(dispatches)))
        granted = [index for index, _ in steps.messages("Granted")]
        self.assertFalse(set(bypassed) & set(granted))
        self.assertEqual(granted[-1], dispatches[-1])
        self.assertEqual({("complete", None)}, set(steps.outcomes()))

    def test_key_is_sealed(self):
        """Guards against a run of a key that another node has called not run."""
        steps = Steps("key_is_sealed")
        queried = steps.messages("KeyQuery")[0][0]
        self.assertEqual([("not-run", "key-sealed"), ("complete", None)], steps.outcomes(queried))
        self.assertEqual(1, len(steps.effects("Dispatch", queried)))

    def test_zone_closes(self):
        """Guards against new work in a zone that a catalog has closed."""
        steps = Steps("zone_closes")
        adopted = steps.messages("CatalogData")[-1][0]
        before = {fields[1] for index, fields in steps.effects("Dispatch") if index < adopted}
        after = {fields[1] for _, fields in steps.effects("Dispatch", adopted)}
        self.assertEqual({"ledger/t0", "ledger/t1"}, before)
        self.assertEqual({"ledger/t0"}, after)
        self.assertEqual({("complete", None)}, set(steps.outcomes()))

    def test_platform_outage(self):
        """Guards against a stop of service when only the platform is away."""
        steps = Steps("platform_outage")
        failed = [index for index, fields in steps.events("HeadRead") if not fields[1]]
        self.assertEqual([("complete", None)] * 5, steps.outcomes(failed[0]))

    def test_node_pauses(self):
        """Guards against the use of a grant that waited in the socket during a pause."""
        steps = Steps("node_pauses")
        woken = steps.woken()
        sent = [fields[1] for _, fields in steps.effects("Send", woken)]
        self.assertIn(None, [item[2] for item in sent if item[0] == "Release"])
        starts = [line["allowed"] for line in steps.lines[woken:] if "allowed" in line]
        self.assertEqual({False}, set(starts))
        self.assertEqual(["not-run"], [outcome for outcome, _ in steps.outcomes(woken)])


class ReplayTest(unittest.TestCase):
    def test_changed_decision(self):
        """Guards against a replay that misses a change of the code."""
        lines = read("node_pauses")
        granted = Steps("node_pauses").woken() + 2  # The header and the first index.
        with mock.patch.object(node, "PAUSE_SECONDS", 1e9):
            difference = next(trace.replay(lines))
        self.assertEqual(granted, difference.line)
        self.assertNotEqual(difference.recorded, difference.replayed)

    @params("effects", "allowed")
    def test_changed_line(self, name):
        """Guards against a difference that names another line or is not seen."""
        lines = read("zone_closes")
        number = max(index for index, line in enumerate(lines) if f'"{name}"' in line)
        lines[number] = json.dumps({**json.loads(lines[number]), name: False})
        found = list(trace.replay(lines))
        self.assertEqual([number + 1], [difference.line for difference in found])

    def test_denied_start(self):
        """Guards against a replay that forgets what the node said about a first byte."""
        lines = [line for line in read("node_pauses") if '"allowed":false' not in line]
        self.assertTrue(list(trace.replay(lines)))

    def test_addresses(self):
        """Guards against a replay whose random source is behind that of the node."""
        recorded, file = recorder()
        facts = [make_facts(seat, "b" * 16, age=0) for seat in requester.SEATS[1:]]
        for step in range(600):
            now, is_reachable = step * 0.01, step < 100
            for fact in facts:
                recorded.handle(now, events.MessageArrived(fact.seat, messages.Ping(step, fact)))
            if any(isinstance(item, ReadHead) for item in recorded.handle(now, events.Tick())):
                catalog = requester.catalog() if is_reachable else None
                recorded.handle(now, events.HeadRead(catalog, is_reachable, now))
            if 50 < step < 60:
                self.assertEqual(3, len(recorded.addresses(now, "gt-a")))
        lines = lines_of(file)
        self.assertEqual([], list(trace.replay(lines)))
        kept = [line for line in lines if '"addresses"' not in line]
        self.assertTrue(list(trace.replay(kept)))

    def test_failed_event(self):
        """Guards against a trace without the events on which the node failed."""
        recorded, file = recorder()
        broken = messages.CatalogData(3, b"no document")
        with self.assertRaises(MessageError):
            recorded.handle(1.0, events.MessageArrived("entry-02", broken))
        recorded.handle(1.01, events.Tick())
        self.assertIn('"error":"MessageError"', lines_of(file)[1])
        self.assertEqual([], list(trace.replay(lines_of(file))))

    def test_keys_are_left_out(self):
        """Guards against the fleet's secret key in a file that is passed on."""
        own = requester.settings()
        fleet = dataclasses.replace(own.fleet, public_key="p" * 40, secret_key="s" * 40)
        _, file = recorder(dataclasses.replace(own, fleet=fleet))
        self.assertNotIn("p" * 40, file.getvalue())
        self.assertNotIn("s" * 40, file.getvalue())

    @params(
        (1, ""),
        (1, "{"),
        (1, "[]"),
        (1, '{"trace":1}'),
        (1, '{"trace":2}'),
        (1, '{"trace":2,"incarnation":"a","started_ms":1,"seed":1}'),
        (1, '{"trace":2,"incarnation":"a","started_ms":1,"seed":1,"settings":4}'),
        (1, '{"trace":2,"incarnation":"a","started_ms":1,"seed":1,"settings":[[]]}'),
        (2, "no JSON"),
        (2, "[]"),
        (2, "{}"),
        (2, '{"now":"1","event":["Tick"],"effects":[]}'),
        (2, '{"now":1,"effects":[]}'),
        (2, '{"now":1,"may_start":4,"allowed":true}'),
        (2, '{"now":1,"event":["Tock"],"effects":[]}'),
        (2, '{"now":1,"event":["Tick",1],"effects":[]}'),
        (2, '{"now":1,"event":["HeadRead",1,2,3],"effects":[]}'),
        (2, '{"now":1,"event":4,"effects":[]}'),
    )
    def test_broken_trace(self, number, text):
        """Guards against a traceback that does not name the line, or a line that is passed over."""
        _, file = recorder()
        lines = lines_of(file)
        lines[number - 1 :] = [text]
        with self.assertRaisesRegex(TraceError, f"line {number}") as caught:
            list(trace.replay(lines))
        self.assertEqual("Record the trace again.", caught.exception.remedy)


if __name__ == "__main__":
    unittest.main()

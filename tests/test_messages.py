"""Tests of the codec of messages between nodes."""

import unittest

import msgpack
from nose2.tools import params

from orioleloft_core import messages
from orioleloft_core.errors import Code, MessageError

FACTS = messages.NodeFacts(
    "entry-01", "0" * 16, 1, "serving", "gt-a", "127.0.0.1:80", 3, 4, 5, 6, 7
)
REPORT = messages.TargetReport("ledger/l-01", "answered", 1.5, "ab", 1, "warm")


class CodecTest(unittest.TestCase):
    @params(
        messages.Ping(1, FACTS),
        messages.Ask("a1", "ledger#0", "parish", 900, "ff", ("ledger/l-01",)),
        messages.Release("g1", REPORT),
        messages.Release("g1", None),
        messages.KeyState("q1", "done", "", 200, (("Content-Type", "text/plain"),), b"body"),
        messages.AssignmentData(3, (("ledger#0", "entry-01", "0" * 16),)),
    )
    def test_round_trip(self, message):
        """Guards against a field that is lost or changes its type on the way."""
        self.assertEqual(messages.decode(messages.encode(message)), message)

    @params(
        b"", b"\xc1", b"\x01", b"GET / HTTP/1.1\r\n", b"\x92\xa4Ping\x01", b"\x92\xa6Queued\x01"
    )
    def test_rejects_foreign_bytes(self, data):
        """Guards against a stranger's frames that break a node."""
        with self.assertRaises(MessageError):
            messages.decode(data)

    @params(
        (["Ask", "a", "g", "c", True, "ff", []], "a boolean for a number"),
        (["Ask", "a", "g", "c", 1.0, "ff", []], "a fraction for a whole number"),
        (["Ask", "a", "g", "c", 1, "ff", "xy"], "a text for a tuple"),
        (["Ask", "a", "g", "c", 1, "ff", [1]], "a number in a tuple of texts"),
        (["Granted", "a", "g", "t", 1], "a number for a boolean"),
        (["Queued", None], "nothing for a text"),
        (["Release", "g", ["t", "answered", "1.5", "", 0, ""]], "a text for a fraction"),
        (["Release", "g", "report"], "a text for a report"),
        (["Ping", 1, ["entry-01"]], "facts that are cut"),
        (["AssignmentData", 1, [["g", "s"]]], "a tuple that is cut"),
        (["Settings"], "a class that is no message"),
    )
    def test_rejects_wrong_types(self, values, what):
        """Guards against a field of a wrong type that fails later, deep in the core."""
        with self.assertRaises(MessageError, msg=what):
            messages.decode(msgpack.packb(values))

    def test_a_whole_number_is_read_as_a_fraction(self):
        """Guards against a refused report whose service time is a whole number."""
        data = msgpack.packb(["Release", "g", ["t", "answered", 2, "", 0, ""]])
        self.assertIs(type(messages.decode(data).report.service_ms), float)

    def test_an_enum_is_sent_as_its_value(self):
        """Guards against a code that arrives as the name of its class."""
        data = messages.encode(messages.Refused("a", Code.NODE_ISOLATED))
        self.assertEqual(messages.decode(data), messages.Refused("a", "node-isolated"))


if __name__ == "__main__":
    unittest.main()

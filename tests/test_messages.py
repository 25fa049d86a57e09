"""Tests of the codec of messages between nodes."""

import unittest

from nose2.tools import params

from orioleloft_core import messages
from orioleloft_core.errors import MessageError

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


if __name__ == "__main__":
    unittest.main()

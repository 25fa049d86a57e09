"""Tests of the count of requests that break targets."""

import unittest

from nose2.tools import params

from orioleloft_core import suspects
from orioleloft_core.messages import Suspect
from tests.support import group


class SuspectsTest(unittest.TestCase):
    def setUp(self):
        self.suspects = suspects.Suspects(group.settings())

    @params(
        (["record"], 1.0, False),
        (["record", "record"], 1.0, True),
        (["record", 1], 1.0, True),
        ([1, 1], 1.0, True),
        ([2], 1.0, True),
        (["record", "record"], 599.0, True),
        (["record", "record"], 601.0, False),
    )
    def test_blocks_at_the_limit(self, breaks, now, blocked):
        """Guards against breaks seen by two nodes at once that count as one, and a lost message."""
        for count in breaks:
            if count == "record":
                self.suspects.record(0.0, "ff")
            else:
                self.suspects.merge(0.0, Suspect("ff", count))
        self.assertEqual(self.suspects.is_blocked(now, "ff"), blocked)
        self.assertFalse(self.suspects.is_blocked(now, "ee"))

    def test_tells_each_other_seat(self):
        """Guards against a node that lets a crashing request through for lack of the count."""
        self.suspects.record(0.0, "ff")
        sends = self.suspects.record(0.0, "ff")
        self.assertEqual([send.seat for send in sends], list(group.SEATS[1:]))
        self.assertEqual({send.message for send in sends}, {Suspect("ff", 2)})

    def test_memory_is_bounded(self):
        """Guards against memory that grows with each new fingerprint."""
        for number in range(suspects.MAX_FINGERPRINTS + 10):
            self.suspects.merge(0.0, Suspect(str(number), 2))
        self.assertFalse(self.suspects.is_blocked(0.0, "9"))
        self.assertTrue(self.suspects.is_blocked(0.0, "10"))


if __name__ == "__main__":
    unittest.main()

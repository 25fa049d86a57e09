"""Tests of the accounting of memory for bodies."""

import unittest

from nose2.tools import params

from orioleloft_core.memory import SMALL_RESPONSE_BYTES, MemoryAccount, ResponseReservation

# Limit for bodies: a quarter of the memory of the users' smallest VM.
LIMIT = 50 * 1024 * 1024
PART = 64 * 1024


class MemoryTest(unittest.TestCase):
    @params((1,), (20,), (200,))
    def test_endless_answers(self, count):
        """Guards against endless answers that leave no memory for other services.

        All targets of one service sent them, and resident memory rose to 223 MB on VMs with 200 MB.
        """
        account = MemoryAccount(LIMIT)
        endless = [ResponseReservation(account) for _ in range(count)]
        growing = list(endless)
        while growing:
            growing = [answer for answer in growing if answer.grow(PART)]
        self.assertGreaterEqual(account.free, 0)
        if count <= 20:
            self.assertTrue(ResponseReservation(account).grow(PART))
        del endless, growing
        self.assertEqual(account.free, LIMIT)

    def test_small_answer_uses_all_free_memory(self):
        """Guards against answers of a few kilobytes that are rejected while memory is free."""
        account = MemoryAccount(LIMIT)
        self.assertTrue(account.reserve(LIMIT - SMALL_RESPONSE_BYTES))
        answer = ResponseReservation(account)
        self.assertTrue(answer.grow(SMALL_RESPONSE_BYTES))
        self.assertFalse(answer.grow(1))
        self.assertEqual(answer.size, SMALL_RESPONSE_BYTES)

    def test_request_bodies(self):
        """Guards against request bodies beyond the limit, and memory that is never released."""
        account = MemoryAccount(100)
        self.assertTrue(account.reserve(90))
        self.assertFalse(account.reserve(11))
        account.release(90)
        self.assertTrue(account.reserve(100))

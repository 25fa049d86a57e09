"""Tests of the order of pipelined requests and their answers."""

import unittest

from nose2.tools import params

from orioleloft_core.pipelining import MAX_CONCURRENT_REQUESTS, MAX_READ_AHEAD_BYTES, Pipeline


class PipelineTest(unittest.TestCase):
    @params((0, 1, 2), (2, 1, 0), (1, 2, 0), (1, 0, 2))
    def test_answers_are_written_in_order(self, *finished):
        """Guards against an answer that the caller assigns to an earlier request."""
        pipeline = Pipeline()
        requests = [pipeline.enqueue(True, 0) for _ in range(3)]
        written = []
        for index in finished:
            pipeline.answer(requests[index], index)
            while (ready := pipeline.pop_answer()) is not None:
                written.append(ready)
            self.assertEqual(written, sorted(written))
        self.assertEqual(written, [0, 1, 2])
        self.assertIsNone(pipeline.head)

    def test_payment_after_lookups(self):
        """Guards against a payment that runs although an earlier lookup closes the connection."""
        pipeline = Pipeline()
        lookups = [pipeline.enqueue(True, 0) for _ in range(2)]
        payment = pipeline.enqueue(False, 9)
        self.assertTrue(all(pipeline.may_start(request) for request in lookups))
        self.assertFalse(pipeline.may_start(payment))
        self.assertFalse(pipeline.may_read_next())
        for request in lookups:
            pipeline.answer(request, "answer")
            pipeline.pop_answer()
        self.assertIs(pipeline.head, payment)
        self.assertTrue(pipeline.may_start(payment))

    @params(([0] * (MAX_CONCURRENT_REQUESTS - 1), True), ([0] * MAX_CONCURRENT_REQUESTS, False))
    def test_limit_of_concurrent_requests(self, sizes, may_read_next):
        """Guards against a single connection that takes all slots of a small service."""
        self.check_reading_ahead(sizes, may_read_next)

    @params(([MAX_READ_AHEAD_BYTES - 1], True), ([1, MAX_READ_AHEAD_BYTES - 1], False))
    def test_limit_of_bodies_read_ahead(self, sizes, may_read_next):
        """Guards against a single connection whose request bodies fill the memory of the node."""
        self.check_reading_ahead(sizes, may_read_next)

    def check_reading_ahead(self, sizes, may_read_next):
        pipeline = Pipeline()
        for size in sizes:
            self.assertTrue(pipeline.may_read_next())
            pipeline.enqueue(True, size)
        self.assertEqual(pipeline.may_read_next(), may_read_next)

"""Tests of the metrics endpoint and of the rate-limited log handler."""

import json
import logging
import os
import unittest

from nose2.tools import params

from orioleloftd import stdoutlog
from orioleloftd.exposition import NodeMetrics
from orioleloftd.logs import JsonFormatter


class ExpositionTest(unittest.TestCase):
    @params(
        "orioleloft_probes_total 3.0",
        'orioleloft_dispatches_total{kind="retry"} 1.0',
        'orioleloft_request_seconds_bucket{le="0.5",route="r",status="200"} 1.0',
        'orioleloft_request_seconds_bucket{le="+Inf",route="r",status="200"} 2.0',
        'orioleloft_request_seconds_sum{route="r",status="200"} 12.5',
    )
    def test_text_format(self, line):
        """Guards against metrics that collectors cannot parse."""
        metrics = NodeMetrics()
        for _ in range(3):
            metrics.count("probes")
        metrics.count("dispatches", kind="retry")
        metrics.count("dispatches", kind="first")
        metrics.observe("r", 200, 0.5)
        metrics.observe("r", 200, 12.0)
        self.assertIn(line, metrics.render().decode().splitlines())


class RateLimitedHandlerTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.read_end, write_end = os.pipe()
        os.set_blocking(write_end, False)
        os.set_blocking(self.read_end, False)
        self.handler = stdoutlog.RateLimitedHandler(lambda: self.now, write_end)
        self.handler.setFormatter(JsonFormatter())
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, write_end)

    def emit(self, count, text="event"):
        for _ in range(count):
            record = logging.LogRecord("n", logging.INFO, "p", 1, text, (), None)
            self.handler.emit(record)

    def lines(self):
        data = b""
        while True:
            try:
                part = os.read(self.read_end, 1 << 16)
            except BlockingIOError:
                return data.decode().splitlines()
            data += part

    def test_rate_limit(self):
        """Guards against an unbounded rate of log lines under load."""
        self.emit(int(stdoutlog.MAX_BURST_LINES) + 50)
        self.assertLessEqual(len(self.lines()), stdoutlog.MAX_BURST_LINES)
        self.now = 10.0
        self.emit(1)
        self.assertEqual(json.loads(self.lines()[0])["count"], 50)

    def test_full_pipe_does_not_block(self):
        """Guards against a node that blocks because its log is not read."""
        self.emit(100, "x" * 4000)
        lines = self.lines()
        self.assertLess(len(lines), 100)
        self.now = 10.0
        self.emit(1)
        events = [json.loads(line)["event"] for line in self.lines() if line.startswith("{")]
        self.assertIn("log lines dropped", events)

"""Tests of the metrics page and of the bounded log."""

import json
import logging
import os
import unittest

from nose2.tools import params

from orioleloftd import stdoutlog
from orioleloftd.exposition import NodeMetrics
from orioleloftd.logs import LineFormatter


class ExpositionTest(unittest.TestCase):
    @params(
        "orioleloft_probes_total 3.0",
        'orioleloft_dispatches_total{kind="retry"} 1.0',
        'orioleloft_request_seconds_bucket{le="0.5",route="r",status="200"} 1.0',
        'orioleloft_request_seconds_bucket{le="+Inf",route="r",status="200"} 2.0',
        'orioleloft_request_seconds_sum{route="r",status="200"} 12.5',
    )
    def test_page(self, line):
        """Guards against metrics that collectors cannot read."""
        metrics = NodeMetrics()
        for _ in range(3):
            metrics.count("probes")
        metrics.count("dispatches", kind="retry")
        metrics.count("dispatches", kind="first")
        metrics.observe("r", 200, 0.5)
        metrics.observe("r", 200, 12.0)
        self.assertIn(line, metrics.page().decode().splitlines())


class BoundedLogTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.reading, writing = os.pipe()
        os.set_blocking(writing, False)
        os.set_blocking(self.reading, False)
        self.handler = stdoutlog.BoundedHandler(lambda: self.now, writing)
        self.handler.setFormatter(LineFormatter())
        self.addCleanup(os.close, self.reading)
        self.addCleanup(os.close, writing)

    def emit(self, count, text="event"):
        for _ in range(count):
            record = logging.LogRecord("n", logging.INFO, "p", 1, text, (), None)
            self.handler.emit(record)

    def lines(self):
        data = b""
        while True:
            try:
                part = os.read(self.reading, 1 << 16)
            except BlockingIOError:
                return data.decode().splitlines()
            data += part

    def test_rate(self):
        """Guards against a flood of lines under load."""
        self.emit(int(stdoutlog.BURST_LINES) + 50)
        self.assertLessEqual(len(self.lines()), stdoutlog.BURST_LINES)
        self.now = 10.0
        self.emit(1)
        self.assertEqual(json.loads(self.lines()[0])["count"], 50)

    def test_full_pipe_does_not_block(self):
        """Guards against a node that stands still because nobody reads its log."""
        self.emit(100, "x" * 4000)
        lines = self.lines()
        self.assertLess(len(lines), 100)
        self.now = 10.0
        self.emit(1)
        events = [json.loads(line)["event"] for line in self.lines() if line.startswith("{")]
        self.assertIn("log lines dropped", events)

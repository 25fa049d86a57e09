"""Tests of the account of answers, on lines as nodes log them."""

import json
import unittest

from nose2.tools import params

from orioleloft import account


def log_line(event, second, request, prefix="", **fields):
    entry = {"time": f"2026-02-17T12:32:{second:06.3f}+00:00", "level": "INFO", "node": "n1"}
    return prefix + json.dumps(entry | {"event": event, "request": request} | fields) + "\n"


def answer(second, request, status=200, ms=80, code=None, **fields):
    return log_line("request answered", second, request, status=status, ms=ms, code=code, **fields)


class AccountTest(unittest.TestCase):
    @params(
        ("answered", [answer(1, "a")]),
        ("answered, hedged", [log_line("dispatch", 1, "a", hedge=True), answer(1, "a")]),
        (
            "answered, retried",
            [log_line("dispatch", 1, "a", hedge=False)] * 2 + [answer(1, "a")],
        ),
        ("500 of a target", [answer(1, "a", 500)]),
        (
            "503 no-capacity, no target: the queue is too long",
            [
                log_line("no target", 1, "a", reason="the queue is too long"),
                answer(1, "a", 503, 0, "no-capacity"),
            ],
        ),
        ("502 target-broke-off", [answer(1, "a", 502, 9, "target-broke-off")]),
        ("answered", ["   0.0943 front-1 " + answer(1, "a")]),
    )
    def test_cause(self, cause, lines):
        """Guards against a failed request that is counted under another cause."""
        self.assertEqual(account.build(lines).causes, ((cause, 1),))

    def test_seconds(self):
        """Guards against seconds that hide when callers were refused."""
        lines = [answer(1.2 + index / 100, f"r{index}", ms=index) for index in range(50)]
        lines += [answer(3.4, "x", 503, 0, "no-capacity"), answer(3.5, "y", 502, 5, "b")]
        built = account.build(lines)
        self.assertEqual(
            built.seconds,
            (account.Second(0, 50, 0, 0, 25, 49), account.Second(2, 0, 1, 1, 0.0, 0.0)),
        )
        text = account.format_text(built)
        self.assertIn("52 answers", text[0])
        self.assertTrue(text[-1].endswith("#" * account.PLOT_WIDTH))

    @params("", "text", "{", "[1]", '{"event": 3}', "\ufffd{}", '{"event": "request answered"}')
    def test_lines_of_others(self, line):
        """Guards against a log with other lines, or a cut one, that ends the command."""
        built = account.build([line, answer(1, "a")])
        self.assertEqual(built.causes, (("answered", 1),))

    def test_no_lines(self):
        """Guards against an error on an empty log."""
        self.assertTrue(account.format_text(account.build([])))

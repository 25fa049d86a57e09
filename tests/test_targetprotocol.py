"""Tests of the headers exchanged with targets."""

import unittest

from nose2.tools import params
from tornado import httputil

from orioleloft_core.request import LoadReport, Warmth
from orioleloftd import targetprotocol
from tests.support import fakes


def headers(*pairs):
    """Returns headers with possibly repeated names."""
    made = httputil.HTTPHeaders()
    for name, value in pairs:
        made.add(name, value)
    return made


class ReportTest(unittest.TestCase):
    @params(
        ("incarnation=5f;in_flight=2;state=warm", LoadReport("5f", 2, Warmth.WARM)),
        ("state = cold ; in_flight=0; incarnation=a", LoadReport("a", 0, Warmth.COLD)),
        ("incarnation=5f;in_flight=2;state=warm;new=1", LoadReport("5f", 2, Warmth.WARM)),
        ("incarnation=5f;in_flight=2;state=tired", None),
        ("incarnation=5f;in_flight=-2;state=warm", None),
        ("incarnation=5f;in_flight=many;state=warm", None),
        ("incarnation=5f;in_flight=99999999999;state=warm", None),
        ("incarnation=;in_flight=2;state=warm", None),
        ("incarnation=" + "a" * 65 + ";in_flight=2;state=warm", None),
        ("in_flight=2;state=warm", None),
        (";;=", None),
        ("", None),
    )
    def test_read_report(self, text, report):
        """Guards against a malformed report that counts as a statement of the target."""
        made = targetprotocol.read_report(headers(("Load-Report", text)))
        self.assertEqual(made, report)

    def test_round_trip(self):
        """Guards against a stand-in that states load in another form than the node reads."""
        report = LoadReport("5f", 3, Warmth.DRAINING)
        text = targetprotocol.write_report(report)
        self.assertEqual(targetprotocol.read_report(headers(("Load-Report", text))), report)


class HeadersTest(unittest.TestCase):
    def test_answer_headers(self):
        """Guards against headers of one hop, or of orioleloft, that reach the caller."""
        given = headers(
            ("Connection", "X-Hop, keep-alive"),
            ("Keep-Alive", "timeout=5"),
            ("X-Hop", "1"),
            ("Transfer-Encoding", "chunked"),
            ("Trailer", "X"),
            ("Upgrade", "h2c"),
            ("Load-Report", "incarnation=a"),
            ("Orioleloft-Outcome", "not-run"),
            ("Content-Length", "3"),
            ("Set-Cookie", "a=1"),
            ("Set-Cookie", "b=2"),
        )
        cookies = (("Set-Cookie", "a=1"), ("Set-Cookie", "b=2"))
        self.assertEqual(targetprotocol.answer_headers(given, False), cookies)
        kept = targetprotocol.answer_headers(given, True)
        self.assertEqual(kept, (("Content-Length", "3"), *cookies))

    @params(("POST", b"", "0"), ("PUT", b"ab", "2"), ("GET", b"", None), ("DELETE", b"a", "1"))
    def test_to_target(self, method, body, length):
        """Guards against a request without deadline, or with a body that has no end."""
        request = fakes.request(method, body=body, key="k1", headers=(("X-End", "1"),))
        made = targetprotocol.to_target(request, "127.0.0.1:9", 250)
        self.assertEqual(made.get("Content-Length"), length)
        expected = {
            "Host": "127.0.0.1:9",
            "X-End": "1",
            "Deadline-Ms": "250",
            "Orioleloft-Request-Id": "r-1",
            "Orioleloft-Key": "k1",
            "Orioleloft-Customer": "parish",
        }
        self.assertEqual({name: made.get(name) for name in expected}, expected)


if __name__ == "__main__":
    unittest.main()

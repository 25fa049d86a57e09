"""Tests of the platform adapter: settings file, HTTP headers and stored objects."""

import math
import pathlib
import tempfile
import unittest

from nose2.tools import params
from tornado import httputil

from orioleloft_adapter.decoding import DecodingError, decode_table, decode_target
from orioleloft_adapter.encoding import encode_table
from orioleloft_adapter.headers import PlatformHeaders
from orioleloft_adapter.settings import parse_settings, read_settings
from orioleloft_core.admissionqueue import AdmissionPolicy
from orioleloft_core.entrysettings import Endpoint
from orioleloft_core.errors import SettingsError
from orioleloft_core.observations import LoadFigures
from orioleloft_core.ratelimits import MalformedRateLimit, NoRateLimit, RateLimit
from orioleloft_core.routes import RouteKind, WeightedService
from orioleloftd.wire import UnchangedTenant

SETTINGS_FILE = """node=front-1
zone=za
listen.front=10.0.0.1:80
listen.ready=10.0.0.1:81
listen.control=10.0.0.1:82
listen.directory=10.0.0.1:83
seeds=10.0.0.2:82,10.0.0.3:82
bootstrap=true
limits.memory_mb=200
new.field=ignored
bounds=grace_period=6s,retry_budget_ratio=0.2,retry_budget_extra=58,budget_window=10s,ttl_max=500ms
platform.address=10.9.0.1:90
platform.ttl_min=1000ms
"""

TABLE_SPEC = {
    "version": "r12",
    "routes": {
        "columns": [
            "name",
            "host",
            "path_prefix",
            "route_type",
            "timeout",
            "target_latency",
            "priority",
            "traffic_split",
            "attempts",
            "service",
        ],
        "rows": [
            [
                "a",
                "H.example",
                "/a/",
                "idempotent",
                "2000ms",
                "0.6s",
                2,
                [{"service": "s", "weight": 9}, {"service": "t", "weight": 1}],
                2,
                None,
            ],
            ["b", "h.example", "/b/", "non_idempotent", "2.5s", "800ms", 1, None, 3, "t"],
        ],
    },
    "services": {
        "columns": [
            "name",
            "health_path",
            "max_connections",
            "protocol",
            "tls",
            "cold_start",
            "cold_per_s",
        ],
        "rows": [
            ["s", "/health", 220, "h1", False, "3s", 2.1],
            ["t", "/health", 220, "h1", False, "3s", 2.1],
        ],
    },
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 99,
        "header_timeout": "3000ms",
        "idle_timeout": "15s",
    },
}


FIRST_SERVICE = TABLE_SPEC["services"]["rows"][0]


def target_object(**changes):
    spec = {
        "service": "s",
        "address": "10.0.0.9:80",
        "zone": "za",
        "slots": 2,
        "state": "ready",
        "sequence": 4,
        "born": 17,
    }
    spec.update(changes)
    spec = {key: value for key, value in spec.items() if value != "absent"}
    return {"metadata": {"name": "i-1", "deleting": False}, "spec": spec}


def table_with_service(**changes):
    columns = TABLE_SPEC["services"]["columns"]
    row = [changes.get(name, value) for name, value in zip(columns, FIRST_SERVICE, strict=True)]
    return {**TABLE_SPEC, "services": {"columns": columns, "rows": [row]}}


class SettingsTest(unittest.TestCase):
    def test_complete_file(self):
        """Guards against misread units, lists and bounds, and unknown fields that are refused."""
        settings = parse_settings(SETTINGS_FILE)
        self.assertEqual(settings.seeds, (Endpoint("10.0.0.2", 82), Endpoint("10.0.0.3", 82)))
        self.assertEqual(settings.bounds.retry_budget_extra, 58)
        self.assertEqual(settings.bounds.max_address_ttl, 0.5)
        self.assertEqual(settings.memory_bytes, 200 * 1024 * 1024)
        self.assertTrue(settings.is_fleet_bootstrap)

    @params(
        ("limits.cpu_share=0.5,limits.cores=3,limits.link_mbps=20", 1.5, 20.0),
        ("limits.cpu_share=0.5", None, None),
        ("limits.cores=3,limits.link_mbps=0", None, None),
        ("limits.cpu_share=nan,limits.cores=3,limits.link_mbps=fast", None, None),
    )
    def test_capacity_of_the_node(self, lines, cpu_cores, link_mbps):
        """Guards against a node that does not start because a figure of its VM is malformed."""
        settings = parse_settings("\n".join([SETTINGS_FILE, *lines.split(",")]))
        self.assertEqual((settings.cpu_cores, settings.link_mbps), (cpu_cores, link_mbps))

    @params("node=", "zone=", "listen.front=", "platform.address=")
    def test_missing_field(self, prefix):
        """Guards against a node that starts without its name, zone, listening address or store."""
        lines = [line for line in SETTINGS_FILE.splitlines() if not line.startswith(prefix)]
        with self.assertRaises(SettingsError):
            parse_settings("\n".join(lines))

    @params(
        "listen.front=10.0.0.1",
        "bounds=grace_period=6",
        "platform.ttl_min=soon",
        "listen.front=10.0.0.1:²",
        "listen.ready=10.0.0.1:70000",
        "bounds=grace_period=nans",
        "bounds=grace_period=infs",
        "bounds=retry_budget_extra=nan",
        "bounds=probes_per_s=-1",
        "limits.memory_mb=inf",
        "admission=soonest",
    )
    def test_malformed_field(self, line):
        """Guards against a malformed field that passes, or an error that states no remedy."""
        name = line.partition("=")[0]
        kept = [text for text in SETTINGS_FILE.splitlines() if not text.startswith(name + "=")]
        with self.assertRaises(SettingsError) as raised:
            parse_settings("\n".join([*kept, line]))
        self.assertTrue(raised.exception.remedy)

    @params(
        ("", "", AdmissionPolicy.ARRIVAL),
        ("admission=deadline", "", AdmissionPolicy.DEADLINE),
        ("admission=deadline", "arrival", AdmissionPolicy.ARRIVAL),
        ("", "deadline", AdmissionPolicy.DEADLINE),
    )
    def test_order_of_admission(self, line, variable, policy):
        """Guards against a deployment that gets an order of admission it did not ask for."""
        settings = parse_settings(f"{SETTINGS_FILE}{line}\n", admission=variable)
        self.assertIs(settings.admission, policy)

    @params(b"", b"node=\xff\xfe", b"\x00" * 100, b"a" * 1_000_000)
    def test_file_that_is_no_settings_file(self, content):
        """Guards against a stack trace in place of an error that states the remedy."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "boot.conf")
            path.write_bytes(content)
            with self.assertRaises(SettingsError) as raised:
                read_settings(str(path))
        self.assertTrue(raised.exception.remedy)


class DecodingTest(unittest.TestCase):
    def test_table(self):
        """Guards against columns of routes and services that are assigned to the wrong fields."""
        table = decode_table(TABLE_SPEC)
        self.assertEqual(table.version, 12)
        first, second = table.routes
        self.assertEqual(
            first.weighted_services, (WeightedService("s", 9.0), WeightedService("t", 1.0))
        )
        self.assertEqual((first.host, first.target_latency), ("h.example", 0.6))
        self.assertEqual((second.kind, second.attempts), (RouteKind.NON_IDEMPOTENT, 3))
        self.assertEqual(table.service("s").cold_per_s, 2.1)

    def test_round_trip(self):
        """Guards against a published table that nodes decode to another one."""
        table = decode_table(TABLE_SPEC)
        self.assertEqual(decode_table(encode_table(table, 7)), table)

    @params(
        None,
        {},
        {**TABLE_SPEC, "version": 12},
        {**TABLE_SPEC, "limits": None},
        {**TABLE_SPEC, "routes": {"columns": ["name"], "rows": [["a", "b"]]}},
        {**TABLE_SPEC, "services": {"columns": ["health_path"], "rows": [["/h"]]}},
        {**TABLE_SPEC, "version": "r" + "1" * 30},
        {**TABLE_SPEC, "version": "r²"},
        table_with_service(cold_per_s=math.nan),
        table_with_service(cold_per_s=-1.0),
        table_with_service(cold_per_s=True),
        table_with_service(max_connections=math.inf),
        table_with_service(cold_start="nans"),
        table_with_service(cold_start="-3s"),
        {**TABLE_SPEC, "services": {"columns": ["name", "name"], "rows": [["s", "t"]]}},
        {**TABLE_SPEC, "limits": {**TABLE_SPEC["limits"], "idle_timeout": "infs"}},
    )
    def test_malformed_table(self, spec):
        """Guards against a malformed table that crashes the node or replaces a valid one."""
        with self.assertRaises(DecodingError):
            decode_table(spec)

    @params((dict(), False), (dict(state="draining"), True), (dict(unknown=3), False))
    def test_valid_target(self, changes, is_draining):
        """Guards against use of a draining target, and unknown fields that hide a target."""
        decoded = decode_target(target_object(**changes))
        self.assertEqual((decoded.host, decoded.port, decoded.started_ms), ("10.0.0.9", 80, 17))
        self.assertEqual(decoded.is_draining, is_draining)

    @params(
        dict(service=3),
        dict(service="absent"),
        dict(address="nowhere"),
        dict(address="10.0.0.9:http"),
        dict(slots="2"),
        dict(slots=0),
        dict(slots=True),
        dict(state="happy"),
        dict(zone=None),
        dict(born="soon"),
        dict(born=-1),
        dict(born=10**30),
        dict(address="10.0.0.9:0"),
        dict(address="10.0.0.9:65536"),
        dict(address="10.0.0.9:²"),
        dict(address="10.0.0.9:-1"),
    )
    def test_malformed_target(self, changes):
        """Guards against requests to a target whose registration is malformed.

        Other programs can write objects of this kind too.
        """
        with self.assertRaises(DecodingError):
            decode_target(target_object(**changes))

    @params(None, [], "text", {"metadata": {}}, {"metadata": {"name": "x"}, "spec": [1]})
    def test_malformed_object(self, item):
        """Guards against an exception other than `DecodingError`, which fails the whole list."""
        with self.assertRaises(DecodingError):
            decode_target(item)


class HeadersTest(unittest.TestCase):
    def setUp(self):
        self.wire_format = PlatformHeaders()

    @params(("3000", 3.0), ("", None), ("soon", None), ("-5", None), ("9" * 12, None))
    def test_caller_timeout_header(self, text, seconds):
        """Guards against a malformed timeout that is taken for a number."""
        headers = httputil.HTTPHeaders({"X-Request-Id": "r", "X-Deadline-Ms": text})
        self.assertEqual(self.wire_format.parse_request(headers).caller_timeout, seconds)

    @params(
        ("3,0,8", LoadFigures(3, 0, 8)),
        ("3,1,8,400", LoadFigures(3, 1, 8, 4.0)),
        ("3,1", None),
        ("a,b,c", None),
        ("3,0,²", None),
        ("3,0,٣", None),
        ("3,0,-8", None),
        ("3,0," + "8" * 30, None),
        ("", None),
    )
    def test_load_header(self, text, load):
        """Guards against load figures taken from a malformed header."""
        headers = httputil.HTTPHeaders({"X-Server-Load": text})
        self.assertEqual(self.wire_format.parse_response(200, headers).load, load)

    @params(
        ("timeout=5", 5.0),
        ("max=3, timeout=5", 5.0),
        ("timeout=²", None),
        ("timeout=-5", None),
        ("timeout=" + "9" * 400, None),
        ("timeout", None),
    )
    def test_keep_alive_header(self, text, seconds):
        """Guards against a target's header that ends the request with an untyped exception."""
        headers = httputil.HTTPHeaders({"Keep-Alive": text})
        self.assertEqual(self.wire_format.parse_response(200, headers).idle_timeout, seconds)

    @params(
        (None, NoRateLimit()),
        ("1.6", RateLimit(1.6)),
        (" 12 ", RateLimit(12.0)),
        ("0", RateLimit(0.0)),
        (".5", RateLimit(0.5)),
        ("", MalformedRateLimit("")),
        ("-1", MalformedRateLimit("-1")),
        ("+1", MalformedRateLimit("+1")),
        ("1e3", MalformedRateLimit("1e3")),
        ("nan", MalformedRateLimit("nan")),
        ("inf", MalformedRateLimit("inf")),
        ("1.5,3", MalformedRateLimit("1.5,3")),
        ("\u00b2", MalformedRateLimit("\u00b2")),
        ("1000001", MalformedRateLimit("1000001")),
        ("1" * 30, MalformedRateLimit("1" * 18)),
    )
    def test_rate_limit_header(self, text, statement):
        """Guards against limits that are taken from malformed, repeated or very long headers."""
        headers = httputil.HTTPHeaders({} if text is None else {"Server-Limit": text})
        self.assertEqual(PlatformHeaders().parse_response(200, headers).rate_limit, statement)

    def test_rate_limit_of_another_target(self):
        """Guards against the limit of the target that now answers at a reassigned address."""
        headers = httputil.HTTPHeaders({"Server-Limit": "1"})
        self.assertEqual(PlatformHeaders().parse_response(421, headers).rate_limit, NoRateLimit())

    @params(("1500", 1.5), ("²", 0.0), ("9" * 5000, 0.0))
    def test_cold_header(self, text, seconds):
        """Guards against a target that stays cold for ever, or ends the request that it answers."""
        headers = httputil.HTTPHeaders({"X-Cold-Ms": text})
        self.assertEqual(self.wire_format.parse_response(200, headers).cold_seconds, seconds)

    @params((503, True, True), (503, False, False), (421, False, True), (500, False, False))
    def test_execution_marker(self, status, has_marker, is_not_executed):
        """Guards against retrying a request that the target may have executed.

        Only the marker header and status 421 state that it was not executed.
        """
        headers = httputil.HTTPHeaders({"X-Not-Executed": "1"} if has_marker else {})
        self.assertEqual(
            self.wire_format.parse_response(status, headers).is_not_executed, is_not_executed
        )

    def test_headers_to_target(self):
        """Guards against hop-by-hop headers, or a forged target id, that reach a target."""
        headers = httputil.HTTPHeaders(
            {
                "Host": "h.example",
                "X-Request-Id": "r",
                "X-Deadline-Ms": "9000",
                "Accept": "*/*",
                "Connection": "X-Hop",
                "X-Hop": "1",
                "X-Target-Instance": "forged",
                "Transfer-Encoding": "chunked",
                "Keep-Alive": "timeout=5",
            }
        )
        forwarded = self.wire_format.target_headers(headers, "i-1", 1.5, b"abc", UnchangedTenant())
        self.assertEqual(
            dict(forwarded.get_all()),
            {
                "Host": "h.example",
                "X-Request-Id": "r",
                "Accept": "*/*",
                "X-Deadline-Ms": "1500",
                "X-Target-Instance": "i-1",
                "Content-Length": "3",
            },
        )

    def test_headers_to_caller(self):
        """Guards against losing the signature, or leaking the target's load to the caller."""
        headers = httputil.HTTPHeaders(
            {
                "X-Response-Signature": "s",
                "X-Request-Id": "r",
                "X-Server-Load": "1,0,2",
                "Connection": "close",
                "Content-Length": "5",
                "Content-Type": "text/plain",
            }
        )
        self.assertEqual(
            sorted(name for name, _ in self.wire_format.caller_headers(headers).get_all()),
            ["Content-Type", "X-Request-Id", "X-Response-Signature"],
        )

"""Property tests of everything that reads bytes from outside.

Two kinds of input: anything at all, and a valid message with one part replaced. Only the documented
error may come out; an untyped one ends a request, a watch or a command.
"""

import copy
import ipaddress
import tempfile
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from tornado import httputil

from orioleloft_adapter import headers as wire
from orioleloft_adapter.decoding import DecodingError, decode_table, decode_target
from orioleloft_adapter.headers import PlatformHeaders
from orioleloft_adapter.settings import parse_settings, read_settings
from orioleloft_core import messages, packing
from orioleloft_core import note as notes
from orioleloft_core.errors import NoteError, SettingsError
from orioleloft_core.routes import RouteTable
from orioleloftd import codec
from tests.support.examples import examples
from tests.test_adapter import SETTINGS_FILE, TABLE_SPEC, target_object
from tests.test_messages import STATE, TABLE, UPDATE
from tests.test_publishing import START

MAX_BYTES = 64 * 1024

ODD_TEXT = st.one_of(
    st.text(max_size=40),
    st.sampled_from(["²", "٣", "nan", "-1", "inf", "1" * 400, "\ufeff", "\0", "r1", "5s", "-5s"]),
    # JSON can have lone surrogates, which UTF-8 cannot encode.
    st.sampled_from(["\ud800", "a\udfff", "\ufffd\ufffd.64.13:80", "localhost:80", "a\r\nb"]),
)
ODD_VALUE = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(),
        st.floats(),
        ODD_TEXT,
        st.sampled_from([10**30, -(10**30), float("nan"), float("inf")]),
    ),
    lambda children: st.one_of(
        st.lists(children, max_size=4), st.dictionaries(st.text(max_size=8), children, max_size=4)
    ),
    max_leaves=8,
)
# Values of the right kind that are out of range.
ODD_NUMBER = st.sampled_from([float("nan"), float("inf"), -1, -1.5, True, 10**30, 0, "nans", "-3s"])
# Headers reach the parser as text without line breaks.
HEADER_TEXT = ODD_TEXT.filter(lambda text: not set(text) & set("\r\n\0"))
HEADER_PART = st.one_of(HEADER_TEXT, st.integers().map(str), st.just("3"))
HEADER_VALUE = st.one_of(
    HEADER_TEXT,
    st.lists(HEADER_PART, min_size=3, max_size=5).map(",".join),
    HEADER_PART.map("timeout={}".format),
)

DATAGRAMS = (
    ["Ping", 4, STATE, 2, 9],
    ["PingAnswer", 4, STATE, 2, 9],
    ["Introduction", STATE, [STATE]],
    ["News", STATE, UPDATE, 1],
    ["News", STATE, [TABLE, None, None], 0],
    ["DownClaim", STATE, [["n2", 4]], True, 2],
    ["TargetSign", STATE, "t1", 1.0, 2.5, 0],
    ["CrashReport", STATE, [["ab12", 0, ["p1", "p2"], ["p1"], 2.5]], 0],
    ["ContentionReport", STATE, "s", [["r", [[3, 40, -531]]]], 0],
    ["RateLimitReport", STATE, ["t1", 12, 1.5, 40, True], 0],
    ["RateLimitReport", STATE, ["t1", 12, None, 41, False], 0],
    ["RolloutEvidence", STATE, "s", "k", 7, 1, True, [["r", "t", 4, 1, 3, 0, -2, 9, 40]], 0],
    ["RolloutDirective", STATE, "s", ["n2", "k", 1, 3], 900, 1],
)


def paths(value, prefix=()):
    """Returns the paths of all parts of nested lists and dictionaries."""
    found = [prefix]
    if isinstance(value, dict):
        for key, item in value.items():
            found += paths(item, (*prefix, key))
    elif isinstance(value, list):
        for index, item in enumerate(value):
            found += paths(item, (*prefix, index))
    return found


@st.composite
def broken(draw, valid):
    """Draws a copy of a valid message with one part replaced or removed."""
    path = draw(st.sampled_from(paths(valid)))
    if not path:
        return draw(ODD_VALUE)
    copied = copy.deepcopy(valid)
    parent = copied
    for key in path[:-1]:
        parent = parent[key]
    if draw(st.booleans()):
        parent[path[-1]] = draw(st.one_of(ODD_NUMBER, ODD_TEXT, ODD_VALUE))
    else:
        del parent[path[-1]]
    return copied


@st.composite
def broken_lines(draw, valid):
    """Draws a text whose line has another value, or is replaced or removed."""
    lines = valid.splitlines()
    index = draw(st.integers(0, len(lines) - 1))
    name = lines[index].partition("=")[0]
    lines[index] = draw(st.sampled_from([f"{name}={draw(ODD_TEXT)}", draw(ODD_TEXT), ""]))
    return "\n".join(lines)


class BoundariesTest(unittest.TestCase):
    @settings(max_examples=examples(200))
    @given(
        st.dictionaries(
            st.sampled_from(
                sorted(
                    [
                        wire.TARGET_LOAD,
                        wire.COLD_MS,
                        wire.DEADLINE_MS,
                        wire.REQUEST_ID,
                        "Keep-Alive",
                    ]
                )
            ),
            HEADER_VALUE,
        )
    )
    def test_headers(self, fields):
        """Guards against a header of one target or caller that ends the request."""
        headers = httputil.HTTPHeaders()
        for name, value in fields.items():
            headers[name] = value
        request = PlatformHeaders().parse_request(headers)
        self.assertTrue(request.caller_timeout is None or 0 <= request.caller_timeout < 1e6)
        response = PlatformHeaders().parse_response(200, headers)
        self.assertTrue(0 <= response.cold_seconds < 1e6)
        self.assertTrue(response.idle_timeout is None or 0 <= response.idle_timeout < 1e6)
        if response.load is not None:
            load = response.load
            self.assertTrue(min(load.running, load.waiting, load.slots) >= 0 and load.pace > 0)

    @settings(max_examples=examples(600))
    @given(st.one_of(ODD_VALUE, broken(TABLE_SPEC)))
    def test_route_table(self, spec):
        """Guards against a malformed table that ends the watch."""
        try:
            table = decode_table(spec)
        except DecodingError:
            return
        self.assertIsInstance(table, RouteTable)
        for service in table.services:
            self.assertTrue(0 <= service.cold_per_s < 1e18 and 0 <= service.cold_start < 1e18)

    @settings(max_examples=examples(200))
    @given(st.one_of(ODD_VALUE, broken(target_object())))
    def test_target(self, item):
        """Guards against a malformed registration that ends the watch, or requests later on."""
        try:
            target = decode_target(item)
        except DecodingError:
            return
        self.assertTrue(0 < target.port < 65536 and target.slots > 0)
        ipaddress.ip_address(target.host)
        codec.encode(packing.to_plain(target))
        headers = httputil.HTTPHeaders({wire.EXPECTED_TARGET: target.id})
        self.assertEqual(httputil.HTTPHeaders.parse(str(headers)), headers)

    @settings(max_examples=examples(200))
    @given(st.binary(max_size=200))
    def test_datagram_of_any_bytes(self, data):
        """Guards against bytes on the port between nodes that raise an untyped exception."""
        self.assert_datagram_is_typed(data)

    @settings(max_examples=examples(300))
    @given(st.sampled_from(DATAGRAMS).flatmap(broken))
    def test_broken_datagram(self, values):
        """Guards against a datagram with one malformed field that raises an untyped exception."""
        try:
            data = codec.encode(values)
        except (OverflowError, ValueError, TypeError):
            return  # No node can send integers of 30 digits, or text that UTF-8 cannot encode.
        self.assert_datagram_is_typed(data)

    def assert_datagram_is_typed(self, data):
        try:
            datagram = messages.unpack(codec.decode(data, MAX_BYTES))
        except (ValueError, TypeError):
            return
        self.assertIsInstance(datagram, messages.Datagram)

    @settings(max_examples=examples(200))
    @given(broken_lines(SETTINGS_FILE))
    def test_settings(self, text):
        """Guards against a malformed setting that ends the node without a remedy."""
        try:
            parsed = parse_settings(text)
        except SettingsError as error:
            self.assertTrue(error.remedy)
            return
        self.assertTrue(0 < parsed.bounds.grace_period < 1e18)

    @settings(max_examples=examples(100))
    @given(st.binary(max_size=300))
    def test_settings_file_of_any_bytes(self, content):
        """Guards against a file that is no settings file and ends the node with a stack trace."""
        with tempfile.NamedTemporaryFile() as file:
            file.write(content)
            file.flush()
            with self.assertRaises(SettingsError):
                read_settings(file.name)

    @settings(max_examples=examples(200))
    @given(st.one_of(st.text(max_size=200), broken_lines(START)))
    def test_note(self, text):
        """Guards against a malformed note that ends the command with a stack trace."""
        try:
            note = notes.parse(text)
        except NoteError as error:
            self.assertTrue(error.remedy)
            return
        self.assertTrue(notes.edited_items(note))

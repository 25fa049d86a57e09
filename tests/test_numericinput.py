"""Tests of numbers from outside."""

import math
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from orioleloft_core.numericinput import (
    parse_number,
    parse_whole_number,
    require_number,
    require_whole_number,
)
from tests.support.examples import examples

ANY_VALUE = st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(), st.binary())


class NumericInputTest(unittest.TestCase):
    @params("", "²", "٣", "-1", "+1", "1.0", " 1", "1" * 19, "0x1")
    def test_malformed_whole_number(self, text):
        """Guards against digits that `str.isdigit` accepts and `int` refuses, and huge numbers."""
        with self.assertRaises(ValueError):
            parse_whole_number(text)

    @params("nan", "inf", "-1", "1e400", "²", "", "one")
    def test_malformed_number(self, text):
        """Guards against numbers for which every comparison with a limit is false."""
        with self.assertRaises(ValueError):
            parse_number(text)

    def test_range(self):
        """Guards against a limit that is off by one."""
        self.assertEqual(parse_whole_number("65535", 65535), 65535)
        with self.assertRaises(ValueError):
            parse_whole_number("65536", 65535)
        self.assertEqual(require_whole_number(1, minimum=1), 1)
        with self.assertRaises(ValueError):
            require_whole_number(0, minimum=1)

    @settings(max_examples=examples(100))
    @given(ANY_VALUE)
    def test_any_value(self, value):
        """Guards against an error other than the documented one, and values out of range."""
        for convert in (require_number, require_whole_number):
            try:
                number = convert(value)
            except ValueError:
                continue
            self.assertTrue(math.isfinite(number) and number >= 0)
            self.assertNotIsInstance(number, bool)

    @settings(max_examples=examples(100))
    @given(st.text())
    def test_any_text(self, text):
        """Guards against an error other than the documented one."""
        for parse in (parse_number, parse_whole_number):
            try:
                number = parse(text)
            except ValueError:
                continue
            self.assertTrue(math.isfinite(number) and number >= 0)

"""Tests of the age of the configuration, with a fake clock."""

import unittest

from nose2.tools import params

from orioleloft_core.configurationage import ConfigurationAge, VersionDelay

# Steps: the time, and the version stated by a node that reads the store or by another one.
READING = True
OTHER = False


class ConfigurationAgeTest(unittest.TestCase):
    @params(
        ("nothing heard", [], VersionDelay(None, 0.0)),
        ("confirmed, then told directly", [(2.0, 7, READING)], VersionDelay(8.0, 0.0)),
        (
            "the last confirmation counts",
            [(2.0, 7, READING), (9.0, 7, READING)],
            VersionDelay(1.0, 0.0),
        ),
        ("nodes that do not read confirm nothing", [(2.0, 7, OTHER)], VersionDelay(None, 0.0)),
        ("older versions confirm nothing", [(2.0, 6, READING)], VersionDelay(None, 0.0)),
        (
            "heard of twice",
            [(1.0, 7, READING), (4.0, 8, OTHER), (9.0, 8, READING)],
            VersionDelay(9.0, 6.0),
        ),
    )
    def test_delay_of_a_version(self, name, steps, expected):
        """Guards against a log that says of a late configuration that it was in time."""
        now = 0.0
        age = ConfigurationAge(lambda: now)
        age.replace(7)
        for time, version, is_reading in steps:
            now = time
            age.observe(version, is_reading)
        now = 10.0
        self.assertEqual(age.replace(8), expected, name)

    def test_delays_are_not_carried_over(self):
        """Guards against a version that counts as late because the one before was."""
        now = 0.0
        age = ConfigurationAge(lambda: now)
        age.observe(8, READING)
        now = 5.0
        age.replace(8)
        age.observe(8, READING)
        now = 6.0
        self.assertEqual(age.unconfirmed, 1.0)
        self.assertEqual(age.replace(9), VersionDelay(1.0, 0.0))

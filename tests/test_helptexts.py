"""Tests of the help of the installed commands."""

import pathlib
import subprocess
import sys
import unittest

from nose2.tools import params

from orioleloft import helptexts

SCRIPTS = pathlib.Path(sys.executable).parent


def run_script(name, *arguments):
    """Runs an installed console script; returns its exit code and all that it prints."""
    command = [SCRIPTS / name, *arguments]
    ended = subprocess.run(command, capture_output=True, text=True, check=False, timeout=60)
    return ended.returncode, ended.stdout + ended.stderr


class HelpTest(unittest.TestCase):
    @params(
        (("help",), 0),
        (("--help",), 0),
        (("-h",), 0),
        ((), 1),
        (("unpublish",), 1),
    )
    def test_all_subcommands(self, arguments, code):
        """Guards against a command that tells a newcomer nothing but `[flags]`."""
        found, text = run_script("orioleloft", *arguments)
        self.assertEqual(found, code)
        for subcommand in helptexts.SUBCOMMANDS:
            self.assertIn(subcommand.summary, text)
            self.assertIn(subcommand.example, text)

    @params(*[subcommand.name for subcommand in helptexts.SUBCOMMANDS])
    def test_own_help(self, name):
        """Guards against a subcommand without a help of its own."""
        self.assertIn(f"Usage: orioleloft {name}", helptexts.subcommand_help(name))

    def test_help_flag_of_a_subcommand(self):
        """Guards against a flag that shows the general help where a subcommand was named."""
        code, text = run_script("orioleloft", "publish", "--help")
        self.assertEqual(code, 0)
        self.assertTrue(text.startswith("Usage: orioleloft publish FILE"))

    def test_missing_operand(self):
        """Guards against an error that does not state which operands a subcommand takes."""
        code, text = run_script("orioleloft", "publish")
        self.assertEqual(code, 1)
        self.assertIn("Usage: orioleloft publish FILE", text)

    def test_node(self):
        """Guards against a node whose help does not state its settings."""
        _, text = run_script("orioleloftd", "--help")
        self.assertIn("orioleloftd --settings FILE", text)

"""Tests of the operators' command against stand-ins for the platform and for an entry node."""

import asyncio
import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from absl import app, flags
from nose2.tools import params
from tornado import httpserver, netutil, web

from orioleloft import main
from orioleloft.report import ExitCode
from orioleloft_core.errors import DocumentError
from orioleloft_core.status import NodeStatus, TargetStatus
from tests.support import fixtures
from tests.support.fixtures import START, text

CLOSE = ("zone za", "change = change", "state = closed")
STATUS = NodeStatus(
    "entry-01", "0" * 16, "za", "serving", 7, 1500, (TargetStatus("ledger/l-01", "warm", 0.5),)
)
NOWHERE = "127.0.0.1:1"


class CommandTest(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))

    def file(self, content, name="note.ini"):
        path = self.folder / name
        path.write_text(content)
        return str(path)

    def run_all(self, *commands, control=None, address=None):
        """Runs commands one after the other against one platform and returns their reports."""

        async def run():
            async with fixtures.platform() as (standin, _, own):
                reports = []
                for words in commands:
                    options = main.Options(address or own, (), "ana", 50)
                    reports.append(await main.execute(words, options))
                    standin.control(control or {})
                return reports

        return asyncio.run(run())

    def test_publish_show_list_and_audit(self):
        """Guards against an audit or a list that does not show what was released."""
        start, close = self.file(START), self.file(text("close", 1, CLOSE), "close.ini")
        meets = self.file(text("meets", 1, CLOSE), "meets.ini")
        reports = self.run_all(
            *(["note", "publish", path] for path in (start, close, meets, start)),
            ["audit"],
            ["note", "list"],
            ["note", "show", "meets"],
            ["note", "plan", close],
            ["note", "show", "absent"],
        )
        codes = [report.code for report in reports]
        ok, refused = ExitCode.OK, ExitCode.REFUSED
        self.assertEqual(codes, [ok, ok, refused, ok, ok, ok, ok, ok, ExitCode.FAULT])
        self.assertTrue(reports[3].document["repeat"])
        audit = [(it["outcome"], it["version"], it["base"]) for it in reports[4].document]
        self.assertEqual(sorted(audit), [("accepted", 1, 0), ("accepted", 2, 1), ("refused", 0, 1)])
        self.assertIn("ana meets-", "\n".join(reports[4].lines))
        self.assertEqual([it["name"] for it in reports[5].document], ["close", "meets", "start"])
        self.assertEqual(reports[6].document["state"], "refused")
        self.assertIn("was accepted before as version 2", reports[7].lines[0])

    def test_check_names_file_and_line(self):
        """Guards against a fault that an operator cannot find."""
        (report,) = self.run_all(["note", "check", self.file(START + "x = 1\n")])
        self.assertEqual(report.code, ExitCode.FAULT)
        self.assertRegex(report.lines[0], r"note.ini: line 21: the key x .* Use ")
        (report,) = self.run_all(["note", "check", self.file(START)])
        self.assertEqual((report.code, report.document["base"]), (ExitCode.OK, 0))

    @params(
        ({"is_down": True}, ExitCode.PLATFORM_DOWN),
        ({"drops_calls": True}, ExitCode.PLATFORM_DOWN),
        ({"lose_answers": 1}, ExitCode.OK),
        ({"lose_answers": 99}, ExitCode.OK),
    )
    def test_platform_faults(self, control, code):
        """Guards against a wrong exit code, on which operators' scripts act."""
        first = ["note", "check", self.file(START)]
        publish = ["note", "publish", self.file(START)]
        _, report = self.run_all(first, publish, control=control)
        self.assertEqual(report.code, code, report.lines)

    def test_lost_answer_of_the_head(self):
        """Guards against "nothing was released" when the answer of the release was lost."""

        async def run():
            async with fixtures.platform() as (standin, store, address):
                real_write, path = standin.write, self.file(START)

                async def write(name, expected, value):
                    if name == "head":
                        standin.control({"lose_answers": 1})
                    version = await real_write(name, expected, value)
                    if name == "head":
                        # The connection is closed after the write; all later calls are refused.
                        asyncio.get_running_loop().call_soon(standin.control, {"is_down": True})
                    return version

                standin.write = write
                options = main.Options(address, (), "ana", 50)
                lost = await main.execute(["note", "publish", path], options)
                standin.control({"is_down": False})
                return lost, await main.execute(["note", "publish", path], options)

        lost, again = asyncio.run(run())
        self.assertEqual(lost.code, ExitCode.OUTCOME_UNKNOWN)
        self.assertEqual((again.code, again.document["version"]), (ExitCode.OK, 1))

    @params(["note", "publish"], ["note"], [], ["status"], ["audit", "x"], ["note", "show"])
    def test_usage(self, words):
        """Guards against a wrong sub-command that ends as a success."""
        with self.assertRaises(app.UsageError):
            self.run_all(words)

    def test_publish_needs_an_operator(self):
        """Guards against an audit that does not tell who released a note."""
        options = main.Options(NOWHERE, (), "", 50)
        with self.assertRaises(app.UsageError):
            asyncio.run(main.execute(["note", "publish", self.file(START)], options))

    def test_unreadable_file_and_unreachable_platform(self):
        """Guards against a traceback in place of an error with a remedy."""
        (report,) = self.run_all(["note", "check", str(self.folder / "absent.ini")])
        self.assertEqual(report.code, ExitCode.FAULT)
        (report,) = self.run_all(["note", "list"], address=NOWHERE)
        self.assertEqual(report.code, ExitCode.PLATFORM_DOWN)

    def test_main_prints_json_and_returns_the_code(self):
        """Guards against output that scripts cannot read."""
        flags.FLAGS(["orioleloft", "--json"])
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = main.main(["orioleloft", "note", "check", self.file("")])
        flags.FLAGS(["orioleloft", "--nojson"])
        self.assertEqual((code, json.loads(output.getvalue())["outcome"]), (1, "faults"))


class StatusTest(unittest.TestCase):
    def ask(self, body):
        class Handler(web.RequestHandler):
            def get(self):
                self.finish(body)

        async def run():
            sockets = netutil.bind_sockets(0, "127.0.0.1")
            server = httpserver.HTTPServer(web.Application([("/_orioleloft/status", Handler)]))
            server.add_sockets(sockets)
            own = f"127.0.0.1:{sockets[0].getsockname()[1]}"
            report = await main.execute(["status"], main.Options(NOWHERE, (own, NOWHERE), "", 50))
            server.stop()
            return report

        return asyncio.run(run())

    def test_status_of_two_nodes(self):
        """Guards against a node without an answer that hides the others or looks well."""
        report = self.ask(json.dumps(STATUS.to_document()))
        self.assertEqual(report.code, ExitCode.NODE_DOWN)
        self.assertEqual(report.lines[0], "version 7 is in force on 1 of 2 nodes")
        self.assertIn("entry-01 in za serving, version 7 for 1.5 s", report.lines[1])
        self.assertEqual(report.document[0]["status"]["targets"][0]["share"], 0.5)
        self.assertIsNone(report.document[1]["status"])

    @params("", "[]", "{}", "nonsense")
    def test_foreign_answer(self, body):
        """Guards against another server whose answer breaks the command."""
        self.assertEqual(self.ask(body).code, ExitCode.NODE_DOWN)

    @params(("seat", 1), ("catalog_version", "7"), ("in_force_ms", True), ("targets", [{}]))
    def test_fields_are_checked(self, field, value):
        """Guards against a status of another form that is shown as if it were right."""
        document = STATUS.to_document()
        self.assertEqual(NodeStatus.from_document({**document, "newer": 1}), STATUS)
        with self.assertRaises(DocumentError):
            NodeStatus.from_document({**document, field: value})


if __name__ == "__main__":
    unittest.main()

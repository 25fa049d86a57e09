"""Tests of the target stand-in: what it runs, refuses and records."""

import asyncio
import json
import subprocess
import sys
import unittest

from nose2.tools import params
from tornado import testing

from orioleloft_core.effects import Dispatch
from orioleloft_core.request import Ending, Warmth
from orioleloftd.targetclient import TargetClient
from standins import target as standin
from tests.support import fakes


class StandinCase(testing.AsyncTestCase):
    def start(self, **options):
        """Starts a target and a client; called on the loop."""
        options = {"crash": "down", "service_ms": 0.1, **options}
        self.target = standin.Target(0, standin.Options(**options), 1)
        self.target.start()
        loop = asyncio.get_running_loop()
        self.client = TargetClient(loop.time, lambda dispatch_id: True, 4096, 1 << 20)
        self.count = 0

    def tearDown(self):
        self.client.close()
        self.target.stop()
        super().tearDown()

    def send(self, *headers, seconds=30.0, **fields):
        """Returns a future of the result of a request."""
        self.count += 1
        known = fakes.catalog(self.target.port).targets[0]
        deadline = asyncio.get_running_loop().time() + seconds
        made = fakes.request(deadline=deadline, headers=headers, **fields)
        future = asyncio.get_running_loop().create_future()
        self.client.send(Dispatch(f"d{self.count}", known.id, made), known, 99, future.set_result)
        return future

    @property
    def endings(self):
        return [run.ending for run in self.target.runs]


class RunTest(StandinCase):
    @fakes.async_test
    async def test_records_what_ran(self):
        """Guards against an oracle that misses a run."""
        self.start()
        result = await self.send(("Call-Id", "c1"), key="k1", method="POST", body=b"x")
        self.assertEqual((result.ending, result.report.warmth), (Ending.ANSWERED, Warmth.WARM))
        run = self.target.record()["runs"][0]
        self.assertEqual((run["call_id"], run["key"], run["ending"]), ("c1", "k1", "done"))
        self.assertLessEqual(run["started"], run["ended"])

    @fakes.async_test
    async def test_slots_queue_and_shed(self):
        """Guards against a target that runs more at once than it has slots."""
        self.start(slots=2, queue=1)
        held = [self.send(("Service-Ms", "9000")) for _ in range(3)]
        await fakes.until(lambda: self.target.in_flight == 3)
        result = await self.send()
        self.assertEqual((result.ending, self.target.shed), (Ending.SHED, 1))
        self.assertEqual(self.endings, ["running"] * 2)
        self.client.close()
        await asyncio.gather(*held)
        await fakes.until(lambda: self.target.in_flight == 0)
        self.assertEqual(self.endings, ["cancelled"] * 2)

    @fakes.async_test
    async def test_drain(self):
        """Guards against a leaving target that starts new work."""
        self.start(is_draining=True)
        result = await self.send()
        self.assertEqual((result.ending, result.report.warmth), (Ending.SHED, Warmth.DRAINING))
        self.assertEqual(self.endings, [])

    @fakes.async_test
    async def test_stops_at_the_deadline(self):
        """Guards against work that goes on after the caller's deadline."""
        self.start()
        await self.send(("Service-Ms", "9000"), seconds=0.1)
        await fakes.until(lambda: self.target.in_flight == 0)
        self.assertIn(self.endings, (["deadline"], ["cancelled"]))

    @params(("Crash-Target", "1"), ("Cut-Body", "3"))
    @fakes.async_test
    async def test_crash_and_cut_body(self, name, value):
        """Guards against a broken run that looks complete."""
        self.start()
        result = await self.send((name, value))
        self.assertEqual(result.ending, Ending.BROKEN)
        expected = "crashed" if name == "Crash-Target" else "cut"
        self.assertEqual(self.endings, [expected])

    @fakes.async_test
    async def test_falls_over_when_cold(self):
        """Guards against a cold target that bears any load."""
        self.start(cold_answers=2, cold_limit=1, crash="restart", restart_ms=1)
        incarnation = self.target.incarnation
        self.assertEqual((await self.send()).report.warmth, Warmth.COLD)
        held = [self.send(("Service-Ms", "9000")) for _ in range(2)]
        await asyncio.gather(*held)
        await fakes.until(lambda: self.target.incarnation != incarnation)
        self.assertEqual(self.target.crashes, 1)
        await fakes.until(lambda: self.target.is_cold)

    @fakes.async_test
    async def test_reports_lag_and_mislead(self):
        """Guards against a report that is always true, which no real target gives."""
        self.start(report_lag_ms=60_000)
        await self.send()
        self.target.options.is_draining = True
        self.assertEqual((await self.send()).report.warmth, Warmth.WARM)
        self.target.options.report_lag_ms = 0
        self.target.options.lie_state = "cold"
        self.target.options.lie_in_flight = 7
        report = (await self.send()).report
        self.assertEqual((report.warmth, report.in_flight), (Warmth.COLD, 7))


class ProcessTest(unittest.TestCase):
    def test_two_targets_and_exit(self):
        """Guards against a stand-in whose command line, control path or crash does not work."""
        command = [sys.executable, "-m", "standins.target", "--port", "0", "--port", "0"]
        process = subprocess.Popen([*command, "--slots", "3"], stdout=subprocess.PIPE, text=True)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self.addCleanup(process.stdout.close)
        ports = [int(word) for word in process.stdout.readline().split()[1:]]
        get = b"GET /_control/record HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        answer = asyncio.run(fakes.exchange(ports[0], get))
        listed = json.loads(answer.partition(b"\r\n\r\n")[2])
        self.assertEqual([target["port"] for target in listed], ports)
        crash = b"GET / HTTP/1.1\r\nHost: a\r\nCrash-Target: 1\r\n\r\n"
        self.assertEqual(asyncio.run(fakes.exchange(ports[1], crash)), b"")
        self.assertEqual(process.wait(), standin.CRASH_EXIT_CODE)


if __name__ == "__main__":
    unittest.main()

"""Tests of the runner: events in, effects out, on real ports with a fake core."""

import asyncio
import json
import os
import signal
import unittest

from nose2.tools import params
from tornado import httpclient, testing

from orioleloft_core import effects, events, messages
from orioleloft_core.catalog import Catalog
from orioleloft_core.errors import Code, Outcome
from orioleloft_core.request import Ending, Reply
from orioleloftd.runner import Runner
from standins import target as standin
from tests.support import fakes

HEADERS = {"Orioleloft-Service": "ledger", "Call-Id": "c1"}


class Platform:
    """A platform client that answers with given values, or fails in a way not foreseen."""

    is_down = False

    async def read_catalog(self, effect):
        """Returns a catalog whose version shows the argument."""
        return self._answer(events.HeadRead(Catalog(effect.wait_for + 1), True, 0.0))

    async def read_assignment(self):
        """Returns epoch 4."""
        return self._answer(events.AssignmentRead(4, (), True, 0.0))

    async def write_assignment(self, effect):
        """Returns the next epoch."""
        epoch = effect.base_epoch + 1
        return self._answer(events.AssignmentRead(epoch, effect.holders, True, 0.0))

    def _answer(self, value):
        if self.is_down:
            raise RuntimeError("not foreseen")
        return value


class RunnerCase(testing.AsyncTestCase):
    def start(self, *ports):
        """Starts a runner with a fake core; called on the loop."""
        self.node = fakes.Node(fakes.catalog(*ports))
        self.platform = Platform()
        self.runner = Runner(fakes.settings(), self.node, self.platform, "ab" * 8)
        self.runner.start()

    def fetch(self, **options):
        """Sends a request to the node."""
        url = f"http://127.0.0.1:{self.runner.port}/x"
        client = httpclient.AsyncHTTPClient()
        return client.fetch(url, headers=HEADERS, raise_error=False, **options)

    def cause(self, *made):
        """Makes the core return effects at the next event."""
        self.node.next_effects.extend(made)
        self.runner.feed(events.Tick())


class RequestTest(RunnerCase):
    @fakes.async_test
    async def test_request_reaches_target(self):
        """Guards against a break anywhere on the path from the caller to the target and back."""
        target = standin.Target(0, standin.Options(), 1)
        target.start()
        self.start(target.port)
        response = await self.fetch(method="POST", body=b"12")
        self.assertEqual((response.code, response.headers["Orioleloft-Outcome"]), (200, "complete"))
        self.assertEqual([run.call_id for run in target.runs], ["c1"])
        await self.runner.close()
        target.stop()

    @fakes.async_test
    async def test_core_is_asked_at_the_first_byte(self):
        """Guards against a runner that does not pass the core's veto on."""
        raw = await fakes.RawTarget(b"").start()
        self.start(raw.port)
        self.node.allows_start = False
        await self.fetch()
        ending = self.node.seen(events.DispatchFinished)[0].result.ending
        self.assertEqual((ending, raw.requests), (Ending.NOT_SENT, []))
        await self.runner.close()

    @fakes.async_test
    async def test_caller_leaves_and_dispatch_is_cancelled(self):
        """Guards against an answer or a dispatch for a caller that is gone."""
        raw = await fakes.RawTarget(b"").start()
        self.start(raw.port)
        _, writer = await asyncio.open_connection("127.0.0.1", self.runner.port)
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nOrioleloft-Service: ledger\r\n\r\n")
        await fakes.until(lambda: raw.requests)
        writer.close()
        await fakes.until(lambda: self.node.seen(events.CallerLeft))
        request_id = self.node.seen(events.CallerLeft)[0].request_id
        self.cause(effects.CancelDispatch(f"d/{request_id}"))
        await fakes.until(lambda: raw.closed)
        endings = [event.result.ending for event in self.node.seen(events.DispatchFinished)]
        self.assertEqual(endings, [Ending.CANCELLED])
        self.cause(effects.Answer(request_id, Reply(200, Outcome.COMPLETE)))
        await self.runner.close()

    @fakes.async_test
    async def test_core_fails(self):
        """Guards against a caller that waits for an answer the core cannot give."""
        self.start()
        self.node.seen = None
        self.node.handle = lambda now, event: 1 / 0
        response = await self.fetch()
        self.assertEqual(response.headers["Orioleloft-Code"], Code.INTERNAL_ERROR.value)
        self.assertEqual(json.loads(response.body)["outcome"], "unknown")
        await self.runner.close()

    @fakes.async_test
    async def test_unknown_target_is_not_sent(self):
        """Guards against a dispatch that never ends as its target has left the catalog."""
        self.start()
        self.cause(effects.Dispatch("d/1", "ledger/none", fakes.request()))
        ending = self.node.seen(events.DispatchFinished)[0].result.ending
        self.assertEqual(ending, Ending.NOT_SENT)
        await self.runner.close()


class EffectTest(RunnerCase):
    @params(
        (effects.ReadHead(6), events.HeadRead(Catalog(7), True, 0.0)),
        (effects.ReadAssignment(), events.AssignmentRead(4, (), True, 0.0)),
        (effects.WriteAssignment(4, ()), events.AssignmentRead(5, (), True, 0.0)),
    )
    @fakes.async_test
    async def test_platform_calls(self, effect, expected):
        """Guards against a platform's answer, or its absence, that the core never learns."""
        self.start()
        for is_down in (False, True):
            self.platform.is_down = is_down
            self.cause(effect)
            await fakes.until(lambda: self.node.seen(type(expected)))
            event = self.node.seen(type(expected))[0]
            self.assertEqual(event.is_reachable, not is_down)
            if not is_down:
                self.assertEqual(event, expected)
            self.node.events.clear()
        await self.runner.close()

    @fakes.async_test
    async def test_probe_of_a_dead_target(self):
        """Guards against a probe without a result."""
        raw = await fakes.RawTarget().start()
        raw.stop()
        self.start(raw.port)
        self.cause(effects.Probe(self.node.catalog.targets[0].id))
        await fakes.until(lambda: self.node.seen(events.ProbeFinished))
        self.assertIsNone(self.node.seen(events.ProbeFinished)[0].report)
        await self.runner.close()

    @fakes.async_test
    async def test_lost_message_and_log(self):
        """Guards against a message to a silent peer, or a log line, that stops the node."""
        self.start()
        fields = (("name", "a"), ("count", 1))
        with self.assertLogs("orioleloftd", "INFO") as logs:
            self.cause(
                effects.Send("entry-99", messages.Queued("a")), effects.LogEvent("e", fields)
            )
        self.assertEqual(logs.records[0].getMessage(), "e")
        await self.runner.close()

    @params(signal.SIGTERM, signal.SIGINT)
    @fakes.async_test
    async def test_signal_stops_gracefully(self, number):
        """Guards against a signal that ends the process before the core has finished."""
        self.node = fakes.Node()
        runner = Runner(fakes.settings(), self.node, None, "ab" * 8)
        running = asyncio.create_task(runner.run())
        await fakes.until(lambda: runner.port)
        os.kill(os.getpid(), number)
        await fakes.until(lambda: self.node.seen(events.StopRequested))
        self.assertFalse(running.done())
        self.node.next_effects.append(effects.Stopped())
        await running


if __name__ == "__main__":
    unittest.main()

"""Tests of the runner: requests pass through a fake node to a target stand-in."""

import unittest

from tornado import httpclient, testing

from orioleloftd.runner import Runner
from standins import target as standin
from tests.support import fakes


class ThinPathTest(testing.AsyncTestCase):
    @testing.gen_test
    async def test_request_reaches_target(self):
        """Guards against a break anywhere on the path from the caller to the target and back."""
        target = standin.Target(0, standin.Options(), 1)
        target.start()
        node = fakes.Node(fakes.catalog(target.port))
        runner = Runner(fakes.settings(), node, None, "ab" * 8)
        runner.start()
        client = httpclient.AsyncHTTPClient()
        response = await client.fetch(
            f"http://127.0.0.1:{runner.port}/x?y=1",
            method="POST",
            body=b"12",
            headers={"Orioleloft-Service": "ledger", "Call-Id": "c1"},
        )
        self.assertEqual(response.code, 200)
        self.assertEqual(response.headers["Orioleloft-Outcome"], "complete")
        self.assertEqual([run.call_id for run in target.runs], ["c1"])
        await runner.close()
        target.stop()


if __name__ == "__main__":
    unittest.main()

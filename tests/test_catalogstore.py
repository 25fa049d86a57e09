"""Tests of reading the catalog and of the assignment object, against the stand-in."""

import unittest

from nose2.tools import params

from orioleloft_core.catalog import Catalog
from orioleloft_core.effects import ReadHead, WriteAssignment
from orioleloft_core.events import AssignmentRead, HeadRead
from orioleloft_platform.catalogstore import CatalogStore
from tests.support import fixtures

HOLDERS = (("ledger#0", "entry-01", "0" * 16),)
OTHERS = (("ledger#0", "entry-02", "1" * 16),)
TEST_PLATFORM = fixtures.on_platform(request_timeout_ms=1000)


def catalog_store(store):
    return CatalogStore(store, watch_ms=20, clock=lambda: 7.0)


async def read(catalogs, wait_for=0):
    return await catalogs.read_catalog(ReadHead(wait_for))


class CatalogStoreTest(unittest.TestCase):
    @TEST_PLATFORM
    async def test_reads_only_parts_under_new_names(self, standin, store):
        """Guards against a node that reads all services again on each change."""
        catalogs = catalog_store(store)
        two = ("service tracker", "change = add", "slots = 1")
        await fixtures.publish(store, fixtures.START)
        await fixtures.publish(store, fixtures.text("second", 1, two))
        first = (await read(catalogs)).catalog
        self.assertEqual([service.name for service in first.services], ["ledger", "tracker"])
        change = ("target ledger/l-01", "change = change", "state = draining")
        await fixtures.publish(store, fixtures.text("third", 2, change))
        before = standin.counts["read"]
        second = (await read(catalogs)).catalog
        self.assertEqual(standin.counts["read"] - before, 2)
        self.assertTrue(second.target("ledger/l-01").is_draining)
        self.assertEqual((second.version, second.services), (3, first.services))

    @TEST_PLATFORM
    async def test_no_head_and_no_change(self, standin, store):
        """Guards against an empty platform that looks unreachable, and a watch that looks new."""
        catalogs = catalog_store(store)
        self.assertEqual(await read(catalogs), HeadRead(Catalog(), True, 7.0))
        self.assertEqual(await read(catalogs, 3), HeadRead(None, True, 7.0))

    @params({"is_down": True}, {"drops_calls": True})
    @TEST_PLATFORM
    async def test_down(self, standin, store, fault):
        """Guards against a failed read that is taken for an empty catalog or assignment."""
        catalogs = catalog_store(store)
        standin.control(fault)
        lost = AssignmentRead(0, (), False, 7.0)
        self.assertEqual(await read(catalogs), HeadRead(None, False, 7.0))
        self.assertEqual(await catalogs.read_assignment(), lost)
        write = WriteAssignment(0, HOLDERS)
        self.assertEqual(await catalogs.write_assignment(write), lost)

    @params({"zones": []}, [], {"zones": [], "customers": [], "services": {}, "history": []})
    @TEST_PLATFORM
    async def test_foreign_head_is_not_adopted(self, standin, store, document):
        """Guards against a node that breaks on, or serves, a head of another form."""
        catalogs = catalog_store(store)
        await store.create("head", document)
        self.assertEqual(await read(catalogs), HeadRead(None, False, 7.0))

    @TEST_PLATFORM
    async def test_assignment_is_written_by_epoch(self, standin, store):
        """Guards against two nodes that both take a group in one epoch."""
        catalogs = catalog_store(store)
        write = catalogs.write_assignment
        self.assertEqual(await catalogs.read_assignment(), AssignmentRead(0, (), True, 7.0))
        first = AssignmentRead(1, HOLDERS, True, 7.0)
        self.assertEqual(await write(WriteAssignment(0, HOLDERS)), first)
        self.assertEqual(await write(WriteAssignment(0, OTHERS)), first)
        second = AssignmentRead(2, OTHERS, True, 7.0)
        self.assertEqual(await write(WriteAssignment(1, OTHERS)), second)
        self.assertEqual(await write(WriteAssignment(1, HOLDERS)), second)
        self.assertEqual(await catalogs.read_assignment(), second)


if __name__ == "__main__":
    unittest.main()

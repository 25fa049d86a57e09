"""Tests of the guarantees of docs/design.md, section 1.1, with real processes that fail."""

import pathlib
import signal
import tempfile
import threading
import time
import unittest

from standins.loopback import Deployment, Loopback, ServiceShape
from standins.processes import wait_until
from tests.support import callers
from tests.support.callers import COMPLETE, LOST, NOT_RUN, UNKNOWN, UNSENT

ZONES = ("gt-a", "gt-b", "gt-c")
LEDGER = "ledger"
READY_SECONDS = 20.0
END_SECONDS = 30.0
# Longer than `hold_time` and `suspicion`, both 3 s.
PAUSE_SECONDS = 4.0
# Complete answers in a row on each node after which its targets count as in use.
WARM_ANSWERS = 8
WORKERS = 8
# The margin stays at its default: the other nodes learn of a stop by heartbeat, once a second.
SHORT_STOP = "[stop]\naddress_lifetime = 1 s\n"


class DeploymentCase(unittest.TestCase):
    """A deployment on loopback that all tests of a class use."""

    services = (ServiceShape(LEDGER, 6, 2),)
    extra_settings = SHORT_STOP

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        shape = Deployment(ZONES, 3, cls.services, cls.extra_settings)
        cls.loopback = Loopback(shape, pathlib.Path(folder.name))
        cls.processes = cls.loopback.processes
        cls.addClassCleanup(cls.processes.close)
        cls.loopback.start()
        cls.names = list(cls.loopback.nodes)
        cls.nodes = list(cls.loopback.nodes.values())
        for name in cls.names:
            cls.wait_served(name)

    def setUp(self):
        self.journal = callers.Journal()

    @classmethod
    def wait_served(cls, name):
        """Waits until requests through a node complete."""

        def is_served():
            answers = [
                callers.call(cls.loopback.nodes[name], "GET", service.name)
                for service in cls.services
                for _ in range(WARM_ANSWERS)
            ]
            return all(answer.outcome == COMPLETE for answer in answers)

        wait_until(f"requests through {name}", READY_SECONDS, is_served)

    def entry(self, name):
        """Returns address and key prefix of a node, once it names itself."""
        address = self.loopback.nodes[name]
        found = []

        def is_named():
            entries, _ = callers.entries_of(address)
            found[:] = [each for each in entries if each.address == address]
            return bool(found)

        wait_until(f"{name} in the address answer", READY_SECONDS, is_named)
        return found[0]

    def wait_exchanges(self, count):
        """Waits until the journal has this many new exchanges."""
        wanted = len(self.journal.exchanges) + count
        wait_until(
            f"{count} more exchanges",
            READY_SECONDS,
            lambda: len(self.journal.exchanges) >= wanted,
        )

    def assert_keys_hold(self):
        """Compares all answers with the targets' records."""
        runs = callers.runs_of(self.loopback, LEDGER)
        self.assertEqual(callers.key_faults(self.journal.exchanges, runs), [])


class KeysUnderFailure(DeploymentCase):
    """Invariants 5 and 6 while the owner of the keys dies or is paused."""

    def keyed_step(self, owner):
        """Returns a step: a keyed request to its owner, resent to others until it is settled."""
        others = [address for address in self.nodes if address != owner.address]

        def step(rng, number):
            key = self.journal.new_key(owner)
            # A caller that leaves early resends while the first request may still run.
            patience = rng.choice((0.02, 1.0))
            answer = self.post(owner.address, key, patience)
            for address in rng.sample(others, len(others)):
                if answer.outcome == COMPLETE and rng.random() < 0.5:
                    return
                answer = self.post(address, key, 5.0)

        return step

    def post(self, address, key, seconds):
        """Sends a keyed request with a mean service time of 20 ms."""
        return self.journal.call(address, "POST", LEDGER, key, seconds=seconds, Service_Ms="20")

    def test_killed_owner(self):
        # Guards against a second run, or a wrong "not-run", when the memory of the owner is gone.
        victim = self.names[0]
        owner = self.entry(victim)
        with callers.Load(WORKERS, self.keyed_step(owner)):
            self.wait_exchanges(200)
            self.processes.kill(victim)
            killed_at = time.time()
            self.wait_exchanges(60)
        early = self.journal.outcomes(
            each for each in self.journal.exchanges if each.started < killed_at
        )
        late = self.journal.outcomes(self.journal.since(killed_at))
        self.assert_keys_hold()
        self.assertGreater(early[COMPLETE, ""], 50, early)
        self.assertGreater(late[UNKNOWN, "owner-unreachable"], 0, late)
        self.assertEqual(late[COMPLETE, ""], 0, late)
        self.assertLessEqual({each for each, _ in late}, {UNKNOWN, UNSENT, LOST}, late)
        self.check_successor(victim)

    def check_successor(self, victim):
        """Resends all keys to the next process on the seat, which must run none of them."""
        self.loopback.start_node(victim)
        self.loopback.wait_serving([victim])
        keys = {each.key for each in self.journal.exchanges}
        address = self.loopback.nodes[victim]
        answers = [self.post(address, key, 5.0) for key in sorted(keys)[:40]]
        self.assertEqual({(each.outcome, each.code) for each in answers}, {(UNKNOWN, "owner-gone")})
        self.assert_keys_hold()
        self.wait_served(victim)

    def test_paused_owner(self):
        # Guards against a second run when an owner wakes up with requests and queries that waited
        # in its sockets, and against a node that does not serve again after a pause.
        victim = self.names[1]
        owner = self.entry(victim)
        with callers.Load(WORKERS, self.keyed_step(owner)):
            self.wait_exchanges(200)
            self.processes.signal(victim, signal.SIGSTOP)
            paused_at = time.time()
            # The length of the pause is the fault itself.
            threading.Event().wait(PAUSE_SECONDS)
            self.processes.signal(victim, signal.SIGCONT)
            resumed_at = time.time()
            self.wait_exchanges(100)
        paused = [each for each in self.journal.since(paused_at) if each.ended < resumed_at]
        seen = self.journal.outcomes(paused)
        self.assert_keys_hold()
        self.assertGreater(seen[UNKNOWN, "owner-unreachable"], 0, seen)
        self.wait_served(victim)
        again = self.entry(victim)
        self.assertEqual(again.key_prefix.split(".")[:2], owner.key_prefix.split(".")[:2])
        wait_until(
            "a new key on the resumed node",
            READY_SECONDS,
            lambda: self.post(again.address, self.journal.new_key(again), 5.0).outcome == COMPLETE,
        )
        self.assert_keys_hold()


class PlannedStop(DeploymentCase):
    """Invariant 8: a planned stop cuts off no request."""

    def stop_under_load(self, victim, signals):
        """Stops a node under load of callers that follow the contract; returns its exit code."""
        slow = []

        def step(rng, number):
            book = books.setdefault(number, callers.AddressBook(self.nodes, ZONES[0], rng))
            self.journal.insist(book, rng, "GET" if number % 2 else "POST", LEDGER)

        def send_slow():
            # Runs for 2 s or more, which is longer than address lifetime and margin together.
            entry = self.entry(victim)
            key = self.journal.new_key(entry)
            options = {"Service_Ms": "4000", "Orioleloft_Deadline_Ms": "30000"}
            slow.append(
                self.journal.call(entry.address, "POST", LEDGER, key, seconds=40, **options)
            )

        books = {}
        threads = [threading.Thread(target=send_slow) for _ in range(3)]
        with callers.Load(WORKERS, step):
            for thread in threads:
                thread.start()
            self.wait_exchanges(100)
            for number in signals:
                self.processes.signal(victim, number)
                self.wait_exchanges(20)
            code = self.processes.wait(victim, END_SECONDS)
            self.wait_exchanges(50)
            for thread in threads:
                thread.join()
        self.assertEqual([each.outcome for each in slow], [COMPLETE] * len(threads))
        return code

    def check_stop(self, victim, signals):
        """Stops a node, checks that nobody lost a request, and starts it again."""
        code = self.stop_under_load(victim, signals)
        seen = self.journal.outcomes()
        self.assertEqual(code, 0, self.processes.log(victim))
        # Bypass alone serves the group until the next holder's fence is over, and refuses what is
        # beyond it. No caller that follows the contract meets a draining node.
        self.assertLessEqual(set(seen), {(COMPLETE, ""), (NOT_RUN, "no-capacity")}, seen)
        self.assert_keys_hold()
        self.loopback.start_node(victim)
        self.loopback.wait_serving([victim])
        self.wait_served(victim)

    def test_stop_under_load(self):
        # Guards against a stop that cuts off requests in flight or new ones of callers that still
        # keep the address.
        self.check_stop(self.names[0], [signal.SIGTERM])

    def test_second_signal(self):
        # Guards against a second signal that ends the process before the requests in flight.
        self.check_stop(self.names[1], [signal.SIGTERM, signal.SIGTERM])

    def test_stop_during_start(self):
        # Guards against a starting node that waits for a platform or peers before it stops.
        other = Loopback(
            Deployment(ZONES, 3, (), self.extra_settings), self.loopback.folder / "start"
        )
        other.folder.mkdir()
        self.addCleanup(other.processes.close)
        name = self.names[0]
        other.start_node(name)
        wait_until(
            "a starting node", READY_SECONDS, lambda: other.status(name)["state"] == "starting"
        )
        answer = callers.call(other.nodes[name], "GET", LEDGER)
        self.assertEqual((answer.outcome, answer.code), (NOT_RUN, "node-starting"))
        other.processes.signal(name, signal.SIGTERM)
        self.assertEqual(other.processes.wait(name, END_SECONDS), 0, other.processes.log(name))

"""Tests of the guarantees of docs/design.md, section 1.1, with real processes that fail."""

import contextlib
import pathlib
import random
import signal
import socket
import tempfile
import threading
import time
import unittest

import zmq

from orioleloft.report import ExitCode
from orioleloft_core import messages
from orioleloft_core.request import Request
from standins.loopback import Deployment, Loopback, ServiceShape
from standins.processes import fetch_json, wait_until
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
# Longer than `freshness`, 5 s.
OUTAGE_SECONDS = 6.0
# The promise for a note is 10 s. After an outage a node's next call can be `backoff_cap`, 10 s,
# away.
IN_FORCE_SECONDS = 20.0
# The promise for the last new request in a closed zone is 3 s.
ZONE_BOUND_SECONDS = 5.0
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


class PlatformOutage(DeploymentCase):
    """Invariant 9, and service, while the platform is down."""

    def publish_customer(self, name, base):
        """Publishes a note that adds a customer; returns the exit code."""
        lines = ["[note]", f"name = {name}", f"base = {base}", "author = demo"]
        lines += [f"[customer {name}]", "change = add", "weight = 2"]
        return self.loopback.publish(name, "\n".join(lines) + "\n").returncode

    def set_platform(self, **faults):
        """Sets faults of the platform stand-in."""
        fetch_json(self.loopback.platform, "/control", faults)

    def versions(self):
        """Returns the version in force on each node."""
        return [self.loopback.status(name)["catalog_version"] for name in self.names]

    def wait_version(self, version):
        """Waits until a version is in force on all nodes."""
        wait_until(
            f"version {version} on all nodes",
            IN_FORCE_SECONDS,
            lambda: self.versions() == [version] * len(self.names),
        )

    def test_outage(self):
        # Guards against nodes that refuse work, lose a note or go back to an older one when the
        # platform is away, and against nodes that do not find back to it.
        seen = {name: [] for name in self.names}

        def step(rng, number):
            if number < len(self.names):
                name = self.names[number]
                seen[name].append(self.loopback.status(name)["catalog_version"])
                return
            book = books.setdefault(number, callers.AddressBook(self.nodes, ZONES[0], rng))
            self.journal.insist(book, rng, "GET" if number % 2 else "POST", LEDGER)

        books = {}
        with callers.Load(WORKERS, step):
            self.assertEqual(self.publish_customer("before", 1), ExitCode.OK)
            self.wait_version(2)
            for faults in ({"is_down": True}, {"is_down": False, "drops_calls": True}):
                self.set_platform(**faults)
                self.assertEqual(self.publish_customer("during", 2), ExitCode.PLATFORM_DOWN)
                down_at = time.time()
                # The length of the outage is the fault itself.
                threading.Event().wait(OUTAGE_SECONDS)
                self.wait_exchanges(50)
                during = self.journal.outcomes(self.journal.since(down_at))
                self.assertEqual(set(during), {(COMPLETE, "")}, during)
                self.assertEqual(self.versions(), [2] * len(self.names))
            self.set_platform(drops_calls=False)
            self.assertEqual(self.publish_customer("during", 2), ExitCode.OK)
            self.wait_version(3)
        for name, versions in seen.items():
            self.assertEqual(versions, sorted(versions), name)
        self.assert_keys_hold()

    def test_replacement_during_outage(self):
        # Guards against a new process that cannot serve, or serves without the notes in force,
        # until the platform is back.
        version = max(self.versions())
        victim = self.names[2]
        self.set_platform(drops_calls=True)
        self.processes.kill(victim)
        self.loopback.start_node(victim)
        self.loopback.wait_serving([victim])
        self.assertEqual(self.versions(), [version] * len(self.names))
        self.set_platform(drops_calls=False)
        self.wait_served(victim)


class ZoneOut(DeploymentCase):
    """Invariant 3: an availability zone leaves and returns under load."""

    # Six callers and twelve slots, of which eight are left without the zone.
    workers = 6

    def zone_note(self, name, base, state):
        """Publishes a note on the zone; returns the wall clock time after its acceptance."""
        text = self.loopback.zone_note(name, base, ZONES[1], state)
        done = self.loopback.publish(name, text)
        self.assertEqual(done.returncode, ExitCode.OK, done.stderr)
        return time.time()

    def newest_start(self):
        """Returns when the last run in the zone started, in wall clock seconds."""
        runs = self.loopback.runs_in(ZONES[1], LEDGER)
        return max((run["started"] for run in runs), default=0.0)

    def test_zone_out_and_back(self):
        # Guards against new work in a closed zone, requests that fail while it leaves, and a zone
        # that gets no work after its return.
        def step(rng, number):
            zone = ZONES[number % len(ZONES)]
            book = books.setdefault(number, callers.AddressBook(self.nodes, zone, rng))
            self.journal.insist(book, rng, rng.choice(("GET", "POST")), LEDGER, Service_Ms="50")

        books = {}
        with callers.Load(self.workers, step):
            self.wait_exchanges(200)
            before = time.time()
            wait_until("work in the zone", READY_SECONDS, lambda: self.newest_start() > before)
            accepted_at = self.zone_note("out", 1, "closed")
            wait_until(
                "the bound to pass",
                READY_SECONDS,
                lambda: time.time() > accepted_at + 2 * ZONE_BOUND_SECONDS,
            )
            self.wait_exchanges(100)
            late = self.newest_start() - accepted_at
            self.assertLessEqual(late, ZONE_BOUND_SECONDS)
            for address in self.nodes:
                entries, _ = callers.entries_of(address, ZONES[1])
                self.assertEqual({each.zone for each in entries}, {ZONES[0], ZONES[2]})
            back_at = self.zone_note("back", 2, "open")
            wait_until(
                "work in the zone again", READY_SECONDS, lambda: self.newest_start() > back_at
            )
        seen = self.journal.outcomes()
        self.assertLessEqual({outcome for outcome, _ in seen}, {COMPLETE, NOT_RUN}, seen)
        self.assert_keys_hold()


class CrashingRequests(DeploymentCase):
    """Invariant 6, and the bound on targets that one request can break."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.loopback.set_targets(LEDGER, crash="restart", restart_ms=200)

    def crashes(self):
        """Returns how many targets have crashed so far, once all of them listen again."""
        found = []

        def is_read():
            found[:] = self.loopback.records(LEDGER)
            for address in self.loopback.targets.values():
                fetch_json(address, "/_control/record")
            return True

        wait_until("targets after their crashes", READY_SECONDS, is_read)
        return sum(record["crashes"] for record in found)

    def crash(self, index, method, path):
        """Sends a crashing request through a node until it is run or refused for its content."""
        for _ in range(callers.ATTEMPTS):
            entry = self.entry(self.names[index % len(self.names)])
            key = self.journal.new_key(entry) if method == "POST" else ""
            options = {"path": path, "Crash_Target": "1"}
            answer = self.journal.call(entry.address, method, LEDGER, key, **options)
            if answer.code != "no-capacity":
                return key, answer
            time.sleep(callers.RETRY_SECONDS[1])
        raise AssertionError(f"{path} was never run.")

    def test_not_idempotent(self):
        # Guards against a second attempt, or an answer "not-run", after a target read the whole
        # request and died.
        for index in range(6):
            before = self.crashes()
            path = f"/ticket/{index}"
            key, answer = self.crash(index, "POST", path)
            self.assertEqual((answer.outcome, answer.code), (UNKNOWN, "target-broke-off"))
            options = {"path": path, "Crash_Target": "1"}
            for address in self.nodes:
                again = self.journal.call(address, "POST", LEDGER, key, **options)
                self.assertEqual((again.outcome, again.code), (UNKNOWN, "target-broke-off"))
            self.assertEqual(self.crashes() - before, 1)
        self.assert_keys_hold()

    def test_idempotent(self):
        # Guards against a request that breaks one target after another because its caller, or a
        # node, sends it again.
        before = self.crashes()
        answers = [self.crash(index, "PUT", "/poison")[1] for index in range(12)]
        self.assertGreaterEqual(self.crashes() - before, 1)
        self.assertLessEqual(self.crashes() - before, 2)
        codes = [answer.code for answer in answers[-len(self.names) :]]
        self.assertEqual(codes, ["crash-suspect"] * len(self.names))
        for name in self.names:
            self.wait_served(name)


class PeerPort(DeploymentCase):
    """Bad input on the port between nodes changes nothing."""

    keys = tuple(key.decode() for key in zmq.curve_keypair())
    extra_settings = f"{SHORT_STOP}[fleet]\npublic_key = {keys[0]}\nsecret_key = {keys[1]}\n"

    def peer_addresses(self):
        """Returns the addresses between nodes."""
        return [("127.0.0.1", port) for _, _, port in self.loopback.seats]

    def send_bytes(self, data):
        """Sends bytes to all nodes and waits until they close the connections."""
        with contextlib.ExitStack() as stack:
            opened = [
                stack.enter_context(socket.create_connection(address, READY_SECONDS))
                for address in self.peer_addresses()
            ]
            for connection in opened:
                with contextlib.suppress(ConnectionError):
                    connection.sendall(data)
            for connection in opened:
                with contextlib.suppress(ConnectionError):
                    while connection.recv(4096):
                        pass

    def stranger(self, identity, keys):
        """Returns sockets to all nodes that use a key pair, or no CURVE without one."""
        context = zmq.Context()
        self.addCleanup(context.destroy)
        dealers = []
        for host, port in self.peer_addresses():
            dealer = context.socket(zmq.DEALER)
            dealer.setsockopt(zmq.IDENTITY, identity)
            dealer.setsockopt(zmq.LINGER, 0)
            if keys:
                dealer.setsockopt(zmq.CURVE_SERVERKEY, self.keys[0].encode())
                dealer.setsockopt(zmq.CURVE_PUBLICKEY, keys[0].encode())
                dealer.setsockopt(zmq.CURVE_SECRETKEY, keys[1].encode())
            dealer.connect(f"tcp://{host}:{port}")
            dealers.append(dealer)
        # A socket that is collected as garbage drops what it has not sent.
        self.addCleanup(dealers.clear)
        return dealers

    def harmful(self, path):
        """Returns messages that would block a request and supersede a node."""
        fingerprint = Request("", LEDGER, "", "GET", path, 0.0).fingerprint
        facts = messages.NodeFacts(
            self.names[1], "f" * 16, 2**60, "serving", ZONES[1], "127.0.0.1:9", 99, 0, 99, 0, 0
        )
        return [messages.Suspect(fingerprint, 5), messages.Ping(1, facts)]

    def facts(self):
        """Returns what must stay the same on all nodes."""
        names = ("seat", "incarnation", "state", "catalog_version")
        statuses = [self.loopback.status(name) for name in self.names]
        return [[status[name] for name in names] for status in statuses]

    def test_bad_input(self):
        # Guards against a stranger who stops a node, puts itself in the place of a seat, or
        # blocks requests; and against a member's faulty message that does so.
        before = self.facts()
        rng = random.Random(7)
        greeting = b"\xff" + bytes(8) + b"\x7f\x03\x00"
        garbage = [
            rng.randbytes(65536),
            greeting + rng.randbytes(4096),
            b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
            greeting + b"CURVE" + bytes(48) + rng.randbytes(4096),
        ]
        foreign_keys = tuple(key.decode() for key in zmq.curve_keypair())
        identity = f"{self.names[1]} {'f' * 16}".encode()

        def step(rng, number):
            book = books.setdefault(number, callers.AddressBook(self.nodes, "", rng))
            self.journal.insist(book, rng, "GET" if number % 2 else "POST", LEDGER)

        books = {}
        with callers.Load(4, step):
            for dealer in self.stranger(identity, None) + self.stranger(identity, foreign_keys):
                for message in self.harmful("/harmful"):
                    dealer.send(messages.encode(message))
            for data in garbage:
                self.send_bytes(data)
            for name in self.names:
                wait_until(
                    f"{name} to refuse the stranger",
                    READY_SECONDS,
                    lambda name=name: "peer-refused" in self.processes.log(name),
                )
            self.check_member(rng)
            self.wait_exchanges(50)
        self.assertEqual(self.facts(), before)
        self.check_service()

    def check_member(self, rng):
        """Sends faulty messages and one valid one as a member, to show that messages arrive."""
        fingerprint = Request("", LEDGER, "", "GET", "/blocked", 0.0).fingerprint
        for dealer in self.stranger(b"entry-02 member", self.keys):
            for size in (0, 1, 100, 10000):
                dealer.send(rng.randbytes(size))
            dealer.send_multipart([b"", b"", rng.randbytes(10)])
            dealer.send(messages.encode(messages.CatalogData(99, rng.randbytes(100))))
            dealer.send(messages.encode(messages.Suspect(fingerprint, 2)))
        for address in self.nodes:
            wait_until(
                "the member's message",
                READY_SECONDS,
                lambda address=address: callers.call(address, "GET", LEDGER, path="/blocked").code
                == "crash-suspect",
            )

    def check_service(self):
        """Checks that no node was superseded and that no request was blocked."""
        for name in self.names:
            entry = self.entry(name)
            answer = callers.call(entry.address, "GET", LEDGER, path="/harmful")
            self.assertEqual((answer.outcome, answer.code), (COMPLETE, ""))
            key = self.journal.new_key(entry)
            for address in (entry.address, *self.nodes):
                answer = self.journal.call(address, "POST", LEDGER, key)
                self.assertEqual((answer.outcome, answer.code), (COMPLETE, ""))
        self.assert_keys_hold()

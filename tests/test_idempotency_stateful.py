"""State machine of several key tables on a lossy network, against a list of runs and answers."""

import dataclasses
import os

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from orioleloft_core.effects import Answer, Send
from orioleloft_core.errors import Code, Outcome
from orioleloft_core.idempotency import AnswerNow, AskOwner, KeyTable, Run, prefix
from orioleloft_core.messages import KeyQuery, NodeFacts
from orioleloft_core.request import Reply, error_reply
from tests.support import requester

EXAMPLES = 300
FUZZ_EXAMPLES = 5000
IS_FUZZ = "ORIOLELOFT_FUZZ" in os.environ
KEYS = {
    "window_ms": 1000,
    "windows": 3,
    "max_records": 3,
    "answer_bytes": 1200,
    "query_timeout_ms": 300,
}
PICK = st.integers(0, 99)
SEAT = st.integers(0, len(requester.SEATS) - 1)
BODY = st.sampled_from([b"1", b"1", b"1", b"2"])
REMAINING = st.sampled_from([2.0, 2.0, 2.0, 0.0])
RARE = st.sampled_from([False, False, False, True])
FATE = st.sampled_from(["deliver", "deliver", "deliver", "deliver", "duplicate", "drop"])
LIVE_KEYS = 2


@dataclasses.dataclass(eq=False)
class Vm:
    """One incarnation of a seat, and what it has heard of the other seats."""

    seat: str
    incarnation: str
    table: KeyTable
    started: float
    heard: dict
    is_paused: bool = False


@dataclasses.dataclass(eq=False)
class Sent:
    """A request on its way to a VM; `request` is made when the VM reads it."""

    vm: Vm
    key: str
    body: bytes
    remaining: float


class KeyMachine(RuleBasedStateMachine):
    """Guards against a second run of a key and a wrong "not run" under any order of events."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.number = 0
        self.replaced = 0
        self.disturbed = 0
        self.vms = []
        for seat in requester.SEATS:
            self.vms.append(self.make(seat))
        self.keys = []
        self.sent = []
        self.network = []
        self.admitted = []
        self.waiting = {}
        self.runs = []
        self.told = []

    def may_disturb(self):
        """Keeps pauses, gossip and waits rarer than requests, so that keys see many events."""
        return self.disturbed <= len(self.told)

    def next(self):
        self.number += 1
        return self.number

    def make(self, seat):
        incarnation = f"{self.next():016x}"
        table = KeyTable(requester.settings(keys=KEYS), seat, incarnation)
        return Vm(seat, incarnation, table, self.now, {})

    def clock(self, vm):
        return self.now - vm.started

    def by_seat(self, seat):
        return next(vm for vm in self.vms if vm.seat == seat)

    def apply(self, vm, effects):
        for effect in effects:
            match effect:
                case Send(seat, message):
                    self.network.append((vm.seat, seat, message))
                case Answer(request_id, reply):
                    self.tell(request_id, reply)

    def tell(self, request_id, reply):
        _, key, body = self.waiting.pop(request_id)
        self.told.append((key, body, reply))

    @initialize(seat=SEAT)
    def start(self, seat):
        for heard in range(len(self.vms)):
            self.gossip(heard, True)
        self.issue_key(seat)

    # New keys and VMs are rare, so that several events meet on one key.
    @precondition(lambda self: len(self.told) >= 4 * len(self.keys))
    @rule(seat=SEAT)
    def issue_key(self, seat):
        vm = self.vms[seat]
        window = vm.table.window(self.clock(vm))
        facts = NodeFacts(vm.seat, vm.incarnation, 1, "serving", "", "", 1, 1, 1, window, 1)
        self.keys.append(prefix(facts) + str(self.next()))

    @precondition(lambda self: self.keys)
    @rule(key=PICK, seat=SEAT, to_owner=st.booleans(), body=BODY, remaining=REMAINING, slow=RARE)
    def send(self, key, seat, to_owner, body, remaining, slow):
        key = self.keys[-1 - key % min(LIVE_KEYS, len(self.keys))]
        vm = self.by_seat(key.partition(".")[0]) if to_owner else self.vms[seat]
        sent = Sent(vm, key, body, remaining)
        self.sent.append(sent)
        if not slow:
            self.read(sent)

    @precondition(lambda self: self.sent)
    @rule(pick=PICK)
    def arrive(self, pick):
        self.read(self.sent[pick % len(self.sent)])

    def read(self, sent):
        if sent.vm.is_paused:
            return
        self.sent.remove(sent)
        vm, now = sent.vm, self.clock(sent.vm)
        name = f"r{self.next()}"
        request = requester.request(name, "POST", now + sent.remaining, sent.key, sent.body)
        self.waiting[name] = (vm, sent.key, sent.body)
        match vm.table.begin(now, request, vm.heard.get):
            case Run():
                self.admitted.append((vm, name))
            case AnswerNow(reply):
                self.tell(name, reply)
            case AskOwner(seat, query):
                self.network.append((vm.seat, seat, query))

    @precondition(lambda self: self.admitted)
    @rule(pick=PICK, end=st.sampled_from(["answered", "answered", "broken", "unsent", "refused"]))
    def finish(self, pick, end):
        vm, name = self.admitted[pick % len(self.admitted)]
        if vm.is_paused:
            return
        self.admitted.remove((vm, name))
        _, key, body = self.waiting[name]
        answer = f"answer {self.next()}".encode()
        if end in ("answered", "broken"):
            self.runs.append((key, body, answer))
        reply = error_reply(Code.TARGET_BROKE_OFF, "")
        if end == "answered":
            reply = Reply(200, Outcome.COMPLETE, body=answer)
        if end == "refused":
            reply = error_reply(Code.QUEUE_FULL, "")
        effects = vm.table.finish(self.clock(vm), name, reply)
        self.tell(name, reply)
        self.apply(vm, effects)

    @precondition(lambda self: self.network)
    @rule(pick=PICK, fate=FATE)
    def deliver(self, pick, fate):
        index = pick % len(self.network)
        source, seat, message = self.network[index]
        vm = self.by_seat(seat)
        if vm.is_paused:
            return
        if fate != "duplicate":
            del self.network[index]
        if fate == "drop":
            return
        if isinstance(message, KeyQuery):
            state = vm.table.on_query(self.clock(vm), message)
            self.network.append((seat, source, state))
        else:
            self.apply(vm, vm.table.on_state(self.clock(vm), message))

    @precondition(lambda self: self.waiting)
    @rule(pick=PICK)
    def caller_leaves(self, pick):
        name = list(self.waiting)[pick % len(self.waiting)]
        vm = self.waiting[name][0]
        if vm.is_paused or any(name == admitted for _, admitted in self.admitted):
            return
        vm.table.cancel(self.clock(vm), name)
        del self.waiting[name]

    @precondition(may_disturb)
    @rule(seat=SEAT)
    def pause_or_resume(self, seat):
        self.disturbed += 1
        is_paused = any(vm.is_paused for vm in self.vms)
        for vm in self.vms:
            vm.is_paused = not is_paused and vm is self.vms[seat]

    @precondition(lambda self: len(self.told) >= 3 * (self.replaced + 1))
    @rule(seat=SEAT)
    def replace(self, seat):
        self.replaced += 1
        old = self.vms[seat]
        self.vms[seat] = self.make(old.seat)
        self.sent = [sent for sent in self.sent if sent.vm is not old]
        self.admitted = [item for item in self.admitted if item[0] is not old]
        self.waiting = {name: item for name, item in self.waiting.items() if item[0] is not old}

    @precondition(may_disturb)
    @rule(seat=SEAT, is_heard=st.sampled_from([True, True, True, False]))
    def gossip(self, seat, is_heard):
        self.disturbed += 1
        for vm in self.vms:
            other = self.vms[seat]
            vm.heard[other.seat] = other.incarnation if is_heard else None

    @precondition(may_disturb)
    @rule(seconds=st.sampled_from([0.05, 0.05, 0.2, 0.2, 0.9, 2.0]))
    def advance(self, seconds):
        self.disturbed += 1
        self.now += seconds
        for vm in self.vms:
            if not vm.is_paused:
                self.apply(vm, vm.table.tick(self.clock(vm)))

    @invariant()
    def runs_once(self):
        keys = [key for key, _, _ in self.runs]
        assert len(keys) == len(set(keys)), "a key ran twice"

    @invariant()
    def not_run_is_true(self):
        for key, body, reply in self.told:
            if reply.outcome is Outcome.NOT_RUN:
                # A reused key may have run with the content that it belongs to.
                is_reused = reply.code is Code.KEY_REUSED
                ran = [run for run in self.runs if run[0] == key]
                ran = [run for run in ran if not is_reused or run[1] == body]
                assert not ran, f"told {reply.code}, but the key ran"

    @invariant()
    def answers_belong_to_keys(self):
        for key, body, reply in self.told:
            if reply.outcome is Outcome.COMPLETE:
                answers = [run[2] for run in self.runs if run[:2] == (key, body)]
                assert answers, "told complete, but the key did not run"
                assert reply.code is Code.ANSWER_DISCARDED or reply.body in answers

    def teardown(self):
        """Each caller that waits on a node's query or a running request gets an answer."""
        for vm in self.vms:
            vm.is_paused = False
        for _ in range(20):
            self.advance(0.2)
        admitted = {name for _, name in self.admitted}
        assert set(self.waiting) <= admitted, "a caller waits for ever"


KeyMachineTest = KeyMachine.TestCase
KeyMachineTest.settings = hypothesis_settings(
    derandomize=not IS_FUZZ,
    max_examples=FUZZ_EXAMPLES if IS_FUZZ else EXAMPLES,
    stateful_step_count=60,
    deadline=None,
    database=None,
)

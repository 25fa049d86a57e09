"""Tests of idempotency keys, one owner and one asking node at a time."""

import dataclasses
import unittest

from nose2.tools import params

from orioleloft_core import idempotency
from orioleloft_core.effects import Answer, Send
from orioleloft_core.errors import Code, Outcome
from orioleloft_core.idempotency import AnswerNow, AskOwner, Join, KeyTable, Run
from orioleloft_core.messages import KeyQuery, NodeFacts
from orioleloft_core.request import Reply, error_reply
from tests.support import requester

OWN, PEER, OTHER = "a" * 16, "b" * 16, "c" * 16
DONE = Reply(200, Outcome.COMPLETE, headers=(("X", "1"),), body=b"sold")
BROKEN = error_reply(Code.TARGET_BROKE_OFF, "")
REFUSED = error_reply(Code.QUEUE_FULL, "")


def key(part="k", window=0, seat="entry-01", incarnation=OWN):
    facts = NodeFacts(seat, incarnation, 1, "serving", "gt-a", "", 1, 1, 1, window, 1)
    return idempotency.prefix(facts) + part


def post(request_id="r1", text="", deadline=5.0, body=b""):
    return requester.request(request_id, "POST", deadline, text or key(), body)


class KeyTableTest(unittest.TestCase):
    def setUp(self):
        self.table = self.make()

    def make(self, seat="entry-01", incarnation=OWN, **values):
        return KeyTable(requester.settings(keys=values), seat, incarnation)

    def begin(self, request, now=0.0, table=None):
        heard = {"entry-02": PEER}
        return (table or self.table).begin(now, request, heard.get)

    def code(self, request, now=0.0, table=None):
        return self.begin(request, now, table).reply.code

    @params(
        ("", Code.KEY_REQUIRED),
        ("entry-01.k", Code.KEY_MALFORMED),
        (key(incarnation="A" * 16), Code.KEY_MALFORMED),
        (key(part="two words"), Code.KEY_MALFORMED),
        (key(part="k" * 129), Code.KEY_MALFORMED),
        (key(incarnation=OTHER), Code.OWNER_GONE),
        (key(seat="entry-02", incarnation=OTHER), Code.OWNER_GONE),
        (key(seat="entry-03", incarnation=OTHER), Code.OWNER_UNREACHABLE),
        (key(window=1), Code.KEY_EXPIRED),
    )
    def test_refuses_keys_of_others(self, text, code):
        """Guards against a run by a node that does not own the key."""
        request = requester.request("r1", "POST", key=text)
        self.assertEqual(self.code(request), code)

    @params((599.9, Run), (600.0, AnswerNow))
    def test_window(self, now, kind):
        """Guards against a key that outlives its record."""
        self.assertIsInstance(self.begin(post(deadline=999.0), now), kind)

    @params((DONE, None), (BROKEN, Code.TARGET_BROKE_OFF), (REFUSED, Code.KEY_SEALED))
    def test_resend_after_end(self, reply, code):
        """Guards against a second run after any end of the first."""
        self.assertEqual(self.begin(post()), Run())
        self.assertEqual(self.table.finish(1.0, "r1", reply), [])
        resend = self.begin(post("r2"), 1.0).reply
        self.assertEqual((resend.code, resend.body), (code, reply.body))
        asked = self.ask(post("r3"))
        self.assertEqual(dataclasses.replace(asked, message=resend.message), resend)

    def ask(self, request):
        """Passes a request through another node's query and returns its reply."""
        asking = self.make("entry-03", OTHER)
        asked = asking.begin(1.0, request, lambda seat: OWN)
        (answer,) = asking.on_state(1.0, self.table.on_query(1.0, asked.query))
        return answer.reply

    def test_resend_joins(self):
        """Guards against a second run while the first is under way, and a lost joined answer."""
        self.begin(post())
        self.assertEqual(self.begin(post("r2")), Join())
        self.assertEqual(self.begin(post("r3")), Join())
        self.table.cancel(0.5, "r3")
        self.assertEqual(self.table.finish(1.0, "r1", DONE), [Answer("r2", DONE)])

    def test_joined_deadline(self):
        """Guards against a joined caller that waits beyond its deadline."""
        self.begin(post(deadline=9.0))
        self.begin(post("r2", deadline=2.0))
        self.assertEqual(self.table.tick(1.9), [])
        (answer,) = self.table.tick(2.0)
        self.assertEqual((answer.request_id, answer.reply.outcome), ("r2", Outcome.UNKNOWN))
        self.assertEqual(self.table.finish(3.0, "r1", DONE), [])

    @params(None, DONE, BROKEN)
    def test_other_body(self, reply):
        """Guards against the answer of another request under a reused key."""
        self.begin(post())
        if reply:
            self.table.finish(1.0, "r1", reply)
        other = post("r2", body=b"other")
        self.assertEqual(self.code(other), Code.KEY_REUSED)
        state = self.table.on_query(1.0, KeyQuery("q", key(), other.fingerprint))
        self.assertEqual(state.code, Code.KEY_REUSED)

    def test_late_request_is_sealed(self):
        """Guards against a buffered request that a paused owner runs after it said "not run"."""
        self.assertEqual(self.code(post(deadline=1.0), 1.0), Code.DEADLINE_BEFORE_START)
        self.assertEqual(self.code(post(deadline=9.0), 1.0), Code.KEY_SEALED)

    def test_query_seals(self):
        """Guards against a run at the owner after another node has said "not run"."""
        state = self.table.on_query(0.0, KeyQuery("q", key(), post().fingerprint))
        self.assertEqual((state.state, state.code), ("not-run", "key-sealed"))
        self.assertEqual(self.code(post()), Code.KEY_SEALED)

    @params((0.0, key(incarnation=OTHER), "owner-gone"), (600.0, key(), "key-expired"))
    def test_query_outside(self, now, text, code):
        """Guards against "not run" for a key whose record is lost."""
        state = self.table.on_query(now, KeyQuery("q", text, "f"))
        self.assertEqual((state.state, state.code), ("unknown", code))

    def test_full_table(self):
        """Guards against a refused key that runs once the table has room."""
        table = self.make(max_records=1)
        self.begin(post(), table=table)
        late = post("r2", key("late"), deadline=999.0)
        self.assertEqual(self.code(late, table=table), Code.KEY_TABLE_FULL)
        query = KeyQuery("q", key("asked"), "f")
        self.assertEqual(table.on_query(0.0, query).state, "not-run")
        table.tick(600.0)
        again = post("r3", key("late", 0), deadline=999.0)
        self.assertEqual(self.begin(post("r4", key("k", 10), 999.0), 600.0, table), Run())
        self.assertEqual(self.code(again, 600.0, table), Code.KEY_EXPIRED)

    def test_full_table_with_expired_record(self):
        """Guards against a key of a closed window that gets the room of an expired one."""
        table = self.make(max_records=1, windows=2)
        self.begin(post(), table=table)
        late = post("r2", key("late", 1), deadline=999.0)
        self.assertEqual(self.code(late, 60.0, table), Code.KEY_TABLE_FULL)
        table.tick(120.0)
        self.assertEqual(self.code(late, 120.0, table), Code.KEY_TABLE_FULL)
        self.assertEqual(self.begin(post("r3", key("k", 2), 999.0), 120.0, table), Run())

    def test_discards_oldest_answer(self):
        """Guards against unbounded memory, and a second run after the answer is gone."""
        table = self.make(answer_bytes=idempotency.ANSWER_OVERHEAD_BYTES + 10)
        for name in ("one", "two"):
            self.begin(post(name, key(name)), table=table)
            table.finish(1.0, name, DONE)
        self.assertEqual(self.code(post("r3", key("one")), table=table), Code.ANSWER_DISCARDED)
        self.assertEqual(self.begin(post("r4", key("two")), table=table).reply, DONE)

    def test_expiry_frees_memory(self):
        """Guards against stored answers that stay counted after their window."""
        self.begin(post())
        self.table.finish(1.0, "r1", DONE)
        self.table.tick(600.0)
        self.assertEqual((self.table._count, self.table._stored_bytes), (0, 0))


class AskingTest(unittest.TestCase):
    def setUp(self):
        self.table = KeyTable(requester.settings(), "entry-03", OTHER)
        self.asked = self.table.begin(0.0, post(deadline=3.0), lambda seat: OWN)

    def state(self, state, code=""):
        query_id = self.asked.query.query_id
        return idempotency.KeyState(query_id, state, code, 200, (), b"sold")

    def codes(self, effects):
        return [effect.reply.code for effect in effects if isinstance(effect, Answer)]

    def test_repeats_query_until_owner_answers(self):
        """Guards against a lost query, and a duplicate answer to the caller."""
        self.assertIsInstance(self.asked, AskOwner)
        self.assertEqual(self.table.tick(0.05), [])
        self.assertEqual(self.table.tick(0.1), [Send("entry-01", self.asked.query)])
        (answer,) = self.table.on_state(0.2, self.state("done"))
        self.assertEqual((answer.request_id, answer.reply.body), ("r1", b"sold"))
        self.assertEqual(self.table.on_state(0.3, self.state("done")), [])

    def test_silent_owner(self):
        """Guards against "not run" when the owner may run the request."""
        self.assertEqual(self.codes(self.table.tick(1.0)), [Code.OWNER_UNREACHABLE])

    def test_running_owner(self):
        """Guards against an answer before the run ends, and a wait beyond the deadline."""
        for now in (0.5, 1.0, 1.5, 2.0, 2.5):
            self.assertEqual(self.table.on_state(now, self.state("running")), [])
            self.assertEqual(self.codes(self.table.tick(now + 0.4)), [])
        self.assertEqual(self.codes(self.table.tick(3.0)), [Code.DEADLINE_AFTER_START])

    def test_state_after_caller_left(self):
        """Guards against an answer to a caller that is gone."""
        self.table.cancel(0.1, "r1")
        self.assertEqual(self.table.on_state(0.2, self.state("done")), [])
        self.assertEqual(self.table.tick(5.0), [])

    def test_state_for_predecessor(self):
        """Guards against another key's answer after the asking node was replaced."""
        successor = KeyTable(requester.settings(), "entry-03", "d" * 16)
        successor.begin(0.0, post(text=key("other")), lambda seat: OWN)
        self.assertEqual(successor.on_state(0.1, self.state("done")), [])

    @params(("not-run", ""), ("unknown", "not-a-code"), ("not-run", "not-a-code"))
    def test_foreign_state(self, state, code):
        """Guards against "not run" from a code that this version does not know."""
        (answer,) = self.table.on_state(0.1, self.state(state, code))
        self.assertEqual(answer.reply.outcome, Outcome.UNKNOWN)

"""Tests of the holder of a group."""

import unittest

from nose2.tools import params

from orioleloft_core.effects import Probe, Send
from orioleloft_core.grantor import Grantor
from orioleloft_core.messages import (
    Ask,
    BypassReport,
    Granted,
    Held,
    Queued,
    Refused,
    Release,
    Suspect,
    Withdraw,
)
from orioleloft_core.suspects import Suspects
from tests.support import group

SEAT = group.SEATS[0]


class GrantorCase(unittest.TestCase):
    def start(self, count=4, routing=None, **catalog):
        settings = group.settings(**(routing or {}))
        self.now = 1.0
        self.count = 0
        self.sent = []
        self.suspects = Suspects(settings)
        self.grantor = Grantor(group.GROUP, settings, self.suspects)
        self.grantor.configure(self.now, group.catalog(count, **catalog))
        self.grantor.reset(self.now)

    def run_effects(self, effects):
        messages = [effect.message for effect in effects if isinstance(effect, Send)]
        self.sent += messages
        return messages

    def ask(self, customer="parish", seat=SEAT, excluded=(), remaining_ms=60000, fingerprint="ff"):
        self.count += 1
        ask = Ask(f"a{self.count}", group.GROUP, customer, remaining_ms, fingerprint, excluded)
        return self.run_effects(self.grantor.ask(self.now, seat, ask))

    def release(self, granted, ending="answered", seat=SEAT, service_ms=5.0, **change):
        report = group.report(granted.target_id, ending, service_ms, **change)
        release = Release(granted.grant_id, report if ending else None)
        return self.run_effects(self.grantor.release(self.now, seat, release))

    def warm_up(self, answers=160, slow=(), hold=0.001):
        for _ in range(answers):
            granted = self.fill(1)[0]
            self.now += hold
            self.release(granted, service_ms=50.0 if granted.target_id in slow else 5.0)

    def fill(self, count, **ask):
        answers = [message for _ in range(count) for message in self.ask(**ask)]
        return [message for message in answers if isinstance(message, Granted)]


class LimitsTest(GrantorCase):
    @params((0, 4), (160, 12))
    def test_grants_in_all(self, answers, grants):
        """Guards against more grants than cold or warm targets may hold."""
        self.start()
        self.warm_up(answers)
        granted = self.fill(30)
        self.assertEqual(len(granted), grants)
        self.assertEqual([message.is_first_use for message in granted], [answers == 0] * grants)

    def test_first_uses_spread(self):
        """Guards against a seat without connections that opens all of them to one target."""
        self.start()
        self.warm_up()
        granted = self.fill(12, seat=group.SEATS[1])
        self.assertEqual(len({message.target_id for message in granted}), 4)
        self.assertEqual(len(granted), 4)

    @params("broken", "not-sent")
    def test_lost_evidence_counts_grants_that_are_out(self, ending):
        """Guards against new grants for a restarted target that still runs old ones."""
        self.start(1)
        seat = group.SEATS[1] if ending == "not-sent" else SEAT
        self.warm_up()
        first, *others = self.fill(2) + self.fill(1, seat=seat)
        lost = others.pop() if ending == "not-sent" else first
        self.release(lost, ending, seat)
        self.now += 1
        self.assertEqual(self.fill(1), [])
        for message in {first, *others} - {lost}:
            self.assertEqual(self.sent[-1], Queued(self.sent[-1].ask_id))
            self.release(message)
        self.assertTrue(self.sent[-1].is_first_use)

    @params("", "not-sent")
    def test_unused_grant_drops_the_pair(self, ending):
        """Guards against a seat without a connection that gets the same useless grant again."""
        self.start(1)
        self.warm_up()
        self.release(self.fill(1)[0], ending)
        self.assertTrue(self.fill(1)[0].is_first_use)

    def test_bypass_report_of_a_break(self):
        """Guards against full load on a target that a bypass found broken."""
        self.start(1)
        self.warm_up()
        broken = BypassReport(group.GROUP, group.report("ledger/t0", "broken"))
        self.grantor.bypass_report(self.now, SEAT, broken)
        self.now += 1
        self.assertEqual([message.is_first_use for message in self.fill(9)], [True])

    def test_reset(self):
        """Guards against grants or evidence of an earlier lease that count in the next one."""
        self.start(1)
        self.warm_up()
        old = self.fill(4)
        waiting = self.sent[-1].ask_id
        refused = self.run_effects(self.grantor.reset(self.now + 1))
        self.assertEqual(refused, [Refused(waiting, "node-isolated")])
        self.assertEqual(len(self.fill(4)), 1)
        self.assertEqual(self.release(old[0]), [])

    @params(("deadline", 4.9, 5.1), ("held", 1.9, 2.1))
    def test_lost_release(self, repair, before, after):
        """Guards against slots that stay taken after a lost release, or are freed too early."""
        self.start(1)
        self.fill(1, remaining_ms=5000)
        self.fill(1)
        start = self.now
        for elapsed, is_free in ((before, False), (after, True)):
            self.now = start + elapsed
            if repair == "held":
                freed = self.run_effects(self.grantor.held(self.now, SEAT, Held(())))
            else:
                freed = self.run_effects(self.grantor.tick(self.now))
            self.assertEqual([type(message) for message in freed], [Granted] * is_free)


class QueueTest(GrantorCase):
    @params(({"closed": ("b",)}, "ledger/t0"), ({"draining": ("ledger/t1",)}, "ledger/t0"))
    def test_closed_targets(self, change, remaining_target):
        """Guards against grants to a closed zone, and asks that could go elsewhere but fail."""
        self.start(2)
        granted = self.fill(2)
        self.fill(1)
        self.fill(1, excluded=(remaining_target,))
        effects = self.grantor.configure(self.now, group.catalog(2, **change))
        self.assertEqual(self.run_effects(effects), [Refused("a4", "no-capacity")])
        sent = [message for grant in granted for message in self.release(grant)]
        self.assertEqual([message.target_id for message in sent], [remaining_target])

    @params(
        ({"excluded": ("ledger/t0",)}, "no-capacity"),
        ({"fingerprint": "bad"}, "crash-suspect"),
        ({"remaining_ms": 0}, "deadline-before-start"),
        ({"remaining_ms": 24}, "no-capacity"),
        ({"remaining_ms": 26}, ""),
    )
    def test_early_refusal(self, ask, code):
        """Guards against requests that wait although they cannot be served in time."""
        self.start(1)
        self.suspects.merge(self.now, Suspect("bad", 2))
        self.fill(5)
        answer = self.ask(**ask)
        self.assertEqual(answer, [Refused("a6", code) if code else Queued("a6")])

    def test_late_suspect(self):
        """Guards against a waiting request that runs after it broke two targets elsewhere."""
        self.start(1)
        first = self.fill(2, fingerprint="bad")[0]
        self.suspects.merge(self.now, Suspect("bad", 2))
        self.assertEqual(self.release(first), [Refused("a2", "crash-suspect")])

    def test_overdue(self):
        """Guards against asks that never get an answer."""
        self.start(1)
        self.fill(2, remaining_ms=1000)
        self.now += 1
        refused = Refused("a2", "deadline-before-start")
        self.assertIn(refused, self.run_effects(self.grantor.tick(self.now)))

    def test_withdraw(self):
        """Guards against a slot that goes to a request that no longer waits."""
        self.start(1)
        first = self.fill(3)[0]
        self.grantor.withdraw(self.now, SEAT, Withdraw("a2"))
        self.assertEqual([message.ask_id for message in self.release(first)], ["a3"])

    @params(("parish", "small", 1, 1), ("big", "small", 2, 1), ("small", "big", 1, 2))
    def test_shares(self, first, second, first_weight, second_weight):
        """Guards against one customer's queue that delays the others beyond their share."""
        self.start(1)
        grants = self.fill(4, customer=first) + self.fill(4, customer=second)
        customers = {f"a{i}": first if i < 5 else second for i in range(1, 9)}
        order = []
        for _ in range(first_weight + second_weight):
            grants += self.release(grants.pop())
            order.append(customers[grants[-1].ask_id])
        self.assertEqual((order.count(first), order.count(second)), (first_weight, second_weight))

    def test_withdrawn_asks_cost_nothing(self):
        """Guards against a customer that waits longer because its earlier asks were given up."""
        self.start(1)
        grant = self.fill(5)[0]
        for ask_id in ("a2", "a3", "a4"):
            self.grantor.withdraw(self.now, SEAT, Withdraw(ask_id))
        self.fill(4, customer="large")
        self.assertEqual([message.ask_id for message in self.release(grant)], ["a5"])

    def test_large_customer_is_refused_first(self):
        """Guards against small customers that are refused because of a large one."""
        self.start(1)
        self.fill(10, customer="large")
        self.assertEqual(self.sent[-1], Refused("a10", "queue-full"))
        sent = self.ask(customer="small")
        self.assertEqual(sent, [Refused("a9", "customer-share"), Queued("a11")])
        self.assertEqual(self.ask(customer="large"), [Refused("a12", "customer-share")])

    def test_new_customers_do_not_starve_a_waiting_one(self):
        """Guards against an endless flow of new names that passes a customer's second ask."""
        self.start(1)
        grants = self.fill(3, customer="parish")
        for number in range(8):
            self.ask(customer=f"new-{number}")
            grants = self.release(grants[0], warmth="cold")
        granted = [message.ask_id for message in self.sent if isinstance(message, Granted)]
        self.assertIn("a3", granted)


class ChoiceTest(GrantorCase):
    @params((4, 1), (8, 2))
    def test_stragglers(self, count, cap):
        """Guards against stragglers that get work, and against too many targets set aside."""
        self.start(count)
        slow = {f"ledger/t{i}" for i in range(count // 2 - 1)} | {"ledger/t0"}
        self.warm_up(80 * count, slow)
        targets = [message.target_id for _ in range(count - cap) for message in self.ask()]
        self.assertEqual(len(slow & set(targets)), len(slow) - cap)

    def test_straggler_serves_a_long_queue(self):
        """Guards against requests that wait longer than the straggler would take."""
        self.start(4)
        self.warm_up(slow={"ledger/t0"}, hold=0.02)
        self.assertNotIn("ledger/t0", {message.target_id for message in self.fill(10)})
        self.assertIn("ledger/t0", {message.target_id for message in self.fill(40)})

    def test_due_probes(self):
        """Guards against probes of targets that take no work or that answer requests."""
        self.start(2, closed=("b",))
        self.assertEqual(self.grantor.due_probes(self.now), [Probe("ledger/t0")])
        self.grantor.configure(self.now, group.catalog(2))
        self.release(self.fill(1, excluded=("ledger/t1",))[0])
        self.now += 1
        self.assertEqual(self.grantor.due_probes(self.now), [Probe("ledger/t1")])


if __name__ == "__main__":
    unittest.main()

"""Tests of the blocking of requests that crash targets."""

import math
import random
import unittest

from nose2.tools import params

from orioleloft_core.crashes import (
    BLOCK_S,
    CRASH_LIMITS,
    MAX_DOUBLINGS,
    MAX_PROCESSES,
    MAX_RECORDS,
    RECENT_ANSWER_S,
    RECORD_TTL_S,
    TRIAL_PERIOD_S,
    CrashRecord,
    CrashScope,
    CrashTracker,
    RequestFingerprints,
    process_id,
)

CALLER_LIMIT = CRASH_LIMITS[CrashScope.CALLER]
CONTENT_LIMIT = CRASH_LIMITS[CrashScope.CONTENT]
REQUEST = RequestFingerprints("caller", "content")
OTHER_CALLER = RequestFingerprints("other caller", "content")


def report(nodes, sender, records, now=0.0):
    """Delivers records of one node to the others, with all replies."""
    for record in records:
        for node in nodes:
            reply = node.merge(now, record) if node is not sender else None
            if reply is not None:
                report(nodes if reply.is_for_all else [sender], node, [reply.record], now)


class CrashesTest(unittest.TestCase):
    @params(
        (1, CALLER_LIMIT),
        (15, CONTENT_LIMIT),
    )
    def test_limit_over_the_fleet(self, callers, limit):
        """Guards against a request that crashes one target through each node (BUDGET)."""
        nodes = [CrashTracker() for _ in range(15)]
        runs = 0
        for index, node in enumerate(nodes * 2):
            request = RequestFingerprints(f"caller {index % callers}", "content")
            if not node.start_run(0.0, request):
                continue
            runs += 1
            report(nodes, node, node.on_crash(0.0, request, f"process {runs}"))
        self.assertEqual(runs, limit)

    @params(
        # Each step is a crash of a process by its letter, or an answer at a time.
        ("a", False),
        ("aa", False),
        ("ab", True),
        ("ab+", False),
        ("a+b", False),
        ("+ab", False),
        ("+ab+cd", False),
        ("a+bc", False),
        ("a+ bc", True),
        ("+ abc", True),
        ("ab+ ab", False),
    )
    def test_evidence(self, steps, is_blocked):
        """Guards against a sound request that is blocked, and a harmful one that is not (CONFIG).

        `+` is an answer, and after a space it is no longer recent.
        """
        tracker, now = CrashTracker(), 0.0
        for step in steps:
            if step == " ":
                now += RECENT_ANSWER_S + 0.1
            elif step == "+":
                tracker.on_answer(now, REQUEST)
            else:
                tracker.on_crash(now, REQUEST, step)
        self.assertEqual(tracker.is_blocked(now, REQUEST), is_blocked)

    @params((REQUEST, REQUEST), (REQUEST, OTHER_CALLER))
    def test_one_death_seen_by_many(self, first, second):
        """Guards against copies at one dying target that count as several crashes (CONFIG)."""
        nodes = [CrashTracker() for _ in range(5)]
        for index, node in enumerate(nodes):
            request = (first, second)[index % 2]
            report(nodes, node, node.on_crash(0.0, request, "process"))
        for node in nodes:
            self.assertFalse(node.is_blocked(0.0, first) or node.is_blocked(0.0, second))

    def test_callers_do_not_share_their_limit(self):
        """Guards against one caller's harmful request that blocks another's at once."""
        tracker = CrashTracker()
        for process in "ab":
            tracker.on_crash(0.0, REQUEST, process)
        self.assertTrue(tracker.is_blocked(0.0, REQUEST))
        self.assertFalse(tracker.is_blocked(0.0, OTHER_CALLER))

    @params(*range(20))
    def test_order_of_reports(self, seed):
        """Guards against nodes that disagree after reports out of order, or twice."""
        rng = random.Random(seed)
        nodes = [CrashTracker() for _ in range(4)]
        records = []
        for _ in range(12):
            node = rng.choice(nodes)
            if rng.random() < 0.2:
                records += node.on_answer(0.0, REQUEST)
            else:
                records += node.on_crash(0.0, REQUEST, rng.choice("abcde"))
        for node in nodes:
            for record in rng.sample(records * 2, 2 * len(records)):
                node.merge(0.0, record)
        # Nodes that have seen an answer tell the others what a crash reported late is worth.
        for sender in nodes * 2:
            report(nodes, sender, sender.records(0.0, 10))
        self.assertEqual(len({node.is_blocked(0.0, REQUEST) for node in nodes}), 1)

    def test_report_later_than_the_answer(self):
        """Guards against a block that a report brings back after the request was answered."""
        first, second = CrashTracker(), CrashTracker()
        records = [*first.on_crash(0.0, REQUEST, "a"), *first.on_crash(0.0, REQUEST, "b")]
        cleared = first.on_answer(0.0, REQUEST)
        for record in [*cleared, *records]:
            second.merge(60.0, record)
        self.assertFalse(second.is_blocked(60.0, REQUEST))
        reply = first.merge(60.0, records[0])
        self.assertEqual(reply.record.cleared, ("a", "b"))
        self.assertFalse(reply.is_for_all)

    def test_recent_answer_at_another_node(self):
        """Guards against a block by nodes that have not seen the answers of another one."""
        first, second = CrashTracker(), CrashTracker()
        second.on_answer(0.0, REQUEST)
        for process in "ab":
            for record in first.on_crash(1.0, REQUEST, process):
                reply = second.merge(1.0, record)
                self.assertTrue(reply.is_for_all)
                first.merge(1.0, reply.record)
        self.assertFalse(first.is_blocked(1.0, REQUEST))

    def test_end_of_a_block(self):
        """Guards against a block without an end, and against one that lets several requests pass.

        One request in each trial period is let through; its crash doubles the block.
        """
        tracker, now = CrashTracker(), 0.0
        for process in range(CALLER_LIMIT):
            tracker.on_crash(now, REQUEST, f"p{process}")
        for doublings in range(MAX_DOUBLINGS + 2):
            block = BLOCK_S * 2 ** min(doublings, MAX_DOUBLINGS)
            self.assertFalse(tracker.start_run(now + block - 1, REQUEST))
            now += block
            self.assertTrue(tracker.start_run(now, REQUEST))
            self.assertFalse(tracker.start_run(now + TRIAL_PERIOD_S - 1, REQUEST))
            tracker.on_crash(now, REQUEST, f"trial {doublings}")
        now += BLOCK_S * 2**MAX_DOUBLINGS
        self.assertTrue(tracker.start_run(now, REQUEST))
        tracker.on_answer(now, REQUEST)
        self.assertTrue(tracker.start_run(now, REQUEST) and tracker.start_run(now, REQUEST))

    def test_trial_without_an_outcome(self):
        """Guards against a block that stays for good as its trial never reached a target."""
        tracker = CrashTracker()
        for process in "ab":
            tracker.on_crash(0.0, REQUEST, process)
        for trial in range(3):
            now = BLOCK_S + trial * TRIAL_PERIOD_S
            self.assertTrue(tracker.start_run(now, REQUEST))
            self.assertFalse(tracker.start_run(now, REQUEST))

    def test_record_expires(self):
        """Guards against evidence that is kept after the fault in the target was fixed."""
        tracker = CrashTracker()
        tracker.on_crash(0.0, REQUEST, "a")
        tracker.on_crash(RECORD_TTL_S + 1, REQUEST, "b")
        self.assertFalse(tracker.is_blocked(RECORD_TTL_S + 1, REQUEST))
        self.assertGreater(RECORD_TTL_S, BLOCK_S * 2**MAX_DOUBLINGS)

    def test_repeated_reports_do_not_prolong_a_block(self):
        """Guards against a block that two nodes keep up by telling each other of it."""
        nodes = [CrashTracker(), CrashTracker()]
        for process in "ab":
            report(nodes, nodes[0], nodes[0].on_crash(0.0, REQUEST, process))
        now = 0.0
        while now < BLOCK_S:
            for sender, receiver in (nodes, nodes[::-1]):
                for record in sender.records(now, 10):
                    now += 0.5
                    receiver.merge(now, record)
        for node in nodes:
            self.assertTrue(node.start_run(now, REQUEST))

    @params(math.nan, math.inf, -1.0, RECORD_TTL_S + 1)
    def test_malformed_age(self, age):
        """Guards against a block whose end another node puts off for ever."""
        tracker = CrashTracker()
        record = CrashRecord("caller", CrashScope.CALLER, ("a", "b"), (), age)
        self.assertIsNone(tracker.merge(0.0, record))
        self.assertFalse(tracker.is_blocked(0.0, REQUEST))

    def test_bounds(self):
        """Guards against memory that grows with each request or crash."""
        tracker = CrashTracker()
        for index in range(MAX_RECORDS + 10):
            request = RequestFingerprints(f"caller {index}", "content")
            tracker.on_crash(0.0, request, f"p{index}")
            tracker.on_answer(index / 1000, request)
        self.assertEqual(len(tracker._entries), MAX_RECORDS)
        self.assertLess(len(tracker._answered), 1000 * RECENT_ANSWER_S + 3)
        self.assertEqual(len(tracker._entries["content"].crashed), MAX_PROCESSES)

    def test_processes_of_one_target(self):
        """Guards against a restarted target that counts as the same process, or as another one."""
        self.assertEqual(process_id("t", 1), process_id("t", 1))
        self.assertNotEqual(process_id("t", 1), process_id("t", 2))
        self.assertNotEqual(process_id("t1", 1), process_id("t", 11))

"""Tests of the requester's side of admission."""

import unittest

from nose2.tools import params

from orioleloft_core.admission import MAX_UNSENT, Admission
from orioleloft_core.catalog import Catalog, Service, Target, Zone
from orioleloft_core.effects import Answer, CancelDispatch, Dispatch, Send
from orioleloft_core.errors import Code, Outcome
from orioleloft_core.messages import (
    Ask,
    BypassReport,
    Granted,
    Held,
    Queued,
    Refused,
    Release,
    Withdraw,
)
from orioleloft_core.request import DispatchResult, Ending, LoadReport, Warmth
from orioleloft_core.settings import RoutingMode
from tests.support import requester

HOLDER = "entry-02"
WARM = DispatchResult(Ending.ANSWERED, 200, (), b"ok", LoadReport("i1", 1, Warmth.WARM), 4.0)
SHED = DispatchResult(Ending.SHED)
NOT_SENT = DispatchResult(Ending.NOT_SENT)
BROKEN = DispatchResult(Ending.BROKEN)
TIMED_OUT = DispatchResult(Ending.TIMED_OUT)
CANCELLED = DispatchResult(Ending.CANCELLED)


class FakeView:
    def __init__(self):
        self.catalog = requester.catalog()
        self.holders = {}
        self.suspected = set()

    def holder_seat(self, group):
        return self.holders.get(group, HOLDER)

    def is_suspected(self, now, seat):
        return seat in self.suspected


class FakeBudget:
    left = 5

    def earn(self):
        pass

    def take(self):
        self.left -= 1
        return self.left >= 0


class FakeSuspects:
    def __init__(self):
        self.counts = {}

    def is_blocked(self, now, fingerprint):
        return self.counts.get(fingerprint, 0) >= 2

    def record(self, now, fingerprint):
        self.counts[fingerprint] = self.counts.get(fingerprint, 0) + 1
        return []


class AdmissionCase(unittest.TestCase):
    def setUp(self):
        self.make()

    def make(self, **parts):
        self.view, self.budget, self.suspects = FakeView(), FakeBudget(), FakeSuspects()
        self.admission = Admission(
            requester.settings(**parts),
            "entry-01",
            "a" * 16,
            self.view,
            self.budget,
            self.suspects,
        )
        self.grants = 0

    def submit(self, now=0.0, **values):
        return self.admission.submit(now, requester.request(**values))

    def grant(self, effects, now=0.0, target="t-00", first=False):
        """Grants the ask among the effects; returns the effects of the grant."""
        self.grants += 1
        (ask,) = messages(effects, Ask)
        granted = Granted(ask.ask_id, f"g{self.grants}", f"ledger/{target}", first)
        return self.admission.on_granted(now, HOLDER, granted)

    def finish(self, effects, result, now=0.0):
        """Ends the dispatch among the effects."""
        (dispatch,) = kinds(effects, Dispatch)
        if result.ending is not Ending.NOT_SENT:
            self.admission.may_start(now, dispatch.dispatch_id)
        return self.admission.on_finished(now, dispatch.dispatch_id, result)

    def run_once(self, name, now=0.0, target="t-00"):
        """Runs a request to its answer, as evidence of a warm target."""
        granted = self.grant(self.submit(now, request_id=name, deadline=now + 5), now, target)
        return self.finish(granted, WARM, now)

    def warm(self, now=0.0, target="t-00"):
        for number in range(4):
            self.run_once(f"warm-{target}-{number}", now, target)

    def assert_answer(self, effects, code):
        (answer,) = kinds(effects, Answer)
        self.assertEqual(answer.reply.code, code)


def kinds(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def messages(effects, kind):
    sent = kinds(effects, Send)
    return [effect.message for effect in sent if isinstance(effect.message, kind)]


class AskTest(AdmissionCase):
    def test_grant_to_answer(self):
        """Guards against a lost answer, a lost release and a request that stays in flight."""
        effects = self.submit()
        (ask,) = messages(effects, Ask)
        self.assertEqual((ask.group, ask.remaining_ms, ask.excluded), ("ledger#0", 5000, ()))
        granted = self.grant(effects)
        self.assertTrue(granted[0].needs_live_connection)
        self.assertEqual(self.admission.in_flight, 1)
        effects = self.finish(granted, WARM, 0.1)
        (release,) = messages(effects, Release)
        self.assertEqual((release.grant_id, release.report.warmth), ("g1", "warm"))
        (answer,) = kinds(effects, Answer)
        self.assertEqual((answer.reply.outcome, answer.reply.body), (Outcome.COMPLETE, b"ok"))
        self.assertEqual(self.admission.in_flight, 0)
        self.assertEqual(self.admission.on_finished(0.2, granted[0].dispatch_id, WARM), [])

    def test_first_use_may_connect(self):
        """Guards against a target that never gets its first connection."""
        self.assertFalse(self.grant(self.submit(), first=True)[0].needs_live_connection)

    @params(
        ("queue-full", Code.QUEUE_FULL),
        ("deadline-after-start", Code.NO_CAPACITY),
        ("a-later-version", Code.NO_CAPACITY),
        ("node-isolated", Code.NO_CAPACITY),
    )
    def test_refused(self, text, code):
        """Guards against a refusal that states anything but "not run"."""
        (ask,) = messages(self.submit(), Ask)
        effects = self.admission.on_refused(0.0, HOLDER, Refused(ask.ask_id, text))
        self.assert_answer(effects, code)
        self.assertEqual(kinds(effects, Answer)[0].reply.outcome, Outcome.NOT_RUN)

    def test_unknown_service(self):
        """Guards against a request for a service that no note names."""
        self.assert_answer(self.submit(service="other"), Code.UNKNOWN_SERVICE)

    def test_queued_until_deadline(self):
        """Guards against bypass while the holder answers, and a wait beyond the deadline."""
        self.warm()
        (ask,) = messages(self.submit(), Ask)
        self.assertEqual(self.admission.on_queued(0.0, HOLDER, Queued(ask.ask_id)), [])
        self.assertEqual(kinds(self.admission.tick(4.9), Dispatch), [])
        effects = self.admission.tick(5.0)
        self.assertEqual(messages(effects, Withdraw), [Withdraw(ask.ask_id)])
        self.assert_answer(effects, Code.DEADLINE_BEFORE_START)

    def test_queued_at_lost_holder(self):
        """Guards against a wait at a holder that is gone."""
        (ask,) = messages(self.submit(), Ask)
        self.admission.on_queued(0.0, HOLDER, Queued(ask.ask_id))
        self.assertEqual(self.admission.tick(0.1), [])
        self.view.holders["ledger#0"] = "entry-03"
        withdrawn, asked = self.admission.tick(0.5)
        self.assertEqual(withdrawn, Send(HOLDER, Withdraw(ask.ask_id)))
        self.assertEqual((asked.seat, type(asked.message)), ("entry-03", Ask))

    def test_late_and_repeated_grants(self):
        """Guards against a slot lost to a late grant, and a release of a grant in use."""
        effects = self.submit()
        granted = Granted(messages(effects, Ask)[0].ask_id, "g1", "ledger/t-00", True)
        (dispatch,) = self.admission.on_granted(0.0, HOLDER, granted)
        self.assertEqual(self.admission.on_granted(0.0, HOLDER, granted), [])
        self.finish([dispatch], WARM)
        late = Granted("gone", "g2", "ledger/t-01", True)
        self.assertEqual(
            self.admission.on_granted(0.0, HOLDER, late), [Send(HOLDER, Release("g2", None))]
        )

    def test_held_reports(self):
        """Guards against slots that stay taken after a lost release."""
        granted = self.grant(self.submit())
        self.assertEqual(messages(self.admission.tick(1.0), Held), [Held(("g1",))])
        self.assertEqual(messages(self.admission.tick(1.5), Held), [])
        self.finish(granted, WARM, 1.5)
        self.assertEqual(messages(self.admission.tick(2.0), Held), [Held(())])
        self.assertEqual(messages(self.admission.tick(40.0), Held), [])

    def test_two_choices_of_groups(self):
        """Guards against asks of one group only, and of a group whose holder is gone."""
        targets = tuple(Target("ledger", f"t-{n:03}", "h", 1, "gt-a") for n in range(90))
        self.view.catalog = Catalog(1, (Zone("gt-a"),), (Service("ledger", 2),), targets)
        groups = [messages(self.submit(request_id=f"r{n}"), Ask)[0].group for n in range(30)]
        counts = [groups.count(group) for group in self.view.catalog.groups]
        self.assertEqual(len(counts), 3)
        self.assertLessEqual(max(counts) - min(counts), 4)
        self.view.holders["ledger#1"] = None
        asked = {messages(self.submit(request_id=f"s{n}"), Ask)[0].group for n in range(30)}
        self.assertNotIn("ledger#1", asked)


class BypassFallbackTest(AdmissionCase):
    @params("unknown", "suspected", "isolated", "silent")
    def test_falls_back(self, fault):
        """Guards against requests that wait for a holder that cannot grant."""
        self.warm()
        if fault == "unknown":
            self.view.holders["ledger#0"] = None
        if fault == "suspected":
            self.view.suspected.add(HOLDER)
        effects = self.submit(0.0)
        if fault == "isolated":
            refused = Refused(messages(effects, Ask)[0].ask_id, "node-isolated")
            effects = self.admission.on_refused(0.0, HOLDER, refused)
        if fault == "silent":
            self.assertEqual(kinds(self.admission.tick(0.02), Dispatch), [])
            effects = self.admission.tick(0.03)
            self.assertEqual(len(messages(effects, Withdraw)), 1)
        (dispatch,) = kinds(effects, Dispatch)
        self.assertEqual(
            (dispatch.target_id, dispatch.needs_live_connection), ("ledger/t-00", True)
        )
        effects = self.finish([dispatch], WARM, 0.03)
        is_heard = fault in ("isolated", "silent")
        self.assertEqual(len(messages(effects, BypassReport)), int(is_heard))
        self.assert_answer(effects, None)

    def test_waits_for_a_busy_target(self):
        """Guards against refusals while the one bypass target is busy for a moment."""
        self.warm()
        self.view.holders["ledger#0"] = None
        first = self.submit(0.0)
        self.assertEqual(self.submit(0.0, request_id="r2"), [])
        effects = self.finish(first, WARM, 0.01)
        self.assertEqual([each.request.id for each in kinds(effects, Dispatch)], ["r2"])

    @params((0.2, []), (0.3, [Code.NO_CAPACITY]))
    def test_wait_for_a_busy_target_ends(self, now, codes):
        """Guards against requests that fill a node which cannot serve them."""
        self.warm()
        self.view.holders["ledger#0"] = None
        self.submit(0.0)
        self.submit(0.0, request_id="r2")
        ticks = [self.admission.tick(step / 20) for step in range(1, int(now * 20) + 1)]
        answers = [each.reply.code for effects in ticks for each in kinds(effects, Answer)]
        self.assertEqual(answers, codes)

    def test_queued_at_silent_holder(self):
        """Guards against a queued request that waits for a dead holder until it is suspected."""
        self.warm()
        (ask,) = messages(self.submit(0.0), Ask)
        self.admission.on_queued(0.0, HOLDER, Queued(ask.ask_id))
        self.submit(0.01, request_id="r2")
        started = kinds(self.admission.tick(0.04), Dispatch)
        self.finish(started, WARM, 0.045)
        effects = self.admission.tick(0.1)
        self.assertEqual(messages(effects, Withdraw), [Withdraw(ask.ask_id)])
        self.assertEqual(len(kinds(effects, Dispatch)), 1)

    def test_remembers_silence(self):
        """Guards against the timeout for each request, and a holder that is never asked again."""
        self.warm()
        self.submit(0.01)
        first = self.admission.tick(0.04)
        self.finish(first, WARM, 0.04)
        second = self.submit(0.05, request_id="r2")
        self.assertEqual(len(kinds(second, Dispatch)), 1)
        self.finish(second, WARM, 0.06)
        probe = self.submit(1.1, request_id="r3")
        self.assertEqual(len(messages(probe, Ask)), 1)
        self.grant(probe, 1.11)
        self.assertEqual(len(messages(self.submit(1.2, request_id="r4"), Ask)), 1)

    def test_silence_without_bypass(self):
        """Guards against a failure by a holder's short pause, and a long wait for a lost one."""
        short, long = self.submit(0.0), self.submit(0.0, request_id="r2")
        self.assertEqual(self.admission.tick(0.1), [])
        self.assertEqual(len(kinds(self.grant(short, 0.2), Dispatch)), 1)
        self.assertEqual(self.admission.tick(0.24), [])
        effects = self.admission.tick(0.28)
        self.assert_answer(effects, Code.NO_CAPACITY)
        (release,) = self.grant(long, 0.3)
        self.assertIsNone(release.message.report)


class StartTest(AdmissionCase):
    @params(
        ({}, 4.9, True),
        ({}, 5.0, False),
        ({"closed": ("gt-a",)}, 1.0, False),
        ({"draining": ("t-00",)}, 1.0, False),
        ({"targets": 0}, 1.0, False),
    )
    def test_may_start(self, changes, now, expected):
        """Guards against a first byte after the deadline, a zone's removal or a drain."""
        (dispatch,) = self.grant(self.submit())
        self.view.catalog = requester.catalog(**changes)
        self.assertEqual(self.admission.may_start(now, dispatch.dispatch_id), expected)
        self.assertFalse(self.admission.may_start(now, "other"))

    @params((1.0, None), (5.0, Code.DEADLINE_BEFORE_START))
    def test_denied_start(self, now, code):
        """Guards against a denied dispatch that counts as an attempt or reports a target."""
        (dispatch,) = self.grant(self.submit(method="POST", key="k"))
        self.view.catalog = requester.catalog(closed=("gt-a",))
        self.admission.may_start(now, dispatch.dispatch_id)
        effects = self.admission.on_finished(now, dispatch.dispatch_id, NOT_SENT)
        self.assertEqual(messages(effects, Release), [Release("g1", None)])
        if code:
            self.assert_answer(effects, code)
        else:
            self.assertEqual(messages(effects, Ask)[0].excluded, ("ledger/t-00",))

    def test_grant_into_closed_zone(self):
        """Guards against a grant by a holder that has an older catalog."""
        self.view.catalog = requester.catalog(closed=("gt-a",))
        effects = self.grant(self.submit())
        self.assertEqual(messages(effects, Release), [Release("g1", None)])
        self.assertEqual(messages(effects, Ask)[0].excluded, ("ledger/t-00",))

    @params((CANCELLED, Code.DEADLINE_AFTER_START), (NOT_SENT, Code.DEADLINE_BEFORE_START))
    def test_deadline_during_dispatch(self, result, code):
        """Guards against an answer that contradicts how the dispatch ended."""
        granted = self.grant(self.submit())
        effects = self.admission.tick(5.0)
        dispatch_id = granted[0].dispatch_id
        self.assertEqual(kinds(effects, CancelDispatch), [CancelDispatch(dispatch_id)])
        self.assertEqual(kinds(effects, Answer), [])
        self.assertFalse(self.admission.may_start(4.0, dispatch_id))
        self.assert_answer(self.admission.on_finished(5.0, dispatch_id, result), code)


class CancelTest(AdmissionCase):
    @params((("GET", ""), 1), (("GET", "k"), 1), (("POST", "k"), 0))
    def test_cancel(self, kind, cancelled):
        """Guards against work for a caller that left, and a keyed request that is cut off."""
        granted = self.grant(self.submit(method=kind[0], key=kind[1]))
        effects = self.admission.cancel(1.0, "r1")
        self.assertEqual(len(kinds(effects, CancelDispatch)), cancelled)
        self.assertEqual(self.admission.in_flight, 1)
        effects = self.finish(granted, WARM, 1.0)
        self.assertEqual(len(kinds(effects, Answer)), 1 - cancelled)
        self.assertEqual(len(messages(effects, Release)), 1)
        self.assertEqual(self.admission.in_flight, 0)

    def test_cancel_queued(self):
        """Guards against a place in the queue that nobody waits for."""
        self.submit()
        self.assertEqual(len(messages(self.admission.cancel(1.0, "r1"), Withdraw)), 1)
        self.assertEqual((self.admission.in_flight, self.admission.tick(9.0)), (0, []))


class RetryTest(AdmissionCase):
    @params(
        ("GET", SHED, None),
        ("POST", SHED, None),
        ("GET", BROKEN, None),
        ("GET", TIMED_OUT, None),
        ("POST", BROKEN, Code.TARGET_BROKE_OFF),
        ("PATCH", TIMED_OUT, Code.DEADLINE_AFTER_START),
        ("POST", CANCELLED, Code.DEADLINE_AFTER_START),
    )
    def test_retry(self, method, result, code):
        """Guards against a second run of a request that may have run."""
        granted = self.grant(self.submit(method=method, key="k"), first=True)
        effects = self.finish(granted, result)
        if code:
            self.assert_answer(effects, code)
            self.assertEqual(messages(effects, Ask), [])
        else:
            self.assertEqual(messages(effects, Ask)[0].excluded, ("ledger/t-00",))

    @params((SHED, Code.TARGET_SHED), (NOT_SENT, Code.TARGET_UNREACHABLE))
    def test_attempts(self, result, code):
        """Guards against more than two attempts."""
        effects = self.submit(method="POST", key="k")
        effects = self.finish(self.grant(effects, first=True), result)
        effects = self.finish(self.grant(effects, target="t-01", first=True), result)
        self.assert_answer(effects, code)

    def test_budget(self):
        """Guards against retries beyond their share."""
        self.budget.left = 0
        self.assert_answer(self.finish(self.grant(self.submit()), SHED), Code.TARGET_SHED)

    def test_unknown_outcome_stays(self):
        """Guards against "not run" when an earlier attempt may have run."""
        effects = self.finish(self.grant(self.submit()), BROKEN)
        refused = Refused(messages(effects, Ask)[0].ask_id, "queue-full")
        self.assert_answer(self.admission.on_refused(0.0, HOLDER, refused), Code.TARGET_BROKE_OFF)

    def test_no_live_connection(self):
        """Guards against a lost attempt for a restarted target, and an endless loop."""
        self.budget.left = 0
        effects = self.submit(method="POST", key="k")
        for _ in range(MAX_UNSENT):
            effects = self.finish(self.grant(effects), NOT_SENT)
            self.assertEqual(messages(effects, Release)[0].report.ending, "not-sent")
            self.assertEqual(messages(effects, Ask)[0].excluded, ())
        self.assert_answer(self.finish(self.grant(effects), NOT_SENT), Code.TARGET_UNREACHABLE)

    def test_unsent_leaves_attempts(self):
        """Guards against a dispatch without a live connection that counts as an attempt."""
        effects = self.finish(self.grant(self.submit()), NOT_SENT)
        effects = self.finish(self.grant(effects, first=True), SHED)
        self.assertEqual(messages(effects, Ask)[0].excluded, ("ledger/t-00",))

    def test_crash_suspect(self):
        """Guards against a request that breaks one target after the other."""
        effects = self.finish(self.grant(self.submit()), BROKEN)
        effects = self.finish(self.grant(effects, target="t-01"), BROKEN)
        self.assert_answer(effects, Code.TARGET_BROKE_OFF)
        self.assert_answer(self.submit(request_id="r2"), Code.CRASH_SUSPECT)


class HedgeTest(AdmissionCase):
    def hedge(self, method="GET"):
        for number in range(51):
            self.run_once(f"w{number}")
        self.first = self.grant(self.submit(method=method, key="k"))
        self.assertEqual(messages(self.admission.tick(0.015), Ask), [])
        return self.admission.tick(0.017)

    def test_first_answer_wins(self):
        """Guards against two answers, and a slower dispatch that runs on."""
        asked = self.hedge()
        self.assertEqual(messages(asked, Ask)[0].excluded, ("ledger/t-00",))
        second = self.grant(asked, 0.018, "t-01")
        effects = self.finish(second, WARM, 0.02)
        self.assert_answer(effects, None)
        cancelled = CancelDispatch(self.first[0].dispatch_id)
        self.assertEqual(kinds(effects, CancelDispatch), [cancelled])
        effects = self.finish(self.first, CANCELLED, 0.02)
        self.assertEqual((kinds(effects, Answer), self.admission.in_flight), ([], 0))

    def test_queued_hedge_is_withdrawn(self):
        """Guards against hedges that fill the queues."""
        (ask,) = messages(self.hedge(), Ask)
        effects = self.admission.on_queued(0.02, HOLDER, Queued(ask.ask_id))
        self.assertEqual(effects, [Send(HOLDER, Withdraw(ask.ask_id))])
        self.assert_answer(self.finish(self.first, WARM, 0.03), None)

    def test_first_breaks_while_hedge_is_open(self):
        """Guards against an answer before the hedge, and a caller without an answer."""
        (ask,) = messages(self.hedge(), Ask)
        self.assertEqual(kinds(self.finish(self.first, BROKEN, 0.02), Answer), [])
        refused = Refused(ask.ask_id, "queue-full")
        self.assert_answer(self.admission.on_refused(0.03, HOLDER, refused), Code.TARGET_BROKE_OFF)

    def test_not_idempotent(self):
        """Guards against a second run by a hedge."""
        self.assertEqual(messages(self.hedge("POST"), Ask), [])

    def test_share(self):
        """Guards against hedges beyond their share."""
        self.run_once("w")
        self.grant(self.submit())
        self.assertEqual(messages(self.admission.tick(1.0), Ask), [])


class ViewsTest(AdmissionCase):
    def test_no_messages(self):
        """Guards against a baseline with messages, other deadlines or other retries."""
        self.make(routing={"mode": RoutingMode.VIEWS})
        (dispatch,) = self.submit()
        self.assertFalse(dispatch.needs_live_connection)
        (retry,) = self.finish([dispatch], BROKEN)
        self.assertNotEqual(retry.target_id, dispatch.target_id)
        (answer,) = self.finish([retry], WARM)
        self.assertEqual(answer.reply.body, b"ok")
        (late,) = self.submit(request_id="r2", method="POST", key="k")
        self.assertEqual(self.admission.tick(5.0), [CancelDispatch(late.dispatch_id)])
        self.assert_answer(self.finish([late], CANCELLED, 5.0), Code.DEADLINE_AFTER_START)
        self.view.catalog = requester.catalog(closed=("gt-a", "gt-b"))
        self.assert_answer(self.submit(request_id="r3"), Code.NO_CAPACITY)

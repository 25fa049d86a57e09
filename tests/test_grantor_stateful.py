"""State machine over the holder of a group, with an oracle that keeps its own books.

ORIOLELOFT_FUZZ draws fresh seeds and runs more examples.
"""

import dataclasses
import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from orioleloft_core.effects import Send
from orioleloft_core.grantor import Grantor
from orioleloft_core.messages import Ask, BypassReport, Granted, Held, Refused, Release, Withdraw
from orioleloft_core.request import LoadReport, Warmth
from orioleloft_core.suspects import Suspects
from tests.support import group

IS_FUZZ = bool(os.environ.get("ORIOLELOFT_FUZZ"))
EXAMPLES = 2000 if IS_FUZZ else 200
STEPS = 60

SLOTS, OVERLAP, COLD_LIMIT = 2, 1, 1
TARGETS = tuple(f"ledger/t{i}" for i in range(4))
WEIGHTS = {"big": 2, "parish": 1, "choir": 1}
# Between two grants of a waiting customer, each other one gets at most twice its weight, and the
# order among equal start tags adds one grant a customer.
PASSES = 2 * sum(WEIGHTS.values()) + len(WEIGHTS)
QUEUE = 4 * SLOTS * len(TARGETS)
SILENCE_SECONDS = 10.0
NEVER = float("inf")


@dataclasses.dataclass
class Asked:
    seat: str
    ask: Ask
    deadline: float


@dataclasses.dataclass
class Given:
    id: str
    seat: str
    target: str
    is_first_use: bool
    deadline: float
    number: int
    given_at: float


class GrantorMachine(RuleBasedStateMachine):
    @initialize(warm=st.booleans())
    def start(self, warm):
        conf = group.settings(warm_answers=1)
        self.grantor = Grantor(group.GROUP, conf, Suspects(conf))
        self.now, self.events = 1.0, 0
        self.waiting: dict[str, Asked] = {}
        self.given: dict[str, Given] = {}
        self.old: list[Given] = []
        self.is_obstructed = False
        self.passes = dict.fromkeys(WEIGHTS, 0)
        self.heard = dict.fromkeys(TARGETS, NEVER)
        self.closed, self.draining = "", ()
        # Event numbers: when a target was last unknown, and seats that had an answer since then.
        self.unknown = dict.fromkeys(TARGETS, 0)
        self.good: dict[str, set[str]] = {target: set() for target in TARGETS}
        self.take(self.grantor.configure(self.now, group.catalog()))
        self.take(self.grantor.reset(self.now))
        for _ in range(16 if warm else 0):
            self.ask("entry-01", "parish", (), 60000)
            self.finish(next(iter(self.given.values())), "answered", "p1")

    def lose(self, target):
        self.events += 1
        self.unknown[target] = self.events
        self.heard[target] = NEVER
        self.good[target] = set()

    def is_open(self, target):
        zone = "ab"[int(target[-1]) % 2]
        return zone not in self.closed and target not in self.draining

    def take(self, effects):
        for effect in effects:
            message = effect.message if isinstance(effect, Send) else None
            if isinstance(message, Granted):
                self.check_grant(effect.seat, message)
            elif isinstance(message, Refused):
                self.check_refusal(effect.seat, message)

    def final(self, seat, ask_id):
        assert ask_id in self.waiting, "an answer to an ask that was answered or withdrawn"
        asked = self.waiting.pop(ask_id)
        assert asked.seat == seat
        return asked

    def check_refusal(self, seat, refused):
        ask = self.final(seat, refused.ask_id).ask
        if refused.code in ("queue-full", "customer-share"):
            use = {name: 0.0 for name in WEIGHTS}
            for other in [asked.ask for asked in self.waiting.values()] + [ask]:
                use[other.customer] += 1 / WEIGHTS[other.customer]
            assert use[ask.customer] == max(use.values()), "a smaller customer was refused"

    def check_grant(self, seat, granted):
        asked = self.final(seat, granted.ask_id)
        ask, deadline = asked.ask, asked.deadline
        target = granted.target_id
        assert self.is_open(target), "a grant to a closed or draining target"
        assert target not in ask.excluded
        out = [g for g in self.given.values() if g.target == target and g.deadline > self.now]
        first_uses = sum(g.is_first_use for g in out)
        assert len(out) < SLOTS + OVERLAP, "over the bound"
        assert self.good[target] or len(out) < COLD_LIMIT, "over the cold limit"
        assert granted.is_first_use or seat in self.good[target], "not marked as a first use"
        assert not granted.is_first_use or first_uses < COLD_LIMIT, "over the first-use limit"
        self.check_starvation(ask.customer, target, first_uses)
        self.events += 1
        is_first_use, number = granted.is_first_use, self.events
        given = Given(granted.grant_id, seat, target, is_first_use, deadline, number, self.now)
        assert granted.grant_id not in {g.id for g in [*self.given.values(), *self.old]}
        self.given[granted.grant_id] = given

    def check_starvation(self, customer, target, first_uses):
        """Counts the grants that a waiting customer could have used itself."""
        usable = {
            ask_id: (asked.seat in self.good[target] or first_uses < COLD_LIMIT)
            and target not in asked.ask.excluded
            for ask_id, asked in self.waiting.items()
        }
        self.is_obstructed = bool(usable) and (self.is_obstructed or not all(usable.values()))
        for other in WEIGHTS:
            oldest = next((i for i, a in self.waiting.items() if a.ask.customer == other), None)
            if other == customer or oldest is None:
                self.passes[other] = 0
                continue
            self.passes[other] += usable[oldest]
            # Asks that no free target suited keep their place, so a full queue of them may follow.
            bound = PASSES + QUEUE * self.is_obstructed
            assert self.passes[other] <= bound, "a waiting customer starves"

    def ask(self, seat, customer, excluded, remaining_ms):
        self.events += 1
        ask = Ask(f"a{self.events}", group.GROUP, customer, remaining_ms, "ff", excluded)
        self.waiting[ask.ask_id] = Asked(seat, ask, self.now + remaining_ms / 1000)
        self.take(self.grantor.ask(self.now, seat, ask))

    def finish(self, given, ending, incarnation):
        """Updates the books before the holder acts on the release."""
        self.given.pop(given.id, None)
        target = given.target
        is_current = given.number > self.unknown[target]
        if ending == "broken" or (ending == "not-sent" and given.is_first_use):
            self.lose(target)
        elif ending in ("answered", "shed") and is_current:
            self.good[target] |= {given.seat} if ending == "answered" else set()
            self.heard[target] = self.now
        report = group.report(target, ending, incarnation=incarnation) if ending else None
        self.take(self.grantor.release(self.now, given.seat, Release(given.id, report)))

    @rule(
        seat=st.sampled_from(group.SEATS),
        customer=st.sampled_from(sorted(WEIGHTS)),
        excluded=st.sampled_from(((), (), (), TARGETS[:1], TARGETS[2:])),
        remaining_ms=st.sampled_from((1000, 60000, 60000)),
        count=st.sampled_from((1, 3, 12)),
    )
    def ask_some(self, seat, customer, excluded, remaining_ms, count):
        for _ in range(count):
            self.ask(seat, customer, excluded, remaining_ms)

    @precondition(lambda self: self.given)
    @rule(
        index=st.integers(0, 11),
        ending=st.sampled_from(("answered", "broken", "not-sent", "timed-out", "shed", "")),
    )
    def release_one(self, index, ending):
        self.finish(list(self.given.values())[index % len(self.given)], ending, "p1")

    @rule(seconds=st.sampled_from((0.001, 0.1)))
    def answer_all(self, seconds):
        self.now += seconds
        for given in list(self.given.values()):
            self.finish(given, "answered", "p1")

    @precondition(lambda self: self.old)
    @rule(index=st.integers(0, 11), ending=st.sampled_from(("answered", "broken", "")))
    def release_late(self, index, ending):
        """The holder has freed these grants, so an answer proves nothing any more."""
        given = self.old.pop(index % len(self.old))
        self.finish(dataclasses.replace(given, number=-1), ending, "p1")

    @precondition(lambda self: self.given)
    @rule(index=st.integers(0, 11))
    def lose_release(self, index):
        del self.given[list(self.given)[index % len(self.given)]]

    @rule(seat=st.sampled_from(group.SEATS), seconds=st.sampled_from((0.0, 2.5)))
    def report_held(self, seat, seconds):
        self.advance(seconds)
        # Younger grants may still be on their way to the seat.
        arrived = [g for g in self.given.values() if self.now - g.given_at > 1.0]
        held = tuple(g.id for g in arrived if g.seat == seat)
        self.take(self.grantor.held(self.now, seat, Held(held)))

    @precondition(lambda self: self.waiting)
    @rule(index=st.integers(0, 31))
    def withdraw(self, index):
        asked = self.waiting.pop(list(self.waiting)[index % len(self.waiting)])
        self.take(self.grantor.withdraw(self.now, asked.seat, Withdraw(asked.ask.ask_id)))

    @rule(seconds=st.sampled_from((0.0, 0.05, 1.0, 11.0)))
    def advance(self, seconds):
        self.now += seconds
        for target, heard in self.heard.items():
            if self.good[target] and self.now - heard >= SILENCE_SECONDS:
                self.lose(target)
        for given in [g for g in self.given.values() if g.deadline <= self.now]:
            self.old.append(self.given.pop(given.id))
        self.take(self.grantor.tick(self.now))

    @rule(
        closed=st.sampled_from(("", "", "a", "b", "ab")),
        draining=st.sampled_from(((), (), TARGETS[:1], TARGETS[1:2])),
    )
    def configure(self, closed, draining):
        was_open = {target: self.is_open(target) for target in TARGETS}
        self.closed, self.draining = closed, draining
        for target in TARGETS:
            if was_open[target] != self.is_open(target):
                self.lose(target)
        catalog = group.catalog(closed=closed, draining=draining)
        self.take(self.grantor.configure(self.now, catalog))

    @rule()
    def reset(self):
        self.old += self.given.values()
        self.given.clear()
        for target in TARGETS:
            self.lose(target)
        self.take(self.grantor.reset(self.now))
        assert not self.waiting

    @rule(name=st.sampled_from(TARGETS), ending=st.sampled_from(("answered", "broken")))
    def bypass(self, name, ending):
        if ending == "broken":
            self.lose(name)
        else:
            self.heard[name] = self.now
            self.good[name] |= {"entry-02"} if self.good[name] else set()
        report = BypassReport(group.GROUP, group.report(name, ending))
        self.take(self.grantor.bypass_report(self.now, "entry-02", report))

    @rule(name=st.sampled_from(TARGETS), count=st.integers(0, 4))
    def restart(self, name, count):
        """Probes find another process while asks wait; requests that are out end as before."""
        for _ in range(4 * count):
            self.ask("entry-01", "parish", (), 60000)
        self.lose(name)
        for incarnation in ("p2", "p1"):
            self.grantor.probed(self.now, name, LoadReport(incarnation, 0, Warmth.WARM))
        self.heard[name] = self.now

    def teardown(self):
        """Each ask gets an answer once the targets answer and time passes."""
        if not hasattr(self, "grantor"):
            return
        for _ in range(200):
            self.advance(0.05)
            for seat in group.SEATS:
                self.report_held(seat, 0.0)
            self.answer_all(0.001)
            if not self.waiting:
                break
        assert not self.waiting, "an ask without an answer"
        assert self.grantor.waiting == 0


GrantorMachine.TestCase.settings = settings(
    derandomize=not IS_FUZZ,
    database=None,
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
)
GrantorStatefulTest = GrantorMachine.TestCase

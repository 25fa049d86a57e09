"""One target as the holder of its group sees it: phase, evidence, limits and service times."""

import collections
import enum
import functools
import pathlib
import statistics

from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml
from sismic.model import Event, Statechart

from orioleloft_core.catalog import Service, Target
from orioleloft_core.grantledger import Grant
from orioleloft_core.messages import TargetReport
from orioleloft_core.request import Ending, LoadReport, Warmth
from orioleloft_core.settings import RoutingSettings

CHART_PATH = pathlib.Path(__file__).with_name("target.yaml")

# Service times kept for the comparison with the group.
RECORD_ANSWERS = 8

# A target that fails at once would otherwise draw all requests, because it is always idle.
FIRST_PAUSE_SECONDS = 0.05
PAUSE_CAP_SECONDS = 5.0

# A target that was set aside wrongly returns soon; one that stays slow costs few requests.
FIRST_REST_SECONDS = 1.0
REST_CAP_SECONDS = 30.0

# Reports can be stuck at "cold"; after this time the answers alone decide.
COLD_REPORT_TRUST_SECONDS = 30.0

# Answers this many times slower than the target's own baseline, in a row, show a cold process.
GONE_COLD_RATIO = 4.0
BASELINE_SHARE = 1 / 16

# Probes lost in a row, with no report between them, that show that the target is gone.
LOST_PROBES = 2


class Phase(enum.StrEnum):
    """States of `target.yaml`."""

    UNKNOWN = "unknown"
    WARMING = "warming"
    WARM = "warm"
    DRAINING = "draining"


class PhaseEvent(enum.StrEnum):
    """Events of `target.yaml`."""

    ANSWERED = "answered"
    FILLED = "filled"
    SHRUNK = "shrunk"
    LOST = "lost"
    LEFT = "left"
    RETURNED = "returned"


@functools.cache
def _chart() -> Statechart:
    return import_from_yaml(filepath=str(CHART_PATH))


class TargetState:
    """What the holder knows about one target.

    The state chart is stepped only when the phase changes, because one step takes about 0.1 ms.
    The attributes below are plain, as the choice among targets reads them for each request; only
    this class changes them.

    Attributes:
        id: `service/name`.
        target: the target's entry in the catalog.
        phase: state of the chart.
        limit: grants that the target may hold now.
        cold_limit: first-use grants, and grants while unknown, that it may hold.
        out: grants that it holds.
        first_uses: first-use grants that it holds.
        known_seats: seats that had an answer since the target was last unknown.
        generation: counts how often evidence was lost; an answer to a grant of an earlier
            generation may come from an earlier process and is no evidence.
        paused_until: time up to which it gets no grants after it failed.
        is_set_aside: whether it is a straggler.
        went_cold: whether it was slow against its own baseline and is not warm again.
        last_grant: number of its last grant in the group, for equal turns.
        heard_at: time of the last report, None if there is none.
    """

    def __init__(
        self, now: float, target: Target, service: Service, routing: RoutingSettings
    ) -> None:
        self._routing = routing
        self._interpreter = Interpreter(_chart())
        self._interpreter.execute()
        self.id = target.id
        self.target = target
        self.phase = Phase.UNKNOWN
        self.out = 0
        self.first_uses = 0
        self.known_seats: set[str] = set()
        self.generation = 0
        self.paused_until = 0.0
        self.is_set_aside = False
        self.went_cold = False
        self.last_grant = 0
        self.heard_at: float | None = None
        self.record: collections.deque[float] = collections.deque(maxlen=RECORD_ANSWERS)
        self._pause_seconds = 0.0
        self._rest_seconds = 0.0
        self._rest_until = 0.0
        self._is_open = True
        self._is_leaving = False
        self._set_limits(service)
        self._clear(now)

    @property
    def mean_ms(self) -> float:
        """Mean of the recorded service times, 0 if there is none."""
        return sum(self.record) / len(self.record) if self.record else 0.0

    @property
    def has_record(self) -> bool:
        """Whether enough answers are recorded for a comparison with the group."""
        return len(self.record) == RECORD_ANSWERS

    @property
    def has_gone_cold(self) -> bool:
        """Whether the last answers are much slower than the target's own baseline."""
        return self._slow_run >= self._routing.warm_answers

    @property
    def is_open(self) -> bool:
        """Whether the catalog lets the target take new work."""
        return self._is_open

    def configure(self, now: float, target: Target, service: Service, is_open: bool) -> None:
        """Adopts the target's entry in a catalog.

        Args:
            now: seconds on the holder's clock.
            target: entry of the target.
            service: limits of its service.
            is_open: whether the target may get new work.
        """
        if (target.host, target.port) != (self.target.host, self.target.port):
            self.lose(now)
        self.target = target
        self._set_limits(service)
        self._is_open = is_open
        self._update_draining(now)

    def close(self, now: float) -> None:
        """The target is no longer in the catalog."""
        self._is_open = False
        self._update_draining(now)

    def grant(self, number: int, is_first_use: bool) -> None:
        """Counts a grant that is given."""
        self.out += 1
        self.first_uses += is_first_use
        self.last_grant = number

    def give_back(self, grant: Grant) -> None:
        """Counts a grant that was released, freed or has expired."""
        self.out -= 1
        self.first_uses -= grant.is_first_use

    def forget_seat(self, seat: str) -> None:
        """The seat has no live connection; its next grant is a first use."""
        self.known_seats.discard(seat)

    def lose(self, now: float) -> None:
        """Nothing that was known holds for the target's process any more."""
        self._clear(now)
        if self.phase in (Phase.WARMING, Phase.WARM):
            self._step(PhaseEvent.LOST)

    def reset(self, now: float) -> None:
        """Forgets the evidence and all grants."""
        self.out = 0
        self.first_uses = 0
        self.lose(now)

    def go_cold(self, now: float) -> None:
        """Takes the target for a cold process; `went_cold` holds until it is warm again."""
        self.lose(now)
        self.went_cold = True

    def set_aside(self, now: float) -> None:
        """Marks the target as a straggler; each time in a row it rests longer."""
        self.is_set_aside = True
        self._rest_seconds = _doubled(self._rest_seconds, FIRST_REST_SECONDS, REST_CAP_SECONDS)
        self._rest_until = now + self._rest_seconds

    def end_rest(self, now: float, is_early: bool = False) -> None:
        """Takes a straggler back for a new trial when its rest is over.

        Args:
            now: seconds on the holder's clock.
            is_early: take it back before that, because too many are set aside.
        """
        if not self.is_set_aside or (now < self._rest_until and not is_early):
            return
        self.is_set_aside = False
        self.record.clear()
        self._shrink(self._cold())

    def check_silence(self, now: float) -> None:
        """Loses the evidence of a target that gave no report for long."""
        silence_seconds = self._routing.bypass_evidence_ms / 1000
        if self.heard_at is not None and now - self.heard_at >= silence_seconds:
            self.lose(now)

    def probed(self, now: float, report: LoadReport | None) -> None:
        """Takes the result of a probe; `report` is None if the target gave none."""
        if report is None:
            self._lost_probes += 1
            if self._lost_probes >= LOST_PROBES:
                self.lose(now)
            return
        self._hear(now, report.incarnation, report.warmth)
        # Probes are the holder's own and arrive in order, so one may also end a reported drain.
        self._is_leaving = report.warmth == Warmth.DRAINING
        self._update_draining(now)

    def observe(
        self, now: float, seat: str, grant: Grant | None, report: TargetReport, median_ms: float
    ) -> None:
        """Takes what a dispatch showed.

        Args:
            now: seconds on the holder's clock.
            seat: seat that made the dispatch.
            grant: the grant that it used; None for bypass and for grants no longer known.
            report: what the dispatch showed.
            median_ms: median of the group's mean service times, 0 if there is none.
        """
        is_current = grant is not None and grant.generation == self.generation
        match report.ending:
            case Ending.ANSWERED:
                self._observe_answer(now, seat, grant, report, median_ms)
            case Ending.BROKEN:
                self._fail(now)
                self.lose(now)
            case Ending.SHED:
                if grant is None or is_current:
                    self._hear(now, report.incarnation, report.warmth)
                self._fail(now)
                self._shrink(max(self._cold(), self.limit // 2))
            case Ending.NOT_SENT if grant is not None and grant.is_first_use:
                self._fail(now)
                self.lose(now)
            case Ending.NOT_SENT:
                self.forget_seat(seat)
            case Ending.TIMED_OUT | Ending.CANCELLED if is_current:
                self._observe_cut_off((now - grant.given_at) * 1000)

    def _observe_answer(
        self, now: float, seat: str, grant: Grant | None, report: TargetReport, median_ms: float
    ) -> None:
        if grant is not None and grant.generation != self.generation:
            return
        is_same_process = self._hear(now, report.incarnation, report.warmth)
        if not is_same_process or (grant is None and self.phase is Phase.UNKNOWN):
            return
        self.known_seats.add(seat)
        self.record.append(report.service_ms)
        self._compare_with_baseline(report.service_ms)
        if grant is not None:
            self._count_answer(now, report, median_ms)

    def _count_answer(self, now: float, report: TargetReport, median_ms: float) -> None:
        is_slow = 0 < median_ms * self._routing.straggler_ratio < report.service_ms
        trusts_report = now - self._unknown_since < COLD_REPORT_TRUST_SECONDS
        if is_slow or (report.warmth == Warmth.COLD and trusts_report):
            self._good_answers = 0
            return
        self._pause_seconds = 0.0
        if self.phase is Phase.UNKNOWN:
            self._step(PhaseEvent.ANSWERED)
        if self.phase is not Phase.WARMING:
            return
        self._good_answers += 1
        if self._good_answers < self._routing.warm_answers:
            return
        self._good_answers = 0
        self.limit = min(self.limit * 2, self._full)
        if self.limit == self._full:
            self._rest_seconds = 0.0
            self.went_cold = False
            self._step(PhaseEvent.FILLED)

    def _observe_cut_off(self, elapsed_ms: float) -> None:
        """Counts a dispatch without an answer, whose service time is at least `elapsed_ms`."""
        self._good_answers = 0
        if elapsed_ms > self.mean_ms:
            self.record.append(elapsed_ms)
            self._compare_with_baseline(elapsed_ms)

    def _compare_with_baseline(self, service_ms: float) -> None:
        if 0 < self._baseline_ms * GONE_COLD_RATIO < service_ms:
            self._slow_run += 1
            return
        self._slow_run = 0
        if self._baseline_ms:
            self._baseline_ms += (service_ms - self._baseline_ms) * BASELINE_SHARE
        elif self.phase is Phase.WARM and self.has_record:
            self._baseline_ms = statistics.median(self.record)

    def _hear(self, now: float, incarnation: str, warmth: str) -> bool:
        """Takes the parts that each report has; returns False if the process is another one."""
        self.heard_at = now
        self._lost_probes = 0
        if incarnation and self._incarnation and incarnation != self._incarnation:
            self._is_leaving = False
            self.lose(now)
            self._update_draining(now)
            return False
        self._incarnation = incarnation or self._incarnation
        if warmth == Warmth.DRAINING:
            self._is_leaving = True
            self._update_draining(now)
        turned_cold = warmth == Warmth.COLD and self._last_warmth == Warmth.WARM
        self._last_warmth = warmth or self._last_warmth
        if turned_cold:
            self.lose(now)
        return not turned_cold

    def _fail(self, now: float) -> None:
        """Pauses the target; failures of requests sent before the pause do not extend it."""
        if now < self.paused_until:
            return
        self._pause_seconds = _doubled(self._pause_seconds, FIRST_PAUSE_SECONDS, PAUSE_CAP_SECONDS)
        self.paused_until = now + self._pause_seconds

    def _shrink(self, limit: int) -> None:
        self._good_answers = 0
        self.limit = min(self.limit, limit)
        if self.phase is Phase.WARM and self.limit < self._full:
            self._step(PhaseEvent.SHRUNK)

    def _clear(self, now: float) -> None:
        self.generation += 1
        self.known_seats.clear()
        self.record.clear()
        self.limit = self._cold()
        self.is_set_aside = False
        self.went_cold = False
        self.heard_at = None
        self._incarnation = ""
        self._last_warmth = ""
        self._unknown_since = now
        self._good_answers = 0
        self._slow_run = 0
        self._baseline_ms = 0.0
        self._lost_probes = 0

    def _set_limits(self, service: Service) -> None:
        self._full = service.slots + service.overlap
        self.cold_limit = service.cold_limit
        match self.phase:
            case Phase.WARM:
                self.limit = self._full
            case Phase.WARMING:
                self.limit = min(self.limit, self._full)
            case _:
                self.limit = self._cold()

    def _cold(self) -> int:
        return min(self.cold_limit, self._full)

    def _update_draining(self, now: float) -> None:
        is_draining = self._is_leaving or not self._is_open
        if is_draining == (self.phase is Phase.DRAINING):
            return
        self._clear(now)
        self._step(PhaseEvent.LEFT if is_draining else PhaseEvent.RETURNED)

    def _step(self, event: PhaseEvent) -> None:
        self._interpreter.queue(Event(event.value)).execute()
        self.phase = Phase(self._interpreter.configuration[-1])


def _doubled(value: float, first: float, cap: float) -> float:
    return min(cap, value * 2) if value else first

"""Evidence on a new version of targets: counts of all nodes, and the sequential test on them.

Answers of the new version are compared with those of the old one on the same route in the same
period, so that trouble of both cancels out. The test is a sequential likelihood-ratio test with
three statistics: failures, slow answers, and the mean logarithm of response times. It is repeated
for several periods up to now, because faults may begin late; the threshold allows for all tests.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable

# Probability of rolling back a version that is no worse than the old one, over a whole roll-out.
ALPHA = 0.001
# Answers whose response time is this multiple of the expected one or more are slow; a bad version
# is slower by "several times".
SLOW_FACTOR = 2.5
# Independent start times from which the threshold allows for tests. Neighbouring periods overlap.
ALLOWED_START_TIMES = 8
# Statistics that are tested.
STATISTIC_COUNT = 3
# Rates of failures and of slow answers of the new version are not bad up to this factor on the old
# version's, plus this difference. The observed targets have up to 1.65 times the load of others.
TOLERATED_RATE_FACTOR = 1.4
# The same factor for slow answers. With 1.4, a version with three slow answers of ten was stopped
# too late in half of the runs at 800 requests a second (standins/rolloutmodel.py), now in 14%.
TOLERATED_SLOW_FACTOR = 1.25
TOLERATED_RATE_DIFFERENCE = 0.01
# The factor on response times of the hypothesis that a version is good. The evidence grows where
# the factor exceeds the geometric mean of this and `SLOW_FACTOR`, 1.8.
TOLERATED_SLOWDOWN = 1.3
# Slow phases of targets last 0.3 s, so that about two answers in a row share one.
DISPERSION = 1.5
# Quantile of the normal distribution for the upper bound of the old version's rates.
UPPER_BOUND_Z = 2.5
# Answers from which the mean response time is tested: a few answers may all be in slow phases.
MIN_TIMED_ANSWERS = 12
# Lower bound of the standard deviation of the logarithm of response times.
MIN_LOG_DEVIATION = 0.3
# Old answers from which a period has enough of them; else those of the whole roll-out count.
MIN_OLD_ANSWERS = 30
# Rate that is tolerated where there are no old answers at all.
RATE_WITHOUT_COMPARISON = 0.25
# New targets from which the worst is left out.
MIN_TARGETS_TO_DROP = 3
# Answers of a target from which it counts among those that have to show the fault.
MIN_TARGET_ANSWERS = 5
# Alternatives for a rate, as fractions of the way from the tolerated one to 1.
_ALTERNATIVES = (0.03, 0.08, 0.16, 0.3, 0.5, 0.75, 0.98)
# Interval between snapshots, in seconds, and lengths of the periods tested, in snapshots.
SNAPSHOT_PERIOD_S = 0.5
_PERIODS = (2, 3, 5, 8, 12, 18, 28)
MAX_SNAPSHOTS = 64
# Rows that one node may have; further ones are dropped.
MAX_ROWS = 400
# Name under which the routes are tested together.
ALL_ROUTES = "*"


@dataclasses.dataclass(frozen=True)
class EvidenceRow:
    """Cumulative counts of one node for one route and one new target or all old ones.

    Attributes:
        route: name of the route.
        target: id of the new target, or empty for all old targets.
        answers: answers and failures.
        failures: failures among them.
        timed: answers whose response time counts.
        slow: those of them that took `SLOW_FACTOR` times the expected time or more.
        log_sum: sum of the logarithm of response time over expected time, in thousandths.
        log_square_sum: sum of its squares, in thousandths.
        busy_ms: sum of the response times, in milliseconds.
    """

    route: str
    target: str
    answers: int
    failures: int
    timed: int
    slow: int
    log_sum: int
    log_square_sum: int
    busy_ms: int


_Counts = tuple[int, ...]
_Key = tuple[str, str]
_ANSWERS, _FAILURES, _TIMED, _SLOW, _LOG_SUM, _LOG_SQUARE_SUM, _BUSY_MS = range(7)
_NO_COUNTS: _Counts = (0,) * 7


def _counts_of(row: EvidenceRow) -> _Counts:
    return (
        row.answers,
        row.failures,
        row.timed,
        row.slow,
        row.log_sum,
        row.log_square_sum,
        row.busy_ms,
    )


def _add(first: _Counts, second: _Counts) -> _Counts:
    return tuple(map(int.__add__, first, second))


def _subtract(first: _Counts, second: _Counts) -> _Counts:
    return tuple(map(int.__sub__, first, second))


def is_plausible(row: EvidenceRow) -> bool:
    """Whether the counts of a row agree with each other."""
    return 0 <= row.failures <= row.answers and 0 <= row.slow <= row.timed <= row.answers


class EvidenceCounter:
    """Counts what this node observes under one order."""

    def __init__(self) -> None:
        self._counts: dict[_Key, _Counts] = {}
        self._unreported: dict[_Key, None] = {}

    def record(
        self, route: str, target: str, is_failure: bool, ratio: float | None, seconds: float
    ) -> None:
        """Counts an answer or a failure.

        Args:
            route: name of the route.
            target: id of the new target, or empty for an old one.
            is_failure: whether the attempt failed.
            ratio: response time over the expected one, or None if it does not count.
            seconds: response time.
        """
        key = route, target
        if key not in self._counts and len(self._counts) >= MAX_ROWS:
            return
        log = 0.0 if ratio is None else math.log(min(100.0, max(0.01, ratio)))
        timed = int(ratio is not None)
        added = (
            1,
            int(is_failure),
            timed,
            int(timed and ratio >= SLOW_FACTOR),
            round(1000 * log),
            round(1000 * log * log),
            round(1000 * seconds),
        )
        self._counts[key] = _add(self._counts.get(key, _NO_COUNTS), added)
        self._unreported[key] = None

    def rows(self, only_unreported: bool) -> list[EvidenceRow]:
        """Returns the counts to report, and notes them as reported."""
        keys = self._unreported if only_unreported else self._counts
        rows = [EvidenceRow(*key, *self._counts[key]) for key in keys]
        self._unreported = {}
        return rows


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Result of the test.

    Attributes:
        is_bad: whether the new version is bad.
        evidence: logarithm of the greatest likelihood ratio against it.
        threshold: the value from which it is bad.
        statistic: what was compared: `failures`, `slow` or `time`.
        route: route with the greatest ratio.
        new: rate of the new version, or mean of its logarithms.
        old: the same of the old version.
        answers: answers of the new version that were compared.
        targets: targets that these answers are from.
        doubt: the same as `evidence` for rates with the worst target counted, if two targets have
            bad answers. It shows nothing by itself, but is a reason to wait.
    """

    is_bad: bool = False
    evidence: float = 0.0
    threshold: float = 0.0
    statistic: str = ""
    route: str = ""
    new: float = 0.0
    old: float = 0.0
    answers: int = 0
    targets: int = 0
    doubt: float = 0.0

    @property
    def text(self) -> str:
        """The evidence in one line, for logs and the operators' command."""
        if not self.statistic:
            return "nothing speaks against it"
        if self.statistic == "time":
            compared = f"response time x{math.exp(self.new):.2f} against x{math.exp(self.old):.2f}"
        else:
            compared = f"{self.statistic} {self.new:.1%} against {self.old:.1%}"
        return (
            f"{compared} on route {self.route} ({self.answers} answers of {self.targets} targets,"
            f" log likelihood ratio {self.evidence:.1f} of {self.threshold:.1f})"
        )


class EvidenceLedger:
    """Adds up the counts of all nodes for one order and tests them."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, int], dict[_Key, _Counts]] = {}
        self._totals: dict[_Key, _Counts] = {}
        self._snapshots: collections.deque[tuple[float, dict[_Key, _Counts]]]
        self._snapshots = collections.deque(maxlen=MAX_SNAPSHOTS)

    def merge(self, node: str, incarnation: int, rows: Iterable[EvidenceRow]) -> None:
        """Adds the counts of a node.

        They are cumulative within an incarnation of the node, so that lost, repeated and late
        reports do no harm. Those of earlier incarnations stay counted.
        """
        held = self._rows.setdefault((node, incarnation), {})
        for row in rows:
            key = row.route, row.target
            counts, before = _counts_of(row), held.get(key, _NO_COUNTS)
            is_known = key in held or len(held) < MAX_ROWS
            if not is_known or not is_plausible(row) or counts[_ANSWERS] <= before[_ANSWERS]:
                continue
            held[key] = counts
            added = _subtract(counts, before)
            self._totals[key] = _add(self._totals.get(key, _NO_COUNTS), added)

    def tick(self, now: float) -> None:
        """Takes a snapshot if one is due; called several times a second."""
        if not self._snapshots or now - self._snapshots[-1][0] >= SNAPSHOT_PERIOD_S - 0.01:
            self._snapshots.append((now, dict(self._totals)))

    @property
    def answers(self) -> int:
        """Answers of the new version."""
        return sum(counts[_ANSWERS] for key, counts in self._totals.items() if key[1])

    def summary(self) -> dict[str, dict[str, int]]:
        """Returns answers, failures and slow answers of both versions, for logs and metrics."""
        result = {}
        for name, is_new in (("new", True), ("old", False)):
            counts = _NO_COUNTS
            for key, each in self._totals.items():
                if bool(key[1]) == is_new:
                    counts = _add(counts, each)
            result[name] = {
                "answers": counts[_ANSWERS],
                "failures": counts[_FAILURES],
                "slow": counts[_SLOW],
            }
        return result

    def running(self, now: float) -> float:
        """Returns the mean number of requests that ran in the last snapshots' period."""
        if len(self._snapshots) < 2:
            return 0.0
        at, before = self._snapshots[max(0, len(self._snapshots) - 4)]
        busy = sum(counts[_BUSY_MS] for counts in self._totals.values())
        busy -= sum(counts[_BUSY_MS] for counts in before.values())
        return busy / 1000 / max(SNAPSHOT_PERIOD_S, now - at)

    def judge(self, target_count: int) -> Verdict:
        """Tests the counts.

        Args:
            target_count: number of new targets that can be observed.
        """
        required = min(MIN_TARGETS_TO_DROP, max(1, target_count))
        tables = [_Table(self._totals, {})]
        for period in _PERIODS:
            if period < len(self._snapshots):
                tables.append(_Table(self._totals, self._snapshots[-1 - period][1]))
        whole = tables[0]
        tests = ALLOWED_START_TIMES * STATISTIC_COUNT * max(1, len(whole.new))
        threshold = math.log(tests / ALPHA)
        worst, doubt = Verdict(threshold=threshold), 0.0
        for table in tables:
            for route, new in table.new.items():
                if len(new) < required:
                    continue
                old = table.old.get(route, _NO_COUNTS)
                if old[_ANSWERS] < MIN_OLD_ANSWERS:
                    old = whole.old.get(route, _NO_COUNTS)
                for found in _test_route(new, old):
                    doubt = max(doubt, found.doubt)
                    if found.evidence > worst.evidence:
                        worst = dataclasses.replace(
                            found,
                            route=route,
                            threshold=threshold,
                            is_bad=found.evidence >= threshold,
                        )
        return dataclasses.replace(worst, doubt=doubt)


class _Table:
    """Counts of a period by route: of each new target, and of all old ones."""

    def __init__(self, totals: dict[_Key, _Counts], before: dict[_Key, _Counts]) -> None:
        self.new: dict[str, dict[str, _Counts]] = {}
        self.old: dict[str, _Counts] = {}
        for key, counts in totals.items():
            if before:
                counts = _subtract(counts, before.get(key, _NO_COUNTS))
            if not counts[_ANSWERS]:
                continue
            for route in (key[0], ALL_ROUTES):
                if key[1]:
                    targets = self.new.setdefault(route, {})
                    targets[key[1]] = _add(targets.get(key[1], _NO_COUNTS), counts)
                else:
                    self.old[route] = _add(self.old.get(route, _NO_COUNTS), counts)


def _test_route(new: dict[str, _Counts], old: _Counts) -> Iterable[Verdict]:
    yield from _test_rate("failures", new, old, (_FAILURES, _ANSWERS), TOLERATED_RATE_FACTOR, 1.0)
    yield from _test_rate("slow", new, old, (_SLOW, _TIMED), TOLERATED_SLOW_FACTOR, DISPERSION)
    yield from _test_time(new, old)


def _without_worst(new: dict[str, _Counts], count: int, total: int) -> list[_Counts]:
    """Returns the counts by target, without the worst one of three or more.

    The worst is the target with the most bad answers beyond its share, as trouble of one target
    says nothing about the version.
    """
    targets = [counts for counts in new.values() if counts[total]]
    if len(targets) < MIN_TARGETS_TO_DROP:
        return targets
    answers = sum(counts[total] for counts in targets)
    rate = sum(counts[count] for counts in targets) / answers
    worst = max(targets, key=lambda counts: counts[count] - rate * counts[total])
    targets.remove(worst)
    return targets


def _show_fault(targets: list[_Counts], count: int, total: int, limit: float) -> bool:
    """Whether at least half of the targets with some answers have a mean above the limit."""
    judged = [each for each in targets if each[total] >= MIN_TARGET_ANSWERS] or targets
    showing = sum(each[count] > limit * each[total] for each in judged)
    return 2 * showing >= len(judged)


def _test_rate(
    name: str,
    new: dict[str, _Counts],
    old: _Counts,
    columns: tuple[int, int],
    factor: float,
    dispersion: float,
) -> Iterable[Verdict]:
    """Tests the rate of failures or of slow answers.

    Args:
        name: name of the statistic.
        new: counts of each new target.
        old: counts of the old version.
        columns: where the bad answers and all answers are in the counts.
        factor: tolerated factor on the old version's rate.
        dispersion: variance of the count over that of independent answers.
    """
    count, total = columns
    bad = sum(counts[count] for counts in new.values())
    answers = sum(counts[total] for counts in new.values())
    if not bad:
        return
    old_rate = old[count] / old[total] if old[total] else 0.0
    tolerated = _tolerated_rate(old[count], old[total], factor)
    if bad <= tolerated * answers:
        return
    doubt = _log_rate_ratio(bad, answers, tolerated) / dispersion
    if sum(counts[count] > 0 for counts in new.values()) < min(2, len(new)):
        doubt = 0.0
    targets = _without_worst(new, count, total)
    bad = sum(counts[count] for counts in targets)
    answers = sum(counts[total] for counts in targets)
    yield Verdict(doubt=doubt)
    if bad <= tolerated * answers or not _show_fault(targets, count, total, tolerated):
        return
    evidence = _log_rate_ratio(bad, answers, tolerated) / dispersion
    yield Verdict(
        evidence=evidence,
        statistic=name,
        new=bad / answers,
        old=old_rate,
        answers=answers,
        targets=len(targets),
    )


def _tolerated_rate(count: int, total: int, factor: float) -> float:
    """Returns the greatest rate that is not bad, from an upper bound of the old version's rate."""
    if not total:
        return RATE_WITHOUT_COMPARISON
    rate, square = count / total, UPPER_BOUND_Z**2
    spread = math.sqrt(rate * (1 - rate) / total + square / (4 * total * total))
    bound = (rate + square / (2 * total) + UPPER_BOUND_Z * spread) / (1 + square / total)
    return min(0.95, factor * bound + TOLERATED_RATE_DIFFERENCE)


def _log_rate_ratio(count: int, total: int, tolerated: float) -> float:
    """Returns the logarithm of the likelihood ratio of a mixture of higher rates."""
    logs = []
    for fraction in _ALTERNATIVES:
        rate = tolerated + fraction * (1 - tolerated)
        logs.append(
            count * math.log(rate / tolerated)
            + (total - count) * math.log((1 - rate) / (1 - tolerated))
        )
    top = max(logs)
    return top + math.log(sum(math.exp(log - top) for log in logs) / len(logs))


def _test_time(new: dict[str, _Counts], old: _Counts) -> Iterable[Verdict]:
    if old[_TIMED] < MIN_OLD_ANSWERS:
        return
    old_mean = old[_LOG_SUM] / old[_TIMED] / 1000
    tolerated, slow = math.log(TOLERATED_SLOWDOWN), math.log(SLOW_FACTOR)
    answers = sum(counts[_TIMED] for counts in new.values())
    total = sum(counts[_LOG_SUM] for counts in new.values()) / 1000
    if total <= (old_mean + tolerated) * answers:
        return
    targets = _without_worst(new, _LOG_SUM, _TIMED)
    answers = sum(counts[_TIMED] for counts in targets)
    mean = sum(counts[_LOG_SUM] for counts in targets) / answers / 1000
    limit = old_mean + tolerated
    if (
        answers < MIN_TIMED_ANSWERS
        or mean <= limit
        or not _show_fault(targets, _LOG_SUM, _TIMED, 1000 * limit)
    ):
        return
    variance = old[_LOG_SQUARE_SUM] / old[_TIMED] / 1000 - old_mean**2
    variance = max(MIN_LOG_DEVIATION**2, variance) * DISPERSION
    difference = mean - old_mean
    evidence = answers * (slow - tolerated) / variance * (difference - (slow + tolerated) / 2)
    yield Verdict(
        evidence=evidence,
        statistic="time",
        new=mean,
        old=old_mean,
        answers=answers,
        targets=len(targets),
    )

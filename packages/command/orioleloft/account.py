"""Account of what callers were answered, from the logs of the nodes: by cause and by second."""

import collections
import dataclasses
import datetime
import json
from collections.abc import Iterable, Iterator
from typing import Any

# Requests without an answer in the logs that are kept in memory; the oldest ones are dropped.
MAX_OPEN_REQUESTS = 100_000
# Width of the longest bar of the plot, in characters.
PLOT_WIDTH = 40


@dataclasses.dataclass(frozen=True)
class Answer:
    """The answer to one request, with the cause that the node's log gives for it.

    Attributes:
        at: Unix time in seconds.
        status: HTTP status.
        ms: time from the first byte of the request to its answer, in milliseconds.
        cause: why it was answered so.
    """

    at: float
    status: int
    ms: float
    cause: str


@dataclasses.dataclass(frozen=True)
class Second:
    """The answers of one second.

    Attributes:
        offset: seconds since the first answer.
        answered: answers with a status below 400.
        refused: answers with status 429 or 503.
        failed: other answers.
        p50_ms: median time to the answers with a status below 400, in milliseconds.
        p99_ms: time within which 99 in 100 of these were sent, in milliseconds.
    """

    offset: int
    answered: int
    refused: int
    failed: int
    p50_ms: float
    p99_ms: float


@dataclasses.dataclass(frozen=True)
class Account:
    """Answers of all nodes.

    Attributes:
        causes: number of answers by cause, the most frequent one first.
        seconds: the seconds with answers, in order.
        unreadable_lines: lines that are no log lines of a node.
    """

    causes: tuple[tuple[str, int], ...]
    seconds: tuple[Second, ...]
    unreadable_lines: int


class _OpenRequests:
    """What the logs have said of requests that are not answered yet."""

    def __init__(self) -> None:
        self._attempts: collections.OrderedDict[str, list[str]] = collections.OrderedDict()

    def add(self, request: str, note: str) -> None:
        self._attempts.setdefault(request, []).append(note)
        while len(self._attempts) > MAX_OPEN_REQUESTS:
            self._attempts.popitem(last=False)

    def pop(self, request: str) -> list[str]:
        return self._attempts.pop(request, [])


def build(lines: Iterable[str]) -> Account:
    """Builds the account from log lines, which may have a prefix before the JSON.

    Args:
        lines: lines of the logs of any nodes, in any order between nodes.
    """
    open_requests = _OpenRequests()
    answers = []
    unreadable = 0
    for line in lines:
        entry = parse_line(line)
        if entry is None:
            unreadable += bool(line.strip())
            continue
        answer = _read(entry, open_requests)
        if answer is not None:
            answers.append(answer)
    causes = collections.Counter(answer.cause for answer in answers)
    return Account(tuple(causes.most_common()), tuple(_by_second(answers)), unreadable)


def parse_line(line: str) -> dict[str, Any] | None:
    """Returns the fields of a log line, or None if it is none."""
    start = line.find("{")
    try:
        entry = json.loads(line[start:]) if start >= 0 else None
    except ValueError:
        return None
    return entry if isinstance(entry, dict) and isinstance(entry.get("event"), str) else None


def _read(entry: dict[str, Any], open_requests: _OpenRequests) -> Answer | None:
    """Returns the answer that a log line reports, or keeps what it says of a request."""
    request = str(entry.get("request", ""))
    match entry["event"]:
        case "dispatch":
            open_requests.add(request, "hedge" if entry.get("hedge") else "attempt")
        case "no target":
            open_requests.add(request, f"no target: {entry.get('reason')}")
        case "request answered":
            return _read_answer(entry, open_requests.pop(request))
    return None


def _read_answer(entry: dict[str, Any], notes: list[str]) -> Answer | None:
    try:
        at = datetime.datetime.fromisoformat(entry["time"]).timestamp()
        status, ms = int(entry["status"]), float(entry["ms"])
    except (KeyError, TypeError, ValueError):
        return None
    return Answer(at, status, ms, _cause(status, entry.get("code"), notes))


def _cause(status: int, code: str | None, notes: list[str]) -> str:
    """Returns the cause of an answer from its code and the log lines before it."""
    if code is not None:
        reasons = [note for note in notes if note.startswith("no target")]
        return f"{status} {code}" + (f", {reasons[-1]}" if reasons else "")
    if status >= 400:
        return f"{status} of a target"
    if "hedge" in notes:
        return "answered, hedged"
    return "answered, retried" if notes.count("attempt") > 1 else "answered"


def _by_second(answers: list[Answer]) -> Iterator[Second]:
    if not answers:
        return
    first = min(answer.at for answer in answers)
    seconds = collections.defaultdict(list)
    for answer in answers:
        seconds[int(answer.at - first)].append(answer)
    for offset in sorted(seconds):
        group = seconds[offset]
        times = sorted(answer.ms for answer in group if answer.status < 400)
        refused = sum(answer.status in (429, 503) for answer in group)
        yield Second(
            offset,
            len(times),
            refused,
            len(group) - len(times) - refused,
            _quantile(times, 0.5),
            _quantile(times, 0.99),
        )


def _quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def format_text(account: Account) -> list[str]:
    """Returns the account as lines of text: a table of causes, then a plot by second."""
    total = sum(count for _, count in account.causes)
    lines = [f"{total} answers, {account.unreadable_lines} lines that are no log lines", ""]
    lines += [f"{count:8}  {count / total:6.1%}  {cause}" for cause, count in account.causes]
    lines += ["", "second  answered  refused  failed   p50 ms   p99 ms"]
    largest = max((each.refused + each.failed for each in account.seconds), default=0)
    for each in account.seconds:
        bar = "#" * round(PLOT_WIDTH * (each.refused + each.failed) / max(1, largest))
        lines.append(
            f"{each.offset:6}  {each.answered:8}  {each.refused:7}  {each.failed:6}"
            f"  {each.p50_ms:7.0f}  {each.p99_ms:7.0f}  {bar}".rstrip()
        )
    return lines

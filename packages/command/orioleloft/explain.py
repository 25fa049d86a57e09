"""Asks a node where a request would go now and why, and renders the answer."""

import dataclasses
import json
import time
import urllib.parse
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from orioleloft import account
from orioleloft_core import jsoninput
from orioleloft_core.entrysettings import Endpoint, parse_endpoint
from orioleloft_core.errors import (
    EXPLAIN_ERRORS_BY_CODE,
    ExplainError,
    ExplainQueryError,
    NodeUnreachableError,
    OldNodeError,
    RequestNotLoggedError,
    SettingsError,
)
from orioleloftd.connections import ExchangeError, HttpClient, HttpResponse

EXPLAIN_PATH = "/explain"
# Timeout for the answer of a node, in seconds.
ANSWER_TIMEOUT_S = 5.0
# Targets that the verdict names; the list of targets has all of them.
MAX_SHOWN_TARGETS = 6
# Status of control servers that do not know the path.
_UNKNOWN_PATH_STATUS = 404


@dataclasses.dataclass(frozen=True)
class ExplainOptions:
    """What is to be explained and how it is shown.

    Attributes:
        host: host of a request made by hand.
        path: its path.
        method: its method.
        tenant: name of its tenant, or empty.
        timeout: time in which its caller wants the answer, in seconds as text, or empty.
        request: id of a recorded request, in place of host and path.
        is_json: whether to show JSON.
    """

    host: str = ""
    path: str = ""
    method: str = "GET"
    tenant: str = ""
    timeout: str = ""
    request: str = ""
    is_json: bool = False


@dataclasses.dataclass(frozen=True)
class RecordedAttempt:
    """An attempt of a recorded request; `end` is empty if the log has none."""

    target: str
    is_hedge: bool
    end: str = ""
    status: int | None = None


@dataclasses.dataclass(frozen=True)
class RecordedRequest:
    """What the logs of nodes say of a request; they have neither its host nor its path.

    Attributes:
        id: its id.
        node: node that logged it.
        route: name of its route, or empty.
        tenant: name of its tenant, or None.
        status: status of the answer, or None if the logs have no answer.
        code: error code of the answer, or None.
        reason: reason of the answer, or None.
        ms: time to the answer, in milliseconds.
        timeout_s: time in which its caller wanted the answer, or None.
        attempts: its attempts.
        waits: why no target took it, once for each time.
    """

    id: str
    node: str
    route: str
    tenant: str | None
    status: int | None
    code: str | None
    reason: str | None
    ms: float | None
    timeout_s: float | None
    attempts: tuple[RecordedAttempt, ...]
    waits: tuple[str, ...]


async def run(node: str, logs: Iterable[str], options: ExplainOptions) -> list[str]:
    """Returns the explanation as lines of text or JSON.

    Args:
        node: HOST:PORT of the node's control server.
        logs: lines of logs; only read if a recorded request is named.
        options: what is to be explained.

    Raises:
        OrioleloftError: the input is wrong, or the node explains nothing.
    """
    try:
        endpoint = parse_endpoint(node)
    except SettingsError as error:
        raise ExplainQueryError(f"{node} is no address.", "Give HOST:PORT of a node.") from error
    recorded = None
    if options.request:
        recorded = find_request(logs, options.request)
        query = _recorded_query(recorded)
    else:
        query = {"host": options.host, "path": options.path, "method": options.method}
        query |= {"tenant": options.tenant, "timeout": options.timeout}
    explained = await _ask(endpoint, {name: text for name, text in query.items() if text})
    if options.is_json:
        record = {} if recorded is None else {"recorded": dataclasses.asdict(recorded)}
        return [json.dumps({**record, **explained}, indent=2)]
    return [*(format_record(recorded) if recorded else ()), *format_text(explained)]


def _recorded_query(recorded: RecordedRequest) -> dict[str, str]:
    timeout = "" if recorded.timeout_s is None else f"{recorded.timeout_s:g}"
    return {"route": recorded.route, "tenant": recorded.tenant or "", "timeout": timeout}


async def _ask(endpoint: Endpoint, query: Mapping[str, str]) -> dict[str, Any]:
    path = f"{EXPLAIN_PATH}?{urllib.parse.urlencode(query)}"
    client = HttpClient(time.monotonic)
    try:
        answer = await client.call(
            endpoint.host, endpoint.port, "GET", path, timeout=ANSWER_TIMEOUT_S
        )
    except ExchangeError as error:
        remedy = "Give HOST:PORT of the control listener of a node that runs."
        address = f"{endpoint.host}:{endpoint.port}"
        raise NodeUnreachableError(f"{address} gives no answer: {error}.", remedy) from error
    return _read(answer)


def _read(answer: HttpResponse) -> dict[str, Any]:
    """Returns the explanation in an answer.

    Raises:
        ExplainError: it has none.
    """
    if answer.status == _UNKNOWN_PATH_STATUS:
        remedy = "Ask a node of this build, by HOST:PORT of its control listener."
        raise OldNodeError(
            "the server explains nothing; it may be a node of an older build.", remedy
        )
    try:
        content = jsoninput.decode(answer.body)
    except ValueError:
        content = None
    match content:
        case {"verdict": {"kind": str()}} if answer.status == 200:
            return content
        case {"code": str() as code, "message": str() as message}:
            raise EXPLAIN_ERRORS_BY_CODE.get(code, ExplainError)(message)
    raise ExplainError(
        f"the answer has status {answer.status} and no explanation.",
        "Give HOST:PORT of the control listener of a node.",
    )


# Recorded requests.


def find_request(lines: Iterable[str], request: str) -> RecordedRequest:
    """Returns what the logs of nodes say of a request.

    Args:
        lines: lines of the logs.
        request: id of the request.

    Raises:
        RequestNotLoggedError: the logs do not name it, or not its route.
    """
    entries = []
    for line in lines:
        entry = account.parse_line(line) if request in line else None
        if entry is not None and str(entry.get("request", "")) == request:
            entries.append(entry)
    recorded = _record(request, entries)
    if not entries:
        remedy = "Give the logs of all nodes, and the id in X-Request-Id."
        raise RequestNotLoggedError(f"the logs have no request {request!r}.", remedy)
    if not recorded.route:
        outcome = recorded.code or recorded.reason or "no answer"
        raise RequestNotLoggedError(
            f"the logs name no route of request {request!r} ({outcome}).",
            "Give its --host and --path instead; the logs have neither.",
        )
    return recorded


def _record(request: str, entries: Sequence[Mapping[str, Any]]) -> RecordedRequest:
    attempts: list[RecordedAttempt] = []
    waits, answer, route = [], {}, ""
    for entry in entries:
        match entry:
            case {"event": "dispatch"}:
                route = str(entry.get("route", route))
                attempts.append(RecordedAttempt(str(entry.get("target")), bool(entry.get("hedge"))))
            case {"event": "attempt ended"}:
                _end_attempt(attempts, entry)
            case {"event": "no target"}:
                route = str(entry.get("route", route))
                waits.append(str(entry.get("reason")))
            case {"event": "request answered" | "request refused"}:
                answer = entry
    patience = answer.get("patience_ms")
    return RecordedRequest(
        id=request,
        node=str(entries[0].get("node", "")) if entries else "",
        route=str(answer.get("route") or route),
        tenant=answer.get("tenant"),
        status=answer.get("status"),
        code=answer.get("code"),
        reason=answer.get("reason"),
        ms=answer.get("ms"),
        timeout_s=patience / 1000 if isinstance(patience, int | float) and patience > 0 else None,
        attempts=tuple(attempts),
        waits=tuple(waits),
    )


def _end_attempt(attempts: list[RecordedAttempt], entry: Mapping[str, Any]) -> None:
    """Adds the end of an attempt to the last one at its target that has none."""
    for index in reversed(range(len(attempts))):
        attempt = attempts[index]
        if attempt.target == str(entry.get("target")) and not attempt.end:
            attempts[index] = dataclasses.replace(
                attempt, end=str(entry.get("end")), status=entry.get("status")
            )
            return


def format_record(recorded: RecordedRequest) -> list[str]:
    """Returns what the logs say of a request as lines of text."""
    lines = [
        f"recorded    request {recorded.id} at node {recorded.node}: route {recorded.route},"
        f" tenant {recorded.tenant or '-'}"
    ]
    for attempt in recorded.attempts:
        kind = "hedge" if attempt.is_hedge else "attempt"
        status = "" if attempt.status is None else f" with status {attempt.status}"
        lines.append(f"            {kind} at {attempt.target}: {attempt.end or 'no end'}{status}")
    lines += [f"            no target: {reason}" for reason in recorded.waits]
    if recorded.status is None:
        lines.append("            the logs have no answer")
    else:
        parts = [f"status {recorded.status}", recorded.code, recorded.reason]
        lines.append(
            f"            answered after {recorded.ms:g} ms: {', '.join(filter(None, parts))}"
        )
    lines.append("            not in the logs: host, path, method and body; explained by the route")
    return [*lines, ""]


# Text.


def format_text(explained: Mapping[str, Any]) -> list[str]:
    """Returns an explanation as lines of text."""
    request = f"{explained['method']} {explained['host']}{explained['path']}"
    if explained["timeout_s"] is not None:
        request += f", answer within {explained['timeout_s']:g} s"
    if explained["is_late"]:
        request += ", counts as a retry of its caller"
    lines = [
        f"request     {request}",
        f"node        {explained['node']}, configuration version {explained['table_version']}",
        f"route       {explained['route'] or 'none'}: {explained['route_reason']}",
        f"tenant      {explained['tenant'] or 'none'}: {explained['access']}",
    ]
    if explained["priority"] is not None:
        lines.append(
            f"priority    {explained['priority']}, from the {explained['priority_source']}"
        )
    if explained["allotment"]:
        lines.append(f"allotment   {_allotment_text(explained['allotment'])}")
    if explained["split"]:
        lines.append(f"service     {_split_text(explained['split'])}")
    if explained["queue"]:
        lines.append(f"admission   {_queue_text(explained['queue'])}")
    if explained["crash_check"]:
        blocks = f"{explained['blocked_requests']} blocks in force"
        lines.append(f"crashes     {explained['crash_check']} ({blocks})")
    if explained["split"]:
        lines.append(f"probes      {explained['probes_available']:.0f} left at this node now")
        lines.append(f"targets     {len(explained['candidates'])}")
    lines += [_candidate_text(each) for each in explained["candidates"]]
    lines.append(f"verdict     {_verdict_text(explained['verdict'])}")
    return [*lines, f"            {explained['condition']}"] if explained["condition"] else lines


def _allotment_text(allotment: Mapping[str, Any]) -> str:
    parts = [
        f"{allotment['rate_per_s']:g} per second and burst {allotment['burst']:g}",
        f"{allotment['tokens_here']} tokens here",
        f"holder {allotment['holder'] or 'unknown'}",
    ]
    if allotment["tokens_at_holder"] is None:
        parts[-1] += " (its tokens are not known here)"
    else:
        parts[-1] += f" (this node) with {allotment['tokens_at_holder']:g} tokens"
    if allotment["room_in_s"] is not None:
        parts.append(f"room in {allotment['room_in_s']:.2f} s")
    return f"{', '.join(parts)}: {allotment['outcome']}"


def _split_text(split: Mapping[str, Any]) -> str:
    shares = ", ".join(f"{each['service']} {each['share']:.0%}" for each in split["shares"])
    why = "the next request goes there" if split["is_next"] else "the first one is random"
    return f"{split['service']} (split: {shares}; {why})"


def _queue_text(queue: Mapping[str, Any]) -> str:
    wait = queue["estimated_wait_s"]
    estimate = "of unknown length" if wait is None else f"of {wait:.2f} s"
    text = f"by {queue['policy']}, {queue['length']} wait, {queue['ahead']} go before"
    text += f", estimated wait {estimate}, {queue['max_wait_s']:.2f} s at most"
    return text if queue["is_admitted"] else f"{text}, no room"


def _candidate_text(candidate: Mapping[str, Any]) -> str:
    facts = candidate["facts"]
    place = "-" if candidate["probe_order"] is None else f"{candidate['probe_order']}."
    zone = f"{facts['zone']}{' (own)' if facts['is_local'] else ''}"
    details = [_load_text(facts), "connected" if facts["is_connected"] else "not connected"]
    if facts["in_flight"]:
        details.append(f"{facts['in_flight']} in flight from here")
    if facts["failures"] >= 0.1:
        details.append(f"failures {facts['failures']:.1f}")
    if abs(facts["latency_ratio"] - 1) >= 0.1:
        details.append(f"latency ratio {facts['latency_ratio']:.1f}")
    text = f"{candidate['standing']}: {candidate['reason']}; {', '.join(details)}"
    return f"  {place:>3} {facts['id']:16} {zone:10} {text}"


def _load_text(facts: Mapping[str, Any]) -> str:
    load = facts["load"]
    if load is None:
        return "load unknown"
    text = f"load {load['running']}+{load['waiting']} of {load['slots']}"
    return f"{text} at pace {load['pace']:g}, {facts['load_age_s']:.1f} s ago"


def _verdict_text(verdict: Mapping[str, Any]) -> str:
    match verdict:
        case {"kind": "goes to", "targets": list() as targets}:
            shown = targets[:MAX_SHOWN_TARGETS]
            if len(targets) > len(shown):
                shown = [*shown, f"{len(targets) - len(shown)} others"]
            return f"goes to {' or '.join(shown)}: {verdict['reason']}"
        case {"kind": "waits"}:
            end = f"{verdict['status']} {verdict['code']}{_return_text(verdict)}"
            return (
                f"waits for up to {verdict['at_most_s']:.2f} s: {verdict['reason']};"
                f" then {end} if none is free"
            )
    end = f"{verdict['status']} {verdict['code']}{_return_text(verdict)}"
    return f"is refused at once with {end}: {verdict['reason']}"


def _return_text(verdict: Mapping[str, Any]) -> str:
    seconds = verdict["retry_after_s"]
    if seconds is None:
        return ""
    first, last = (f"{each:.2f}" for each in seconds)
    return f" and return after {first}" + (f" to {last} s" if first != last else " s")

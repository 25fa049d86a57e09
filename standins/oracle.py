"""Invariants of the soak, checked only against the records of callers and targets."""

import collections
import json
from collections.abc import Iterable, Mapping

from standins.callers import NOT_EXECUTED_STATUSES, CallerAttempt
from standins.target import Run

# The users' bound on a stated rate limit: in any window, this multiple of it and some requests.
LIMIT_WINDOW_S = 4.0
LIMIT_MULTIPLE = 1.5
LIMIT_SLACK = 5


def find_violations(attempts: Iterable[CallerAttempt], runs: Iterable[Run]) -> list[str]:
    """Returns a message for each violated invariant.

    A request must reach targets unchanged and run only as often as its kind allows. One that is not
    idempotent must not have run if its response states that it was not executed. Each response must
    belong to its request, and a success must be complete and come from a target that ran it.

    Args:
        attempts: requests as sent by callers, with the responses that they received.
        runs: requests that targets started to run.
    """
    attempts_by_id = {attempt.id: attempt for attempt in attempts}
    runs_by_id = collections.defaultdict(list)
    for run in runs:
        runs_by_id[run.request_id].append(run)
    messages = [
        message
        for request_id, request_runs in runs_by_id.items()
        for message in _find_run_violations(request_id, request_runs, attempts_by_id)
    ]
    for attempt in attempts_by_id.values():
        messages += _response_violations(attempt, runs_by_id[attempt.id])
    return messages


def _find_run_violations(
    request_id: str, runs: list[Run], attempts_by_id: Mapping[str, CallerAttempt]
) -> Iterable[str]:
    attempt = attempts_by_id.get(request_id)
    if attempt is None:
        yield f"{request_id} ran at {runs[0].target} but no caller sent it"
        return
    for run in runs:
        if (run.method, run.path, run.body) != (attempt.kind.method, attempt.path, attempt.body):
            yield f"{request_id} ran at {run.target} with method, path or body changed"
    if len(runs) > 1 and not attempt.kind.is_idempotent:
        yield f"{request_id} ran {len(runs)} times and is not idempotent"
    if len(runs) > attempt.kind.max_targets:
        yield f"{request_id} ran at {len(runs)} targets, the maximum is {attempt.kind.max_targets}"


def _response_violations(attempt: CallerAttempt, runs: list[Run]) -> Iterable[str]:
    if attempt.status in NOT_EXECUTED_STATUSES and runs and not attempt.kind.is_idempotent:
        yield f"{attempt.id} was answered {attempt.status}, but ran at {runs[0].target}"
    if attempt.status and attempt.response_id != attempt.id:
        yield f"{attempt.id} got the response to {attempt.response_id or 'no request'}"
    if attempt.status != 200:
        return
    try:
        document = json.loads(attempt.response_body)
    except ValueError:
        yield f"{attempt.id} got a success with a truncated body"
        return
    if (document["id"], document["path"]) != (attempt.id, attempt.path):
        yield f"{attempt.id} got a success with the body of {document['id']}"
    if document["target"] not in {run.target for run in runs}:
        yield f"{attempt.id} got a success of {document['target']}, which did not run it"


def find_rate_limit_violation(
    target: str, arrived_at: Iterable[float], limit: float, since: float
) -> list[str]:
    """Returns a message if a target got more requests and probes than its stated limit allows.

    Args:
        target: id of the target.
        arrived_at: when requests and probes arrived, on the system's monotonic clock, in seconds.
        limit: the stated limit, in requests per second.
        since: when all nodes must know it, on the same clock.
    """
    times = sorted(at for at in arrived_at if at >= since)
    greatest = max(
        (sum(start <= at <= start + LIMIT_WINDOW_S for at in times) for start in times), default=0
    )
    allowed = limit * LIMIT_WINDOW_S * LIMIT_MULTIPLE + LIMIT_SLACK
    if greatest <= allowed:
        return []
    return [
        f"{target} got {greatest} requests and probes in {LIMIT_WINDOW_S:g} s,"
        f" its limit of {limit:g} a second allows {allowed:g}"
    ]

"""What callers and targets must have seen, checked from their own records only."""

import collections
import json
from collections.abc import Iterable, Mapping

from standins.callers import PROMISES, CallerAttempt
from standins.target import Run


def violations(attempts: Iterable[CallerAttempt], runs: Iterable[Run]) -> list[str]:
    """Returns a line for each promise that was broken.

    Args:
        attempts: what callers sent and were told.
        runs: what targets began to run.
    """
    sent = {attempt.id: attempt for attempt in attempts}
    ran = collections.defaultdict(list)
    for run in runs:
        ran[run.request_id].append(run)
    found = [
        line for request_id, each in ran.items() for line in _run_faults(request_id, each, sent)
    ]
    for attempt in sent.values():
        found += _answer_faults(attempt, ran[attempt.id])
    return found


def _run_faults(
    request_id: str, runs: list[Run], sent: Mapping[str, CallerAttempt]
) -> Iterable[str]:
    attempt = sent.get(request_id)
    if attempt is None:
        yield f"{request_id} ran at {runs[0].target} and no caller sent it"
        return
    for run in runs:
        if (run.method, run.path, run.body) != (attempt.kind.method, attempt.path, attempt.body):
            yield f"{request_id} ran at {run.target} with method, path or body changed"
    if len(runs) > 1 and not attempt.kind.may_repeat:
        yield f"{request_id} ran {len(runs)} times and may run once"
    if len(runs) > attempt.kind.most_targets:
        yield f"{request_id} ran at {len(runs)} targets, {attempt.kind.most_targets} are allowed"


def _answer_faults(attempt: CallerAttempt, runs: list[Run]) -> Iterable[str]:
    if attempt.status in PROMISES and runs and not attempt.kind.may_repeat:
        yield f"{attempt.id} was answered {attempt.status} and ran at {runs[0].target}"
    if attempt.status and attempt.answers_id != attempt.id:
        yield f"{attempt.id} got the answer of {attempt.answers_id or 'no request'}"
    if attempt.status != 200:
        return
    try:
        document = json.loads(attempt.answer)
    except ValueError:
        yield f"{attempt.id} got a success whose body is cut"
        return
    if (document["id"], document["path"]) != (attempt.id, attempt.path):
        yield f"{attempt.id} got a success with the body of {document['id']}"
    if document["target"] not in {run.target for run in runs}:
        yield f"{attempt.id} got a success of {document['target']}, which did not run it"

"""Checks of keys and tenants, from the records of callers, targets and the operator."""

import itertools
from collections.abc import Iterable, Sequence

from orioleloft_adapter import headers as wire
from standins.soak.records import CONFIG_DEADLINE_S, LOOPBACK_MARGIN_S, Configuration, Records
from standins.target import Run

UNAUTHORIZED = 401


def find_key_violations(records: Records) -> Iterable[str]:
    """Yields a message for each request that ran or was refused against the configurations.

    A node in touch judges by a version that was in force within the last `CONFIG_DEADLINE_S`; any
    other node may hold any version written so far. Messages name no keys.
    """
    runs_by_id: dict[str, list[Run]] = {}
    for run in records.runs:
        runs_by_id.setdefault(run.request_id, []).append(run)
    for attempt in records.attempts:
        runs = runs_by_id.get(attempt.id, [])
        node = records.node_of_host.get(attempt.node_host, "")
        lag = CONFIG_DEADLINE_S + LOOPBACK_MARGIN_S
        is_in_touch = records.was_in_touch(node, attempt.sent_at, lag)
        since = attempt.sent_at - lag if is_in_touch else 0.0
        if attempt.status == UNAUTHORIZED:
            possible = _in_force(records.configurations, since, attempt.ended_at)
            if runs:
                yield f"{attempt.id} was answered 401, but ran at {runs[0].target}"
            if all(attempt.key in each.tenant_of for each in possible):
                yield f"{attempt.id} was answered 401 by {node}, but its key was in force"
        for run in runs:
            possible = _in_force(records.configurations, since, run.at)
            yield from _run_violations(run, attempt.key, node, possible, records.configurations)


def _in_force(
    configurations: Sequence[Configuration], since: float, until: float
) -> list[Configuration]:
    """Returns the versions that were in force at any time between two times."""
    return [
        each
        for each, successor in itertools.zip_longest(configurations, configurations[1:])
        if each.written_at <= until and (successor is None or successor.confirmed_at >= since)
    ]


def _run_violations(
    run: Run,
    key: str,
    node: str,
    possible: Sequence[Configuration],
    configurations: Sequence[Configuration],
) -> Iterable[str]:
    where = f"{run.request_id} of {node} ran at {run.target}"
    if not configurations:
        return
    if any(name.lower() == wire.AUTHORIZATION.lower() for name in run.identity):
        yield f"{where}, which saw its key"
    if not any(key in each.tenant_of for each in configurations):
        yield f"{where}, but no configuration ever held its key"
        return
    tenants = {each.tenant_of[key] for each in possible if key in each.tenant_of}
    if not tenants:
        yield f"{where} after its key was removed"
        return
    stated = {name: value for name, value in run.identity.items() if "tenant" in name.lower()}
    if stated not in [{wire.TENANT: name} for name in tenants]:
        yield f"{where}, which was told {stated} in place of {' or '.join(sorted(tenants))}"

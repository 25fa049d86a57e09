"""Verdict on a soak run: all checks of its records."""

from standins.oracle import find_violations
from standins.soak.allotmentchecks import find_allotment_violations
from standins.soak.configchanges import find_refused_headers
from standins.soak.keychecks import find_key_violations
from standins.soak.leavers import find_late_runs
from standins.soak.records import Records
from standins.soak.targetchecks import (
    find_lost_targets,
    find_status_violations,
    find_target_violations,
)


def judge(records: Records) -> list[str]:
    """Returns a message for each violated invariant."""
    return [
        *find_violations(records.attempts, records.runs),
        *find_key_violations(records),
        *find_allotment_violations(records),
        *find_target_violations(records),
        *find_status_violations(records),
        *find_lost_targets(records),
        *find_refused_headers(records),
        *find_late_runs(records),
    ]

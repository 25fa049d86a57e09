"""Check of the allotments of tenants, from the records of targets."""

from collections.abc import Iterable

from orioleloft_adapter import headers as wire
from standins.soak.records import Records

# Limits of the users on the runs of a tenant in any window.
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20.0


def find_allotment_violations(records: Records) -> Iterable[str]:
    """Yields a message for each tenant of which too many requests ran in a window."""
    for tenant, allotment in records.allotments.items():
        times = sorted(run.at for run in records.runs if run.identity.get(wire.TENANT) == tenant)
        allowed = (allotment.rate_per_s * WINDOW_S + allotment.burst) * (1 + OVERAGE) + SLACK
        greatest, last = 0, 0
        for first, start in enumerate(times):
            while last < len(times) and times[last] <= start + WINDOW_S:
                last += 1
            greatest = max(greatest, last - first)
        if greatest > allowed:
            yield f"{greatest} requests of {tenant} ran in {WINDOW_S:g} s, {allowed:g} may"

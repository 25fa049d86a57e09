"""One soak run, from the start of the processes to the verdict."""

import asyncio
import pathlib
import random

from standins.callers import CallerAttempt
from standins.oracle import find_violations
from standins.processes import Processes, killing_at_exit
from standins.soak.cluster import Cluster
from standins.soak.faults import Fault, FaultInjector
from standins.soak.load import Load
from standins.soak.recovery import Recovery

# Time within which the fleet must serve again after the last fault, in seconds; the users' bound is
# 15 s. Runs that must not depend on the speed of the machine pass `HANG_TIMEOUT_S` instead.
RECOVERY_TIMEOUT_S = 15.0


async def run_soak(
    run_dir: pathlib.Path,
    seed: int,
    seconds: float,
    nodes: int,
    callers: int,
    recovery_timeout: float = RECOVERY_TIMEOUT_S,
) -> tuple[list[Fault], list[str], list[CallerAttempt]]:
    """Runs one soak from the start of the processes to their end.

    Args:
        run_dir: directory for the settings and logs of the processes.
        seed: seed of the random choices of faults, callers and requests.
        seconds: duration of the fault injection.
        nodes: number of entry nodes.
        callers: number of concurrent callers.
        recovery_timeout: time for all nodes to serve again after the last fault, in seconds.

    Returns:
        The injected faults, a message for each violated invariant, and the attempts of callers.

    Raises:
        TimeoutError: a process did not start or stop within `HANG_TIMEOUT_S`.
    """
    with killing_at_exit(Processes(run_dir)) as processes:
        cluster = Cluster(run_dir, processes, nodes)
        rng = random.Random(seed)
        load = Load(cluster, rng)
        injector = FaultInjector(cluster, rng)
        recovery = Recovery(cluster, load, rng)
        try:
            await cluster.start()
            sending = asyncio.get_running_loop().create_task(load.run(callers))
            await asyncio.sleep(1.0)
            faults = await injector.inject_faults(seconds)
            await recovery.recover(recovery_timeout)
            await recovery.check_rate_limits()
            await recovery.stop_nodes()
            await sending
            failures = cluster.failures + find_violations(load.attempts, cluster.runs())
            return faults, failures, load.attempts
        finally:
            await cluster.close()

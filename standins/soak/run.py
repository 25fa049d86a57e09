"""One soak run, from the start of the processes to the verdict."""

import asyncio
import itertools
import pathlib
import random

from standins.callers import CallerAttempt
from standins.processes import Processes, killing_at_exit
from standins.soak.changes import ChangeInjector, draw_plan
from standins.soak.cluster import Cluster
from standins.soak.configchanges import ConfigurationChanger
from standins.soak.faults import Fault, FaultInjector
from standins.soak.judging import judge
from standins.soak.leavers import LeavingCallers
from standins.soak.load import Load
from standins.soak.operator import ALLOTMENTS, Operator
from standins.soak.records import Records
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
        rng = random.Random(seed)
        # Draws of their own, so that the faults of a seed stay as they were without them.
        change_rng = random.Random(f"{seed} changes")
        plan = draw_plan(change_rng)
        contracts = "quota" if plan.has_tenants else ""
        cluster = Cluster(run_dir, processes, nodes, contracts, plan.has_restores)
        operator = Operator(cluster, change_rng, plan.has_tenants)
        changes = ChangeInjector(cluster, operator, plan, change_rng)
        key_rng = random.Random(f"{seed} keys") if plan.has_tenants else None
        config_rng = random.Random(f"{seed} configuration")
        changer = ConfigurationChanger(operator, cluster, config_rng)
        load = Load(cluster, rng, key_rng, changer.long_header)
        key = "key-of-main" if plan.has_tenants else ""
        hosts = list(cluster.node_hosts.values())
        leavers = LeavingCallers(
            hosts, cluster.ports["front"], key, random.Random(f"{seed} leavers")
        )
        injector = FaultInjector(cluster, rng)
        recovery = Recovery(cluster, load, rng, key)
        try:
            await cluster.start_store()
            await operator.write_first_keys()
            await cluster.start()
            sending = asyncio.get_running_loop().create_task(load.run(callers))
            await asyncio.sleep(1.0)
            *injected, _, _ = await asyncio.gather(
                injector.inject_faults(seconds),
                changes.inject_changes(seconds),
                changer.run(seconds),
                leavers.run(seconds),
            )
            load.callers.append(leavers)
            faults = sorted(itertools.chain(*injected), key=lambda fault: fault.start_s)
            await recovery.recover(recovery_timeout)
            await operator.change_keys()
            await recovery.check_rate_limits()
            await recovery.stop_nodes()
            await sending
            records = Records(
                attempts=load.attempts,
                runs=cluster.runs(),
                arrivals=cluster.arrivals(),
                statements=cluster.statements(),
                node_of_host={host: name for name, host in cluster.node_hosts.items()},
                disturbances=cluster.disturbances.entries,
                configurations=operator.configurations,
                allotments=ALLOTMENTS,
                removals=changes.removals,
                reached_at=recovery.reached_at,
                zone_of={name: cluster.zone_of(name) for name in cluster.targets},
                recovered_at=recovery.recovered_at,
            )
            return faults, cluster.failures + judge(records), load.attempts
        finally:
            await cluster.close()

"""Stateful fuzzing of membership, leases and spread against a simple oracle."""

import os
import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule, run_state_machine_as_test

from tests.support.fleet import GROUPS, NAMES, World

IS_FUZZ = "ORIOLELOFT_FUZZ" in os.environ
EXAMPLES = 1000 if IS_FUZZ else 25
STEPS = 40

# Back-off after an outage (10 s), start of a seat (4 s), suspicion (3 s), proposal (2 s), spread of
# the epoch and fencing (5 s), with as much again for a second proposal.
SETTLING_S = 40.0

SEAT = st.sampled_from(NAMES)
SEATS = st.sets(SEAT, min_size=1, max_size=3)


class ControlMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**32))
    def begin(self, seed):
        self.world = World(seed)
        self.world.platform.version = 1
        for seat in NAMES:
            self.world.start(seat)
        self.world.run(12)

    @rule(seconds=st.sampled_from((0.2, 1, 2, 3, 4, 6, 9)))
    def run_for(self, seconds):
        self.world.run(seconds)

    @rule(seats=SEATS)
    def kill(self, seats):
        for seat in seats:
            self.world.owner[seat].is_alive = False

    @rule(seats=SEATS, dies=st.booleans())
    def replace(self, seats, dies):
        """Starts new incarnations; the former ones may live on without the address."""
        for seat in seats:
            self.world.owner[seat].is_alive &= not dies
            self.world.start(seat)

    @rule(seats=SEATS)
    def pause(self, seats):
        for seat in seats:
            self.world.owner[seat].is_paused = True

    @rule()
    def resume(self):
        for process in [item for item in self.world.processes if item.is_paused]:
            self.world.resume(process)

    @rule(seats=SEATS, seconds=st.sampled_from((0, 5, 9)))
    def cut(self, seats, seconds):
        self.world.side = {seat: int(seat in seats) for seat in NAMES}
        self.world.run(seconds)

    @rule(group=st.sampled_from(GROUPS), other=SEAT)
    def cut_holder(self, group, other):
        """Leaves the holder of a group with at most one other seat."""
        users = {item.seat for item in self.world.users(group)}
        self.world.side = {seat: int(seat in users | {other}) for seat in NAMES}

    @rule(group=st.sampled_from(GROUPS), lag_s=st.sampled_from((0, 2.5)), sleeps=st.booleans())
    def replace_holder(self, group, lag_s, sleeps):
        """Replaces a holder that lives on with pongs still on their way to it."""
        holders = self.world.users(group)
        for process in holders:
            self.world.lag[process.seat] = lag_s
        self.world.run(2)
        for process in holders:
            process.is_paused = sleeps
            self.world.start(process.seat)
        self.world.lag = {}
        self.world.run(2.5)
        self.resume()
        self.world.run(2)

    @rule(group=st.sampled_from(GROUPS), other=SEAT, moved=SEAT)
    def restart_on_the_old_side(self, group, other, moved):
        """Restarts a seat without platform among the few that have not heard of a takeover."""
        self.cut_holder(group, other)
        self.world.run(9)
        self.world.platform.mode = "down"
        self.replace([moved], True)
        self.world.side[moved] = 1
        self.world.run(6)
        self.join()
        self.world.run(1)

    @rule()
    def join(self):
        self.world.side = dict.fromkeys(NAMES, 0)

    @rule(
        drop=st.sampled_from((0, 0.1, 0.4)),
        duplicate=st.sampled_from((0, 0.3)),
        delay_s=st.sampled_from((0.01, 0.8, 4.0)),
    )
    def disturb(self, drop, duplicate, delay_s):
        self.world.drop, self.world.duplicate = drop, duplicate
        self.world.delay_s = delay_s

    @rule(mode=st.sampled_from(("up", "up", "down", "slow", "lossy")))
    def set_platform(self, mode):
        self.world.platform.mode = mode

    @rule()
    def publish(self):
        self.world.platform.version += self.world.platform.mode != "down"

    @rule(seat=SEAT)
    def leave(self, seat):
        self.world.owner[seat].lifecycle.handle("stop")

    def heal(self):
        world = self.world
        self.join()
        self.disturb(0, 0, 0.01)
        world.platform.mode = "up"
        self.resume()
        for process in list(world.owner.values()):
            if not process.is_alive or process.lifecycle.state in ("leaving", "stopped"):
                self.replace([process.seat], True)
        world.run(SETTLING_S)
        for process in world.owner.values():
            version = process.spread.catalog.version
            assert version == world.platform.version, f"{process.seat} has version {version}"
            assert process.spread.is_fresh(process.now, process.membership)
        for group in GROUPS:
            assert len(world.users(group)) == 1, f"{group} has no usable holder"

    def teardown(self):
        if not hasattr(self, "world"):
            return
        self.heal()
        for process in self.world.processes:
            check_budget(process.calls)


def check_budget(calls):
    """Checks each pair of calls against 2 calls a second and a burst of 10."""
    for first, begin in enumerate(calls):
        for last in range(first, len(calls)):
            allowed = 10 + 2 * (calls[last] - begin) + 1e-6
            assert last - first + 1 <= allowed, f"call {last} exceeds the budget"


class ControlTest(unittest.TestCase):
    def test_control_under_faults(self):
        """Guards against two users of one group, lost versions, and a fleet that never heals."""
        run_state_machine_as_test(
            ControlMachine,
            settings=settings(
                derandomize=not IS_FUZZ,
                max_examples=EXAMPLES,
                stateful_step_count=STEPS,
                deadline=None,
                database=None,
                suppress_health_check=list(HealthCheck),
            ),
        )


if __name__ == "__main__":
    unittest.main()

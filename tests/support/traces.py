"""Records the traces in tests/traces; `python -m tests.support.traces` writes all of them anew."""

import dataclasses
import io
import pathlib

from orioleloft_core.settings import FleetSettings
from tests.support.fleet import SEATS, make_settings
from tests.support.nodefleet import TARGET_IDS, NodeWorld

FOLDER = pathlib.Path(__file__).parent.parent / "traces"
GROUP = "ledger#0"
# One seat in each zone.
FLEET = FleetSettings(tuple(SEATS[index] for index in (0, 2, 4)))
NAMES = FLEET.names
SEAT = NAMES[1]
# Start of the fleet and fencing.
START_S = 8.5


class TraceWorld(NodeWorld):
    """A world of three nodes with few ticks, so that its traces stay small."""

    tick_s = 0.1

    def settings(self, seat):
        return dataclasses.replace(make_settings(seat), fleet=FLEET)


def begin(seed, served=3):
    """Returns a fleet that has served requests; the node on `SEAT` is recorded."""
    world, file = TraceWorld(seed), io.StringIO()
    world.withdrawn = set(TARGET_IDS[2:])
    world.publish()
    world.traces[SEAT] = file
    for name in NAMES:
        world.start(name)
    world.run(START_S)
    for number in range(served):
        world.later(0.02 * number, lambda: world.submit(world.owner[SEAT]))
    world.run(0.02 * served + 0.1)
    return world, world.owner[SEAT], file


def holder_of(world):
    return world.owner[world.owner[NAMES[0]].node.holder_seat(GROUP)]


def holder_dies():
    """The holder dies; the recorded node uses bypass until another holder is past its fence."""
    world, process, file = begin(1, served=22)
    holder = holder_of(world)
    assert holder is not process
    holder.die()
    for _ in range(3):
        world.submit(process)
        world.run(0.2)
    world.run(7)
    world.submit(process)
    world.run(0.5)
    return file


def key_is_sealed():
    """A key comes to another node first, so its owner seals it and then refuses to run it."""
    world, process, file = begin(2)
    key = world.key_of(process)
    world.submit(world.owner[NAMES[2]], key, "sealed")
    world.run(0.1)
    world.submit(process, key, "sealed")
    world.submit(process, world.key_of(process), "kept")
    world.run(0.2)
    return file


def zone_closes():
    """Operators close a zone; the recorded node starts nothing there once it has the catalog."""
    world, process, file = begin(3)
    world.closed_zones = {"south"}
    world.publish()
    for _ in range(10):
        world.submit(process)
        world.run(0.3)
    return file


def platform_outage():
    """The platform is down for longer than the freshness; the node goes on serving."""
    world, process, file = begin(4)
    world.platform.mode = "down"
    world.run(6)
    for _ in range(5):
        world.submit(process)
        world.run(0.1)
    return file


def node_pauses():
    """The node pauses while a grant is on its way; it gives the grant back and starts nothing."""
    world, process, file = begin(5, served=22)
    world.submit(process, deadline_s=10)
    process.is_paused = True
    world.run(2)
    world.resume(process)
    world.run(1)
    return file


SCENARIOS = (holder_dies, key_is_sealed, zone_closes, platform_outage, node_pauses)


def main():
    """Writes all traces."""
    FOLDER.mkdir(exist_ok=True)
    for scenario in SCENARIOS:
        (FOLDER / f"{scenario.__name__}.jsonl").write_text(scenario().getvalue())


if __name__ == "__main__":
    main()

"""Command line of the entry node: `orioleloftd --settings FILE [--check]`."""

import asyncio
import random
import secrets
import signal
import sys
import time
from collections.abc import Sequence

from absl import app, flags

from orioleloft_core import settingsfile
from orioleloft_core.errors import SettingsError
from orioleloft_core.node import Node
from orioleloft_core.settings import Settings
from orioleloft_core.trace import Recorder
from orioleloft_platform.catalogstore import CatalogStore
from orioleloft_platform.objectstore import HttpObjectStore
from orioleloftd import links, logs
from orioleloftd.runner import Runner, boot_time

EXIT_SETTINGS = 2
INCARNATION_BYTES = 8
SEED_BITS = 64

_SETTINGS = flags.DEFINE_string("settings", None, "settings file of the node")
_CHECK = flags.DEFINE_boolean("check", False, "check the settings file and exit")


def main(argv: Sequence[str]) -> int:
    """Checks the settings and runs the node; returns the exit code."""
    del argv
    if _CHECK.value:
        return check(_SETTINGS.value)
    try:
        settings = _read(_SETTINGS.value)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    logs.set_up(settings.output.log_level, settings.node.name)
    asyncio.run(_serve(settings))
    return 0


def check(path: str) -> int:
    """Prints all faults of a settings file; returns the exit code."""
    try:
        _read(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    print(f"{path}: no faults found")
    return 0


def _read(path: str) -> Settings:
    settings = settingsfile.read_file(path)
    links.check_keys(settings)
    return settings


async def _serve(settings: Settings) -> None:
    incarnation = secrets.token_hex(INCARNATION_BYTES)
    seed = secrets.randbits(SEED_BITS)
    node = Node(settings, incarnation, int(time.time() * 1000), random.Random(seed))
    store = HttpObjectStore(settings.platform.address)
    platform = CatalogStore(store, settings.platform.watch_ms, boot_time)
    if not settings.output.trace_path:
        await Runner(settings, node, platform, incarnation).run()
        return
    with open(settings.output.trace_path, "w", encoding="utf-8") as file:
        await Runner(settings, Recorder(node, seed, file), platform, incarnation).run()


def run() -> None:
    """Entry point of the `orioleloftd` command."""
    # Until the loop takes over, a stop finds nothing in flight and ends the process with code 0.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))
    flags.mark_flag_as_required("settings")
    app.run(main)


if __name__ == "__main__":
    run()

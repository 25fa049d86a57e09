"""Randomized soak test: `python -m standins.soak --seed 1 --seconds 20`.

Entry nodes, an emulated store and emulated targets run as separate processes on loopback while
callers send requests over persistent connections. Faults are injected from outside the processes:
links to the store and to targets are delayed, reset, blackholed or cut in one direction; processes
are killed, paused, stopped and restarted. At the end all faults are cleared, the fleet has to
recover, and the nodes are stopped gracefully. Exits with 0 if no invariant was violated.
"""

from standins.soak.cluster import HANG_TIMEOUT_S
from standins.soak.run import run_soak

__all__ = ["HANG_TIMEOUT_S", "run_soak"]

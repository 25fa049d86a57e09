"""Starts and ends the processes of a demonstration, test or benchmark on loopback."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

HOST = "127.0.0.1"
POLL_SECONDS = 0.05
# Time for one call of the operators' command, in seconds.
PUBLISH_SECONDS = 20.0


class Processes:
    """Processes that this object started; it ends no others.

    Args:
        folder: where output of the processes goes.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._running: dict[str, subprocess.Popen] = {}

    def start(
        self, name: str, *arguments: str, env: Mapping[str, str] | None = None
    ) -> subprocess.Popen:
        """Starts `python arguments`, with its output in `name.log`."""
        with open(self._folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                env={**os.environ, **(env or {})},
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )
        self._running[name] = process
        return process

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self._running[name].send_signal(number)

    def pid(self, name: str) -> int:
        """Returns the id of a process."""
        return self._running[name].pid

    def wait(self, name: str, seconds: float) -> int:
        """Waits for the end of a process and returns its exit code.

        Raises:
            subprocess.TimeoutExpired: it did not end in time.
        """
        code = self._running[name].wait(seconds)
        del self._running[name]
        return code

    def has_ended(self, name: str) -> bool:
        """Whether a process has ended."""
        return self._running[name].poll() is not None

    def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        process = self._running.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def log(self, name: str) -> str:
        """Returns the output of a process."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    def close(self) -> None:
        """Ends all processes that still run."""
        for process in self._running.values():
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGCONT)
            process.kill()
            process.wait()
        self._running.clear()


def write_node_settings(
    folder: pathlib.Path,
    name: str,
    *,
    host: str,
    ports: Mapping[str, int],
    zone: str,
    store: str,
    seeds: Sequence[str],
    grace_period: float,
    is_first_start: bool,
) -> pathlib.Path:
    """Writes the settings file of an entry node; returns its path."""
    lines = [
        f"node={name}",
        f"zone={zone}",
        f"platform.address={store}",
        f"seeds={','.join(seeds)}",
        f"bootstrap={str(is_first_start).lower()}",
        f"bounds=grace_period={grace_period:g}s",
        *(f"listen.{service}={host}:{port}" for service, port in ports.items()),
    ]
    path = folder / f"{name}.conf"
    path.write_text("\n".join(lines) + "\n")
    return path


def publish(folder: pathlib.Path, note: pathlib.Path) -> None:
    """Publishes a release note with the operators' command and the settings in a folder.

    Raises:
        subprocess.SubprocessError: the command failed or took too long.
    """
    settings = f"--settings={folder / 'orioleloft.ini'}"
    command = [sys.executable, "-m", "orioleloft.main", settings, "publish", str(note)]
    subprocess.run(command, check=True, timeout=PUBLISH_SECONDS, stdout=subprocess.DEVNULL)


def free_ports(count: int) -> list[int]:
    """Returns loopback ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((HOST, 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def fetch_json(address: str, path: str, body: Any = None) -> Any:
    """Gets, or with a body posts, JSON.

    Raises:
        OSError: no answer, or an error status.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data)
    with urllib.request.urlopen(request, timeout=5) as response:
        text = response.read()
    return json.loads(text) if text else None


def wait_until(what: str, seconds: float, check: Any) -> None:
    """Polls a condition; connection errors count as not yet met.

    Raises:
        TimeoutError: the condition was not met in time.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        with contextlib.suppress(OSError, urllib.error.URLError):
            if check():
                return
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f"{what}: not within {seconds:g} s.")


@contextlib.contextmanager
def closing(processes: Processes) -> Iterator[Processes]:
    """Ends all processes at the end of a block."""
    try:
        yield processes
    finally:
        processes.close()

"""Manages the processes of a demonstration, test or benchmark on loopback."""

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
POLL_INTERVAL_S = 0.05
# Timeout for a call of the operators' command, in seconds.
PUBLISH_TIMEOUT_S = 20.0


class Processes:
    """Named child processes; only processes started here are signalled or killed.

    Args:
        folder: directory for the logs of the processes.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._running: dict[str, subprocess.Popen] = {}

    def start(
        self, name: str, *arguments: str, env: Mapping[str, str] | None = None
    ) -> subprocess.Popen:
        """Starts `python arguments` and appends its output to `name.log`.

        Args:
            name: name of the process in the other methods.
            arguments: arguments of the Python interpreter.
            env: variables added to the environment of this process.
        """
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

    def signal(self, name: str, signal_number: signal.Signals) -> None:
        """Sends a signal to a process that has not been waited for or killed."""
        self._running[name].send_signal(signal_number)

    def pid(self, name: str) -> int:
        """Returns the process id."""
        return self._running[name].pid

    def wait(self, name: str, timeout: float) -> int:
        """Waits until a process exits and forgets it; returns its exit code, or minus the signal.

        Raises:
            subprocess.TimeoutExpired: it did not exit within `timeout` seconds.
        """
        code = self._running[name].wait(timeout)
        del self._running[name]
        return code

    def has_ended(self, name: str) -> bool:
        """Whether a process has exited."""
        return self._running[name].poll() is not None

    def kill(self, name: str) -> None:
        """Sends SIGKILL to a process and waits until it exits."""
        process = self._running.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def log(self, name: str) -> str:
        """Returns stdout and stderr of all processes started under this name."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    def close(self) -> None:
        """Kills all processes that still run, paused ones included."""
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
    is_fleet_bootstrap: bool,
    contracts: str = "",
) -> pathlib.Path:
    """Writes the settings file of an entry node.

    Args:
        folder: directory for the file.
        name: node name, also the stem of the file name.
        host: IP address to listen on.
        ports: port of each listener by its name in the settings.
        zone: availability zone of the node.
        store: HOST:PORT of the platform's store.
        seeds: HOST:PORT of the control listeners of seed nodes.
        grace_period: time between the request to stop and the kill, in seconds.
        is_fleet_bootstrap: whether the node may start without reaching another one.
        contracts: parts of the platform's rules that are in force, or empty for none.

    Returns:
        The path of the file.
    """
    settings = [
        f"node={name}",
        f"zone={zone}",
        f"platform.address={store}",
        f"seeds={','.join(seeds)}",
        f"bootstrap={str(is_fleet_bootstrap).lower()}",
        f"bounds=grace_period={grace_period:g}s",
        *(f"listen.{service}={host}:{port}" for service, port in ports.items()),
    ]
    if contracts:
        settings.append(f"contracts={contracts}")
    path = folder / f"{name}.conf"
    path.write_text("\n".join(settings) + "\n")
    return path


def publish(folder: pathlib.Path, note: pathlib.Path) -> None:
    """Publishes a release note with the operators' command.

    Args:
        folder: directory with the command's settings, `orioleloft.ini`.
        note: path of the release note.


    Raises:
        subprocess.SubprocessError: the command failed or took too long.
    """
    settings = f"--settings={folder / 'orioleloft.ini'}"
    command = [sys.executable, "-m", "orioleloft.main", settings, "publish", str(note)]
    subprocess.run(command, check=True, timeout=PUBLISH_TIMEOUT_S, stdout=subprocess.DEVNULL)


def free_ports(count: int) -> list[int]:
    """Returns distinct loopback ports that are free now; another process may still take them."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((HOST, 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def fetch_json(address: str, path: str, body: Any = None) -> Any:
    """Sends a GET, or a POST if there is a body, and returns the decoded JSON or None.

    Raises:
        OSError: no response within 5 s, or an error status.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data)
    with urllib.request.urlopen(request, timeout=5) as response:
        text = response.read()
    return json.loads(text) if text else None


def wait_until(description: str, timeout: float, condition: Any) -> None:
    """Polls a condition until it is true; connection errors count as false.

    Args:
        description: start of the message of the timeout.
        timeout: time limit, in seconds.
        condition: function without arguments.

    Raises:
        TimeoutError: the condition did not become true in time.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, urllib.error.URLError):
            if condition():
                return
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"{description}: not within {timeout:g} s.")


@contextlib.contextmanager
def killing_at_exit(processes: Processes) -> Iterator[Processes]:
    """Kills all processes that still run at the end of a `with` block."""
    try:
        yield processes
    finally:
        processes.close()

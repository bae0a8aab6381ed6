"""Starts, signals and stops the programs of an experiment."""

from __future__ import annotations

import os
from pathlib import Path
import signal
import subprocess
import sys
import tempfile
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Mapping

STOP_TIMEOUT_S = 10.0
# Fields of /proc/PID/stat, counted after the program name.
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12


@value_class
class StartedProgram:
    """A program and its process."""

    name: str
    process: subprocess.Popen[bytes]


class Launcher:
    """Processes of one experiment and their log files."""

    def __init__(self, environ: Mapping[str, str]) -> None:
        self._environ = {**os.environ, **environ}
        self._bin = Path(sys.executable).parent
        self.logs = Path(tempfile.mkdtemp(prefix="mulberry-bench-"))
        self._started: dict[str, StartedProgram] = {}

    def start(self, name: str, program: str, *flags: str) -> None:
        """Start a program under a unique name."""
        with (self.logs / f"{name}.log").open("wb") as log:
            process = subprocess.Popen(
                [str(self._bin / program), *flags],
                stdout=log,
                stderr=log,
                env=self._environ,
            )
        self._started[name] = StartedProgram(name, process)

    def call(self, program: str, *flags: str) -> str:
        """Run a command and return its standard output.

        :raises ChildProcessError: if the command fails
        """
        completed = subprocess.run(
            [str(self._bin / program), *flags],
            capture_output=True,
            text=True,
            check=False,
            env=self._environ,
        )
        if completed.returncode:
            raise ChildProcessError(completed.stdout + completed.stderr)
        return completed.stdout

    def send_signal(self, name: str, signum: signal.Signals) -> None:
        """Send a signal to a program."""
        self._started[name].process.send_signal(signum)

    def wait(self, name: str, timeout_s: float) -> int | None:
        """Wait for a program and return its exit status, None on timeout."""
        try:
            return self._started[name].process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def cpu_time_s(self, name: str) -> float:
        """Return the processor time that a program has used."""
        pid = self._started[name].process.pid
        stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
        return ticks / os.sysconf("SC_CLK_TCK")

    def exited(self) -> list[str]:
        """Return the names of the programs that have exited."""
        return [
            s.name
            for s in self._started.values()
            if s.process.poll() is not None
        ]

    def stop_all(self) -> None:
        """Kill all running programs and wait for their exit."""
        for started in self._started.values():
            if started.process.poll() is None:
                started.process.send_signal(signal.SIGCONT)
                started.process.kill()
        for started in self._started.values():
            started.process.wait(STOP_TIMEOUT_S)


__all__ = ["Launcher", "StartedProgram"]

"""Starts the programs of an experiment, and ends them by their ids."""

from __future__ import annotations

from dataclasses import dataclass
import os
from pathlib import Path
import signal
import subprocess
import sys
import tempfile
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

STOP_TIMEOUT_S = 10.0
USER_TICKS = 11
SYSTEM_TICKS = 12


@dataclass(frozen=True, slots=True)
class Started:
    """One program that was started."""

    name: str
    process: subprocess.Popen[bytes]


class Launcher:
    """Owns the processes of one experiment and the files of their logs."""

    def __init__(self, environ: Mapping[str, str]) -> None:
        self._environ = {**os.environ, **environ}
        self._bin = Path(sys.executable).parent
        self.logs = Path(tempfile.mkdtemp(prefix="mulberry-bench-"))
        self._started: dict[str, Started] = {}

    def start(self, name: str, program: str, *flags: str) -> None:
        """Start a program under a name of its own."""
        with (self.logs / f"{name}.log").open("wb") as log:
            process = subprocess.Popen(
                [str(self._bin / program), *flags],
                stdout=log,
                stderr=log,
                env=self._environ,
            )
        self._started[name] = Started(name, process)

    def call(self, program: str, *flags: str) -> str:
        """Run a command to its end, and give what it wrote.

        :raises subprocess.CalledProcessError: where it fails
        """
        done = subprocess.run(
            [str(self._bin / program), *flags],
            capture_output=True,
            text=True,
            check=False,
            env=self._environ,
        )
        if done.returncode:
            raise ChildProcessError(done.stdout + done.stderr)
        return done.stdout

    def send_signal(self, name: str, signum: signal.Signals) -> None:
        """Send a signal to one program."""
        self._started[name].process.send_signal(signum)

    def wait(self, name: str, timeout_s: float) -> int | None:
        """Wait for a program to end; its status, if it has ended."""
        try:
            return self._started[name].process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def processor_s(self, name: str) -> float:
        """Give the processor time that a program has used."""
        pid = self._started[name].process.pid
        stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])
        return ticks / os.sysconf("SC_CLK_TCK")

    def ended(self) -> list[str]:
        """Name the programs that have ended."""
        return [
            s.name
            for s in self._started.values()
            if s.process.poll() is not None
        ]

    def stop_all(self) -> None:
        """End all programs; those that don't stop are killed."""
        for started in self._started.values():
            if started.process.poll() is None:
                started.process.send_signal(signal.SIGCONT)
                started.process.kill()
        for started in self._started.values():
            started.process.wait(STOP_TIMEOUT_S)


__all__ = ["Launcher", "Started"]

"""Runs the parts of a program from its start to a planned stop."""

from __future__ import annotations

from abc import ABC, abstractmethod
import os
import sys
from typing import TYPE_CHECKING, NoReturn

from mulberrypass.runtime.lifecycle import StopSignal

if TYPE_CHECKING:
    from collections.abc import Callable

EXIT_WHOLE = 0
EXIT_CUT_OFF = 1


class Process(ABC):
    """The parts of one process, wired together."""

    @abstractmethod
    def start(self) -> None:
        """Start all parts, those that face others last."""

    @abstractmethod
    def stop(self) -> bool:
        """Stop as planned.

        :returns: whether everything in flight came to its end
        """


def run(make: Callable[[], Process]) -> NoReturn:
    """Run a process until a stop signal, and end with its exit status.

    The signals are taken before anything is made, so that a stop during
    the start is a planned one too.
    """
    stop = StopSignal()
    stop.install()
    process = make()
    process.start()
    stop.wait()
    whole = process.stop()
    sys.stdout.flush()
    sys.stderr.flush()
    # Threads that wait on others' answers don't hold the process up.
    os._exit(EXIT_WHOLE if whole else EXIT_CUT_OFF)


__all__ = ["Process", "run"]

"""Runs a program from its start to a planned stop."""

from __future__ import annotations

from abc import ABC, abstractmethod
import os
import sys
from typing import TYPE_CHECKING, NoReturn

from mulberrypass.runtime.lifecycle import (
    RELOAD_SIGNAL,
    STOP_SIGNALS,
    SignalQueue,
)
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable
    from signal import Signals

LOG = get_logger(__name__)
EXIT_FINISHED = 0
EXIT_UNFINISHED = 1


class Process(ABC):
    """A process that builds and runs the components of a program."""

    @abstractmethod
    def start(self) -> None:
        """Start all components, the client-facing servers last."""

    def reload(self) -> None:
        """Read settings that may have changed again."""
        LOG.info(
            "nothing to reload", reason="settings are flags and environment"
        )

    @abstractmethod
    def stop(self) -> bool:
        """Finish the work in flight, then stop.

        :returns: whether all work in flight has finished
        """


def run(make: Callable[[], Process]) -> NoReturn:
    """Run a process until a stop signal, then exit.

    The signal handlers are installed before the process is built, so that a
    signal during startup also leads to a planned stop, or to a reload. A
    reload signal during the stop has no effect.
    """
    signals = SignalQueue(*STOP_SIGNALS, RELOAD_SIGNAL)
    signals.install()
    process = make()
    process.start()
    while _next(signals) is RELOAD_SIGNAL:
        process.reload()
    finished = process.stop()
    sys.stdout.flush()
    sys.stderr.flush()
    # Exit without joining threads that still wait for remote answers.
    os._exit(EXIT_FINISHED if finished else EXIT_UNFINISHED)


def _next(signals: SignalQueue) -> Signals:
    signum = signals.get()
    LOG.info("signal received", signal=signum.name)
    return signum


__all__ = ["Process", "run"]

"""Silences the log output of the code under test."""

from __future__ import annotations

import contextlib
import logging
from typing import TYPE_CHECKING

import structlog
from structlog.testing import capture_logs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from structlog.typing import EventDict


def quiet_logs() -> None:
    """Drop all log lines below level critical, in all threads.

    A thread that outlives its test and logs while the interpreter shuts down
    makes the interpreter abort, so no test may leave logging enabled.
    """
    structlog.configure(
        processors=[structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
        logger_factory=structlog.PrintLoggerFactory(),
    )


@contextlib.contextmanager
def captured_logs() -> Iterator[list[EventDict]]:
    """Capture the log lines of all levels, and drop them afterwards."""
    structlog.reset_defaults()
    try:
        with capture_logs() as lines:
            yield lines
    finally:
        quiet_logs()


__all__ = ["captured_logs", "quiet_logs"]

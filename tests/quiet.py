"""Keeps the programs under test from writing to the runner's output."""

from __future__ import annotations

import logging

import structlog


def quiet_logs() -> None:
    """Let only critical lines through, of all threads.

    A thread that outlives its test and writes a line while the interpreter
    ends makes the interpreter abort, so no test may leave logs on.
    """
    structlog.configure(
        processors=[structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
        logger_factory=structlog.PrintLoggerFactory(),
    )


__all__ = ["quiet_logs"]

"""Silences the log output of the code under test."""

from __future__ import annotations

import logging

import structlog


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


__all__ = ["quiet_logs"]

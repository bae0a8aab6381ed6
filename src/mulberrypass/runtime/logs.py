"""Structured logging, with secrets redacted."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, Any

import structlog

from mulberrypass.runtime.log_lines import line_factory

if TYPE_CHECKING:
    from collections.abc import MutableMapping

    from mulberrypass.runtime.log_lines import LineWriter
    from mulberrypass.runtime.log_metrics import EventMetrics

SECRET_FIELDS = frozenset({"key", "authorization", "secret", "token"})
REDACTED = "***"


def configure(
    program: str,
    member: str,
    log_format: str,
    level: str,
    writer: LineWriter | None = None,
    metrics: EventMetrics | None = None,
) -> None:
    """Configure the logging of this process.

    :param member: name of this process in the fleet
    :param log_format: ``json`` or ``console``
    :param writer: where lines are written; standard error by default
    :param metrics: counts the events
    """
    renderer: Any = structlog.processors.JSONRenderer()
    if log_format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    names = {"program": program, "member": member}
    counting = [metrics.processor] if metrics is not None else []
    factory: Any = structlog.PrintLoggerFactory(file=sys.stderr)
    if writer is not None:
        factory = line_factory(writer)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            *counting,
            lambda _logger, _method, event: names | dict(event),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            redact,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=factory,
    )


def redact(
    _logger: Any, _method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Redact the fields that hold secrets; a structlog processor."""
    for name in SECRET_FIELDS & event.keys():
        event[name] = REDACTED
    return event


def get_logger(name: str) -> Any:
    """Return a logger that adds its name to each line."""
    return structlog.get_logger(source=name)


__all__ = ["REDACTED", "SECRET_FIELDS", "configure", "get_logger", "redact"]

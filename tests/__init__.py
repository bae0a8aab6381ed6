"""Tests, arranged as the packages that they cover."""

from __future__ import annotations

import logging

import structlog

structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
)
logging.getLogger("waitress").setLevel(logging.CRITICAL)

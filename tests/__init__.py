"""Tests, laid out like the packages that they cover."""

from __future__ import annotations

import logging

from tests.quiet import quiet_logs

quiet_logs()
logging.getLogger("waitress").setLevel(logging.CRITICAL)

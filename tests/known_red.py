"""Marks tests that fail because of a fault listed in KNOWN-RED.txt."""

from __future__ import annotations

import functools
import sys
from typing import TYPE_CHECKING
import unittest

if TYPE_CHECKING:
    from collections.abc import Callable

    Test = Callable[[unittest.TestCase], None]


def known_red(issue: int) -> Callable[..., Test]:
    """Let a run pass over a test that fails, and name it in the output.

    The run fails if the test passes: its entry must leave the list then.

    :param issue: number of the issue that the entry names
    """

    def mark(test: Test) -> Test:
        @functools.wraps(test)
        def run(case: unittest.TestCase) -> None:
            text = f"known red: {case.id()} (issue {issue}, KNOWN-RED.txt)"
            print(text, file=sys.stderr)
            test(case)

        return unittest.expectedFailure(run)

    return mark


__all__ = ["known_red"]

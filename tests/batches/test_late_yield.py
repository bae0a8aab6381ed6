"""Tests of an output that begins anew while it is told to yield."""

from __future__ import annotations

from typing import TYPE_CHECKING
import unittest
from unittest.mock import patch

from mulberrypass.batches.held_output import ITEMS, HeldOutput
from mulberrypass.policy.held_bytes import ByteLimits
from mulberrypass.relay import whole_body
from mulberrypass.relay.whole_body import HeldBodies

if TYPE_CHECKING:
    from typing import Any

LIMITS = ByteLimits(total=100_000, source=50_000, free=1_000)


class LateYieldTest(unittest.TestCase):
    """An output's new attempt was aborted for the bytes of the one before."""

    def setUp(self) -> None:
        bodies = HeldBodies(LIMITS)
        self.output = HeldOutput(bodies)
        self.aborted: list[str] = []
        self.other = bodies.open(ITEMS, lambda: None)

    def test_next_attempt_goes_on(self) -> None:
        self.output.resize(40_000)
        attempt = self.output.attempt(lambda: self.aborted.append("next"))

        def renew(*_args: Any, **_fields: Any) -> None:
            """Begin anew, after the bytes have gone and before the abort."""
            self.assertTrue(self.output.yielded)
            self.output.renew()
            attempt.__enter__()

        with patch.object(whole_body.LOG, "warning", renew):
            self.other.append(bytes(20_000))
        self.assertEqual([], self.aborted)
        self.assertFalse(self.output.yielded)
        attempt.__exit__(None, None, None)


if __name__ == "__main__":
    unittest.main()

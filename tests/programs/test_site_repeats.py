"""Tests of the limits on second runs in the environment."""

from __future__ import annotations

from pathlib import Path
import tomllib
import unittest

from mulberrypass.engine.pool import CONNECT_TIMEOUT_S
from mulberrypass.platform.site import SiteError
from mulberrypass.policy.online.repeats import RepeatShares
from mulberrypass.programs.site_repeats import (
    RACED_CONNECT_TIMEOUT_S,
    SHARE_VARIABLE,
    SHARES_VARIABLE,
    connect_timeout_s,
    read_repeat_shares,
)

ROOT = Path(__file__).parents[2]


class RepeatSharesTest(unittest.TestCase):
    """A wrong limit was taken for another one instead of being refused."""

    def test_values(self) -> None:
        cases: tuple[tuple[dict[str, str], RepeatShares], ...] = (
            ({}, RepeatShares()),
            ({SHARE_VARIABLE: "  "}, RepeatShares()),
            ({SHARE_VARIABLE: "0.05"}, RepeatShares(0.05)),
            ({SHARE_VARIABLE: "1"}, RepeatShares(1.0)),
            (
                {SHARE_VARIABLE: "0.1", SHARES_VARIABLE: "a=0, b = 0.5,"},
                RepeatShares(0.1, {"a": 0.0, "b": 0.5}),
            ),
            ({SHARES_VARIABLE: "x=y=0.5"}, RepeatShares(0.0, {"x=y": 0.5})),
        )
        for environ, expected in cases:
            with self.subTest(environ=environ):
                self.assertEqual(expected, read_repeat_shares(environ))

    def test_wrong_values_are_refused_by_name(self) -> None:
        cases = (
            ({SHARE_VARIABLE: "-0.01"}, SHARE_VARIABLE),
            ({SHARE_VARIABLE: "1.01"}, SHARE_VARIABLE),
            ({SHARE_VARIABLE: "nan"}, SHARE_VARIABLE),
            ({SHARE_VARIABLE: "5%"}, SHARE_VARIABLE),
            ({SHARES_VARIABLE: "a=2"}, f"{SHARES_VARIABLE}: a"),
            ({SHARES_VARIABLE: "a"}, "'a' is not service=share"),
            ({SHARES_VARIABLE: "=0.1"}, "'=0.1' is not service=share"),
            ({SHARES_VARIABLE: "a=0.1,a=0.2"}, "'a' has two shares"),
            ({SHARES_VARIABLE: "a="}, f"{SHARES_VARIABLE}: a"),
        )
        for environ, expected in cases:
            with self.subTest(environ=environ):
                with self.assertRaises(SiteError) as caught:
                    read_repeat_shares(environ)
                self.assertIn(expected, str(caught.exception))

    def test_connecting_is_cut_short_only_with_second_runs(self) -> None:
        """A request whose second run had won waited for a connection."""
        cases = (
            (None, CONNECT_TIMEOUT_S),
            (RepeatShares(), CONNECT_TIMEOUT_S),
            (RepeatShares(0.05), RACED_CONNECT_TIMEOUT_S),
            (RepeatShares(0.0, {"a": 0.1}), RACED_CONNECT_TIMEOUT_S),
        )
        for shares, expected in cases:
            with self.subTest(shares=shares):
                self.assertEqual(expected, connect_timeout_s(shares))

    def test_deployed_value_is_a_share(self) -> None:
        text = (ROOT / "deploy" / "system.toml").read_text()
        environ = tomllib.loads(text)["roles"]["site"]["env"]
        self.assertEqual(RepeatShares(0.05), read_repeat_shares(environ))

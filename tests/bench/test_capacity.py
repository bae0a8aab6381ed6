"""Tests of the capacity figures."""

from __future__ import annotations

import unittest

from mulberrypass.bench.capacity import (
    CURRENT_SIZE,
    PAGE,
    TARGET_SIZE,
    UnitCosts,
    control_bytes_per_s,
    control_share,
    figures,
    read_unit_costs,
    render,
)

ROUND_COSTS = UnitCosts(
    permit_owner_us=1_000.0,
    permit_holder_us=500.0,
    permit_bytes=300.0,
    token_us=400.0,
    request_us=5_000.0,
    item_us=2_000.0,
    writes_per_1000=2.0,
    record_us=200.0,
    records_per_write=40.0,
    member_share=0.007,
    member_bytes_per_s=2_000.0,
)


class CapacityTest(unittest.TestCase):
    def test_page_matches_the_recorded_unit_costs(self) -> None:
        page = PAGE.read_text(encoding="utf-8")
        rendered = render(page, read_unit_costs(), (CURRENT_SIZE, TARGET_SIZE))
        self.assertEqual(rendered, page)

    def test_rates_of_the_target_size(self) -> None:
        self.assertAlmostEqual(4_861.1, TARGET_SIZE.items_per_s, places=1)
        self.assertAlmostEqual(14_861.1, TARGET_SIZE.permits_per_s, places=1)

    def test_figures_from_round_unit_costs(self) -> None:
        """Check hand-computed figures: 37.15 permits a second per daemon."""
        share = control_share(TARGET_SIZE, ROUND_COSTS)
        self.assertAlmostEqual(0.0557 + 0.021, share, places=4)
        sent = control_bytes_per_s(TARGET_SIZE, ROUND_COSTS)
        self.assertAlmostEqual(22_292 + 6_000, sent, delta=1.0)
        found = {f.name: f.value for f in figures(TARGET_SIZE, ROUND_COSTS)}
        rows = {
            "tokens passed on": 5_000.0,
            "processor for tokens": 2.0,
            "processor for requests": 0.125,
            "processor for items": 0.0243,
            "platform writes for items": 9.72,
            "recorded requests": 2_000.0,
            "writes, each daemon a committer": 4_000.0,
            "writes, through a few committers": 100.0,
            "results in the object store": 126.0,
        }
        for name, expected in rows.items():
            with self.subTest(name=name):
                self.assertAlmostEqual(expected, found[name], places=2)

"""Tests of what membership costs in a fleet of hundreds."""

from __future__ import annotations

import math
import unittest

from mulberrypass.model.member import MemberState
from tests.policy.membership.fleet import MIN_GAP_S, SETTINGS, Fleet, states_in

SIZE = 200
# Members start within 0.3 s of each other; a site's recovery allows 15 s.
JOIN_S = 15.0
# Updates of the start have been sent for the last time by then.
CALM_S = 60.0
WATCHED_S = 20.0
MIN_JITTER = 0.9
# The receiver's own state, and the member with the newest configuration.
NAMED_ENTRIES = 2
ENTRIES = NAMED_ENTRIES + SETTINGS.gossip_entries + SETTINGS.refresh_entries


class LargeFleetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(SIZE, 1)

    def test_start_of_all_reads_a_bounded_number_of_entries(self) -> None:
        self.fleet.run(JOIN_S)
        for node in self.fleet.running():
            states = states_in(node.view)
            self.assertEqual(SIZE, len(states))
            self.assertEqual({MemberState.ALIVE}, set(states.values()))
        # Full lists in the rounds that ask for them, few entries in others.
        contacts = SETTINGS.neighbours + 1
        full = SETTINGS.max_full_sync_rounds * contacts * SIZE
        rounds = math.ceil(JOIN_S / MIN_GAP_S)
        others = 2 * rounds * contacts * ENTRIES
        self.assertLessEqual(self.fleet.entries / SIZE, full + others)

    def test_calm_member_sends_as_much_as_its_settings_say(self) -> None:
        self.fleet.run(CALM_S)
        for node in self.fleet.nodes.values():
            node.view.take_touched()
        exchanges, entries = self.fleet.exchanges, self.fleet.entries
        self.fleet.run(WATCHED_S)
        rounds = 1 + WATCHED_S / (SETTINGS.heartbeat_s * MIN_JITTER)
        each = (SETTINGS.neighbours + 1 / SETTINGS.discovery_rounds) * rounds
        sent = (self.fleet.exchanges - exchanges) / SIZE
        self.assertLessEqual(sent, each)
        carried = (self.fleet.entries - entries) / SIZE
        self.assertLessEqual(carried, 2 * each * ENTRIES)
        for node in self.fleet.nodes.values():
            self.assertFalse(node.view.has_touched)

    def test_change_of_one_touches_one_member_in_each_view(self) -> None:
        self.fleet.run(CALM_S)
        leaver, *others = self.fleet.nodes.values()
        neighbours = [node.view.neighbours() for node in others]
        for node in others:
            node.view.take_touched()
        leaver.view.leave()
        # Twice the steps in which an update doubles those who know it.
        self.fleet.run(2 * math.log2(SIZE) * SETTINGS.heartbeat_s)
        for node in others:
            self.assertEqual([leaver.name], list(node.view.take_touched()))
        # A leaving member still gets heartbeats: the rings stay as they are.
        for node, before in zip(others, neighbours, strict=True):
            self.assertIs(before, node.view.neighbours())

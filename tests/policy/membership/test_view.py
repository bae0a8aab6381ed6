"""Tests of one member's view of the fleet."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
import random
import unittest

from mulberrypass.model.member import Member, MemberState
from mulberrypass.model.store import ListedKind, ListedMachine, ListedState
from mulberrypass.policy.membership.backends import (
    MAX_LEFT,
    MIN_LEAVING_S,
    UNLISTED_LEAVING_S,
    BackendUpdate,
    LeavingBackends,
)
from mulberrypass.policy.membership.gossip import GossipQueue, Rotation
from mulberrypass.policy.membership.messages import Message, ViewSettings
from mulberrypass.policy.membership.ring import neighbours
from mulberrypass.policy.membership.view import MembershipView

ALIVE, SUSPECT, LEAVING, DEAD = MemberState
SETTINGS = ViewSettings(full_sync_rounds=0, max_full_sync_rounds=0)


def _member(
    number: int,
    incarnation: int = 5,
    state: MemberState = ALIVE,
    generation: int = 0,
    address: str = "",
) -> Member:
    return Member(
        f"entry@i{number}",
        "entry",
        "z",
        address or f"127.0.10.{number}",
        incarnation,
        state,
        generation,
    )


def _listed(
    number: int,
    state: ListedState = ListedState.LIVE,
    kind: ListedKind = ListedKind.INSTANCE,
) -> ListedMachine:
    return ListedMachine(f"i{number}", kind, "z", f"127.0.10.{number}", state)


class ViewCase(unittest.TestCase):
    def setUp(self) -> None:
        self.view = self.make()

    def make(self, *others: Member) -> MembershipView:
        view = MembershipView(_member(1), SETTINGS, random.Random(1))
        for other in others:
            view.receive(Message(_member(9), (other,)), 0.0)
        return view

    def receive(self, *received: Member, now: float = 0.0) -> None:
        self.view.receive(Message(_member(9), received), now)

    def state_of(self, number: int) -> tuple[int, MemberState] | None:
        everyone = (*self.view.known(), *self.view.dead())
        for member in everyone:
            if member.name == f"entry@i{number}":
                return member.incarnation, member.state
        return None


class OtherMembersTest(ViewCase):
    def test_the_higher_incarnation_and_state_wins(self) -> None:
        for before, received, after in (
            ((5, ALIVE), (5, SUSPECT), (5, SUSPECT)),
            ((5, ALIVE), (5, LEAVING), (5, LEAVING)),
            ((5, SUSPECT), (5, ALIVE), (5, SUSPECT)),
            ((5, SUSPECT), (6, ALIVE), (6, ALIVE)),
            ((5, SUSPECT), (5, DEAD), (5, DEAD)),
            ((5, LEAVING), (5, ALIVE), (5, LEAVING)),
            ((5, LEAVING), (5, SUSPECT), (5, LEAVING)),
            ((5, LEAVING), (6, ALIVE), (6, ALIVE)),
            ((5, DEAD), (5, ALIVE), (5, DEAD)),
            ((5, DEAD), (5, LEAVING), (5, DEAD)),
            ((5, DEAD), (6, ALIVE), (6, ALIVE)),
            ((5, ALIVE), (4, DEAD), (5, ALIVE)),
            ((5, ALIVE), (6, DEAD), (6, DEAD)),
            ((5, ALIVE), (5, DEAD), (5, ALIVE)),
            ((5, LEAVING), (5, DEAD), (5, LEAVING)),
            (None, (5, DEAD), (5, DEAD)),
            (None, (5, SUSPECT), (5, SUSPECT)),
        ):
            with self.subTest(before=before, received=received):
                self.view = self.make()
                if before is not None:
                    self.receive(_member(2, *before))
                self.receive(_member(2, *received))
                self.assertEqual(after, self.state_of(2))

    def test_a_generation_never_goes_back(self) -> None:
        self.receive(_member(2, generation=7))
        self.receive(_member(2, state=LEAVING, generation=3))
        self.receive(_member(2, state=LEAVING, generation=6))
        found = [m for m in self.view.known() if m.name == "entry@i2"]
        self.assertEqual([7], [m.generation for m in found])
        self.assertEqual("entry@i2", self.view.newest.name)

    def test_the_newest_is_not_a_dead_one(self) -> None:
        self.receive(_member(2, generation=7), _member(3, generation=4))
        self.receive(_member(2, state=SUSPECT), _member(2, state=DEAD))
        self.assertEqual("entry@i3", self.view.newest.name)


class OwnStateTest(ViewCase):
    def test_wrong_reports_are_refuted(self) -> None:
        for own_state, received, address, after, superseded in (
            (ALIVE, (5, SUSPECT), "", (6, ALIVE), False),
            (ALIVE, (5, DEAD), "", (6, ALIVE), False),
            (ALIVE, (9, DEAD), "", (10, ALIVE), False),
            (ALIVE, (4, DEAD), "", (5, ALIVE), False),
            (ALIVE, (5, ALIVE), "", (5, ALIVE), False),
            (ALIVE, (9, ALIVE), "", (10, ALIVE), False),
            (ALIVE, (5, LEAVING), "", (6, ALIVE), False),
            (LEAVING, (5, DEAD), "", (6, LEAVING), False),
            (LEAVING, (5, SUSPECT), "", (5, LEAVING), False),
            (LEAVING, (9, ALIVE), "", (10, LEAVING), False),
            (ALIVE, (9, ALIVE), "127.0.10.99", (5, ALIVE), True),
            (ALIVE, (9, DEAD), "127.0.10.99", (10, ALIVE), False),
        ):
            with self.subTest(own_state=own_state, received=received):
                self.view = self.make()
                if own_state is LEAVING:
                    self.view.leave()
                self.receive(_member(1, *received, address=address))
                self.assertEqual(after, self.state_of(1))
                self.assertEqual(superseded, self.view.superseded)

    def test_a_message_begins_with_the_receivers_state(self) -> None:
        for state in (SUSPECT, DEAD):
            with self.subTest(state=state):
                self.view = self.make(
                    _member(2, state=state),
                    *(_member(number) for number in range(3, 40)),
                )
                for _ in range(30):
                    message = self.view.message_for("entry@i2")
                    first = message.members[0]
                    self.assertEqual(("entry@i2", state), (
                        first.name, first.state))  # fmt: skip


class SuspicionTest(ViewCase):
    def test_a_suspicion_becomes_a_death_unless_refuted(self) -> None:
        for refuted, after in ((False, (5, DEAD)), (True, (6, ALIVE))):
            with self.subTest(refuted=refuted):
                self.view = self.make(_member(2))
                self.view.start_round(0.0)
                self.view.suspect("entry@i2", 5, 0.5)
                self.assertEqual((5, SUSPECT), self.state_of(2))
                self.view.start_round(1.0)
                self.view.start_round(2.0)
                if refuted:
                    self.receive(_member(2, 6), now=2.5)
                self.view.start_round(3.0)
                self.view.start_round(3.6)
                self.assertEqual(after, self.state_of(2))

    def test_a_failure_of_an_old_incarnation_is_ignored(self) -> None:
        self.view = self.make(_member(2, 6), _member(3, 6, DEAD))
        for name, incarnation in (
            ("entry@i2", 5),
            ("entry@i3", 6),
            ("entry@i4", 0),
        ):
            with self.subTest(name):
                self.view.suspect(name, incarnation, 0.0)
        self.assertEqual((6, ALIVE), self.state_of(2))
        self.assertEqual((6, DEAD), self.state_of(3))
        self.assertEqual(0, self.view.suspicions)

    def test_a_pause_restarts_all_suspicions(self) -> None:
        self.view = self.make(_member(2), _member(3))
        self.view.start_round(0.0)
        self.view.suspect("entry@i2", 5, 0.5)
        self.view.suspect("entry@i3", 5, 60.0)
        self.assertEqual((5, ALIVE), self.state_of(3))
        self.view.start_round(60.0)
        self.assertEqual((5, SUSPECT), self.state_of(2))
        for now in (61.0, 62.0, 63.0):
            self.view.start_round(now)
        self.assertEqual((5, DEAD), self.state_of(2))

    def test_a_late_member_suspects_nobody(self) -> None:
        for round_at, failed_at, after in (
            (1.0, 1.5, SUSPECT),
            (1.4, 2.4, SUSPECT),
            (1.4, 3.0, ALIVE),
            (1.6, 1.7, ALIVE),
        ):
            with self.subTest(round_at=round_at, failed_at=failed_at):
                self.view = self.make(_member(2))
                self.view.start_round(0.0)
                self.view.start_round(round_at)
                self.view.suspect("entry@i2", 5, failed_at)
                self.assertEqual((5, after), self.state_of(2))

    def test_a_leaving_member_is_dead_when_it_stops_answering(self) -> None:
        for answers, after in ((True, (5, LEAVING)), (False, (5, DEAD))):
            with self.subTest(answers=answers):
                gone = _member(2, state=LEAVING)
                self.view = self.make(gone)
                self.view.start_round(0.0)
                self.view.suspect("entry@i2", 5, 0.0)
                self.assertEqual((5, LEAVING), self.state_of(2))
                if answers:
                    self.view.receive_reply(Message(gone), 1.0)
                for now in (1.0, 2.0, 3.0, 4.0):
                    self.view.start_round(now)
                self.assertEqual(after, self.state_of(2))

    def test_a_reported_death_is_verified_first(self) -> None:
        others = [_member(number) for number in range(2, 30)]
        for answers, after in ((True, (5, ALIVE)), (False, (5, DEAD))):
            with self.subTest(answers=answers):
                self.view = self.make(*others)
                monitored = self.view.neighbours()
                name = next(m.name for m in others if m.name not in monitored)
                number = int(name.removeprefix("entry@i"))
                self.receive(_member(number, state=DEAD))
                tried = [c.name for c in self.view.start_round(1.0)]
                self.assertIn(name, tried)
                if answers:
                    self.view.receive_reply(Message(_member(number)), 1.0)
                    again = [c.name for c in self.view.start_round(1.5)]
                    self.assertNotIn(name, again)
                else:
                    self.view.suspect(name, 5, 1.0)
                for now in (2.0, 3.0, 4.0):
                    self.view.start_round(now)
                self.assertEqual(after, self.state_of(number))

    def test_helpers_share_no_instance_with_either_side(self) -> None:
        on_own = replace(_member(1), name="batch@i1")
        on_target = replace(_member(2), name="batch@i2")
        self.view = self.make(_member(2), on_own, on_target, _member(3))
        helpers = [c.name for c in self.view.helpers("entry@i2")]
        self.assertEqual(["entry@i3", "entry@i9"], sorted(helpers))


class ListTest(ViewCase):
    def test_the_list_makes_no_member_dead_or_alive(self) -> None:
        self.view = self.make(_member(2), _member(3, state=DEAD))
        for listed in ((), (_listed(2), _listed(3)), (_listed(3),)):
            with self.subTest(listed=listed):
                self.view.apply_list(listed, 0.0)
                self.assertEqual((5, ALIVE), self.state_of(2))
                self.assertEqual((5, DEAD), self.state_of(3))

    def test_dead_members_are_removed_when_unlisted_and_old(self) -> None:
        late = SETTINGS.dead_ttl_s + 1.0
        for listed, now, forgotten in (
            ((), late, True),
            ((), late - 2.0, False),
            ((_listed(3),), late, False),
        ):
            with self.subTest(listed=listed, now=now):
                self.view = self.make(_member(3, state=DEAD))
                self.view.apply_list(listed, 0.0)
                self.view.start_round(now)
                self.assertEqual(forgotten, self.state_of(3) is None)

    def test_an_instance_is_leaving_until_listed_live(self) -> None:
        self.view = self.make(_member(2))
        leaving = _listed(2, ListedState.LEAVING)
        for listed, state in (
            ((_listed(2),), ALIVE),
            ((leaving,), LEAVING),
            ((), LEAVING),
            ((_listed(2),), ALIVE),
        ):
            with self.subTest(listed=listed):
                self.view.apply_list(listed, 0.0)
                self.assertEqual((5, state), self.state_of(2))

    def test_instances_without_a_live_member_are_contacted(self) -> None:
        self.view = self.make(_member(2))
        self.view.apply_list((_listed(1), _listed(2), _listed(3)), 0.0)
        contacted = set()
        for now in range(200):
            for contact in self.view.start_round(float(now)):
                if not contact.name:
                    contacted.add((contact.program, contact.address))
        expected = {
            (program, f"127.0.10.{number}")
            for program in ("batch", "control")
            for number in (1, 2, 3)
        }
        self.assertEqual(expected | {("entry", "127.0.10.3")}, contacted)

    def test_seeds_are_used_until_a_list_is_read(self) -> None:
        self.view.set_seeds(("127.0.10.8",))
        for listed, expected in (
            ((), {"127.0.10.8"}),
            ((_listed(3),), {"127.0.10.3"}),
        ):
            with self.subTest(listed=listed):
                self.view.apply_list(listed, 0.0)
                contacts = self.view.start_round(0.0)
                self.assertEqual(expected, {c.address for c in contacts})


class MessageTest(ViewCase):
    def test_messages_are_bounded_and_cover_all_members(self) -> None:
        names = {f"entry@i{number}" for number in range(2, 202)}
        self.view = self.make(*(_member(n) for n in range(2, 202)))
        most = SETTINGS.gossip_entries + SETTINGS.refresh_entries + 2
        covered: set[str] = set()
        for _ in range(60):
            message = self.view.message_for("entry@i2")
            self.assertLessEqual(len(message.members), most)
            covered.update(member.name for member in message.members)
        self.assertLessEqual(names, covered)

    def test_an_empty_heartbeat_is_answered_with_the_full_list(self) -> None:
        self.view = self.make(*(_member(n) for n in range(2, 100)))
        self.view.report_backend("b", 0.0)
        reply = self.view.reply(Message(_member(200)), 0.0)
        self.assertEqual(99, len(reply.members))
        self.assertEqual((BackendUpdate("b", True, 1),), reply.backends)

    def test_a_new_member_requests_the_full_list(self) -> None:
        settings = ViewSettings(full_sync_rounds=2, max_full_sync_rounds=4)
        view = MembershipView(_member(1), settings, random.Random(1))
        view.receive(Message(_member(2)), 0.0)
        sizes = []
        for now in range(4):
            view.start_round(float(now))
            sizes.append(len(view.heartbeat_for("entry@i2").members))
        self.assertEqual([0, 0, 1, 1], sizes)

    def test_urgent_updates(self) -> None:
        for name, received, urgent in (
            ("a new member", _member(3), False),
            ("a suspicion", _member(2, state=SUSPECT), True),
            ("a leaving member", _member(2, state=LEAVING), True),
            ("the highest generation", _member(2, generation=4), True),
            ("nothing new", _member(2), False),
        ):
            with self.subTest(name):
                self.view = self.make(_member(2))
                self.view.take_urgent()
                self.receive(received)
                self.assertEqual(urgent, self.view.take_urgent())
                self.assertFalse(self.view.take_urgent())


class GossipQueueTest(unittest.TestCase):
    def test_each_name_is_sent_a_bounded_number_of_times(self) -> None:
        for members, most in ((1, 4), (30, 10), (1_200, 21)):
            with self.subTest(members=members):
                queue = GossipQueue()
                names = [f"n{number}" for number in range(20)]
                for name in names:
                    queue.add(name, urgent=name != "n7")
                sent = Counter[str]()
                while len(queue):
                    sent.update(queue.take(3, members))
                self.assertEqual(dict.fromkeys(names, most), dict(sent))

    def test_urgent_names_go_first(self) -> None:
        queue = GossipQueue()
        queue.add("a", urgent=False)
        queue.add("b", urgent=False)
        queue.add("c")
        queue.add("b")
        self.assertEqual(("c", "b", "a"), queue.take(3, 10))
        queue.discard("c")
        self.assertEqual(("b",), queue.take(1, 10))

    def test_rotation_takes_turns(self) -> None:
        rotation = Rotation(random.Random(1))
        names = [f"n{number}" for number in range(12)]
        taken = [n for _ in range(6) for n in rotation.take(4, names)]
        self.assertEqual(dict.fromkeys(names, 2), dict(Counter(taken)))


class RingTest(unittest.TestCase):
    def test_each_member_is_monitored(self) -> None:
        for size in (2, 3, 4, 10, 100):
            with self.subTest(size=size):
                names = [f"entry@i{number}" for number in range(size)]
                monitored = Counter[str]()
                for name in names:
                    others = [n for n in names if n != name]
                    chosen = neighbours(name, others, 3)
                    self.assertEqual(min(3, size - 1), len(set(chosen)))
                    self.assertNotIn(name, chosen)
                    monitored.update(chosen)
                self.assertEqual(set(names), set(monitored))

    def test_a_loss_changes_few_neighbours(self) -> None:
        names = [f"entry@i{number}" for number in range(100)]
        moved = 0
        for name in names[1:]:
            others = [n for n in names if n != name]
            before = neighbours(name, others, 3)
            after = neighbours(name, [n for n in others if n != names[0]], 3)
            moved += before != after
        self.assertLessEqual(moved, 6)


class LeavingBackendsTest(unittest.TestCase):
    def test_a_leaving_state_outlasts_a_lagging_list(self) -> None:
        live = {"b": ListedState.LIVE}
        leaving = {"b": ListedState.LEAVING}
        for name, listed, age_s, expected in (
            ("late list", live, MIN_LEAVING_S - 1, True),
            ("listed live again", live, MIN_LEAVING_S, False),
            ("still leaving", leaving, MIN_LEAVING_S * 100, True),
            ("not listed", {}, UNLISTED_LEAVING_S - 1, True),
            ("not listed for long", {}, UNLISTED_LEAVING_S, False),
        ):
            with self.subTest(name):
                backends = LeavingBackends()
                backends.report("b", 0.0)
                changed = backends.apply_list(listed, age_s)
                self.assertEqual(expected, "b" in backends.leaving())
                self.assertEqual(not expected, changed)

    def test_an_old_update_is_ignored(self) -> None:
        backends = LeavingBackends()
        update = BackendUpdate("b", True, 3)
        self.assertTrue(backends.merge([update], 0.0))
        self.assertFalse(backends.merge([update], 0.0))
        backends.apply_list({"b": ListedState.LIVE}, MIN_LEAVING_S)
        self.assertFalse(backends.merge([update], MIN_LEAVING_S))
        self.assertEqual(frozenset(), backends.leaving())
        self.assertTrue(backends.report("b", MIN_LEAVING_S))
        self.assertEqual(
            (BackendUpdate("b", True, 4),), backends.next_updates(8, 10)
        )

    def test_repeated_reports_make_few_updates(self) -> None:
        backends = LeavingBackends()
        reports = [backends.report("b", float(now)) for now in range(61)]
        self.assertEqual([0, 30, 60], [n for n, r in enumerate(reports) if r])

    def test_starts_that_left_long_ago_are_forgotten(self) -> None:
        """Each start of an engine that leaves has a name of its own."""
        backends = LeavingBackends()
        for number in range(2 * MAX_LEFT):
            backends.report(f"e{number}@1", float(number))
        later = UNLISTED_LEAVING_S + 2 * MAX_LEFT
        backends.report("e@1", later)
        backends.apply_list({}, later)
        self.assertEqual(MAX_LEFT + 1, len(backends._known))
        self.assertIn(f"e{MAX_LEFT}@1", backends._known)
        self.assertEqual({"e@1"}, backends.leaving())
        self.assertEqual(1, len(backends.snapshot()))
        backends.next_updates(4 * MAX_LEFT, 10)


if __name__ == "__main__":
    unittest.main()

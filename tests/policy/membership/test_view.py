"""Tests of one member's knowledge of the fleet, in tables."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
import random
import unittest

from mulberrypass.model.member import Member, MemberState
from mulberrypass.model.store import Listed, ListedKind, ListedState
from mulberrypass.policy.membership.backends import (
    HOLD_S,
    UNLISTED_HOLD_S,
    BackendMark,
    LeavingBackends,
)
from mulberrypass.policy.membership.messages import Message, ViewSettings
from mulberrypass.policy.membership.news import NewsQueue, Rotation
from mulberrypass.policy.membership.ring import neighbours
from mulberrypass.policy.membership.view import MembershipView

ALIVE, SUSPECT, LEAVING, DEAD = MemberState
SETTINGS = ViewSettings(asking_rounds=0, young_rounds=0)


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
) -> Listed:
    return Listed(f"i{number}", kind, "z", f"127.0.10.{number}", state)


class ViewCase(unittest.TestCase):
    def setUp(self) -> None:
        self.view = self.make()

    def make(self, *others: Member) -> MembershipView:
        view = MembershipView(_member(1), SETTINGS, random.Random(1))
        for other in others:
            view.receive(Message(_member(9), (other,)), 0.0)
        return view

    def hear(self, *said: Member, now: float = 0.0) -> None:
        self.view.receive(Message(_member(9), said), now)

    def state_of(self, number: int) -> tuple[int, MemberState] | None:
        everyone = (*self.view.known(), *self.view.dead())
        for member in everyone:
            if member.name == f"entry@i{number}":
                return member.incarnation, member.state
        return None


class SaidOfOthersTest(ViewCase):
    def test_higher_incarnation_and_state_stand(self) -> None:
        for before, said, after in (
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
            with self.subTest(before=before, said=said):
                self.view = self.make()
                if before is not None:
                    self.hear(_member(2, *before))
                self.hear(_member(2, *said))
                self.assertEqual(after, self.state_of(2))

    def test_a_generation_never_goes_back(self) -> None:
        self.hear(_member(2, generation=7))
        self.hear(_member(2, state=LEAVING, generation=3))
        self.hear(_member(2, state=LEAVING, generation=6))
        found = [m for m in self.view.known() if m.name == "entry@i2"]
        self.assertEqual([7], [m.generation for m in found])
        self.assertEqual("entry@i2", self.view.newest.name)

    def test_the_newest_is_not_a_dead_one(self) -> None:
        self.hear(_member(2, generation=7), _member(3, generation=4))
        self.hear(_member(2, state=SUSPECT), _member(2, state=DEAD))
        self.assertEqual("entry@i3", self.view.newest.name)


class SaidOfMeTest(ViewCase):
    def test_wrong_beliefs_are_refuted(self) -> None:
        for mine, said, address, after, superseded in (
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
            with self.subTest(mine=mine, said=said):
                self.view = self.make()
                if mine is LEAVING:
                    self.view.leave()
                self.hear(_member(1, *said, address=address))
                self.assertEqual(after, self.state_of(1))
                self.assertEqual(superseded, self.view.superseded)

    def test_the_receiver_is_told_what_is_believed_of_it(self) -> None:
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


class DoubtTest(ViewCase):
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
                    self.hear(_member(2, 6), now=2.5)
                self.view.start_round(3.0)
                self.view.start_round(3.6)
                self.assertEqual(after, self.state_of(2))

    def test_a_stale_failure_is_no_suspicion(self) -> None:
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

    def test_a_paused_member_distrusts_itself(self) -> None:
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

    def test_a_leaving_member_dies_when_it_stops_to_answer(self) -> None:
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

    def test_a_claimed_death_is_tried_first(self) -> None:
        others = [_member(number) for number in range(2, 30)]
        for answers, after in ((True, (5, ALIVE)), (False, (5, DEAD))):
            with self.subTest(answers=answers):
                self.view = self.make(*others)
                watched = self.view.neighbours()
                name = next(m.name for m in others if m.name not in watched)
                number = int(name.removeprefix("entry@i"))
                self.hear(_member(number, state=DEAD))
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

    def test_helpers_share_no_machine_with_either_side(self) -> None:
        mine = replace(_member(1), name="batch@i1")
        beside = replace(_member(2), name="batch@i2")
        self.view = self.make(_member(2), mine, beside, _member(3))
        helpers = [c.name for c in self.view.helpers("entry@i2")]
        self.assertEqual(["entry@i3", "entry@i9"], sorted(helpers))


class ListTest(ViewCase):
    def test_the_list_neither_kills_nor_revives(self) -> None:
        self.view = self.make(_member(2), _member(3, state=DEAD))
        for listed in ((), (_listed(2), _listed(3)), (_listed(3),)):
            with self.subTest(listed=listed):
                self.view.take_list(listed, 0.0)
                self.assertEqual((5, ALIVE), self.state_of(2))
                self.assertEqual((5, DEAD), self.state_of(3))

    def test_the_dead_are_forgotten_when_list_and_time_agree(self) -> None:
        late = SETTINGS.dead_s + 1.0
        for listed, now, forgotten in (
            ((), late, True),
            ((), late - 2.0, False),
            ((_listed(3),), late, False),
        ):
            with self.subTest(listed=listed, now=now):
                self.view = self.make(_member(3, state=DEAD))
                self.view.take_list(listed, 0.0)
                self.view.start_round(now)
                self.assertEqual(forgotten, self.state_of(3) is None)

    def test_a_leaving_machine_is_leaving_until_listed_live(self) -> None:
        self.view = self.make(_member(2))
        leaving = _listed(2, ListedState.LEAVING)
        for listed, state in (
            ((_listed(2),), ALIVE),
            ((leaving,), LEAVING),
            ((), LEAVING),
            ((_listed(2),), ALIVE),
        ):
            with self.subTest(listed=listed):
                self.view.take_list(listed, 0.0)
                self.assertEqual((5, state), self.state_of(2))

    def test_machines_without_a_living_member_are_contacted(self) -> None:
        self.view = self.make(_member(2))
        self.view.take_list((_listed(1), _listed(2), _listed(3)), 0.0)
        places = set()
        for now in range(200):
            for contact in self.view.start_round(float(now)):
                if not contact.name:
                    places.add((contact.program, contact.address))
        expected = {
            (program, f"127.0.10.{number}")
            for program in ("batch", "control")
            for number in (1, 2, 3)
        }
        self.assertEqual(expected | {("entry", "127.0.10.3")}, places)

    def test_seeds_are_used_until_a_list_is_read(self) -> None:
        self.view.set_seeds(("127.0.10.8",))
        for listed, expected in (
            ((), {"127.0.10.8"}),
            ((_listed(3),), {"127.0.10.3"}),
        ):
            with self.subTest(listed=listed):
                self.view.take_list(listed, 0.0)
                contacts = self.view.start_round(0.0)
                self.assertEqual(expected, {c.address for c in contacts})


class MessageTest(ViewCase):
    def test_messages_are_bounded_and_tell_all_in_time(self) -> None:
        names = {f"entry@i{number}" for number in range(2, 202)}
        self.view = self.make(*(_member(n) for n in range(2, 202)))
        most = SETTINGS.news + SETTINGS.repeated + 2
        told: set[str] = set()
        for _ in range(60):
            message = self.view.message_for("entry@i2")
            self.assertLessEqual(len(message.members), most)
            told.update(member.name for member in message.members)
        self.assertLessEqual(names, told)

    def test_a_member_that_tells_nothing_is_told_all(self) -> None:
        self.view = self.make(*(_member(n) for n in range(2, 100)))
        self.view.report_backend("b", 0.0)
        reply = self.view.reply(Message(_member(200)), 0.0)
        self.assertEqual(99, len(reply.members))
        self.assertEqual((BackendMark("b", True, 1),), reply.backends)

    def test_a_new_member_asks_for_all(self) -> None:
        settings = ViewSettings(asking_rounds=2, young_rounds=4)
        view = MembershipView(_member(1), settings, random.Random(1))
        view.receive(Message(_member(2)), 0.0)
        told = []
        for now in range(4):
            view.start_round(float(now))
            told.append(len(view.heartbeat_for("entry@i2").members))
        self.assertEqual([0, 0, 1, 1], told)

    def test_news_that_should_not_wait(self) -> None:
        for name, said, urgent in (
            ("a birth", _member(3), False),
            ("a suspicion", _member(2, state=SUSPECT), True),
            ("a leaving", _member(2, state=LEAVING), True),
            ("the highest generation", _member(2, generation=4), True),
            ("nothing new", _member(2), False),
        ):
            with self.subTest(name):
                self.view = self.make(_member(2))
                self.view.take_urgent()
                self.hear(said)
                self.assertEqual(urgent, self.view.take_urgent())
                self.assertFalse(self.view.take_urgent())


class NewsQueueTest(unittest.TestCase):
    def test_each_name_is_sent_a_bounded_number_of_times(self) -> None:
        for members, most in ((1, 4), (30, 10), (1_200, 21)):
            with self.subTest(members=members):
                queue = NewsQueue()
                names = [f"n{number}" for number in range(20)]
                for name in names:
                    queue.add(name, urgent=name != "n7")
                sent = Counter[str]()
                while len(queue):
                    sent.update(queue.take(3, members))
                self.assertEqual(dict.fromkeys(names, most), dict(sent))

    def test_urgent_names_go_first(self) -> None:
        queue = NewsQueue()
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
    def test_each_member_is_watched(self) -> None:
        for size in (2, 3, 4, 10, 100):
            with self.subTest(size=size):
                names = [f"entry@i{number}" for number in range(size)]
                watched = Counter[str]()
                for name in names:
                    others = [n for n in names if n != name]
                    chosen = neighbours(name, others, 3)
                    self.assertEqual(min(3, size - 1), len(set(chosen)))
                    self.assertNotIn(name, chosen)
                    watched.update(chosen)
                self.assertEqual(set(names), set(watched))

    def test_a_loss_moves_few(self) -> None:
        names = [f"entry@i{number}" for number in range(100)]
        moved = 0
        for name in names[1:]:
            others = [n for n in names if n != name]
            before = neighbours(name, others, 3)
            after = neighbours(name, [n for n in others if n != names[0]], 3)
            moved += before != after
        self.assertLessEqual(moved, 6)


class LeavingBackendsTest(unittest.TestCase):
    def test_marks_outlast_a_late_list(self) -> None:
        live = {"b": ListedState.LIVE}
        leaving = {"b": ListedState.LEAVING}
        for name, listed, age_s, expected in (
            ("late list", live, HOLD_S - 1, True),
            ("listed live again", live, HOLD_S, False),
            ("still leaving", leaving, HOLD_S * 100, True),
            ("not listed", {}, UNLISTED_HOLD_S - 1, True),
            ("not listed for long", {}, UNLISTED_HOLD_S, False),
        ):
            with self.subTest(name):
                backends = LeavingBackends()
                backends.report("b", 0.0)
                changed = backends.take_list(listed, age_s)
                self.assertEqual(expected, "b" in backends.leaving())
                self.assertEqual(not expected, changed)

    def test_an_old_mark_does_not_come_back(self) -> None:
        backends = LeavingBackends()
        mark = BackendMark("b", True, 3)
        self.assertTrue(backends.merge([mark], 0.0))
        self.assertFalse(backends.merge([mark], 0.0))
        backends.take_list({"b": ListedState.LIVE}, HOLD_S)
        self.assertFalse(backends.merge([mark], HOLD_S))
        self.assertEqual(frozenset(), backends.leaving())
        self.assertTrue(backends.report("b", HOLD_S))
        self.assertEqual(
            (BackendMark("b", True, 4),), backends.take_marks(8, 10)
        )

    def test_a_repeated_report_is_renewed_but_seldom(self) -> None:
        backends = LeavingBackends()
        reports = [backends.report("b", float(now)) for now in range(61)]
        self.assertEqual([0, 30, 60], [n for n, r in enumerate(reports) if r])


if __name__ == "__main__":
    unittest.main()

"""What one member knows of all others, and what it says about them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from mulberrypass.model.member import Member, MemberState
from mulberrypass.model.store import ListedKind
from mulberrypass.policy.membership.backends import LeavingBackends
from mulberrypass.policy.membership.listing import Listing
from mulberrypass.policy.membership.messages import (
    Contact,
    Message,
    ViewSettings,
)
from mulberrypass.policy.membership.news import NewsQueue, Rotation
from mulberrypass.policy.membership.ring import neighbours
from mulberrypass.policy.membership.roster import Roster

if TYPE_CHECKING:
    import random

    from mulberrypass.model.store import Listed

MAX_CLAIMS = 8
REFUTABLE = frozenset({MemberState.SUSPECT, MemberState.DEAD})


class MembershipView:
    """One member's knowledge of the fleet. Not safe between threads.

    Of what is said of a member, the higher (incarnation, state) stands.
    Only a member itself raises its incarnation, which refutes suspicion
    and death. The platform's list shows whom to contact and who is to
    leave; it neither kills nor revives a member.

    ``newest`` is a member that has the highest generation known.

    :param me: this member, with the incarnation of this start
    """

    def __init__(
        self, me: Member, settings: ViewSettings, rng: random.Random
    ) -> None:
        self.me = me
        self.joined = False
        self.superseded = False
        self.suspicions = 0
        self.deaths = 0
        self._settings = settings
        self._rng = rng
        self._roster = Roster()
        self._news = NewsQueue()
        self._rotation = Rotation(rng)
        self._backends = LeavingBackends()
        self._listing = Listing()
        self._claims: dict[str, None] = {}
        self._neighbours: tuple[str, ...] | None = None
        self._round = 0
        self._round_at: float | None = None
        self._late_s = 0.0
        self._asks_until = settings.asking_rounds
        self._eager_until = float("-inf")
        self._changed = True
        self._urgent = False
        self.newest = me

    def known(self) -> tuple[Member, ...]:
        """Give all members that are not dead, this one included.

        A member on a machine that is listed as leaving is leaving.
        """
        known = (self.me, *self._roster.living())
        return tuple(map(self._listing.adjust, known))

    def dead(self) -> tuple[Member, ...]:
        """Give the dead that are remembered."""
        return self._roster.dead()

    def neighbours(self) -> tuple[str, ...]:
        """Give the names of those that get heartbeats."""
        if self._neighbours is None:
            living = (member.name for member in self._roster.living())
            count = self._settings.neighbours
            self._neighbours = neighbours(self.me.name, living, count)
        return self._neighbours

    def leaving_backends(self) -> frozenset[str]:
        """Give backend servers that are leaving."""
        return self._backends.leaving()

    def take_changed(self) -> bool:
        """Tell once whether members or backend servers have changed.

        A member's newer generation is no change.
        """
        changed, self._changed = self._changed, False
        return changed

    def take_urgent(self) -> bool:
        """Tell once whether there is news that should not wait a round."""
        urgent, self._urgent = self._urgent, False
        return urgent or self._round < self._asks_until

    def set_seeds(self, addresses: tuple[str, ...]) -> None:
        """Give addresses to contact until the list has been read."""
        self._listing.set_seeds(addresses)

    def set_generation(self, generation: int) -> None:
        """Say which generation of the configuration is in force here."""
        if generation > self.me.generation:
            self.me = replace(self.me, generation=generation)
            self._note_generation(self.me)

    def leave(self) -> None:
        """Mark this member as leaving; that is never taken back."""
        if self.me.state is not MemberState.LEAVING:
            self.me = replace(self.me, state=MemberState.LEAVING)
            self._note_change(True)

    def report_backend(self, backend: str, now: float) -> None:
        """Say that a backend server is leaving."""
        self._note_change(self._backends.report(backend, now))

    def take_list(self, listed: tuple[Listed, ...], now: float) -> None:
        """Take the platform's list."""
        self._changed |= self._listing.take(listed)
        states = {
            e.name: e.state for e in listed if e.kind is ListedKind.BACKEND
        }
        self._note_change(self._backends.take_list(states, now))

    def start_round(self, now: float) -> tuple[Contact, ...]:
        """Give the places to send heartbeats to.

        A member that was paused distrusts its own silence: it starts all
        suspicions over.
        """
        self._late_s = self._lateness_s(now)
        if self._late_s > self._settings.suspect_s / 2:
            self._roster.restart_doubts(now)
        self._round_at = now
        self._round += 1
        self._bury(now)
        self._forget(now)
        names = dict.fromkeys((*self.neighbours(), *self._claims))
        found = map(self.contact_of, names)
        contacts = [contact for contact in found if contact is not None]
        if not contacts or now < self._eager_until:
            contacts += self._strangers(self._settings.neighbours)
        elif self._round % self._settings.contact_rounds == 0:
            contacts += self._strangers(1)
        return tuple(contacts)

    def heartbeat_for(self, name: str) -> Message:
        """Give the heartbeat to a member.

        A member that has just started tells of nobody, and so is told of
        all, until replies name no member that it did not know.
        """
        if self._round <= self._asks_until:
            return Message(self.me)
        return self.message_for(name)

    def message_for(self, name: str) -> Message:
        """Give what to tell a member.

        What is wrongly believed of the receiver always comes first, so
        that it can refute it.
        """
        settings, size = self._settings, len(self._roster)
        names = (
            name,
            self.newest.name,
            *self._news.take(settings.news, size),
            *self._rotation.take(settings.repeated, self._roster),
        )
        members = map(self._roster.get, dict.fromkeys(names))
        marks = self._backends.take_marks(settings.news, size)
        return Message(
            self.me, tuple(m for m in members if m is not None), marks
        )

    def receive(self, message: Message, now: float) -> None:
        """Take a heartbeat or a reply to one."""
        sender = message.sender
        if sender.name == self.me.name:
            return
        self._merge(sender, now)
        self._hear_from(sender)
        for member in message.members:
            if member.name == self.me.name:
                self._hear_of_me(member)
            else:
                self._merge(member, now)
        self._note_change(self._backends.merge(message.backends, now))

    def reply(self, message: Message, now: float) -> Message:
        """Take a heartbeat and give the reply to it.

        A member that knows of no other is told of all.
        """
        self.receive(message, now)
        if message.members:
            return self.message_for(message.sender.name)
        return Message(self.me, self._roster.all(), self._backends.all_marks())

    def receive_reply(self, message: Message, now: float) -> None:
        """Take the reply to a heartbeat."""
        before = len(self._roster)
        self.receive(message, now)
        learned = len(self._roster) > before
        if learned and self._round <= self._settings.young_rounds:
            self._asks_until = self._round + 1
        self.joined = True

    def helpers(self, name: str) -> tuple[Contact, ...]:
        """Give members to ask for a probe of one that did not answer.

        Members on its machine or on ours would fail with it or with us.
        """
        target = self._roster.get(name)
        shunned = {self.me.address, target.address if target else ""}
        able = [
            member
            for member in self._roster.living()
            if member.state is MemberState.ALIVE
            and member.address not in shunned
        ]
        count = min(self._settings.helpers, len(able))
        return tuple(map(_contact, self._rng.sample(able, count)))

    def suspect(self, name: str, incarnation: int, now: float) -> None:
        """Doubt a member that neither we nor helpers could reach.

        :param incarnation: the one that was tried
        """
        member = self._roster.get(name)
        if member is None or member.incarnation != incarnation:
            return
        if self.is_late(now):
            return
        match member.state:
            case MemberState.ALIVE:
                self._merge(replace(member, state=MemberState.SUSPECT), now)
            case MemberState.LEAVING:
                self._claims.pop(name, None)
                self._roster.doubt(name, now)

    def is_late(self, now: float) -> bool:
        """Tell whether our own rounds are late.

        A missing reply may be our own fault then, and proves nothing.
        """
        late_s = max(self._late_s, self._lateness_s(now))
        return late_s > self._settings.heartbeat_s / 2

    def contact_of(self, name: str) -> Contact | None:
        """Give the place of a member that is not dead."""
        member = self._roster.get(name)
        if member is None or member.state is MemberState.DEAD:
            return None
        return _contact(member)

    def incarnation_of(self, name: str) -> int:
        """Give the incarnation known of a member; 0 where there is none."""
        member = self._roster.get(name)
        return member.incarnation if member is not None else 0

    def _merge(self, member: Member, now: float) -> None:
        """Take what is said of another member."""
        old = self._roster.get(member.name)
        if old is None:
            self._store(member, now)
            if member.state is not MemberState.DEAD:
                self._news.add(member.name)
            return
        if (member.incarnation, member.state) > (old.incarnation, old.state):
            if not self._is_unproven(member, old):
                self._replace(old, member, now)
            elif len(self._claims) < MAX_CLAIMS:
                self._claims[member.name] = None
        elif member.incarnation == old.incarnation:
            self._take_generation(old, member.generation)

    def _is_unproven(self, said: Member, old: Member) -> bool:
        """Tell whether a death is said of a member not yet doubted.

        After a partition each side believes the other dead. Such a claim
        is tried by a heartbeat of our own.
        """
        dead = said.state is MemberState.DEAD
        same = said.incarnation == old.incarnation
        return dead and same and not self._roster.is_doubted(said.name)

    def _replace(self, old: Member, said: Member, now: float) -> None:
        generation = said.generation
        if said.incarnation == old.incarnation:
            generation = max(generation, old.generation)
        self._store(replace(said, generation=generation), now)
        self._news.add(said.name)
        self._urgent |= said.state is not MemberState.ALIVE
        self.suspicions += said.state is MemberState.SUSPECT
        self.deaths += said.state is MemberState.DEAD
        refuted = said.incarnation == old.incarnation + 1
        if old.state is MemberState.DEAD and refuted:
            # A partition seems to have ended: find the others beyond it.
            rounds = self._settings.contact_rounds
            self._eager_until = now + rounds * self._settings.heartbeat_s

    def _store(self, member: Member, now: float) -> None:
        self._roster.store(member, now)
        self._claims.pop(member.name, None)
        self._neighbours = None
        self._changed = True
        if member.state is not MemberState.DEAD:
            self._note_generation(member)
        elif self.newest.name == member.name:
            known = (self.me, *self._roster.living())
            self.newest = max(known, key=lambda m: m.generation)

    def _take_generation(self, old: Member, generation: int) -> None:
        if generation <= old.generation:
            return
        newer = replace(old, generation=generation)
        self._roster.refresh(newer)
        self._news.add(old.name, urgent=False)
        if old.state is not MemberState.DEAD:
            self._note_generation(newer)

    def _note_generation(self, member: Member) -> None:
        if member.generation > self.newest.generation:
            self.newest = member
            self._urgent = True

    def _note_change(self, changed: bool) -> None:
        self._urgent |= changed
        self._changed |= changed

    def _hear_from(self, sender: Member) -> None:
        """Drop doubts of a member that has spoken for itself."""
        if self.incarnation_of(sender.name) != sender.incarnation:
            return
        self._claims.pop(sender.name, None)
        if sender.state is MemberState.LEAVING:
            self._roster.trust(sender.name)

    def _hear_of_me(self, said: Member) -> None:
        """Refute what is said of this member, where it is wrong.

        A living member of this name at another address is a later start.
        """
        mine = (self.me.incarnation, self.me.state)
        if (said.incarnation, said.state) <= mine:
            return
        moved = said.address != self.me.address
        self.superseded = moved and said.state not in REFUTABLE
        if not self.superseded:
            self.me = replace(self.me, incarnation=said.incarnation + 1)
            self._note_change(True)

    def _bury(self, now: float) -> None:
        """Turn suspicions that nobody refuted into deaths."""
        before = now - self._settings.suspect_s
        for member in self._roster.doubted_since(before):
            self._merge(replace(member, state=MemberState.DEAD), now)

    def _forget(self, now: float) -> None:
        """Drop the dead whose machine is listed no more."""
        for name in (member.name for member in self._roster.dead()):
            recent = self._roster.age_s(name, now) < self._settings.dead_s
            if recent or self._listing.is_listed(name):
                continue
            self._roster.remove(name)
            self._news.discard(name)
            self._listing.forget(name)

    def _lateness_s(self, now: float) -> float:
        """Give how much later than due the next round would be now."""
        if self._round_at is None:
            return 0.0
        return now - self._round_at - self._settings.heartbeat_s

    def _strangers(self, count: int) -> list[Contact]:
        """Give machines where a member may be that is not known alive."""
        able = self._listing.strangers(
            self._settings.programs,
            (self.me, *self._roster.living()),
            self._roster.dead(),
        )
        return self._rng.sample(able, min(count, len(able)))


def _contact(member: Member) -> Contact:
    return Contact(member.name, member.program, member.address)


__all__ = ["MembershipView"]

"""What one member knows of all others, and what it says about them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from mulberrypass.peer.api import Member, MemberState
from mulberrypass.platform.api import ListedKind
from mulberrypass.policy.membership_backends import LeavingBackends
from mulberrypass.policy.membership_listing import Listing
from mulberrypass.policy.membership_messages import (
    Contact,
    Message,
    ViewSettings,
)
from mulberrypass.policy.membership_news import NewsQueue, Rotation
from mulberrypass.policy.membership_ring import neighbours

if TYPE_CHECKING:
    import random

    from mulberrypass.platform.api import Listed

MAX_CLAIMS = 8
URGENT = frozenset(
    {MemberState.SUSPECT, MemberState.LEAVING, MemberState.DEAD}
)


class MembershipView:
    """One member's knowledge of the fleet. Not safe between threads.

    Of what is said of a member, the higher (incarnation, state) stands.
    Only a member itself raises its incarnation, which refutes suspicion
    and death. The platform's list shows whom to contact and who is to
    leave; it neither kills nor revives a member.

    :param me: this member, with the incarnation of this start
    """

    def __init__(
        self, me: Member, settings: ViewSettings, rng: random.Random
    ) -> None:
        self.me = me
        self.superseded = False
        self.suspicions = 0
        self.deaths = 0
        self._settings = settings
        self._rng = rng
        self._others: dict[str, Member] = {}
        self._since: dict[str, float] = {}
        self._doubted: dict[str, float] = {}
        self._news = NewsQueue()
        self._rotation = Rotation(rng)
        self._backends = LeavingBackends()
        self._claims: dict[str, int] = {}
        self._listing = Listing()
        self._neighbours: tuple[str, ...] | None = None
        self._round = 0
        self._asks_until = settings.asking_rounds
        self._eager_until = float("-inf")
        self._round_at: float | None = None
        self._joined = False
        self._changed = True
        self._urgent = False
        self._newest = me

    @property
    def joined(self) -> bool:
        """Whether any other member has answered."""
        return self._joined

    def known(self) -> tuple[Member, ...]:
        """Give all members that are not dead, this one included.

        A member on a machine that is listed as leaving is leaving.
        """
        others = (
            member
            for member in self._others.values()
            if member.state is not MemberState.DEAD
        )
        return tuple(map(self._with_list, (self.me, *others)))

    def dead(self) -> tuple[Member, ...]:
        """Give the dead that are remembered."""
        return tuple(
            member
            for member in self._others.values()
            if member.state is MemberState.DEAD
        )

    def neighbours(self) -> tuple[str, ...]:
        """Give the names of those that get heartbeats."""
        if self._neighbours is None:
            living = (
                name
                for name, member in self._others.items()
                if member.state is not MemberState.DEAD
            )
            count = self._settings.neighbours
            self._neighbours = neighbours(self.me.name, living, count)
        return self._neighbours

    def leaving_backends(self) -> frozenset[str]:
        """Give backend servers that are leaving."""
        return self._backends.leaving()

    def newest(self) -> Member:
        """Give a member that has the highest generation known."""
        return self._newest

    def take_changed(self) -> bool:
        """Tell once whether members or backend servers have changed."""
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
            self._spread_me()

    def report_backend(self, backend: str, now: float) -> None:
        """Say that a backend server is leaving."""
        self._backends_changed(self._backends.report(backend, now))

    def start_round(self, now: float) -> tuple[Contact, ...]:
        """Give the places to send heartbeats to.

        A member that was paused distrusts its own silence: it starts all
        suspicions over.
        """
        paused = self._pause_s(now) > self._settings.suspect_s / 2
        self._round_at = now
        if paused:
            self._doubted = dict.fromkeys(self._doubted, now)
        self._bury(now)
        self._forget(now)
        names = dict.fromkeys((*self.neighbours(), *self._claims))
        contacts = [self._contact(name) for name in names]
        self._round += 1
        eager = not contacts or now < self._eager_until
        if eager:
            contacts += self._strangers(self._settings.neighbours)
        elif self._round % self._settings.contact_rounds == 0:
            contacts += self._strangers(1)
        return tuple(contacts)

    def heartbeat_for(self, name: str) -> Message:
        """Give the heartbeat to a member.

        A member that has just started tells of nobody, and so is told of
        all, until the replies name no more that it did not know.
        """
        if self._round <= self._asks_until:
            return Message(self.me)
        return self.message_for(name)

    def message_for(self, name: str) -> Message:
        """Give what to tell a member.

        What is wrongly believed of the receiver always comes first, so
        that it can refute it.
        """
        settings = self._settings
        names = dict.fromkeys(
            (
                name,
                self._newest.name,
                *self._news.take(settings.news, len(self._others)),
                *self._rotation.take(settings.repeated, self._others),
            )
        )
        members = tuple(self._others[n] for n in names if n in self._others)
        marks = self._backends.take_marks(settings.news, len(self._others))
        return Message(self.me, members, marks)

    def receive(self, message: Message, now: float) -> None:
        """Take a heartbeat or a reply to one."""
        sender = message.sender
        if sender.name == self.me.name:
            return
        self._merge(sender, now)
        self._heard(sender)
        for member in message.members:
            if member.name == self.me.name:
                self._hear_of_me(member)
            else:
                self._merge(member, now)
        self._backends_changed(self._backends.merge(message.backends, now))

    def reply(self, message: Message, now: float) -> Message:
        """Take a heartbeat and give the reply to it.

        A member that knows of no other is told of all.
        """
        self.receive(message, now)
        if message.members:
            return self.message_for(message.sender.name)
        members = tuple(self._others.values())
        return Message(self.me, members, self._backends.all_marks())

    def receive_reply(self, message: Message, now: float) -> None:
        """Take the reply to a heartbeat."""
        known = len(self._others)
        self.receive(message, now)
        if len(self._others) > known + self._settings.news:
            self._asks_until = self._round + 1
        self._joined = True

    def helpers(self, name: str) -> tuple[Contact, ...]:
        """Give members to ask for a probe of one that did not answer."""
        able = [
            member.name
            for member in self._others.values()
            if member.state is MemberState.ALIVE and member.name != name
        ]
        count = min(self._settings.helpers, len(able))
        return tuple(map(self._contact, self._rng.sample(able, count)))

    def suspect(self, name: str, incarnation: int, now: float) -> bool:
        """Doubt a member that neither we nor helpers could reach.

        :param incarnation: the one that was tried
        :returns: whether that is a new suspicion
        """
        member = self._others.get(name)
        if member is None or member.incarnation != incarnation:
            return False
        if self._pause_s(now) > self._settings.suspect_s / 2:
            return False
        match member.state:
            case MemberState.ALIVE:
                suspected = replace(member, state=MemberState.SUSPECT)
                self._merge(suspected, now)
                return True
            case MemberState.LEAVING:
                self._claims.pop(name, None)
                self._doubted.setdefault(name, now)
        return False

    def take_list(self, listed: tuple[Listed, ...], now: float) -> None:
        """Take the platform's list."""
        self._changed |= self._listing.take(listed)
        states = {
            e.name: e.state for e in listed if e.kind is ListedKind.BACKEND
        }
        self._backends_changed(self._backends.take_list(states, now))

    def contact_of(self, name: str) -> Contact | None:
        """Give the place of a member that is not dead."""
        member = self._others.get(name)
        if member is None or member.state is MemberState.DEAD:
            return None
        return self._contact(name)

    def incarnation_of(self, name: str) -> int:
        """Give the incarnation known of a member; 0 where there is none."""
        member = self._others.get(name)
        return member.incarnation if member is not None else 0

    def _merge(self, member: Member, now: float) -> None:
        old = self._others.get(member.name)
        if old is None:
            self._store(member, now)
            if member.state is not MemberState.DEAD:
                self._spread(member)
            return
        rank = (member.incarnation, member.state)
        old_rank = (old.incarnation, old.state)
        if rank > old_rank and self._is_unproven(member):
            self._claim(member)
        elif rank > old_rank:
            self._note_revival(member, old, now)
            self.suspicions += member.state is MemberState.SUSPECT
            self.deaths += member.state is MemberState.DEAD
            generation = member.generation
            if member.incarnation == old.incarnation:
                generation = max(generation, old.generation)
            newer = replace(member, generation=generation)
            self._store(newer, now)
            self._spread(newer)
        elif member.incarnation == old.incarnation:
            if member.generation > old.generation:
                newer = replace(old, generation=member.generation)
                self._others[member.name] = newer
                self._note_generation(newer)
                self._changed = True

    def _note_revival(self, new: Member, old: Member, now: float) -> None:
        """Look for others beyond a partition that seems to have ended."""
        refuted = new.incarnation == old.incarnation + 1
        if old.state is MemberState.DEAD and refuted:
            rounds = self._settings.contact_rounds
            self._eager_until = now + rounds * self._settings.heartbeat_s

    def _is_unproven(self, member: Member) -> bool:
        """Tell whether a death is claimed of a member not yet doubted.

        After a partition each side believes the other dead. Such a claim
        is tried by a heartbeat of our own.
        """
        old = self._others[member.name]
        dead = member.state is MemberState.DEAD
        same = member.incarnation == old.incarnation
        return dead and same and member.name not in self._doubted

    def _claim(self, member: Member) -> None:
        if len(self._claims) < MAX_CLAIMS:
            self._claims[member.name] = member.incarnation

    def _heard(self, sender: Member) -> None:
        """Drop doubts of a member that has spoken for itself."""
        known = self._others[sender.name]
        if known.incarnation == sender.incarnation:
            self._claims.pop(sender.name, None)
            if known.state is MemberState.LEAVING:
                self._doubted.pop(sender.name, None)

    def _store(self, member: Member, now: float) -> None:
        self._others[member.name] = member
        self._since[member.name] = now
        self._neighbours = None
        self._changed = True
        if member.state is MemberState.SUSPECT:
            self._doubted[member.name] = now
        else:
            self._doubted.pop(member.name, None)
        self._claims.pop(member.name, None)
        if member.state is MemberState.DEAD:
            self._drop_newest(member.name)
        self._note_generation(member)

    def _spread(self, member: Member) -> None:
        self._news.add(member.name)
        self._urgent |= member.state in URGENT

    def _spread_me(self) -> None:
        self._urgent = True
        self._changed = True

    def _drop_newest(self, name: str) -> None:
        if self._newest.name == name:
            self._newest = max(self.known(), key=lambda m: m.generation)

    def _note_generation(self, member: Member) -> None:
        if member.state is MemberState.DEAD:
            return
        if member.generation > self._newest.generation:
            self._newest = member
            self._urgent = True

    def _backends_changed(self, changed: bool) -> None:
        self._urgent |= changed
        self._changed |= changed

    def _hear_of_me(self, said: Member) -> None:
        """Refute what is said of this member, where it is wrong."""
        mine = (self.me.incarnation, self.me.state)
        if (said.incarnation, said.state) <= mine:
            return
        if said.address != self.me.address:
            self.superseded = True
            return
        self.me = replace(self.me, incarnation=said.incarnation + 1)
        self._spread_me()

    def _bury(self, now: float) -> None:
        """Turn suspicions that nobody refuted into deaths."""
        suspect_s = self._settings.suspect_s
        for name, since in tuple(self._doubted.items()):
            if now - since >= suspect_s:
                dead = replace(self._others[name], state=MemberState.DEAD)
                self._merge(dead, now)

    def _forget(self, now: float) -> None:
        """Drop the dead whose machine is listed no more."""
        for member in self.dead():
            name = member.name
            age_s = now - self._since[name]
            if self._listing.is_listed(name) or age_s < self._settings.dead_s:
                continue
            del self._others[name]
            del self._since[name]
            self._news.discard(name)
            self._listing.forget(name)

    def _pause_s(self, now: float) -> float:
        """Give how much later than due a round starts."""
        if self._round_at is None:
            return 0.0
        return now - self._round_at - self._settings.heartbeat_s

    def _contact(self, name: str) -> Contact:
        member = self._others[name]
        return Contact(name, member.program, member.address)

    def _strangers(self, count: int) -> list[Contact]:
        """Give machines where a member may be that is not known alive."""
        names = {(m.program, m.address): m.name for m in self.dead()}
        places = self._listing.places(self._settings.programs)
        known = {(m.program, m.address) for m in self.known()}
        able = sorted((places | names.keys()) - known)
        chosen = self._rng.sample(able, min(count, len(able)))
        return [Contact(names.get(p, ""), *p) for p in chosen]

    def _with_list(self, member: Member) -> Member:
        if not self._listing.is_leaving(member.name):
            return member
        leaving = max(member.state, MemberState.LEAVING)
        return replace(member, state=leaving)


__all__ = ["MembershipView"]

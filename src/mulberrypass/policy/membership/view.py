"""One member's view of the fleet, and the messages that it sends."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from mulberrypass.model.member import Member, MemberState
from mulberrypass.model.store import ListedKind
from mulberrypass.policy.membership.backends import LeavingBackends
from mulberrypass.policy.membership.crashes import CrashGossip
from mulberrypass.policy.membership.gossip import GossipQueue, Rotation
from mulberrypass.policy.membership.instance_list import ListedInstances
from mulberrypass.policy.membership.member_table import MemberTable
from mulberrypass.policy.membership.messages import (
    Contact,
    Message,
    ViewSettings,
)
from mulberrypass.policy.membership.ring import neighbours

if TYPE_CHECKING:
    import random

    from mulberrypass.model.store import ListedMachine
    from mulberrypass.policy.health.crashes import Crash

MAX_UNVERIFIED_DEATHS = 8
REFUTABLE_STATES = frozenset({MemberState.SUSPECT, MemberState.DEAD})


class MembershipView:
    """One member's view of the fleet. Not thread-safe.

    Of two states of a member, the higher (incarnation, state) wins. Only
    the member itself raises its incarnation, which refutes a suspicion or
    a reported death. The platform's list adds addresses to contact and
    marks instances as leaving; it never makes a member dead or alive.

    ``newest`` is a member with the highest known generation.

    :param me: this member, with the incarnation of this process
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
        self._table = MemberTable()
        self._gossip = GossipQueue()
        self._rotation = Rotation(rng)
        self._backends = LeavingBackends()
        self._crashes = CrashGossip()
        self._instances = ListedInstances()
        self._unverified_deaths: dict[str, None] = {}
        self._neighbours: tuple[str, ...] | None = None
        self._round = 0
        self._round_started_at: float | None = None
        self._late_s = 0.0
        self._full_sync_until = settings.full_sync_rounds
        self._discover_until = float("-inf")
        self._changed = True
        self._urgent = False
        self._touched = {me.name}
        self.newest = me

    def known(self) -> tuple[Member, ...]:
        """Return all members that are not dead, including this one.

        Members on an instance that is listed as leaving are leaving.
        """
        known = (self.me, *self._table.live())
        return tuple(map(self._instances.apply_leaving, known))

    def dead(self) -> tuple[Member, ...]:
        """Return the dead members that are still remembered."""
        return self._table.dead()

    def neighbours(self) -> tuple[str, ...]:
        """Return the names of the members that get heartbeats."""
        if self._neighbours is None:
            live = (member.name for member in self._table.live())
            count = self._settings.neighbours
            self._neighbours = neighbours(self.me.name, live, count)
        return self._neighbours

    def leaving_backends(self) -> frozenset[str]:
        """Return the names of the backend servers that are leaving."""
        return self._backends.leaving()

    def take_changed(self) -> bool:
        """Return and clear whether members or backend servers changed.

        A newer generation of a member doesn't count as a change.
        """
        changed, self._changed = self._changed, False
        return changed

    @property
    def has_touched(self) -> bool:
        """Whether any member may differ from when it was last taken."""
        return bool(self._touched)

    def take_touched(self) -> dict[str, Member | None]:
        """Return and clear the members that may have changed.

        Members on an instance that is listed as leaving are leaving.

        :returns: the members by name, ``None`` for one that is dead
        """
        touched, self._touched = sorted(self._touched), set()
        return {name: self._known_member(name) for name in touched}

    def take_urgent(self) -> bool:
        """Return and clear whether an update shouldn't wait for a round."""
        urgent, self._urgent = self._urgent, False
        return urgent or self._round < self._full_sync_until

    def set_seeds(self, addresses: tuple[str, ...]) -> None:
        """Set the addresses to contact until the list has been read."""
        self._instances.set_seeds(addresses)

    def set_generation(self, generation: int) -> None:
        """Set the configuration generation in force on this member."""
        if generation > self.me.generation:
            self._replace_me(replace(self.me, generation=generation))
            self._note_generation(self.me)

    def leave(self) -> None:
        """Mark this member as leaving, which can't be undone."""
        if self.me.state is not MemberState.LEAVING:
            self._replace_me(replace(self.me, state=MemberState.LEAVING))
            self._note_change(True)

    def report_backend(self, backend: str, now: float) -> None:
        """Record that a backend server has said that it is leaving."""
        self._note_change(self._backends.report(backend, now))

    def report_crash(self, crash: Crash, now: float) -> None:
        """Record the crash of an engine, to send it to other members."""
        self._urgent |= self._crashes.report(crash, now)

    def take_crashes(self) -> tuple[Crash, ...]:
        """Return the crashes that other members have told of since."""
        return self._crashes.take_changed()

    def apply_list(self, items: tuple[ListedMachine, ...], now: float) -> None:
        """Apply the platform's list of instances and backend servers."""
        if self._instances.update(items):
            self._changed = True
            self._touched.update((self.me.name, *self._table))
        states = {
            e.name: e.state for e in items if e.kind is ListedKind.BACKEND
        }
        self._note_change(self._backends.apply_list(states, now))

    def start_round(self, now: float) -> tuple[Contact, ...]:
        """Start a round and return the contacts to send heartbeats to.

        After a pause of its own, a member may have missed refutations, so
        it restarts the timeout of every suspicion.
        """
        self._late_s = self._lateness_s(now)
        if self._late_s > self._settings.suspect_s / 2:
            self._table.restart_suspicions(now)
        self._round_started_at = now
        self._round += 1
        self._declare_dead(now)
        self._remove_expired(now)
        names = dict.fromkeys((*self.neighbours(), *self._unverified_deaths))
        found = map(self.contact_of, names)
        contacts = [contact for contact in found if contact is not None]
        if not contacts or now < self._discover_until:
            contacts += self._discovery_contacts(self._settings.neighbours)
        elif self._round % self._settings.discovery_rounds == 0:
            contacts += self._discovery_contacts(1)
        return tuple(contacts)

    def heartbeat_for(self, name: str) -> Message:
        """Return the heartbeat to send to a member.

        After its start a member lists no members in it, which requests
        the full list, until replies contain no unknown member.
        """
        if self._round <= self._full_sync_until:
            return Message(self.me)
        return self.message_for(name)

    def message_for(self, name: str) -> Message:
        """Return the message to send to a member.

        The receiver's state comes first, so that it can refute it.
        """
        settings, size = self._settings, len(self._table)
        names = (
            name,
            self.newest.name,
            *self._gossip.take(settings.gossip_entries, size),
            *self._rotation.take(settings.refresh_entries, self._table),
        )
        members = map(self._table.get, dict.fromkeys(names))
        return Message(
            self.me,
            tuple(m for m in members if m is not None),
            self._backends.next_updates(settings.gossip_entries, size),
            self._crashes.next_updates(size),
        )

    def receive(self, message: Message, now: float) -> None:
        """Apply a heartbeat or a reply to one."""
        sender = message.sender
        if sender.name == self.me.name:
            return
        self._merge(sender, now)
        self._clear_suspicion(sender)
        for member in message.members:
            if member.name == self.me.name:
                self._refute(member)
            else:
                self._merge(member, now)
        self._note_change(self._backends.merge(message.backends, now))
        self._urgent |= self._crashes.merge(message.crashes, now)

    def reply(self, message: Message, now: float) -> Message:
        """Apply a heartbeat and return the reply to it.

        A heartbeat without members is answered with the full list.
        """
        self.receive(message, now)
        if message.members:
            return self.message_for(message.sender.name)
        return Message(
            self.me,
            self._table.all(),
            self._backends.snapshot(),
            self._crashes.snapshot(),
        )

    def receive_reply(self, message: Message, now: float) -> None:
        """Apply the reply to a heartbeat."""
        before = len(self._table)
        self.receive(message, now)
        learned = len(self._table) > before
        if learned and self._round <= self._settings.max_full_sync_rounds:
            self._full_sync_until = self._round + 1
        self.joined = True

    def helpers(self, name: str) -> tuple[Contact, ...]:
        """Return members to ask for an indirect probe of a silent member.

        Members on its instance or on this one are left out: they would
        fail together with it or with this member.
        """
        target = self._table.get(name)
        excluded = {self.me.address, target.address if target else ""}
        candidates = [
            member
            for member in self._table.live()
            if member.state is MemberState.ALIVE
            and member.address not in excluded
        ]
        count = min(self._settings.helpers, len(candidates))
        return tuple(map(_contact, self._rng.sample(candidates, count)))

    def suspect(self, name: str, incarnation: int, now: float) -> None:
        """Suspect a member that direct and indirect probes didn't reach.

        :param incarnation: incarnation at the time of the probes
        """
        member = self._table.get(name)
        if member is None or member.incarnation != incarnation:
            return
        if self.is_late(now):
            return
        match member.state:
            case MemberState.ALIVE:
                self._merge(replace(member, state=MemberState.SUSPECT), now)
            case MemberState.LEAVING:
                self._unverified_deaths.pop(name, None)
                self._table.start_suspicion(name, now)

    def is_late(self, now: float) -> bool:
        """Return whether this member's own rounds are late.

        A missing reply may then be its own fault and proves nothing.
        """
        late_s = max(self._late_s, self._lateness_s(now))
        return late_s > self._settings.heartbeat_s / 2

    def contact_of(self, name: str) -> Contact | None:
        """Return the contact of a member, or ``None`` if dead or unknown."""
        member = self._table.get(name)
        if member is None or member.state is MemberState.DEAD:
            return None
        return _contact(member)

    def incarnation_of(self, name: str) -> int:
        """Return the known incarnation of a member, 0 if unknown."""
        member = self._table.get(name)
        return member.incarnation if member is not None else 0

    def _known_member(self, name: str) -> Member | None:
        """Return a member as others should see it, ``None`` if dead."""
        member = self.me if name == self.me.name else self._table.get(name)
        if member is None or member.state is MemberState.DEAD:
            return None
        return self._instances.apply_leaving(member)

    def _replace_me(self, me: Member) -> None:
        self.me = me
        self._touched.add(me.name)

    def _merge(self, member: Member, now: float) -> None:
        """Merge a received state of another member."""
        old = self._table.get(member.name)
        if old is None:
            self._store(member, now)
            if member.state is not MemberState.DEAD:
                self._gossip.add(member.name)
            return
        if (member.incarnation, member.state) > (old.incarnation, old.state):
            if not self._is_unverified_death(member, old):
                self._replace(old, member, now)
            elif len(self._unverified_deaths) < MAX_UNVERIFIED_DEATHS:
                self._unverified_deaths[member.name] = None
        elif member.incarnation == old.incarnation:
            self._update_generation(old, member.generation)

    def _is_unverified_death(self, new: Member, old: Member) -> bool:
        """Return whether a death is reported of a member not suspected.

        After a partition each side holds the other one dead, so this
        member sends a heartbeat of its own before it accepts the report.
        """
        dead = new.state is MemberState.DEAD
        same = new.incarnation == old.incarnation
        return dead and same and not self._table.is_suspected(new.name)

    def _replace(self, old: Member, new: Member, now: float) -> None:
        generation = new.generation
        if new.incarnation == old.incarnation:
            generation = max(generation, old.generation)
        self._store(replace(new, generation=generation), now)
        self._gossip.add(new.name)
        self._urgent |= new.state is not MemberState.ALIVE
        self.suspicions += new.state is MemberState.SUSPECT
        self.deaths += new.state is MemberState.DEAD
        refuted = new.incarnation == old.incarnation + 1
        if old.state is MemberState.DEAD and refuted:
            # A partition has probably healed: find the members behind it.
            rounds = self._settings.discovery_rounds
            self._discover_until = now + rounds * self._settings.heartbeat_s

    def _store(self, member: Member, now: float) -> None:
        was_live = self.contact_of(member.name) is not None
        if was_live != (member.state is not MemberState.DEAD):
            self._neighbours = None
        self._table.store(member, now)
        self._unverified_deaths.pop(member.name, None)
        self._changed = True
        self._touched.add(member.name)
        if member.state is not MemberState.DEAD:
            self._note_generation(member)
        elif self.newest.name == member.name:
            known = (self.me, *self._table.live())
            self.newest = max(known, key=lambda m: m.generation)

    def _update_generation(self, old: Member, generation: int) -> None:
        if generation <= old.generation:
            return
        newer = replace(old, generation=generation)
        self._table.replace_member(newer)
        self._touched.add(old.name)
        self._gossip.add(old.name, urgent=False)
        if old.state is not MemberState.DEAD:
            self._note_generation(newer)

    def _note_generation(self, member: Member) -> None:
        if member.generation > self.newest.generation:
            self.newest = member
            self._urgent = True

    def _note_change(self, changed: bool) -> None:
        self._urgent |= changed
        self._changed |= changed

    def _clear_suspicion(self, sender: Member) -> None:
        """End the suspicion of a member that has sent a message itself."""
        if self.incarnation_of(sender.name) != sender.incarnation:
            return
        self._unverified_deaths.pop(sender.name, None)
        if sender.state is MemberState.LEAVING:
            self._table.clear_suspicion(sender.name)

    def _refute(self, reported: Member) -> None:
        """Refute a reported state of this member that is wrong.

        A live member of this name at another address is a later process.
        """
        own = (self.me.incarnation, self.me.state)
        if (reported.incarnation, reported.state) <= own:
            return
        moved = reported.address != self.me.address
        self.superseded = moved and reported.state not in REFUTABLE_STATES
        if not self.superseded:
            incarnation = reported.incarnation + 1
            self._replace_me(replace(self.me, incarnation=incarnation))
            self._note_change(True)

    def _declare_dead(self, now: float) -> None:
        """Declare members dead whose suspicion has timed out."""
        before = now - self._settings.suspect_s
        for member in self._table.suspected_before(before):
            self._merge(replace(member, state=MemberState.DEAD), now)

    def _remove_expired(self, now: float) -> None:
        """Remove dead members whose instance is no longer listed."""
        for name in (member.name for member in self._table.dead()):
            recent = self._table.age_s(name, now) < self._settings.dead_ttl_s
            if recent or self._instances.is_listed(name):
                continue
            self._table.remove(name)
            self._gossip.discard(name)
            self._instances.forget(name)

    def _lateness_s(self, now: float) -> float:
        """Return how late the next round would be if it started now."""
        if self._round_started_at is None:
            return 0.0
        return now - self._round_started_at - self._settings.heartbeat_s

    def _discovery_contacts(self, count: int) -> list[Contact]:
        """Return a random choice of addresses without a known live member."""
        candidates = self._instances.discovery_contacts(
            self._settings.programs,
            (self.me, *self._table.live()),
            self._table.dead(),
        )
        return self._rng.sample(candidates, min(count, len(candidates)))


def _contact(member: Member) -> Contact:
    return Contact(member.name, member.program, member.address)


__all__ = ["MembershipView"]

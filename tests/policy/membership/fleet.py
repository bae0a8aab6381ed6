"""Simulation of a fleet of membership views, with its own clock."""

from __future__ import annotations

from dataclasses import dataclass, field
import heapq
import itertools
import random
from typing import TYPE_CHECKING

from mulberrypass.model.member import Member, MemberState
from mulberrypass.model.store import ListedKind, ListedMachine, ListedState
from mulberrypass.policy.membership.messages import Contact, ViewSettings
from mulberrypass.policy.membership.view import MembershipView

if TYPE_CHECKING:
    from collections.abc import Callable

SETTINGS = ViewSettings(programs=("entry",))
TIMEOUT_S = 1.0
MIN_GAP_S = 0.2


@dataclass(eq=False, slots=True)
class Node:
    """One simulated member."""

    view: MembershipView
    address: str
    up: bool = True
    paused: bool = False
    partition: int = 0
    round_at: float = 0.0
    waiting: list[Callable[[], None]] = field(default_factory=list)

    @property
    def name(self) -> str:
        """The member's name."""
        return self.view.me.name

    @property
    def runs(self) -> bool:
        """Whether the member is up and not paused."""
        return self.up and not self.paused


def states_in(view: MembershipView) -> dict[str, MemberState]:
    """Return the state of each member in a view."""
    everyone = (*view.known(), *view.dead())
    return {member.name: member.state for member in everyone}


class Fleet:
    """Members that exchange heartbeats over a lossy network.

    :param loss: probability that a request is lost, and that a reply is
    """

    def __init__(self, size: int, seed: int, loss: float = 0.0) -> None:
        self.now = 0.0
        self.loss = loss
        self.rng = random.Random(seed)
        self.nodes: dict[str, Node] = {}
        self.listed: tuple[ListedMachine, ...] = ()
        self.exchanges = 0
        self.entries = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        for number in range(size):
            self.start(number)
        self.publish_list()

    def start(self, number: int) -> Node:
        """Start or restart a member."""
        address = f"127.0.10.{number + 1}"
        incarnation = int(self.now * 1_000) + 1
        me = Member(f"entry@i{number:03}", "entry", "z", address, incarnation)
        view = MembershipView(me, SETTINGS, self.rng)
        view.apply_list(self.listed, self.now)
        node = Node(view, address)
        self.nodes[address] = node
        self._at(self.now + self.rng.random(), lambda: self._round(node))
        return node

    def publish_list(self, leaving: frozenset[str] = frozenset()) -> None:
        """Hand every member a list of all members that are up."""
        self.listed = tuple(
            ListedMachine(
                node.name.partition("@")[2],
                ListedKind.INSTANCE,
                "z",
                node.address,
                ListedState.LEAVING
                if node.name in leaving
                else ListedState.LIVE,
            )
            for node in self.nodes.values()
            if node.up
        )
        for node in self.nodes.values():
            node.view.apply_list(self.listed, self.now)

    def run(self, seconds: float) -> None:
        """Advance the clock and run the events that fall due."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = until

    def resume(self, node: Node) -> None:
        """End a pause and run the events that fell due during it."""
        node.paused = False
        waiting, node.waiting = node.waiting, []
        for event in waiting:
            event()

    def states_of(self, of: str) -> set[MemberState | None]:
        """Return the states of a member in the views of others that run."""
        return {
            states_in(node.view).get(of)
            for node in self.running()
            if node.name != of
        }

    def running(self) -> list[Node]:
        """Return the members that run."""
        return [node for node in self.nodes.values() if node.runs]

    def _at(self, when: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), event))

    def _round(self, node: Node) -> None:
        if not node.up:
            return
        if node.paused:
            node.waiting.append(lambda: self._round(node))
            return
        node.round_at = self.now
        for contact in node.view.start_round(self.now):
            self._heartbeat(node, contact)
        interval_s = SETTINGS.heartbeat_s * self.rng.uniform(0.9, 1.1)
        gap_s = MIN_GAP_S if node.view.take_urgent() else interval_s
        self._at(self.now + gap_s, lambda: self._round(node))

    def _heartbeat(self, node: Node, contact: Contact) -> None:
        tried = node.view.incarnation_of(contact.name)
        if self._exchange(node, contact):
            return
        if not contact.name:
            return
        ok = self._exchange(node, contact) or any(
            self._probe(node, helper, contact)
            for helper in node.view.helpers(contact.name)
        )
        if not ok:
            self._later(
                node,
                lambda: node.view.suspect(contact.name, tried, self.now),
            )

    def _later(self, node: Node, event: Callable[[], object]) -> None:
        def due() -> None:
            if node.paused:
                node.waiting.append(due)
            else:
                event()

        self._at(self.now + 2 * TIMEOUT_S, due)

    def _probe(self, node: Node, helper: Contact, target: Contact) -> bool:
        peer = self.nodes[helper.address]
        reached = self._exchange(node, helper)
        return reached and self._exchange(peer, target)

    def _exchange(self, node: Node, contact: Contact) -> bool:
        self.exchanges += 1
        peer = self.nodes.get(contact.address)
        message = node.view.heartbeat_for(contact.name)
        self.entries += len(message.members)
        if peer is None or not peer.runs or peer.partition != node.partition:
            return False
        if self.rng.random() < self.loss:
            return False
        reply = peer.view.reply(message, self.now)
        self.entries += len(reply.members)
        if self.rng.random() < self.loss:
            return False
        node.view.receive_reply(reply, self.now)
        return True


__all__ = ["Fleet", "Node", "SETTINGS", "states_in"]

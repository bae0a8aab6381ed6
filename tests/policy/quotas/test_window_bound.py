"""Random orders of faults against the bound of a sliding window."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from mulberrypass.policy.quotas.borrowing import BorrowedTokens
from mulberrypass.policy.quotas.messages import (
    Limit,
    QuotaSettings,
    Role,
    Want,
)
from tests.policy.quotas.cases import CUSTOMER, Instance, ranked

# A small slack: the bound is near to what the rules lend.
SETTINGS = QuotaSettings(slack=8.0)
NAMES = tuple(f"entry@{number}" for number in range(6))
RANKED = ranked(NAMES)
LIMITS = (Limit(4, 24), Limit(80, 10), Limit(1, 40), Limit(30, 60))
STEP_S = 0.1
# A loss is noticed after this time, by each instance at another one.
LOSS_DELAYS_S = (0.5, 1.4)
# A return, and a new limit, spread within this time.
SPREAD_S = 0.5
FLOOD = 50

delays = st.floats(0, 1)
members = st.sampled_from(RANKED)
# Owners and deputies are drawn more often than others.
deciders = st.sampled_from(RANKED[:3])


@dataclass
class Node:
    """One instance, and what it has not noticed yet.

    :ivar pending: time at which it notices each member's change, and
        whether that member is live to it then
    """

    instance: Instance
    limit: Limit
    side: int = 0
    alive: bool = True
    paused_until: float = 0.0
    seen: set[str] = field(default_factory=set)
    pending: dict[str, tuple[float, bool]] = field(default_factory=dict)
    next_limit: tuple[float, Limit] | None = None
    borrowed: BorrowedTokens = field(
        default_factory=lambda: BorrowedTokens(SETTINGS)
    )


class QuotaMachine(RuleBasedStateMachine):
    """A fleet whose members lend one customer's tokens.

    A holder may ask any instance, owner or not. Each token that isn't lost
    or returned is used by a request that runs.
    """

    @initialize(limit=st.sampled_from(LIMITS))
    def begin(self, limit: Limit) -> None:
        self.now = 1_000.0
        self.runs: deque[tuple[float, int]] = deque()
        self.limits = [(0.0, limit)]
        self.unused: list[tuple[str, str, int]] = []
        self.nodes = {
            name: Node(Instance(name, SETTINGS), limit, seen=set(NAMES))
            for name in NAMES
        }
        for node in self.nodes.values():
            node.instance.see(NAMES, 0.0, NAMES)
            node.instance.ledger.tick(self.now)

    # What happens to the fleet.

    @rule(name=deciders, delay=delays)
    def lose(self, name: str, delay: float) -> None:
        self.nodes[name].alive = False
        self._notice(delay)

    @rule(name=members, delay=delays)
    def restart(self, name: str, delay: float) -> None:
        old = self.nodes[name]
        if old.alive:
            return
        node = Node(Instance(name, SETTINGS), old.limit, old.side)
        node.seen = {name}
        node.next_limit = old.next_limit
        self.nodes[name] = node
        self._see(node)
        self._notice(delay)

    @rule(cut=st.sets(members, min_size=1, max_size=5), delay=delays)
    def cut(self, cut: set[str], delay: float) -> None:
        for name in cut:
            self.nodes[name].side = 1
        self._notice(delay)

    @rule(name=deciders, delay=delays)
    def cut_one(self, name: str, delay: float) -> None:
        self.nodes[name].side = 2 + NAMES.index(name)
        self._notice(delay)

    @rule(delay=delays)
    def heal(self, delay: float) -> None:
        for node in self.nodes.values():
            node.side = 0
        self._notice(delay)

    @rule(name=deciders, for_s=st.floats(0.3, 4), delay=delays)
    def pause(self, name: str, for_s: float, delay: float) -> None:
        self.nodes[name].paused_until = self.now + for_s
        self._notice(delay)

    # What holders do.

    @rule(
        holder=members,
        lender=deciders,
        tokens=st.integers(1, FLOOD),
        ahead=st.integers(0, 10),
        lost=st.booleans(),
    )
    def lend(
        self, holder: str, lender: str, tokens: int, ahead: int, lost: bool
    ) -> None:
        granted = self._ask(holder, lender, tokens, ahead)
        if lost:
            self.unused.append((holder, lender, granted))
            return
        self._run(min(granted, tokens))
        left = max(0, granted - tokens)
        self.nodes[holder].borrowed.add(CUSTOMER, left, self.now)

    @rule(holder=members)
    def use(self, holder: str) -> None:
        node = self.nodes[holder]
        while self._works(node) and node.borrowed.use(CUSTOMER, self.now):
            self._run(1)

    @precondition(lambda self: self.unused)
    @rule()
    def give_back(self) -> None:
        holder, lender, tokens = self.unused.pop()
        node = self.nodes[lender]
        if self._reach(holder, lender):
            node.instance.ledger.give_back(CUSTOMER, holder, tokens, self.now)

    @rule(for_s=st.sampled_from((0.1, 1.0, 2.5, 4.0)))
    def flood(self, for_s: float) -> None:
        """Holders ask all instances for more than there is."""
        until = self.now + for_s
        while self.now < until:
            self._advance(STEP_S)
            for lender in RANKED:
                self._run(self._ask(lender, lender, FLOOD, 0))

    @rule(for_s=st.sampled_from((0.1, 0.6, 1.5, 2.5, 6.0)))
    def wait(self, for_s: float) -> None:
        until = self.now + for_s
        while self.now < until:
            self._advance(STEP_S)

    # How the fleet works.

    def _ask(self, holder: str, lender: str, tokens: int, ahead: int) -> int:
        if not self._reach(holder, lender):
            return 0
        node = self.nodes[lender]
        want = Want(CUSTOMER, holder, tokens, ahead)
        lent = node.instance.ledger.lend(want, node.limit, self.now)
        assert lent.granted == 0 or lent.role is not Role.NONE
        return lent.granted

    def _run(self, requests: int) -> None:
        if not requests:
            return
        self.runs.append((self.now, requests))
        while self.runs[0][0] <= self.now - SETTINGS.window_s:
            self.runs.popleft()
        found = sum(number for _at, number in self.runs)
        assert found <= self._bound(), (found, self._bound(), self.now)

    def _bound(self) -> float:
        """Return the bound of the window that ends now.

        A lowered limit binds one window after all instances know it. While a
        limit changes, the burst may be that of one and the rate of another.
        """
        before = self.now - 2 * SETTINGS.window_s - SPREAD_S
        in_force = [limit for at, limit in self.limits if at > before]
        in_force.append([lim for at, lim in self.limits if at <= before][-1])
        limit = Limit(
            max(limit.rate_per_s for limit in in_force),
            max(limit.burst for limit in in_force),
        )
        of_window = limit.of_window(SETTINGS.window_s)
        return of_window * (1 + SETTINGS.overage) + SETTINGS.slack

    def _works(self, node: Node) -> bool:
        return node.alive and node.paused_until <= self.now

    def _reach(self, one: str, other: str) -> bool:
        nodes = self.nodes[one], self.nodes[other]
        return all(map(self._works, nodes)) and nodes[0].side == nodes[1].side

    def _notice(self, delay: float) -> None:
        """Let each instance notice the changes of members after a time."""
        for row, node in enumerate(self.nodes.values()):
            for column, (name, other) in enumerate(self.nodes.items()):
                if other is node:
                    continue
                live = (
                    other.alive
                    and other.side == node.side
                    and other.paused_until <= self.now
                )
                _at, noticed = node.pending.get(name, (0, name in node.seen))
                if live == noticed:
                    continue
                part = (delay + row * 0.37 + column * 0.61) % 1.0
                low, high = LOSS_DELAYS_S if not live else (0.0, SPREAD_S)
                at = self.now + low + (high - low) * part
                node.pending[name] = (at, live)

    def _advance(self, step_s: float) -> None:
        before = self.now
        self.now += step_s
        for node in self.nodes.values():
            if before < node.paused_until <= self.now:
                self._notice(0.5)
        for node in self.nodes.values():
            if not self._works(node):
                continue
            if node.next_limit and node.next_limit[0] <= self.now:
                node.limit = node.next_limit[1]
                node.next_limit = None
            due = [n for n, (at, _) in node.pending.items() if at <= self.now]
            for name in due:
                if node.pending.pop(name)[1]:
                    node.seen.add(name)
                else:
                    node.seen.discard(name)
            self._see(node)
            node.instance.ledger.tick(self.now)
            node.borrowed.tick(self.now)

    def _see(self, node: Node) -> None:
        node.instance.see(node.seen, self.now, NAMES)


class ChangingLimitMachine(QuotaMachine):
    """The same while the limit changes, which allows more in a window."""

    @rule(limit=st.sampled_from(LIMITS), delay=delays)
    def change_limit(self, limit: Limit, delay: float) -> None:
        self.limits.append((self.now, limit))
        for number, node in enumerate(self.nodes.values()):
            part = (delay + number / len(self.nodes)) % 1.0
            node.next_limit = (self.now + SPREAD_S * part, limit)


SEARCH = settings(
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
    database=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class WindowExceededTest(unittest.TestCase):
    """More requests run in a window than the bound allows."""

    def test_faults_of_instances(self) -> None:
        run_state_machine_as_test(QuotaMachine, settings=SEARCH)

    def test_faults_while_the_limit_changes(self) -> None:
        run_state_machine_as_test(ChangingLimitMachine, settings=SEARCH)


if __name__ == "__main__":
    unittest.main()

"""Who owns a customer's limit, since when, and what share of it.

Addresses instances that are lost, cut off or paused while customers use
their limits fully: the instances that take over, and those on the other side,
must not lend more than the limit together.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.quotas.messages import QuotaSettings, Role
from mulberrypass.policy.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Iterable

NEVER = float("-inf")
ALWAYS = float("inf")
# A member that ceased to be live this long ago has no effect any longer.
GONE_KEPT_S = 3_600.0
MAX_RANKINGS = 4_096
MAX_SHARES = 256


@value_class
class Ranking:
    """The instances that decide on a customer, as one instance sees them.

    :param owner: the first of the live instances; empty without any
    :param deputy: the second; empty without any
    :param first_since: since when no live instance ranks above this one;
        infinite while one does
    :param second_since: since when at most one does
    """

    owner: str
    deputy: str
    first_since: float
    second_since: float


class QuotaFleet:
    """The instances as one of them has seen them, with the times of changes.

    What an instance owns, and since when, follows from the times at which
    members ceased to be live. So nothing needs to be kept for a customer that
    sends nothing, and an owner of long standing starts with a full bucket.

    :param me: name of this instance
    """

    def __init__(self, me: str, settings: QuotaSettings) -> None:
        self.me = me
        self._settings = settings
        self._live: frozenset[str] = frozenset()
        self._listed: frozenset[str] = frozenset()
        self._alive_at: dict[str, float] = {}
        self._gone_at: dict[str, float] = {}
        self._came_at: dict[str, float] = {}
        self._started_at = ALWAYS
        self._joined = False
        self._shares: deque[tuple[float, float]] = deque()
        self._share = 0.0
        self._share_history: deque[tuple[float, float]] = deque()
        self._leaving = False
        self._rankings: dict[str, Ranking] = {}
        self.changes = 0

    @property
    def ready(self) -> bool:
        """Whether this instance may lend.

        It may once it has read the list of instances, until it leaves.
        """
        return self._started_at < ALWAYS and not self._leaving

    @property
    def share(self) -> float:
        """Share of the known members that are alive.

        It is the lowest of the last moments: a share that rises must be
        known to the owners on the other side before it takes effect.
        """
        return self._share

    @property
    def share_history(self) -> Iterable[tuple[float, float]]:
        """The times from which shares were in force, the oldest first."""
        return self._share_history

    def see(
        self,
        live: Iterable[str],
        leaving: Iterable[str],
        heard_of: Iterable[str],
        listed: frozenset[str] | None,
        now: float,
        lead_s: float | None = None,
    ) -> None:
        """Take over the members as they are now.

        :param leaving: those that leave as planned; they lend no more, and
            are not known any longer
        :param heard_of: members that are not known to be dead
        :param listed: names in the list; ``None`` while it wasn't read
        :param lead_s: how long before this instance the first of the other
            live ones started; ``None`` if none is known
        """
        seen = frozenset(live) | {self.me}
        left = frozenset(leaving)
        if listed is not None:
            self._listed = listed
            if self._started_at == ALWAYS:
                self._started_at = now
        if self._started_at < ALWAYS:
            self._note_lead(seen, lead_s, now)
        for name in self._live - seen:
            self._gone_at[name] = now
            self._came_at.pop(name, None)
        if self._joined:
            for name in seen - self._live:
                self._came_at[name] = now
        for name in seen:
            self._gone_at.pop(name, None)
            self._alive_at[name] = now
        for name in heard_of:
            self._alive_at.setdefault(name, now)
        for name in left:
            self._alive_at.pop(name, None)
        leaves = self.me in left
        if seen != self._live or leaves != self._leaving:
            self._live = seen
            self._leaving = leaves
            self._forget_rankings()
        self._forget(now)
        known = (self._listed | self._alive_at.keys()) - left | {self.me}
        self._note_share(len(seen & known) / len(known), now)

    def restart(self, now: float) -> None:
        """Own nothing from before now, as after a pause."""
        if self._started_at < ALWAYS:
            self._started_at = now
            self._forget_rankings()

    def _note_lead(
        self, seen: frozenset[str], lead_s: float | None, now: float
    ) -> None:
        """Note whether all instances have started together.

        Nobody has lent since then, so that owners needn't settle.
        """
        settle_s = self._settings.settle_s
        if self._joined or now >= self._started_at + settle_s:
            self._joined = True
        elif lead_s is None or lead_s > self._settings.restart_s:
            self._joined = lead_s is not None
        elif len(seen) * 2 > len(self._listed):
            self._joined = True
            self._started_at -= settle_s
            self._shares.clear()
            self._share_history.clear()
            self._share = 0.0
            self._forget_rankings()

    def ranking(self, customer: str) -> Ranking:
        """Return the instances that decide on a customer."""
        found = self._rankings.get(customer)
        if found is None:
            if len(self._rankings) >= MAX_RANKINGS:
                self._rankings.clear()
            found = self._rankings[customer] = self._rank(customer)
        return found

    def role(self, customer: str, now: float) -> tuple[Role, float]:
        """Return what this instance does for a customer, and since when."""
        self.forget_newcomers(now)
        ranking = self.ranking(customer)
        owner_since = ranking.first_since + self._settings.settle_s
        if owner_since <= now:
            return Role.OWNER, owner_since
        if ranking.second_since <= now:
            return Role.DEPUTY, ranking.second_since
        return Role.NONE, ALWAYS

    def _rank(self, customer: str) -> Ranking:
        key = f"quota\0{customer}"
        own = (weight(key, self.me), self.me)
        # One that hasn't read the list doesn't decide, so others are asked.
        decide = self._live if self.ready else self._live - {self.me}
        ranked = sorted(
            ((weight(key, name), name) for name in decide), reverse=True
        )
        names = [name for _weight, name in ranked[:2]] + ["", ""]
        above = [
            ALWAYS
            for rank in ranked
            if rank > own and rank[1] not in self._came_at
        ][:2]
        above += [
            gone_at
            for name, gone_at in self._gone_at.items()
            if (weight(key, name), name) > own
        ]
        above.sort(reverse=True)
        first, second = (above + [NEVER, NEVER])[:2]
        start = self._started_at if self.ready else ALWAYS
        return Ranking(
            names[0], names[1], max(first, start), max(second, start)
        )

    def forget_newcomers(self, now: float) -> None:
        """Let newcomers take over what they rank first for."""
        before = now - self._settings.hand_over_s
        old = [name for name, at in self._came_at.items() if at <= before]
        for name in old:
            del self._came_at[name]
        if old:
            self._forget_rankings()

    def _forget_rankings(self) -> None:
        self._rankings.clear()
        self.changes += 1

    def _forget(self, now: float) -> None:
        before = now - self._settings.known_s
        if any(at < before for at in self._alive_at.values()):
            self._alive_at = {
                name: at for name, at in self._alive_at.items() if at >= before
            }
        before = now - GONE_KEPT_S
        if any(at < before for at in self._gone_at.values()):
            self._gone_at = {
                name: at for name, at in self._gone_at.items() if at >= before
            }

    def _note_share(self, share: float, now: float) -> None:
        shares = self._shares
        while shares and shares[-1][1] > share:
            shares.pop()
        if not shares or shares[-1][1] < share:
            shares.append((now, share))
        # The latest share from before the time to settle still holds in it.
        while len(shares) > 1 and shares[1][0] <= (
            now - self._settings.settle_s
        ):
            shares.popleft()
        lowest = shares[0][1]
        if lowest != self._share:
            self._share = lowest
            self._share_history.append((now, lowest))
            if len(self._share_history) > MAX_SHARES:
                self._share_history.popleft()


__all__ = ["QuotaFleet", "Ranking"]

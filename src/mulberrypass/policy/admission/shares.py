"""Shares of the slots that customers may use when slots are scarce.

This handles a customer that sends several times its usual rate (5 times for
5 s) while engines are full: its work is granted and refused by its own share,
and a few slots stay free for the others.
"""

from __future__ import annotations

from collections import Counter
from math import inf
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.admission.ramps import RampLimits
from mulberrypass.policy.messages import WorkClass

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.policy.admission.ledger import Ledger
    from mulberrypass.policy.admission.queueing import FairQueue
    from mulberrypass.policy.messages import Ask


# Slots from which on a customer's growth is limited, as a share of all.
LARGE_SHARE = 0.125


def fair_level(demands: Iterable[tuple[float, float]], slots: float) -> float:
    """Return the max-min fair share of slots for a weight of 1.

    Slots that a customer does not need go to the others.

    :param demands: slots that each customer could use, and its weight
    :returns: infinity if there are enough slots for all
    """
    ordered = sorted((need / weight, need, weight) for need, weight in demands)
    weights = sum(weight for _, _, weight in ordered)
    for level, need, weight in ordered:
        if level * weights > slots:
            return slots / weights
        slots -= need
        weights -= weight
    return inf


@value_class
class CustomerUse:
    """What a customer uses of the slots of a cell.

    :param slots: slots that it may use now; infinity for no limit
    :param refused: asks refused so far while it was over its share
    """

    running: int
    queued: int
    slots: float
    refused: int


class CustomerShares:
    """Compares customers' online work with their shares of the slots.

    :param headroom_share: share of the slots that customers over their share
        leave free
    :ivar enforced: whether there are customers; without them no shares apply
    :ivar refused: asks refused while their customer was over its share
    """

    def __init__(
        self, headroom_share: float, ledger: Ledger, online: FairQueue
    ) -> None:
        self._headroom_share = headroom_share
        self._ledger = ledger
        self._online = online
        self._ramps = RampLimits()
        self.enforced = False
        self.refused: Counter[str] = Counter()

    def update(self, service_s: float, now: float) -> None:
        """Update the limits of growth.

        :param service_s: mean service time of online work; 0 if unknown
        """
        if self._active:
            slots = self._slots()
            self._ramps.update(
                self._ledger.limits.online,
                self._demands(),
                slots - self._headroom(),
                max(1.0, slots * LARGE_SHARE),
                service_s,
                now,
            )

    def level(self, customer: str = "", more: int = 0) -> float:
        """Return the share for a weight of 1; infinity for no limit.

        :param more: asks of the customer that aren't queued yet
        """
        if not self._active:
            return inf
        demands = self._demands()
        if more:
            demands[customer] += more
        if len(demands) < 2:
            return inf
        weight = self._online.weight
        return fair_level(
            ((need, weight(name)) for name, need in demands.items()),
            self._slots() - self._headroom(),
        )

    def slots_of(self, customer: str, more: int = 0) -> float:
        """Return the slots that a customer may use; infinity for no limit.

        :param more: asks of the customer that aren't queued yet
        """
        slots = self.level(customer, more) * self._online.weight(customer)
        return max(1.0, min(slots, self._ramps.allowed(customer)))

    def is_over(self, customer: str) -> bool:
        """Return whether a customer with one more ask exceeds its share."""
        if not self._active:
            return False
        need = self._demands()[customer] + 1
        return need > self.slots_of(customer, 1)

    def must_wait(self, customer: str, level: float) -> bool:
        """Return whether a customer leaves the free slots to others.

        :param level: share of slots for a weight of 1
        """
        if not self._active:
            return False
        running = self._ledger.limits.running_of(customer, WorkClass.ONLINE)
        if running >= self._ramps.allowed(customer):
            return True
        if running < max(1.0, level * self._online.weight(customer)):
            return False
        return self._free_slots() <= self._headroom()

    def count_refusal(self, ask: Ask) -> None:
        """Count a refusal, if the customer is over its share."""
        online = ask.work_class is WorkClass.ONLINE
        if online and self.is_over(ask.customer):
            self.refused[ask.customer] += 1

    def state(self) -> dict[str, CustomerUse]:
        """Return the use of customers that are limited or were refused."""
        demands = self._demands()
        uses: dict[str, CustomerUse] = {}
        for name in demands.keys() | self.refused.keys():
            slots = self.slots_of(name)
            refused = self.refused[name]
            if refused or demands[name] > slots:
                running = self._ledger.limits.running_of(
                    name, WorkClass.ONLINE
                )
                queued = self._online.count(name)
                uses[name] = CustomerUse(running, queued, slots, refused)
        return uses

    @property
    def _active(self) -> bool:
        return self.enforced and self._headroom_share > 0

    def _demands(self) -> Counter[str]:
        return self._ledger.limits.online + Counter(self._online.counts())

    def _headroom(self) -> int:
        return int(self._slots() * self._headroom_share)

    def _slots(self) -> int:
        return sum(
            min(engine.cap, engine.backend.slots - engine.fixed)
            for engine in self._ledger.engines.values()
            if not engine.leaving
        )

    def _free_slots(self) -> int:
        """Count the slots that online work can have, by revocation too."""
        return sum(
            max(0, engine.cap - engine.running + engine.revocable)
            for engine in self._ledger.engines.values()
            if not engine.leaving
        )


__all__ = ["CustomerShares", "CustomerUse", "fair_level"]

"""Instances as the rules of limits see them, without a network."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.policy.quotas.fleet import QuotaFleet
from mulberrypass.policy.quotas.ledger import QuotaLedger
from mulberrypass.policy.quotas.messages import QuotaSettings
from mulberrypass.policy.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Iterable

CUSTOMER = "acme"
NAMES = tuple(f"entry@{number}" for number in range(8))
SETTINGS = QuotaSettings()


def ranked(names: Iterable[str], customer: str = CUSTOMER) -> list[str]:
    """Return the instances in the order in which they own a customer."""
    key = f"quota\0{customer}"
    return sorted(names, key=lambda name: weight(key, name), reverse=True)


class Instance:
    """The owner's side of one instance."""

    def __init__(self, name: str, settings: QuotaSettings = SETTINGS) -> None:
        self.name = name
        self.fleet = QuotaFleet(name, settings)
        self.ledger = QuotaLedger(self.fleet, settings)

    def see(
        self,
        live: Iterable[str],
        now: float,
        listed: Iterable[str] | None = NAMES,
        leaving: Iterable[str] = (),
    ) -> None:
        """Let the instance see these members."""
        live = tuple(live)
        names = None if listed is None else frozenset(listed)
        self.fleet.see(live, leaving, live, names, now)


__all__ = ["CUSTOMER", "Instance", "NAMES", "SETTINGS", "ranked"]

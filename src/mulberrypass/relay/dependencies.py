"""What all relayed requests of a process share."""

from __future__ import annotations

from dataclasses import field
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.online.failing import FailingEngines
from mulberrypass.relay.ending import PlannedEnd
from mulberrypass.relay.quotas import CustomerQuotas, NoQuotas
from mulberrypass.relay.repeats import Repeats
from mulberrypass.relay.whole_body import HeldBodies

if TYPE_CHECKING:
    from mulberrypass.relay.api import EngineClient
    from mulberrypass.relay.directory import Directory
    from mulberrypass.relay.permits import PermitAcquirer
    from mulberrypass.relay.watch import CallWatch


@value_class
class RelayDependencies:
    """Objects that all relayed requests of a process share."""

    directory: Directory
    acquirer: PermitAcquirer
    engines: EngineClient
    watch: CallWatch
    ending: PlannedEnd = field(default_factory=PlannedEnd)
    bodies: HeldBodies = field(default_factory=HeldBodies)
    quotas: CustomerQuotas = field(default_factory=NoQuotas)
    repeats: Repeats = field(default_factory=Repeats)
    failing: FailingEngines = field(default_factory=FailingEngines)


__all__ = ["RelayDependencies"]

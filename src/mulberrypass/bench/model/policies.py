"""Policies in the model: the admission cell, and baselines without it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from mulberrypass.bench.model.engine import NETWORK_S
from mulberrypass.model.objects import Backend, BackendKind, Customer
from mulberrypass.policy.admission.cell import Cell
from mulberrypass.policy.messages import (
    Ask,
    FirstToken,
    Grant,
    Refuse,
    Release,
    ReleaseOutcome,
    Revoke,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypass.bench.model.engine import Clock, Work
    from mulberrypass.policy.admission.cell import CellDecision
    from mulberrypass.policy.admission.settings import CellSettings
    from mulberrypass.policy.messages import HolderMessage, OwnerMessage
    from mulberrypass.testing.engine_step import EngineShape

HOLDER = "entry@bench"
ZONE = "zone"
POOL = "pool"
TICK_S = 0.02


class Fleet(ABC):
    """What a policy can do to the modelled fleet."""

    clock: Clock
    shape: EngineShape
    engines: int

    @abstractmethod
    def dispatch(self, work: Work, engine: int) -> None:
        """Send a piece of work to an engine."""

    @abstractmethod
    def cancel(self, work: Work) -> None:
        """Cancel a piece of work at its engine."""

    @abstractmethod
    def refused(self, work: Work) -> None:
        """Tell the caller that the work did not run."""


class Policy(ABC):
    """Decides which engine gets which work, and when."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    @property
    @abstractmethod
    def batch_items(self) -> int:
        """How many batch items a saturating job keeps handed in."""

    @abstractmethod
    def arrive(self, work: Work) -> None:
        """Take in new work."""

    def first_token(self, work: Work) -> None:
        """Hear of a first token."""
        return

    @abstractmethod
    def done(self, work: Work) -> None:
        """Hear of the end of a piece of work."""


class RoundRobin(Policy):
    """Sends all work at once to one engine after the other."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        self._next = 0

    @property
    def batch_items(self) -> int:
        """As many as there are slots."""
        return self.fleet.engines * self.fleet.shape.slots

    def arrive(self, work: Work) -> None:
        """Send it to the next engine."""
        self.fleet.dispatch(work, self._next)
        self._next = (self._next + 1) % self.fleet.engines

    def done(self, work: Work) -> None:
        """Nothing is kept."""


class LeastOutstanding(Policy):
    """Sends all work at once to the engine with the least outstanding."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        self._outstanding = [0] * fleet.engines

    @property
    def batch_items(self) -> int:
        """As many as there are slots."""
        return self.fleet.engines * self.fleet.shape.slots

    def arrive(self, work: Work) -> None:
        """Send it to the engine with the least outstanding."""
        least = min(range(self.fleet.engines), key=self._load)
        self._outstanding[least] += 1
        self.fleet.dispatch(work, least)

    def done(self, work: Work) -> None:
        """Count it out."""
        self._outstanding[work.engine] -= 1

    def _load(self, index: int) -> int:
        return self._outstanding[index]


class NoPriority(Policy):
    """One queue in order of arrival, before engines with capped slots."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        self._outstanding = [0] * fleet.engines
        self._queue: deque[Work] = deque()

    @property
    def batch_items(self) -> int:
        """As many as there are slots, and as many again in the queue."""
        return 2 * self.fleet.engines * self.fleet.shape.slots

    def arrive(self, work: Work) -> None:
        """Queue it behind all that came before."""
        self._queue.append(work)
        self._fill()

    def done(self, work: Work) -> None:
        """Count it out, and let the next go."""
        self._outstanding[work.engine] -= 1
        self._fill()

    def _fill(self) -> None:
        while self._queue:
            counts = self._outstanding
            least = min(range(len(counts)), key=counts.__getitem__)
            if counts[least] >= self.fleet.shape.slots:
                return
            counts[least] += 1
            self.fleet.dispatch(self._queue.popleft(), least)


class CellPolicy(Policy):
    """The system's own admission, with a network between all parts."""

    def __init__(
        self,
        fleet: Fleet,
        settings: CellSettings | None = None,
        customers: Iterable[Customer] = (),
    ) -> None:
        super().__init__(fleet)
        self.cell = Cell(settings)
        self._works: dict[str, Work] = {}
        self._names = {f"e{i:03}": i for i in range(fleet.engines)}
        backends = [_backend(name, fleet.shape) for name in self._names]
        named = {customer.name: customer for customer in customers}
        members = {HOLDER: ZONE}
        self._carry(self.cell.configure(backends, named, {}, (), members, 0.0))
        self._tick()

    @property
    def batch_items(self) -> int:
        """As many as there are slots, and as many again in the queue."""
        return 2 * self.fleet.engines * self.fleet.shape.slots

    def arrive(self, work: Work) -> None:
        """Ask for a permit."""
        work.attempt += 1
        self._works[work.run_id] = work
        spent = self.fleet.clock.now - work.arrived
        self._tell(
            Ask(
                work.run_id,
                HOLDER,
                POOL,
                work.customer,
                work.work_class,
                work.budget_s - spent,
                work.size.prompt_tokens,
                work.size.output_tokens,
                revocable=not work.online,
            )
        )

    def first_token(self, work: Work) -> None:
        """Tell the owner of a first token."""
        after_s = self.fleet.clock.now - work.sent_at
        self._tell(FirstToken(work.run_id, after_s))

    def done(self, work: Work) -> None:
        """Give the permit back."""
        del self._works[work.run_id]
        service_s = self.fleet.clock.now - work.sent_at
        tokens = work.size.output_tokens
        gap_s = work.gap_s
        outcome = ReleaseOutcome.DONE
        self._tell(Release(work.run_id, outcome, service_s, tokens, gap_s))

    def _tell(self, message: HolderMessage) -> None:
        def arrive() -> None:
            now = self.fleet.clock.now
            self._carry(self.cell.handle(message, now))

        self.fleet.clock.after(NETWORK_S, arrive)

    def _carry(self, decisions: Iterable[CellDecision]) -> None:
        for decision in decisions:
            hear = partial(self._hear, decision.message)
            self.fleet.clock.after(NETWORK_S, hear)

    def _hear(self, message: OwnerMessage) -> None:
        work = self._works.get(message.ask_id)
        if work is None:
            return
        match message:
            case Grant(backend=backend):
                self.fleet.dispatch(work, self._names[backend])
            case Refuse():
                del self._works[message.ask_id]
                self._refused(work)
            case Revoke():
                del self._works[message.ask_id]
                self.fleet.cancel(work)
                cancelled = ReleaseOutcome.CANCELLED
                self._tell(Release(message.ask_id, cancelled))
                self.arrive(work)

    def _refused(self, work: Work) -> None:
        if work.online:
            self.fleet.refused(work)
        else:
            work.arrived = self.fleet.clock.now
            self.fleet.clock.after(TICK_S, lambda: self.arrive(work))

    def _tick(self) -> None:
        self._carry(self.cell.tick(self.fleet.clock.now))
        self.fleet.clock.after(TICK_S, self._tick)


def _backend(name: str, shape: EngineShape) -> Backend:
    return Backend(
        name,
        BackendKind.ENGINE,
        ZONE,
        "127.0.20.1:8000",
        shape.slots,
        shape.kv_tokens,
        shape.step_prefill_tokens,
    )


__all__ = [
    "CellPolicy",
    "Fleet",
    "LeastOutstanding",
    "NoPriority",
    "Policy",
    "RoundRobin",
]

"""Simulated policies: the admission cell and the baselines."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from mulberrypass.bench.model.engine import NETWORK_DELAY_S
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

    from mulberrypass.bench.model.engine import VirtualClock, Work
    from mulberrypass.policy.admission.cell import CellDecision
    from mulberrypass.policy.admission.settings import CellSettings
    from mulberrypass.policy.messages import HolderMessage, OwnerMessage
    from mulberrypass.testing.engine_step import EngineShape

HOLDER = "entry@bench"
ZONE = "zone"
POOL = "pool"
TICK_INTERVAL_S = 0.02


class EngineFleet(ABC):
    """Interface of the modelled fleet to a policy."""

    clock: VirtualClock
    shape: EngineShape
    engines: int

    @abstractmethod
    def dispatch(self, work: Work, engine: int) -> None:
        """Send work to an engine."""

    @abstractmethod
    def cancel(self, work: Work) -> None:
        """Cancel work at its engine."""

    @abstractmethod
    def refuse(self, work: Work) -> None:
        """Tell the caller that its work was refused and did not run."""


class Policy(ABC):
    """Decides when each piece of work runs, and on which engine."""

    def __init__(self, fleet: EngineFleet) -> None:
        self.fleet = fleet

    @property
    @abstractmethod
    def batch_items(self) -> int:
        """Number of batch items that a saturating job keeps submitted."""

    @abstractmethod
    def submit(self, work: Work) -> None:
        """Accept new work."""

    def on_first_token(self, work: Work) -> None:
        """Handle the first token of a run."""
        return

    @abstractmethod
    def on_done(self, work: Work) -> None:
        """Handle the end of a run."""


class RoundRobin(Policy):
    """Dispatches all work immediately, to the engines in turn."""

    def __init__(self, fleet: EngineFleet) -> None:
        super().__init__(fleet)
        self._next = 0

    @property
    def batch_items(self) -> int:
        """One for each slot."""
        return self.fleet.engines * self.fleet.shape.slots

    def submit(self, work: Work) -> None:
        """Dispatch the work to the next engine."""
        self.fleet.dispatch(work, self._next)
        self._next = (self._next + 1) % self.fleet.engines

    def on_done(self, work: Work) -> None:
        """Do nothing: no state is kept."""


class LeastOutstanding(Policy):
    """Dispatches all work immediately, to the least loaded engine."""

    def __init__(self, fleet: EngineFleet) -> None:
        super().__init__(fleet)
        self._outstanding = [0] * fleet.engines

    @property
    def batch_items(self) -> int:
        """One for each slot."""
        return self.fleet.engines * self.fleet.shape.slots

    def submit(self, work: Work) -> None:
        """Dispatch the work to the engine with the fewest runs."""
        least_loaded = min(range(self.fleet.engines), key=self._load)
        self._outstanding[least_loaded] += 1
        self.fleet.dispatch(work, least_loaded)

    def on_done(self, work: Work) -> None:
        """Decrement the count of the engine's runs."""
        self._outstanding[work.engine] -= 1

    def _load(self, index: int) -> int:
        return self._outstanding[index]


class NoPriority(Policy):
    """One first-in, first-out queue before engines with capped slots."""

    def __init__(self, fleet: EngineFleet) -> None:
        super().__init__(fleet)
        self._outstanding = [0] * fleet.engines
        self._queue: deque[Work] = deque()

    @property
    def batch_items(self) -> int:
        """Two for each slot, so that one runs while one is queued."""
        return 2 * self.fleet.engines * self.fleet.shape.slots

    def submit(self, work: Work) -> None:
        """Add the work to the end of the queue."""
        self._queue.append(work)
        self._fill()

    def on_done(self, work: Work) -> None:
        """Free the slot and dispatch the next work in the queue."""
        self._outstanding[work.engine] -= 1
        self._fill()

    def _fill(self) -> None:
        while self._queue:
            counts = self._outstanding
            least_loaded = min(range(len(counts)), key=counts.__getitem__)
            if counts[least_loaded] >= self.fleet.shape.slots:
                return
            counts[least_loaded] += 1
            self.fleet.dispatch(self._queue.popleft(), least_loaded)


class CellPolicy(Policy):
    """The system's own admission, with network delay on each message."""

    def __init__(
        self,
        fleet: EngineFleet,
        settings: CellSettings | None = None,
        customers: Iterable[Customer] = (),
    ) -> None:
        super().__init__(fleet)
        self.cell = Cell(settings)
        self._work_by_run: dict[str, Work] = {}
        self._engine_indexes = {f"e{i:03}": i for i in range(fleet.engines)}
        backends = [
            _backend(name, fleet.shape) for name in self._engine_indexes
        ]
        customers_by_name = {customer.name: customer for customer in customers}
        members = {HOLDER: ZONE}
        self._send_decisions(
            self.cell.configure(
                backends, customers_by_name, {}, (), members, 0.0
            )
        )
        self._tick()

    @property
    def batch_items(self) -> int:
        """Two for each slot, so that one runs while one is queued."""
        return 2 * self.fleet.engines * self.fleet.shape.slots

    def submit(self, work: Work) -> None:
        """Request a permit."""
        work.attempt += 1
        self._work_by_run[work.run_id] = work
        spent = self.fleet.clock.now - work.arrived
        self._send_to_owner(
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

    def on_first_token(self, work: Work) -> None:
        """Report the first token to the cell's owner."""
        after_s = self.fleet.clock.now - work.sent_at
        self._send_to_owner(FirstToken(work.run_id, after_s))

    def on_done(self, work: Work) -> None:
        """Release the permit."""
        del self._work_by_run[work.run_id]
        service_s = self.fleet.clock.now - work.sent_at
        tokens = work.size.output_tokens
        gap_s = work.gap_s
        outcome = ReleaseOutcome.DONE
        self._send_to_owner(
            Release(work.run_id, outcome, service_s, tokens, gap_s)
        )

    def _send_to_owner(self, message: HolderMessage) -> None:
        def deliver() -> None:
            now = self.fleet.clock.now
            self._send_decisions(self.cell.handle(message, now))

        self.fleet.clock.after(NETWORK_DELAY_S, deliver)

    def _send_decisions(self, decisions: Iterable[CellDecision]) -> None:
        for decision in decisions:
            handle = partial(self._handle_message, decision.message)
            self.fleet.clock.after(NETWORK_DELAY_S, handle)

    def _handle_message(self, message: OwnerMessage) -> None:
        work = self._work_by_run.get(message.ask_id)
        if work is None:
            return
        match message:
            case Grant(backend=backend):
                self.fleet.dispatch(work, self._engine_indexes[backend])
            case Refuse():
                del self._work_by_run[message.ask_id]
                self._handle_refusal(work)
            case Revoke():
                del self._work_by_run[message.ask_id]
                self.fleet.cancel(work)
                cancelled = ReleaseOutcome.CANCELLED
                self._send_to_owner(Release(message.ask_id, cancelled))
                self.submit(work)

    def _handle_refusal(self, work: Work) -> None:
        if work.online:
            self.fleet.refuse(work)
        else:
            work.arrived = self.fleet.clock.now
            self.fleet.clock.after(TICK_INTERVAL_S, lambda: self.submit(work))

    def _tick(self) -> None:
        self._send_decisions(self.cell.tick(self.fleet.clock.now))
        self.fleet.clock.after(TICK_INTERVAL_S, self._tick)


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
    "EngineFleet",
    "LeastOutstanding",
    "NoPriority",
    "Policy",
    "RoundRobin",
]

"""One run of one item on a backend server."""

from __future__ import annotations

import queue
import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.engine.api import (
    EngineFailed,
    Finished,
    GenerationRequest,
    Tokens,
)
from mulberrypass.model.outcome import Ran
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.jobs.items import RunCompleted, RunFailed, RunStopped
from mulberrypass.policy.messages import (
    Ask,
    FirstToken,
    Grant,
    Refuse,
    Release,
    ReleaseOutcome,
    Withdraw,
    WorkClass,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from concurrent.futures import Future

    from expression import Result

    from mulberrypass.engine.api import ModelEngine, PlainService, StreamEvent
    from mulberrypass.jobs.manifest import Item
    from mulberrypass.model.objects import Route, Service
    from mulberrypass.peer.api import PermitClient
    from mulberrypass.policy.jobs.items import RunResult

CHUNK_TOKENS = 32
PLAIN_CALL_TOKENS = 1
MAX_RESUMES = 2
DEADLINE_REASON = "deadline"
MAX_REFUSED_WAIT_S = 2.0
MIN_BUDGET_S = 60.0


@value_class
class RunTask:
    """Parameters of one run.

    :param request_id: unique over all runs of all items
    :param budget_s: seconds until the job is due
    """

    request_id: str
    customer: str
    service: Service
    item: Item
    route: Route | None
    prefix: tuple[int, ...]
    avoid: tuple[str, ...]
    budget_s: float


class RunHooks:
    """Callbacks of a run to the process that it is part of.

    :param may_start: returns whether work may be sent now
    :param model: returns the client of a model engine by name
    :param plain: returns the client of a plain service's server by name
    :param assigned: called with the backend server before work is sent there
    :param beside_suspect: returns whether another suspect item ran on the
        same backend server during this run
    :param defer: runs a call soon, on another thread
    """

    def __init__(
        self,
        may_start: Callable[[], bool],
        model: Callable[[str], ModelEngine | None],
        plain: Callable[[str], PlainService | None],
        assigned: Callable[[str], None],
        beside_suspect: Callable[[], bool],
        defer: Callable[[Callable[[], object]], None],
    ) -> None:
        self.may_start = may_start
        self.model = model
        self.plain = plain
        self.assigned = assigned
        self.beside_suspect = beside_suspect
        self.defer = defer


class ItemRun:
    """Asks for a permit, runs the item, and releases the permit."""

    def __init__(
        self,
        task: RunTask,
        holder: str,
        permits: PermitClient,
        hooks: RunHooks,
    ) -> None:
        self._task = task
        self._holder = holder
        self._permits = permits
        self._hooks = hooks
        self._mailbox: queue.SimpleQueue[Grant | Refuse | None] = (
            queue.SimpleQueue()
        )
        self._stopped = threading.Event()
        self._engine: ModelEngine | None = None
        self._backend = ""
        self._sent_at = 0.0
        self._tokens: list[str] = []

    @property
    def backend(self) -> str:
        """Backend server that the item was sent to; empty before that."""
        return self._backend

    def stop(self) -> None:
        """Stop the run; thread-safe and non-blocking."""
        self._stopped.set()
        self._mailbox.put(None)
        if self._engine is not None:
            self._hooks.defer(self._cancel_stream)

    def execute(self) -> RunResult:
        """Run the item, and return the result."""
        fut = self._permits.ask(self._ask(), self.stop)
        fut.add_done_callback(self._permit_answered)
        answer = self._mailbox.get()
        if self._stopped.is_set() or answer is None:
            return self._withdraw(fut)
        if isinstance(answer, Refuse):
            wait_s = min(answer.retry_after_s, MAX_REFUSED_WAIT_S)
            self._stopped.wait(wait_s)
            return RunStopped(Ran.NO)
        if not self._hooks.may_start():
            self._release(ReleaseOutcome.UNUSED)
            return RunStopped(Ran.NO)
        return self._run_on(answer.backend)

    def _permit_answered(self, fut: Future[Grant | Refuse]) -> None:
        self._mailbox.put(fut.result())

    def _withdraw(self, fut: Future[Grant | Refuse]) -> RunResult:
        self._permits.tell(Withdraw(self._task.request_id))
        fut.add_done_callback(self._release_unused)
        return RunStopped(Ran.NO)

    def _release_unused(self, fut: Future[Grant | Refuse]) -> None:
        if isinstance(fut.result(), Grant):
            self._release(ReleaseOutcome.UNUSED)

    def _run_on(self, backend: str) -> RunResult:
        self._backend = backend
        self._sent_at = time.monotonic()
        self._hooks.assigned(backend)
        result: RunResult = RunFailed("the run failed", Ran.MAYBE)
        try:
            result = self._call(backend)
        finally:
            self._release(_release_outcome(result), result)
        return result

    def _call(self, backend: str) -> RunResult:
        engine = self._hooks.model(backend)
        if engine is not None:
            return self._generate(engine)
        plain = self._hooks.plain(backend)
        if plain is None:
            return RunFailed(f"no backend server {backend}", Ran.NO)
        task = self._task
        answer = plain.call(
            task.request_id, task.item.payload, self._deadline_s()
        )
        if answer.is_ok():
            return RunCompleted(dict(answer.ok))
        return self._failure(answer.error)

    def _generate(self, engine: ModelEngine) -> RunResult:
        self._engine = engine
        if self._stopped.is_set():
            return RunStopped(Ran.NO)
        stream = engine.generate(self._generation(), self._deadline_s())
        for _ in range(MAX_RESUMES):
            ended = self._read(stream)
            if not self._may_resume(ended):
                break
            stream = engine.resume(
                self._task.request_id, len(self._tokens), self._deadline_s()
            )
        else:
            ended = self._read(stream)
        return self._result(ended)

    def _read(
        self, stream: Iterator[Result[StreamEvent, EngineFailed]]
    ) -> Finished | EngineFailed:
        for result in stream:
            if result.is_error():
                return result.error
            event = result.ok
            if isinstance(event, Finished):
                return event
            if self._stopped.is_set():
                self._cancel_stream()
                return EngineFailed("stopped", Ran.MAYBE)
            self._append_tokens(event)
        return EngineFailed("cut", Ran.MAYBE)

    def _append_tokens(self, event: Tokens) -> None:
        if not self._tokens:
            after_s = time.monotonic() - self._sent_at
            self._permits.tell(FirstToken(self._task.request_id, after_s))
        self._tokens.extend(event.tokens)

    def _may_resume(self, ended: Finished | EngineFailed) -> bool:
        return (
            isinstance(ended, EngineFailed)
            and ended.resumable
            and not self._stopped.is_set()
            and self._deadline_s() > 0
        )

    def _result(self, ended: Finished | EngineFailed) -> RunResult:
        if isinstance(ended, EngineFailed):
            return self._failure(ended)
        if ended.completion_tokens != len(self._tokens):
            return RunFailed("answer is not whole", Ran.MAYBE)
        output = {
            "text": " ".join(self._tokens),
            "finish_reason": ended.reason,
        }
        return RunCompleted(output, len(self._tokens))

    def _failure(self, failed: EngineFailed) -> RunResult:
        if self._stopped.is_set() and not failed.permanent:
            return RunStopped(failed.ran)
        lost = (
            failed.status == 0
            and failed.ran is Ran.MAYBE
            and failed.reason != DEADLINE_REASON
        )
        return RunFailed(
            failed.reason,
            failed.ran,
            permanent=failed.permanent,
            lost_backend=lost,
            sole_suspect=lost and not self._hooks.beside_suspect(),
            backend=self._backend,
        )

    def _cancel_stream(self) -> None:
        if self._engine is not None:
            self._engine.cancel(self._task.request_id)

    def _deadline_s(self) -> float:
        used_s = time.monotonic() - self._sent_at
        return self._task.service.max_timeout_ms / 1_000 - used_s

    def _ask(self) -> Ask:
        task = self._task
        payload: Any = task.item.payload
        words = len(payload.split()) if isinstance(payload, str) else 0
        return Ask(
            ask_id=task.request_id,
            holder=self._holder,
            pool=task.service.pool,
            customer=task.customer,
            work_class=WorkClass.BATCH,
            budget_s=max(MIN_BUDGET_S, task.budget_s),
            prompt_tokens=words,
            output_tokens=task.item.max_tokens or PLAIN_CALL_TOKENS,
            prefix=task.prefix,
            avoid=task.avoid,
            revocable=task.service.idempotent,
            version=task.route.version if task.route else "",
        )

    def _generation(self) -> GenerationRequest:
        task = self._task
        return GenerationRequest(
            request_id=task.request_id,
            model=task.service.model or "",
            version=task.route.version if task.route else "",
            adapter=task.route.adapter if task.route else None,
            prompt=str(task.item.payload),
            max_tokens=task.item.max_tokens,
            chunk_tokens=CHUNK_TOKENS,
        )

    def _release(
        self, outcome: ReleaseOutcome, result: RunResult | None = None
    ) -> None:
        used_s = 0.0
        if result is not None:
            used_s = time.monotonic() - self._sent_at
        self._permits.tell(
            Release(
                self._task.request_id,
                outcome,
                service_s=used_s,
                tokens=len(self._tokens),
            )
        )


def _release_outcome(result: RunResult) -> ReleaseOutcome:
    match result:
        case RunCompleted():
            return ReleaseOutcome.DONE
        case RunFailed(permanent=False):
            return ReleaseOutcome.FAILED
        case RunStopped() | RunFailed():
            return ReleaseOutcome.CANCELLED


__all__ = ["ItemRun", "RunHooks", "RunTask"]

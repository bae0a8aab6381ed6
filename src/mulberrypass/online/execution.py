"""Execution of an online request: permits, attempts, retries, hedges."""

from __future__ import annotations

import itertools
import queue
import time
from typing import TYPE_CHECKING

from mulberrypass.engine.api import EngineFailed, Finished, Tokens
from mulberrypass.model.objects import BackendKind, ServiceKind
from mulberrypass.model.outcome import Ran
from mulberrypass.model.value_class import value_class
from mulberrypass.online.attempt import Attempt, AttemptMessage, PlainAnswer
from mulberrypass.online.call import Completed, StreamedTokens
from mulberrypass.online.refusals import (
    backend_removed,
    caller_left,
    expired,
    from_engine,
    from_refusal,
)
from mulberrypass.policy.messages import (
    Ask,
    Grant,
    Refuse,
    Release,
    ReleaseOutcome,
    Withdraw,
    WorkClass,
)
from mulberrypass.policy.online.repeats import LateRun
from mulberrypass.policy.online.retry import Failure, may_retry
from mulberrypass.policy.prefix import prefix_hashes
from mulberrypass.runtime.metrics import Decision

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from concurrent.futures import Executor, Future

    from mulberrypass.engine.clients import BackendClients
    from mulberrypass.model.source import ConfigurationSource
    from mulberrypass.online.call import Call, CallEvent, Failed, Outcome
    from mulberrypass.online.shared import SharedPolicy
    from mulberrypass.peer.api import PermitClient
    from mulberrypass.runtime.metrics import Metrics

DISCONNECT_POLL_S = 0.5
PLAIN_CALL_TOKENS = 1


@value_class
class PermitMessage:
    """The answer to a permit request, sent to the request's thread."""

    ask_id: str
    answer: Grant | Refuse


@value_class
class OnlineDependencies:
    """Objects that all online requests of a process share.

    :param member: name of this process; prefix of its permit request ids
    """

    member: str
    permits: PermitClient
    backends: BackendClients
    configuration: ConfigurationSource
    executor: Executor
    metrics: Metrics
    policy: SharedPolicy
    ask_numbers: Iterator[int]


def new_ask_numbers() -> Iterator[int]:
    """Return an iterator of numbers that are unique in this process."""
    return itertools.count(time.time_ns())


class RequestExecution:
    """Runs one request; used by one thread.

    :param before_dispatch: called with the backend server before the work
        is sent to it; a returned failure ends the request
    :param disconnected: returns whether the caller has disconnected
    """

    def __init__(
        self,
        call: Call,
        deps: OnlineDependencies,
        before_dispatch: Callable[[str], Failed | None],
        disconnected: Callable[[], bool],
    ) -> None:
        self._call = call
        self._deps = deps
        self._before_dispatch = before_dispatch
        self._disconnected = disconnected
        self._mailbox: queue.Queue[AttemptMessage | PermitMessage] = (
            queue.Queue()
        )
        self._attempts: dict[str, Attempt] = {}
        self._pending_permits: dict[str, Future[Grant | Refuse]] = {}
        self._avoid: tuple[str, ...] = ()
        self._tokens: list[str] = []
        self._winner = ""
        self._dispatched_at = time.monotonic()
        self._hedged = False
        self._hedge_ask = ""
        self._connection_ended = False
        self._failed: EngineFailed | None = None
        self._maybe_ran = False

    def events(self) -> Iterator[CallEvent]:
        """Yield the request's events; the last one is its outcome."""
        self._deps.policy.earn(self._call.service)
        self._ask()
        try:
            while True:
                event = self._step()
                if event is None:
                    continue
                yield event
                if not isinstance(event, StreamedTokens):
                    return
        finally:
            self._cancel_all()

    def _step(self) -> CallEvent | None:
        if self._winner:
            attempt = self._attempts[self._winner]
            return self._on_attempt(self._winner, attempt.next_event())
        try:
            message = self._mailbox.get(timeout=self._wait_s())
        except queue.Empty:
            return self._on_timeout()
        match message:
            case AttemptMessage(ask_id=ask_id, event=event):
                return self._on_attempt(ask_id, event)
            case PermitMessage(ask_id=ask_id, answer=answer):
                return self._on_answer(ask_id, answer)

    def _on_answer(
        self, ask_id: str, answer: Grant | Refuse
    ) -> CallEvent | None:
        match answer:
            case Grant():
                return self._on_grant(ask_id, answer)
            case Refuse():
                return self._on_refusal(ask_id, answer)

    def _wait_s(self) -> float:
        left_s = self._call.deadline - time.monotonic()
        hedge_s = self._hedge_due() - time.monotonic()
        wait_s = min(left_s, DISCONNECT_POLL_S)
        if self._may_hedge():
            wait_s = min(wait_s, hedge_s)
        return max(0.001, wait_s)

    def _on_timeout(self) -> CallEvent | None:
        if time.monotonic() >= self._call.deadline:
            return expired(self._ran())
        if self._disconnected():
            return caller_left(self._ran())
        if self._may_hedge() and time.monotonic() >= self._hedge_due():
            self._hedge()
        return None

    def _ask(self, repeat: bool = False) -> str:
        """Ask for a permit; return the id of the ask.

        :param repeat: whether for a second run, which needs room to spare
        """
        deps = self._deps
        call = self._call
        ask_id = f"{deps.member}/{next(deps.ask_numbers)}"
        prompt = call.payload if isinstance(call.payload, str) else ""
        words = len(prompt.split())
        ask = Ask(
            ask_id=ask_id,
            holder=deps.member,
            pool=call.service.pool,
            customer=call.customer.name,
            work_class=WorkClass.ONLINE,
            budget_s=max(0.0, call.deadline - time.monotonic()),
            prompt_tokens=words,
            output_tokens=call.max_tokens or PLAIN_CALL_TOKENS,
            prefix=prefix_hashes(prompt),
            avoid=self._avoid,
            version=call.route.version if call.route else "",
            repeat=repeat,
        )
        fut = deps.permits.ask(ask, _ignore_revocation)
        self._pending_permits[ask_id] = fut
        fut.add_done_callback(
            lambda done: self._mailbox.put(
                PermitMessage(ask_id, done.result())
            )
        )
        return ask_id

    def _on_grant(self, ask_id: str, grant: Grant) -> CallEvent | None:
        self._pending_permits.pop(ask_id, None)
        if self._winner:
            self._release_unused(ask_id)
            return None
        failed = self._before_dispatch(grant.backend)
        if failed is not None:
            self._release_unused(ask_id)
            return failed
        return self._dispatch(ask_id, grant.backend)

    def _dispatch(self, ask_id: str, name: str) -> CallEvent | None:
        deps = self._deps
        backend = deps.configuration.current().backends.get(name)
        if backend is None:
            self._release_unused(ask_id)
            return backend_removed(name)
        client = (
            deps.backends.engine(backend)
            if backend.kind is BackendKind.ENGINE
            else deps.backends.plain(backend)
        )
        attempt = Attempt(
            self._call,
            ask_id,
            name,
            f"{self._call.request_id}.{ask_id}",
            client,
            deps.permits,
            self._mailbox.put,
        )
        if not self._attempts:
            self._dispatched_at = time.monotonic()
        self._attempts[ask_id] = attempt
        self._avoid = (*self._avoid, name)
        deps.metrics.count(Decision.ADMITTED)
        deps.executor.submit(attempt.run)
        return None

    def _on_refusal(self, ask_id: str, refusal: Refuse) -> CallEvent | None:
        self._pending_permits.pop(ask_id, None)
        if ask_id == self._hedge_ask:
            self._deps.policy.return_hedge(self._call.service)
        if self._attempts or self._pending_permits:
            return None
        if ask_id == self._hedge_ask and self._failed is not None:
            # The first attempt has failed while its hedge waited.
            return self._retry_or_end(self._failed)
        return from_refusal(refusal, self._ran())

    def _release_unused(self, ask_id: str) -> None:
        self._deps.permits.tell(Release(ask_id, ReleaseOutcome.UNUSED))

    def _on_attempt(
        self,
        ask_id: str,
        event: Tokens | Finished | PlainAnswer | EngineFailed,
    ) -> CallEvent | None:
        attempt = self._attempts.get(ask_id)
        if attempt is None or self._winner not in ("", ask_id):
            return None
        match event:
            case Tokens():
                self._choose_winner(ask_id)
                return self._on_tokens(event)
            case Finished():
                return self._on_finished(attempt, event)
            case PlainAnswer(result=result):
                self._choose_winner(ask_id)
                return self._complete(attempt, result, "stop", 0)
            case EngineFailed():
                return self._on_failure(ask_id, attempt, event)

    def _choose_winner(self, ask_id: str) -> None:
        if self._winner:
            return
        self._winner = ask_id
        self._deps.policy.observe(
            self._call.service, time.monotonic() - self._dispatched_at
        )
        for other in [k for k in self._attempts if k != ask_id]:
            self._cancel(other)

    def _on_tokens(self, event: Tokens) -> CallEvent | None:
        self._tokens.extend(event.tokens)
        if not self._call.stream:
            return None
        return StreamedTokens(event.offset, event.tokens)

    def _on_finished(
        self, attempt: Attempt, event: Finished
    ) -> CallEvent | None:
        if attempt.resumed:
            self._deps.metrics.count(Decision.RESUMED, attempt.resumed)
        if event.completion_tokens != len(self._tokens):
            self._deps.metrics.count(Decision.WRONG_ANSWER)
            failure = EngineFailed("answer is not whole", Ran.MAYBE)
            return self._on_failure(attempt.ask_id, attempt, failure)
        text = " ".join(self._tokens)
        return self._complete(
            attempt, text, event.reason, event.completion_tokens
        )

    def _complete(
        self, attempt: Attempt, output: object, reason: str, tokens: int
    ) -> Outcome:
        self._attempts.pop(attempt.ask_id, None)
        return Completed(output, reason, tokens, attempt.backend)

    def _on_failure(
        self, ask_id: str, attempt: Attempt, failed: EngineFailed
    ) -> CallEvent | None:
        self._attempts.pop(ask_id, None)
        if failed.ran is not Ran.NO:
            self._maybe_ran = True
        self._connection_ended = self._connection_ended or failed.closed
        self._failed = failed
        if self._attempts or self._pending_permits:
            return None
        return self._retry_or_end(failed)

    def _retry_or_end(self, failed: EngineFailed) -> CallEvent | None:
        """Retry a call of which no attempt is left, or end it."""
        if time.monotonic() >= self._call.deadline:
            return expired(self._ran())
        failure = Failure(
            ran=failed.ran,
            permanent=failed.permanent,
            output_sent=bool(self._tokens) and self._call.stream,
            idempotent=self._call.service.idempotent,
            left_s=self._call.deadline - time.monotonic(),
        )
        if not (may_retry(failure) and self._deps.policy.take_retry()):
            return from_engine(failed, self._ran())
        self._deps.metrics.count(Decision.RETRIED)
        self._winner = ""
        self._tokens.clear()
        self._ask()
        return None

    def _may_hedge(self) -> bool:
        service = self._call.service
        return (
            service.idempotent
            and service.hedge
            and service.repeat_share > 0
            and not self._hedged
            and not self._winner
            and len(self._attempts) == 1
            and service.kind in (ServiceKind.MODEL, ServiceKind.PLAIN)
        )

    def _hedge_due(self) -> float:
        return self._dispatched_at + self._deps.policy.hedge_after_s(
            self._call.service
        )

    def _hedge(self) -> None:
        self._hedged = True
        late = LateRun(
            repeatable=self._call.service.idempotent,
            ended=self._connection_ended,
            left_s=self._call.deadline - time.monotonic(),
        )
        if self._deps.policy.start_hedge(self._call.service, late):
            return
        self._deps.metrics.count(Decision.HEDGED)
        self._hedge_ask = self._ask(repeat=True)

    def _ran(self) -> Ran:
        at_risk = self._maybe_ran or bool(self._attempts)
        return Ran.MAYBE if at_risk else Ran.NO

    def _cancel(self, ask_id: str) -> None:
        attempt = self._attempts.pop(ask_id)
        self._deps.executor.submit(attempt.cancel)

    def _cancel_all(self) -> None:
        for ask_id, fut in list(self._pending_permits.items()):
            if fut.done():
                self._release_unused(ask_id)
            else:
                self._deps.permits.tell(Withdraw(ask_id))
        for ask_id in list(self._attempts):
            self._cancel(ask_id)


def _ignore_revocation() -> None:
    """Do nothing; online permits are not revocable."""


__all__ = [
    "OnlineDependencies",
    "PermitMessage",
    "RequestExecution",
    "new_ask_numbers",
]

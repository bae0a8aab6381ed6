"""One attempt of a request on one backend server."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.engine.api import (
    EngineFailed,
    Finished,
    GenerationRequest,
    ModelEngine,
    Tokens,
)
from mulberrypass.model.outcome import Ran
from mulberrypass.model.value_class import value_class
from mulberrypass.policy.messages import FirstToken, Release, ReleaseOutcome

if TYPE_CHECKING:
    from collections.abc import Callable, Generator, Iterator

    from expression import Result

    from mulberrypass.engine.api import PlainService, StreamEvent
    from mulberrypass.online.call import Call
    from mulberrypass.peer.api import PermitClient

MAX_RESUMES = 2
GAP_QUANTILE = 0.95


@value_class
class PlainAnswer:
    """The complete answer of a plain service."""

    result: object


AttemptEvent = Tokens | Finished | PlainAnswer | EngineFailed


@value_class
class AttemptMessage:
    """An event of an attempt, sent to the request's thread."""

    ask_id: str
    event: AttemptEvent


class Attempt:
    """Owns the connection of one attempt.

    It runs on its own thread up to the first tokens, so that a hedged
    attempt can race it. The request's thread then reads the rest itself,
    which avoids a thread switch per token.

    :param backend_request_id: id of the request at this backend server
    :param post: receives the first event, which may also be the last
    """

    def __init__(
        self,
        call: Call,
        ask_id: str,
        backend: str,
        backend_request_id: str,
        client: ModelEngine | PlainService,
        permits: PermitClient,
        post: Callable[[AttemptMessage], None],
    ) -> None:
        self.ask_id = ask_id
        self.backend = backend
        self.resumed = 0
        self._call = call
        self._backend_request_id = backend_request_id
        self._client = client
        self._permits = permits
        self._post = post
        self._cancelled = threading.Event()
        self._started_at = time.monotonic()
        self._gaps: list[float] = []
        self._tokens = 0
        self._iterator = self._events()
        self._lock = threading.Lock()
        self._handed_over = False
        self._released = False

    def run(self) -> None:
        """Read the first event and post it; on the attempt's thread."""
        self._started_at = time.monotonic()
        event = self.next_event()
        if self._hand_over():
            self._post(AttemptMessage(self.ask_id, event))
        else:
            self._close()

    def next_event(self) -> AttemptEvent:
        """Return the next event; the last one releases the permit."""
        try:
            event = next(self._iterator)
        except Exception as exc:
            event = EngineFailed(f"attempt failed: {exc!r}", Ran.MAYBE)
        if not isinstance(event, Tokens):
            self._release(event)
        return event

    def cancel(self) -> None:
        """Cancel the work and wait for the backend server's answer.

        Must be called only after the request's thread has stopped reading.
        """
        with self._lock:
            self._cancelled.set()
            handed_over = self._handed_over
        if isinstance(self._client, ModelEngine):
            self._client.cancel(self._backend_request_id)
        if handed_over:
            self._close()

    def _hand_over(self) -> bool:
        with self._lock:
            self._handed_over = not self._cancelled.is_set()
            return self._handed_over

    def _close(self) -> None:
        """Close a stream that is no longer read and release the permit."""
        self._iterator.close()
        self._release(None)

    def _events(self) -> Generator[AttemptEvent, None, None]:
        if isinstance(self._client, ModelEngine):
            yield from self._generate(self._client)
            return
        left_s = self._call.deadline - time.monotonic()
        answer = self._client.call(
            self._backend_request_id, self._call.payload, left_s
        )
        if answer.is_ok():
            yield PlainAnswer(answer.ok)
        else:
            yield answer.error

    def _generate(self, engine: ModelEngine) -> Iterator[AttemptEvent]:
        stream = engine.generate(
            self._generation_request(), self._remaining_s()
        )
        while True:
            failed: EngineFailed | None = None
            for event in self._read(stream):
                if isinstance(event, EngineFailed):
                    failed = event
                    break
                yield event
            if failed is None:
                break
            if not self._may_resume(failed):
                yield failed
                break
            self.resumed += 1
            stream = engine.resume(
                self._backend_request_id, self._tokens, self._remaining_s()
            )

    def _may_resume(self, failed: EngineFailed) -> bool:
        return (
            failed.resumable
            and self.resumed < MAX_RESUMES
            and not self._cancelled.is_set()
            and self._remaining_s() > 0
        )

    def _read(
        self, stream: Iterator[Result[StreamEvent, EngineFailed]]
    ) -> Iterator[Tokens | Finished | EngineFailed]:
        previous_at = time.monotonic()
        for result in stream:
            if self._cancelled.is_set():
                yield EngineFailed("cancelled", Ran.MAYBE)
                return
            if result.is_error():
                yield result.error
                return
            event = result.ok
            if isinstance(event, Tokens):
                now = time.monotonic()
                self._observe_latency(event, now, previous_at)
                previous_at = now
            yield event

    def _observe_latency(
        self, event: Tokens, now: float, previous_at: float
    ) -> None:
        if self._tokens == 0:
            after_s = now - self._started_at
            self._permits.tell(FirstToken(self.ask_id, after_s))
        else:
            self._gaps.append((now - previous_at) / max(1, len(event.tokens)))
        self._tokens += len(event.tokens)

    def _generation_request(self) -> GenerationRequest:
        service = self._call.service
        route = self._call.route
        return GenerationRequest(
            request_id=self._backend_request_id,
            model=service.model or "",
            version=route.version if route else "",
            adapter=route.adapter if route else None,
            prompt=str(self._call.payload),
            max_tokens=self._call.max_tokens,
        )

    def _remaining_s(self) -> float:
        return self._call.deadline - time.monotonic()

    def _release(self, last: AttemptEvent | None) -> None:
        with self._lock:
            if self._released:
                return
            self._released = True
        match last:
            case Finished() | PlainAnswer():
                outcome = ReleaseOutcome.DONE
            case EngineFailed(permanent=True):
                # The input was invalid, which is no backend failure.
                outcome = ReleaseOutcome.CANCELLED
            case _ if self._cancelled.is_set():
                outcome = ReleaseOutcome.CANCELLED
            case _:
                outcome = ReleaseOutcome.FAILED
        gaps = sorted(self._gaps)
        gap_s = gaps[int(len(gaps) * GAP_QUANTILE)] if gaps else 0.0
        self._permits.tell(
            Release(
                self.ask_id,
                outcome,
                service_s=time.monotonic() - self._started_at,
                tokens=self._tokens,
                gap_s=gap_s,
            )
        )


__all__ = ["Attempt", "AttemptEvent", "AttemptMessage", "PlainAnswer"]

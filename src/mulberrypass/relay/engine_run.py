"""One run of a request at one engine."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.engine.api import EngineFailed
from mulberrypass.engine.wire import WireError
from mulberrypass.model.outcome import Ran
from mulberrypass.policy.messages import ReleaseOutcome
from mulberrypass.relay.streams import ENGINE_GONE
from mulberrypass.relay.unread import skip_rest
from mulberrypass.relay.watch import WatchedCall

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.engine.wire import Deadline
    from mulberrypass.relay.api import EngineAnswer, RelayRequest
    from mulberrypass.relay.dependencies import RelayDependencies
    from mulberrypass.relay.permits import HeldPermit
    from mulberrypass.relay.whole_body import HeldBody

# Work must stop within 0.5 s after its caller has left, and the check of an
# engine doesn't see a caller leave.
CHECK_TIMEOUT_S = 0.5


class EngineRun:
    """Holds the permit and the connection of one run.

    Used by one thread, but for ``stop``.

    :param disconnected: returns whether the caller has left, which ends the
        connection
    :ivar answer: the engine's answer, once its head has come
    :ivar stopped: whether ``stop`` was called
    """

    def __init__(
        self,
        deps: RelayDependencies,
        permit: HeldPermit,
        disconnected: Callable[[], bool],
    ) -> None:
        self.permit = permit
        self.answer: EngineAnswer | None = None
        self._deps = deps
        self._disconnected = disconnected
        self._watched_call: WatchedCall | None = None
        self._lock = threading.Lock()
        self._abort: Callable[[], None] | None = None
        self.stopped = False

    @property
    def engine(self) -> str:
        """Name of the engine."""
        return self.permit.engine.name

    @property
    def slowness(self) -> float:
        """What the answer says of the engine's moment; 0 if unknown."""
        return 0.0 if self.answer is None else self.answer.head.slowness

    @property
    def aborted(self) -> bool:
        """Whether the connection was closed because the caller had left."""
        return self._watched_call is not None and self._watched_call.ended

    def exchange(
        self, req: RelayRequest, deadline: Deadline, head_deadline: Deadline
    ) -> EngineAnswer:
        """Send the request and read the head of the answer.

        :raises WireError: if there is none
        """
        permit = self.permit
        answer = self._deps.engines.send(
            permit.engine, req, deadline, self._watch, head_deadline
        )
        self.answer = answer
        permit.mark_limit(answer.head.limit_per_s)
        permit.succeeded = answer.head.is_success
        return answer

    def send(
        self, req: RelayRequest, deadline: Deadline, head_deadline: Deadline
    ) -> EngineAnswer:
        """Send the request and read the head of an answer of a run.

        :raises WireError: if there is none, or the engine says that the
            request did not run
        """
        answer = self.exchange(req, deadline, head_deadline)
        head = answer.head
        if head.not_run:
            reason = f"engine says not run: {head.status}"
            sound = skip_rest(answer, deadline)
            status = head.status if sound else 0
            raise WireError(EngineFailed(reason, Ran.NO, status=status))
        return answer

    def hold(self, answer: EngineAnswer) -> HeldBody:
        """Return what counts the bytes that are held of an answer."""
        return self._deps.bodies.open(self.engine, answer.abort)

    def is_alive(self, answer: EngineAnswer, deadline: Deadline) -> bool:
        """Return whether an engine still runs whose answer has no framing.

        An engine that has just ended has ended its connections by that, those
        of a leaving one too: it leaves when its time is over, answers or not.
        """
        answer.finish()
        try:
            self._deps.engines.check_alive(
                self.permit.engine, deadline.within(CHECK_TIMEOUT_S)
            )
        except WireError:
            return False
        return True

    def check_engine(self, answer: EngineAnswer, deadline: Deadline) -> None:
        """Check that an engine still runs whose answer nothing else proves.

        :raises WireError: if it doesn't
        """
        if not self.is_alive(answer, deadline):
            raise WireError(ENGINE_GONE)

    def stop(self) -> None:
        """Close the connection, now or once it opens; safe on any thread."""
        with self._lock:
            self.stopped = True
            abort = self._abort
        if abort is not None:
            abort()

    def release(self, outcome: ReleaseOutcome, tokens: int) -> None:
        """Release the connection and the permit."""
        self._unwatch()
        with self._lock:
            self._abort = None
        if self.answer is not None:
            self.answer.finish()
            self.answer = None
        if outcome in (ReleaseOutcome.DONE, ReleaseOutcome.FAILED):
            done = outcome is ReleaseOutcome.DONE
            self._deps.failing.note(self.engine, done, time.monotonic())
        self.permit.release(outcome, tokens)

    def _watch(self, abort: Callable[[], None]) -> None:
        self._unwatch()
        self._watched_call = WatchedCall(self._disconnected, abort)
        self._deps.watch.add(self._watched_call)
        with self._lock:
            self._abort = abort
            stopped = self.stopped
        if stopped:
            abort()

    def _unwatch(self) -> None:
        if self._watched_call is not None:
            self._deps.watch.remove(self._watched_call)
            self._watched_call = None


__all__ = ["EngineRun"]

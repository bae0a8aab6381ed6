"""Until when a request waits for its engines."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypass.engine.wire import Deadline
    from mulberrypass.relay.engine_run import EngineRun
    from mulberrypass.relay.run_record import RunRecord

# A request that may continue elsewhere leaves an engine that completes no
# head or event for this long. Callers give up on a silent stream after 2 s.
SILENCE_TIMEOUT_S = 1.0


class DueTimes:
    """When the parts of one request's answer are due.

    :param deadline: when the caller gives up
    """

    def __init__(self, deadline: Deadline, runs: RunRecord) -> None:
        self._deadline = deadline
        self._runs = runs

    def event(self) -> Deadline:
        """Return until when the head or the next event is due."""
        if self._runs.in_doubt:
            # Half is left for another run.
            left_s = self._runs.doubt_ends_at - time.monotonic()
            return self._deadline.within(left_s / 2)
        if self._runs.may_repeat:
            return self._deadline.within(SILENCE_TIMEOUT_S)
        return self._deadline

    def body(self) -> Deadline:
        """Return until when a body is due that is forwarded whole.

        If the request may continue elsewhere, time is left for that.
        """
        if self._runs.may_repeat:
            return self._deadline.within(self._deadline.left_s() / 2)
        return self._deadline

    def second(self, stream: bool, is_last: bool) -> Deadline:
        """Return until when a second run's first event or body is due.

        :param is_last: whether no other engine may be asked after it
        """
        if is_last:
            return self._deadline
        if stream:
            return self._deadline.within(SILENCE_TIMEOUT_S)
        return self._deadline.within(self._deadline.left_s() / 2)

    def was_hurried(self, run: EngineRun) -> bool:
        """Return whether a run had less time than engines get otherwise."""
        run_s = time.monotonic() - run.permit.sent_at
        return self._runs.settles and run_s < SILENCE_TIMEOUT_S


__all__ = ["DueTimes", "SILENCE_TIMEOUT_S"]

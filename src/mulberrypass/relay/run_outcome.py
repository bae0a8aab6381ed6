"""What the end of a run says of its engine."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from mulberrypass.engine.wire import LATE
from mulberrypass.model.outcome import Ran
from mulberrypass.policy.messages import ReleaseOutcome
from mulberrypass.relay.departures import LEAVES
from mulberrypass.relay.streams import (
    BROKEN_OFF,
    IN_DOUBT,
    NO_FURTHER_EVENT,
)
from mulberrypass.relay.whole_body import NO_ROOM

if TYPE_CHECKING:
    from mulberrypass.engine.api import EngineFailed
    from mulberrypass.engine.wire import Deadline
    from mulberrypass.relay.engine_run import EngineRun


def release_outcome(
    run: EngineRun, failed: EngineFailed, deadline: Deadline, hurried: bool
) -> ReleaseOutcome:
    """Return the outcome; FAILED counts against the engine's health.

    :param deadline: when the caller gives up
    :param hurried: whether the run had less time than engines get otherwise
    """
    late = time.monotonic() >= deadline.at
    had_events = run.permit.first_at is not None
    says_nothing = failed in (
        IN_DOUBT,
        BROKEN_OFF,
        NO_FURTHER_EVENT,
        NO_ROOM,
    )
    if says_nothing or run.aborted or (late and had_events):
        return ReleaseOutcome.CANCELLED
    if hurried and failed == LATE:
        return ReleaseOutcome.CANCELLED
    if failed is LEAVES or (failed.status and failed.ran is Ran.NO):
        return ReleaseOutcome.UNUSED
    return ReleaseOutcome.FAILED


def overtaken_outcome(
    run: EngineRun, stream: bool, target_s: float
) -> ReleaseOutcome:
    """Return the outcome of a run that a second one was ahead of.

    That alone is no fault. An engine that has given no first event in the
    time in which it is due has failed, as one that is left for its silence;
    so has one without even the head of an answer that isn't a stream.
    """
    run_s = time.monotonic() - run.permit.sent_at
    silent = run.permit.first_at is None if stream else run.answer is None
    if silent and run_s >= target_s:
        return ReleaseOutcome.FAILED
    return ReleaseOutcome.CANCELLED


__all__ = ["overtaken_outcome", "release_outcome"]

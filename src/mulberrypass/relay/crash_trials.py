"""Runs trials of held work, one at a time over all members."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Protocol

from mulberrypass.policy.health.trials import (
    Claim,
    FoundClaim,
    Trial,
    TrialTurns,
)
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from expression import Result


LOG = get_logger(__name__)


class TrialClaims(Protocol):
    """Keeps the latest claim of each trial for all members."""

    def replace(
        self, claim: Claim, version: int
    ) -> Result[int, FoundClaim | None]:
        """Write a claim over that of a version, 0 for none.

        :returns: the version written, or the claim that is there instead;
            ``None`` if it can't be told
        """


class CrashTrials:
    """Lets one request of all members try held work. Safe on any thread.

    :param member: name of this member
    :param claims: ``None`` if there is no other member
    :param leads: returns whether this member is the one to begin a trial
        while claims can't be stored
    """

    def __init__(
        self,
        member: str = "",
        claims: TrialClaims | None = None,
        leads: Callable[[str], bool] = lambda _name: True,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._member = member
        self._claims = claims
        self._leads = leads
        self._clock = clock
        self._lock = threading.Lock()
        self._turns = TrialTurns(member)

    def may_ask(self, trials: Iterable[Trial]) -> Trial | None:
        """Return the first trial that another one precedes, if any."""
        now = self._clock()
        with self._lock:
            return self._preceded(trials, now)

    def note_asked(self, trials: Iterable[Trial]) -> Trial | None:
        """Note that work asks for an engine; see ``may_ask``."""
        now = self._clock()
        with self._lock:
            preceded = self._preceded(trials, now)
            if preceded is None:
                for trial in trials:
                    self._turns.note_asked(trial, now)
            return preceded

    def start(self, trials: Iterable[Trial]) -> Trial | None:
        """Start trials right before a request is sent; may block.

        :returns: one that may not start; the others have ended then
        """
        started: list[Trial] = []
        for trial in trials:
            if not self._start(trial):
                self.end(started, sent=False)
                return trial
            started.append(trial)
        return None

    def end(
        self, trials: Iterable[Trial], sent: bool, begun: bool = False
    ) -> None:
        """End trials that have started.

        :param sent: whether the request may have been sent
        :param begun: whether its answer has begun
        """
        now = self._clock()
        for trial in trials:
            with self._lock:
                self._turns.end(trial, now, sent)
                if begun:
                    self._turns.drop(trial)
            LOG.info("trial ended", trial=trial.name, sent=sent, begun=begun)

    def _preceded(self, trials: Iterable[Trial], now: float) -> Trial | None:
        for trial in trials:
            if not self._turns.may_ask(trial, now):
                return trial
        return None

    def _start(self, trial: Trial) -> bool:
        with self._lock:
            begun = self._turns.begin_claim(trial, self._clock())
        if begun is None:
            return False
        claim, version = begun
        found = self._replace(claim, version)
        if isinstance(found, FoundClaim):
            with self._lock:
                again = self._turns.begin_again(trial, found, self._clock())
            if again is None:
                member = found.claim.member
                LOG.info("trial under way", trial=trial.name, member=member)
                return False
            claim, version = again, found.version
            found = self._replace(claim, version)
        if found is None and self._leads(trial.name):
            LOG.warning("trial can't be stored", trial=trial.name)
            found = version
        now = self._clock()
        with self._lock:
            if not isinstance(found, int):
                self._turns.give_up(trial, now)
                return False
            self._turns.note_claimed(trial, claim, found, now)
        LOG.info(
            "trial begins",
            trial=trial.name,
            engines=trial.engines,
            number=claim.number,
        )
        return True

    def _replace(self, claim: Claim, version: int) -> int | FoundClaim | None:
        """Write a claim; return its version, or what ``replace`` found."""
        if self._claims is None:
            return version
        result = self._claims.replace(claim, version)
        return result.ok if result.is_ok() else result.error


__all__ = ["CrashTrials", "TrialClaims"]

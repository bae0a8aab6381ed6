"""Decides who tries held work next, so that only one does at a time.

Engines may have crashed by chance while they read a request, in the middle
of a series of crashes. Held work is therefore tried again: at one engine,
by one member, and by no other until the answer begins.
"""

from __future__ import annotations

from dataclasses import dataclass

from mulberrypass.model.value_class import value_class

# An answer that hasn't begun by then leaves its trial to another run, within
# a site's ``RecoveryS``.
TRIAL_S = 8.0
# Times as long with each further trial that shows nothing: a crash may be seen
# by nobody, as when an engine listens again at once.
GROWTH = 4.0
# Until a member lets a second request ask for an engine, if the first one
# still waits for its own.
ASK_S = 1.0


@value_class
class Trial:
    """A run that shows whether held work crashes engines.

    :param name: identifies what is tried, at all members alike
    :param engines: those whose crashes count against it
    :param part: the part of prompts that is tried; ``None`` for a request
    """

    name: str
    engines: tuple[str, ...]
    part: int | None = None


@value_class
class Claim:
    """The latest trial of some work, as it is stored for all members.

    :param member: the member that has begun it
    :param crashes: crashes that counted against the work before
    :param number: trials since the last of these crashes, with this one
    """

    name: str
    member: str
    crashes: int
    number: int = 1

    @property
    def lasts_s(self) -> float:
        """How long no other trial begins if this one shows nothing."""
        return TRIAL_S * GROWTH ** (self.number - 1)


@value_class
class FoundClaim:
    """A claim that another one would have replaced unseen."""

    claim: Claim
    version: int


@dataclass(slots=True)
class _Turn:
    """What a member knows of the trials of some work.

    :param until: monotonic time until when no request may ask for an engine
    :param crashes: crashes that counted against the work then
    :param claim: the stored claim; ``None`` if this member knows of none
    :param version: version of the stored claim
    :param seen_at: monotonic time at which this member saw that version
    :param own: whether a trial is under way at this member
    """

    until: float
    crashes: int
    claim: Claim | None = None
    version: int = 0
    seen_at: float = 0.0
    own: bool = False


class TrialTurns:
    """The trials that one member knows of. Not thread-safe.

    The age of a claim is the time since this member has first seen it, as the
    clocks of members differ.

    :param member: name of this member
    """

    def __init__(self, member: str) -> None:
        self._member = member
        self._turns: dict[str, _Turn] = {}

    def may_ask(self, trial: Trial, now: float) -> bool:
        """Return whether work may ask for an engine to try it."""
        turn = self._turns.get(trial.name)
        if turn is None or now >= turn.until:
            return True
        return turn.crashes < len(trial.engines)

    def note_asked(self, trial: Trial, now: float) -> None:
        """Note that work asks for an engine."""
        self._turn(trial).until = now + ASK_S

    def begin_claim(
        self, trial: Trial, now: float
    ) -> tuple[Claim, int] | None:
        """Begin to claim a trial.

        :returns: the claim, and the version of that to replace, 0 for none;
            ``None`` if a trial is under way
        """
        turn = self._turn(trial)
        if turn.own or not self._is_over(turn, trial, now):
            return None
        turn.own = True
        return self._next_claim(turn, trial), turn.version

    def begin_again(
        self, trial: Trial, found: FoundClaim, now: float
    ) -> Claim | None:
        """Return the claim to write over a stored one.

        ``None`` if that trial isn't over, so that none begins here.
        """
        turn = self._turn(trial)
        if turn.version != found.version:
            turn.claim, turn.version = found.claim, found.version
            turn.seen_at = now
        if self._is_over(turn, trial, now):
            return self._next_claim(turn, trial)
        turn.own = False
        turn.until = turn.seen_at + found.claim.lasts_s
        return None

    def note_claimed(
        self, trial: Trial, claim: Claim, version: int, now: float
    ) -> None:
        """Note that the trial begins here."""
        turn = self._turn(trial)
        turn.claim, turn.version, turn.seen_at = claim, version, now
        turn.until = now + claim.lasts_s

    def give_up(self, trial: Trial, now: float) -> None:
        """Note that a trial could not be claimed."""
        turn = self._turn(trial)
        turn.own = False
        turn.until = now + ASK_S

    def end(self, trial: Trial, now: float, sent: bool) -> None:
        """Note that a trial of this member has ended without an answer.

        One that was sent may have crashed an engine.
        """
        turn = self._turn(trial)
        turn.own = False
        if not sent:
            turn.claim = None
            turn.until = now

    def drop(self, trial: Trial) -> None:
        """Forget the trials of work that is no longer held."""
        self._turns.pop(trial.name, None)

    def _next_claim(self, turn: _Turn, trial: Trial) -> Claim:
        crashes = len(trial.engines)
        before = turn.claim
        number = 1
        if before is not None and before.name == trial.name:
            number += before.number if before.crashes >= crashes else 0
        return Claim(trial.name, self._member, crashes, number)

    def _is_over(self, turn: _Turn, trial: Trial, now: float) -> bool:
        """Return whether the trial of the stored claim is over."""
        claim = turn.claim
        if claim is None:
            return True
        if claim.name == trial.name and claim.crashes < len(trial.engines):
            return True
        return now >= turn.seen_at + claim.lasts_s

    def _turn(self, trial: Trial) -> _Turn:
        crashes = len(trial.engines)
        turn = self._turns.setdefault(trial.name, _Turn(0.0, crashes))
        turn.crashes = max(turn.crashes, crashes)
        return turn


__all__ = [
    "ASK_S",
    "Claim",
    "FoundClaim",
    "GROWTH",
    "TRIAL_S",
    "Trial",
    "TrialTurns",
]

"""Infers from the crashes of engines which part of a prompt causes them.

A part that crashes an engine does so before the first event of an answer.
So the suspects of a crash are the parts of the requests that the engine had
and whose answers had not begun; an answer that begins elsewhere clears the
parts of its request. A request that comes again is judged by itself first:
see ``requests``.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from itertools import islice
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
from mulberrypass.policy.health.crash import Crash
from mulberrypass.policy.health.quarantine import (
    Quarantine,
    QuarantineSettings,
)
from mulberrypass.policy.health.requests import (
    CrashingRequest,
    CrashingRequests,
    count_occasions,
)
from mulberrypass.policy.health.trials import Trial

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator


@dataclass(slots=True)
class _Known:
    """A crash, and the monotonic time at which it became known here."""

    crash: Crash
    known_at: float


@value_class
class _Verdict:
    """Parts that explain some crashes equally well, as always together.

    :param occasions: number of crashes, those that coincide counted once
    :param needed: number of them that quarantines the parts
    :param sure: whether no other part explains nearly as many
    :param last_known_at: monotonic time
    """

    parts: frozenset[int]
    engines: tuple[str, ...]
    occasions: int
    needed: int
    sure: bool
    last_known_at: float


class CrashHistory:
    """The recent crashes and their suspects. Not thread-safe.

    :param member: name of this member
    """

    def __init__(
        self, settings: QuarantineSettings | None = None, member: str = ""
    ) -> None:
        self._settings = settings or QuarantineSettings()
        self._member = member
        self._known: dict[str, _Known] = {}
        self._by_part: dict[tuple[str, int], dict[str, None]] = {}
        self._by_request: Counter[tuple[str, int]] = Counter()
        self._verdicts: dict[tuple[str, int], _Verdict] | None = None
        self._crashing: CrashingRequests | None = None
        self._causes: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of crashes."""
        return len(self._known)

    def get(self, engine: str) -> Crash | None:
        """Return the crash of an engine."""
        known = self._known.get(engine)
        return known.crash if known is not None else None

    def crashes(self) -> tuple[Crash, ...]:
        """Return all crashes, the oldest first."""
        return tuple(known.crash for known in self._known.values())

    def merge(self, crash: Crash, now: float) -> Crash | None:
        """Merge a report; return the crash if that changed it."""
        known = self._known.get(crash.engine)
        merged = known.crash.merge(crash) if known is not None else crash
        if known is not None and merged == known.crash:
            return None
        known_at = known.known_at if known is not None else now
        self._store(_Known(merged, known_at))
        while len(self._known) > self._settings.remembered:
            self._forget(self._least_useful())
        return merged

    def clear(self, service: str, part: int) -> list[Crash]:
        """Clear a part of all known crashes; return the changed crashes."""
        changed = []
        for engine in tuple(self._by_part.get((service, part), ())):
            known = self._known[engine]
            cleared = known.crash.cleared | {part}
            known = replace(known, crash=replace(known.crash, cleared=cleared))
            self._store(known)
            changed.append(known.crash)
        return changed

    def clear_request(self, service: str, request: int) -> list[Crash]:
        """Clear a request of all known crashes; return the changed ones."""
        if not self._by_request[service, request]:
            return []
        changed = []
        for known in tuple(self._known.values()):
            crash = known.crash
            if crash.service != service or request not in crash.open_requests:
                continue
            cleared = crash.cleared_requests | {request}
            crash = replace(crash, cleared_requests=cleared)
            self._store(replace(known, crash=crash))
            changed.append(crash)
        return changed

    def crashing_request(
        self, request: int, now: float
    ) -> CrashingRequest | None:
        """Return why a request may not run by itself; ``None`` if it may."""
        return self._requests().held(request, now)

    def crashing_requests(
        self, now: float
    ) -> dict[tuple[str, int], CrashingRequest]:
        """Return the requests with enough crashes, by service and digest."""
        return self._requests().all_held(now)

    def counts(self, engine: str) -> bool:
        """Return whether a crash is one of those that hold something."""
        self._requests()
        if engine in self._causes:
            return True
        verdicts = self._judged().values()
        return any(engine in verdict.engines for verdict in verdicts)

    def quarantine(
        self, service: str, parts: Collection[int], now: float
    ) -> Quarantine | None:
        """Return why a request may not run; ``None`` if it may.

        :param parts: the parts of its prompt that others may share
        """
        for part, verdict in self._verdicts_on(service, parts):
            trial_in_s = self._trial_at(verdict) - now
            if trial_in_s > 0:
                return Quarantine(part, verdict.engines, trial_in_s)
        return None

    def due_trials(
        self, service: str, parts: Collection[int], request: int | None
    ) -> tuple[Trial, ...]:
        """Return the trials of a request that isn't held any more.

        :param request: its digest; ``None`` for an item
        """
        trials = {}
        found = None if request is None else self._requests().get(request)
        if found is not None:
            name = f"request/{found.request:x}"
            trials[name] = Trial(name, found.engines)
        for part, verdict in self._verdicts_on(service, parts):
            name = f"part/{service}/{min(verdict.parts):x}"
            trials.setdefault(name, Trial(name, verdict.engines, part))
        return tuple(trials.values())

    def quarantined(self, now: float) -> dict[tuple[str, int], Quarantine]:
        """Return the parts with enough crashes, by service and part."""
        found = {}
        for (service, part), verdict in self._judged().items():
            trial_in_s = self._trial_at(verdict) - now
            if trial_in_s > 0:
                held = Quarantine(part, verdict.engines, trial_in_s)
                found[service, part] = held
        return found

    def _verdicts_on(
        self, service: str, parts: Collection[int]
    ) -> Iterator[tuple[int, _Verdict]]:
        """Yield the verdicts that apply to a request, and their parts.

        A request without some of the parts can tell which it is.
        """
        for part in parts:
            verdict = self._judged().get((service, part))
            if verdict is not None and verdict.parts.issubset(parts):
                yield part, verdict

    def _requests(self) -> CrashingRequests:
        """Return the verdicts on requests."""
        if self._crashing is None:
            self._crashing = CrashingRequests(
                ((k.crash, k.known_at) for k in self._known.values()),
                self._member,
            )
            self._causes = self._crashing.causes()
        return self._crashing

    def _trial_at(self, verdict: _Verdict) -> float:
        """Return when a request may try the parts, in monotonic seconds."""
        return verdict.last_known_at + self._settings.hold_s(
            verdict.occasions, verdict.needed, verdict.sure
        )

    def _judged(self) -> dict[tuple[str, int], _Verdict]:
        """Return the verdicts on parts with enough crashes."""
        if self._verdicts is None:
            self._verdicts = {}
            self._requests()
            for service in {service for service, _part in self._by_part}:
                self._judge(service, self._verdicts)
        return self._verdicts

    def _judge(
        self, service: str, verdicts: dict[tuple[str, int], _Verdict]
    ) -> None:
        """Find the fewest parts that explain the crashes, greedily.

        A crash that one part explains doesn't count against the others. The
        parts under which no answer is known to have begun come first.
        """
        unexplained = {
            part: set(engines)
            for (other, part), engines in self._by_part.items()
            if other == service
        }
        strange = unexplained.keys() - self._familiar_parts(service)
        settings = self._settings
        for candidates, crashes in (
            (strange, settings.crashes),
            (unexplained.keys(), settings.familiar_crashes),
        ):
            while verdict := self._worst(unexplained, candidates, crashes):
                for part in verdict.parts:
                    verdicts[service, part] = verdict
                    del unexplained[part]
                for others in unexplained.values():
                    others.difference_update(verdict.engines)

    def _familiar_parts(self, service: str) -> set[int]:
        return {
            part
            for known in self._known.values()
            if known.crash.service == service
            for part in known.crash.familiar
        }

    def _worst(
        self,
        unexplained: dict[int, set[str]],
        candidates: Collection[int],
        crashes: int,
    ) -> _Verdict | None:
        """Return the verdict on the candidate with the most crashes."""
        counts = {
            part: self._count_occasions(engines)
            for part, engines in unexplained.items()
            if part in candidates and len(engines) >= crashes
        }
        worst = max(counts, key=counts.__getitem__, default=None)
        if worst is None or counts[worst] < crashes:
            return None
        engines = frozenset(unexplained[worst])
        return self._verdict(unexplained, engines, crashes)

    def _verdict(
        self,
        unexplained: dict[int, set[str]],
        engines: frozenset[str],
        needed: int,
    ) -> _Verdict:
        parts = frozenset(
            part for part, found in unexplained.items() if engines <= found
        )
        return _Verdict(
            parts,
            tuple(engine for engine in self._known if engine in engines),
            self._count_occasions(engines),
            needed,
            not self._has_rival(engines, parts)
            and not self._has_request(engines),
            max(self._known[engine].known_at for engine in engines),
        )

    def _has_rival(
        self, engines: Collection[str], parts: frozenset[int]
    ) -> bool:
        """Return whether another part explains all crashes but one."""
        others: Counter[int] = Counter()
        for engine in engines:
            crash = self._known[engine].crash
            others.update(crash.open_suspects - crash.familiar - parts)
        most = max(others.values(), default=0)
        return most >= len(engines) - 1

    def _has_request(self, engines: Collection[str]) -> bool:
        """Return whether requests explain all crashes but one."""
        explained = sum(engine in self._causes for engine in engines)
        return explained >= len(engines) - 1

    def _count_occasions(self, engines: Collection[str]) -> int:
        """Count crashes, those that coincide with an earlier one once.

        All that one request has caused count once, unless other requests
        have caused enough too.
        """
        causes = {self._causes[e] for e in engines if e in self._causes}
        if len(causes) == 1:
            caused = self._causes.keys() & engines
            first = min(caused, key=lambda e: (self._known[e].crash.at_ms, e))
            apart = self._count_moments(set(engines) - caused | {first})
            if apart < self._settings.crashes:
                return apart
        return self._count_moments(engines)

    def _count_moments(self, engines: Iterable[str]) -> int:
        times_ms = (self._known[engine].crash.at_ms for engine in engines)
        return count_occasions(times_ms, self._settings.coincidence_ms)

    def _store(self, known: _Known) -> None:
        self._verdicts = None
        self._crashing = None
        crash = known.crash
        before = self._known.get(crash.engine)
        if before is not None:
            self._unindex(before.crash)
        self._known[crash.engine] = known
        for part in crash.open_suspects:
            engines = self._by_part.setdefault((crash.service, part), {})
            engines[crash.engine] = None
        for request in crash.open_requests:
            self._by_request[crash.service, request] += 1

    def _unindex(self, crash: Crash) -> None:
        for request in crash.open_requests:
            key = crash.service, request
            self._by_request[key] -= 1
            if not self._by_request[key]:
                del self._by_request[key]
        for part in crash.open_suspects:
            engines = self._by_part[crash.service, part]
            del engines[crash.engine]
            if not engines:
                del self._by_part[crash.service, part]

    def _forget(self, engine: str) -> None:
        self._verdicts = None
        self._crashing = None
        self._unindex(self._known.pop(engine).crash)

    def _least_useful(self) -> str:
        """Return the oldest of the crashes that count least, no recent one.

        A caller that invents parts or requests must not end the quarantine
        of others.
        """
        older = len(self._known) - self._settings.recent
        return min(islice(self._known, older), key=self._usefulness)

    def _usefulness(self, engine: str) -> tuple[bool, int]:
        """Rank a crash; those of a crashing request are the most useful.

        Engines that are lost at one moment may have a part in common.
        """
        self._requests()
        crash = self._known[engine].crash
        counts = [
            len(self._by_part[crash.service, part])
            for part in crash.open_suspects
        ]
        counts += [
            self._by_request[crash.service, request]
            for request in crash.open_requests
        ]
        return engine in self._causes, max(counts, default=0)


__all__ = ["Crash", "CrashHistory", "Quarantine", "QuarantineSettings"]

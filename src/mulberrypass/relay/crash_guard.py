"""Keeps requests away from engines that they would crash."""

from __future__ import annotations

from collections import OrderedDict
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, replace
import socket
import threading
import time
from typing import TYPE_CHECKING, Any

from mulberrypass.policy.health.crashes import Crash, CrashHistory
from mulberrypass.relay.api import digest_name, part_names
from mulberrypass.relay.crash_trials import CrashTrials
from mulberrypass.relay.quarantine_log import QuarantineLog
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from mulberrypass.model.routes import RegisteredEngine
    from mulberrypass.policy.health.trials import Trial

LOG = get_logger(__name__)
# The connections of a crashed engine end within a few ms of each other.
COLLECT_S = 0.05
CONNECT_TIMEOUT_S = 0.5
# Engines of a zone that is cut off must not delay the look at a crashed one,
# which is back after some seconds.
MAX_EXAMINERS = 64
# Parts under which answers have begun, to be remembered.
MAX_BEGUN = 4_096
# An engine runs few requests at once, each with few parts.
MAX_SUSPECTS = 64
PART_CRASHES = "prompt_crashes_engines"
REQUEST_CRASHES = "request_crashes_engines"
MS_PER_S = 1_000


class QuarantinedError(Exception):
    """The request, or a part of its prompt, is known to crash engines.

    :param reason: stable reason code
    :param engines: the engines that crashed
    :param part: id of the part as it is logged; ``None`` for a request
    """

    def __init__(
        self, reason: str, engines: tuple[str, ...], part: str | None = None
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.engines = engines
        self.part = part


@dataclass(slots=True)
class _EndedConnections:
    """Connections to one engine that ended before their answers began."""

    engine: RegisteredEngine
    at_ms: int
    parts: set[int] = field(default_factory=set)
    requests: set[int] = field(default_factory=set)


class CrashGuard:
    """Learns which requests and parts crash engines. Safe on any thread.

    :param leaves: returns whether an engine is leaving or gone
    :param is_listening: returns whether an address takes connections;
        ``None`` if that can't be told
    :param member: name of this member
    :param trials: lets one request at a time try what is held
    """

    def __init__(
        self,
        leaves: Callable[[str], bool] = lambda _name: False,
        is_listening: Callable[[str], bool | None] | None = None,
        clock: Callable[[], float] = time.monotonic,
        unix_clock: Callable[[], float] = time.time,
        member: str = "",
        trials: CrashTrials | None = None,
    ) -> None:
        self._trials = trials or CrashTrials(member, clock=clock)
        self._leaves = leaves
        self._is_listening = is_listening or is_listening_at
        self._clock = clock
        self._unix_clock = unix_clock
        self._lock = threading.Lock()
        self._history = CrashHistory(member=member)
        self._begun: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._log = QuarantineLog()
        self._ended: dict[str, _EndedConnections] = {}
        self._pending = threading.Event()
        self._stopped = threading.Event()
        self._publishers: list[Callable[[Crash], None]] = []
        self._thread = threading.Thread(
            target=self._run, name="crash-guard", daemon=True
        )
        self._examiners = ThreadPoolExecutor(MAX_EXAMINERS, "crash-examiner")

    def start(self) -> None:
        """Start looking for crashed engines."""
        self._thread.start()

    def stop(self) -> None:
        """Stop looking for crashed engines."""
        self._stopped.set()
        self._pending.set()
        self._examiners.shutdown(wait=False, cancel_futures=True)

    def subscribe(self, publish: Callable[[Crash], None]) -> None:
        """Register a callback for crashes that this member changes.

        It must not block.
        """
        self._publishers.append(publish)

    def check(
        self,
        service: str,
        parts: Collection[int],
        request: int | None = None,
        repeat: bool = False,
    ) -> None:
        """Check before an engine is asked for.

        :param parts: parts of its prompt that others may share
        :param request: its digest; ``None`` for an item, which is owed
        :param repeat: whether this is a second run, which is no trial
        :raises QuarantinedError: if it would crash the engine, or another
            request tries that
        """
        if trials := self.find_trials(service, parts, request, repeat):
            preceded = self._trials.note_asked(trials)
            if preceded is not None:
                raise _quarantined_by(preceded)

    def holds(self, service: str, parts: Collection[int]) -> bool:
        """Return whether an item with these parts may not ask now."""
        try:
            trials = self.find_trials(service, parts)
        except QuarantinedError:
            return True
        return self._trials.may_ask(trials) is not None

    def find_trials(
        self,
        service: str,
        parts: Collection[int],
        request: int | None = None,
        repeat: bool = False,
    ) -> tuple[Trial, ...]:
        """Return the trials that sending a request would be.

        They are to be started right before; see ``check``.

        :raises QuarantinedError: if it would crash the engine
        """
        if not len(self._history):
            return ()
        now = self._clock()
        with self._lock:
            crashing = None
            if request is not None:
                crashing = self._history.crashing_request(request, now)
            found = self._history.quarantine(service, parts, now)
            trials = self._history.due_trials(service, parts, request)
        if crashing is not None:
            raise QuarantinedError(REQUEST_CRASHES, crashing.engines)
        if found is not None:
            part = part_names((found.part,))[0]
            raise QuarantinedError(PART_CRASHES, found.engines, part)
        if repeat and trials:
            raise _quarantined_by(trials[0])
        return trials

    def start_trials(self, trials: Collection[Trial]) -> None:
        """Start trials right before a request is sent; may block.

        :raises QuarantinedError: if another request tries the same
        """
        if (preceded := self._trials.start(trials)) is not None:
            raise _quarantined_by(preceded)

    def end_trials(
        self, trials: Collection[Trial], sent: bool, begun: bool
    ) -> None:
        """End trials that have started.

        :param sent: whether the request may have been sent
        :param begun: whether its answer has begun
        """
        self._trials.end(trials, sent, begun)

    def on_begun(
        self,
        service: str,
        parts: Collection[int],
        request: int | None = None,
    ) -> None:
        """Clear a request whose answer has begun, and its parts."""
        changed: list[Crash] = []
        cleared: dict[int, list[str]] = {}
        with self._lock:
            if request is not None:
                changed += self._history.clear_request(service, request)
            for part in parts:
                self._begun[service, part] = None
                self._begun.move_to_end((service, part))
                if crashes := self._history.clear(service, part):
                    cleared[part] = [crash.engine for crash in crashes]
                    changed += crashes
            while len(self._begun) > MAX_BEGUN:
                self._begun.popitem(last=False)
        for part, engines in cleared.items():
            LOG.info(
                "part cleared",
                service=service,
                part=part_names((part,))[0],
                engines=engines,
            )
        self._publish(changed)

    def on_connection_ended(
        self,
        engine: RegisteredEngine,
        parts: Collection[int],
        request: int | None = None,
    ) -> None:
        """Note that a connection ended before its answer began.

        An engine that leaves ends connections by itself, so that this is no
        evidence against parts, which many requests share.
        """
        if self._leaves(engine.name):
            parts = ()
        if not parts and request is None:
            return
        with self._lock:
            ended = self._ended.get(engine.boot)
            if ended is None:
                at_ms = int(self._unix_clock() * MS_PER_S)
                ended = _EndedConnections(engine, at_ms)
                self._ended[engine.boot] = ended
            ended.parts.update(parts)
            if request is not None:
                ended.requests.add(request)
        self._pending.set()

    def learn(self, crash: Crash) -> bool:
        """Learn of a crash that another member has reported.

        :returns: whether it was news
        """
        now = self._clock()
        with self._lock:
            merged = self._history.merge(crash, now)
            known_better = None
            if merged is not None:
                added = replace(merged, familiar=self._familiar(merged))
                known_better = self._history.merge(added, now)
        if known_better is not None:
            self._publish([known_better])
        self._log_changes()
        return merged is not None

    def counts(self, engine: str) -> bool:
        """Return whether a crash is one of those that hold something.

        :param engine: one start of an engine
        """
        with self._lock:
            return self._history.counts(engine)

    def state(self) -> dict[str, Any]:
        """Return crashes and quarantined parts for a state dump."""
        now = self._clock()
        with self._lock:
            quarantined = self._history.quarantined(now)
            requests = self._history.crashing_requests(now)
            crashes = self._history.crashes()
        return {
            "requests": sorted(
                f"{service}:{digest_name(request)}"
                for service, request in requests
            ),
            "quarantined": sorted(
                f"{service}:{part:x}" for service, part in quarantined
            ),
            "crashes": {
                crash.engine: part_names(sorted(crash.open_suspects))
                for crash in crashes
            },
        }

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._pending.wait()
            self._stopped.wait(COLLECT_S)
            self._pending.clear()
            with self._lock:
                ended, self._ended = self._ended, {}
            if self._stopped.is_set():
                return
            for each in ended.values():
                self._examiners.submit(self._try_examine, each)

    def _try_examine(self, ended: _EndedConnections) -> None:
        try:
            self._examine(ended)
        except Exception:
            LOG.exception("crash not examined", engine=ended.engine.name)

    def _examine(self, ended: _EndedConnections) -> None:
        """Report a crash if the engine takes no connections any more."""
        engine = ended.engine
        listening = self._is_listening(engine.address)
        with self._lock:
            suspects = frozenset(sorted(ended.parts)[:MAX_SUSPECTS])
            requests = frozenset(sorted(ended.requests)[:MAX_SUSPECTS])
            crash = Crash(
                engine.boot,
                engine.service,
                ended.at_ms,
                suspects,
                requests=requests,
            )
            crash = replace(crash, familiar=self._familiar(crash))
            merged = None
            if listening is False:
                merged = self._history.merge(crash, self._clock())
        LOG.info(
            "connections ended early",
            engine=engine.name,
            listening=listening,
            requests=[digest_name(each) for each in sorted(requests)],
            suspects=part_names(sorted(suspects)),
            familiar=part_names(sorted(crash.familiar)),
        )
        if merged is not None:
            self._publish([merged])
            self._log_changes()

    def _familiar(self, crash: Crash) -> frozenset[int]:
        """Return the suspects under which answers have begun here before."""
        return frozenset(
            part
            for part in crash.suspects
            if (crash.service, part) in self._begun
        )

    def _publish(self, crashes: list[Crash]) -> None:
        for crash in crashes:
            for publish in self._publishers:
                publish(crash)
        if crashes:
            self._log_changes()

    def _log_changes(self) -> None:
        """Log what enters or leaves quarantine."""
        now = self._clock()
        with self._lock:
            parts = self._history.quarantined(now)
            requests = self._history.crashing_requests(now)
            self._log.note(parts, requests, now)


def _quarantined_by(trial: Trial) -> QuarantinedError:
    """Return the error of a request that another one precedes."""
    if trial.part is None:
        return QuarantinedError(REQUEST_CRASHES, trial.engines)
    part = part_names((trial.part,))[0]
    return QuarantinedError(PART_CRASHES, trial.engines, part)


def is_listening_at(address: str) -> bool | None:
    """Return whether a TCP address takes connections.

    :returns: ``None`` if there is no reply
    """
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S):
            return True
    except ConnectionRefusedError:
        return False
    except OSError:
        return None


__all__ = [
    "PART_CRASHES",
    "REQUEST_CRASHES",
    "CrashGuard",
    "QuarantinedError",
    "is_listening_at",
]

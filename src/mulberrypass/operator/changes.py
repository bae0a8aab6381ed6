"""Checks, plans and publishes what operators send."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from mulberrypass.configuration.store import (
    Accepted,
    ConfigurationStore,
    Head,
    StaleBase,
    StoreDown,
    Submission,
    SubmitIdReused,
)
from mulberrypass.model.check import check
from mulberrypass.model.diff import Action, Change, differences
from mulberrypass.model.objects import Configuration

if TYPE_CHECKING:
    from mulberrypass.configuration.follower import ConfigurationFollower
    from mulberrypass.configuration.rows import ChangedObject, HistoryRow
    from mulberrypass.model.fault import Fault
    from mulberrypass.model.load import RawDocument
    from mulberrypass.operator.messages import SubmitBody


@dataclass(frozen=True, slots=True)
class Current:
    """The newest configuration that this process can see.

    :param doubt: why a newer one may be published; empty where none is
    """

    cfg: Configuration
    doubt: str = ""


@dataclass(frozen=True, slots=True)
class Plan:
    """What a submission would change.

    :param checked: the set, not yet published
    """

    base: Current
    checked: Configuration
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Faulty:
    """The set of objects is refused."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class ObjectConflict:
    """One object that others changed since the base.

    :param mine: what the submission does to it; empty where nothing, and
        ``None`` where the base can't be read
    """

    object: str
    action: str
    generation: int
    operator: str
    at: float
    message: str
    mine: str | None


@dataclass(frozen=True, slots=True)
class Conflicting:
    """The submission was made from a generation that has been replaced."""

    base: int
    generation: int
    objects: tuple[ObjectConflict, ...]


@dataclass(frozen=True, slots=True)
class Done:
    """The set is published.

    :param generation: the generation under which the set was published
    """

    accepted: Accepted
    generation: int
    changes: tuple[Change, ...]


ChangeError = Faulty | Conflicting | SubmitIdReused | StoreDown


class ConfigurationChanges:
    """Serves operators in this process. Safe on any thread."""

    def __init__(
        self, store: ConfigurationStore, follower: ConfigurationFollower
    ) -> None:
        self._store = store
        self._follower = follower

    def current(self) -> Current:
        """Give the newest configuration, from the store where it answers."""
        known = self._follower.current()
        match self._store.head():
            case Result(tag="ok", ok=head) if (
                head.generation <= known.generation
            ):
                return Current(known)
            case Result(tag="ok", ok=head):
                return self._read(head, known)
            case Result(error=down):
                return Current(known, down.reason)

    def check(
        self, raws: tuple[RawDocument, ...]
    ) -> Result[Configuration, Faulty]:
        """Check a whole set of documents."""
        return check(raws, self.current().cfg).map_error(Faulty)

    def plan(self, raws: tuple[RawDocument, ...]) -> Result[Plan, Faulty]:
        """Say what a set of documents would change."""
        base = self.current()
        checked = check(raws, base.cfg).map_error(Faulty)
        return checked.map(
            lambda cfg: Plan(base, cfg, differences(base.cfg, cfg))
        )

    def submit(
        self, body: SubmitBody, operator: str
    ) -> Result[Done, ChangeError]:
        """Publish a set of documents once."""
        base = self.current()
        match check(body.raws(), base.cfg):
            case Result(tag="ok", ok=cfg):
                pass
            case Result(error=faults):
                return Error(Faulty(faults))
        sub = Submission(
            cfg,
            body.base_generation,
            body.submit_id,
            operator,
            body.message,
        )
        match self._store.submit(sub):
            case Result(tag="ok", ok=accepted):
                return self._accept(accepted, base.cfg, cfg)
            case Result(error=StaleBase() as overtaken):
                return Error(self._conflict(sub, overtaken))
            case Result(error=SubmitIdReused() | StoreDown() as exc):
                return Error(exc)
            case other:
                raise AssertionError(other)

    def _accept(
        self, accepted: Accepted, base: Configuration, cfg: Configuration
    ) -> Result[Done, ChangeError]:
        if not accepted.unchanged:
            self._follower.offer(accepted.snapshot)
        generation = accepted.snapshot.generation
        return Ok(Done(accepted, generation, differences(base, cfg)))

    def _read(self, head: Head, known: Configuration) -> Current:
        match self._store.configuration(head):
            case Result(tag="ok", ok=cfg):
                return Current(cfg)
            case Result(error=exc):
                return Current(known, exc.reason)

    def _conflict(self, sub: Submission, overtaken: StaleBase) -> Conflicting:
        mine = self._own_changes(sub)
        objects = tuple(
            _object_conflict(entry, change, mine)
            for entry in overtaken.since
            for change in entry.changes
        )
        return Conflicting(sub.base, overtaken.generation, objects)

    def _own_changes(self, sub: Submission) -> dict[str, str] | None:
        """Give what the submission changes of its own base."""
        base = self._at(sub.base)
        if base is None:
            return None
        changes = differences(base, replace(sub.cfg, generation=sub.base))
        return {change.label: change.action.value for change in changes}

    def _at(self, generation: int) -> Configuration | None:
        if generation == 0:
            return Configuration()
        match self._store.history():
            case Result(tag="ok", ok=entries):
                pass
            case _:
                return None
        for entry in entries:
            if entry.generation == generation:
                found = self._store.configuration(Head(1, entry))
                return found.ok if found.is_ok() else None
        return None


def _object_conflict(
    entry: HistoryRow, change: ChangedObject, mine: dict[str, str] | None
) -> ObjectConflict:
    label = Change(change.kind, change.key, Action(change.action)).label
    return ObjectConflict(
        object=label,
        action=change.action,
        generation=entry.generation,
        operator=entry.operator,
        at=entry.at,
        message=entry.message,
        mine=None if mine is None else mine.get(label, ""),
    )


__all__ = [
    "ChangeError",
    "ConfigurationChanges",
    "Conflicting",
    "Current",
    "Done",
    "Faulty",
    "ObjectConflict",
    "Plan",
]

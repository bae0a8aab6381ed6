"""Validation, planning and publication of submitted sets."""

from __future__ import annotations

from dataclasses import replace
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
from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from mulberrypass.configuration.follower import ConfigurationFollower
    from mulberrypass.configuration.rows import ChangedObject, HistoryRow
    from mulberrypass.model.fault import Fault
    from mulberrypass.model.load import RawDocument
    from mulberrypass.operator.messages import SubmitBody


@value_class
class LatestConfiguration:
    """The newest configuration that this process can see.

    :param doubt: why a newer one may be published; empty if there is no doubt
    """

    cfg: Configuration
    doubt: str = ""


@value_class
class Plan:
    """What a submission would change.

    :param base: the configuration that the set is compared with
    :param checked: the validated set, not yet published
    """

    base: LatestConfiguration
    checked: Configuration
    changes: tuple[Change, ...]


@value_class
class InvalidSet:
    """The set of objects is invalid."""

    faults: tuple[Fault, ...]


@value_class
class ObjectConflict:
    """One object that other submissions changed since the base.

    :param mine: action of the rejected submission on it; empty if none,
        ``None`` if the base can't be read
    """

    object: str
    action: str
    generation: int
    operator: str
    at: float
    message: str
    mine: str | None


@value_class
class GenerationConflict:
    """The base generation of a submission is no longer in force."""

    base: int
    generation: int
    objects: tuple[ObjectConflict, ...]


@value_class
class Published:
    """The set is published.

    :param generation: generation that the set was published as
    """

    accepted: Accepted
    generation: int
    changes: tuple[Change, ...]


ChangeError = InvalidSet | GenerationConflict | SubmitIdReused | StoreDown


class ConfigurationChanges:
    """Handles operators' submissions. Thread-safe."""

    def __init__(
        self, store: ConfigurationStore, follower: ConfigurationFollower
    ) -> None:
        self._store = store
        self._follower = follower

    def current(self) -> LatestConfiguration:
        """Return the newest configuration.

        It is read from the store, or taken from this process if the store
        can't be read.
        """
        known = self._follower.current()
        match self._store.head():
            case Result(tag="ok", ok=head) if (
                head.generation <= known.generation
            ):
                return LatestConfiguration(known)
            case Result(tag="ok", ok=head):
                return self._load_head(head, known)
            case Result(error=down):
                return LatestConfiguration(known, down.reason)

    def check(
        self, raw_documents: tuple[RawDocument, ...]
    ) -> Result[Configuration, InvalidSet]:
        """Validate a complete set of documents."""
        return check(raw_documents, self.current().cfg).map_error(InvalidSet)

    def plan(
        self, raw_documents: tuple[RawDocument, ...]
    ) -> Result[Plan, InvalidSet]:
        """Return the changes that submitting a set would make."""
        base = self.current()
        checked = check(raw_documents, base.cfg).map_error(InvalidSet)
        return checked.map(
            lambda cfg: Plan(base, cfg, differences(base.cfg, cfg))
        )

    def submit(
        self, body: SubmitBody, operator: str
    ) -> Result[Published, ChangeError]:
        """Publish a set of documents, once per submit id."""
        base = self.current()
        match check(body.raw_documents(), base.cfg):
            case Result(tag="ok", ok=cfg):
                pass
            case Result(error=faults):
                return Error(InvalidSet(faults))
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
            case Result(error=StaleBase() as stale):
                return Error(self._conflict(sub, stale))
            case Result(error=SubmitIdReused() | StoreDown() as exc):
                return Error(exc)
            case other:
                raise AssertionError(other)

    def _accept(
        self, accepted: Accepted, base: Configuration, cfg: Configuration
    ) -> Result[Published, ChangeError]:
        if not accepted.unchanged:
            self._follower.offer(accepted.snapshot)
        generation = accepted.snapshot.generation
        return Ok(Published(accepted, generation, differences(base, cfg)))

    def _load_head(
        self, head: Head, known: Configuration
    ) -> LatestConfiguration:
        match self._store.configuration(head):
            case Result(tag="ok", ok=cfg):
                return LatestConfiguration(cfg)
            case Result(error=exc):
                return LatestConfiguration(known, exc.reason)

    def _conflict(
        self, sub: Submission, stale: StaleBase
    ) -> GenerationConflict:
        mine = self._own_changes(sub)
        objects = tuple(
            _object_conflict(entry, change, mine)
            for entry in stale.since
            for change in entry.changes
        )
        return GenerationConflict(sub.base, stale.generation, objects)

    def _own_changes(self, sub: Submission) -> dict[str, str] | None:
        """Return the changes of a submission relative to its base, by label.

        ``None`` if the base can't be read.
        """
        base = self._configuration_at(sub.base)
        if base is None:
            return None
        changes = differences(base, replace(sub.cfg, generation=sub.base))
        return {change.label: change.action.value for change in changes}

    def _configuration_at(self, generation: int) -> Configuration | None:
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
    "GenerationConflict",
    "InvalidSet",
    "LatestConfiguration",
    "ObjectConflict",
    "Plan",
    "Published",
]

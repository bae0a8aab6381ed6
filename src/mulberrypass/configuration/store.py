"""Publishes configurations by one conditional write of the head row."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from mulberrypass.configuration import rows
from mulberrypass.model.diff import differences
from mulberrypass.model.objects import Configuration
from mulberrypass.model.published import Snapshot
from mulberrypass.model.snapshot import decode, encode
import mulberrypass.model.store as api
from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_ATTEMPTS = 4
INITIAL_RETRY_S = 0.25
MAX_HISTORY_ROWS = 200


@value_class
class Submission:
    """A complete configuration that an operator wants to publish.

    :param cfg: the configuration, checked and not yet published
    :param base: the generation that it was made from
    :param submit_id: the same for every repetition of the submission
    """

    cfg: Configuration
    base: int
    submit_id: str
    operator: str
    message: str = ""


@value_class
class Accepted:
    """The configuration is published.

    :param repeated: whether the submission had been accepted before
    :param unchanged: whether the same configuration was already in force
    """

    snapshot: Snapshot
    repeated: bool = False
    unchanged: bool = False


@value_class
class StaleBase:
    """Another submission was accepted after the base; nothing changed.

    :param since: generations after the base, newest first
    """

    generation: int
    since: tuple[rows.HistoryRow, ...]


@value_class
class SubmitIdReused:
    """The id belongs to an accepted submission with other content."""

    generation: int


@value_class
class StoreDown:
    """The platform gave no conclusive answer.

    :param maybe_accepted: whether a submission may nevertheless be accepted
    """

    reason: str
    maybe_accepted: bool = False


@value_class
class NoSuchGeneration:
    """The snapshot is missing from the object store or can't be decoded."""

    generation: int
    reason: str


SubmitError = StaleBase | SubmitIdReused | StoreDown
SnapshotError = NoSuchGeneration | StoreDown


@value_class
class Head:
    """The head row and its version; version 0 if there is no row."""

    version: int
    row: rows.HeadRow | None

    @property
    def generation(self) -> int:
        """The published generation; 0 if there is none."""
        return 0 if self.row is None else self.row.generation

    @property
    def condition(self) -> api.Condition:
        """The condition that the head row is unchanged."""
        if self.row is None:
            return api.Absent()
        return api.VersionIs(self.version)


class ConfigurationStore:
    """Publishes and reads configurations; thread-safe.

    :param clock: returns Unix time in seconds
    :param sleep: waits between attempts
    """

    def __init__(
        self,
        table: api.Table,
        objects: api.Objects,
        clock: Callable[[], float] = time.time,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._sleep = sleep

    def head(self) -> Result[Head, StoreDown]:
        """Read the head row."""
        match self._table.read(rows.TABLE, rows.HEAD_KEY):
            case Result(tag="ok", ok=row):
                return Ok(_decode_head(row))
            case Result(error=exc):
                return Error(StoreDown(reason_of(exc)))

    def history(
        self, limit: int = MAX_HISTORY_ROWS
    ) -> Result[tuple[rows.HistoryRow, ...], StoreDown]:
        """Read the history rows of the newest generations, newest first."""
        page = self._table.scan(
            rows.TABLE, rows.HISTORY_PREFIX, limit=min(limit, MAX_HISTORY_ROWS)
        )
        match page:
            case Result(tag="ok", ok=found):
                return Ok(
                    tuple(
                        rows.HistoryRow.model_validate(row.row)
                        for row in found.rows
                    )
                )
            case Result(error=exc):
                return Error(StoreDown(reason_of(exc)))

    def snapshot(
        self, generation: int, digest: str
    ) -> Result[Snapshot, SnapshotError]:
        """Read a published snapshot, without checking its digest."""
        match self._objects.get(rows.snapshot_key(generation, digest)):
            case Result(tag="ok", ok=data):
                return Ok(Snapshot(generation, digest, data))
            case Result(error=api.Unavailable() | api.Throttled() as exc):
                return Error(StoreDown(reason_of(exc)))
            case _:
                reason = "its snapshot is not in the object store"
                return Error(NoSuchGeneration(generation, reason))

    def configuration(
        self, head: Head
    ) -> Result[Configuration, SnapshotError]:
        """Read the configuration that a head names."""
        if head.row is None:
            return Ok(Configuration())
        row = head.row
        match self.snapshot(row.generation, row.digest):
            case Result(tag="ok", ok=found):
                return decode(found).map_error(
                    lambda bad: NoSuchGeneration(row.generation, bad.reason)
                )
            case Result(error=exc):
                return Error(exc)

    def submit(self, sub: Submission) -> Result[Accepted, SubmitError]:
        """Publish a configuration once, however often it is submitted.

        A lost reply is resolved by repeating the same conditional write:
        either it applies now, or the row of an earlier attempt is found. If
        the snapshot in force is lost, the history lists every object of the
        new configuration as added.
        """
        previous = self._table.read(rows.TABLE, rows.submit_key(sub.submit_id))
        match previous:
            case Result(tag="ok", ok=api.Row() as row):
                return _earlier_outcome(sub, row)
            case Result(tag="error", error=exc):
                return Error(StoreDown(reason_of(exc)))
        match self._latest_head():
            case Result(tag="ok", ok=head):
                return self._submit_on(head, sub)
            case Result(error=down):
                return Error(down)

    def _latest_head(self) -> Result[Head, StoreDown]:
        return self._read_latest(rows.HEAD_KEY).map(_decode_head)

    def _read_latest(self, key: str) -> Result[api.Row | None, StoreDown]:
        """Read a row by a transaction, whose answer can't be stale."""
        check = api.Check(rows.TABLE, key, api.Absent())
        reason = ""
        for attempt in range(MAX_ATTEMPTS):
            match self._table.transact((check,)):
                case Result(tag="ok"):
                    return Ok(None)
                case Result(error=api.Conflict(found=found)):
                    return Ok(found)
                case Result(error=exc):
                    reason = reason_of(exc)
            self._pause(attempt)
        return Error(StoreDown(reason))

    def _submit_on(
        self, head: Head, sub: Submission
    ) -> Result[Accepted, SubmitError]:
        if head.row is not None and head.row.digest == sub.cfg.digest:
            snapshot = encode(sub.cfg, head.generation)
            return Ok(Accepted(snapshot, unchanged=True))
        if head.generation != sub.base:
            return self._resolve_conflict(sub, maybe_accepted=False)
        match self.configuration(head):
            case Result(tag="ok", ok=current):
                return self._publish(head, current, sub)
            case Result(error=NoSuchGeneration()):
                return self._publish(head, Configuration(), sub)
            case Result(error=exc):
                return Error(StoreDown(exc.reason))

    def _publish(
        self, head: Head, current: Configuration, sub: Submission
    ) -> Result[Accepted, SubmitError]:
        snapshot = encode(sub.cfg, head.generation + 1)
        failure = self._put_snapshot(snapshot)
        if failure is not None:
            return Error(failure)
        row = rows.HeadRow(
            generation=snapshot.generation,
            digest=snapshot.digest,
            base=sub.base,
            submit_id=sub.submit_id,
            operator=sub.operator,
            at=round(self._clock(), 3),
            message=sub.message,
        )
        changes = differences(current, sub.cfg)
        ops = _publish_ops(head, row, rows.history_row(row, changes))
        return self._commit(ops, snapshot, sub)

    def _put_snapshot(self, snapshot: Snapshot) -> StoreDown | None:
        key = rows.snapshot_key(snapshot.generation, snapshot.digest)
        reason = ""
        for attempt in range(MAX_ATTEMPTS):
            match self._objects.put(key, snapshot.data):
                case Result(tag="ok") | Result(error=api.Exists()):
                    return None
                case Result(error=exc):
                    reason = reason_of(exc)
            self._pause(attempt)
        return StoreDown(reason)

    def _commit(
        self, ops: tuple[api.Op, ...], snapshot: Snapshot, sub: Submission
    ) -> Result[Accepted, SubmitError]:
        maybe_accepted = False
        reason = ""
        for attempt in range(MAX_ATTEMPTS):
            match self._table.transact(ops):
                case Result(tag="ok"):
                    return Ok(Accepted(snapshot))
                case Result(error=api.Conflict()):
                    return self._resolve_conflict(sub, maybe_accepted)
                case Result(error=exc):
                    reason = reason_of(exc)
                    maybe_accepted = maybe_accepted or _maybe_applied(exc)
            self._pause(attempt)
        return Error(StoreDown(reason, maybe_accepted=maybe_accepted))

    def _resolve_conflict(
        self, sub: Submission, maybe_accepted: bool
    ) -> Result[Accepted, SubmitError]:
        """Find out whether a conflict is with this submission's own row."""
        match self._read_latest(rows.submit_key(sub.submit_id)):
            case Result(tag="ok", ok=None):
                return self._stale_base(sub)
            case Result(tag="ok", ok=api.Row() as row):
                return _earlier_outcome(sub, row)
            case Result(error=down):
                return Error(
                    StoreDown(down.reason, maybe_accepted=maybe_accepted)
                )

    def _stale_base(self, sub: Submission) -> Result[Accepted, SubmitError]:
        match self.head():
            case Result(tag="ok", ok=head):
                return self._stale_base_since(head.generation, sub.base)
            case Result(error=down):
                return Error(down)

    def _stale_base_since(
        self, generation: int, base: int
    ) -> Result[Accepted, SubmitError]:
        match self.history():
            case Result(tag="ok", ok=entries):
                since = tuple(e for e in entries if e.generation > base)
                return Error(StaleBase(generation, since))
            case Result(error=down):
                return Error(down)

    def _pause(self, attempt: int) -> None:
        if attempt + 1 < MAX_ATTEMPTS:
            self._sleep(INITIAL_RETRY_S * 2**attempt)


def _decode_head(row: api.Row | None) -> Head:
    if row is None:
        return Head(0, None)
    return Head(row.version, rows.HeadRow.model_validate(row.row))


def _publish_ops(
    head: Head, row: rows.HeadRow, history: rows.HistoryRow
) -> tuple[api.Op, ...]:
    outcome = rows.SubmitRow(generation=row.generation, digest=row.digest)
    return (
        api.Put(
            rows.TABLE,
            rows.HEAD_KEY,
            row.model_dump(mode="json"),
            head.condition,
        ),
        api.Put(
            rows.TABLE,
            rows.history_key(row.generation),
            history.model_dump(mode="json"),
            api.Absent(),
        ),
        api.Put(
            rows.TABLE,
            rows.submit_key(row.submit_id),
            outcome.model_dump(mode="json"),
            api.Absent(),
        ),
    )


def _earlier_outcome(
    sub: Submission, row: api.Row
) -> Result[Accepted, SubmitError]:
    found = rows.SubmitRow.model_validate(row.row)
    if found.digest != sub.cfg.digest:
        return Error(SubmitIdReused(found.generation))
    snapshot = encode(sub.cfg, found.generation)
    return Ok(Accepted(snapshot, repeated=True))


def reason_of(exc: api.ObjectError | api.TableError) -> str:
    """Describe why a call to the platform failed."""
    match exc:
        case api.Unavailable(reason=reason):
            return f"the platform gave no answer: {reason}"
        case api.Throttled(retry_after_s=wait):
            return f"the platform is over its rate for {wait:g} s"
        case _:
            return f"the platform refused: {exc!r}"


def _maybe_applied(exc: api.TableError) -> bool:
    return isinstance(exc, api.Unavailable) and exc.maybe_applied


__all__ = [
    "Accepted",
    "ConfigurationStore",
    "Head",
    "NoSuchGeneration",
    "StaleBase",
    "SnapshotError",
    "StoreDown",
    "Submission",
    "SubmitError",
    "SubmitIdReused",
    "reason_of",
]

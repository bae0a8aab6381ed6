"""Crashes of engines, kept in a row store for instances that start later."""

from __future__ import annotations

from itertools import filterfalse, islice
import json
import re
import threading
from typing import TYPE_CHECKING, Annotated

from pydantic import (
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
)

from mulberrypass.model.store import Throttled, Unavailable
from mulberrypass.policy.health.crashes import Crash, QuarantineSettings
from mulberrypass.runtime.logs import get_logger
from mulberrypass.storage.follow import TableReader
from mulberrypass.storage.rows import RowKey, Transaction

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.storage.rows import RowStore, StoredRow

LOG = get_logger(__name__)
CRASHES_TABLE = "engine_crashes"
RETRY_S = 0.3
# Each crash has a row for each member that has reported it.
MAX_ROWS = 4 * QuarantineSettings().remembered
SEPARATOR = "/"
# A part is an unsigned 64-bit number in hexadecimal digits.
PART = re.compile(r"[0-9a-f]{1,16}")
MAX_MS = 2**63 - 1


class RowCrashes(TableReader):
    """Writes crashes on its own thread, and reads those of other members.

    :param member: name of this member, which ends the keys of its rows
    :param learn: called with each crash read
    :param counts: returns whether the crash of an engine's start still counts,
        so that its rows are kept
    """

    def __init__(
        self,
        rows: RowStore,
        member: str,
        learn: Callable[[Crash], None],
        counts: Callable[[str], bool] = lambda _engine: False,
    ) -> None:
        self._counts = counts
        self._rows = rows
        self._member = member
        self._learn = learn
        self._unsaved: dict[str, Crash] = {}
        self._known: dict[str, None] = {}
        self._lock = threading.Lock()
        self._pending = threading.Event()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="save-crashes", daemon=True
        )

    def start(self) -> None:
        """Start writing."""
        self._thread.start()

    def stop(self) -> None:
        """Write nothing more."""
        self._stopped.set()
        self._pending.set()

    def save(self, crash: Crash) -> None:
        """Write a crash as soon as the store takes it; never blocks."""
        with self._lock:
            self._unsaved[crash.engine] = crash
            while len(self._unsaved) > MAX_ROWS:
                del self._unsaved[next(iter(self._unsaved))]
        self._pending.set()

    def on_all_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Learn the crashes of all rows, the oldest first."""
        self.on_changed_rows(tuple(sorted(rows, key=lambda r: r.version)))

    def on_changed_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Learn the crashes of changed rows."""
        for row in rows:
            with self._lock:
                self._known.pop(row.at.key, None)
                if not row.removed:
                    self._known[row.at.key] = None
            if row.removed:
                continue
            try:
                crash = _decode(row)
            except ValidationError as exc:
                error = exc.errors()[0]
                LOG.error(
                    "crash can't be read",
                    row=row.at.key,
                    field=".".join(map(str, error["loc"])),
                    reason=error["msg"],
                )
                continue
            self._learn(crash)

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._pending.wait()
            self._pending.clear()
            while self._unsaved and not self._stopped.is_set():
                if not self._save_next():
                    self._stopped.wait(RETRY_S)

    def _save_next(self) -> bool:
        """Write one crash, and return whether the store has taken it."""
        with self._lock:
            engine, crash = next(iter(self._unsaved.items()))
            surplus = max(0, len(self._known) - MAX_ROWS)
            oldest = tuple(self._known) if surplus else ()
        removed = tuple(islice(filterfalse(self._is_kept, oldest), surplus))
        key = RowKey(CRASHES_TABLE, "", f"{engine}{SEPARATOR}{self._member}")
        change = Transaction(
            puts=((key, _encode(crash)),),
            removes=tuple(RowKey(CRASHES_TABLE, "", name) for name in removed),
        )
        result = self._rows.transact(change)
        if result.is_error() and isinstance(
            result.error, Unavailable | Throttled
        ):
            return False
        with self._lock:
            if self._unsaved.get(engine) is crash:
                del self._unsaved[engine]
        return True

    def _is_kept(self, name: str) -> bool:
        return self._counts(name.partition(SEPARATOR)[0])


def _encode(crash: Crash) -> bytes:
    doc = {
        "engine": crash.engine,
        "service": crash.service,
        "at_ms": crash.at_ms,
        "suspects": [f"{part:x}" for part in sorted(crash.suspects)],
        "familiar": [f"{part:x}" for part in sorted(crash.familiar)],
        "cleared": [f"{part:x}" for part in sorted(crash.cleared)],
        "requests": [f"{each:x}" for each in sorted(crash.requests)],
        "cleared_requests": [
            f"{each:x}" for each in sorted(crash.cleared_requests)
        ],
    }
    return json.dumps(doc).encode()


def _parse_part(text: object) -> int:
    if not isinstance(text, str) or not PART.fullmatch(text):
        raise ValueError("not a part of a prompt, nor a request")
    return int(text, 16)


Parts = frozenset[Annotated[int, BeforeValidator(_parse_part)]]


class _Crash(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)

    engine: str
    service: str
    at_ms: int = Field(ge=0, le=MAX_MS)
    suspects: Parts
    familiar: Parts
    cleared: Parts
    # Builds that don't judge requests write none.
    requests: Parts = frozenset()
    cleared_requests: Parts = frozenset()


def _decode(row: StoredRow) -> Crash:
    """Decode a crash.

    :raises ValidationError: if the row isn't a valid crash
    """
    doc = _Crash.model_validate_json(row.value)
    return Crash(
        engine=doc.engine,
        service=doc.service,
        at_ms=doc.at_ms,
        suspects=doc.suspects,
        familiar=doc.familiar,
        cleared=doc.cleared,
        requests=doc.requests,
        cleared_requests=doc.cleared_requests,
    )


__all__ = ["RowCrashes", "CRASHES_TABLE"]

"""Log lines of one batch item."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from mulberrypass.relay.permits import HeldPermit

LOG = get_logger(__name__)
MS_PER_S = 1_000


class ItemLog:
    """Writes what happens to an item."""

    def __init__(self, job: str, item: str) -> None:
        self._names = {"job": job, "item": item}

    def write(self, event: str, **facts: Any) -> None:
        """Write a line."""
        LOG.info(event, **self._names, **facts)

    def placed(self, permit: HeldPermit, events: int) -> None:
        """Write that the item has an engine.

        :param events: events that earlier attempts have brought
        """
        self.write(
            "item placed",
            service=permit.engine.service,
            engine=permit.engine.name,
            ask=permit.ask_id,
            queued_ms=round(permit.queued_s * MS_PER_S),
            events=events,
        )

    def in_doubt(
        self, permit: HeldPermit, last: int | None, framing: dict[str, bool]
    ) -> None:
        """Write that the end of an attempt is in doubt.

        :param last: number of the last event
        :param framing: how the answer came
        """
        engine = permit.engine.name
        self.write("item end in doubt", engine=engine, last=last, **framing)


__all__ = ["ItemLog"]

"""Tests of answers of engines that must not be listed as results."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from unittest.mock import patch

from mulberrypass.platform.headers import REQUEST_ID
from mulberrypass.platform.stand_in.engine import event
from tests.batches.cases import run_item
from tests.batches.test_partial_output import (
    EVENTS,
    ITEM_ID,
    PartialOutputTest,
)
from tests.engine.endless import OK_HEAD
from tests.engine.played import (
    UPLOADS,
    Play,
    PlayedServer,
    bad_statuses,
    cut_ends,
    early_ends,
    short_lengths,
)
from tests.quiet import quiet_logs
from tests.relay.fakes import ScriptedPermits, engine, request

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypass.batches.run import ItemRun
    from mulberrypass.model.batch_jobs import BatchItem, JobHead
    from mulberrypass.relay.api import RelayRequest

WHOLE = b"".join(event(ITEM_ID, n) for n in range(1, EVENTS + 1))
PART = event(ITEM_ID, 1) + event(ITEM_ID, 2)
FIELDS = OK_HEAD.partition(b"\r\n")[2]
MAX_S = 8.0
MAKE_REQUEST = "tests.batches.test_partial_output.make_request"


def plays() -> Iterator[tuple[str, Play, int]]:
    """Yield answers that are none, with the size of their upload."""
    for size in UPLOADS:
        for name, play in early_ends(OK_HEAD + b"\r\n", PART):
            yield name, play, size
    for name, play in (
        *cut_ends(OK_HEAD, PART),
        *short_lengths(OK_HEAD, WHOLE),
        *bad_statuses(FIELDS, PART),
    ):
        yield name, play, 4


class UnacceptableAnswerTest(PartialOutputTest):
    """An item was done with such an answer; a sound engine is beside it."""

    def setUp(self) -> None:
        quiet_logs()
        super().setUp()
        for each in self.engines:
            each.event_s = 0.0

    def make_run_at(self, play: Play, size: int) -> ItemRun:
        """Return the run of an item that a bad engine answers first."""
        server = PlayedServer(self, play)

        def make_request(
            _head: JobHead, _item: BatchItem, after: int | None
        ) -> RelayRequest:
            return request(
                headers=((REQUEST_ID, ITEM_ID),),
                after_event=after,
                body=b"x" * size,
            )

        names = [each.name for each in self.engines]
        self.permits = ScriptedPermits("bad", *names)
        with patch(MAKE_REQUEST, make_request):
            run = self.make_run()
        directory = run._dependencies.directory
        directory.set_engines(
            [
                engine("bad", address=server.address),
                *(
                    engine(e.name, address=f"{e.at.host}:{e.at.port}")
                    for e in self.engines
                ),
            ]
        )
        return run

    def test_item_is_done_by_a_sound_engine(self) -> None:
        for name, play, size in plays():
            with self.subTest(name, size=size):
                started = time.monotonic()
                self.assert_whole(run_item(self.make_run_at(play, size)))
                self.assertLess(time.monotonic() - started, MAX_S)

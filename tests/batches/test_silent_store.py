"""Jobs whose rows the store doesn't answer for, beside other jobs."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any
import unittest
from unittest.mock import patch

from tests.batches.cases import job, route
from tests.batches.test_holder import A, HolderCase, wait_until
from tests.quiet import quiet_logs
from tests.relay.fakes import Script, event

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.model.batch_jobs import VersionedHead

SILENT = "silent"


class SilentStoreTest(HolderCase):
    """The holder waited for the rows of one job before it ran any other."""

    def setUp(self) -> None:
        super().setUp()
        quiet_logs()
        self.released = threading.Event()
        self.addCleanup(self.released.set)

    def silence(self, name: str) -> None:
        """Let calls of the store about one job wait."""
        call: Callable[..., Any] = getattr(self.store, name)

        def wait(host: str, job_id: str, *rest: Any) -> Any:
            if job_id == SILENT:
                self.released.wait()
            return call(host, job_id, *rest)

        patched = patch.object(self.store, name, wait)
        patched.start()
        self.addCleanup(patched.stop)

    def head_of(self, holder: str) -> VersionedHead:
        """Return the head of a job of another member."""
        accepted = self.store.accept(job(SILENT, 1), route(), holder).ok
        assert accepted.head is not None
        return accepted.head

    def test_manifest_that_is_not_read(self) -> None:
        holder = self.holder(*[Script(parts=[event(1)])] * 4)
        self.silence("items")
        holder.update_head(self.head_of(A))
        self.accept(holder, items=3)
        self.assertTrue(wait_until(lambda: len(self.results()) == 3))
        self.released.set()
        wait_until(lambda: len(self.engines.sent) == 4)
        self.assertEqual(4, len(self.engines.sent))

    def test_claim_that_is_not_answered(self) -> None:
        holder = self.holder(*[Script(parts=[event(1)])] * 4)
        takes_over = patch.object(
            holder._takeover,
            "due",
            lambda heads: [h for h in heads if lost(h)],
        )

        def lost(head: Any) -> bool:
            return bool(head.job_id == SILENT and head.holder != A)

        takes_over.start()
        self.addCleanup(takes_over.stop)
        self.silence("replace_head")
        holder.update_head(self.head_of("entry@lost"))
        self.accept(holder, items=3)
        self.assertTrue(wait_until(lambda: len(self.results()) == 3))


if __name__ == "__main__":
    unittest.main()

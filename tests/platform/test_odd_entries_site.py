"""Tests of an instance whose store holds odd rows of other writers."""

from __future__ import annotations

import threading

from mulberrypass.batches.codec import HEADS
from mulberrypass.platform.stand_in.site import engine_document
from mulberrypass.storage.crashes import CRASHES_TABLE
from mulberrypass.storage.instances import TABLE as INSTANCES
from tests.platform.odd_values import UNREADABLE, replaced
from tests.platform.raw_site import RawSiteTest, Reply, stream_route

REQUESTS = 6
ENGINE = engine_document("127.0.0.1:9", 8)
ODD_ENGINES = {
    f"odd-{number}": value
    for number, value in enumerate(
        (
            *UNREADABLE.values(),
            replaced(ENGINE, "Slots", "1" + "0" * 400),
            replaced(ENGINE, "ColdLeftMs", "1e400"),
            replaced(ENGINE, "Address", '"127.0.0.1:65536"'),
            replaced(ENGINE, "Address", '"127.0.0.1:-1"'),
        )
    )
}


class OddEntriesTest(RawSiteTest):
    """Instances that read odd rows go on, and follow later changes.

    Machines that read the list of engines ended again and again, or stopped
    following it, after one odd entry.
    """

    routes = (stream_route("calls", Resumable=True),)

    def write_odd_rows(self) -> None:
        """Write odd rows into each table that instances read."""
        for name, value in ODD_ENGINES.items():
            self._write("servers", name, value)
            for table in (CRASHES_TABLE, INSTANCES):
                self._write(table, name, value)
            self._write(HEADS, name, value)

    def send_some(self, address: str, first: int) -> list[Reply]:
        """Send requests, and return the responses."""
        return [
            self.send(address, "/calls/x", "", first + number)
            for number in range(REQUESTS)
        ]

    def check_follows(self, address: str, first: int) -> None:
        """Check that an instance serves, and uses a new engine."""
        known = self.processes[-1]._directory.engine_names
        self.wait_until(lambda: len(known()) >= self.engine_count)
        replies = self.send_some(address, first)
        self.assertEqual([200] * REQUESTS, [r.status for r in replies])
        added = self.start_engine(self.engine_count + first)
        self.wait_until(lambda: added.name in known())
        self.assertEqual({engine.name for engine in self.engines}, known())
        names = {thread.name for thread in threading.enumerate()}
        for name in ("follow-servers", "follow-op", "job-holder"):
            self.assertIn(name, names)
        for line in ("follower failed", "job holder failed", "Traceback"):
            self.assertNotIn(line, self.log.getvalue())
        for name in ODD_ENGINES:
            self.assertIn(name, self.log.getvalue())

    def test_odd_rows_in_the_first_read(self) -> None:
        self.write_odd_rows()
        self.check_follows(self.start_instance(), 0)

    def test_odd_rows_in_a_feed(self) -> None:
        address = self.start_instance()
        self.write_odd_rows()
        self.check_follows(address, 10)

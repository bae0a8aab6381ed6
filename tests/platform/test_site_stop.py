"""Tests of the times of a planned stop of an instance."""

from __future__ import annotations

import io
import os
import time
import unittest
from unittest import mock

from mulberrypass.platform.site import HostPort, Site
from mulberrypass.programs.site import TTL_FACTOR, SiteProcess
from tests.quiet import quiet_logs

# Own to this process, unlike the networks of the other loopback tests.
ADDRESS = f"127.7.{os.getpid() % 250}.1"
GRACE_S = 3.0
SLACK_S = 0.4


def make_process() -> SiteProcess:
    """Return an instance that isn't started."""
    site = Site(
        name="frontend-1",
        zone="a",
        address=ADDRESS,
        first_start=True,
        front=HostPort(ADDRESS, 8080),
        ready=HostPort(ADDRESS, 8081),
        directory=None,
        peer_port=7946,
        store=HostPort(ADDRESS, 2379),
        contact_s=3.0,
        grace_s=GRACE_S,
        drain_s=2.0,
        apply_s=2.0,
        max_ttl_s=5.0,
        cancel_s=3.0,
    )
    return SiteProcess(site, io.StringIO())


class SlowNeighbourTest(unittest.TestCase):
    """Neighbours that don't reply don't prolong the taking of requests.

    What is taken later than the callers' addresses last has too little of
    the grace time left.
    """

    def test_accepting_ends_in_time(self) -> None:
        self.addCleanup(quiet_logs)
        process = make_process()
        for server in (process._front, *process._aux_servers):
            self.addCleanup(server.stop, 0.0)
        begun = time.monotonic()
        ended: list[float] = []

        def end_accepting(_grace_s: float) -> bool:
            ended.append(time.monotonic() - begun)
            return True

        with (
            mock.patch.object(
                process._membership, "leave", lambda: time.sleep(0.8)
            ),
            mock.patch.object(process._front, "stop", end_accepting),
        ):
            self.assertTrue(process.stop())
        self.assertLess(ended[0], GRACE_S / TTL_FACTOR + SLACK_S)
        self.assertGreaterEqual(ended[0], GRACE_S / TTL_FACTOR)

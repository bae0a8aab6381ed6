"""Tests of a customer's limit on the site's path, over two instances."""

from __future__ import annotations

from functools import partial
import http.client
import itertools
import json
import time
from typing import Any
import unittest

from mulberrypass.platform.stand_in.site import SERVICE
from tests.platform.raw_site import (
    FRONT,
    HOST,
    RawSiteTest,
    stream_route,
)

RATE_PER_S = 10.0
BURST = 5.0
FLOOD_S = 2.0
# What a deputy may lend while the members still change.
DEPUTY_TOKENS = 8


class CustomerOverLimitTest(RawSiteTest):
    """A customer sends more than its limit, spread over the instances."""

    routes = (stream_route("s"),)

    def setUp(self) -> None:
        super().setUp()
        self.numbers = itertools.count()

    def _desired(self) -> bytes:
        doc: dict[str, Any] = {
            "Version": 3,
            "Routes": self.routes,
            "Services": [{"Name": SERVICE, "Engine": {"Stride": 1}}],
            "Tenants": [
                {
                    "Name": "hot",
                    "ApiKeys": ["k-hot"],
                    "RatePerS": RATE_PER_S,
                    "Burst": BURST,
                },
                {"Name": "free", "ApiKeys": ["k-free"]},
            ],
        }
        return json.dumps(doc).encode()

    def status(self, address: str, key: str) -> tuple[int, str]:
        """Send a request; return the status and its time to retry."""
        conn = http.client.HTTPConnection(address, FRONT, timeout=10)
        try:
            headers = {
                "Host": HOST,
                "X-Mulberrypass-Key": key,
                "X-Mulberrypass-Request-Id": f"q{next(self.numbers)}",
                "X-Mulberrypass-Deadline-Ms": "4000",
                "X-Mulberrypass-Token-Counts": "10,1",
            }
            conn.request("POST", "/s/", b"x", headers)
            resp = conn.getresponse()
            resp.read()
            return resp.status, resp.getheader("Retry-After", "")
        finally:
            conn.close()

    def passes(self, address: str) -> bool:
        return self.status(address, "k-hot")[0] == http.client.OK

    def test_limit_holds_over_all_instances(self) -> None:
        addresses = [self.start_instance(), self.start_instance()]
        # Owners lend once they have seen the members for a while.
        for address in addresses:
            self.wait_until(partial(self.passes, address))
        began = time.monotonic()
        found = []
        for address in itertools.cycle(addresses):
            found.append(self.status(address, "k-hot"))
            if time.monotonic() > began + FLOOD_S:
                break
        passed = sum(status == 200 for status, _retry in found)
        took_s = time.monotonic() - began
        limit = RATE_PER_S * took_s + BURST + DEPUTY_TOKENS
        self.assertLessEqual(passed, limit)
        self.assertGreaterEqual(passed, RATE_PER_S * took_s * 0.7)
        refused = [retry for status, retry in found if status == 429]
        self.assertTrue(refused)
        for retry in refused:
            self.assertLessEqual(float(retry), 1.0)
        self.assertEqual({200, 429}, {status for status, _retry in found})
        free = [self.status(at, "k-free")[0] for at in addresses * 20]
        self.assertEqual([200] * 40, free)
        # The process's dump and metrics name the use of the limit.
        states = [
            instance._quotas.state()  # noqa: SLF001
            for instance in self.processes
        ]
        self.assertEqual(1, sum("hot" in state["buckets"] for state in states))
        text = self.processes[0]._events.text()  # noqa: SLF001
        self.assertIn(b"mulberry_quota_lent_total", text)


if __name__ == "__main__":
    unittest.main()

"""Tests of following the published configuration."""

from __future__ import annotations

import hashlib
import json
import random
import unittest
import zlib

from expression import Error, Ok, Result
from structlog.testing import capture_logs

from mulberrypass.configuration.follower import (
    ConfigurationFollower,
    FollowerDependencies,
)
from mulberrypass.configuration.store import ConfigurationStore, Submission
from mulberrypass.model.objects import Configuration
from mulberrypass.model.published import Snapshot, SnapshotUnavailable
from mulberrypass.model.snapshot import encode
from mulberrypass.runtime.metrics import Metrics
from mulberrypass.testing.platform_faults import Faults
from mulberrypass.testing.platform_memory import MemoryObjects, MemoryTable
from mulberrypass.testing.platform_state import FakePlatform
from tests.configuration.test_store import make_configuration

OUTAGE = Faults(outage=True)


class FollowerTest(unittest.TestCase):
    """The newest configuration is fetched from any source that has it."""

    def setUp(self) -> None:
        self.enterContext(capture_logs())
        self.now = 0.0
        self.platform = FakePlatform()
        self.store = ConfigurationStore(
            MemoryTable(self.platform),
            MemoryObjects(self.platform),
            sleep=lambda _: None,
        )
        self.peers: dict[str, Snapshot] = {}
        self.members: tuple[str, ...] = ()
        self.fetches = 0
        self.follower = self.make_follower()

    def make_follower(self) -> ConfigurationFollower:
        """Return a follower as in a process that has just started."""
        deps = FollowerDependencies(
            self.store, self.fetch, lambda: self.members
        )
        return ConfigurationFollower(
            deps, Metrics("test"), random.Random(1), lambda: self.now
        )

    def fetch(
        self, member: str, at_least: int
    ) -> Result[Snapshot, SnapshotUnavailable]:
        """Answer as a peer does."""
        self.fetches += 1
        snapshot = self.peers.get(member)
        if snapshot is None or snapshot.generation < at_least:
            return Error(SnapshotUnavailable("nothing"))
        return Ok(snapshot)

    def publish(self, *models: str) -> Snapshot:
        """Publish the next generation."""
        head = self.store.head().default_with(lambda exc: self.fail(exc))
        sub = Submission(
            make_configuration(*models),
            head.generation,
            "/".join(models),
            "ann",
        )
        return self.store.submit(sub).default_with(self.fail).snapshot

    def generation(self) -> int:
        """Return the generation in force."""
        return self.follower.current().generation

    def step(self, after_s: float = 2.0) -> None:
        """Advance the clock, and run one step of the follower."""
        self.now += after_s
        self.follower.step()

    def test_polls_the_head(self) -> None:
        self.step()
        self.assertFalse(self.follower.ready)
        seen: list[Configuration] = []
        self.follower.subscribe(seen.append)
        for models in (("a",), ("a", "b")):
            self.publish(*models)
            self.step()
        self.assertEqual([1, 2], [cfg.generation for cfg in seen])
        self.assertEqual({"a", "b"}, set(self.follower.current().models))
        self.assertTrue(self.follower.ready)

    def test_a_failing_subscriber_does_not_affect_others(self) -> None:
        seen: list[int] = []
        self.follower.subscribe(lambda _: seen.extend([1 // 0]))
        self.follower.subscribe(lambda cfg: seen.append(cfg.generation))
        self.publish("a")
        self.step()
        self.assertEqual([1], seen)

    def test_hint_while_the_store_is_down(self) -> None:
        self.publish("a")
        self.step()
        self.peers["entry@2"] = self.publish("a", "b")
        self.platform.set_faults(OUTAGE)
        self.follower.hint("entry@3", 2)
        self.follower.hint("entry@2", 2)
        self.step(0.0)
        self.assertEqual(2, self.generation())

    def test_a_false_hint_is_dropped(self) -> None:
        self.publish("a")
        self.step()
        self.follower.hint("entry@3", 9)
        self.step()
        self.assertEqual(1, self.generation())
        self.assertEqual({}, self.follower.state().hints)

    def test_start_while_the_store_is_down(self) -> None:
        older, newer = self.publish("a"), self.publish("a", "b")
        self.peers = {"p1": older, "p2": newer, "p3": older}
        self.platform.set_faults(OUTAGE)
        self.step()
        self.assertEqual((0, False), (self.generation(), self.follower.ready))
        self.members = ("p1", "p2", "p3")
        self.step(10.0)
        self.assertEqual((2, True), (self.generation(), self.follower.ready))

    def test_not_ready_while_something_newer_is_known(self) -> None:
        self.publish("a")
        self.step()
        old = self.follower.snapshot()
        assert old is not None
        self.publish("a", "b")
        self.follower = self.make_follower()
        self.follower.offer(old)
        self.platform._objects.clear()
        self.step()
        self.assertEqual((1, False), (self.generation(), self.follower.ready))

    def test_generation_never_decreases(self) -> None:
        old = self.publish("a")
        self.publish("a", "b")
        self.step()
        self.follower.offer(old)
        self.peers["p1"] = old
        self.follower.hint("p1", 1)
        self.step()
        self.assertEqual(2, self.generation())
        self.assertEqual(1, self.follower.state().stale_offers)

    def test_snapshot_of_a_newer_release_is_fetched_once(self) -> None:
        self.publish("a")
        self.step()
        content = json.dumps({"format": 99}).encode()
        newer = Snapshot(
            2, hashlib.sha256(content).hexdigest(), zlib.compress(content)
        )
        self.peers["p1"] = newer
        for _ in range(3):
            self.follower.hint("p1", 2)
            self.step()
        self.assertEqual(1, self.generation())
        self.assertEqual(1, self.fetches)
        self.peers["p1"] = encode(make_configuration("b"), 3)
        self.follower.hint("p1", 3)
        self.step()
        self.assertEqual(3, self.generation())

    def test_a_wrong_digest_is_refused(self) -> None:
        good = self.publish("a")
        bad = Snapshot(2, good.digest[::-1], good.data)
        self.step()
        self.follower.offer(bad)
        self.step()
        self.assertEqual(1, self.generation())


if __name__ == "__main__":
    unittest.main()

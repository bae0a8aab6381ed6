"""Health of engines whose answers yield to what others hold."""

from __future__ import annotations

from dataclasses import replace
import time
import unittest

from mulberrypass.batches.run import ItemRun
from mulberrypass.model.routes import RouteKind
from mulberrypass.policy.batches.order import ItemPace
from mulberrypass.policy.held_bytes import ByteLimits
from mulberrypass.relay.forward import Forwarder
from mulberrypass.relay.whole_body import HeldBodies
from tests.batches import cases
from tests.batches.cases import run_item
from tests.quiet import quiet_logs
from tests.relay.fakes import (
    Script,
    ScriptedEngines,
    ScriptedPermits,
    event,
    make_dependencies,
    request,
    route,
)

LIMITS = ByteLimits(total=100_000, source=50_000, free=1_000)
GIVE_UP_S = 10.0


class SlowCallersTest(unittest.TestCase):
    """Whole answers that wait for their callers took an engine's share."""

    def test_their_engine_has_not_failed(self) -> None:
        quiet_logs()
        bodies = HeldBodies(LIMITS)
        way = route(kind=RouteKind.IDEMPOTENT)
        # Two engines answered whole; their callers take nothing.
        for name in ("e1", "e2"):
            body = bodies.open(name, lambda: None)
            body.append(b"x" * 49_000)
            body.complete()
        sound = Script(parts=[b"y" * 4_000])
        permits = ScriptedPermits("e1", "e2")
        deps = replace(
            make_dependencies(ScriptedEngines(sound, sound), permits, way),
            bodies=bodies,
        )
        list(Forwarder(deps).run(request(), lambda: False))
        self.assertNotIn("failed", permits.released)


class OtherItemsTest(unittest.TestCase):
    """An item yielded to the outputs of items at other engines."""

    def test_its_engine_has_not_failed(self) -> None:
        quiet_logs()
        bodies = HeldBodies(LIMITS)
        others = [bodies.open("items", lambda: None) for _ in range(3)]
        for each in others:
            each.resize(16_000)
        large = b"id: 2\ndata: " + b"x" * 17_000 + b"\n\n"
        permits = ScriptedPermits("e1", "e2")
        engines = ScriptedEngines(
            Script(parts=[event(1), large]),
            Script(parts=[event(1), event(2)]),
        )
        deps = replace(
            make_dependencies(engines, permits, cases.route()), bodies=bodies
        )
        run = ItemRun(
            deps,
            cases.head(first_s=time.time()),
            0,
            cases.item(0),
            lambda _head, _item, after: request(after_event=after),
            lambda: False,
            ItemPace(),
            time.monotonic() + GIVE_UP_S,
        )
        run_item(run)
        self.assertEqual(1, bodies.turned_away)
        self.assertNotIn("failed", permits.released)


if __name__ == "__main__":
    unittest.main()

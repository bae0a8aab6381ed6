"""Streams that have begun while the configuration changes."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
import unittest

from mulberrypass.engine.wire import WireError
from mulberrypass.model.routes import RelayCustomer, ServiceShare, key_digest
from mulberrypass.relay.api import AnswerHead
from tests.quiet import captured_logs, quiet_logs
from tests.relay.fakes import (
    CUT,
    Script,
    ScriptedEngines,
    ScriptedPermits,
    engine,
    event,
    make_dependencies,
    request,
    route,
    table,
)
from tests.relay.test_forward import body, run

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.engine.api import EngineFailed
    from mulberrypass.model.routes import RouteTable
    from mulberrypass.relay.api import RelayEvent
    from mulberrypass.relay.forward import RelayDependencies

FORMER, LATER, THIRD = "rackmind", "packmind", "sackmind"
OWN = route(resumable=True)
MOVED = replace(OWN, services=(ServiceShare(LATER, 1.0),))
MOVED_ON = replace(OWN, services=(ServiceShare(THIRD, 1.0),))
KEY = "key-1"
WHOLE = event(1) + event(2)


def _split() -> RouteTable:
    shares = (ServiceShare(LATER, 1.0), ServiceShare(THIRD, 1.0))
    return table(replace(OWN, services=shares))


def _longer_prefix() -> RouteTable:
    return table(OWN, replace(MOVED, name="longer", prefix="/lookup/1"))


def _still_there() -> RouteTable:
    other = replace(OWN, name="other", prefix="/other/")
    return table(MOVED, other)


CHANGES: dict[str, Callable[[], RouteTable]] = {
    "moves, its service is dropped": lambda: table(MOVED),
    "moves, its service stays": _still_there,
    "is removed": lambda: table(),
    "is split between two others": _split,
    "is behind a longer prefix": _longer_prefix,
    "moves, one attempt": lambda: table(replace(MOVED, max_attempts=1)),
    "moves, isn't resumable": lambda: table(replace(MOVED, resumable=False)),
}


class MovedAtTheEndCase(unittest.TestCase):
    """Streams of engines whose answers nothing frames."""

    def setUp(self) -> None:
        quiet_logs()
        self.permits = ScriptedPermits("e1", "e2")

    def dependencies(self, *scripts: Script) -> RelayDependencies:
        """Return dependencies with two engines of the former service."""
        self.engines = ScriptedEngines(*scripts)
        self.version = 1
        deps = make_dependencies(self.engines, self.permits, OWN)
        self.directory = deps.directory
        return deps

    def configure(self, changed: RouteTable) -> None:
        """Put a table in force."""
        self.version += 1
        self.directory.apply_routes(replace(changed, version=self.version))

    def script(
        self, *parts: bytes | EngineFailed, changed: RouteTable | None = None
    ) -> Script:
        """Return an unframed answer, before which a table comes in force."""

        def change() -> None:
            if changed is not None:
                self.configure(changed)

        return Script(
            ends_with_connection=True, parts=list(parts), before=change
        )

    def assert_whole(self, answer: tuple[list[RelayEvent], bool]) -> None:
        """Check that the caller got the whole stream."""
        events, cut = answer
        self.assertFalse(cut)
        self.assertIsInstance(events[0], AnswerHead)
        self.assertEqual(WHOLE, body(events))
        self.assertEqual({FORMER}, {ask.pool for ask in self.permits.asks})


class MovedAtTheEndTest(MovedAtTheEndCase):
    """A whole stream was cut, as the run that settles its end had no route."""

    def test_each_change(self) -> None:
        for how, make in CHANGES.items():
            with self.subTest(how):
                self.permits.asks.clear()
                deps = self.dependencies(
                    self.script(event(1), event(2), changed=make()),
                    self.script(event(2)),
                )
                self.assert_whole(run(deps, request()))
                (_, first), (_, second) = self.engines.sent
                self.assertIsNone(first.after_event)
                self.assertEqual(1, second.after_event)

    def test_second_change_while_the_end_is_settled(self) -> None:
        deps = self.dependencies(
            self.script(event(1), event(2), changed=table(MOVED)),
            self.script(event(2), changed=table(MOVED_ON)),
        )
        self.assert_whole(run(deps, request()))

    def test_change_while_the_ask_waits(self) -> None:
        def move() -> None:
            if len(self.permits.asks) == 2:
                self.configure(table(MOVED))

        self.permits.on_ask = move
        deps = self.dependencies(
            self.script(event(1), event(2)), self.script(event(2))
        )
        self.assert_whole(run(deps, request()))

    def test_begun_where_the_route_of_its_admission_did_not_lead(self) -> None:
        """It waited for the former service when its route moved."""

        def move() -> None:
            if len(self.permits.asks) == 1:
                self.configure(table(MOVED))

        self.permits = ScriptedPermits("e1", "e2", "e3")
        self.permits.on_ask = move
        deps = self.dependencies(
            self.script(event(1), event(2), changed=table(MOVED_ON)),
            self.script(event(2)),
        )
        self.directory.set_engines(
            engine(name, service=service)
            for name, service in (("e1", FORMER), ("e2", LATER), ("e3", LATER))
        )
        events, cut = run(deps, request())
        self.assertFalse(cut)
        self.assertEqual(WHOLE, body(events))
        self.assertEqual(LATER, self.permits.asks[-1].pool)

    def test_key_that_is_withdrawn(self) -> None:
        customer = RelayCustomer("aster")
        deps = self.dependencies(
            self.script(event(1), event(2), changed=table(MOVED)),
            self.script(event(2)),
        )
        self.configure(
            replace(
                table(OWN),
                customers={"aster": customer},
                keys={key_digest(KEY): "aster"},
            )
        )
        self.assert_whole(run(deps, request(key=KEY)))

    def test_engine_that_breaks_off(self) -> None:
        """The rest is fetched from the service that has begun it."""
        deps = self.dependencies(
            self.script(event(1), CUT, changed=table(MOVED)),
            Script(parts=[event(2)]),
        )
        self.assert_whole(run(deps, request()))


class NotBegunTest(MovedAtTheEndCase):
    """A request whose answer hasn't begun follows the newest version."""

    def test_next_attempt_after_a_move(self) -> None:
        def move_and_break() -> None:
            self.configure(table(MOVED))
            raise WireError(CUT)

        deps = self.dependencies(Script(before=move_and_break))
        run(deps, request())
        asked = [ask.pool for ask in self.permits.asks]
        self.assertEqual([FORMER], asked[:1])
        self.assertEqual({LATER}, set(asked[1:]))
        self.assertEqual(1, len(self.engines.sent))


class UnsettledEndTest(MovedAtTheEndCase):
    """Nothing told why an end was not settled."""

    def test_versions_are_logged(self) -> None:
        deps = self.dependencies(
            self.script(event(1), event(2), changed=table(MOVED)),
        )
        self.permits.on_ask = self.lose_engines
        with captured_logs() as lines:
            _, cut = run(deps, request())
        self.assertTrue(cut)
        line = next(e for e in lines if e["event"] == "not placed")
        self.assertEqual((1, 2), (line["admitted_by"], line["version"]))
        self.assertEqual(FORMER, line["service"])
        self.assertIn("no_backend", line["reason"])

    def lose_engines(self) -> None:
        """Let no engine be granted after the first ask."""
        if len(self.permits.asks) > 1:
            self.permits.grant_only("none")


if __name__ == "__main__":
    unittest.main()

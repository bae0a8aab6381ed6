"""Items of services that take no work, beside those of others."""

from __future__ import annotations

from concurrent.futures import Future
from dataclasses import replace
import time
from typing import TYPE_CHECKING, Any
import unittest

from mulberrypass.batches.dispatch import MAX_RUNNING_ITEMS
from mulberrypass.batches.holder import JobHolder, Members
from mulberrypass.batches.store import BatchStore
from mulberrypass.model.routes import ServiceShare
from mulberrypass.peer.api import PermitClient
from mulberrypass.platform.lots import item_request
from mulberrypass.policy.messages import (
    Ask,
    Grant,
    RefusalReason,
    Refuse,
    Release,
    Withdraw,
)
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.forward import RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.watch import CallWatch
from mulberrypass.testing.row_state import RowState
from tests.batches.cases import HOST, job, route
from tests.batches.test_holder import wait_until
from tests.quiet import quiet_logs
from tests.relay.fakes import (
    Script,
    ScriptedEngines,
    engine,
    event,
    table,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.policy.messages import PermitMessage

ME, HEIR = "entry@a", "entry@b"
LOST, SOUND = "rackmind", "packmind"
# Of the users' pages: the most items of a job.
MAX_ITEMS = 200
ITEMS = 10
# Of the users' pages: how soon the items of an ended job must stop.
CANCEL_S = 3.0
SOME_S = 0.5


class PoolPermits(PermitClient):
    """Grants the engine of a pool, refuses without one, or keeps silent.

    :ivar full: pools whose asks wait
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self.full: set[str] = set()
        self.asks: list[Ask] = []
        self.waiting: dict[str, tuple[Ask, Future[Grant | Refuse]]] = {}
        self.most_waiting = 0
        self.withdrawn: list[str] = []
        self.unused: list[str] = []

    def ask(
        self, ask: Ask, _on_revoke: Callable[[], None]
    ) -> Future[Grant | Refuse]:
        """Answer at once, unless the pool is full."""
        self.asks.append(ask)
        answer: Future[Grant | Refuse] = Future()
        self.waiting[ask.ask_id] = (ask, answer)
        self.most_waiting = max(self.most_waiting, len(self.waiting))
        self.answer(ask.pool)
        return answer

    def answer(self, pool: str) -> None:
        """Answer the asks of a pool unless it is full."""
        if pool in self.full:
            return
        for ask, answer in list(self.waiting.values()):
            if ask.pool != pool:
                continue
            del self.waiting[ask.ask_id]
            if self._directory.engine(pool) is not None:
                answer.set_result(Grant(ask.ask_id, pool))
            else:
                reason = RefusalReason.NO_BACKEND
                answer.set_result(Refuse(ask.ask_id, reason, 1.0))

    def tell(self, message: PermitMessage) -> None:
        """Note asks that are withdrawn and permits that were not used."""
        match message:
            case Withdraw(ask_id=ask_id):
                self.withdrawn.append(ask_id)
                self.waiting.pop(ask_id, None)
            case Release(ask_id=ask_id) if message.outcome.value == "unused":
                self.unused.append(ask_id)

    def asked(self, pool: str) -> int:
        """Return the number of asks of a pool so far."""
        return sum(ask.pool == pool for ask in self.asks)


class LostServiceCase(unittest.TestCase):
    """A holder of jobs of two services, each with one engine of its name."""

    def setUp(self) -> None:
        quiet_logs()
        self.routes = {
            LOST: route(),
            SOUND: route(
                name="packs",
                prefix="/packs/",
                services=(ServiceShare(SOUND, 1.0),),
            ),
        }
        self.directory = Directory()
        self.directory.apply_routes(table(*self.routes.values()))
        self.permits = PoolPermits(self.directory)
        self.engines = ScriptedEngines(
            *(Script(parts=[event(1)]) for _ in range(4 * MAX_ITEMS))
        )
        self.store = BatchStore(RowState(), sleep=lambda _s: None)
        deps = RelayDependencies(
            self.directory,
            PermitAcquirer(ME, self.permits, self.directory),
            self.engines,
            CallWatch(),
        )
        self.live = frozenset({ME})
        self.holder = JobHolder(
            ME,
            self.store,
            deps,
            lambda: Members(self.live, self.live),
            item_request,
        )
        self.holder.start()
        self.addCleanup(self.holder.stop)

    def register(self, *services: str) -> None:
        """Let these services have their engine, and no other one."""
        self.directory.set_engines(
            engine(name, service=name) for name in services
        )

    def accept(
        self, service: str, name: str, items: int, **limits: Any
    ) -> None:
        """Accept a job for a service."""
        to = replace(self.routes[service], **limits)
        new_job = job(name, items, path=f"{to.prefix}1")
        new_items = tuple(
            replace(item, item_id=f"{name}-{n}")
            for n, item in enumerate(new_job.items)
        )
        new_job = replace(new_job, items=new_items)
        accepted = self.store.accept(new_job, to, ME).ok
        assert accepted.head is not None
        self.holder.add_accepted(accepted.head, new_items)

    def states(self, name: str) -> list[str]:
        """Return the states of the results of a job."""
        page = self.store.results(HOST, name, 0, None).ok
        return [outcome.state.value for outcome in page.outcomes]

    def assert_done(self, name: str, items: int) -> None:
        """Wait until all items of a job are completed."""
        wanted = ["completed"] * items
        wait_until(lambda: self.states(name) == wanted)
        self.assertEqual(wanted, self.states(name))


class LostServiceTest(LostServiceCase):
    """Items of a service without engines held all places of a member."""

    def test_items_of_another_service_run(self) -> None:
        self.register(SOUND)
        self.accept(LOST, "lost", MAX_ITEMS)
        self.accept(SOUND, "sound", ITEMS)
        self.assert_done("sound", ITEMS)
        self.assertEqual([], self.states("lost"))

    def test_items_of_a_full_service_hold_no_place(self) -> None:
        self.register(LOST, SOUND)
        self.permits.full.add(LOST)
        self.accept(LOST, "full", MAX_ITEMS)
        self.assertTrue(wait_until(lambda: bool(self.permits.waiting)))
        self.accept(SOUND, "sound", ITEMS)
        self.assert_done("sound", ITEMS)

    def test_items_run_when_their_service_returns(self) -> None:
        """Not all of them ask for its engine in one moment."""
        self.register(SOUND)
        self.accept(LOST, "lost", MAX_ITEMS)
        time.sleep(SOME_S)
        self.permits.full.add(LOST)
        self.register(LOST, SOUND)
        self.assertTrue(
            wait_until(lambda: len(self.permits.waiting) >= MAX_RUNNING_ITEMS)
        )
        time.sleep(SOME_S)
        self.assertEqual(MAX_RUNNING_ITEMS, self.permits.most_waiting)
        self.permits.full.clear()
        self.permits.answer(LOST)
        self.assert_done("lost", MAX_ITEMS)

    def test_items_without_an_engine_ask_for_none(self) -> None:
        self.register(SOUND)
        self.accept(LOST, "lost", MAX_ITEMS)
        time.sleep(SOME_S)
        self.assertEqual(0, self.permits.asked(LOST))


class WaitingItemsEndTest(LostServiceCase):
    """Items that waited were not looked at while a place was free."""

    def end(self, name: str) -> None:
        """End a job, as its caller does."""
        ended = self.store.replace_head(
            HOST, name, lambda head: replace(head, ended=True)
        )
        self.holder.update_head(ended.ok)

    def test_items_of_an_ended_job_are_forgotten(self) -> None:
        self.register(LOST, SOUND)
        self.permits.full.add(LOST)
        self.accept(LOST, "full", MAX_ITEMS)
        self.assertTrue(wait_until(lambda: bool(self.permits.waiting)))
        ended_at = time.monotonic()
        self.end("full")
        self.assertTrue(wait_until(lambda: not self.permits.waiting))
        self.assertLess(time.monotonic() - ended_at, CANCEL_S)
        asked = {ask.ask_id for ask in self.permits.asks}
        self.assertEqual(asked, set(self.permits.withdrawn))
        self.permits.full.clear()
        time.sleep(SOME_S)
        self.assertEqual([], self.engines.sent)
        self.assertFalse(self.holder.busy)

    def test_items_that_never_had_an_engine_expire(self) -> None:
        self.register(SOUND)
        self.accept(LOST, "lost", ITEMS, retention_s=SOME_S)
        wait_until(lambda: len(self.states("lost")) == ITEMS)
        self.assertEqual(["abandoned"] * ITEMS, self.states("lost"))

    def test_items_that_wait_are_handed_over(self) -> None:
        """A member that left kept them, though they didn't run there."""
        self.register(LOST, SOUND)
        self.permits.full.add(LOST)
        self.accept(LOST, "full", ITEMS)
        self.assertTrue(wait_until(lambda: bool(self.permits.waiting)))
        self.live = frozenset({ME, HEIR})
        self.holder.leave(60.0)

        def handed_over() -> bool:
            head = self.store.read(HOST, "full").ok.head
            return head.holder == HEIR

        self.assertTrue(wait_until(handed_over))
        self.assertEqual(
            frozenset(), self.store.read(HOST, "full").ok.head.busy
        )
        self.assertEqual({}, self.permits.waiting)


class TwoServicesAtOnceTest(LostServiceCase):
    """A permit beyond the places of a member kept an engine idle."""

    def test_permit_without_a_place_is_given_back(self) -> None:
        for script in self.engines._scripts:
            assert isinstance(script, Script)
            script.before = lambda: time.sleep(0.02)
        self.register(LOST, SOUND)
        self.permits.full.update((LOST, SOUND))
        self.accept(LOST, "one", MAX_ITEMS)
        self.accept(SOUND, "two", MAX_ITEMS)
        both = 2 * MAX_RUNNING_ITEMS
        self.assertTrue(wait_until(lambda: len(self.permits.waiting) == both))
        self.permits.full.clear()
        self.permits.answer(LOST)
        self.permits.answer(SOUND)
        self.assert_done("one", MAX_ITEMS)
        self.assert_done("two", MAX_ITEMS)
        self.assertNotEqual([], self.permits.unused)
        sent = [req.request_id for _, req in self.engines.sent]
        self.assertEqual(2 * MAX_ITEMS, len(set(sent)))
        self.assertEqual(2 * MAX_ITEMS, len(sent))


class DueOrderTest(LostServiceCase):
    """A job that was due later ran first."""

    def test_items_due_first_are_asked_for_first(self) -> None:
        self.register(LOST)
        self.permits.full.add(LOST)
        self.accept(LOST, "later", MAX_ITEMS, due_s=60.0)
        self.assertTrue(
            wait_until(lambda: len(self.permits.waiting) >= MAX_RUNNING_ITEMS)
        )
        self.accept(LOST, "sooner", ITEMS, due_s=20.0)

        def sooner() -> int:
            waiting = list(self.permits.waiting.values())
            return sum(ask.budget_s < 30.0 for ask, _ in waiting)

        wait_until(lambda: sooner() == ITEMS)
        self.assertEqual(ITEMS, sooner())
        self.assertEqual(MAX_RUNNING_ITEMS, self.permits.most_waiting)
        self.permits.full.clear()
        self.permits.answer(LOST)
        self.assert_done("sooner", ITEMS)
        self.assert_done("later", MAX_ITEMS)


if __name__ == "__main__":
    unittest.main()

"""Holders of several members on one table, whose views disagree."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
import os
import random
import threading
import time
from typing import TYPE_CHECKING
import unittest
from unittest import mock

from mulberrypass.batches import codec, takeover
from mulberrypass.batches import holder as holder_module
from mulberrypass.batches import run as run_module
from mulberrypass.batches.holder import JobHolder, Members
from mulberrypass.batches.item_attempt import READ_TIMEOUT_S
from mulberrypass.batches.manager import BatchJobManager
from mulberrypass.batches.store import BatchStore
from mulberrypass.model.batch_jobs import ItemState, NewJob
from mulberrypass.platform.engines import HttpEngineClient
from mulberrypass.platform.headers import REQUEST_ID
from mulberrypass.platform.site import HostPort
from mulberrypass.platform.stand_in.raw_engine import RawEngine, RawFaults
from mulberrypass.policy.messages import RefusalReason
from mulberrypass.relay.directory import Directory
from mulberrypass.relay.forward import RelayDependencies
from mulberrypass.relay.permits import PermitAcquirer
from mulberrypass.relay.watch import CallWatch
from mulberrypass.testing import row_state
from mulberrypass.testing.row_state import RowState
from tests.batches import cases
from tests.batches.test_random_answers import random_end, whole
from tests.engine.endless import HOST as ENGINE_HOST
from tests.relay.fakes import ScriptedPermits, engine, request, table

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future

    from mulberrypass.model.batch_jobs import (
        BatchItem,
        ItemOutcome,
        JobHead,
        JobKey,
        ResultPage,
    )
    from mulberrypass.policy.messages import Ask, Grant, Refuse
    from mulberrypass.relay.api import RelayRequest

# By hand: FIRST_SEED and SEEDS in the environment.
FIRST_SEED = int(os.environ.get("FIRST_SEED", "0"))
SEEDS = range(FIRST_SEED, FIRST_SEED + int(os.environ.get("SEEDS", "4")))
HOSTS = (cases.HOST, "other.example")
JOBS_PER_HOST = 3
# The two hosts have a job each of this number, with the same id.
SHARED_NUMBER = 0
EVENTS = 6
# Of the engines of a member, of which one is slow.
EVENT_S = (0.003, 0.15)
CHAOS_S = 2.2
STEP_S = 0.008
MAX_GRACE_S = 0.3
MAX_OUTAGE_S = 0.4
MAX_ATTEMPTS = 100_000
QUEUED_ENDS = 2
# Work must stop within this time after its caller has ended it.
CANCEL_S = 0.5
# Pages of the table, so that lists take several.
PAGE_ROWS = 3
# Shorter than in service, so that a play has many takeovers.
SETTLE_S = 0.05
TAKEOVER_S = 0.05
POLL_S = 0.02
COMMIT_RETRY_S = 0.03
MAX_RETRY_S = 0.1
SHORT_TIMES = (
    (takeover, "MEMBERSHIP_SETTLE_S", SETTLE_S),
    (takeover, "ALONE_SETTLE_S", SETTLE_S),
    (takeover, "TAKEOVER_DELAY_S", TAKEOVER_S),
    (holder_module, "POLL_S", POLL_S),
    (holder_module, "COMMIT_RETRY_S", COMMIT_RETRY_S),
    (run_module, "MAX_RETRY_S", MAX_RETRY_S),
    (row_state, "PAGE_ROWS", PAGE_ROWS),
)
# From the end of the faults: a takeover, the wait for the items of a former
# holder, an attempt that fails and one after it, and the write.
BOUND_S = (
    SETTLE_S
    + TAKEOVER_S
    + MAX_GRACE_S
    + READ_TIMEOUT_S
    + 2 * MAX_RETRY_S
    + 4 * (POLL_S + COMMIT_RETRY_S)
)


class RevocablePermits(ScriptedPermits):
    """Remembers how to revoke the newest permits."""

    def __init__(self, *engines: str) -> None:
        super().__init__(*engines)
        self.revokes: deque[Callable[[], None]] = deque(maxlen=4)

    def ask(
        self, ask: Ask, on_revoke: Callable[[], None]
    ) -> Future[Grant | Refuse]:
        """Answer, and keep the revocation."""
        self.revokes.append(on_revoke)
        return super().ask(ask, on_revoke)


class Member:
    """A place at which holders run, one after the other.

    :ivar fed: version up to which it was shown the changes of heads
    """

    def __init__(self, number: int, rows: RowState) -> None:
        self.number = number
        self.name = f"entry@{number}"
        self.starts = 0
        self.rows = rows
        self.fed = 0
        self.leaving = False
        self.faults = [RawFaults() for _ in EVENT_S]
        self.engines = [
            RawEngine(
                f"e{number}-{n}",
                HostPort(ENGINE_HOST, 0),
                EVENTS,
                event_s,
                faults,
            )
            for n, (faults, event_s) in enumerate(
                zip(self.faults, EVENT_S, strict=True)
            )
        ]
        for each in self.engines:
            each.start()
        self.directory = Directory()
        self.directory.apply_routes(
            table(
                *(
                    cases.route(host=host, max_attempts=MAX_ATTEMPTS)
                    for host in HOSTS
                )
            )
        )
        self.directory.set_engines(
            engine(each.name, address=f"{each.at.host}:{each.at.port}")
            for each in self.engines
        )
        self.permits = RevocablePermits(*(e.name for e in self.engines))
        self.client = HttpEngineClient()
        self.watch = CallWatch()
        self.watch.start()
        self.holder = self.start()

    def start(self) -> JobHolder:
        """Start a holder, which reads all heads first."""
        self.starts += 1
        self.leaving = False
        self.store = BatchStore(self.rows)
        # The view of this start, which the next one doesn't change.
        self.views = views = [Members(frozenset(), frozenset({self.name}))]
        self.holder = JobHolder(
            self.name,
            self.store,
            RelayDependencies(
                self.directory,
                PermitAcquirer(
                    f"{self.name}/{self.starts}", self.permits, self.directory
                ),
                self.client,
                self.watch,
            ),
            lambda: views[0],
            make_request,
        )
        self.manager = BatchJobManager(
            self.name, self.store, self.holder, self.directory
        )
        self.show_all()
        self.holder.start()
        return self.holder

    def restart(self, name: str) -> None:
        """End the holder as a process does, and start a fresh one."""
        self.holder.stop()
        self.name = name
        self.start()

    def leave(self, grace_s: float) -> None:
        """Let the holder hand over its jobs."""
        self.leaving = True
        self.holder.leave(grace_s)

    def see(self, live: frozenset[str], known: frozenset[str]) -> None:
        """Set the view of the present holder."""
        self.views[0] = Members(live, known)

    def show_all(self) -> None:
        """Show the holder all heads as they are."""
        with self.rows.changed:
            self.fed = self.rows.version
            heads = tuple(
                row
                for row in self.rows.rows.values()
                if row.at.table == codec.HEADS
            )
        self.holder.on_all_rows(heads)

    def show_changes(self, rng: random.Random) -> None:
        """Show changes of heads, drop them, or show old ones."""
        with self.rows.changed:
            history = [
                row for row in self.rows.history if row.at.table == codec.HEADS
            ]
            fed, version = self.fed, self.rows.version
        newer = [row for row in history if row.version > fed]
        chance = rng.random()
        if chance < 0.5:
            self.holder.on_changed_rows(tuple(newer))
        elif chance < 0.9:
            older = rng.sample(history, min(3, len(history)))
            self.holder.on_changed_rows(tuple(older))
            return
        self.fed = version

    def calm(self) -> None:
        """Let the engines and permits be sound from now on."""
        self.permits.refusal = None
        for faults in self.faults:
            faults.unframed = faults.repeated = False
            faults.failures = faults.refusals = 0
            faults.break_after = faults.resumed_bytes = None
            faults.ends.clear()

    def end(self) -> None:
        """End everything."""
        self.holder.stop()
        self.watch.stop()
        self.client.retain(frozenset())
        for each in self.engines:
            each.end()


@dataclass(slots=True)
class Listed:
    """What was read of one job, and must remain.

    :param at: results by position
    """

    job: NewJob
    at: dict[int, ItemOutcome] = field(default_factory=dict)

    def errors(self, position: int, page: ResultPage) -> list[str]:
        """Check a page that was read after all earlier ones."""
        total = len(self.job.items)
        found = []
        if page.total != total:
            found.append(f"total {page.total} of {total}")
        seen = max(self.at, default=-1) + 1 - position
        if len(page.outcomes) < min(seen, PAGE_ROWS):
            found.append(f"vanished from {position} on: {page.outcomes}")
        for at, outcome in enumerate(page.outcomes, position):
            known = self.at.setdefault(at, outcome)
            if known != outcome:
                found.append(f"changed at {at}: {known} to {outcome}")
            if at >= total:
                found.append(f"beyond the total: {at}")
            found += self._odd(outcome)
        indexes = [outcome.index for outcome in self.at.values()]
        if len(indexes) != len(set(indexes)):
            found.append(f"an item twice: {self.at}")
        return [f"{self.job.host} {self.job.job_id}: {e}" for e in found]

    def _odd(self, outcome: ItemOutcome) -> list[str]:
        if outcome.index >= len(self.job.items):
            return [f"no such item: {outcome}"]
        item_id = self.job.items[outcome.index].item_id
        sound = (
            outcome.item_id == item_id
            and outcome.state is ItemState.COMPLETED
            and outcome.output == whole(item_id)
        )
        return [] if sound else [f"not the item's output: {outcome}"]


class Play:
    """One seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.rows = RowState()
        self.lists: dict[JobKey, Listed] = {}
        self.ended: dict[JobKey, tuple[float, int]] = {}
        self.ending: set[JobKey] = set()
        self.enders: list[tuple[Member, JobKey, float]] = []
        self.errors: list[str] = []
        self.over = threading.Event()
        self.outage_until = 0.0
        self.members = [
            Member(n, self.rows) for n in range(self.rng.choice((2, 3)))
        ]

    def run(self) -> list[str]:
        """Play, and return what was wrong."""
        reader = threading.Thread(
            target=self.read_always, args=(random.Random(-1 - self.seed),)
        )
        try:
            waiting = self.make_jobs()
            self.disagree(faulty=False)
            for job in waiting[::2]:
                self.submit(job)
            rest = deque(waiting[1::2])
            reader.start()
            until = time.monotonic() + CHAOS_S
            while time.monotonic() < until:
                if rest and self.rng.random() < 0.05 and self.submit(rest[0]):
                    rest.popleft()
                self.act()
                self.check_running()
                time.sleep(self.rng.random() * STEP_S)
            self.calm(rest)
            self.over.set()
            reader.join()
            for listed in self.lists.values():
                self.read_whole(listed)
        finally:
            self.over.set()
            for member in self.members:
                member.end()
        return self.errors

    def make_jobs(self) -> list[NewJob]:
        """Return the jobs, of which two have the same id."""
        jobs = []
        for number in range(JOBS_PER_HOST):
            for host in HOSTS:
                shared = number == SHARED_NUMBER
                job_id = f"job-{number}{'' if shared else host}"
                base = cases.job(job_id, self.rng.randint(4, 9))
                items = tuple(
                    cases.item(n, item_id=f"s{self.seed}-{host}-{number}-{n}")
                    for n in range(len(base.items))
                )
                jobs.append(replace(base, host=host, items=items))
        return jobs

    def submit(self, job: NewJob) -> bool:
        """Hand a job in; return whether it was accepted."""
        member = self.rng.choice(self.members)
        if member.manager.submit(job).is_error():
            return False
        self.lists[job.host, job.job_id] = Listed(job)
        return True

    def act(self) -> None:
        """Let one thing happen."""
        rng = self.rng
        member = rng.choice(self.members)
        if rng.random() < 0.25:
            member.show_changes(rng)
        if rng.random() < 0.3:
            self.spoil(rng.choice(member.faults))
        chance = rng.random()
        if chance < 0.06:
            self.disagree(faulty=rng.random() < 0.7)
        elif chance < 0.2 and member.permits.revokes:
            rng.choice(tuple(member.permits.revokes))()
        elif chance < 0.35:
            member.permits.refusal = rng.choice(
                (None, None, (RefusalReason.NO_BACKEND, 0.02))
            )
        elif chance < 0.55:
            self.spoil_store()
        elif chance < 0.555:
            member.leave(rng.random() * MAX_GRACE_S)
        elif chance < 0.562:
            self.restart(member)
        elif chance < 0.572 and not self.ending and self.lists:
            self.ending.add(rng.choice(tuple(self.lists)))
        if self.ending and rng.random() < 0.2:
            self.end_job(member, rng.choice(tuple(self.ending)))

    def spoil(self, faults: RawFaults) -> None:
        """Change the faults of an engine."""
        rng = self.rng
        faults.unframed = rng.random() < 0.5
        faults.repeated = rng.random() < 0.3
        faults.failures = rng.choice((0, 0, 0, 1))
        faults.refusals = rng.choice((0, 0, 0, 1))
        faults.ids_in_refusals = rng.random() < 0.5
        faults.break_after = rng.choice((None, None, None, 12, 33))
        faults.resumed_bytes = rng.choice((None, None, None, 12))
        if len(faults.ends) < QUEUED_ENDS and rng.random() < 0.5:
            faults.ends.append(random_end(rng))

    def spoil_store(self) -> None:
        """Change the faults of the store."""
        rng, faults = self.rng, self.rows.faults
        if time.monotonic() < self.outage_until:
            return
        faults.down = rng.random() < 0.1
        faults.silent = rng.random() < 0.1
        if rng.random() < 0.03:
            self.outage_until = time.monotonic() + rng.random() * MAX_OUTAGE_S
            faults.down = not faults.silent
        faults.lose = rng.choice((0, 0, 1, 2))
        faults.late = rng.choice((0, 0, 1, 2))
        faults.throttle = rng.choice((0, 0, 1, 2))
        if rng.random() < 0.5:
            self.rows.deliver_late()

    def disagree(self, *, faulty: bool) -> None:
        """Set the views; if faulty, members take others for lost."""
        names = {m.name: m for m in self.members}
        for member in self.members:
            live, known = {member.name}, {member.name}
            for name, other in names.items():
                if faulty and self.rng.random() < 0.5:
                    continue
                known.add(name)
                if not other.leaving:
                    live.add(name)
            member.see(frozenset(live), frozenset(known))

    def restart(self, member: Member) -> None:
        """Start a fresh holder under the same or another name."""
        name = member.name
        if self.rng.random() < 0.5:
            name = f"entry@{member.number}.{member.starts}"
        member.restart(name)
        self.disagree(faulty=True)

    def end_job(self, member: Member, key: JobKey) -> None:
        """End a job as its caller."""
        result = member.manager.end(*key)
        if result.is_ok():
            self.ending.discard(key)
            now = time.monotonic()
            self.ended.setdefault(key, (now, result.ok.head.results))
            told = [member]
            if self.rng.random() < 0.5:
                told = self.members
            for each in told:
                each.show_all()
                self.enders.append((each, key, now))

    def read_always(self, rng: random.Random) -> None:
        """Read lists until the play is over."""
        while not self.over.is_set() and not self.errors:
            for key in tuple(self.lists):
                self.read(rng, key)
            time.sleep(rng.random() * STEP_S)

    def read(self, rng: random.Random, key: JobKey) -> None:
        """Read one page."""
        listed = self.lists[key]
        total = len(listed.job.items)
        position = rng.randint(0, total)
        member = rng.choice(self.members)
        if rng.random() < 0.4:
            page = member.manager.results(*key, position)
        else:
            known = rng.choice((None, total))
            page = member.store.results(*key, position, known)
        if page.is_ok():
            self.errors += listed.errors(position, page.ok)

    def read_whole(self, listed: Listed) -> None:
        """Read a whole list, as it is in the end."""
        job = listed.job
        for position in range(len(job.items) + 1):
            page = self.members[0].store.results(
                job.host, job.job_id, position, None
            )
            self.errors += listed.errors(position, page.ok)

    def calm(self, rest: deque[NewJob]) -> None:
        """End the faults, and check that the open jobs end in time."""
        for member in self.members:
            member.calm()
            if member.leaving:
                member.restart(member.name)
        self.disagree(faulty=False)
        if self.rng.random() < 0.5:
            # The items that run end meanwhile.
            self.rows.faults = row_state.RowFaults(down=True)
            time.sleep(MAX_OUTAGE_S)
        self.rows.faults = row_state.RowFaults()
        self.rows.deliver_late()
        for job in rest:
            if not self.submit(job):
                self.errors.append(f"not accepted: {job.job_id}")
        for key in tuple(self.ending):
            self.end_job(self.members[0], key)
        since = time.monotonic()
        open_jobs = set(self.lists) - set(self.ended)
        while open_jobs and time.monotonic() - since < BOUND_S:
            for member in self.members:
                member.show_all()
            time.sleep(POLL_S)
            open_jobs = {key for key in open_jobs if not self.whole(key)}
        self.errors += [f"not ended in time: {key}" for key in open_jobs]
        time.sleep(max(0.0, since + 2 * CANCEL_S - time.monotonic()))
        self.check_ended(since)

    def whole(self, key: JobKey) -> bool:
        """Return whether all items of a job are listed."""
        job = self.lists[key].job
        page = self.members[0].store.results(*key, len(job.items) - 1, None)
        return bool(page.is_ok() and page.ok.outcomes)

    def check_ended(self, since: float) -> None:
        """Check that ended jobs neither run nor grow."""
        self.errors += [
            f"ran at {member.name} {at - ended_at:.3f} s after its end: {key}"
            for member, key, ended_at in self.enders
            for at in self.runs(member, key)
            if at > ended_at + CANCEL_S
        ]
        for key, (ended_at, results) in self.ended.items():
            last = max(ended_at, since) + CANCEL_S
            for member in self.members:
                late = [at - last for at in self.runs(member, key)]
                if max(late, default=-1) > 0:
                    self.errors.append(f"ran after its end: {key} {late}")
            head = self.members[0].store.read(*key).ok.head
            if head.results != results:
                self.errors.append(f"grew after its end: {key}")

    def check_running(self) -> None:
        """Check that members that ended a job have stopped its items."""
        now = time.monotonic()
        for member, key, ended_at in self.enders:
            held = member.holder.state().get(key[1])
            twin = key[1] == f"job-{SHARED_NUMBER}"
            if held and held["running"] and not twin:
                if now > ended_at + CANCEL_S:
                    self.errors.append(f"runs after its end: {key}")

    def runs(self, member: Member, key: JobKey) -> list[float]:
        """Return when engines of a member got items of a job."""
        ids = {item.item_id for item in self.lists[key].job.items}
        return [
            req.at
            for each in member.engines
            for req in tuple(each.requests)
            if req.request_id in ids
        ]


class HoldersSideBySideTest(unittest.TestCase):
    """A list could hold a part, or change, when two members held a job."""

    def test_lists_hold_whole_outputs_once(self) -> None:
        for module, name, value in SHORT_TIMES:
            patch = mock.patch.object(module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual([], Play(seed).run())


def make_request(
    _head: JobHead, item: BatchItem, after: int | None
) -> RelayRequest:
    """Return the request of an item."""
    return request(
        request_id=item.item_id,
        headers=((REQUEST_ID, item.item_id),),
        after_event=after,
    )


if __name__ == "__main__":
    unittest.main()

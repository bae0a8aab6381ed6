"""Complete operator sessions, compared with golden files.

Set MULBERRY_GOLDEN=write to rewrite the files.
"""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
import io
import logging
import os
from pathlib import Path
import random
import sys
import unittest

from expression import Error, Result
from structlog.testing import capture_logs

from mulberrypass.configuration.follower import (
    ConfigurationFollower,
    FollowerDependencies,
)
from mulberrypass.configuration.store import ConfigurationStore
from mulberrypass.jobs.reading import JobReader
from mulberrypass.jobs.rows import TABLE as JOBS_TABLE
from mulberrypass.jobs.rows import (
    Chunk,
    JobRow,
    LotPhase,
    LotRow,
    customer_prefix,
    job_key,
    job_to_row,
    lot_key,
    lot_to_row,
)
from mulberrypass.model.member import Member
from mulberrypass.model.published import Snapshot, SnapshotUnavailable
from mulberrypass.model.store import Always, Put
from mulberrypass.operator.app import OperatorApp, OperatorDependencies
from mulberrypass.operator.auth import OperatorAuth
from mulberrypass.operator.changes import ConfigurationChanges
from mulberrypass.operator.client import ControlClient
from mulberrypass.operator.commands import Commands, Terminal
from mulberrypass.operator.explain import ExplainProxy
from mulberrypass.operator.fleet import FleetGenerationsReader
from mulberrypass.operator.recent_jobs import RecentJobsReader
from mulberrypass.operator.status import StatusCollector
from mulberrypass.placement.engines import EngineState, PoolState
from mulberrypass.policy.jobs.jobs import JobState
from mulberrypass.policy.jobs.lots import LotKey
from mulberrypass.programs.ctl import Mulberryctl, run
from mulberrypass.runtime.http import (
    HttpRoute,
    Problem,
    Reply,
    Request,
    WsgiApp,
    json_answer,
)
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.runtime.metrics import Metrics
from mulberrypass.testing.platform_faults import CallFault, Faults
from mulberrypass.testing.platform_memory import MemoryObjects, MemoryTable
from mulberrypass.testing.platform_state import FakePlatform
from tests.operator.static_membership import StaticMembership

GOLDEN = Path(__file__).parents[1] / "golden" / "operator"
HOST = "127.0.50.2"
START_TIME = 1_780_000_000.0
BOOTSTRAP_KEY_DIGEST = (
    "791b825266061d2038706c11cb29f74fb2c6514e5520e56bbfa46085725264e6"
)
PLACEMENT = {
    "racks": PoolState(
        epoch=3,
        steps=("load r2 of rackmind on engine-1",),
        engines={"engine-1": EngineState(("r1",), (), ("r1", "r2"), "")},
    )
}
PASS = CallFault.PASS
LOST_REPLY_SCRIPT = [PASS, PASS, CallFault.LOSE_REPLY, *[CallFault.REFUSE] * 3]


@dataclass(frozen=True)
class CommandStep:
    """One command of an operator."""

    who: str
    command: str


@dataclass(frozen=True)
class SetOutage:
    """The platform goes down, or comes back."""

    down: bool


@dataclass(frozen=True)
class LoseReply:
    """The next submission takes effect, but its answer is lost."""


@dataclass(frozen=True)
class RunJobs:
    """Two batch jobs run: one succeeds, one has failed items."""


Step = CommandStep | SetOutage | LoseReply | RunJobs

SESSIONS: dict[str, tuple[Step, ...]] = {
    "first-day": (
        CommandStep("boot", "check faulty.yaml first.yaml"),
        CommandStep("boot", "check broken.yaml"),
        CommandStep("boot", "check first.yaml"),
        CommandStep("boot", "plan first.yaml"),
        CommandStep("boot", "submit first.yaml --message the-first-set"),
        CommandStep("boot", "history"),
        CommandStep("ann", "show service dock"),
        CommandStep("ann", "show version r1 --model rackmind"),
        CommandStep("ann", "show service slip"),
        CommandStep("ann", "show gadget"),
        CommandStep("ann", "generation"),
        CommandStep("ann", "explain dock firm-a"),
        CommandStep("ann", "explain slip firm-a"),
    ),
    "conflict": (
        CommandStep("boot", "submit first.yaml"),
        CommandStep(
            "bob", "submit bob.yaml --base 1 --message shorter-deadline"
        ),
        CommandStep("ann", "plan canary.yaml"),
        CommandStep("ann", "submit canary.yaml --base 1 --message try-r2"),
        CommandStep("ann", "submit canary.yaml --base 2 --message try-r2"),
        CommandStep("ann", "submit canary.yaml"),
        CommandStep("bob", "plan removed.yaml"),
        CommandStep("bob", "history --limit 2"),
    ),
    "outage": (
        CommandStep("boot", "submit first.yaml"),
        SetOutage(True),
        CommandStep("ann", "plan bob.yaml"),
        CommandStep(
            "ann", "submit bob.yaml --base 1 --wait 0 --submit-id s-7"
        ),
        CommandStep("ann", "history"),
        CommandStep("ann", "show operator ann"),
        SetOutage(False),
        LoseReply(),
        CommandStep(
            "ann", "submit bob.yaml --base 1 --wait 0 --submit-id s-7"
        ),
        CommandStep("ann", "submit bob.yaml --base 1 --submit-id s-7"),
        CommandStep("ann", "submit first.yaml --base 1 --submit-id s-7"),
        CommandStep("ann", "history --limit 1"),
    ),
    "morning": (
        CommandStep("boot", "submit night.yaml"),
        CommandStep("ann", "status"),
        RunJobs(),
        CommandStep("ann", "status"),
        SetOutage(True),
        CommandStep("ann", "status"),
    ),
    "json": (
        CommandStep("boot", "submit first.yaml"),
        CommandStep("ann", "check faulty.yaml --json"),
        CommandStep("ann", "check broken.yaml --json"),
        CommandStep("bob", "plan bob.yaml --json"),
        CommandStep("ann", "generation --json"),
    ),
    "lint": (
        CommandStep("ann", "lint desired.json"),
        CommandStep("ann", "lint desired.json --against desired-odd.json"),
        CommandStep(
            "ann", "lint desired-odd.json --against desired.json --strict"
        ),
        CommandStep("ann", "lint desired-bad.json --against desired.json"),
        CommandStep("ann", "lint first.yaml --against night.yaml"),
        CommandStep("ann", "lint faulty.yaml"),
        CommandStep("ann", "lint first.yaml --against desired.json"),
        CommandStep("ann", "lint first.yaml desired.json"),
        CommandStep("ann", "lint no-such-file.json"),
        CommandStep("ann", "lint --strict desired-odd.json"),
    ),
}


def no_snapshot(
    _member: str, _at_least: int
) -> Result[Snapshot, SnapshotUnavailable]:
    """Return no snapshot, as if there were no peer."""
    return Error(SnapshotUnavailable("no peer"))


def explain_stub(req: Request) -> Reply:
    """Answer as an entry process does."""
    if req.query["service"] != "dock":
        return Problem(404, "no_such_object", "no such service")
    return json_answer(
        {
            "generation": 1,
            "service": "dock",
            "customer": req.query["customer"],
            "route": {"version": "r1", "weight": 1.0},
            "pool": {"name": "racks", "backends": ["engine-1"]},
            "owned_here": {"racks#0": {"queued": 0, "scores": [1.0]}},
        }
    )


class OperatorSessionTest(unittest.TestCase):
    """The output of each session equals its golden file."""

    maxDiff = None

    def setUp(self) -> None:
        self.enterContext(capture_logs())
        self.enterContext(contextlib.chdir(GOLDEN / "sets"))
        logging.getLogger("waitress").setLevel(logging.ERROR)
        self.now = START_TIME
        self.submits = 0
        self.platform = FakePlatform()
        store = ConfigurationStore(
            MemoryTable(self.platform),
            MemoryObjects(self.platform),
            clock=lambda: self.now,
            sleep=lambda _: None,
        )
        self.follower = ConfigurationFollower(
            FollowerDependencies(store, no_snapshot, tuple),
            Metrics("test"),
            random.Random(1),
            lambda: self.now,
        )
        entry = HttpServer(
            WsgiApp([HttpRoute("GET", "/debug/explain", explain_stub)]),
            HOST,
            0,
            1,
            1_000_000,
        )
        entry.start()
        self.addCleanup(entry.stop, 0.0)
        self.entry_port = entry.port
        dependencies = self.make_dependencies(store)
        server = HttpServer(
            WsgiApp(OperatorApp(dependencies).routes()), HOST, 0, 1, 1_000_000
        )
        server.start()
        self.addCleanup(server.stop, 0.0)
        self.url = f"http://{HOST}:{server.port}"

    def make_dependencies(
        self, store: ConfigurationStore
    ) -> OperatorDependencies:
        """Build the operator API of one control process."""
        changes = ConfigurationChanges(store, self.follower)
        own = Member("control@i-1", "control", "duluth-bay", HOST, 1)
        peers = StaticMembership(
            (Member("entry@i-2", "entry", "erie-vault", HOST, 1),)
        )
        fleet = FleetGenerationsReader(
            own,
            peers,
            changes,
            lambda: self.follower.current().generation,
        )
        return OperatorDependencies(
            OperatorAuth(
                self.follower, store, BOOTSTRAP_KEY_DIGEST, lambda: self.now
            ),
            changes,
            store,
            fleet,
            ExplainProxy(peers, self.follower, self.entry_port),
            StatusCollector(
                fleet,
                RecentJobsReader(
                    JobReader(
                        MemoryTable(self.platform),
                        MemoryObjects(self.platform),
                    ),
                    self.follower,
                    lambda: self.now,
                ).read,
                lambda: PLACEMENT,
                dict,
            ),
        )

    def write_job_rows(self) -> None:
        """Write the rows of two finished jobs."""
        for number, failed in enumerate((0, 2), 1):
            created, due = START_TIME - 9_000.0, START_TIME - 3_600.0 * failed
            job = JobRow(
                f"job-{number}",
                "firm-a",
                f"key-{number}",
                "",
                "manifest",
                due=due,
                created=created,
                items=100,
                lots=(),
                state=JobState.DONE,
                ended=START_TIME - 5_000.0,
            )
            chunk = Chunk("c", 0, 100, 99 - failed, failed, 1 if failed else 0)
            lot = LotRow(1, "batch@i-1", 1, LotPhase.DONE, "n", (chunk,))
            listed = customer_prefix("firm-a") + job.job
            rows = {
                job_key(job.job): job_to_row(job),
                listed: {"created": created},
                lot_key(LotKey(job.job, 0)): lot_to_row(lot),
            }
            for key, row in rows.items():
                put = Put(JOBS_TABLE, key, row, Always())
                self.assertTrue(self.platform.transact((put,)).is_ok())

    def tick(self, seconds: float) -> None:
        """Advance the clock and run the configuration follower."""
        self.now += seconds
        self.follower.step()

    def new_id(self) -> str:
        """Return the next submit id."""
        self.submits += 1
        return f"submit-{self.submits}"

    def run_command(self, step: CommandStep) -> str:
        """Run one command as an operator at a terminal."""
        test = self
        out, err = io.StringIO(), io.StringIO()

        class TestCtl(Mulberryctl):
            def _commands(self) -> Commands:
                key = f"{step.who}-key"
                terminal = Terminal(
                    out,
                    lambda: "",
                    key,
                    test.tick,
                    lambda: test.now,
                    test.new_id,
                )
                client = ControlClient((test.url,), key)
                return Commands(terminal, client, bool(self._json))

        with contextlib.redirect_stderr(err):
            status = run(step.command.split(), TestCtl)
        self.tick(2.0)
        shown = f"{step.who}$ mulberryctl {step.command}\n{out.getvalue()}"
        return f"{shown}{err.getvalue()}[{status}]\n"

    def transcript(self, steps: tuple[Step, ...]) -> str:
        """Return the transcript of a session."""
        shown = []
        for step in steps:
            match step:
                case CommandStep():
                    shown.append(self.run_command(step))
                case SetOutage(down=down):
                    self.platform.set_faults(Faults(outage=down))
                    shown.append(f"# platform {'down' if down else 'up'}\n")
                case RunJobs():
                    self.write_job_rows()
                    shown.append("# a night with two jobs\n")
                case LoseReply():
                    self.platform.script_writes(LOST_REPLY_SCRIPT)
                    shown.append("# the next answer is lost\n")
        return "\n".join(shown).replace(self.url, "http://control")

    def test_transcripts_match_golden_files(self) -> None:
        for name, steps in SESSIONS.items():
            with self.subTest(name):
                self.setUp()
                shown = self.transcript(steps)
                path = GOLDEN / f"{name}.txt"
                if os.environ.get("MULBERRY_GOLDEN") == "write":
                    path.write_text(shown)
                    sys.stderr.write(f"written: {path.name}\n")
                self.assertEqual(path.read_text(), shown)


if __name__ == "__main__":
    unittest.main()

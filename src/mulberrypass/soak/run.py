"""One soak run: injects faults, runs callers and checks guarantees."""

from __future__ import annotations

import itertools
import random
import time
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class
from mulberrypass.platform.stand_in.caller import CallFailedError, SiteCaller
from mulberrypass.platform.stand_in.site import (
    ONLINE_HOST,
    RESUMABLE_PATH,
    version_path,
)
from mulberrypass.soak.batch_callers import (
    JOB_VISIBLE_S,
    REQUEST_TIMEOUT_S,
    read_page,
)
from mulberrypass.soak.callers import Callers
from mulberrypass.soak.cluster import EVENTS_PER_ANSWER, SoakCluster
from mulberrypass.soak.customers import draw_setup
from mulberrypass.soak.guarantees import (
    Observations,
    Violation,
    check,
    check_ends,
)
from mulberrypass.soak.injector import APPLY_TIMEOUT_S, Injector
from mulberrypass.soak.records import Disturbance, SoakRecords
from mulberrypass.soak.schedule import CALM_S, draw_run

if TYPE_CHECKING:
    from mulberrypass.soak.cluster import Instance
    from mulberrypass.soak.schedule import ScheduledFault

FINISH_TIMEOUT_S = 20.0
NOT_FOUND = 404


@value_class
class SoakPlan:
    """Parameters of a run.

    :param seconds: time during which faults are injected
    :param online: number of online callers
    :param batch: number of batch callers
    """

    seed: int
    seconds: float
    instances: int = 4
    engines: int = 3
    online: int = 6
    batch: int = 3


@value_class
class SoakReport:
    """Result of a run.

    :param served: requests that an engine answered
    :param logs: directory with the logs of the instances
    """

    plan: SoakPlan
    faults: tuple[ScheduledFault, ...]
    broken: tuple[Violation, ...]
    requests: int
    served: int
    jobs: int
    accepted: int
    logs: str


class Soak:
    """Runs a cluster with callers and injects the faults on schedule."""

    def __init__(self, plan: SoakPlan) -> None:
        self._plan = plan
        setup = draw_setup(plan.seed)
        self._cluster = SoakCluster(plan.instances, plan.engines, setup)
        self._customers = setup.customers
        self._rng = random.Random(f"{plan.seed}-run")
        self._records = SoakRecords()
        self._injector = Injector(self._cluster, self._records, self._publish)
        self._violations: list[Violation] = []
        self._sequence = itertools.count()

    def run(self) -> SoakReport:
        """Run to the end and check the guarantees."""
        plan = self._plan
        faults = draw_run(
            plan.seed, plan.seconds, plan.instances, plan.engines
        )
        callers = Callers(
            self._cluster.instances,
            self._records,
            plan.seed,
            self._customers,
        )
        try:
            self._start()
            began = time.monotonic()
            callers.start(plan.online, plan.batch)
            for fault in faults:
                self._injector.add(began, fault)
            self._injector.run_due(began + CALM_S + plan.seconds)
            callers.stop_online.set()
            self._injector.run_due(
                time.monotonic() + FINISH_TIMEOUT_S, self._records.all_done
            )
            callers.stop_batch.set()
            callers.join()
            self._check_recovery()
            self._read_again()
            self._check_processes()
        finally:
            self._cluster.stop()
        return self._report(faults)

    def _start(self) -> None:
        self._cluster.start()
        instances = self._cluster.instances
        if not self._cluster.wait_until(
            lambda: all(map(_resolves_itself, instances))
        ):
            raise TimeoutError(
                "not every instance listed its own address in time"
            )
        self._injector.disturbances.append(
            Disturbance("start", 0.0, time.monotonic(), False)
        )

    def _publish(self, now: float) -> None:
        version = self._cluster.publish()
        self._injector.schedule(
            now + APPLY_TIMEOUT_S, lambda: self._probe(version, now)
        )

    def _probe(self, version: int, since: float) -> None:
        """Check that instances serve the route of the newest version."""
        if version != self._cluster.version:
            return
        observed = self._observations()
        for instance in self._cluster.instances:
            if instance.expected_down:
                continue
            name = f"v{version}-{instance.number}-{next(self._sequence)}"
            caller = SiteCaller(instance.front, REQUEST_TIMEOUT_S)
            try:
                answer = caller.request(
                    ONLINE_HOST, version_path(version), name
                )
            except CallFailedError:
                continue
            finally:
                caller.close()
            undisturbed = observed.undisturbed(since, time.monotonic())
            if answer.status == NOT_FOUND and undisturbed:
                self._violations.append(
                    Violation("in force in seconds", instance.address, name)
                )

    def _check_recovery(self) -> None:
        """Check that each instance serves once all faults have ended."""
        for instance in self._cluster.instances:
            served = instance.running and self._cluster.wait_until(
                lambda at=instance: self._serves(at)
            )
            if not served:
                self._violations.append(
                    Violation("serves again", instance.address, "no answer")
                )

    def _serves(self, instance: Instance) -> bool:
        caller = SiteCaller(instance.front, REQUEST_TIMEOUT_S)
        name = f"r{instance.number}-{next(self._sequence)}"
        if self._customers is not None:
            # The last customer has no limit.
            customer = self._customers.names[-1]
            self._identify(caller, customer)
        try:
            answer = caller.request(ONLINE_HOST, RESUMABLE_PATH, name)
        except CallFailedError:
            return False
        finally:
            caller.close()
        return answer.status == 200

    def _identify(self, caller: SiteCaller, customer: str) -> SiteCaller:
        if self._customers is not None:
            caller.identify(self._customers.identity(customer, self._rng).key)
        return caller

    def _read_again(self) -> None:
        """Read all results of the accepted jobs again at each instance."""
        time.sleep(JOB_VISIBLE_S)
        running = [i for i in self._cluster.instances if i.running]
        for job in self._records.jobs:
            if job.accepted_at is None:
                continue
            for instance in running:
                if not self._cluster.wait_until(
                    lambda job=job, at=instance: read_page(
                        self._identify(
                            SiteCaller(at.front, REQUEST_TIMEOUT_S),
                            job.customer,
                        ),
                        job,
                        0,
                        True,
                    )
                ):
                    self._violations.append(
                        Violation("results stay", job.job_id, "no answer")
                    )

    def _check_processes(self) -> None:
        for address in self._cluster.crashed_instances():
            self._violations.append(
                Violation("runs on", address, "process ended")
            )
        for instance in self._cluster.instances:
            self._violations += check_ends(instance.address, instance.ends)

    def _observations(self) -> Observations:
        logs = {
            str(number): app.log
            for number, app in enumerate(self._cluster.apps)
        }
        return Observations(
            self._records,
            logs,
            self._injector.disturbances,
            self._injector.drains,
            EVENTS_PER_ANSWER,
            self._injector.reloads,
            self._injector.departures,
            self._injector.halts,
            {} if self._customers is None else self._customers.limits,
            self._cluster.services,
            self._injector.moves,
        )

    def _report(self, faults: tuple[ScheduledFault, ...]) -> SoakReport:
        attempts = self._records.attempts
        jobs = self._records.jobs
        return SoakReport(
            self._plan,
            faults,
            (*self._violations, *check(self._observations())),
            len(attempts),
            sum(attempt.status == 200 for attempt in attempts),
            len(jobs),
            sum(job.accepted_at is not None for job in jobs),
            str(self._cluster.folder),
        )


def _resolves_itself(instance: Instance) -> bool:
    """Return whether an instance lists its own address."""
    caller = SiteCaller(instance.directory, REQUEST_TIMEOUT_S)
    try:
        found = caller.resolve("zone-0")
    except CallFailedError:
        return False
    finally:
        caller.close()
    return any(instance.address in address for address in found)


__all__ = ["SoakPlan", "SoakReport", "Soak"]

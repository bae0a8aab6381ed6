"""``mulberry-control``: operator API and placement of models on engines."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING, Annotated

from pydantic import Field

from mulberrypass.caller.health import Health
from mulberrypass.configuration.retention import Retention
from mulberrypass.engine.clients import BackendClients
from mulberrypass.jobs.reading import JobReader
from mulberrypass.operator.app import OperatorApp, OperatorDependencies
from mulberrypass.operator.auth import OperatorAuth
from mulberrypass.operator.changes import ConfigurationChanges
from mulberrypass.operator.explain import ExplainProxy
from mulberrypass.operator.fleet import FleetGenerationsReader
from mulberrypass.operator.recent_jobs import RecentJobsReader
from mulberrypass.operator.status import StatusCollector
from mulberrypass.placement.runner import (
    PlacementDependencies,
    PlacementRunner,
)
from mulberrypass.policy.placement.orders import preferred_member
from mulberrypass.programs.daemon import DaemonSettings
from mulberrypass.programs.session import Process, run
from mulberrypass.programs.wiring import open_common
from mulberrypass.runtime.http import WsgiApp
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.runtime.logs import get_logger
from mulberrypass.runtime.ports import CONTROL_PORT
from mulberrypass.runtime.settings import Port, load

if TYPE_CHECKING:
    from mulberrypass.programs.wiring import CommonComponents

PROGRAM = "mulberry-control"
MAX_BODY_BYTES = 64 * 1_048_576
# Hash key that selects the member that runs the retention.
RETENTION_KEY = "retention of configurations"
LOG = get_logger(__name__)

Digest = Annotated[str, Field(pattern=r"^([0-9a-f]{64})?$")]


class ControlSettings(DaemonSettings):
    """Settings of mulberry-control."""

    port: Port = Field(
        default=CONTROL_PORT, description="port of the operator API"
    )
    threads: int = Field(
        default=8, ge=2, description="requests handled concurrently"
    )
    bootstrap_key_digest: Digest = Field(
        default="",
        description="SHA-256 of the operator key that is accepted while no "
        "operator is published",
    )


class ControlProcess(Process):
    """Builds and runs the components of a control process."""

    def __init__(self, cfg: ControlSettings) -> None:
        common = open_common("control", cfg)
        self._cfg = cfg
        self._common = common
        self._backends = BackendClients(cfg.engine_tls())
        common.follower.subscribe(self._backends.apply)
        self._placement = PlacementRunner(
            PlacementDependencies(
                common.follower,
                common.membership,
                common.table,
                common.platform.weights,
                self._backends.engine,
                common.metrics,
            ),
            common.me,
        )
        common.dump.register("placement", self._placement.state)
        self._retention = Retention(
            common.table, common.objects, self._runs_retention
        )
        self._server = common.make_peer_server()
        self._http = HttpServer(
            self._app(common, cfg),
            str(cfg.address),
            cfg.port,
            cfg.threads,
            MAX_BODY_BYTES,
        )

    def start(self) -> None:
        """Start all components, the operator API last."""
        self._common.start(self._server)
        self._placement.start()
        self._retention.start()
        self._http.start()
        LOG.info(
            "serving", address=str(self._cfg.address), port=self._http.port
        )

    def stop(self) -> bool:
        """Finish open operator requests, then stop."""
        self._common.membership.leave()
        self._placement.stop()
        self._retention.stop()
        finished = self._http.stop(self._cfg.grace_s)
        self._common.stop(self._server)
        self._backends.close()
        return finished

    def _app(self, common: CommonComponents, cfg: ControlSettings) -> WsgiApp:
        changes = ConfigurationChanges(common.store, common.follower)
        follower = common.follower
        fleet = FleetGenerationsReader(
            common.me,
            common.membership,
            changes,
            lambda: follower.current().generation,
        )
        jobs = RecentJobsReader(
            JobReader(common.table, common.objects), follower
        )
        operators = OperatorApp(
            OperatorDependencies(
                OperatorAuth(follower, common.store, cfg.bootstrap_key_digest),
                changes,
                common.store,
                fleet,
                ExplainProxy(common.membership, follower),
                StatusCollector(
                    fleet,
                    jobs.read,
                    self._placement.state,
                    common.metrics.snapshot,
                ),
            )
        )
        health = Health(follower, common.dump, self._not_ready)
        return WsgiApp([*operators.routes(), *health.routes()])

    def _runs_retention(self) -> bool:
        common = self._common
        live = [member.name for member in common.membership.live("control")]
        members = {*live, common.me.name}
        return preferred_member(RETENTION_KEY, members) == common.me.name

    def _not_ready(self) -> str:
        ready = self._common.follower.ready
        return "" if ready else "the configuration is not known yet"


def main() -> None:
    """Serve operators until a stop signal arrives."""
    cfg = load(PROGRAM, ControlSettings, sys.argv[1:], os.environ)
    run(lambda: ControlProcess(cfg))


__all__ = ["ControlProcess", "ControlSettings", "main"]

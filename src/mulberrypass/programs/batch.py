"""``mulberry-batch``: accepts jobs and runs their items in lots."""

from __future__ import annotations

from dataclasses import replace
import os
import sys
import time

from pydantic import Field

from mulberrypass.caller.health import Health
from mulberrypass.caller.jobs import JobRoutes
from mulberrypass.engine.clients import BackendClients
from mulberrypass.jobs.service import JobDependencies, JobService
from mulberrypass.peer.permit_client import PeerPermitClient
from mulberrypass.policy.jobs.commands import HolderSettings
from mulberrypass.programs.daemon import DaemonSettings
from mulberrypass.programs.session import Process, run
from mulberrypass.programs.wiring import open_common
from mulberrypass.runtime.http import WsgiApp
from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.runtime.logs import get_logger
from mulberrypass.runtime.ports import BATCH_PORT
from mulberrypass.runtime.settings import Port, load
from mulberrypass.storage.metered import MeteredObjects, MeteredTable

PROGRAM = "mulberry-batch"
LOG = get_logger(__name__)


class BatchSettings(DaemonSettings):
    """Settings of mulberry-batch."""

    port: Port = Field(default=BATCH_PORT, description="port for job requests")
    threads: int = Field(
        default=16, ge=2, le=512, description="requests handled concurrently"
    )
    max_manifest_bytes: int = Field(
        default=536_870_912, ge=1_024, description="maximum size of a manifest"
    )
    lot_items: int = Field(
        default=4_000, ge=1, le=20_000, description="items per lot"
    )
    window: int = Field(
        default=192,
        ge=1,
        le=2_000,
        description="maximum number of items in flight",
    )
    flush_outcomes: int = Field(
        default=2_000,
        ge=1,
        description="number of outcomes that triggers a flush",
    )
    flush_age_s: float = Field(
        default=60.0,
        gt=0.0,
        description="age at which fewer outcomes are flushed",
    )
    effect_flush_age_s: float = Field(
        default=30.0,
        gt=0.0,
        description="flush age for services that are not idempotent",
    )
    takeover_s: float = Field(
        default=2.0,
        ge=0.0,
        description="seconds that a holder must be gone before takeover",
    )
    effect_takeover_s: float = Field(
        default=10.0,
        ge=0.0,
        description="takeover delay for services that are not idempotent",
    )
    drain_linger_s: float = Field(
        default=12.0,
        ge=0.0,
        description="seconds that a planned stop continues to serve, since "
        "callers cache addresses for a while",
    )

    def holder(self) -> HolderSettings:
        """Return the settings of the lot holder."""
        defaults = HolderSettings()
        effects = defaults.effect_flush_ages
        return HolderSettings(
            window=self.window,
            flush_outcomes=self.flush_outcomes,
            flush_ages=replace(defaults.flush_ages, max_s=self.flush_age_s),
            effect_flush_ages=replace(effects, max_s=self.effect_flush_age_s),
            takeover_s=self.takeover_s,
            effect_takeover_s=self.effect_takeover_s,
        )


class BatchProcess(Process):
    """Builds and runs the components of a batch process."""

    def __init__(self, cfg: BatchSettings) -> None:
        common = open_common("batch", cfg)
        self._cfg = cfg
        self._common = common
        self._draining = False
        self._server = common.make_peer_server()
        self._backends = BackendClients(cfg.engine_tls())
        common.follower.subscribe(self._backends.apply)
        self._permits = PeerPermitClient(
            common.me,
            common.loop,
            common.membership,
            common.follower,
            None,
            cfg.peer_key.get_secret_value(),
            metrics=common.metrics,
            tls=common.peer_tls,
        )
        self._jobs = JobService(
            common.me,
            JobDependencies(
                MeteredTable(common.platform.table, common.budget),
                MeteredObjects(common.platform.objects, common.budget),
                common.follower,
                common.membership,
                self._permits,
                self._backends,
            ),
            cfg.holder(),
            common.metrics,
            cfg.lot_items,
        )
        common.dump.register("jobs", self._jobs.state)
        common.dump.register("runs", self._jobs.runs)
        common.dump.register("permits", self._permits.state)
        health = Health(common.follower, common.dump, self._not_ready)
        jobs = JobRoutes(
            common.follower,
            self._jobs.manager,
            self._jobs.results,
            self._jobs.cancelled,
            common.metrics,
            time.time,
        )
        self._http = HttpServer(
            WsgiApp((*jobs.routes(), *health.routes())),
            str(cfg.address),
            cfg.port,
            cfg.threads,
            cfg.max_manifest_bytes,
        )

    def _not_ready(self) -> str:
        if self._draining:
            return "the process is being stopped"
        return self._common.not_ready()

    def start(self) -> None:
        """Start all components, the caller-facing server last."""
        self._common.start(self._server)
        self._permits.start()
        self._jobs.start()
        self._http.start()
        LOG.info("serving", address=str(self._cfg.address))

    def stop(self) -> bool:
        """Finish or hand back lots, complete open requests, and stop.

        :returns: whether all work in flight has finished
        """
        cfg = self._cfg
        started_at = time.monotonic()
        LOG.info("draining", linger_s=cfg.drain_linger_s)
        self._draining = True
        self._common.membership.leave()
        finished = self._jobs.stop(cfg.grace_s)
        used_s = time.monotonic() - started_at
        time.sleep(max(0.0, cfg.drain_linger_s - used_s))
        left_s = cfg.grace_s - (time.monotonic() - started_at)
        finished &= self._http.stop(max(0.0, left_s))
        self._permits.stop()
        self._common.stop(self._server)
        self._backends.close()
        LOG.info("stopped", whole=finished)
        return finished


def main() -> None:
    """Serve callers and run lots until a stop signal arrives."""
    cfg = load(PROGRAM, BatchSettings, sys.argv[1:], os.environ)
    run(lambda: BatchProcess(cfg))


__all__ = ["BatchProcess", "BatchSettings", "main"]

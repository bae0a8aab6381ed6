"""``mulberry-control``: operators' changes and orders to engines."""

from __future__ import annotations

import logging
import os
import random
import sys
from typing import Annotated

from pydantic import Field

from mulberrypass.caller.health import Health
from mulberrypass.configuration.follower import (
    ConfigurationFollower,
    FollowerPorts,
)
from mulberrypass.configuration.store import ConfigurationStore
from mulberrypass.operator.alone import AloneMembership, SilentHeartbeats
from mulberrypass.operator.app import OperatorApp, OperatorParts
from mulberrypass.operator.auth import OperatorAuth
from mulberrypass.operator.changes import ConfigurationChanges
from mulberrypass.operator.explain import ExplainProxy
from mulberrypass.operator.fleet import Fleet
from mulberrypass.peer.configuration import ConfigurationPeers
from mulberrypass.peer.loop import LoopThread
from mulberrypass.peer.server import PeerServer
from mulberrypass.programs.daemon import DaemonSettings
from mulberrypass.runtime.dump import StateDump
from mulberrypass.runtime.http import HttpServer, WsgiApp
from mulberrypass.runtime.lifecycle import StopSignal
from mulberrypass.runtime.logs import configure, get_logger
from mulberrypass.runtime.metrics import Metrics
from mulberrypass.runtime.ports import CONTROL_PEER_PORT, CONTROL_PORT
from mulberrypass.runtime.settings import Port, load

PROGRAM = "mulberry-control"
MAX_BODY_BYTES = 64 * 1_048_576
THREADS = 8
STOP_GRACE_S = 10.0
LOG = get_logger(__name__)

Digest = Annotated[str, Field(pattern=r"^([0-9a-f]{64})?$")]


class ControlSettings(DaemonSettings):
    """What the control program is told."""

    port: Port = Field(default=CONTROL_PORT, description="port for operators")
    peer_port: Port = Field(
        default=CONTROL_PEER_PORT, description="port for peers"
    )
    bootstrap_key_digest: Digest = Field(
        default="",
        description="SHA-256 of the operator key that is taken while no "
        "operator is published",
    )


def main() -> None:
    """Serve operators until a stop signal."""
    cfg = load(PROGRAM, ControlSettings, sys.argv[1:], os.environ)
    own = cfg.member("control")
    configure(PROGRAM, own.name, cfg.log_format, cfg.log_level)
    logging.getLogger("waitress").setLevel(logging.ERROR)
    metrics = Metrics("control", cfg.statsd_address, cfg.statsd_port)
    dump = StateDump()
    dump.install_signal()
    loop = LoopThread()
    platform = cfg.open_platform()
    store = ConfigurationStore(platform.table, platform.objects)
    membership = AloneMembership()
    peers = ConfigurationPeers(
        loop,
        cfg.peer_key.get_secret_value(),
        lambda _member: None,
        lambda: follower.snapshot(),
    )
    follower = ConfigurationFollower(
        FollowerPorts(store, peers.fetch_from, tuple),
        metrics,
        random.Random(),
    )
    server = PeerServer(
        cfg.peer_key.get_secret_value(), SilentHeartbeats(), peers
    )
    changes = ConfigurationChanges(store, follower)
    operators = OperatorApp(
        OperatorParts(
            OperatorAuth(follower, store, cfg.bootstrap_key_digest),
            changes,
            store,
            Fleet(
                own,
                membership,
                changes,
                lambda: follower.current().generation,
            ),
            ExplainProxy(membership),
            {"metrics": metrics.snapshot},
        )
    )
    health = Health(
        follower,
        dump,
        lambda: "" if follower.ready else "the configuration is not known",
    )
    dump.register("configuration", follower.state)
    dump.register("metrics", metrics.snapshot)
    http = HttpServer(
        WsgiApp([*operators.routes(), *health.routes()]),
        str(cfg.address),
        cfg.port,
        THREADS,
        MAX_BODY_BYTES,
    )
    stop = StopSignal()
    stop.install()
    loop.start()
    loop.submit(server.start(str(cfg.address), cfg.peer_port)).result()
    follower.start()
    http.start()
    LOG.info("serving", address=str(cfg.address), port=http.port)
    stop.wait()
    http.stop(STOP_GRACE_S)
    follower.stop()
    loop.submit(server.stop()).result()
    loop.stop()


__all__ = ["ControlSettings", "main"]

"""``mulberry-fake-platform``: simulated services of the platform."""

from __future__ import annotations

import logging
import os
import sys

from pydantic import Field, IPvAnyAddress, TypeAdapter

from mulberrypass.runtime.http_server import HttpServer
from mulberrypass.runtime.lifecycle import STOP_SIGNALS, SignalQueue
from mulberrypass.runtime.logs import configure, get_logger
from mulberrypass.runtime.ports import PLATFORM_PORT
from mulberrypass.runtime.settings import Port, ProgramSettings, load
from mulberrypass.testing.platform_faults import Faults
from mulberrypass.testing.platform_http import PlatformApp
from mulberrypass.testing.platform_state import (
    DEFAULT_WEIGHTS_BYTES_PER_S,
    FakePlatform,
)

PROGRAM = "mulberry-fake-platform"
MAX_BODY_BYTES = 64 * 1_048_576
STOP_GRACE_S = 1.0
LOG = get_logger(__name__)


class FakePlatformSettings(ProgramSettings):
    """Settings of mulberry-fake-platform."""

    address: IPvAnyAddress = Field(
        default=TypeAdapter(IPvAnyAddress).validate_python("127.0.0.1"),
        description="IP address to listen on",
    )
    port: Port = Field(default=PLATFORM_PORT, description="port to listen on")
    threads: int = Field(
        default=32, ge=1, le=512, description="calls handled concurrently"
    )
    platform_key: str = Field(
        default="", description="key that callers must send; empty for none"
    )
    seed: int = Field(default=0, description="seed of the random losses")
    history: bool = Field(
        default=False, description="keep every version of each row"
    )
    list_lag_s: float = Field(
        default=2.0, ge=0, description="delay of the instance list in seconds"
    )
    writes_per_s: float = Field(
        default=0.0,
        ge=0,
        description="maximum writes per second; 0 for no limit",
    )
    reads_per_s: float = Field(
        default=0.0,
        ge=0,
        description="maximum reads per second; 0 for no limit",
    )
    weights_bytes_per_s: float = Field(
        default=DEFAULT_WEIGHTS_BYTES_PER_S,
        gt=0,
        description="throughput of the weight store",
    )


def main() -> None:
    """Serve the simulated platform until a stop signal arrives."""
    cfg = load(PROGRAM, FakePlatformSettings, sys.argv[1:], os.environ)
    configure(PROGRAM, "platform", cfg.log_format, cfg.log_level)
    logging.getLogger("waitress").setLevel(logging.ERROR)
    platform = FakePlatform(
        seed=cfg.seed,
        keep_history=cfg.history,
        weights_bytes_per_s=cfg.weights_bytes_per_s,
    )
    platform.set_faults(
        Faults(
            list_lag_s=cfg.list_lag_s,
            writes_per_s=cfg.writes_per_s,
            reads_per_s=cfg.reads_per_s,
        )
    )
    app = PlatformApp(platform, cfg.platform_key).wsgi()
    server = HttpServer(
        app, str(cfg.address), cfg.port, cfg.threads, MAX_BODY_BYTES
    )
    stop = SignalQueue(*STOP_SIGNALS)
    stop.install()
    server.start()
    LOG.info("serving", address=str(cfg.address), port=server.port)
    stop.get()
    server.stop(STOP_GRACE_S)


__all__ = ["FakePlatformSettings", "main"]

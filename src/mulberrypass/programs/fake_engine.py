"""``mulberry-fake-engine``: simulated backend servers."""

from __future__ import annotations

import logging
import os
import sys
from typing import Literal

from pydantic import Field, field_validator

from mulberrypass.runtime import logs, settings
from mulberrypass.runtime.lifecycle import STOP_SIGNALS, SignalQueue
from mulberrypass.runtime.logs import get_logger
from mulberrypass.runtime.ports import ENGINE_PORT
from mulberrypass.testing.engine_http import EngineOptions, FakeEngine
from mulberrypass.testing.engine_step import EngineShape
from mulberrypass.testing.plain_http import FakePlainService, PlainOptions

PROGRAM = "mulberry-fake-engine"
SWITCH_INTERVAL_S = 0.000_5
LOG = get_logger(__name__)


class FakeEngineSettings(settings.ProgramSettings):
    """Settings of mulberry-fake-engine."""

    addresses: str = Field(
        default=f"127.0.0.1:{ENGINE_PORT}",
        description="comma-separated addresses, one simulated server each",
    )
    kind: Literal["model", "plain"] = Field(
        default="model",
        description="whether to simulate model engines or plain services",
    )
    time_scale: float = Field(
        default=1.0,
        gt=0,
        description="factor applied to all simulated durations",
    )
    slots: int = Field(
        default=64, ge=1, description="sequences or calls run concurrently"
    )
    kv_tokens: int = Field(
        default=131_072, ge=1, description="capacity of the KV cache in tokens"
    )
    cache_tokens: int = Field(
        default=32_768,
        ge=0,
        description="capacity of the prefix cache in tokens",
    )
    report_lag_s: float = Field(
        default=2.0, ge=0, description="delay of load reports in seconds"
    )
    event_lag_s: float = Field(
        default=1.0, ge=0, description="delay of cache events in seconds"
    )
    event_loss: float = Field(
        default=0.02,
        ge=0,
        le=1,
        description="fraction of cache events that are lost",
    )
    load_s: float = Field(
        default=5.0, ge=0, description="seconds that a load order takes"
    )
    versions: str = Field(
        default="", description="versions loaded at startup; empty for any"
    )
    ignore_fences: bool = Field(
        default=False, description="accept orders with an outdated fence"
    )
    service_s: float = Field(
        default=0.02, ge=0, description="seconds that a plain call takes"
    )
    threads: int = Field(
        default=256,
        ge=1,
        description="requests handled concurrently by each server",
    )
    seed: int = Field(default=0, description="seed of the random generator")

    @field_validator("addresses")
    @classmethod
    def _check_addresses(cls, value: str) -> str:
        for address in value.split(","):
            host, _, port = address.strip().rpartition(":")
            if not host or not port.isdigit():
                raise ValueError(f'"{address}" is not an IP address and port')
        return value


def main() -> None:
    """Serve the simulated backends until a stop signal arrives."""
    cfg = settings.load(PROGRAM, FakeEngineSettings, sys.argv[1:], os.environ)
    logs.configure(PROGRAM, cfg.addresses, cfg.log_format, cfg.log_level)
    logging.getLogger("waitress").setLevel(logging.CRITICAL)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    stop = SignalQueue(*STOP_SIGNALS)
    stop.install()
    for address in cfg.addresses.split(","):
        host, _, port = address.strip().rpartition(":")
        _serve(cfg, host, int(port))
        LOG.info("serving", address=address.strip(), kind=cfg.kind)
    stop.get()
    # Exit without waiting for server threads; open streams are cut off.
    os._exit(0)


def _serve(cfg: FakeEngineSettings, host: str, port: int) -> None:
    if cfg.kind == "plain":
        FakePlainService(_plain_options(cfg)).serve(host, port)
    else:
        FakeEngine(_engine_options(cfg)).serve(host, port)


def _plain_options(cfg: FakeEngineSettings) -> PlainOptions:
    return PlainOptions(cfg.service_s, cfg.slots, cfg.time_scale, cfg.threads)


def _engine_options(cfg: FakeEngineSettings) -> EngineOptions:
    versions = tuple(v.strip() for v in cfg.versions.split(",") if v.strip())
    return EngineOptions(
        shape=EngineShape(
            slots=cfg.slots,
            kv_tokens=cfg.kv_tokens,
            cache_tokens=cfg.cache_tokens,
        ),
        time_scale=cfg.time_scale,
        report_lag_s=cfg.report_lag_s,
        event_lag_s=cfg.event_lag_s,
        event_loss=cfg.event_loss,
        load_s=cfg.load_s,
        versions=versions,
        ignore_fences=cfg.ignore_fences,
        threads=cfg.threads,
        seed=cfg.seed,
    )


if __name__ == "__main__":
    main()

__all__ = ["FakeEngineSettings", "main"]

"""Settings file that the users' platform writes for each process."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic.alias_generators import to_pascal

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from pathlib import Path

SETTINGS_VARIABLE = "MULBERRYPASS_SETTINGS"
PEER_KEY_VARIABLE = "MULBERRYPASS_PEER_KEY"

BYTES_PER_MB = 1_000_000
Port = Annotated[int, Field(ge=1, le=65_535)]


class SiteError(Exception):
    """The settings file is missing or invalid."""


@value_class
class HostPort:
    """Host and port of an address."""

    host: str
    port: int


@value_class
class Site:
    """Settings of one process, read from the settings file.

    :param first_start: whether the whole system starts for the first time
    :param front: listening address for callers' requests
    :param ready: listening address for the platform's readiness checks
    :param directory: listening address for callers' address look-ups
    :param peer_port: port for traffic between instances
    :param store: address of the metadata store
    :param contact_s: from this duration on, a loss of contact counts as long
    :param grace_s: seconds from the stop signal to the kill signal
    :param drain_s: seconds after which a leaving engine gets no new work
    :param apply_s: seconds within which a new configuration is in force
    :param max_ttl_s: maximum time that callers cache addresses
    :param cancel_s: seconds within which a cancellation is noticed
    :param memory_bytes: memory of the process, from which it is killed;
        ``None`` if it isn't known
    :param quota_window_s: sliding window in which customers' limits hold
    :param quota_overage: share by which a window may exceed a limit
    :param quota_slack: requests by which it may exceed it besides
    """

    name: str
    zone: str
    address: str
    first_start: bool
    front: HostPort
    ready: HostPort
    directory: HostPort | None
    peer_port: int
    store: HostPort
    contact_s: float
    grace_s: float
    drain_s: float
    apply_s: float
    max_ttl_s: float
    cancel_s: float
    memory_bytes: int | None = None
    quota_window_s: float = 5.0
    quota_overage: float = 0.1
    quota_slack: float = 20.0


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", alias_generator=to_pascal)


class _Listen(_Model):
    front: str
    ready: str
    directory: str | None = None


class _Bounds(_Model):
    contact_ms: float = 3_000
    grace_s: float = Field(default=8, ge=0, allow_inf_nan=False)
    drain_ms: float = 2_000
    config_apply_ms: float = 2_000
    cancel_ms: float = 3_000
    ttl_max_s: float = Field(default=5, alias="ttl_max_s")
    quota_window_s: float = Field(default=5, gt=0, allow_inf_nan=False)
    quota_overage: float = Field(default=0.1, ge=0, allow_inf_nan=False)
    quota_slack: float = Field(default=20, ge=0, allow_inf_nan=False)


class _Limits(_Model):
    memory_mb: float | None = Field(default=None, allow_inf_nan=False)


class _Store(_Model):
    address: str


class _Settings(_Model):
    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[Port, Port]
    bootstrap: bool = False
    listen: _Listen
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    platform: _Store


def read_site(path: Path) -> Site:
    """Read the settings file.

    :raises SiteError: if it is missing, malformed or incomplete
    """
    try:
        settings = _Settings.model_validate(tomllib.loads(path.read_text()))
    except OSError as exc:
        raise SiteError(f"{path}: {exc.strerror}")
    except ValidationError as exc:
        error = exc.errors()[0]
        field = ".".join(map(str, error["loc"]))
        raise SiteError(f"{path}: {field}: {error['msg']}")
    except (ValueError, RecursionError) as exc:
        raise SiteError(f"{path}: {exc}")
    return _site(settings)


def parse_host_port(text: str) -> HostPort:
    """Parse ``HOST:PORT``.

    :raises SiteError: if the host or the port is missing
    """
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()):
        raise SiteError(f"{text!r} is not an IP address with a port")
    return HostPort(host, int(port))


def _site(settings: _Settings) -> Site:
    bounds = settings.bounds
    directory = settings.listen.directory
    return Site(
        name=settings.node_name,
        zone=settings.zone,
        address=settings.ip,
        first_start=settings.bootstrap,
        front=parse_host_port(settings.listen.front),
        ready=parse_host_port(settings.listen.ready),
        directory=parse_host_port(directory) if directory else None,
        peer_port=settings.internal_ports[0],
        store=parse_host_port(settings.platform.address),
        contact_s=bounds.contact_ms / 1_000,
        grace_s=bounds.grace_s,
        drain_s=bounds.drain_ms / 1_000,
        apply_s=bounds.config_apply_ms / 1_000,
        max_ttl_s=bounds.ttl_max_s,
        cancel_s=bounds.cancel_ms / 1_000,
        memory_bytes=_memory_bytes(settings.limits),
        quota_window_s=bounds.quota_window_s,
        quota_overage=bounds.quota_overage,
        quota_slack=bounds.quota_slack,
    )


def _memory_bytes(limits: _Limits) -> int | None:
    """Return the memory of the process; 0 names no limit."""
    if not limits.memory_mb or limits.memory_mb < 0:
        return None
    return int(limits.memory_mb * BYTES_PER_MB)


__all__ = [
    "PEER_KEY_VARIABLE",
    "HostPort",
    "SETTINGS_VARIABLE",
    "Site",
    "SiteError",
    "parse_host_port",
    "read_site",
]

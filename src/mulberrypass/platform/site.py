"""The settings file that the site's platform gives each process."""

from __future__ import annotations

from dataclasses import dataclass
import tomllib
from typing import TYPE_CHECKING, Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic.alias_generators import to_pascal

if TYPE_CHECKING:
    from pathlib import Path

SETTINGS_VARIABLE = "MULBERRYPASS_SETTINGS"
PEER_KEY_VARIABLE = "MULBERRYPASS_PEER_KEY"

Port = Annotated[int, Field(ge=1, le=65_535)]


class SiteError(Exception):
    """The settings file can't be used."""


@dataclass(frozen=True, slots=True)
class HostPort:
    """Where to listen."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Site:
    """What a process is told of its place.

    :param first_start: whether the whole system starts for the first time
    :param front: where callers send requests
    :param ready: where the platform asks whether callers are served
    :param directory: where callers ask for addresses
    :param peer_port: free for traffic between our own processes
    :param contact_s: a break of contact for so long is no short one
    :param grace_s: seconds from the stop signal to the kill signal
    :param drain_s: a leaving engine gets nothing new after this
    :param apply_s: a new configuration is in force after this
    :param max_ttl_s: callers keep an answer with addresses no longer
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


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", alias_generator=to_pascal)


class _Listen(_Model):
    front: str
    ready: str
    directory: str | None = None


class _Bounds(_Model):
    contact_ms: float = 3_000
    grace_s: float = 8
    drain_ms: float = 2_000
    config_apply_ms: float = 2_000
    cancel_ms: float = 3_000
    ttl_max_s: float = Field(default=5, alias="ttl_max_s")


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
    platform: _Store


def read_site(path: Path) -> Site:
    """Read the settings file.

    :raises SiteError: where it is missing, damaged or incomplete
    """
    try:
        found = _Settings.model_validate(tomllib.loads(path.read_text()))
    except OSError as exc:
        raise SiteError(f"{path}: {exc.strerror}")
    except tomllib.TOMLDecodeError as exc:
        raise SiteError(f"{path}: {exc}")
    except ValidationError as exc:
        first = exc.errors()[0]
        field = ".".join(map(str, first["loc"]))
        raise SiteError(f"{path}: {field}: {first['msg']}")
    return _site(found)


def parse_host_port(text: str) -> HostPort:
    """Read an address with its port.

    :raises SiteError: where it has no port
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise SiteError(f"{text!r} is not an IP number with a port")
    return HostPort(host, int(port))


def _site(found: _Settings) -> Site:
    bounds = found.bounds
    directory = found.listen.directory
    return Site(
        name=found.node_name,
        zone=found.zone,
        address=found.ip,
        first_start=found.bootstrap,
        front=parse_host_port(found.listen.front),
        ready=parse_host_port(found.listen.ready),
        directory=parse_host_port(directory) if directory else None,
        peer_port=found.internal_ports[0],
        store=parse_host_port(found.platform.address),
        contact_s=bounds.contact_ms / 1_000,
        grace_s=bounds.grace_s,
        drain_s=bounds.drain_ms / 1_000,
        apply_s=bounds.config_apply_ms / 1_000,
        max_ttl_s=bounds.ttl_max_s,
        cancel_s=bounds.cancel_ms / 1_000,
    )


__all__ = [
    "PEER_KEY_VARIABLE",
    "HostPort",
    "SETTINGS_VARIABLE",
    "Site",
    "SiteError",
    "parse_host_port",
    "read_site",
]

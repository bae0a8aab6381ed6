"""Settings shared by the programs of an instance."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Annotated, Self

from pydantic import (
    Field,
    FilePath,
    IPvAnyAddress,
    SecretStr,
    model_validator,
)

from mulberrypass.model.member import Member
from mulberrypass.platform.client import PlatformClients, open_platform
from mulberrypass.platform.http_client import Endpoint
from mulberrypass.runtime.ports import PLATFORM_PORT
from mulberrypass.runtime.settings import ProgramSettings
from mulberrypass.runtime.tls import TlsFiles, check, http_client

if TYPE_CHECKING:
    import ssl

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class DaemonSettings(ProgramSettings):
    """Settings of a program that runs on an instance."""

    instance: Name = Field(description="name of this instance")
    zone: Name = Field(description="availability zone of this instance")
    address: IPvAnyAddress = Field(description="IP address of this instance")
    platform_address: IPvAnyAddress = Field(
        description="IP address of the platform's services"
    )
    platform_port: int = Field(
        default=PLATFORM_PORT, description="port of the platform's services"
    )
    platform_key: SecretStr = Field(
        default=SecretStr(""), description="key for the platform's services"
    )
    peer_key: SecretStr = Field(
        description="key shared by the processes of the system",
        min_length=8,
    )
    seeds: tuple[IPvAnyAddress, ...] = Field(
        default=(),
        description="IP addresses of instances to contact while the "
        "platform's list can't be read",
    )
    grace_s: float = Field(
        default=330.0,
        ge=0.0,
        description="seconds that a planned stop waits for work in flight",
    )
    fleet_writes_per_s: float = Field(
        default=300.0,
        gt=0.0,
        description="platform writes per second of the whole fleet",
    )
    fleet_reads_per_s: float = Field(
        default=1_500.0,
        gt=0.0,
        description="platform reads per second of the whole fleet",
    )

    tls_cert: FilePath | None = Field(
        default=None, description="PEM file of this instance's certificate"
    )
    tls_key: FilePath | None = Field(
        default=None, description="PEM file of the certificate's private key"
    )
    tls_ca: FilePath | None = Field(
        default=None,
        description="PEM file of the trusted CA certificates",
    )
    tls_platform: bool = Field(
        default=False, description="use TLS for connections to the platform"
    )
    tls_engines: bool = Field(
        default=False, description="use TLS for connections to backend servers"
    )

    @model_validator(mode="after")
    def _check_tls(self) -> Self:
        paths = [self.tls_cert, self.tls_key, self.tls_ca]
        if any(paths) and not all(paths):
            raise ValueError("--tls-cert, --tls-key and --tls-ca go together")
        if (self.tls_platform or self.tls_engines) and not all(paths):
            raise ValueError("TLS needs --tls-cert, --tls-key and --tls-ca")
        files = self.tls_files()
        if files is not None:
            check(files)
        return self

    def tls_files(self) -> TlsFiles | None:
        """Return this instance's certificate files, if configured."""
        if not (self.tls_cert and self.tls_key and self.tls_ca):
            return None
        return TlsFiles(self.tls_cert, self.tls_key, self.tls_ca)

    def engine_tls(self) -> ssl.SSLContext | None:
        """Return the TLS context for backend servers, if TLS is enabled."""
        files = self.tls_files()
        return http_client(files) if files and self.tls_engines else None

    def member(self, program: str) -> Member:
        """Return this process's member with a new incarnation."""
        return Member(
            name=f"{program}@{self.instance}",
            program=program,
            zone=self.zone,
            address=str(self.address),
            incarnation=time.time_ns() // 1_000,
        )

    def open_platform(self) -> PlatformClients:
        """Create the clients of the platform's services."""
        files = self.tls_files()
        tls = http_client(files) if files and self.tls_platform else None
        return open_platform(
            Endpoint(
                str(self.platform_address),
                self.platform_port,
                self.platform_key.get_secret_value(),
                tls,
            )
        )


__all__ = ["DaemonSettings"]

"""Settings that all programs on an instance share."""

from __future__ import annotations

import time
from typing import Annotated

from pydantic import Field, IPvAnyAddress, SecretStr

from mulberrypass.peer.api import Member
from mulberrypass.platform.caller import Endpoint
from mulberrypass.platform.client import PlatformClients, open_platform
from mulberrypass.runtime.ports import PLATFORM_PORT
from mulberrypass.runtime.settings import ProgramSettings

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class DaemonSettings(ProgramSettings):
    """What a program on an instance is told."""

    instance: Name = Field(description="name of this instance")
    zone: Name = Field(description="availability zone of this instance")
    address: IPvAnyAddress = Field(description="IP number of this instance")
    platform_address: IPvAnyAddress = Field(
        description="IP number of the platform's services"
    )
    platform_port: int = Field(
        default=PLATFORM_PORT, description="port of the platform's services"
    )
    platform_key: SecretStr = Field(
        default=SecretStr(""), description="key for the platform's services"
    )
    peer_key: SecretStr = Field(
        description="key that the system's own processes share",
        min_length=8,
    )
    seeds: tuple[IPvAnyAddress, ...] = Field(
        default=(),
        description="IP numbers of instances to ask while the platform's "
        "list can't be read",
    )
    grace_s: float = Field(
        default=330.0,
        ge=0.0,
        description="seconds that a planned stop waits for what is in flight",
    )
    fleet_writes_per_s: float = Field(
        default=300.0,
        gt=0.0,
        description="platform writes a second for the whole fleet",
    )
    fleet_reads_per_s: float = Field(
        default=1_500.0,
        gt=0.0,
        description="platform reads a second for the whole fleet",
    )

    def member(self, program: str) -> Member:
        """Give this process as a new incarnation of its member."""
        return Member(
            name=f"{program}@{self.instance}",
            program=program,
            zone=self.zone,
            address=str(self.address),
            incarnation=time.time_ns() // 1_000,
        )

    def open_platform(self) -> PlatformClients:
        """Make the clients of the platform."""
        return open_platform(
            Endpoint(
                str(self.platform_address),
                self.platform_port,
                self.platform_key.get_secret_value(),
            )
        )


__all__ = ["DaemonSettings"]

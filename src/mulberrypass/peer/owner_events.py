"""What the owner's thread takes in, and what it sends to holders."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from concurrent.futures import Future

    from mulberrypass.policy.admission.cells import CellLoad
    from mulberrypass.policy.messages import HolderMessage, OwnerMessage


@dataclass(frozen=True, slots=True)
class OwnerReply:
    """What an owner sends to one holder at once.

    :param loads: loads of the owner's cells, by name
    """

    messages: tuple[OwnerMessage, ...]
    loads: Mapping[str, CellLoad] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, eq=False)
class HolderSession:
    """One holder's connection.

    :param deliver: takes replies, on the owner's thread; never blocks
    """

    holder: str
    deliver: Callable[[OwnerReply], None]


@dataclass(frozen=True, slots=True)
class HolderConnected:
    """A holder has connected."""

    session: HolderSession


@dataclass(frozen=True, slots=True)
class HolderDisconnected:
    """A holder's connection has ended."""

    session: HolderSession


@dataclass(frozen=True, slots=True)
class MessagesReceived:
    """A holder has sent messages."""

    session: HolderSession
    messages: tuple[HolderMessage, ...]


@dataclass(frozen=True, slots=True)
class Refresh:
    """Members, backend servers or objects may have changed."""


@dataclass(frozen=True, slots=True)
class VersionsLoaded:
    """A backend server has these versions in memory."""

    backend: str
    versions: frozenset[str]


@dataclass(frozen=True, slots=True)
class CacheHint:
    """An engine's report on one block of its prefix cache."""

    backend: str
    stored: bool
    block: int


@dataclass(frozen=True, slots=True)
class Stop:
    """Ends the thread."""


@dataclass(frozen=True, slots=True)
class StateRequest:
    """Asks for the owner's state."""

    state: Future[dict[str, Any]]


OwnerEvent = (
    HolderConnected
    | HolderDisconnected
    | MessagesReceived
    | Refresh
    | VersionsLoaded
    | CacheHint
    | StateRequest
    | Stop
)


__all__ = [
    "CacheHint",
    "StateRequest",
    "HolderSession",
    "OwnerEvent",
    "HolderConnected",
    "HolderDisconnected",
    "VersionsLoaded",
    "OwnerReply",
    "MessagesReceived",
    "Refresh",
    "Stop",
]

"""Events of the owner's inbox, and its replies to holders."""

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
    """A batch of messages from an owner to one holder.

    :param loads: loads of the owner's cells, by name
    """

    messages: tuple[OwnerMessage, ...]
    loads: Mapping[str, CellLoad] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, eq=False)
class HolderSession:
    """The owner's side of a holder's connection.

    :param deliver: called with replies on the owner's thread; must not block
    """

    holder: str
    deliver: Callable[[OwnerReply], None]


@dataclass(frozen=True, slots=True)
class HolderConnected:
    """A holder connected."""

    session: HolderSession


@dataclass(frozen=True, slots=True)
class HolderDisconnected:
    """A holder's connection ended."""

    session: HolderSession


@dataclass(frozen=True, slots=True)
class MessagesReceived:
    """A holder sent messages."""

    session: HolderSession
    messages: tuple[HolderMessage, ...]


@dataclass(frozen=True, slots=True)
class Refresh:
    """The members or the configuration may have changed."""


@dataclass(frozen=True, slots=True)
class VersionsLoaded:
    """A backend server reported the versions that it has in memory."""

    backend: str
    versions: frozenset[str]


@dataclass(frozen=True, slots=True)
class CacheHint:
    """An engine reported that a prefix cache block was stored or removed."""

    backend: str
    stored: bool
    block: int


@dataclass(frozen=True, slots=True)
class Stop:
    """The owner's thread must end."""


@dataclass(frozen=True, slots=True)
class StateRequest:
    """A caller waits for the owner's state."""

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

"""Events of the owner's inbox, and its replies to holders."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from concurrent.futures import Future

    from mulberrypass.policy.admission.cells import CellLoad
    from mulberrypass.policy.messages import HolderMessage, OwnerMessage


@value_class
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


@value_class
class HolderConnected:
    """A holder connected."""

    session: HolderSession


@value_class
class HolderDisconnected:
    """A holder's connection ended."""

    session: HolderSession


@value_class
class MessagesReceived:
    """A holder sent messages."""

    session: HolderSession
    messages: tuple[HolderMessage, ...]


@value_class
class Refresh:
    """The members or the configuration may have changed."""


@value_class
class VersionsLoaded:
    """A backend server reported the versions that it has in memory."""

    backend: str
    versions: frozenset[str]


@value_class
class CacheHint:
    """An engine reported that a prefix cache block was stored or removed."""

    backend: str
    stored: bool
    block: int


@value_class
class Stop:
    """The owner's thread must end."""


@value_class
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

"""The bytes of a published configuration, as members pass them on."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The published bytes of one generation.

    :param digest: hexadecimal SHA-256 of the canonical form
    :param data: the canonical form, compressed
    """

    generation: int
    digest: str
    data: bytes


@dataclass(frozen=True, slots=True)
class PeerSilent:
    """A member gave no snapshot of the generation asked for."""

    reason: str


__all__ = ["PeerSilent", "Snapshot"]

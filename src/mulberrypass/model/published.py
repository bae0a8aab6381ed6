"""Serialized configurations, as exchanged between members."""

from __future__ import annotations

from mulberrypass.model.value_class import value_class


@value_class
class Snapshot:
    """The serialized configuration of one generation.

    :param digest: hexadecimal SHA-256 of the canonical form
    :param data: the canonical form, compressed
    """

    generation: int
    digest: str
    data: bytes


@value_class
class SnapshotUnavailable:
    """A member did not return a snapshot of the requested generation."""

    reason: str


__all__ = ["Snapshot", "SnapshotUnavailable"]

"""The crash of an engine."""

from __future__ import annotations

from dataclasses import replace

from mulberrypass.model.value_class import value_class


@value_class
class Crash:
    """The crash of one engine, as all members together know it.

    :param engine: identifies one start of an engine
    :param at_ms: Unix time in milliseconds, by the earliest report
    :param suspects: parts that may have caused it
    :param familiar: suspects under which answers had begun before
    :param cleared: suspects under which an answer has begun since
    :param requests: digests of the requests that may have caused it
    :param cleared_requests: those whose answers have begun since
    """

    engine: str
    service: str
    at_ms: int
    suspects: frozenset[int]
    familiar: frozenset[int] = frozenset()
    cleared: frozenset[int] = frozenset()
    requests: frozenset[int] = frozenset()
    cleared_requests: frozenset[int] = frozenset()

    @property
    def open_suspects(self) -> frozenset[int]:
        """The suspects that are not cleared."""
        return self.suspects - self.cleared

    @property
    def open_requests(self) -> frozenset[int]:
        """The requests that are not cleared."""
        return self.requests - self.cleared_requests

    def merge(self, other: Crash) -> Crash:
        """Return what two reports of the same crash say together."""
        return replace(
            self,
            at_ms=min(self.at_ms, other.at_ms),
            suspects=self.suspects | other.suspects,
            familiar=self.familiar | other.familiar,
            cleared=self.cleared | other.cleared,
            requests=self.requests | other.requests,
            cleared_requests=self.cleared_requests | other.cleared_requests,
        )


__all__ = ["Crash"]

"""Limits on the threads of a port that one customer or service holds."""

from __future__ import annotations

from collections import Counter

from mulberrypass.model.value_class import value_class


@value_class
class ThreadShareSettings:
    """Limits for one port of one process.

    :param threads: number of threads of the port
    :param customer_part: fraction of them that one customer may hold
    :param service_part: fraction of them that one service may hold
    :param stream_part: fraction of them that all streams may hold together
    """

    threads: int
    customer_part: float = 0.6
    service_part: float = 0.75
    stream_part: float = 0.5


class ThreadShares:
    """Counts the threads that are held; not thread-safe."""

    def __init__(self, settings: ThreadShareSettings) -> None:
        threads = settings.threads
        self._customer_limit = _part(threads, settings.customer_part)
        self._service_limit = _part(threads, settings.service_part)
        self._stream_limit = _part(threads, settings.stream_part)
        self._customers: Counter[str] = Counter()
        self._services: Counter[str] = Counter()
        self._streams = 0

    def take(self, customer: str, service: str, stream: bool) -> bool:
        """Count a thread as held.

        :returns: ``False``, with nothing counted, at one of the limits
        """
        allowed = (
            self._customers[customer] < self._customer_limit
            and self._services[service] < self._service_limit
            and (not stream or self._streams < self._stream_limit)
        )
        if allowed:
            self._customers[customer] += 1
            self._services[service] += 1
            self._streams += stream
        return allowed

    def give_back(self, customer: str, service: str, stream: bool) -> None:
        """Count a thread as free again."""
        self._customers[customer] -= 1
        self._services[service] -= 1
        self._streams -= stream
        for counts, name in (
            (self._customers, customer),
            (self._services, service),
        ):
            if counts[name] <= 0:
                del counts[name]

    def held(self) -> dict[str, int]:
        """Return the number of threads that each customer holds."""
        return dict(self._customers)


def _part(threads: int, part: float) -> int:
    return max(1, int(threads * part))


__all__ = ["ThreadShareSettings", "ThreadShares"]

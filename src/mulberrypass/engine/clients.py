"""Clients of the backend servers that the configuration names."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, TypeVar

from mulberrypass.engine.model_client import HttpModelEngine
from mulberrypass.engine.plain_client import HttpPlainService

if TYPE_CHECKING:
    import ssl

    from mulberrypass.model.objects import Backend, Configuration


C = TypeVar("C")


class BackendClients:
    """Gives one client for each backend server, by address.

    :param ssl_context: speaks TLS to backend servers where it is given
    """

    def __init__(self, ssl_context: ssl.SSLContext | None = None) -> None:
        self._ssl = ssl_context
        self._lock = threading.Lock()
        self._engines: dict[str, HttpModelEngine] = {}
        self._plain: dict[str, HttpPlainService] = {}

    def engine(self, backend: Backend) -> HttpModelEngine:
        """Give the client of a model engine."""
        with self._lock:
            client = self._engines.get(backend.address)
            if client is None:
                client = HttpModelEngine(backend.address, self._ssl)
                self._engines[backend.address] = client
            return client

    def plain(self, backend: Backend) -> HttpPlainService:
        """Give the client of a server of a plain service."""
        with self._lock:
            client = self._plain.get(backend.address)
            if client is None:
                client = HttpPlainService(backend.address, self._ssl)
                self._plain[backend.address] = client
            return client

    def apply(self, cfg: Configuration) -> None:
        """Drop clients of backend servers that are no longer named.

        Answers that are on their way go on to their end.
        """
        named = {backend.address for backend in cfg.backends.values()}
        with self._lock:
            gone: list[HttpModelEngine | HttpPlainService] = [
                *_drop(self._engines, named),
                *_drop(self._plain, named),
            ]
        for client in gone:
            client.close()

    def close(self) -> None:
        """Close the idle connections of all clients."""
        with self._lock:
            clients: list[HttpModelEngine | HttpPlainService] = [
                *self._engines.values(),
                *self._plain.values(),
            ]
        for client in clients:
            client.close()


def _drop(clients: dict[str, C], named: set[str]) -> list[C]:
    gone = clients.keys() - named
    return [clients.pop(address) for address in gone]


__all__ = ["BackendClients"]

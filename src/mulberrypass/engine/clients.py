"""Clients of the configured backend servers."""

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
    """One client for each backend server, by address.

    :param ssl_context: for TLS to backend servers; ``None`` for plain HTTP
    """

    def __init__(self, ssl_context: ssl.SSLContext | None = None) -> None:
        self._ssl = ssl_context
        self._lock = threading.Lock()
        self._engines: dict[str, HttpModelEngine] = {}
        self._plain: dict[str, HttpPlainService] = {}

    def engine(self, backend: Backend) -> HttpModelEngine:
        """Return the client of a model engine."""
        with self._lock:
            client = self._engines.get(backend.address)
            if client is None:
                client = HttpModelEngine(backend.address, self._ssl)
                self._engines[backend.address] = client
            return client

    def plain(self, backend: Backend) -> HttpPlainService:
        """Return the client of a server of a plain service."""
        with self._lock:
            client = self._plain.get(backend.address)
            if client is None:
                client = HttpPlainService(backend.address, self._ssl)
                self._plain[backend.address] = client
            return client

    def apply(self, cfg: Configuration) -> None:
        """Drop the clients of backend servers no longer configured.

        Calls in flight complete.
        """
        configured = {backend.address for backend in cfg.backends.values()}
        with self._lock:
            removed: list[HttpModelEngine | HttpPlainService] = [
                *_drop(self._engines, configured),
                *_drop(self._plain, configured),
            ]
        for client in removed:
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


def _drop(clients: dict[str, C], configured: set[str]) -> list[C]:
    removed = clients.keys() - configured
    return [clients.pop(address) for address in removed]


__all__ = ["BackendClients"]

"""Addresses of the instances, as callers resolve them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from mulberrypass.platform.stand_in.caller import CallFailedError, SiteCaller

if TYPE_CHECKING:
    from collections.abc import Sequence
    import random

    from mulberrypass.soak.cluster import Instance

RESOLVE_TIMEOUT_S = 1.0
ADDRESS_TTL_S = 1.5


class AddressCache:
    """Resolves instances and caches the result for ``ADDRESS_TTL_S``."""

    def __init__(
        self, instances: Sequence[Instance], rng: random.Random
    ) -> None:
        self._instances = instances
        self._rng = rng
        self._numbers: tuple[int, ...] = ()
        self._expires_at = 0.0

    def choose(self) -> Instance:
        """Choose a random resolved instance; any instance if none is known."""
        now = time.monotonic()
        if now >= self._expires_at:
            self._numbers = self._resolve() or self._numbers
            self._expires_at = now + ADDRESS_TTL_S
        numbers = self._numbers or tuple(range(len(self._instances)))
        return self._instances[self._rng.choice(numbers)]

    def _resolve(self) -> tuple[int, ...]:
        instances = self._instances
        for instance in self._rng.sample(list(instances), len(instances)):
            caller = SiteCaller(instance.directory, RESOLVE_TIMEOUT_S)
            try:
                found = caller.resolve("zone-0")
            except CallFailedError:
                continue
            finally:
                caller.close()
            hosts = {address.rpartition(":")[0] for address in found}
            return tuple(i.number for i in instances if i.address in hosts)
        return ()


__all__ = ["AddressCache"]

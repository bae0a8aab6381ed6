"""Logs what enters or leaves quarantine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypass.relay.api import digest_name, part_names
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Mapping

    from mulberrypass.policy.health.quarantine import Quarantine
    from mulberrypass.policy.health.requests import CrashingRequest

LOG = get_logger(__name__)

# A part or a request of a service.
Key = tuple[str, int]


class QuarantineLog:
    """Logs a line for each crash more that counts. Not thread-safe."""

    def __init__(self) -> None:
        self._parts: dict[Key, int] = {}
        self._requests: dict[Key, int] = {}

    def note(
        self,
        parts: Mapping[Key, Quarantine],
        requests: Mapping[Key, CrashingRequest],
        now: float,
    ) -> None:
        """Log what has changed since the last call.

        :param now: monotonic time
        """
        for (service, request), crashing in requests.items():
            crashes = len(crashing.engines)
            if crashes > self._requests.get((service, request), 0):
                LOG.warning(
                    "request quarantined",
                    service=service,
                    request=digest_name(request),
                    engines=crashing.engines,
                    trial_in_s=round(crashing.trial_at - now, 1),
                )
        for service, request in self._requests.keys() - requests.keys():
            LOG.info(
                "request released from quarantine",
                service=service,
                request=digest_name(request),
            )
        for (service, part), held in parts.items():
            if len(held.engines) > self._parts.get((service, part), 0):
                LOG.warning(
                    "part quarantined",
                    service=service,
                    part=part_names((part,))[0],
                    engines=held.engines,
                    trial_in_s=round(held.trial_in_s, 1),
                )
        for service, part in self._parts.keys() - parts.keys():
            LOG.info(
                "part released from quarantine",
                service=service,
                part=part_names((part,))[0],
            )
        self._parts = {key: len(held.engines) for key, held in parts.items()}
        self._requests = {
            key: len(held.engines) for key, held in requests.items()
        }


__all__ = ["QuarantineLog"]

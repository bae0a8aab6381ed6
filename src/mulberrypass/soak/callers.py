"""Callers of a soak run, one thread each, and the online ones."""

from __future__ import annotations

import random
import threading
import time
from typing import TYPE_CHECKING

from mulberrypass.platform.site import HostPort
from mulberrypass.platform.stand_in.caller import (
    CallFailedError,
    CallResult,
    SiteCaller,
)
from mulberrypass.platform.stand_in.site import (
    ONCE_PATH,
    ONLINE_HOST,
    RESUMABLE_PATH,
)
from mulberrypass.soak.addresses import AddressCache
from mulberrypass.soak.batch_callers import REQUEST_TIMEOUT_S, BatchCaller
from mulberrypass.soak.customers import (
    HOT,
    Customers,
    Identity,
)
from mulberrypass.soak.records import AttemptRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from mulberrypass.soak.cluster import Instance
    from mulberrypass.soak.records import SoakRecords

REQUEST_INTERVAL_S = 0.12
# Rhythms of the callers that keep to one connection, from nearly always busy
# to idle for most of a stop.
KEPT_INTERVALS_S = (0.02, 0.4, 1.3, 2.9)
# In a hot moment about 30 requests per second beside the usual 8; the limit
# is 9.
HOT_CALLERS = 6
HOT_INTERVAL_S = 0.05
UNAUTHORIZED = 401


class Callers:
    """Starts the callers; holds the instances, records and stop events."""

    def __init__(
        self,
        instances: Sequence[Instance],
        records: SoakRecords,
        seed: int,
        customers: Customers | None = None,
    ) -> None:
        self.instances = instances
        self.records = records
        self.seed = seed
        self.customers = customers
        self.stop_online = threading.Event()
        self.stop_batch = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self, online: int, batch: int) -> None:
        """Start the given numbers of online and batch callers."""
        for number in range(online):
            self._start(_OnlineCaller(self, number).run)
        for number in range(len(KEPT_INTERVALS_S)):
            self._start(_KeptCaller(self, number).run)
        for number in range(batch):
            self._start(BatchCaller(self, number).run)
        if self.customers is not None:
            for number in range(HOT_CALLERS):
                self._start(_HotCaller(self, number, self.customers).run)

    def customer_of(self, number: int) -> str:
        """Return the customer of a caller; empty for none."""
        names = self.customers.names if self.customers else ("",)
        return names[number % len(names)]

    def join(self) -> None:
        """Wait for all caller threads to end."""
        for thread in self._threads:
            thread.join()

    def _start(self, target: Callable[[], None]) -> None:
        thread = threading.Thread(target=target, daemon=True)
        self._threads.append(thread)
        thread.start()


class _OnlineCaller:
    """Sends requests one at a time over persistent connections."""

    def __init__(self, callers: Callers, number: int) -> None:
        self._callers = callers
        self._number = number
        self._rng = random.Random(f"{callers.seed}-online-{number}")
        self._addresses = AddressCache(callers.instances, self._rng)
        self._connections: dict[int, SiteCaller] = {}

    def run(self) -> None:
        """Send requests until ``stop_online`` is set."""
        count = 0
        while not self._callers.stop_online.wait(REQUEST_INTERVAL_S):
            count += 1
            self._send(f"o{self._number}-{count}")
        for caller in self._connections.values():
            caller.close()

    def _send(self, request_id: str) -> None:
        self._send_to(self._addresses.choose(), request_id)

    def _send_to(self, instance: Instance, request_id: str) -> None:
        caller = self._connections.pop(instance.number, None)
        if caller is None:
            at = HostPort(instance.front.host, instance.front.port)
            caller = SiteCaller(at, REQUEST_TIMEOUT_S)
        resumable = self._rng.random() < 0.5
        path = RESUMABLE_PATH if resumable else ONCE_PATH
        identity = self._identity()
        caller.identify(identity.key, identity.claimed)
        began = time.monotonic()
        answer = CallResult(0, b"", False, True)
        reason = ""
        try:
            answer = caller.request(ONLINE_HOST, path, request_id)
        except CallFailedError as exc:
            reason = str(exc)
        if answer.will_close:
            caller.close()
        else:
            self._connections[instance.number] = caller
        self._callers.records.add_attempt(
            AttemptRecord(
                request_id,
                instance.number,
                began,
                time.monotonic(),
                answer.status,
                answer.body,
                answer.stamped,
                resumable,
                reason,
                identity.customer,
                identity.held,
            )
        )
        self._answered(answer.status)

    def _identity(self) -> Identity:
        customers = self._callers.customers
        if customers is None:
            return Identity()
        return customers.draw(
            self._callers.customer_of(self._number), self._rng
        )

    def _answered(self, status: int) -> None:
        """Take note of the status of an answer."""


class _HotCaller(_OnlineCaller):
    """Sends without a pause in hot moments."""

    def __init__(
        self, callers: Callers, number: int, customers: Customers
    ) -> None:
        super().__init__(callers, number)
        self._customers = customers
        self._rng = random.Random(f"{callers.seed}-hot-{number}")

    def run(self) -> None:
        """Send requests in hot moments until ``stop_online`` is set."""
        count = 0
        while not self._callers.stop_online.wait(HOT_INTERVAL_S):
            if self._customers.hot.is_set():
                count += 1
                self._send(f"h{self._number}-{count}")
        for caller in self._connections.values():
            caller.close()

    def _identity(self) -> Identity:
        return self._customers.identity(HOT, self._rng)


class _KeptCaller(_OnlineCaller):
    """Keeps to one connection, listed or not, until it is closed.

    Keeps to its key until that is refused, so that keys are withdrawn on
    connections that are kept open.
    """

    def __init__(self, callers: Callers, number: int) -> None:
        super().__init__(callers, number)
        self._kept: Identity | None = None

    def _identity(self) -> Identity:
        customers = self._callers.customers
        if self._kept is None and customers is not None:
            # The busiest of them isn't of the customer with hot moments.
            customer = self._callers.customer_of(self._number + 1)
            self._kept = customers.identity(customer, self._rng)
        return self._kept or Identity()

    def _answered(self, status: int) -> None:
        if status == UNAUTHORIZED:
            self._kept = None

    def run(self) -> None:
        """Send requests in its rhythm until ``stop_online`` is set."""
        interval_s = KEPT_INTERVALS_S[self._number]
        count = 0
        while not self._callers.stop_online.wait(interval_s):
            count += 1
            kept = next(iter(self._connections), None)
            instance = (
                self._addresses.choose()
                if kept is None
                else self._callers.instances[kept]
            )
            self._send_to(instance, f"k{self._number}-{count}")
        for caller in self._connections.values():
            caller.close()


__all__ = ["Callers"]

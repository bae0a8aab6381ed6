"""Customers of a run and their keys, drawn from its seed."""

from __future__ import annotations

import random
import threading
from typing import Any

from mulberrypass.model.value_class import value_class
from mulberrypass.platform.stand_in.site import KEY_PREFIX

CUSTOMERS_PROBABILITY = 0.7
REPEATS_PROBABILITY = 0.5
UNEVEN_PROBABILITY = 0.7
MOVES_PROBABILITY = 0.5
KEYS_PER_CUSTOMER = 2
# The first is the hot one: its callers send several times its rate in a hot
# moment. The last has no limit.
RATES = ((9.0, 6.0), (6.0, 4.0), (0.0, 0.0))
HOT = "customer-0"
UNKNOWN_PROBABILITY = 0.06
CLAIM_PROBABILITY = 0.2


@value_class
class Identity:
    """What a caller sends about itself, and who it is.

    :param customer: holder of the key; empty if it has none
    :param held: whether any configuration ever held the key
    :param claimed: name of a customer that it claims to be
    """

    key: str = ""
    customer: str = ""
    held: bool = True
    claimed: str = ""


class Customers:
    """Customers whose keys change with each version. Thread-safe.

    :param hot: set while a customer sends several times its usual rate
    """

    def __init__(self, seed: int) -> None:
        self.hot = threading.Event()
        self._rng = random.Random(f"{seed}-keys")
        self._lock = threading.Lock()
        self._count = 0
        self._keys: dict[str, list[str]] = {
            f"customer-{number}": [
                self._new_key() for _ in range(KEYS_PER_CUSTOMER)
            ]
            for number in range(len(RATES))
        }

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all customers."""
        return tuple(self._keys)

    @property
    def limits(self) -> dict[str, tuple[float, float]]:
        """Rate and burst of each customer with a limit."""
        pairs = zip(self._keys, RATES, strict=True)
        return {name: limit for name, limit in pairs if limit[0]}

    def rotate(self) -> None:
        """Withdraw the oldest key of a customer and add a new one."""
        with self._lock:
            keys = self._keys[self._rng.choice(list(self._keys))]
            keys.append(self._new_key())
            del keys[0]

    def documents(self) -> list[dict[str, Any]]:
        """Return the entries of the desired state."""
        with self._lock:
            return [
                {
                    "Name": name,
                    "ApiKeys": list(keys),
                    "Priority": number,
                    "RatePerS": rate_per_s,
                    "Burst": burst,
                }
                for number, ((name, keys), (rate_per_s, burst)) in enumerate(
                    zip(self._keys.items(), RATES, strict=True)
                )
            ]

    def identity(self, name: str, rng: random.Random) -> Identity:
        """Return a customer with any of its present keys."""
        with self._lock:
            return Identity(rng.choice(self._keys[name]), name)

    def other(self, name: str, rng: random.Random) -> Identity:
        """Return another customer with any of its present keys."""
        others = [other for other in self.names if other != name]
        return self.identity(rng.choice(others), rng)

    def draw(self, name: str, rng: random.Random) -> Identity:
        """Return a customer, which at times claims to be another.

        At times the key is missing, or one that no configuration ever held.
        """
        if rng.random() < UNKNOWN_PROBABILITY:
            key = rng.choice(("", unknown_key(rng)))
            return Identity(key, held=False, claimed=name)
        identity = self.identity(name, rng)
        if rng.random() < CLAIM_PROBABILITY:
            claimed = self.other(name, rng).customer
            return Identity(identity.key, name, claimed=claimed)
        return identity

    def _new_key(self) -> str:
        self._count += 1
        return f"{KEY_PREFIX}{self._count}-{self._rng.getrandbits(64):x}"


@value_class
class Setup:
    """What a run has besides its faults.

    :param customers: ``None`` for a run without customers
    :param repeats: whether slow requests may run a second time
    :param uneven: whether engines differ in speed
    :param moves: whether the routes move between two services, whose engines
        send answers without framing at first
    """

    customers: Customers | None = None
    repeats: bool = False
    uneven: bool = False
    moves: bool = False


def draw_setup(seed: int) -> Setup:
    """Draw the setup of a run from its seed."""
    rng = random.Random(f"{seed}-setup")
    with_customers = rng.random() < CUSTOMERS_PROBABILITY
    return Setup(
        Customers(seed) if with_customers else None,
        rng.random() < REPEATS_PROBABILITY,
        rng.random() < UNEVEN_PROBABILITY,
        rng.random() < MOVES_PROBABILITY,
    )


def unknown_key(rng: random.Random) -> str:
    """Return a key that no configuration ever holds."""
    return f"{KEY_PREFIX}unknown-{rng.getrandbits(64):x}"


__all__ = [
    "HOT",
    "Customers",
    "Identity",
    "Setup",
    "draw_setup",
    "unknown_key",
]

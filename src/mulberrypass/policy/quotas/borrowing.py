"""Tokens that an instance borrows ahead for a customer's next requests.

Addresses a customer whose requests come to one instance in quick succession:
asking for each one would take a message and some ms each time.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypass.policy.quotas.messages import QuotaSettings

# Below this number of requests in the time for which tokens are valid, most
# tokens borrowed ahead would lapse, at the cost of the customer's limit.
MIN_USES = 2


class BorrowedTokens:
    """Tokens that this instance has borrowed, and the use of each customer."""

    def __init__(self, settings: QuotaSettings) -> None:
        self._valid_s = settings.valid_s
        self._uses: dict[str, deque[float]] = {}
        self._tokens: dict[str, deque[float]] = {}

    def use(self, customer: str, now: float) -> bool:
        """Count a request; return whether a borrowed token is used for it."""
        self._uses.setdefault(customer, deque()).append(now)
        tokens = self._tokens.get(customer)
        while tokens:
            expires_at = tokens.popleft()
            if expires_at >= now:
                return True
        return False

    def ahead(self, customer: str, waiting: int, now: float) -> int:
        """Return how many tokens to borrow ahead.

        :param waiting: requests that are counted but have no token yet
        """
        uses = self._uses.get(customer, deque())
        self._forget(uses, now - self._valid_s)
        used = len(uses) - waiting
        return used if used >= MIN_USES else 0

    def add(self, customer: str, tokens: int, asked_at: float) -> None:
        """Store borrowed tokens.

        :param asked_at: time at which they were asked for, since when they
            may have been lent
        """
        expires_at = asked_at + self._valid_s
        queue = self._tokens.setdefault(customer, deque())
        queue.extend([expires_at] * tokens)

    def tick(self, now: float) -> None:
        """Drop what has lapsed."""
        for customer, uses in tuple(self._uses.items()):
            self._forget(uses, now - self._valid_s)
            if not uses:
                del self._uses[customer]
        for customer, tokens in tuple(self._tokens.items()):
            self._forget(tokens, now)
            if not tokens:
                del self._tokens[customer]

    def drop(self, customer: str) -> None:
        """Drop the state of a customer that has no limit."""
        self._uses.pop(customer, None)
        self._tokens.pop(customer, None)

    def customers(self) -> tuple[str, ...]:
        """Return the customers that have tokens or recent requests."""
        return tuple({**self._uses, **self._tokens})

    def state(self) -> dict[str, int]:
        """Return the number of tokens of each customer."""
        return {name: len(tokens) for name, tokens in self._tokens.items()}

    @staticmethod
    def _forget(times: deque[float], before: float) -> None:
        while times and times[0] < before:
            times.popleft()


__all__ = ["BorrowedTokens"]

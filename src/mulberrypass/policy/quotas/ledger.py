"""Token buckets of the customers that an instance decides on.

Addresses customers that send more than their limit, spread over all
instances, while owners of limits are lost, paused or cut off.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
import math
from typing import TYPE_CHECKING, Any

from mulberrypass.policy.quotas.messages import Lent, LostOwnership, Role
from mulberrypass.policy.quotas.shares import (
    BucketSize,
    bucket_size,
    deputy_tokens,
    start_tokens,
)

if TYPE_CHECKING:
    from mulberrypass.policy.quotas.fleet import QuotaFleet
    from mulberrypass.policy.quotas.messages import (
        Limit,
        QuotaSettings,
        Want,
    )

# Tokens ahead are at most this share of a bucket's level, so that they don't
# use up a limit that others need now.
AHEAD_SHARE = 1 / 8
# The level is a sum of products, which may miss a whole token by rounding.
EPSILON = 1e-9


@dataclass(slots=True)
class _Bucket:
    """The tokens of one customer.

    :ivar since: since when this instance is the owner
    :ivar lent: by holder, without what was returned
    :ivar recent: times and numbers of tokens lent within the last window
    """

    since: float
    size: BucketSize
    tokens: float
    at: float
    lent: Counter[str] = field(default_factory=Counter)
    recent: deque[tuple[float, int]] = field(default_factory=deque)

    def fill(self, now: float) -> None:
        """Add the tokens of the time that has passed."""
        passed_s = max(0.0, now - self.at)
        tokens = self.tokens + self.size.rate_per_s * passed_s
        self.tokens = min(self.size.capacity, tokens)
        self.at = now

    def resize(self, size: BucketSize) -> None:
        """Change the rate and the capacity, adding no tokens."""
        self.size = size
        self.tokens = min(self.tokens, size.capacity)


class QuotaLedger:
    """Lends tokens as the owner or the deputy of customers' limits."""

    def __init__(self, fleet: QuotaFleet, settings: QuotaSettings) -> None:
        self._fleet = fleet
        self._settings = settings
        self._buckets: dict[str, _Bucket] = {}
        self._by_deputy: dict[str, deque[tuple[float, int]]] = {}
        self._started: dict[str, float] = {}
        self._ticked_at: float | None = None
        self._changes = fleet.changes
        self.counts: Counter[str] = Counter()

    def tick(self, now: float) -> tuple[LostOwnership, ...]:
        """Note that the event loop runs; call it several times a second.

        :returns: the customers lost to other owners while in use
        """
        self._note_pause(now)
        self._ticked_at = now
        self._fleet.forget_newcomers(now)
        lost = self._drop_lost(now)
        for customer, bucket in tuple(self._buckets.items()):
            _forget(bucket.recent, now - self._settings.window_s)
            bucket.fill(now)
            # A full bucket without use is the same as none.
            if not bucket.recent and bucket.tokens >= bucket.size.capacity:
                del self._buckets[customer]
        for customer, recent in tuple(self._by_deputy.items()):
            _forget(recent, now - self._settings.window_s)
            if not recent:
                del self._by_deputy[customer]
        before = now - self._settings.window_s
        for customer, at in tuple(self._started.items()):
            if at < before:
                del self._started[customer]
        return lost

    def lend(self, want: Want, limit: Limit, now: float) -> Lent:
        """Lend tokens, as many as the limit has room for."""
        self._note_pause(now)
        role, since = self._fleet.role(want.customer, now)
        match role:
            case Role.OWNER:
                lent = self._lend_as_owner(want, limit, since, now)
            case Role.DEPUTY:
                lent = self._lend_as_deputy(want, limit, since, now)
            case Role.NONE:
                return Lent(Role.NONE)
        self.counts["lent"] += lent.granted
        self.counts["refused"] += max(0, want.tokens - lent.granted)
        return lent

    def give_back(
        self, customer: str, holder: str, tokens: int, now: float
    ) -> int:
        """Take back tokens that the holder hasn't used.

        :returns: how many are taken, at most what the holder was lent
        """
        self._note_pause(now)
        bucket = self._buckets.get(customer)
        role, since = self._fleet.role(customer, now)
        if bucket is None or role is not Role.OWNER or since > bucket.since:
            return 0
        bucket.fill(now)
        taken = min(tokens, bucket.lent[holder])
        bucket.lent[holder] -= taken
        bucket.tokens = min(bucket.size.capacity, bucket.tokens + taken)
        self.counts["returned"] += taken
        return taken

    def drop(self, customer: str) -> None:
        """Drop the state of a customer that has no limit."""
        self._buckets.pop(customer, None)
        self._by_deputy.pop(customer, None)

    def customers(self) -> tuple[str, ...]:
        """Return the customers that have a bucket here."""
        return tuple(self._buckets)

    def state(self, now: float) -> dict[str, Any]:
        """Return the buckets for a dump."""
        for bucket in self._buckets.values():
            bucket.fill(now)
        return {
            "share": self._fleet.share,
            "counts": dict(self.counts),
            "buckets": {
                customer: {
                    "tokens": round(bucket.tokens, 3),
                    "capacity": bucket.size.capacity,
                    "rate_per_s": bucket.size.rate_per_s,
                    "owner_for_s": round(now - bucket.since, 3),
                    "lent_in_window": sum(n for _at, n in bucket.recent),
                }
                for customer, bucket in self._buckets.items()
            },
            "lent_as_deputy": {
                customer: sum(n for _at, n in recent)
                for customer, recent in self._by_deputy.items()
            },
        }

    def _note_pause(self, now: float) -> None:
        """Empty all buckets if the event loop has stood still."""
        if self._ticked_at is None:
            return
        if now - self._ticked_at >= self._settings.pause_s:
            self._fleet.restart(now)
            self._buckets.clear()
            self._ticked_at = now
            self.counts["pauses"] += 1

    def _drop_lost(self, now: float) -> tuple[LostOwnership, ...]:
        if self._changes == self._fleet.changes:
            return ()
        self._changes = self._fleet.changes
        lost = []
        for customer, bucket in tuple(self._buckets.items()):
            role, since = self._fleet.role(customer, now)
            if role is Role.OWNER and since <= bucket.since:
                continue
            del self._buckets[customer]
            _forget(bucket.recent, now - self._settings.window_s)
            in_use = sum(n for _at, n in bucket.recent)
            if in_use:
                lost.append(LostOwnership(customer, in_use))
        return tuple(lost)

    def _bucket(
        self, customer: str, limit: Limit, since: float, now: float
    ) -> _Bucket:
        size = bucket_size(limit, self._fleet.share, self._settings)
        bucket = self._buckets.get(customer)
        if bucket is None or since > bucket.since:
            bucket = self._new_bucket(customer, limit, since, now)
            self._buckets[customer] = bucket
        bucket.fill(now)
        bucket.resize(size)
        return bucket

    def _new_bucket(
        self, customer: str, limit: Limit, since: float, now: float
    ) -> _Bucket:
        """Return the bucket of an owner that has lent nothing so far.

        A new owner doesn't know what the former one has lent, so its bucket
        has next to nothing when it becomes the owner, and nothing if that was
        so within this window before. From then on it has filled, at the rate
        and up to the capacity that each share allowed.
        """
        shares = tuple(self._fleet.share_history)
        empty_at = max(since, shares[0][0])
        bucket = _Bucket(since, BucketSize(0.0, 0.0), 0.0, empty_at)
        for number, (at, share) in enumerate(shares):
            bucket.fill(max(at, empty_at))
            size = bucket_size(limit, share, self._settings)
            bucket.resize(size)
            if not number and customer not in self._started:
                tokens = start_tokens(limit, share, self._settings)
                bucket.tokens = min(size.capacity, tokens)
        self._started[customer] = now
        bucket.fill(now)
        return bucket

    def _lend_as_owner(
        self, want: Want, limit: Limit, since: float, now: float
    ) -> Lent:
        bucket = self._bucket(want.customer, limit, since, now)
        level = bucket.tokens + EPSILON
        granted = min(want.tokens, math.floor(level))
        retry_after_s = 0.0
        if granted < want.tokens:
            retry_after_s = self._wait_s(bucket, bucket.tokens - granted)
        else:
            ahead = min(want.ahead, math.floor(level * AHEAD_SHARE))
            granted += min(ahead, math.floor(level - granted))
        if granted:
            bucket.tokens = max(0.0, bucket.tokens - granted)
            bucket.lent[want.holder] += granted
            bucket.recent.append((now, granted))
        return Lent(Role.OWNER, granted, retry_after_s)

    def _wait_s(self, bucket: _Bucket, level: float) -> float:
        """Return the time until a bucket has a token."""
        rate = bucket.size.rate_per_s
        if rate <= 0 or bucket.size.capacity < 1:
            return self._settings.window_s
        return max(0.0, 1.0 - level) / rate

    def _lend_as_deputy(
        self, want: Want, limit: Limit, since: float, now: float
    ) -> Lent:
        window_s = self._settings.window_s
        recent = self._by_deputy.setdefault(want.customer, deque())
        _forget(recent, now - window_s)
        allowed = deputy_tokens(
            limit, self._fleet.share, now - since, self._settings
        )
        left = max(0, allowed - sum(n for _at, n in recent))
        granted = min(want.tokens, left)
        if granted:
            recent.append((now, granted))
        retry_after_s = 0.0
        if granted < want.tokens:
            retry_after_s = self._settings.settle_s
        return Lent(Role.DEPUTY, granted, retry_after_s)


def _forget(recent: deque[tuple[float, int]], before: float) -> None:
    while recent and recent[0][0] < before:
        recent.popleft()


__all__ = ["QuotaLedger"]

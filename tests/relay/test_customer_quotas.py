"""Tests of limits that several instances keep, over real datagrams."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import socket
import time
from typing import TYPE_CHECKING
import unittest

from mulberrypass.engine.wire import Deadline
from mulberrypass.model.member import Member
from mulberrypass.model.routes import RelayCustomer, RouteTable
from mulberrypass.peer.datagrams import (
    HEADER,
    DatagramHandler,
    HeartbeatDatagrams,
    Kind,
)
from mulberrypass.peer.loop import LoopThread
from mulberrypass.policy.quotas.messages import QuotaSettings
from mulberrypass.relay.customer_quotas import PeerQuotas
from mulberrypass.relay.quota_lender import QuotaMembership
from mulberrypass.relay.quotas import (
    Exceeded,
    QuotaAnswer,
    Taken,
    Undecided,
)
from tests.known_red import known_red
from tests.policy.quotas.cases import ranked
from tests.quiet import captured_logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypass.peer.peer_pb2 import HeartbeatReply, HeartbeatRequest

ADDRESSES = tuple(f"127.0.15.{number}" for number in range(1, 5))
NAMES = tuple(f"entry@{address}" for address in ADDRESSES)
KEY = "peer-key"
CUSTOMER = RelayCustomer("acme", rate_per_s=0.01, burst=5.0)
# The burst, and a quarter of the slack of 20.
BUCKET = 10
# A fifth of the slack.
DEPUTY_ALLOWANCE = 4
OWNER, DEPUTY, THIRD, FOURTH = ranked(NAMES)
# Replies on the loopback come within a few ms, also on a busy machine.
IN_TIME_S = 0.12
WAIT_S = 10.0
# Time that passes before each test, in which buckets become full.
AGE_S = 1_000.0
# Ages don't count as pauses.
SETTINGS = QuotaSettings(pause_s=1e9, slack=20.0)


class _NoHeartbeats(DatagramHandler):
    """Answers no heartbeats."""

    def answer(self, _req: HeartbeatRequest) -> HeartbeatReply | None:
        return None


class _LossyDatagrams(HeartbeatDatagrams):
    """Loses the next datagrams of some kinds that it receives."""

    def __init__(self) -> None:
        super().__init__(KEY, _NoHeartbeats())
        self.lost: dict[Kind, int] = {}
        self.received: list[tuple[int, int]] = []

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        kind, call_id = HEADER.unpack_from(data)
        self.received.append((kind, call_id))
        if self.lost.get(kind, 0):
            self.lost[kind] -= 1
            return
        super().datagram_received(data, addr)


class _Members(QuotaMembership):
    """Members as a test sets them."""

    def __init__(self) -> None:
        self.names: tuple[str, ...] = NAMES
        self.is_read = True
        self._changed: Callable[[], None] = lambda: None

    def live(self) -> tuple[Member, ...]:
        return tuple(
            Member(name, "entry", "z", name.removeprefix("entry@"), 1)
            for name in self.names
        )

    def members(self) -> tuple[Member, ...]:
        return self.live()

    def listed(self) -> frozenset[str] | None:
        return frozenset(NAMES) if self.is_read else None

    def subscribe(self, changed: Callable[[], None]) -> None:
        self._changed = changed

    def see(self, *names: str) -> None:
        """Set the live members."""
        self.names = names
        self._changed()


class _Instance:
    """One instance with its socket."""

    def __init__(
        self, case: QuotaCase, name: str, port: int, is_read: bool = True
    ) -> None:
        self._case = case
        self.port = port
        self.members = _Members()
        self.members.is_read = is_read
        self.table: RouteTable | None = None
        self.datagrams = _LossyDatagrams()
        self.quotas = PeerQuotas(
            name,
            case.loop,
            self.members,
            self.datagrams,
            lambda: self.table or case.table,
            port,
            SETTINGS,
            case.clock,
        )
        address = name.removeprefix("entry@")
        opened = self.datagrams.start(address, port)
        case.loop.submit(opened).result(WAIT_S)
        self.quotas.start()
        self.members.see(*NAMES)

    def take(self, customer: RelayCustomer = CUSTOMER) -> QuotaAnswer:
        deadline = Deadline(self._case.clock() + WAIT_S)
        return self.quotas.take(customer, deadline)

    def close(self) -> None:
        """Close the socket, as if the instance were lost or cut off."""
        self._case.on_loop(self.datagrams.close)

    def count(self, name: str) -> int:
        return self.quotas.counts().get(name, 0)


class QuotaCase(unittest.TestCase):
    """Four instances that have known each other for long."""

    def setUp(self) -> None:
        self.offset_s = 0.0
        self.table = RouteTable(1, customers={CUSTOMER.name: CUSTOMER})
        self.loop = LoopThread()
        self.loop.start()
        with socket.create_server((ADDRESSES[0], 0)) as free:
            port = free.getsockname()[1]
        found = {name: _Instance(self, name, port) for name in NAMES}
        self.instances = found
        self.owner, self.deputy = found[OWNER], found[DEPUTY]
        self.holder, self.other = found[THIRD], found[FOURTH]
        self.addCleanup(self.stop)
        self.offset_s = AGE_S

    def stop(self) -> None:
        for instance in self.instances.values():
            instance.quotas.stop()
            instance.close()
        self.loop.stop()
        self.loop.loop.close()

    def clock(self) -> float:
        return time.monotonic() + self.offset_s

    def on_loop(self, function: Callable[[], object]) -> None:
        async def call() -> None:
            function()

        self.loop.submit(call()).result(WAIT_S)

    def wait_for(self, holds: Callable[[], bool]) -> None:
        until = time.monotonic() + WAIT_S
        while not holds():
            self.assertLess(time.monotonic(), until)
            time.sleep(0.01)


class LimitExceededTest(QuotaCase):
    """Instances let more requests pass together than the limit."""

    def test_sum_over_all_instances(self) -> None:
        answers = [
            instance.take()
            for _round in range(4)
            for instance in self.instances.values()
        ]
        self.assertEqual([Taken()] * BUCKET, answers[:BUCKET])
        for answer in answers[BUCKET:]:
            assert isinstance(answer, Exceeded)
            self.assertLess(answer.retry_after_s, 100)
            self.assertGreater(answer.retry_after_s, 80)

    def test_lost_request_is_lent_once(self) -> None:
        self.owner.datagrams.lost[Kind.QUOTA_REQUEST] = 1
        self.assertEqual(Taken(), self.holder.take())
        self.assertEqual(1, self.owner.count("lent"))

    def test_lost_reply_is_lent_once_under_the_same_call_id(self) -> None:
        self.holder.datagrams.lost[Kind.QUOTA_REPLY] = 1
        self.assertEqual(Taken(), self.holder.take())
        self.assertEqual(1, self.owner.count("lent"))
        received = self.owner.datagrams.received
        self.assertEqual(2, len(received))
        self.assertEqual(1, len(set(received)))

    def test_removed_limit_ends_at_its_owner(self) -> None:
        self.assertEqual(Taken(), self.holder.take())
        self.table = RouteTable(2, customers={})
        self.wait_for(lambda: not self.owner.quotas.state()["buckets"])
        self.assertEqual(Taken(), self.holder.take())

    def test_owner_with_an_older_version_lends_nothing(self) -> None:
        new = RelayCustomer("new", rate_per_s=5.0, burst=5.0)
        newer = RouteTable(2, customers={CUSTOMER.name: CUSTOMER, "new": new})
        owner, _deputy, asking, _fourth = ranked(NAMES, "new")
        self.instances[asking].table = newer
        self.assertIsInstance(self.instances[asking].take(new), Undecided)
        self.instances[owner].table = newer
        self.assertEqual(Taken(), self.instances[asking].take(new))


class RefusedWithinLimitTest(QuotaCase):
    """Requests within the limit are refused though tokens are left."""

    def test_returned_token_may_be_lent_again(self) -> None:
        for _request in range(BUCKET):
            self.assertEqual(Taken(), self.holder.take())
        self.holder.quotas.give_back(CUSTOMER.name)
        self.wait_for(lambda: self.owner.count("returned") == 1)
        self.assertEqual(Taken(), self.other.take())
        self.assertIsInstance(self.other.take(), Exceeded)

    def test_owner_returns_its_own_token(self) -> None:
        for _request in range(BUCKET):
            self.assertEqual(Taken(), self.owner.take())
        self.owner.quotas.give_back(CUSTOMER.name)
        self.assertEqual(Taken(), self.owner.take())

    def test_owner_is_lost(self) -> None:
        self.owner.close()
        started = time.monotonic()
        self.assertEqual(Taken(), self.holder.take())
        self.assertGreater(time.monotonic() - started, 0.11)
        self.assertEqual(1, self.holder.count("deputy_calls"))
        # The silent owner isn't waited for again.
        started = time.monotonic()
        self.assertEqual(Taken(), self.holder.take())
        self.assertLess(time.monotonic() - started, IN_TIME_S)

    def test_deputy_asks_itself(self) -> None:
        self.owner.close()
        self.assertEqual(Taken(), self.deputy.take())

    def test_deputy_lends_its_allowance_only(self) -> None:
        self.owner.close()
        answers = [self.holder.take() for _request in range(10)]
        passed = answers[:DEPUTY_ALLOWANCE]
        self.assertEqual([Taken()] * DEPUTY_ALLOWANCE, passed)
        self.assertIsInstance(answers[DEPUTY_ALLOWANCE], Undecided)

    def test_next_in_the_ranking_becomes_the_owner(self) -> None:
        self.owner.close()
        rest = [name for name in NAMES if name != OWNER]
        for instance in self.instances.values():
            instance.members.see(*rest)
        self.offset_s += 1_000
        self.assertEqual(Taken(), self.holder.take())
        self.assertEqual(0, self.holder.count("deputy_calls"))
        self.assertEqual(Taken(), self.deputy.take())


class UnexplainedRefusalTest(QuotaCase):
    """An operator can't see why requests within the limit were refused."""

    def test_change_of_the_owner_is_logged_by_the_former_one(self) -> None:
        with captured_logs() as lines:
            self.assertEqual(Taken(), self.holder.take())
            rest = [name for name in NAMES if name != OWNER]
            # Another instance ranks above it now, as after its return.
            self.on_loop(lambda: self.deputy.members.see(*rest))
            self.offset_s += AGE_S
            self.assertEqual(Taken(), self.deputy.take())
            self.on_loop(lambda: self.deputy.members.see(*NAMES))
            self.wait_for(lambda: bool(lines))
        expected = {
            "event": "owner of a limit changed",
            "customer": CUSTOMER.name,
            "lent": 1,
            "owner": OWNER,
        }
        self.assertEqual(lines[0], {**lines[0], **expected})

    def test_state_names_the_use_of_the_limit(self) -> None:
        for _request in range(2):
            self.assertEqual(Taken(), self.holder.take())
        bucket = self.owner.quotas.state()["buckets"][CUSTOMER.name]
        self.assertAlmostEqual(BUCKET, bucket["capacity"], delta=0.1)
        self.assertEqual(2, bucket["lent_in_window"])
        self.assertAlmostEqual(BUCKET - 2, bucket["tokens"], delta=0.1)


class UnboundedWaitTest(QuotaCase):
    """A request waits for longer than 240 ms, or past its deadline."""

    def test_holder_is_cut_off(self) -> None:
        self.holder.close()
        started = time.monotonic()
        self.assertIsInstance(self.holder.take(), Undecided)
        self.assertLess(time.monotonic() - started, 0.5)

    def test_deadline_is_kept(self) -> None:
        self.owner.close()
        deadline = Deadline(self.clock() + 0.02)
        started = time.monotonic()
        answer = self.holder.quotas.take(CUSTOMER, deadline)
        self.assertIsInstance(answer, Undecided)
        self.assertLess(time.monotonic() - started, IN_TIME_S)


class UnreadListTest(QuotaCase):
    """An instance that knows nobody yet lends as the owner."""

    def start_unread(self, name: str) -> _Instance:
        """Start an instance again that can't read the list."""
        self.instances[name].close()
        port = self.holder.port
        again = _Instance(self, name, port, is_read=False)
        self.instances[name] = again
        return again

    def test_asks_others_and_lends_nothing(self) -> None:
        again = self.start_unread(OWNER)
        self.assertEqual(Taken(), again.take())
        self.assertEqual(0, again.count("lent"))
        self.assertEqual(1, self.deputy.count("lent"))

    def test_refuses_while_it_knows_nobody(self) -> None:
        again = self.start_unread(OWNER)
        self.loop.submit(self.see_only(again, OWNER)).result(WAIT_S)
        self.assertIsInstance(again.take(), Undecided)

    async def see_only(self, instance: _Instance, *names: str) -> None:
        instance.members.see(*names)


class MessagesTest(QuotaCase):
    """Limits cost more messages than requests need."""

    @known_red(33, at_times=True)
    def test_requests_at_the_same_time_share_datagrams(self) -> None:
        busy = RelayCustomer("acme", rate_per_s=1_000.0, burst=1_000.0)
        self.table = RouteTable(2, customers={"acme": busy})
        with ThreadPoolExecutor(40) as pool:
            answers = list(
                pool.map(lambda _n: self.holder.take(busy), range(400))
            )
        self.assertEqual([Taken()] * 400, answers)
        sent = self.holder.quotas.state()["datagrams_sent"]
        self.assertLess(sent, 200)
        self.assertGreater(self.holder.count("borrowed_used"), 0)

    def test_owner_asks_nobody(self) -> None:
        self.assertEqual(Taken(), self.owner.take())
        self.assertEqual(0, self.owner.quotas.state()["datagrams_sent"])


if __name__ == "__main__":
    unittest.main()

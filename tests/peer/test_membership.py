"""Tests of the membership over real sockets."""

from __future__ import annotations

from dataclasses import replace
import unittest

from grpclib.client import Channel
from grpclib.exceptions import GRPCError

from mulberrypass.model.member import MemberState
from mulberrypass.model.store import Listed, ListedKind, ListedState
from mulberrypass.peer.peer_grpc import PeerStub
from mulberrypass.peer.peer_pb2 import HeartbeatRequest
from mulberrypass.testing.platform_faults import Faults
from tests.peer.membership_peers import SETTINGS, Peer, Peers

ADDRESSES = tuple(f"127.0.11.{number}" for number in range(1, 7))
ALIVE = MemberState.ALIVE
LEAVING = MemberState.LEAVING


class GossipMembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.peers = Peers(self)

    def start_all(self, *addresses: str) -> list[Peer]:
        self.peers.list_live(*addresses)
        peers = [self.peers.start(address) for address in addresses]
        everyone = {peer.name for peer in peers}
        self.wait_believed(peers, dict.fromkeys(everyone, ALIVE))
        return peers

    def wait_believed(
        self, peers: list[Peer], expected: dict[str, MemberState]
    ) -> None:
        self.peers.wait_for(
            lambda: all(peer.believes() == expected for peer in peers)
        )

    def test_members_find_each_other_and_see_a_death(self) -> None:
        *rest, killed = self.start_all(*ADDRESSES)
        killed.stop()
        names = {peer.name for peer in rest}
        self.wait_believed(rest, dict.fromkeys(names, ALIVE))
        for peer in rest:
            found = [m.name for m in peer.membership.live("entry")]
            self.assertEqual(sorted(names), found)
            state = peer.membership.state()
            self.assertEqual([killed.name], [m.name for m in state.dead])
            self.assertEqual(
                state.deaths, peer.metrics.snapshot()["member.dead"]
            )

    def test_a_restarted_member_is_alive_again(self) -> None:
        *rest, killed = self.start_all(*ADDRESSES[:3])
        killed.stop()
        again = self.peers.start(killed.address, incarnation=1_000)
        everyone = [*rest, again]
        self.peers.wait_for(
            lambda: all(
                any(
                    m.name == again.name and m.incarnation >= 1_000
                    for m in peer.membership.live("entry")
                )
                for peer in everyone
            )
        )

    def test_leaving_is_known_by_all_and_stays(self) -> None:
        *rest, leaver = self.start_all(*ADDRESSES[:4])
        leaver.membership.leave()
        expected = {peer.name: ALIVE for peer in rest}
        expected[leaver.name] = LEAVING
        self.wait_believed([*rest, leaver], expected)
        self.assertEqual((), rest[0].membership.live("batch"))
        self.assertEqual(3, len(leaver.membership.live("entry")))

    def test_a_listed_leaving_is_followed(self) -> None:
        peers = self.start_all(*ADDRESSES[:2])
        entry = Listed(
            peers[0].address,
            ListedKind.INSTANCE,
            "z",
            peers[0].address,
            ListedState.LEAVING,
        )
        self.peers.platform.set_listed([entry])
        expected = {peers[0].name: LEAVING, peers[1].name: ALIVE}
        self.wait_believed(peers, expected)
        back = replace(entry, state=ListedState.LIVE)
        self.peers.platform.set_listed([back])
        self.wait_believed(peers, dict.fromkeys(expected, ALIVE))

    def test_a_leaving_backend_is_known_by_all(self) -> None:
        peers = self.start_all(*ADDRESSES[:4])
        peers[0].membership.report_leaving_backend("engine-1")
        late = self.peers.start(ADDRESSES[5])
        everyone = [peer.membership for peer in (*peers, late)]
        marked = frozenset({"engine-1"})
        self.peers.wait_for(
            lambda: all(m.leaving_backends() == marked for m in everyone)
        )

    def test_a_generation_is_heard_of_until_it_is_in_force(self) -> None:
        peers = self.start_all(*ADDRESSES[:4])
        peers[0].generation = 7
        self.peers.wait_for(lambda: all(peer.heard for peer in peers[1:]))
        for peer in peers[1:]:
            self.assertEqual(7, peer.heard[0][1])
        self.assertEqual([], peers[0].heard)

    def test_seeds_do_while_the_platform_is_away(self) -> None:
        self.peers.platform.set_faults(Faults(outage=True))
        settings = replace(SETTINGS, seeds=ADDRESSES[:1])
        peers = [
            self.peers.start(address, settings=settings)
            for address in ADDRESSES[:3]
        ]
        expected = {peer.name: ALIVE for peer in peers}
        self.wait_believed(peers, expected)
        state = peers[0].membership.state()
        self.assertEqual("outage", state.list_error)

    def test_a_peer_with_another_key_is_not_heard(self) -> None:
        peers = self.start_all(*ADDRESSES[:2])
        stranger = self.peers.start(ADDRESSES[2], key="wrong")
        self.peers.list_live(*ADDRESSES[:3])
        loop = self.peers.loop
        for peer in (peers[0], stranger):
            with self.assertRaises(GRPCError):
                loop.submit(
                    _call_without_key(peer.address, self.peers.port)
                ).result()
        self.assertEqual({stranger.name: ALIVE}, stranger.believes())
        self.assertNotIn(stranger.name, peers[0].believes())


async def _call_without_key(address: str, port: int) -> None:
    channel = Channel(address, port)
    try:
        await PeerStub(channel).Heartbeat(HeartbeatRequest())
    finally:
        channel.close()


if __name__ == "__main__":
    unittest.main()

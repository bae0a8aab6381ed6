"""Tests of the membership over real sockets."""

from __future__ import annotations

from dataclasses import replace
import unittest

from grpclib.client import Channel
from grpclib.exceptions import GRPCError

from mulberrypass.model.member import MemberState
from mulberrypass.model.store import ListedKind, ListedMachine, ListedState
from mulberrypass.peer.peer_grpc import PeerStub
from mulberrypass.peer.peer_pb2 import HeartbeatRequest
from mulberrypass.testing.platform_faults import Faults
from tests.peer.membership_fleet import (
    DEADLINE_S,
    SETTINGS,
    Peer,
    PeerFleet,
)

ADDRESSES = tuple(f"127.0.11.{number}" for number in range(1, 7))
# Heartbeats of several rounds to both neighbours.
QUIET_CALLS = 10
ALIVE = MemberState.ALIVE
LEAVING = MemberState.LEAVING


class GossipMembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.peers = PeerFleet(self)

    def start_all(self, *addresses: str) -> list[Peer]:
        self.peers.list_live(*addresses)
        peers = [self.peers.start(address) for address in addresses]
        everyone = {peer.name for peer in peers}
        self.wait_for_states(peers, dict.fromkeys(everyone, ALIVE))
        return peers

    def wait_for_states(
        self, peers: list[Peer], expected: dict[str, MemberState]
    ) -> None:
        self.peers.wait_for(
            lambda: all(peer.known_states() == expected for peer in peers)
        )

    def test_members_discover_each_other_and_detect_death(self) -> None:
        *rest, killed = self.start_all(*ADDRESSES)
        killed.stop()
        names = {peer.name for peer in rest}
        self.wait_for_states(rest, dict.fromkeys(names, ALIVE))
        for peer in rest:
            found = [m.name for m in peer.membership.live("entry")]
            self.assertEqual(sorted(names), found)
            state = peer.membership.state()
            self.assertEqual([killed.name], [m.name for m in state.dead])
            self.assertEqual(
                state.deaths, peer.metrics.snapshot()["member.dead"]
            )

    def test_rounds_without_a_change_build_nothing_anew(self) -> None:
        addresses = ADDRESSES[:3]
        self.peers.list_live(*addresses)
        # On a slow machine nobody may be suspected, which is a change.
        patient = replace(SETTINGS, timeout_s=DEADLINE_S)
        peers = [self.peers.start(a, settings=patient) for a in addresses]
        everyone = {peer.name for peer in peers}
        self.wait_for_states(peers, dict.fromkeys(everyone, ALIVE))
        watched = peers[0].membership
        members, live = watched.members("entry"), watched.live("entry")
        calls = watched.state().calls
        while watched.state().calls < calls + QUIET_CALLS:
            self.assertIs(members, watched.members("entry"))
            self.assertIs(live, watched.live("entry"))

    def test_restarted_member_is_alive_again(self) -> None:
        *rest, killed = self.start_all(*ADDRESSES[:3])
        killed.stop()
        restarted = self.peers.start(killed.address, incarnation=1_000)
        everyone = [*rest, restarted]
        self.peers.wait_for(
            lambda: all(
                any(
                    m.name == restarted.name and m.incarnation >= 1_000
                    for m in peer.membership.live("entry")
                )
                for peer in everyone
            )
        )

    def test_leaving_state_spreads_and_persists(self) -> None:
        *rest, leaver = self.start_all(*ADDRESSES[:4])
        leaver.membership.leave()
        expected = {peer.name: ALIVE for peer in rest}
        expected[leaver.name] = LEAVING
        self.wait_for_states([*rest, leaver], expected)
        self.assertEqual((), rest[0].membership.live("batch"))
        self.assertEqual(3, len(leaver.membership.live("entry")))

    def test_listed_leaving_state_is_applied(self) -> None:
        peers = self.start_all(*ADDRESSES[:2])
        entry = ListedMachine(
            peers[0].address,
            ListedKind.INSTANCE,
            "z",
            peers[0].address,
            ListedState.LEAVING,
        )
        self.peers.platform.set_listed([entry])
        expected = {peers[0].name: LEAVING, peers[1].name: ALIVE}
        self.wait_for_states(peers, expected)
        live = replace(entry, state=ListedState.LIVE)
        self.peers.platform.set_listed([live])
        self.wait_for_states(peers, dict.fromkeys(expected, ALIVE))

    def test_leaving_backend_spreads_to_all(self) -> None:
        peers = self.start_all(*ADDRESSES[:4])
        peers[0].membership.report_leaving_backend("engine-1")
        late = self.peers.start(ADDRESSES[5])
        everyone = [peer.membership for peer in (*peers, late)]
        marked = frozenset({"engine-1"})
        self.peers.wait_for(
            lambda: all(m.leaving_backends() == marked for m in everyone)
        )

    def test_newer_generation_is_reported(self) -> None:
        peers = self.start_all(*ADDRESSES[:4])
        peers[0].generation = 7
        self.peers.wait_for(
            lambda: all(peer.generations_seen for peer in peers[1:])
        )
        for peer in peers[1:]:
            self.assertEqual(7, peer.generations_seen[0][1])
        self.assertEqual([], peers[0].generations_seen)

    def test_seeds_replace_unavailable_list(self) -> None:
        self.peers.platform.set_faults(Faults(outage=True))
        settings = replace(SETTINGS, seeds=ADDRESSES[:1])
        peers = [
            self.peers.start(address, settings=settings)
            for address in ADDRESSES[:3]
        ]
        expected = {peer.name: ALIVE for peer in peers}
        self.wait_for_states(peers, expected)
        state = peers[0].membership.state()
        self.assertEqual("outage", state.list_error)

    def test_peer_with_wrong_key_is_rejected(self) -> None:
        peers = self.start_all(*ADDRESSES[:2])
        intruder = self.peers.start(ADDRESSES[2], key="wrong")
        self.peers.list_live(*ADDRESSES[:3])
        loop = self.peers.loop
        for peer in (peers[0], intruder):
            with self.assertRaises(GRPCError):
                loop.submit(
                    _call_without_key(peer.address, self.peers.port)
                ).result()
        self.assertEqual({intruder.name: ALIVE}, intruder.known_states())
        self.assertNotIn(intruder.name, peers[0].known_states())


async def _call_without_key(address: str, port: int) -> None:
    channel = Channel(address, port)
    try:
        await PeerStub(channel).Heartbeat(HeartbeatRequest())
    finally:
        channel.close()


if __name__ == "__main__":
    unittest.main()

"""Fetches published routes from the other instances of a site."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from mulberrypass.programs.site_settings import PROGRAM

if TYPE_CHECKING:
    from mulberrypass.peer.api import Membership
    from mulberrypass.peer.configuration import ConfigurationPeers
    from mulberrypass.relay.followers import RouteReader


class PeerRoutes:
    """Fetches routes from a peer that has them, preferably of this zone."""

    def __init__(
        self,
        zone: str,
        membership: Membership,
        peers: ConfigurationPeers,
        routes: RouteReader,
    ) -> None:
        self._zone = zone
        self._membership = membership
        self._peers = peers
        self._routes = routes

    def fetch(self, announcer: str, version: int) -> bool:
        """Fetch and apply the routes of a version.

        :param announcer: a member that has announced the version, even if
            the membership view still shows an older one
        """
        holders = [
            member
            for member in self._membership.live(PROGRAM)
            if member.generation >= version
        ]
        nearby = [m for m in holders if m.zone == self._zone] or holders
        chosen = [random.choice(nearby).name] if nearby else []
        for name in dict.fromkeys((*chosen, announcer)):
            fetched = self._peers.fetch_from(name, version)
            if fetched.is_ok():
                self._routes.apply(fetched.ok.data)
                return True
        return False


__all__ = ["PeerRoutes"]

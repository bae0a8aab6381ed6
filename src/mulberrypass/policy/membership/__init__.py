"""Membership of the fleet: liveness, leaving members and gossip."""

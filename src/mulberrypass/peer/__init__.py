"""Peer protocol: membership, permits and configuration exchange."""

"""Ports of the programs, the same on every instance."""

from __future__ import annotations

PLATFORM_PORT = 7_000
ENTRY_PORT = 7_100
ENTRY_STREAM_PORT = 7_101
ENTRY_PEER_PORT = 7_102
BATCH_PORT = 7_200
BATCH_PEER_PORT = 7_202
CONTROL_PORT = 7_300
CONTROL_PEER_PORT = 7_302
ENGINE_PORT = 8_000

PEER_PORTS = {
    "entry": ENTRY_PEER_PORT,
    "batch": BATCH_PEER_PORT,
    "control": CONTROL_PEER_PORT,
}

__all__ = [
    "BATCH_PEER_PORT",
    "BATCH_PORT",
    "CONTROL_PEER_PORT",
    "CONTROL_PORT",
    "ENGINE_PORT",
    "ENTRY_PEER_PORT",
    "ENTRY_PORT",
    "ENTRY_STREAM_PORT",
    "PEER_PORTS",
    "PLATFORM_PORT",
]

"""Sample documents: settings, desired state and engine registrations."""

from __future__ import annotations

from typing import Any

ONLINE_HOST = "dock.example"
BATCH_HOST = "clerk.example"
ONCE_PATH = "/lookup/1"
RESUMABLE_PATH = "/slip/1"
BATCH_PATH = "/crates/1"
# Of items: below their job's route, below another service's, and below none.
ITEM_PATHS = (BATCH_PATH, "/aside/1", "/nowhere/1")
SERVICE, OTHER_SERVICE = "generation", "rewriting"
BASE_TIMEOUT_MS = 8_000
# Begins each key of a customer, so that an engine can find one in any header.
KEY_PREFIX = "soak-key-"


def settings_text(
    name: str, address: str, zone: str, store: str, grace_s: int
) -> str:
    """Return the settings file of an instance."""
    return f"""
NodeName = "{name}"
Ip = "{address}"
Zone = "{zone}"
InternalPorts = [7720, 7735]
[Listen]
Front = "{address}:8161"
Ready = "{address}:8167"
Directory = "{address}:8164"
[Bounds]
GraceS = {grace_s}
[Platform]
Address = "{store}"
"""


def desired_document(
    version: int,
    tenants: list[dict[str, Any]] | None = None,
    service: str = SERVICE,
) -> dict[str, Any]:
    """Return a desired state with one route that only this version has.

    :param tenants: entries of the customers; ``None`` for none at all
    :param service: where the routes of callers lead
    """
    slip = {"Resumable": True, "Service": service}
    doc = {
        "Version": version,
        "Routes": [
            _route("lookup", ONLINE_HOST, version, Service=service),
            _route("slip", ONLINE_HOST, version, **slip),
            _route("aside", BATCH_HOST, version, Service=OTHER_SERVICE),
            _route(version_route(version), ONLINE_HOST, version, Public=True),
            _route(
                "crates",
                BATCH_HOST,
                version,
                RouteType="batch",
                Cap=1_000_000,
                Service=service,
            ),
        ],
        "Services": [
            {"Name": name, "Engine": {"Stride": 1}}
            for name in (SERVICE, OTHER_SERVICE)
        ],
    }
    return doc if tenants is None else doc | {"Tenants": tenants}


def version_route(version: int) -> str:
    """Return the name of the route that only this version has."""
    return f"version-{version}"


def version_path(version: int) -> str:
    """Return a path of the route that only this version has."""
    return f"/{version_route(version)}/1"


def engine_document(
    address: str, slots: int, leaving: bool = False, service: str = SERVICE
) -> dict[str, Any]:
    """Return an engine's registration."""
    return {
        "Service": service,
        "Address": address,
        "Zone": "zone-0",
        "Version": "v1",
        "Slots": slots,
        "State": "draining" if leaving else "ready",
        "ColdLeftMs": 0,
        "Seq": 1,
    }


def _route(
    name: str, host: str, version: int, **fields: Any
) -> dict[str, Any]:
    return {
        "Name": name,
        "Host": host,
        "Prefix": f"/{name}/",
        "RouteType": "streaming",
        "Service": SERVICE,
        "TimeoutMs": BASE_TIMEOUT_MS + version,
        "TargetLatencyMs": 2_000,
        "MaxAttempts": 2,
    } | fields


__all__ = [
    "BATCH_HOST",
    "BATCH_PATH",
    "ITEM_PATHS",
    "KEY_PREFIX",
    "ONCE_PATH",
    "ONLINE_HOST",
    "OTHER_SERVICE",
    "RESUMABLE_PATH",
    "SERVICE",
    "desired_document",
    "engine_document",
    "settings_text",
    "version_path",
]

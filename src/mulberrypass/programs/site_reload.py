"""Reads the settings file of a running instance again."""

from __future__ import annotations

from dataclasses import fields, replace
from typing import TYPE_CHECKING

from mulberrypass.platform.site import Site, SiteError, read_site
from mulberrypass.runtime.logs import get_logger

if TYPE_CHECKING:
    from pathlib import Path

LOG = get_logger(__name__)
# The process listens at these addresses, is known to others by them, or
# shares its memory out at its start. Buckets of limits are sized by the quota
# fields.
FIXED_FIELDS = frozenset(
    {
        "name",
        "zone",
        "address",
        "front",
        "ready",
        "directory",
        "peer_port",
        "store",
        "memory_bytes",
        "quota_window_s",
        "quota_overage",
        "quota_slack",
    }
)


def reload_site(path: Path, site: Site) -> Site:
    """Return the settings in force after a change of the settings file.

    A file that can't be used changes nothing. Changes of fields that need a
    restart are logged and otherwise ignored.

    :param site: the settings in force so far
    """
    try:
        found = read_site(path)
    except SiteError as exc:
        LOG.error("settings not reloaded", reason=str(exc))
        return site
    changed = {
        field.name: getattr(found, field.name)
        for field in fields(Site)
        if getattr(found, field.name) != getattr(site, field.name)
    }
    applied = {
        name: value
        for name, value in changed.items()
        if name not in FIXED_FIELDS
    }
    LOG.info(
        "settings reloaded",
        applied=applied,
        needs_restart=sorted(changed.keys() - applied.keys()),
    )
    return replace(site, **applied)


__all__ = ["reload_site"]

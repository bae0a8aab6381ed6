"""TLS contexts from the files that settings name."""

from __future__ import annotations

from dataclasses import dataclass
import ssl
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

ALPN_HTTP2 = "h2"


class TlsError(ValueError):
    """The files don't make a usable identity."""


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Files in PEM form.

    :param cert: this instance's certificate, valid for its IP number
    :param key: the certificate's private key
    :param ca: certificates that peers' and the platform's must lead to
    """

    cert: Path
    key: Path
    ca: Path


def check(files: TlsFiles) -> None:
    """Check that the files can be used.

    :raises TlsError: where a file can't be read or used
    """
    peer_server(files)


def peer_server(files: TlsFiles) -> ssl.SSLContext:
    """Make the context that takes peers' connections.

    :raises TlsError: where a file can't be read or used
    """
    context = _context(ssl.PROTOCOL_TLS_SERVER, files)
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols([ALPN_HTTP2])
    return context


def peer_client(files: TlsFiles) -> ssl.SSLContext:
    """Make the context of connections to peers.

    :raises TlsError: where a file can't be read or used
    """
    context = _context(ssl.PROTOCOL_TLS_CLIENT, files)
    context.set_alpn_protocols([ALPN_HTTP2])
    return context


def http_client(files: TlsFiles) -> ssl.SSLContext:
    """Make the context of connections to the platform and engines.

    :raises TlsError: where a file can't be read or used
    """
    return _context(ssl.PROTOCOL_TLS_CLIENT, files)


def _context(protocol: ssl._SSLMethod, files: TlsFiles) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(files.cert, files.key)
        context.load_verify_locations(files.ca)
    except (OSError, ssl.SSLError) as exc:
        raise TlsError(f"the TLS files can't be used: {exc}") from exc
    return context


__all__ = [
    "TlsError",
    "TlsFiles",
    "check",
    "http_client",
    "peer_client",
    "peer_server",
]

"""TLS contexts from certificate, key and CA files."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

from mulberrypass.model.value_class import value_class

if TYPE_CHECKING:
    from pathlib import Path

ALPN_HTTP2 = "h2"


class TlsError(ValueError):
    """The TLS files can't be used."""


@value_class
class TlsFiles:
    """TLS files in PEM format.

    :param cert: this instance's certificate, valid for its IP address
    :param key: the certificate's private key
    :param ca: certificates of the authorities that peers and the platform
        are verified against
    """

    cert: Path
    key: Path
    ca: Path


def check(files: TlsFiles) -> None:
    """Check that the files can be loaded.

    :raises TlsError: if a file can't be read or used
    """
    peer_server(files)


def peer_server(files: TlsFiles) -> ssl.SSLContext:
    """Return the context for connections from peers.

    :raises TlsError: if a file can't be read or used
    """
    context = _context(ssl.PROTOCOL_TLS_SERVER, files)
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols([ALPN_HTTP2])
    return context


def peer_client(files: TlsFiles) -> ssl.SSLContext:
    """Return the context for connections to peers.

    :raises TlsError: if a file can't be read or used
    """
    context = _context(ssl.PROTOCOL_TLS_CLIENT, files)
    context.set_alpn_protocols([ALPN_HTTP2])
    return context


def http_client(files: TlsFiles) -> ssl.SSLContext:
    """Return the context for connections to the platform and engines.

    :raises TlsError: if a file can't be read or used
    """
    return _context(ssl.PROTOCOL_TLS_CLIENT, files)


def _context(protocol: ssl._SSLMethod, files: TlsFiles) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(files.cert, files.key)
        context.load_verify_locations(files.ca)
    except (OSError, ssl.SSLError) as exc:
        raise TlsError(
            f"TLS certificate {files.cert}, key {files.key} or CA {files.ca} "
            f"can't be used: {exc}"
        ) from exc
    return context


__all__ = [
    "TlsError",
    "TlsFiles",
    "check",
    "http_client",
    "peer_client",
    "peer_server",
]

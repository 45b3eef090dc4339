"""greengagetack.peers.tls: TLS contexts for peer links."""

import ssl
from dataclasses import dataclass

from greengagetack.errors import CodedError, register_error
from greengagetack.settings.schema import TlsSettings

__all__ = ["BadTlsFiles", "PeerTls", "load_peer_tls"]


@register_error
class BadTlsFiles(CodedError):
    """A certificate, key or authority file is missing or invalid."""

    code = "bad_tls_files"
    http_status = 400
    remedy = "Check the files that /tls in the daemon's settings names."


@dataclass(frozen=True, slots=True)
class PeerTls:
    """Contexts for incoming and outgoing links, both None without TLS."""

    server: ssl.SSLContext | None = None
    client: ssl.SSLContext | None = None


def load_peer_tls(settings: TlsSettings | None) -> PeerTls:
    """Return the TLS contexts for a daemon's settings.

    Both sides present a certificate of the same authority, over TLS 1.3. Host
    names are not checked, because daemons connect by IP addresses, which change;
    any certificate of the authority identifies a daemon.

    Raises
    ------
    BadTlsFiles
        If a file is missing or invalid, or a key and certificate do not match.
    """
    if settings is None:
        return PeerTls()
    server = _context(ssl.PROTOCOL_TLS_SERVER, settings)
    client = _context(ssl.PROTOCOL_TLS_CLIENT, settings)
    return PeerTls(server, client)


def _context(protocol: int, settings: TlsSettings) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    try:
        context.load_cert_chain(settings.certificate_file, settings.key_file)
        context.load_verify_locations(settings.authority_file)
    except (OSError, ssl.SSLError) as error:
        raise BadTlsFiles(
            f"the files in /tls are missing or invalid: {error}"
        ) from None
    return context

"""features.support.throwaway_keys: temporary keys and certificates for a test."""

import datetime
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from greengagetack.settings.schema import TlsSettings

__all__ = ["Authority"]

LIFETIME = datetime.timedelta(days=1)


class Authority:
    """A certificate authority for daemons; writes all its files to one folder."""

    def __init__(self, folder: Path, name: str) -> None:
        self._folder = folder
        self._name = name
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._certificate = self._sign(name, self._key.public_key(), True, LIFETIME)
        self.path = folder / f"{name}.authority.pem"
        self.path.write_bytes(self._certificate.public_bytes(_PEM))

    def _sign(
        self,
        subject: str,
        public_key: ec.EllipticCurvePublicKey,
        is_authority: bool,
        lifetime: datetime.timedelta,
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        begins = now - LIFETIME
        constraints = x509.BasicConstraints(ca=is_authority, path_length=None)
        builder = (
            x509.CertificateBuilder()
            .subject_name(_name(subject))
            .issuer_name(_name(self._name))
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(begins)
            .not_valid_after(now + lifetime)
            .add_extension(constraints, critical=True)
        )
        return builder.sign(self._key, hashes.SHA256())

    def issue(self, name: str, expired: bool = False) -> TlsSettings:
        """Write a new key and certificate and return TLS settings for them."""
        key = ec.generate_private_key(ec.SECP256R1())
        lifetime = -LIFETIME / 2 if expired else LIFETIME
        certificate = self._sign(name, key.public_key(), False, lifetime)
        certificate_path = self._folder / f"{self._name}.{name}.pem"
        certificate_path.write_bytes(certificate.public_bytes(_PEM))
        key_path = self._folder / f"{self._name}.{name}.key.pem"
        key_path.write_bytes(
            key.private_bytes(
                _PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return TlsSettings(str(certificate_path), str(key_path), str(self.path))


_PEM = serialization.Encoding.PEM


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])

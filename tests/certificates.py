"""Certificates for tests, signed by a temporary CA."""

from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

LIFETIME = timedelta(days=1)


class Authority:
    """A CA that signs certificates for 127.0.0.1."""

    def __init__(self, folder: Path, name: str = "ca"):
        self.folder = folder
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.subject = _name(name)
        self.ca = folder / f"{name}.pem"
        certificate = _builder(self.subject, self.subject, self.key.public_key())
        certificate = certificate.add_extension(
            x509.BasicConstraints(ca=True, path_length=None), critical=True
        )
        _write(self.ca, certificate.sign(self.key, hashes.SHA256()))

    def issue(self, name: str) -> dict[str, str]:
        """Create a certificate and return the ``Tls`` settings with its files."""
        key = ec.generate_private_key(ec.SECP256R1())
        builder = _builder(_name(name), self.subject, key.public_key())
        builder = builder.add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(ip_address("127.0.0.1"))]),
            critical=False,
        )
        chain = self.folder / f"{name}.pem"
        _write(chain, builder.sign(self.key, hashes.SHA256()))
        key_file = self.folder / f"{name}.key"
        key_file.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return {"certificate": str(chain), "key": str(key_file), "ca": str(self.ca)}


def _name(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])


def _builder(subject, issuer, public_key) -> x509.CertificateBuilder:
    now = datetime.now(UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(public_key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(hours=1))
        .not_valid_after(now + LIFETIME)
    )


def _write(path: Path, certificate: x509.Certificate) -> None:
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

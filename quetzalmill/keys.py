"""Keys that callers present: their format, generation and verification.

A key has the form ``qm_<key id>_<secret>``. Only the key id and a hash of the
complete key are published. The secret has enough random bits that an unsalted
hash of it cannot be reversed by search.
"""

import hashlib
import hmac
import re
import secrets

import attrs

_KEY_ID_BYTES = 6
_SECRET_BYTES = 24
_FORMAT = re.compile(r"qm_([0-9A-Za-z]{1,32})_([0-9A-Za-z_-]{1,128})")


@attrs.frozen
class IssuedKey:
    """A new key; ``key`` is shown once and stored nowhere.

    Attributes:
        key_id: The name under which the key is published.
        key: The complete key, for its caller alone.
        secret_sha256: Hexadecimal SHA-256 of the complete key.
    """

    key_id: str
    key: str = attrs.field(repr=False)
    secret_sha256: str


def issue() -> IssuedKey:
    """Returns a new random key."""
    key_id = secrets.token_hex(_KEY_ID_BYTES)
    key = f"qm_{key_id}_{secrets.token_hex(_SECRET_BYTES)}"
    return IssuedKey(key_id, key, hash_key(key))


def hash_key(text: str) -> str:
    """Returns the hexadecimal SHA-256 of a complete key."""
    # A header may contain any characters. Keys are ASCII, so a text with
    # escaped characters gives a hash that matches no key.
    data = text.encode("ascii", "backslashreplace")
    return hashlib.sha256(data).hexdigest()


def key_id_of(text: str) -> str | None:
    """Returns the key id in ``text``, or None when it is not a key."""
    found = _FORMAT.fullmatch(text)
    return found[1] if found else None


def matches(text: str, secret_sha256: str) -> bool:
    """Returns whether ``text`` is the key with that hash.

    The time taken does not reveal where the two hashes differ.
    """
    expected = secret_sha256.encode("ascii", "backslashreplace")
    return hmac.compare_digest(hash_key(text).encode("ascii"), expected)

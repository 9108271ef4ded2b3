"""The signed text form of session tokens."""

import base64
import binascii
import hashlib
import hmac

from jackdawcrank_policy.tokens.invalid_token import InvalidToken
from jackdawcrank_policy.tokens.session_token import MAX_GROUPS, SessionToken
from jackdawcrank_policy.values import Position

MAX_TOKEN_CHARACTERS = 512
TOKEN_VERSION = 1
HEADER_BYTES = 2
MAC_BYTES = 16
GROUP_KEY_BYTES = 8
MIN_KEY_BYTES = 16
# Field widths in bytes. MAX_GROUPS entries fit in MAX_TOKEN_CHARACTERS.
TERM_BYTES = 4
OFFSET_BYTES = 8


class TokenSigner:
    """Signs and verifies session tokens.

    The first key signs and every key verifies. To rotate keys, append the new
    key on every proxy, then move it to the front, and remove the old key when
    the tokens that it signed are no longer in use.

    Attributes:
      keys: The secret keys, each of at least 16 bytes.
    """

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        if not keys or any(len(key) < MIN_KEY_BYTES for key in keys):
            raise ValueError(f"a key needs at least {MIN_KEY_BYTES} bytes")
        self.keys = keys

    def sign(self, token: SessionToken) -> str:
        """Return the token as URL-safe text of at most 512 characters."""
        key = self.keys[0]
        payload = bytes((TOKEN_VERSION, key_id(key))) + encode_entries(token)
        mac = compute_mac(key, payload)
        return base64.urlsafe_b64encode(payload + mac).rstrip(b"=").decode()

    def verify(self, text: str) -> SessionToken | InvalidToken:
        """Return the decoded token, or the reason why it is invalid.

        Args:
          text: The token text sent by a caller.
        """
        if len(text) > MAX_TOKEN_CHARACTERS:
            return InvalidToken("the token is too long")
        data = decode_base64(text)
        if data is None or len(data) < HEADER_BYTES + MAC_BYTES:
            return InvalidToken("the token is malformed")
        payload, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if not self.has_valid_mac(payload, mac):
            return InvalidToken("the signature does not match")
        if payload[0] != TOKEN_VERSION:
            return InvalidToken(f"unknown token version {payload[0]}")
        return decode_entries(payload[HEADER_BYTES:])

    def has_valid_mac(self, payload: bytes, mac: bytes) -> bool:
        """Return whether the MAC of a payload was made with one of the keys."""
        return any(
            hmac.compare_digest(compute_mac(key, payload), mac)
            for key in self.keys
            if key_id(key) == payload[1]
        )


def key_id(key: bytes) -> int:
    """Return the one-byte hint of a signing key; keys may share a hint."""
    return hashlib.sha256(b"jackdawcrank key id" + key).digest()[0]


def compute_mac(key: bytes, payload: bytes) -> bytes:
    """Return the truncated HMAC-SHA256 of a payload."""
    return hmac.new(key, payload, hashlib.sha256).digest()[:MAC_BYTES]


def decode_base64(text: str) -> bytes | None:
    """Return the bytes of URL-safe base64; None if it is malformed."""
    padding = "=" * (-len(text) % 4)
    try:
        return base64.b64decode(text + padding, altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        return None


def encode_entries(token: SessionToken) -> bytes:
    """Return the entries of a token as fixed-size records."""
    return b"".join(
        key.to_bytes(GROUP_KEY_BYTES)
        + position.term.to_bytes(TERM_BYTES)
        + position.offset.to_bytes(OFFSET_BYTES)
        for key, position in token.entries
    )


def decode_entries(body: bytes) -> SessionToken | InvalidToken:
    """Return the token encoded in a body whose signature was verified."""
    size = GROUP_KEY_BYTES + TERM_BYTES + OFFSET_BYTES
    if len(body) % size or len(body) > MAX_GROUPS * size:
        return InvalidToken("the token has a wrong length")
    records = [body[i : i + size] for i in range(0, len(body), size)]
    return SessionToken(tuple(decode_entry(record) for record in records))


def decode_entry(record: bytes) -> tuple[int, Position]:
    """Return the group key and position of one record."""
    key = int.from_bytes(record[:GROUP_KEY_BYTES])
    term_end = GROUP_KEY_BYTES + TERM_BYTES
    term = int.from_bytes(record[GROUP_KEY_BYTES:term_end])
    return key, Position(term, int.from_bytes(record[term_end:]))

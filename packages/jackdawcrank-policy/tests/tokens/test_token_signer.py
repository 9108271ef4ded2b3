"""Tests of the signed form of session tokens."""

import base64

import hypothesis
import hypothesis.strategies as st
import pytest

from jackdawcrank_policy.tokens import (
    MAX_GROUPS,
    MAX_TOKEN_CHARACTERS,
    InvalidToken,
    SessionToken,
    TokenSigner,
)
from jackdawcrank_policy.values import Position

OLD_KEY = b"o" * 32
NEW_KEY = b"n" * 32
POSITIONS = st.builds(
    Position, st.integers(0, 2**32 - 1), st.integers(0, 2**64 - 1)
)
TOKENS = st.dictionaries(
    st.integers(0, 2**64 - 1), POSITIONS, max_size=MAX_GROUPS
).map(lambda entries: SessionToken(tuple(entries.items())))


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(token=TOKENS)
def test_signed_token_round_trips(token: SessionToken) -> None:
    signer = TokenSigner((NEW_KEY,))
    text = signer.sign(token)
    assert len(text) <= MAX_TOKEN_CHARACTERS
    assert signer.verify(text) == token


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(token=TOKENS, data=st.data())
def test_changed_byte_is_rejected(
    token: SessionToken, data: st.DataObject
) -> None:
    signer = TokenSigner((NEW_KEY,))
    text = signer.sign(token)
    raw = bytearray(base64.urlsafe_b64decode(text + "=" * (-len(text) % 4)))
    raw[data.draw(st.integers(0, len(raw) - 1))] ^= data.draw(
        st.integers(1, 255)
    )
    changed = base64.urlsafe_b64encode(raw).decode().rstrip("=")
    assert isinstance(signer.verify(changed), InvalidToken)


def test_old_key_verifies_until_it_is_removed() -> None:
    token = SessionToken(((7, Position(1, 2)),))
    text = TokenSigner((OLD_KEY,)).sign(token)
    assert TokenSigner((NEW_KEY, OLD_KEY)).verify(text) == token
    assert isinstance(TokenSigner((NEW_KEY,)).verify(text), InvalidToken)


@pytest.mark.parametrize("text", ["", "x", "é" * 40, "=" * 40, "A" * 513])
def test_malformed_text_is_rejected(text: str) -> None:
    assert isinstance(TokenSigner((NEW_KEY,)).verify(text), InvalidToken)


def test_short_keys_are_refused() -> None:
    with pytest.raises(ValueError, match="16 bytes"):
        TokenSigner((b"short",))

"""Session tokens, which carry the positions that a session has observed."""

from jackdawcrank_policy.tokens.invalid_token import InvalidToken
from jackdawcrank_policy.tokens.session_token import MAX_GROUPS, SessionToken
from jackdawcrank_policy.tokens.token_signer import (
    MAX_TOKEN_CHARACTERS,
    TokenSigner,
)

__all__ = [
    "MAX_GROUPS",
    "MAX_TOKEN_CHARACTERS",
    "InvalidToken",
    "SessionToken",
    "TokenSigner",
]

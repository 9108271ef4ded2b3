"""Session tokens: what a session has seen, held and carried by the caller."""

from jackdawcrank_policy.tokens.forged_token import ForgedToken
from jackdawcrank_policy.tokens.session_token import MAX_GROUPS, SessionToken
from jackdawcrank_policy.tokens.token_signer import (
    MAX_TOKEN_CHARACTERS,
    TokenSigner,
)

__all__ = [
    "MAX_GROUPS",
    "MAX_TOKEN_CHARACTERS",
    "ForgedToken",
    "SessionToken",
    "TokenSigner",
]

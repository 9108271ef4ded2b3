"""Bearer token authentication of operators."""

import hmac
from collections.abc import Awaitable, Callable, Sequence

from aiohttp import web

from jackdawcrank.operators.error_responses import UNAUTHORIZED, error_response

ACTOR = web.RequestKey("actor", str)
SCHEME = "Bearer "
DEFAULT_ACTOR = "operator"
ACTOR_HEADER = "Jackdawcrank-Actor"
MAX_ACTOR_CHARACTERS = 64
UNAUTHENTICATED_PATHS = ("/v1/ready",)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def matching_token(tokens: Sequence[str], presented_token: str) -> str | None:
    """Return the configured token that matches, or None.

    Every token is compared in full, in constant time, so that the response
    time reveals nothing about the tokens.
    """
    matched_token = None
    for token in tokens:
        if hmac.compare_digest(token.encode(), presented_token.encode()):
            matched_token = token
    return matched_token


def actor_name(token: str, request: web.Request) -> str:
    """Return the name of the actor behind a request.

    A token `NAME:SECRET` identifies its holder. With any other token, the
    client names the actor in the `Jackdawcrank-Actor` header.
    """
    name, separator, _ = token.partition(":")
    if separator and name:
        return name
    header_value = request.headers.get(ACTOR_HEADER, "").strip()
    printable = header_value if header_value.isprintable() else ""
    return printable[:MAX_ACTOR_CHARACTERS] or DEFAULT_ACTOR


def require_token(tokens: Sequence[str]) -> Callable[..., Awaitable[object]]:
    """Return middleware that rejects requests without a valid token.

    Args:
      tokens: The accepted tokens.
    """

    @web.middleware
    async def middleware(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path in UNAUTHENTICATED_PATHS:
            return await handler(request)
        header = request.headers.get("Authorization", "")
        presented_token = (
            header.removeprefix(SCHEME) if SCHEME in header else ""
        )
        token = matching_token(tokens, presented_token)
        if token is None:
            response = error_response(
                UNAUTHORIZED,
                "unauthorized",
                "a valid bearer token is required",
                "send the header Authorization: Bearer TOKEN",
            )
            response.headers["WWW-Authenticate"] = "Bearer"
            return response
        request[ACTOR] = actor_name(token, request)
        return await handler(request)

    return middleware

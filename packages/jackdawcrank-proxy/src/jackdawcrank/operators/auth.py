"""Lets in operators with a bearer token."""

import hmac
from collections.abc import Awaitable, Callable, Sequence

from aiohttp import web

from jackdawcrank.operators.problem_answer import UNAUTHORIZED, error_answer

ACTOR = web.RequestKey("actor", str)
SCHEME = "Bearer "
DEFAULT_ACTOR = "operator"
ACTOR_HEADER = "Jackdawcrank-Actor"
MAX_ACTOR_CHARACTERS = 64
OPEN_PATHS = ("/v1/ready",)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def matching_token(tokens: Sequence[str], given: str) -> str | None:
    """Return the token that was given; None if it is none of them.

    Every token is compared in full, in constant time.
    """
    found = None
    for token in tokens:
        if hmac.compare_digest(token.encode(), given.encode()):
            found = token
    return found


def actor_of(token: str, request: web.Request) -> str:
    """Return who holds a token.

    A token `NAME:SECRET` names its holder; with another one the client says
    who it is.
    """
    name, separator, _ = token.partition(":")
    if separator and name:
        return name
    claimed = request.headers.get(ACTOR_HEADER, "").strip()
    printable = claimed if claimed.isprintable() else ""
    return printable[:MAX_ACTOR_CHARACTERS] or DEFAULT_ACTOR


def require_token(tokens: Sequence[str]) -> Callable[..., Awaitable[object]]:
    """Return the middleware that refuses requests without a token.

    Args:
      tokens: The tokens that are let in.
    """

    @web.middleware
    async def middleware(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path in OPEN_PATHS:
            return await handler(request)
        header = request.headers.get("Authorization", "")
        given = header.removeprefix(SCHEME) if SCHEME in header else ""
        token = matching_token(tokens, given)
        if token is None:
            answer = error_answer(
                UNAUTHORIZED,
                "unauthorized",
                "a valid bearer token is required",
                "send the header Authorization: Bearer TOKEN",
            )
            answer.headers["WWW-Authenticate"] = "Bearer"
            return answer
        request[ACTOR] = actor_of(token, request)
        return await handler(request)

    return middleware

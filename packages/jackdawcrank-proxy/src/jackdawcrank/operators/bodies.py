"""Parsing of request bodies and query parameters within limits."""

import asyncio
import json
from typing import Any

from aiohttp import web

from jackdawcrank.operators.error_responses import (
    BAD_REQUEST,
    TOO_LARGE,
    error_response,
)

MAX_BODY_BYTES = 64 * 1024
BODY_TIMEOUT_SECONDS = 10.0


async def json_body(request: web.Request) -> Any | web.Response:
    """Return the JSON body of a request, or an error response."""
    try:
        async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
            text = await request.read()
    except web.HTTPRequestEntityTooLarge:
        return error_response(
            TOO_LARGE, "too_large", f"the body exceeds {MAX_BODY_BYTES} bytes"
        )
    except TimeoutError:
        return error_response(
            BAD_REQUEST,
            "timeout",
            f"the body did not arrive within {BODY_TIMEOUT_SECONDS} s",
        )
    try:
        return json.loads(text) if text else {}
    except (ValueError, RecursionError) as error:
        message = f"the body is not JSON: {error}"
        return error_response(BAD_REQUEST, "malformed", message)


def integer_parameter(
    request: web.Request, name: str, default: int
) -> int | None:
    """Return a query parameter as an integer; None if malformed."""
    text = request.query.get(name, "")
    if not text:
        return default
    return int(text) if text.isdecimal() and len(text) <= 18 else None

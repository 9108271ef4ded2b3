"""HTTP responses to operator actions."""

import functools
from typing import Any

from aiohttp import web

from jackdawcrank.operators.error_responses import (
    CONFLICT,
    error_response,
    not_found_response,
)
from jackdawcrank.operators.ports import (
    ActionDone,
    ActionRefused,
    TargetNotFound,
)


@functools.singledispatch
def action_response(outcome: object) -> web.Response:
    """Return the HTTP response for the outcome of an action."""
    raise TypeError(f"unsupported action outcome: {outcome!r}")


@action_response.register
def done_response(outcome: ActionDone) -> web.Response:
    """Return the response to an action that was done or has started."""
    return web.json_response({"done": True, **outcome.detail})


@action_response.register
def refused_response(outcome: ActionRefused) -> web.Response:
    """Return the response to a refused action."""
    extra_fields: dict[str, Any] = {}
    if outcome.retry_after_ms is not None:
        extra_fields["retryAfterMs"] = outcome.retry_after_ms
    return error_response(CONFLICT, "refused", outcome.detail, **extra_fields)


@action_response.register
def target_not_found_response(outcome: TargetNotFound) -> web.Response:
    """Return the response to an action on a missing target."""
    return not_found_response(outcome.detail)

"""Answers to actions."""

import functools
from typing import Any

from aiohttp import web

from jackdawcrank.operators.ports import (
    ActionDone,
    ActionRefused,
    NoSuchTarget,
)
from jackdawcrank.operators.problem_answer import (
    CONFLICT,
    error_answer,
    missing_answer,
)


@functools.singledispatch
def action_answer(outcome: object) -> web.Response:
    """Return the answer to an action with some outcome."""
    raise TypeError(f"not an outcome: {outcome!r}")


@action_answer.register
def done_answer(outcome: ActionDone) -> web.Response:
    """Return the answer to an action that was carried out."""
    return web.json_response({"done": True, **outcome.detail})


@action_answer.register
def refused_answer(outcome: ActionRefused) -> web.Response:
    """Return the answer to an action that was refused."""
    more: dict[str, Any] = {}
    if outcome.retry_after_ms is not None:
        more["retryAfterMs"] = outcome.retry_after_ms
    return error_answer(CONFLICT, "refused", outcome.detail, **more)


@action_answer.register
def no_target_answer(outcome: NoSuchTarget) -> web.Response:
    """Return the answer to an action on something that does not exist."""
    return missing_answer(outcome.detail)

"""Error responses of the resource API."""

from collections.abc import Iterable, Mapping
from typing import Any

from aiohttp import web

from jackdawcrank_wire.resources import Problem

BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
PRECONDITION_FAILED = 412
TOO_LARGE = 413
INVALID = 422
UNAVAILABLE = 503


def error_response(
    status: int,
    code: str,
    message: str,
    hint: str = "",
    **extra_fields: Any,
) -> web.Response:
    """Return an error response.

    Args:
      status: The HTTP status.
      code: The machine-readable error code.
      message: The human-readable cause.
      hint: How to resolve the error; left out if empty.
      **extra_fields: Further fields of the error, as JSON values.
    """
    error: dict[str, Any] = {"code": code, "message": message}
    if hint:
        error["hint"] = hint
    return web.json_response(
        {"error": {**error, **extra_fields}}, status=status
    )


def invalid_resource_response(problems: Iterable[Problem]) -> web.Response:
    """Return the response to an invalid resource."""
    listed = [problem_document(problem) for problem in problems]
    return error_response(
        INVALID,
        "invalid",
        "the resource is not valid",
        "correct the named values and send it again",
        problems=listed,
    )


def problem_document(problem: Problem) -> Mapping[str, Any]:
    """Return a validation problem as a JSON object."""
    return {
        "path": problem.path,
        "message": problem.message,
        "value": problem.value,
    }


def store_unavailable_response(
    maybe_applied: bool, detail: str
) -> web.Response:
    """Return the response if the store is unavailable.

    Args:
      maybe_applied: Whether a change may have been applied nevertheless.
      detail: The human-readable cause.
    """
    if maybe_applied:
        message = f"the change may have been made; {detail}"
        hint = "send the same request again; a change is made once only"
    else:
        message = f"the change was not made; {detail}"
        hint = "try again once the store answers"
    return error_response(
        UNAVAILABLE,
        "store_unavailable",
        message,
        hint,
        maybeApplied=maybe_applied,
    )


def not_found_response(what: str, hint: str = "") -> web.Response:
    """Return the response for a missing resource."""
    return error_response(NOT_FOUND, "not_found", f"there is no {what}", hint)

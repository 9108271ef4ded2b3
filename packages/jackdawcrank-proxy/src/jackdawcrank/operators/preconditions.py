"""Version preconditions of writes."""

import dataclasses
from typing import Any

from aiohttp import web

ABSENT = 0


@dataclasses.dataclass(frozen=True)
class ExpectedVersion:
    """The resource version that a write requires.

    Attributes:
      version: The version; 0 if the resource must not exist, None for any.
    """

    version: int | None


@dataclasses.dataclass(frozen=True)
class MalformedPrecondition:
    """The precondition is malformed.

    Attributes:
      detail: A human-readable message.
    """

    detail: str


def expected_version(
    request: web.Request, document: Any = None
) -> ExpectedVersion | MalformedPrecondition:
    """Return the version that the headers or the document require.

    Args:
      request: The request; `If-Match` gives a resource version, and
        `If-None-Match: *` requires that the resource does not exist.
      document: The resource; its `resourceVersion` applies if no header is set.
    """
    if request.headers.get("If-None-Match", "").strip() == "*":
        return ExpectedVersion(ABSENT)
    text = request.headers.get("If-Match", "").strip()
    if not text and isinstance(document, dict):
        version = document.get("resourceVersion")
        return ExpectedVersion(version if type(version) is int else None)
    if text in ("", "*"):
        return ExpectedVersion(None)
    digits = text.removeprefix('"').removesuffix('"')
    if not digits.isdecimal():
        message = f"If-Match must be a resource version, but is {text[:40]!r}"
        return MalformedPrecondition(message)
    return ExpectedVersion(int(digits))

"""The conditions that a client puts on a write."""

import dataclasses
from typing import Any

from aiohttp import web

ABSENT = 0


@dataclasses.dataclass(frozen=True)
class ExpectedVersion:
    """The resource version that a write requires.

    Attributes:
      version: The version; 0 for no such resource, None for any.
    """

    version: int | None


@dataclasses.dataclass(frozen=True)
class MalformedPrecondition:
    """The condition can't be understood.

    Attributes:
      detail: A sentence for people.
    """

    detail: str


def expected_version(
    request: web.Request, document: Any = None
) -> ExpectedVersion | MalformedPrecondition:
    """Return what a write requires by its headers or its document.

    Args:
      request: The request; `If-Match` holds a resource version, and
        `If-None-Match: *` stands for no such resource.
      document: The resource; its `resourceVersion` counts without a header.
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

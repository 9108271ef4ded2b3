"""HTTP responses of the store."""

import json
from collections.abc import Mapping
from typing import Any

import attrs


@attrs.frozen
class StoreResponse:
    """A complete HTTP response.

    Attributes:
      status: The HTTP status code.
      body: The body in bytes.
      headers: The header fields.
    """

    status: int
    body: bytes
    headers: Mapping[str, str]

    def document(self) -> Any:
        """Return the body as JSON.

        Raises:
          ValueError: The body is not JSON.
        """
        return json.loads(self.body)

    @property
    def etag(self) -> str:
        """Return the entity tag; empty if there is none."""
        return self.headers.get("ETag", "")

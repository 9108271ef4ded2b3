"""Objects with ETags, in memory."""

import dataclasses
import hashlib

import attrs

ANY = "*"


@attrs.frozen
class StoredObject:
    """An object's content.

    Attributes:
      data: The bytes.
      etag: Changes with the bytes; quoted as in HTTP.
    """

    data: bytes
    etag: str


@dataclasses.dataclass(frozen=True)
class Stored:
    """The object was written.

    Attributes:
      etag: Its new ETag.
    """

    etag: str


@dataclasses.dataclass(frozen=True)
class PreconditionFailed:
    """The object was left as it is.

    Attributes:
      etag: Its present ETag; None if it is absent.
    """

    etag: str | None


@attrs.define
class ObjectStore:
    """The objects of the platform's service.

    Attributes:
      objects: The objects by name.
    """

    objects: dict[str, StoredObject] = attrs.field(factory=dict)

    def get(self, name: str) -> StoredObject | None:
        """Return an object, or None if it is absent."""
        return self.objects.get(name)

    def put(
        self,
        name: str,
        data: bytes,
        if_match: str | None = None,
        if_none_match: str | None = None,
    ) -> Stored | PreconditionFailed:
        """Write an object.

        Args:
          name: The object's name.
          data: The bytes.
          if_match: The ETag that the object must have, or `*`.
          if_none_match: `*` if the object must be absent.
        """
        present = self.objects.get(name)
        etag = None if present is None else present.etag
        if if_match is not None and not matches(if_match, etag):
            return PreconditionFailed(etag)
        if if_none_match is not None and matches(if_none_match, etag):
            return PreconditionFailed(etag)
        digest = hashlib.sha256(data).hexdigest()[:32]
        self.objects[name] = StoredObject(data, f'"{digest}"')
        return Stored(self.objects[name].etag)

    def delete(self, name: str) -> bool:
        """Delete an object; return whether it was there."""
        return self.objects.pop(name, None) is not None

    def names(self, prefix: str) -> list[str]:
        """Return the names that begin with a prefix, in order."""
        return sorted(name for name in self.objects if name.startswith(prefix))


def matches(condition: str, etag: str | None) -> bool:
    """Return whether an ETag meets the condition of a header."""
    if etag is None:
        return False
    listed = [item.strip() for item in condition.split(",")]
    return ANY in listed or etag in listed

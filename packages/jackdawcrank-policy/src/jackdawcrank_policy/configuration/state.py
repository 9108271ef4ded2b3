"""The configuration in force, to which changes are applied in order."""

import collections
import dataclasses

import attrs

from jackdawcrank_policy.configuration.change import Change
from jackdawcrank_policy.configuration.configuration import Configuration

RECENT_CHANGES = 1024


@dataclasses.dataclass(frozen=True)
class Applied:
    """The change or snapshot is now in force.

    Attributes:
      configuration: The configuration that includes it.
    """

    configuration: Configuration


@dataclasses.dataclass(frozen=True)
class MissingChanges:
    """Earlier changes are missing; nothing was applied.

    Attributes:
      first_missing: The version of the first missing change.
    """

    first_missing: int


@dataclasses.dataclass(frozen=True)
class AlreadyApplied:
    """The change or snapshot, or a newer version, is already in force."""


@attrs.define
class ConfigurationState:
    """The configuration in force, whose version never decreases.

    Attributes:
      current: The configuration in force.
      recent: The most recently applied changes, oldest first, without gaps
        up to the current version.
    """

    current: Configuration = attrs.field(factory=Configuration)
    recent: collections.deque[Change] = attrs.field(
        factory=lambda: collections.deque(maxlen=RECENT_CHANGES)
    )

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.current.version

    def apply(
        self, change: Change
    ) -> Applied | MissingChanges | AlreadyApplied:
        """Apply a change if it is the next one."""
        if change.version <= self.version:
            return AlreadyApplied()
        if change.version > self.version + 1:
            return MissingChanges(self.version + 1)
        self.current = self.current.with_change(change)
        self.recent.append(change)
        return Applied(self.current)

    def install_snapshot(
        self, snapshot: Configuration
    ) -> Applied | AlreadyApplied:
        """Replace the configuration with a newer snapshot."""
        if snapshot.version <= self.version:
            return AlreadyApplied()
        self.current = snapshot
        self.recent.clear()
        return Applied(snapshot)

    def changes_after(self, version: int) -> tuple[Change, ...] | None:
        """Return the changes after a version; None if some were discarded."""
        if version >= self.version:
            return ()
        if not self.recent or self.recent[0].version > version + 1:
            return None
        return tuple(c for c in self.recent if c.version > version)

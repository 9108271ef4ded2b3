"""What the resource API needs of the process that it runs in."""

import dataclasses
from collections.abc import Mapping
from typing import Any, Protocol

from jackdawcrank.config import ConfigurationFollower
from jackdawcrank.store import ChangeLog, StoreClient
from jackdawcrank.timeline import Timeline
from jackdawcrank_policy.membership import MembershipView


@dataclasses.dataclass(frozen=True)
class ActionDone:
    """The action was carried out or has begun.

    Attributes:
      detail: What is to be told, as JSON values.
    """

    detail: Mapping[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class ActionRefused:
    """The action was not carried out.

    Attributes:
      detail: Why, and what to do about it.
      retry_after_ms: When to try again; None where that is no help.
    """

    detail: str
    retry_after_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class TargetNotFound:
    """What the action was about does not exist.

    Attributes:
      detail: A sentence for people.
    """

    detail: str


ActionOutcome = ActionDone | ActionRefused | TargetNotFound


class OperatorPorts(Protocol):
    """The parts of a proxy that operators see.

    Attributes:
      vm: This VM's name.
      store: The store.
      change_log: Writes changes.
      follower: The configuration in force.
      timeline: The events of this process.
    """

    vm: str
    store: StoreClient
    change_log: ChangeLog
    follower: ConfigurationFollower
    timeline: Timeline

    def ready(self) -> bool:
        """Return whether callers should be sent to this VM."""

    def members(self) -> MembershipView:
        """Return this VM's view of the membership."""

    def status(self) -> Mapping[str, Any]:
        """Return the process's state as JSON values."""

    def resource_status(self, kind: str, name: str) -> Mapping[str, Any]:
        """Return what this VM knows of a resource; empty if nothing."""

    async def promote(
        self, group: str, server: str | None, actor: str, force: bool = False
    ) -> ActionOutcome:
        """Begin a promotion.

        Args:
          group: The database group.
          server: The new primary; None leaves the choice to the system.
          actor: Who asked.
          force: Whether to do so with too few servers in reach.
        """

    async def drain_self(self, actor: str) -> ActionOutcome:
        """Begin the graceful shutdown of this VM."""

    async def request_outcome(
        self, group: str, request_id: str
    ) -> Mapping[str, Any] | None:
        """Return what became of a request; None if nothing is known."""

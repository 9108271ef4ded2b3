"""The interface between the resource API and its proxy process."""

import dataclasses
from collections.abc import Mapping
from typing import Any, Protocol

from jackdawcrank.config import ConfigurationFollower
from jackdawcrank.store import ChangeLog, StoreClient
from jackdawcrank.timeline import Timeline
from jackdawcrank_policy.membership import MembershipView


@dataclasses.dataclass(frozen=True)
class ActionDone:
    """The action was carried out or has started.

    Attributes:
      detail: Further fields of the response, as JSON values.
    """

    detail: Mapping[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class ActionRefused:
    """The action was not carried out.

    Attributes:
      detail: The reason, and how to resolve it.
      retry_after_ms: The delay before a retry, in milliseconds; None if a
        retry does not help.
    """

    detail: str
    retry_after_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class TargetNotFound:
    """The target of the action does not exist.

    Attributes:
      detail: A human-readable message.
    """

    detail: str


ActionOutcome = ActionDone | ActionRefused | TargetNotFound


class OperatorPorts(Protocol):
    """The proxy functions that the resource API uses.

    Attributes:
      vm: This VM's name.
      store: The store client.
      change_log: Appends configuration changes to the store.
      follower: Follows the configuration in force.
      timeline: The event log of this process.
    """

    vm: str
    store: StoreClient
    change_log: ChangeLog
    follower: ConfigurationFollower
    timeline: Timeline

    def ready(self) -> bool:
        """Return whether this VM is ready to serve callers."""

    def members(self) -> MembershipView:
        """Return this VM's view of the membership."""

    def status(self) -> Mapping[str, Any]:
        """Return the process's state as JSON values."""

    def resource_status(self, kind: str, name: str) -> Mapping[str, Any]:
        """Return the status of a resource; empty if none is known."""

    async def promote(
        self, group: str, server: str | None, actor: str, force: bool = False
    ) -> ActionOutcome:
        """Promote a server to primary of a group.

        Args:
          group: The database group.
          server: The new primary; None selects one automatically.
          actor: The operator who sent the request.
          force: Whether to promote even if too few servers are reachable.
        """

    async def drain_self(self, actor: str) -> ActionOutcome:
        """Start the graceful shutdown of this VM."""

    async def request_outcome(
        self, group: str, request_id: str
    ) -> Mapping[str, Any] | None:
        """Return the outcome of a request; None if none is recorded."""

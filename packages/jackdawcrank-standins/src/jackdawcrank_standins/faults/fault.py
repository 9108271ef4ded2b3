"""Requests to inject or end a fault."""

import dataclasses
import enum
import math
from typing import Any

import attrs


class FaultKind(enum.StrEnum):
    """Kinds of changes: most inject a fault, some end one."""

    PARTITION = "partition"
    PAUSE = "pause"
    RESUME = "resume"
    STOP = "stop"
    START = "start"
    LAG = "lag"
    SILENCE = "silence"
    SLOW = "slow"
    HEAL = "heal"
    STORE_STOP = "store_stop"
    STORE_START = "store_start"
    STORE_SLOW = "store_slow"
    STORE_LOSE_ANSWER = "store_lose_answer"
    VM_LEAVING = "vm_leaving"
    VM_LIVE = "vm_live"
    VM_DEAD = "vm_dead"


class Links(enum.StrEnum):
    """The links on which a partition drops packets."""

    ALL = "all"
    PROXIES = "proxies"
    SERVERS = "servers"


@attrs.frozen
class Fault:
    """A request to inject or end a fault.

    Attributes:
      kind: The kind of change.
      server: The name of the affected backend server.
      vm: The name of the affected VM.
      seconds: The lag or delay in seconds; for faults that can end on their
        own, their duration in seconds.
      count: The number of responses to lose.
      links: The links on which a partition drops packets.
      hang: Whether a stopped store leaves requests unanswered instead of
        refusing them.
    """

    kind: FaultKind
    server: str | None = None
    vm: str | None = None
    seconds: float | None = None
    count: int = 1
    links: Links = Links.ALL
    hang: bool = False


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The change was applied."""


@dataclasses.dataclass(frozen=True)
class Rejected:
    """Nothing was changed.

    Attributes:
      reason: A human-readable explanation.
    """

    reason: str


Outcome = Accepted | Rejected
MEMBERS = {"fault", "server", "vm", "seconds", "count", "links", "hang"}


def parse_fault(body: Any) -> Fault:
    """Parse the body of a request to inject or end a fault.

    Args:
      body: The decoded JSON body.

    Raises:
      ValueError: The body is malformed.
    """
    if not isinstance(body, dict) or "fault" not in body:
        raise ValueError("the body must be an object with a member 'fault'")
    unknown = body.keys() - MEMBERS
    if unknown:
        raise ValueError(f"unknown member {sorted(unknown)[0]!r}")
    return Fault(
        kind=FaultKind(body["fault"]),
        server=optional_string(body, "server"),
        vm=optional_string(body, "vm"),
        seconds=optional_seconds(body),
        count=parse_count(body),
        links=Links(body.get("links", Links.ALL)),
        hang=bool(body.get("hang", False)),
    )


def optional_string(body: dict[str, Any], name: str) -> str | None:
    """Return a string member of the body, or None if it is absent.

    Raises:
      ValueError: The member is not a string.
    """
    value = body.get(name)
    if value is not None and not isinstance(value, str):
        raise ValueError(f"{name} must be a string")
    return value


def optional_seconds(body: dict[str, Any]) -> float | None:
    """Return the member `seconds` of the body, or None if it is absent.

    Raises:
      ValueError: The member is not a finite, non-negative number.
    """
    value = body.get("seconds")
    if value is None:
        return None
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or value < 0:
        raise ValueError("seconds must be a non-negative number")
    return float(value)


def parse_count(body: dict[str, Any]) -> int:
    """Return the member `count` of the body, or 1 if it is absent.

    Raises:
      ValueError: The member is not a non-negative integer.
    """
    value = body.get("count", 1)
    if type(value) is not int or value < 0:
        raise ValueError("count must be a non-negative integer")
    return value

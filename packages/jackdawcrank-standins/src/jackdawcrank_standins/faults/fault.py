"""A request to switch a fault."""

import dataclasses
import enum
import math
from typing import Any

import attrs


class FaultKind(enum.StrEnum):
    """What can be switched."""

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
    """Whose packets a partition drops."""

    ALL = "all"
    PROXIES = "proxies"
    SERVERS = "servers"


@attrs.frozen
class Fault:
    """A request to switch a fault.

    Attributes:
      kind: What to switch.
      server: The backend server concerned.
      vm: The VM concerned.
      seconds: A lag or delay; for other faults, after how long it ends.
      count: How many answers are lost.
      links: Whose packets a partition drops.
      hang: Whether a stopped store does not answer at all.
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
    """The fault is switched."""


@dataclasses.dataclass(frozen=True)
class Rejected:
    """Nothing was changed.

    Attributes:
      reason: A sentence for people.
    """

    reason: str


Outcome = Accepted | Rejected
MEMBERS = {"fault", "server", "vm", "seconds", "count", "links", "hang"}


def parse_fault(body: Any) -> Fault:
    """Return the fault that a request's body describes.

    Args:
      body: The body as JSON values.

    Raises:
      ValueError: The body is malformed.
    """
    if not isinstance(body, dict) or "fault" not in body:
        raise ValueError("the body needs a member 'fault'")
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
    """Return a text member, or None if it is absent."""
    value = body.get(name)
    if value is not None and not isinstance(value, str):
        raise ValueError(f"{name} must be a string")
    return value


def optional_seconds(body: dict[str, Any]) -> float | None:
    """Return the seconds, or None if they are absent."""
    value = body.get("seconds")
    if value is None:
        return None
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or value < 0:
        raise ValueError("seconds must be a number, not negative")
    return float(value)


def parse_count(body: dict[str, Any]) -> int:
    """Return how many answers are lost."""
    value = body.get("count", 1)
    if type(value) is not int or value < 0:
        raise ValueError("count must be an integer, not negative")
    return value

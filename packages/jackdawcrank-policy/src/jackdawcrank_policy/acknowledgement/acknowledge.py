"""The rule by which a committed write or a primary's read is acknowledged."""

import dataclasses
from collections.abc import Mapping

from jackdawcrank_policy.acknowledgement.quorum import Quorum
from jackdawcrank_policy.lease import LeaseState
from jackdawcrank_policy.values import (
    Branch,
    Done,
    NotRun,
    NotRunReason,
    Position,
    Unknown,
)


@dataclasses.dataclass(frozen=True)
class NeedConfirmation:
    """More servers have to confirm the term before an acknowledgement.

    Attributes:
      servers: The servers that have not been asked yet.
      count: How many further confirmations are needed.
    """

    servers: tuple[str, ...]
    count: int


@dataclasses.dataclass(frozen=True)
class AwaitTerm:
    """The term was closed; the next one's branch decides.

    Attributes:
      above: Wait for an active row of a term above this one and `settle`.
    """

    above: int


def acknowledge(
    position: Position,
    term: int,
    lease: LeaseState,
    quorum: Quorum,
    confirm_always: bool,
    replicas: tuple[str, ...],
    replies: Mapping[str, int | None],
) -> Done | NeedConfirmation | AwaitTerm | Unknown:
    """Decide on a write that the primary has committed.

    Args:
      position: The write's position, on the branch of `term`.
      term: The open term: the position's own, or a later one that `settle`
        found to keep the position.
      lease: The state of the proxy's lease on `term` at this moment.
      quorum: The quorum of the group's servers.
      confirm_always: Whether the group requires confirmations with a lease.
      replicas: The replicas that can be asked.
      replies: For each replica asked, its fence term when it held the
        position, or None if it did not confirm.
    """
    if lease is LeaseState.CLOSED:
        return AwaitTerm(above=term)
    if lease is LeaseState.HELD and not confirm_always:
        return Done(position)
    verdict = _confirmed(term, quorum.replica_count, replicas, replies)
    return Done(position) if verdict is None else verdict


def acknowledge_read(
    term: int,
    lease: LeaseState,
    quorum: Quorum,
    primary: str,
    replicas: tuple[str, ...],
    replies: Mapping[str, int | None],
) -> Done | NeedConfirmation | AwaitTerm | Unknown:
    """Decide on a read that the primary has answered.

    Without a lease, the primary and enough replicas have to show after the
    read that no later term has fenced them.

    Args:
      term: The term of the primary.
      lease: The state of the proxy's lease on `term` at this moment.
      quorum: The quorum of the group's servers.
      primary: The primary's name.
      replicas: The replicas that can be asked.
      replies: For each server asked after the read, its fence term or None.
    """
    if lease is LeaseState.CLOSED:
        return AwaitTerm(above=term)
    if lease is LeaseState.HELD:
        return Done()
    if primary in replies and replies[primary] != term:
        return Unknown("the primary did not confirm its term")
    servers = (primary, *replicas)
    verdict = _confirmed(term, quorum.confirm_count, servers, replies)
    if verdict is None and primary not in replies:
        return NeedConfirmation((primary,), 1)
    return Done() if verdict is None else verdict


def settle(position: Position, branch: Branch) -> Done | NotRun:
    """Tell whether the branch of a later term kept a committed write.

    A kept write is acknowledged by `acknowledge` under the later term.

    Args:
      position: The write's position.
      branch: The branch of an open term above the position's.
    """
    if branch.contains(position):
        return Done(position)
    return NotRun(
        NotRunReason.WRITE_LOST,
        f"the write at {position} is not on the branch of term {branch.term}",
        retry_after_ms=0,
    )


def _confirmed(
    term: int,
    needed: int,
    servers: tuple[str, ...],
    replies: Mapping[str, int | None],
) -> NeedConfirmation | Unknown | None:
    """Return None once enough servers confirmed the term."""
    confirmed = sum(1 for reply in replies.values() if reply == term)
    if confirmed >= needed:
        return None
    unasked = tuple(name for name in servers if name not in replies)
    missing = needed - confirmed
    if len(unasked) < missing:
        return Unknown(f"too few servers confirmed term {term}")
    return NeedConfirmation(unasked, missing)

"""Acknowledgement of committed writes and of reads from the primary."""

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
    """More servers have to confirm the term before the acknowledgement.

    Attributes:
      servers: The servers that have not been asked yet.
      count: The number of further confirmations that are needed.
    """

    servers: tuple[str, ...]
    count: int


@dataclasses.dataclass(frozen=True)
class AwaitTerm:
    """The term is closed; the branch of a later term determines the outcome.

    Attributes:
      closed_term: The closed term. The caller waits for an active row of a
        higher term and then calls `resolve_write`.
    """

    closed_term: int


def acknowledge(
    position: Position,
    term: int,
    lease: LeaseState,
    quorum: Quorum,
    confirm_always: bool,
    replicas: tuple[str, ...],
    replies: Mapping[str, int | None],
) -> Done | NeedConfirmation | AwaitTerm | Unknown:
    """Decide whether a write that the primary committed is acknowledged.

    Args:
      position: The write's position, on the branch of `term`.
      term: The open term: the term of the position, or a later one whose
        branch keeps the position according to `resolve_write`.
      lease: The current state of the proxy's lease on `term`.
      quorum: The quorum of the group's servers.
      confirm_always: Whether the group requires confirmations even while the
        lease is held.
      replicas: The replicas that can be asked.
      replies: For each replica that was asked, its fence term at the time
        when its log contained the position, or None if it did not confirm.

    Returns:
      `Done` if the write is acknowledged, `NeedConfirmation` if further
      replicas have to be asked, `AwaitTerm` if the term is closed, or
      `Unknown` if the remaining replicas cannot form a quorum.
    """
    if lease is LeaseState.CLOSED:
        return AwaitTerm(closed_term=term)
    if lease is LeaseState.HELD and not confirm_always:
        return Done(position)
    decision = _check_confirmations(
        term, quorum.replica_count, replicas, replies
    )
    return Done(position) if decision is None else decision


def acknowledge_read(
    term: int,
    lease: LeaseState,
    quorum: Quorum,
    primary: str,
    replicas: tuple[str, ...],
    replies: Mapping[str, int | None],
) -> Done | NeedConfirmation | AwaitTerm | Unknown:
    """Decide whether a read that the primary answered is acknowledged.

    Without a held lease, the primary and enough replicas have to confirm
    after the read that they are not fenced with a later term.

    Args:
      term: The term of the primary.
      lease: The current state of the proxy's lease on `term`.
      quorum: The quorum of the group's servers.
      primary: The primary's name.
      replicas: The replicas that can be asked.
      replies: For each server that was asked after the read, its fence term,
        or None if it did not confirm.

    Returns:
      `Done` if the read is acknowledged, `NeedConfirmation` if further
      servers have to be asked, `AwaitTerm` if the term is closed, or
      `Unknown` if the term cannot be confirmed.
    """
    if lease is LeaseState.CLOSED:
        return AwaitTerm(closed_term=term)
    if lease is LeaseState.HELD:
        return Done()
    if primary in replies and replies[primary] != term:
        return Unknown("the primary did not confirm its term")
    servers = (primary, *replicas)
    decision = _check_confirmations(
        term, quorum.confirm_count, servers, replies
    )
    if decision is None and primary not in replies:
        return NeedConfirmation((primary,), 1)
    return Done() if decision is None else decision


def resolve_write(position: Position, branch: Branch) -> Done | NotRun:
    """Return whether the branch of a later term keeps a committed write.

    A kept write still has to pass `acknowledge` under the later term.

    Args:
      position: The write's position.
      branch: The branch of an open term that is higher than the term of the
        position.
    """
    if branch.contains(position):
        return Done(position)
    return NotRun(
        NotRunReason.WRITE_LOST,
        f"the write at {position} is not on the branch of term {branch.term}",
        retry_after_ms=0,
    )


def _check_confirmations(
    term: int,
    needed: int,
    servers: tuple[str, ...],
    replies: Mapping[str, int | None],
) -> NeedConfirmation | Unknown | None:
    """Return None if enough servers confirmed the term."""
    confirmed = sum(1 for reply in replies.values() if reply == term)
    if confirmed >= needed:
        return None
    unasked = tuple(name for name in servers if name not in replies)
    missing = needed - confirmed
    if len(unasked) < missing:
        return Unknown(f"too few servers confirmed term {term}")
    return NeedConfirmation(unasked, missing)

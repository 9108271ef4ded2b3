"""Query of a group's homes for evidence on its primary."""

import asyncio
from collections.abc import Iterable

from jackdawcrank.groups.group_peers import GroupPeers
from jackdawcrank_policy.detection import (
    Judgement,
    PrimaryEvidence,
    judge,
)

ASK_TIMEOUT_SECONDS = 1.0


async def ask_homes(
    own: PrimaryEvidence, homes: Iterable[str], peers: GroupPeers
) -> Judgement:
    """Return the joint judgement of the reachable homes.

    The query ends early once a promotion is called for and the missing
    answers cannot change that.

    Args:
      own: The evidence of the VM that asks.
      homes: The group's homes.
      peers: Requests to the other VMs.
    """
    others = [home for home in homes if home != own.vm]
    evidence = [own]
    asked = [
        asyncio.create_task(
            peers.ask_suspicion(home, own.group, ASK_TIMEOUT_SECONDS)
        )
        for home in others
    ]
    try:
        for left, answer in _completed_with_remaining(asked):
            found = await answer
            if found is not None:
                evidence.append(found)
            if left and _is_settled(evidence, own.primary, left):
                break
    finally:
        for task in asked:
            task.cancel()
    return judge(evidence, own.primary)


def _completed_with_remaining(
    asked: list[asyncio.Task[PrimaryEvidence | None]],
) -> Iterable[tuple[int, asyncio.Future[PrimaryEvidence | None]]]:
    left = len(asked)
    for answer in asyncio.as_completed(asked):
        left -= 1
        yield left, answer


def _is_settled(
    evidence: list[PrimaryEvidence], primary: str, left: int
) -> bool:
    """Return whether the missing answers cannot prevent a promotion."""
    if not judge(evidence, primary).calls_for_promotion:
        return False
    suspecting = sum(1 for one in evidence if one.is_suspicious)
    return suspecting > len(evidence) - suspecting + left

"""Requests between proxies for the coordination of database groups."""

from jackdawcrank.peers import PeerStreamPool
from jackdawcrank_policy.detection import PrimaryEvidence, PrimaryHealth
from jackdawcrank_policy.values import GroupRow
from jackdawcrank_wire.messages import (
    AskEvidence,
    ConfigVersion,
    EvidenceAnswer,
    GiveUpLease,
    LeaseGivenUp,
)


class StreamGroupPeers:
    """Sends coordination requests over the streams between proxies.

    Attributes:
      peer_pool: The streams to other VMs.
    """

    def __init__(self, peer_pool: PeerStreamPool) -> None:
        self.peer_pool = peer_pool

    async def give_up_lease(
        self, vm: str, group: str, term: int, timeout_seconds: float
    ) -> bool:
        """Ask a VM to give up leases below a term; return if it confirmed.

        Args:
          vm: The VM.
          group: The group's name.
          term: The claimed term.
          timeout_seconds: The timeout of the request in seconds.
        """
        request = GiveUpLease(0, group, term)
        answer = await self.peer_pool.request(vm, request, timeout_seconds)
        if not isinstance(answer, LeaseGivenUp):
            return False
        return answer.group == group and answer.term == term

    async def ask_suspicion(
        self, vm: str, group: str, timeout_seconds: float
    ) -> PrimaryEvidence | None:
        """Return a VM's evidence on the group's primary; None if unavailable.

        Args:
          vm: The VM.
          group: The group's name.
          timeout_seconds: The timeout of the request in seconds.
        """
        request = AskEvidence(0, group)
        answer = await self.peer_pool.request(vm, request, timeout_seconds)
        if not isinstance(answer, EvidenceAnswer):
            return None
        return evidence_from_answer(vm, answer)

    async def announce_row(
        self, vm: str, row: GroupRow, version: int, timeout_seconds: float
    ) -> bool:
        """Notify a VM of a new version, so that the VM reads it immediately.

        Args:
          vm: The VM.
          row: The row that was written; it is not sent.
          version: The version of the change log that contains the row.
          timeout_seconds: The timeout of the request in seconds.
        """
        return await self.peer_pool.notify(
            vm, ConfigVersion(version), timeout_seconds
        )


def evidence_from_answer(
    vm: str, answer: EvidenceAnswer
) -> PrimaryEvidence | None:
    """Return the evidence in a peer's answer; None if it is invalid.

    Args:
      vm: The peer.
      answer: Its answer.
    """
    try:
        health = PrimaryHealth(answer.health)
    except ValueError:
        return None
    return PrimaryEvidence(
        vm=vm,
        group=answer.group,
        term=answer.term,
        primary=answer.primary,
        health=health,
        silent_seconds=answer.last_ok_age_seconds or 0.0,
        coordinating=answer.coordinating,
    )


def answer_from_evidence(evidence: PrimaryEvidence) -> EvidenceAnswer:
    """Return the answer to a peer that contains the evidence.

    Args:
      evidence: The evidence of this VM.
    """
    return EvidenceAnswer(
        0,
        evidence.group,
        evidence.primary,
        evidence.term,
        evidence.silent_seconds,
        evidence.is_suspicious,
        evidence.health.value,
        evidence.coordinating,
    )

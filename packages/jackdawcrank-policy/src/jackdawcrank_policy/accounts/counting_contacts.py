"""Which VMs count an account now, from the candidates' contact with each other.

There is no agreement between the candidates. Each one counts for the share of
the candidates that it is in contact with, so that the parts of a divided fleet
together never count for more than the whole limit.
"""

from collections.abc import Iterable, Sequence

import attrs

# A candidate that has not answered a message sent in this time is taken for
# lost. Exceeds two contact intervals (0.2 s) and a round trip (80 ms).
LOST_SECONDS = 0.6
# A process that was paused for this long may have been replaced meanwhile.
PAUSE_SECONDS = 0.3


@attrs.frozen
class Contact:
    """The latest answer of another candidate.

    Attributes:
      asked_at: When the message that it answers was sent.
      lost: The candidates that the other one takes for lost or leaving.
    """

    asked_at: float
    lost: frozenset[str]


class CountingContacts:
    """The contact of this VM with the other candidates.

    Times are in seconds since boot.

    Attributes:
      own: This VM.
      began_at: When this process began, or went on after a pause.
      complete_at: When all other candidates had answered for the first time
        since `began_at`, none of which took this VM for lost; None before.
      checked_at: When `check_pause` was last called.
      leaving: Whether this process is stopping and counts nothing more.
      contacts: The latest answer of each candidate.
    """

    def __init__(self, own: str, started_at: float) -> None:
        self.own = own
        self.began_at = started_at
        self.complete_at: float | None = None
        self.checked_at = started_at
        self.leaving = False
        self.contacts: dict[str, Contact] = {}

    def check_pause(self, interval_seconds: float, now: float) -> None:
        """Detect a pause of this process, during which others may have counted.

        Args:
          interval_seconds: The interval at which this is called.
          now: The current time.
        """
        if now - self.checked_at > interval_seconds + PAUSE_SECONDS:
            self.began_at = now
            self.complete_at = None
        self.checked_at = now

    def check_complete(self, candidates: Sequence[str], now: float) -> None:
        """Record whether nobody can be counting in place of this VM.

        A candidate counts in its place only while it takes it for lost.

        Args:
          candidates: The VMs that may count.
          now: The current time.
        """
        if self.own not in candidates or self.complete_at is not None:
            return
        if all(
            (contact := self.contact(vm, now)) is not None
            and contact.asked_at >= self.began_at
            and self.own not in contact.lost
            for vm in candidates
            if vm != self.own
        ):
            self.complete_at = now

    def answer_received(
        self, vm: str, asked_at: float, lost: Iterable[str]
    ) -> None:
        """Record an answer of a candidate.

        Args:
          vm: The candidate.
          asked_at: When the message that it answers was sent.
          lost: The candidates that it takes for lost or leaving.
        """
        previous = self.contacts.get(vm)
        if previous is None or asked_at >= previous.asked_at:
            self.contacts[vm] = Contact(asked_at, frozenset(lost))

    def contact(self, vm: str, now: float) -> Contact | None:
        """Return the answer of a candidate if it is recent enough."""
        contact = self.contacts.get(vm)
        if contact is None or now - contact.asked_at > LOST_SECONDS:
            return None
        return contact

    def lost(self, candidates: Iterable[str], now: float) -> list[str]:
        """Return the candidates that are lost or leaving, to tell others.

        Args:
          candidates: The VMs that may count.
          now: The current time.
        """
        return sorted(
            vm
            for vm in candidates
            if (self.leaving if vm == self.own else self.is_lost(vm, now))
        )

    def is_lost(self, vm: str, now: float) -> bool:
        """Return whether a candidate is out of contact or leaving."""
        contact = self.contact(vm, now)
        return contact is None or vm in contact.lost

    def share(self, candidates: Sequence[str], now: float) -> float:
        """Return the share of an account's limit that this VM may count.

        Args:
          candidates: The VMs that may count.
          now: The current time.
        """
        reached = sum(
            vm == self.own or self.contact(vm, now) is not None
            for vm in candidates
        )
        return reached / max(1, len(candidates))

    def counting_since(self, ranked: Sequence[str], now: float) -> float | None:
        """Return since when this VM has counted an account without a gap.

        It counts if all candidates that rank before it are lost, by its own
        contact and by what the others say: a single silent connection is no
        proof that a VM is lost.

        Args:
          ranked: The candidates in the order in which they count the account.
          now: The current time.

        Returns:
          The time, or None if this VM does not count the account now.
        """
        if self.own not in ranked or self.leaving:
            return None
        since = self.began_at + LOST_SECONDS
        if self.complete_at is not None:
            since = min(since, self.complete_at)
        for vm in ranked[: ranked.index(self.own)]:
            if not self.is_lost(vm, now) or self.is_heard_elsewhere(
                vm, ranked, now
            ):
                return None
            contact = self.contacts.get(vm)
            if contact is not None and vm not in contact.lost:
                since = max(since, contact.asked_at + LOST_SECONDS)
            elif contact is not None:
                since = max(since, contact.asked_at)
        return since if since <= now else None

    def is_heard_elsewhere(
        self, vm: str, ranked: Sequence[str], now: float
    ) -> bool:
        """Return whether another candidate says that a VM is not lost."""
        return any(
            vm not in contact.lost
            for other in ranked
            if other not in (vm, self.own)
            and (contact := self.contact(other, now)) is not None
        )

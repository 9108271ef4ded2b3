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
# A candidate that is not in this VM's members is forgotten after this time
# without a message; killed VMs restart sooner.
UNLISTED_SECONDS = 30.0


@attrs.frozen
class Heard:
    """The latest message of another candidate.

    Attributes:
      at: When it arrived.
      listed: The candidates that the other one knows.
    """

    at: float
    listed: frozenset[str]


@attrs.frozen
class Contact:
    """The latest answer of another candidate.

    Attributes:
      asked_at: When the message that it answers was sent.
      lost: The candidates that the other one takes for lost or leaving.
      listed: The candidates by the other one's members, and those from which
        it has just heard.
    """

    asked_at: float
    lost: frozenset[str]
    listed: frozenset[str]


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
      messages: The latest message of each candidate.
    """

    def __init__(self, own: str, started_at: float) -> None:
        self.own = own
        self.began_at = started_at
        self.complete_at: float | None = None
        self.checked_at = started_at
        self.leaving = False
        self.contacts: dict[str, Contact] = {}
        self.messages: dict[str, Heard] = {}

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
        self,
        vm: str,
        asked_at: float,
        lost: Iterable[str],
        listed: Iterable[str],
    ) -> None:
        """Record an answer of a candidate.

        Args:
          vm: The candidate.
          asked_at: When the message that it answers was sent.
          lost: The candidates that it takes for lost or leaving.
          listed: The candidates that it knows.
        """
        previous = self.contacts.get(vm)
        if previous is None or asked_at >= previous.asked_at:
            self.contacts[vm] = Contact(
                asked_at, frozenset(lost), frozenset(listed)
            )

    def message_received(
        self, vm: str, listed: Iterable[str], now: float
    ) -> None:
        """Record a message by which a candidate keeps contact.

        Args:
          vm: The candidate.
          listed: The candidates that it knows.
          now: The current time.
        """
        self.messages[vm] = Heard(now, frozenset(listed))

    def heard(self, vm: str, now: float) -> Heard | None:
        """Return the message of a candidate if it is recent enough."""
        message = self.messages.get(vm)
        if message is None or now - message.at > LOST_SECONDS:
            return None
        return message

    def listed(self, own_list: Iterable[str], now: float) -> list[str]:
        """Return the candidates to tell others.

        Hearsay is left out: it would go around between VMs for ever.

        Args:
          own_list: The candidates by this VM's members.
          now: The current time.
        """
        recent = [vm for vm in self.messages if self.heard(vm, now)]
        return sorted({*own_list, *recent})

    def all_candidates(
        self, own_list: Iterable[str], now: float
    ) -> tuple[str, ...]:
        """Return the candidates of all VMs that this one is in contact with.

        VMs read their members at different times. Two that know different
        candidates would both count an account, each for the whole limit.

        Args:
          own_list: The candidates by this VM's members.
          now: The current time.
        """
        self.messages = {
            vm: message
            for vm, message in self.messages.items()
            if now - message.at <= UNLISTED_SECONDS
        }
        found = {*own_list, *self.messages}
        for vm in list(found):
            contact = self.contact(vm, now)
            message = self.heard(vm, now)
            if contact is not None:
                found |= contact.listed
            if message is not None:
                # Its sender takes this VM for a candidate.
                found |= {self.own, *message.listed}
        return tuple(sorted(found))

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
        if contact is None:
            return self.heard(vm, now) is None
        return vm in contact.lost

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
            message = self.messages.get(vm)
            if message is not None and not (contact and vm in contact.lost):
                since = max(since, message.at + LOST_SECONDS)
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

"""Choice of the home that allocates a group's capacity.

Load: bursts during which the capacity holder is killed, frozen or cut off.
"""

from collections.abc import Sequence

import attrs

# A holder that has not answered for this time is passed over. Exceeds the
# round trip between regions (16 ms) and a short pause of its process.
ANSWER_SECONDS = 0.3
# How long it is passed over. A killed process restarts in about 1 s.
SKIP_SECONDS = 2.0


@attrs.define
class HolderChoice:
    """Chooses the holder of one group at a home; times are in seconds.

    Attributes:
      skipped: Until when each VM is not asked.
      asked: The VM with an unanswered report; empty if there is none.
      asked_at: When the first unanswered report to it was due.
    """

    skipped: dict[str, float] = attrs.Factory(dict)
    asked: str = ""
    asked_at: float = 0.0

    def holder(self, ranked: Sequence[str], now: float) -> str | None:
        """Return the home to report to, or None if none can be asked.

        Args:
          ranked: The group's homes, best ranked first.
          now: The current time.
        """
        if self.asked and now - self.asked_at >= ANSWER_SECONDS:
            self.skip(self.asked, now)
        self.skipped = {
            vm: until for vm, until in self.skipped.items() if now < until
        }
        return next((vm for vm in ranked if vm not in self.skipped), None)

    def report_due(self, vm: str, now: float) -> None:
        """Record that a home is asked.

        Args:
          vm: The home.
          now: The current time.
        """
        if self.asked != vm:
            self.asked = vm
            self.asked_at = now

    def answered(self, vm: str) -> None:
        """Record that a home has answered.

        Args:
          vm: The home.
        """
        if vm == self.asked:
            self.asked = ""

    def skip(self, vm: str, now: float) -> None:
        """Do not ask a home for a while.

        Args:
          vm: The home.
          now: The current time.
        """
        self.skipped[vm] = now + SKIP_SECONDS
        self.answered(vm)

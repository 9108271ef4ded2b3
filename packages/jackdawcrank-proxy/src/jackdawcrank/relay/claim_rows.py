"""Claims on the succession of a group, held in the store."""

import json

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.store_health import StoreHealth
from jackdawcrank.seams.malformed import MALFORMED
from jackdawcrank.seams.metadata_store import (
    MetadataStore,
    RowWritten,
    StoredRow,
    StoreFailure,
)
from jackdawcrank_policy.succession import (
    CLAIM_TTL_SECONDS,
    Claim,
    claim_key,
    next_claim,
)

CLAIMS_TABLE = "succession"
# An order whose answer was lost takes effect up to 12 s later at the users'
# sites.
LATE_ORDER_SECONDS = 15.0


@attrs.frozen
class HeldClaim:
    """A claim that this process holds.

    Attributes:
      claim: The claim.
      earlier_orders_settled: Whether no promotion order of an earlier claim
        can still take effect.
      epoch: The store's epoch in which the claim was made.
      asked_at: When this process asked for the claim, in seconds since boot.
    """

    claim: Claim
    earlier_orders_settled: bool
    epoch: int = 0
    asked_at: float = 0.0

    def may_have_lapsed(self) -> bool:
        """Return whether another process may hold a later claim by now.

        The clock also counts the time for which this process was suspended.
        """
        return boot_seconds() - self.asked_at >= CLAIM_TTL_SECONDS


class ClaimRows:
    """Writes claims, each conditional on the row's revision.

    Attributes:
      store: Holds one row per group.
      store_health: Records answers and failures of the store.
      log: Records decisions.
      acted_at: When this process last gave an order for each group, in seconds
        since boot.
    """

    def __init__(
        self, store: MetadataStore, store_health: StoreHealth, log: DecisionLog
    ) -> None:
        self.store = store
        self.store_health = store_health
        self.log = log
        self.acted_at: dict[str, float] = {}

    def record_order(self, group: str) -> None:
        """Record that this process has given an order.

        Args:
          group: The group's name.
        """
        self.acted_at[group] = boot_seconds()

    async def claim(
        self, group: str, holder: str, replaced: str
    ) -> HeldClaim | None:
        """Claim the right to replace a primary.

        Args:
          group: The group's name.
          holder: The name of the claiming process.
          replaced: The id of the primary to replace; empty if there is none.

        Returns:
          The claim; None if another process holds one, the store failed, or
          the row is unreadable.
        """
        asked_at = boot_seconds()
        epoch = self.store_health.epoch or 0
        key = claim_key(group, epoch)
        image = await self.store.read_table(CLAIMS_TABLE, key)
        if isinstance(image, StoreFailure):
            self.log.event("claim_failed", group=group, detail=image.detail)
            self.store_health.record_failure(f"{CLAIMS_TABLE}: {image.detail}")
            return None
        self.store_health.record_success()
        self.store_health.record_epoch(image.epoch)
        if image.epoch != epoch:
            # The claims of the new epoch are read by the next attempt.
            return None
        row = image.rows[0] if image.rows else None
        current = self.decode_claim(row) if row else None
        if row and current is None:
            return None
        acted_at = self.acted_at.get(group)
        new_claim = next_claim(
            current,
            holder,
            replaced,
            image.store_seconds,
            epoch,
            None
            if acted_at is None
            else image.store_seconds - (boot_seconds() - acted_at),
        )
        if new_claim is None:
            return None
        written = await self.store.replace_row(
            CLAIMS_TABLE,
            key,
            encode_claim(new_claim),
            row.revision if row else 0,
        )
        if isinstance(written, RowWritten):
            self.store_health.record_epoch(written.epoch)
            if written.epoch != epoch:
                return None
            settled = (
                current.settled if current else self.no_earlier_orders(epoch)
            )
            return HeldClaim(new_claim, settled, epoch, asked_at)
        if isinstance(written, StoreFailure):
            self.log.event("claim_failed", group=group, detail=written.detail)
        return None

    def no_earlier_orders(self, epoch: int) -> bool:
        """Return whether no order can be pending if there is no claim.

        A restored store may have lost a claim whose order is still on its way.

        Args:
          epoch: The store's epoch.
        """
        if not epoch:
            return True
        return self.store_health.epoch_seconds() >= LATE_ORDER_SECONDS

    def in_force(self, held_claim: HeldClaim) -> bool:
        """Return whether orders may be given under a claim.

        Args:
          held_claim: The claim. It is void once the store was restored, since
            the store may have lost it.
        """
        return (self.store_health.epoch or 0) == held_claim.epoch

    async def settle(self, group: str, held_claim: HeldClaim) -> None:
        """Mark a claim as settled, so that others may claim at once.

        No promotion order of a settled claim is pending.

        Args:
          group: The group's name.
          held_claim: The claim.
        """
        if not self.in_force(held_claim):
            return
        claim = held_claim.claim
        key = claim_key(group, held_claim.epoch)
        image = await self.store.read_table(CLAIMS_TABLE, key)
        if isinstance(image, StoreFailure) or not image.rows:
            return
        row = image.rows[0]
        if self.decode_claim(row) == claim:
            await self.store.replace_row(
                CLAIMS_TABLE,
                key,
                encode_claim(attrs.evolve(claim, settled=True)),
                row.revision,
            )

    def decode_claim(self, row: StoredRow) -> Claim | None:
        """Return the claim in a row, or None if it is unreadable.

        An unreadable row is never replaced, because fencing tokens must not
        restart.
        """
        try:
            return Claim(**json.loads(row.value))
        except MALFORMED as error:
            self.log.event("claim_unreadable", key=row.key, detail=str(error))
            return None


def encode_claim(claim: Claim) -> bytes:
    """Return a claim encoded as the value of a row.

    Args:
      claim: The claim.
    """
    return json.dumps(attrs.asdict(claim)).encode()

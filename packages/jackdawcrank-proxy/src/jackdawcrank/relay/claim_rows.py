"""Claims on the succession of a group, held in the store."""

import json

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.store_health import StoreHealth
from jackdawcrank.seams.metadata_store import (
    MetadataStore,
    RowWritten,
    StoredRow,
    StoreFailure,
)
from jackdawcrank_policy.succession import Claim, next_claim

CLAIMS_TABLE = "succession"


@attrs.frozen
class HeldClaim:
    """A claim that this process holds.

    Attributes:
      claim: The claim.
      earlier_orders_settled: Whether no promotion order of an earlier claim
        can still take effect.
    """

    claim: Claim
    earlier_orders_settled: bool


class ClaimRows:
    """Writes claims, each conditional on the row's revision.

    Attributes:
      store: Holds one row per group.
      store_health: Records answers and failures of the store.
      log: Records decisions.
    """

    def __init__(
        self, store: MetadataStore, store_health: StoreHealth, log: DecisionLog
    ) -> None:
        self.store = store
        self.store_health = store_health
        self.log = log

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
        image = await self.store.read_table(CLAIMS_TABLE, group)
        if isinstance(image, StoreFailure):
            self.log.event("claim_failed", group=group, detail=image.detail)
            self.store_health.record_failure(f"{CLAIMS_TABLE}: {image.detail}")
            return None
        self.store_health.record_success()
        row = image.rows[0] if image.rows else None
        current = self.decode_claim(row) if row else None
        if row and current is None:
            return None
        if current and current.holder == holder and not current.settled:
            # The answer to an earlier write of this process was lost, or its
            # promotion order is still unanswered.
            return HeldClaim(current, False)
        new_claim = next_claim(current, holder, replaced, image.store_seconds)
        if new_claim is None:
            return None
        written = await self.store.replace_row(
            CLAIMS_TABLE,
            group,
            encode_claim(new_claim),
            row.revision if row else 0,
        )
        if isinstance(written, RowWritten):
            return HeldClaim(new_claim, current is None or current.settled)
        if isinstance(written, StoreFailure):
            self.log.event("claim_failed", group=group, detail=written.detail)
        return None

    async def settle(self, group: str, claim: Claim) -> None:
        """Mark a claim as settled, so that others may claim at once.

        No promotion order of a settled claim is pending.

        Args:
          group: The group's name.
          claim: The claim.
        """
        image = await self.store.read_table(CLAIMS_TABLE, group)
        if isinstance(image, StoreFailure) or not image.rows:
            return
        row = image.rows[0]
        if self.decode_claim(row) == claim:
            await self.store.replace_row(
                CLAIMS_TABLE,
                group,
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
        except (TypeError, ValueError) as error:
            self.log.event("claim_unreadable", key=row.key, detail=str(error))
            return None


def encode_claim(claim: Claim) -> bytes:
    """Return a claim encoded as the value of a row.

    Args:
      claim: The claim.
    """
    return json.dumps(attrs.asdict(claim)).encode()

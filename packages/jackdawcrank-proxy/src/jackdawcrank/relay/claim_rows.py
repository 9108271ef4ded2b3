"""Claims in the store: who replaces which primary."""

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
      earlier_orders_settled: Whether no order of an earlier claim can be carried out
        any more.
    """

    claim: Claim
    earlier_orders_settled: bool


class ClaimRows:
    """Writes claims under the condition that nobody else has.

    Attributes:
      store: Where the rows lie, one a group.
      store_health: Told of every answer and failure.
      log: Where decisions are told.
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
        """Claim the right to replace a primary; None if it is not to be had.

        Args:
          group: The group.
          holder: The process that claims.
          replaced: The primary to replace.
        """
        image = await self.store.read_table(CLAIMS_TABLE, group)
        if isinstance(image, StoreFailure):
            self.log.event("claim_failed", group=group, detail=image.detail)
            self.store_health.record_failure(f"{CLAIMS_TABLE}: {image.detail}")
            return None
        self.store_health.record_success()
        row = image.rows[0] if image.rows else None
        current = self.read(row) if row else None
        if row and current is None:
            return None
        if current and current.holder == holder and not current.settled:
            # The answer to this process's own write was lost, or its order
            # has not been answered yet.
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
        """Note that no order of a claim is open; others may claim at once.

        Args:
          group: The group.
          claim: The claim that is done with.
        """
        image = await self.store.read_table(CLAIMS_TABLE, group)
        if isinstance(image, StoreFailure) or not image.rows:
            return
        row = image.rows[0]
        if self.read(row) == claim:
            await self.store.replace_row(
                CLAIMS_TABLE,
                group,
                encode_claim(attrs.evolve(claim, settled=True)),
                row.revision,
            )

    def read(self, row: StoredRow) -> Claim | None:
        """Return the claim in a row; None if it is unreadable.

        Tokens must not start anew, so nobody acts on an unreadable row.
        """
        try:
            return Claim(**json.loads(row.value))
        except (TypeError, ValueError) as error:
            self.log.event("claim_unreadable", key=row.key, detail=str(error))
            return None


def encode_claim(claim: Claim) -> bytes:
    """Return a claim as stored.

    Args:
      claim: The claim.
    """
    return json.dumps(attrs.asdict(claim)).encode()

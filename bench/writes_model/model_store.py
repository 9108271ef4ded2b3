"""The platform's store of the model."""

import asyncio
import random

import attrs

from jackdawcrank.groups import Conflict, Stored, StoreUnavailable
from jackdawcrank_policy.values import GroupPhase, GroupRow
from jackdawcrank_standins.history import TermRecord
from writes_model.network import Network

STORE = "store"
CALL_TIMEOUT_SECONDS = 2.0
SETTLE_TRIES = 4


@attrs.define
class StoredRows:
    """What the store holds.

    Attributes:
      version: The version of the change log's head.
      row: The group's row.
      changes: Each version's row.
      terms: The terms that were opened, in order.
    """

    version: int = 0
    row: GroupRow | None = None
    changes: dict[int, GroupRow] = attrs.field(factory=dict)
    terms: list[TermRecord] = attrs.field(factory=list)

    def put(
        self, expected: GroupRow | None, new: GroupRow, now: float
    ) -> Stored | Conflict:
        """Compare-and-set the row; a repeat of a write that stands holds."""
        if self.row == new:
            return Stored(self.version)
        if self.row != expected:
            return Conflict(self.row)
        self.version += 1
        self.row = new
        self.changes[self.version] = new
        known = self.terms[-1].term if self.terms else 0
        if new.phase is GroupPhase.ACTIVE and new.term != known:
            self.terms.append(TermRecord(new.term, now, new.primary))
        return Stored(self.version)


@attrs.define
class ModelStore:
    """The store as one VM reaches it.

    A claim takes `claim_calls` calls one after the other, the last of which
    is the transaction; a lost answer is settled by sending it again.

    Attributes:
      vm: The VM.
      rows: What the store holds.
      network: What lies between.
      rng: The source of lost answers.
      claim_calls: The calls of one claim. One that was prepared and the
        opening of a term that this VM claimed take only the last, unless
        another change came between.
      own_version: The version of this VM's newest own change.
      prepared_version: The version that was read ahead.
      lose_fraction: How many answers to transactions are lost.
    """

    vm: str
    rows: StoredRows
    network: Network
    rng: random.Random
    claim_calls: int = 2
    lose_fraction: float = 0.0
    own_version: int | None = None
    prepared_version: int | None = None

    async def prepare(self, group: str) -> None:
        """Read ahead what a claim would be written on."""
        self.prepared_version = await self.read_version()

    async def claim(
        self, expected: GroupRow | None, new: GroupRow
    ) -> Stored | Conflict | StoreUnavailable:
        """Compare-and-set the group's row."""
        opening = expected is not None and expected.coordinator == self.vm
        opening = opening and new.phase is GroupPhase.ACTIVE
        quick = opening and self.own_version == self.rows.version
        quick = quick or self.prepared_version == self.rows.version
        for _ in range(0 if quick else self.claim_calls - 1):
            if await self.read_version() is None:
                return StoreUnavailable("no answer in time")
        now = asyncio.get_running_loop().time
        for _ in range(SETTLE_TRIES):
            outcome = await self.network.request(
                self.vm,
                STORE,
                lambda: self.rows.put(expected, new, now()),
                CALL_TIMEOUT_SECONDS,
            )
            if isinstance(outcome, Stored):
                self.own_version = outcome.version
            if outcome and self.rng.random() >= self.lose_fraction:
                return outcome
        return StoreUnavailable("no answer in time")

    async def read(self, group: str) -> GroupRow | None | StoreUnavailable:
        """Return the group's row."""
        answer = await self.network.request(
            self.vm, STORE, lambda: (self.rows.row,), CALL_TIMEOUT_SECONDS
        )
        return answer[0] if answer else StoreUnavailable("no answer in time")

    async def read_version(self) -> int | None:
        """Return the version of the head."""
        return await self.network.request(
            self.vm, STORE, lambda: self.rows.version, CALL_TIMEOUT_SECONDS
        )

    async def read_changes(
        self, after: int, until: int
    ) -> list[tuple[int, GroupRow]] | None:
        """Return the changes of a range of versions."""
        return await self.network.request(
            self.vm,
            STORE,
            lambda: [
                (version, self.rows.changes[version])
                for version in range(after + 1, until + 1)
            ],
            CALL_TIMEOUT_SECONDS,
        )

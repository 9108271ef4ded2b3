"""Callers that record the answers they receive and verify later reads."""

import asyncio
import itertools
import random
import time

import attrs

from fault_soak.accounts import SentStatement, SoakAccounts
from fault_soak.world import GROUP, SoakEnvironment
from jackdawcrank_standins.users_platform import LineAnswer, LineCaller

NOT_APPLIED_CODES = frozenset(
    {
        "ABORTED",
        "BUSY",
        "LAGGING",
        "MISROUTED",
        "OVERLOAD",
        "READONLY",
        "UNAUTH",
    }
)
OPERATION_INTERVAL_SECONDS = 0.02


@attrs.define
class CallHistory:
    """Answers recorded by all callers, and violations found in them.

    Attributes:
      acknowledged: Acknowledged writes, item to value.
      refused: Items whose writes were refused and must not be stored.
      transactions: Pairs of items written in one transaction; either both or
        neither must be stored.
      broken: Descriptions of violated guarantees.
      answers: Number of answers by code; successful ones under `done`.
      sent: Statements of callers with an account, by request id and text.
    """

    acknowledged: dict[str, str] = attrs.Factory(dict)
    refused: set[str] = attrs.Factory(set)
    transactions: list[tuple[str, str]] = attrs.Factory(list)
    broken: list[str] = attrs.Factory(list)
    answers: dict[str, int] = attrs.Factory(dict)
    sent: dict[tuple[str, str], SentStatement] = attrs.Factory(dict)


class Caller:
    """Writes unique items and reads acknowledged ones.

    Connections to the primary database read items of all callers; those with
    read-your-writes consistency read only items of the current session.
    """

    def __init__(
        self,
        name: str,
        environment: SoakEnvironment,
        history: CallHistory,
        rng: random.Random,
        accounts: SoakAccounts | None = None,
        account: str = "",
    ) -> None:
        self.name = name
        self.accounts = accounts
        self.account = account
        self.key = "caller"
        self.pause_seconds = OPERATION_INTERVAL_SECONDS
        self.environment = environment
        self.history = history
        self.rng = rng
        self.sequence_numbers = itertools.count()
        self.session: LineCaller | None = None
        self.database = ""
        self.session_writes: dict[str, str] = {}

    async def run(self) -> None:
        """Run operations until cancelled."""
        while True:
            try:
                await self.run_operation()
            except (OSError, TimeoutError):
                # The connection was lost or the answer timed out.
                self.drop()
            await asyncio.sleep(self.pause_seconds)

    def drop(self) -> None:
        """Abort the connection and forget the writes of its session."""
        if self.session:
            self.session.writer.transport.abort()
        self.session = None
        self.session_writes = {}

    async def run_operation(self) -> None:
        """Run one random operation, connecting first if necessary."""
        if self.session is None:
            kind = self.rng.choice(["primary", "read_your_writes"])
            self.database = f"{GROUP}-{kind}"
            proxy = self.rng.choice(self.environment.proxies)
            if self.accounts:
                self.key = self.accounts.choose_key(self.account, self.rng)
            session = await LineCaller.connect(
                proxy.port, self.database, self.key
            )
            if not session.greeting.startswith("READY"):
                session.writer.transport.abort()
                return
            self.session = session
        operation = self.rng.choice(
            [self.write, self.read, self.read, self.pair]
        )
        await operation(self.session)

    def next_item(self) -> str:
        """Return the name of an item that has never been written."""
        return f"{self.name}.{next(self.sequence_numbers)}"

    def count(self, answer: LineAnswer) -> None:
        """Count an answer by its code."""
        code = answer.code or "done"
        self.history.answers[code] = self.history.answers.get(code, 0) + 1

    async def ask(
        self, session: LineCaller, text: str, request_id: str
    ) -> LineAnswer:
        """Send a statement, record when, and return the answer."""
        if self.accounts:
            self.history.sent[request_id, text] = SentStatement(
                self.account, self.key, time.monotonic()
            )
        return await session.ask(text, request_id)

    async def write(self, session: LineCaller) -> None:
        """Write a new item once and record the answer."""
        item = self.next_item()
        answer = await self.ask(session, f"WRITE {item} v-{item}", f"w-{item}")
        self.count(answer)
        if not answer.code:
            if not answer.signature:
                self.history.broken.append(f"MIXED: {item} without signature")
            self.history.acknowledged[item] = f"v-{item}"
            self.session_writes[item] = f"v-{item}"
        elif answer.code in NOT_APPLIED_CODES:
            self.history.refused.add(item)

    async def read(self, session: LineCaller) -> None:
        """Read an item that must be visible and check its value."""
        readable_items = (
            self.history.acknowledged
            if self.database.endswith("primary")
            else self.session_writes
        )
        if not readable_items:
            return
        item = self.rng.choice(list(readable_items))
        expected = readable_items[item]
        number = next(self.sequence_numbers)
        answer = await self.ask(
            session, f"READ {item}", f"r-{self.name}-{number}"
        )
        self.count(answer)
        if not answer.code and answer.rows != [expected]:
            self.history.broken.append(
                f"STALE: {item} read as {answer.rows} on {self.database}"
            )

    async def pair(self, session: LineCaller) -> None:
        """Write two new items in one transaction and record the answer."""
        first_item, second_item = self.next_item(), self.next_item()
        for text in (
            "BEGIN",
            f"WRITE {first_item} v-{first_item}",
            f"WRITE {second_item} v-{second_item}",
        ):
            answer = await self.ask(session, text, f"t-{first_item}")
            if answer.code:
                self.count(answer)
                await self.ask(session, "ROLLBACK", f"t-{first_item}")
                self.history.refused |= {first_item, second_item}
                return
        self.history.transactions.append((first_item, second_item))
        answer = await self.ask(session, "COMMIT", f"t-{first_item}")
        self.count(answer)
        if not answer.code:
            self.history.acknowledged |= {
                first_item: f"v-{first_item}",
                second_item: f"v-{second_item}",
            }
            self.session_writes |= {
                first_item: f"v-{first_item}",
                second_item: f"v-{second_item}",
            }
        elif answer.code in NOT_APPLIED_CODES:
            self.history.refused |= {first_item, second_item}

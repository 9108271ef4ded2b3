"""A backend server that speaks the line protocol."""

import asyncio
import itertools
import typing
from collections.abc import Callable

import attrs

Position = tuple[int, int]
# As the users' servers report themselves.
SLOTS = 5
# A server that shows old data says that it is this old.
STALE_LAG_MS = 5_000


@attrs.frozen
class Commit:
    """An entry of a log.

    Attributes:
      position: Its term and number.
      writes: What it wrote.
    """

    position: Position
    writes: tuple[tuple[str, str], ...]


@attrs.frozen
class Run:
    """A statement that a server ran.

    Attributes:
      request_id: Its id; `-` for one that no caller sent.
      text: Its text without the position prefix.
      connection: The number of the connection.
      transaction: The number of the transaction, 0 outside.
      values: The connection's session values.
    """

    request_id: str
    text: str
    connection: int
    transaction: int
    values: dict[str, str]


@attrs.define(eq=False)
class Session:
    """A connection's state.

    Attributes:
      number: Tells connections apart.
      state: `I`, `T` or `E`.
      transaction: The number of the open transaction, 0 outside.
      may_write: Whether the transaction may write.
      pending: What it has written.
    """

    number: int
    state: str = "I"
    transaction: int = 0
    may_write: bool = False
    pending: list[tuple[str, str]] = attrs.Factory(list)
    values: dict[str, str] = attrs.Factory(dict)
    prepared_statements: dict[str, tuple[str, str]] = attrs.Factory(dict)


class GroupView(typing.Protocol):
    """What a server needs of its group."""

    name: str
    term: int
    sync_replicas: int

    def replicate(self, primary: "LineServer") -> int:
        """Send a primary's log to its replicas; return who received it."""


class LineServer:
    """One server of a group.

    Attributes:
      server_id: Its id.
      log: Its commits.
      is_primary: Whether it is the primary.
      running: Whether it answers at all; a stopped one refuses connections.
      silent: Whether it takes bytes and answers nothing.
      replication_cut: Whether it receives nothing from the primary.
      busy_answers: The next so many reads, writes and commits get BUSY.
      lost_answers: The answers of the next so many of these are lost.
      slots: Reads, writes and commits that it runs at once.
      visible_entries: How many entries of its log it shows; None for all of them. A
        server that is promoted shows all.
      suspended_term: The term up to which it was told to receive nothing.
      runs: Every statement that it ran.
    """

    def __init__(
        self,
        server_id: str,
        group: GroupView,
        zone: str,
        report: Callable[["LineServer"], None],
    ) -> None:
        self.server_id = server_id
        self.group = group
        self.zone = zone
        self.report_to = report
        self.log: list[Commit] = []
        self.is_primary = False
        self.running = False
        self.silent = False
        self.replication_cut = False
        self.draining = False
        self.busy_answers = 0
        self.lost_answers = 0
        self.work_seconds = 0.0
        self.slots = asyncio.Semaphore(SLOTS)
        self.visible_entries: int | None = None
        self.suspended_term = 0
        self.term = 1
        self.max_connections = 50
        self.open_connections = 0
        self.runs: list[Run] = []
        self.connection_numbers = itertools.count(1)
        self.transactions = itertools.count(1)
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port, or on the one it had."""
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.running = True

    async def close(self) -> None:
        """Stop as a crash does: every connection ends."""
        self.running = False
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def report(self) -> None:
        """Say how it sees itself."""
        self.report_to(self)

    def receives(self) -> bool:
        """Return whether commits of the primary reach it."""
        return (
            self.running
            and not self.replication_cut
            and not self.suspended_term
        )

    def receive(self, log: list[Commit]) -> None:
        """Take over a primary's log.

        Args:
          log: The primary's log.
        """
        self.log[:] = log

    def position(self) -> Position:
        """Return the position of the last entry."""
        return last_position(self.log)

    def visible_log(self) -> list[Commit]:
        """Return the entries that it shows."""
        if self.is_primary or self.visible_entries is None:
            return self.log
        return self.log[: self.visible_entries]

    def lag_ms(self) -> int:
        """Return how old the data is that it shows."""
        behind = len(self.log) - len(self.visible_log())
        return STALE_LAG_MS if behind else 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        self.open_connections += 1
        try:
            await self.serve_queries(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            # The peer is gone; what was open is rolled back by forgetting it.
            return
        finally:
            self.open_connections -= 1
            self.writers.discard(writer)
            writer.close()

    async def serve_queries(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a connection's lines in order."""
        greeting = (await reader.readuntil(b"\r\n")).decode().split()
        refusal = self.refusal(greeting)
        if refusal:
            writer.write(f"ERROR {refusal}\r\n".encode())
            return
        session = Session(next(self.connection_numbers))
        self.answer(writer, session, [])
        while True:
            line = (await reader.readuntil(b"\r\n")).decode().rstrip("\r\n")
            word, request_id, text = (line + "  ").split(" ", 2)
            if word != "QUERY":
                return
            answer = await self.run(session, request_id, text.strip())
            if answer is not None and not self.silent:
                self.answer(writer, session, answer)
            await writer.drain()

    def refusal(self, greeting: list[str]) -> str:
        """Return why a greeting is refused, or nothing."""
        if greeting[1] != self.group.name:
            return f"MISROUTED {self.server_id}"
        if len(greeting) > 3 and greeting[3] != self.server_id:
            return f"MISROUTED {self.server_id}"
        if self.open_connections > self.max_connections:
            return f"OVERLOAD {self.server_id}"
        return ""

    def answer(
        self,
        writer: asyncio.StreamWriter,
        session: Session,
        lines: list[str],
    ) -> None:
        """Send an answer and where the session stands."""
        term, number = last_position(self.visible_log())
        lines = [*lines, f"READY {session.state} {term}.{number}"]
        writer.write("".join(f"{one}\r\n" for one in lines).encode())

    async def run(
        self, session: Session, request_id: str, text: str
    ) -> list[str] | None:
        """Run a query; return its answer, or None if the answer is lost."""
        needed: Position | None = None
        if text.startswith("SYNCPOS "):
            _, position, text = text.split(" ", 2)
            term, _, number = position.partition(".")
            needed = (int(term), int(number))
        word, _, rest = text.partition(" ")
        if session.state == "E" and word not in ("ROLLBACK", "COMMIT"):
            return ["ERROR MALFORMED transaction failed"]
        if needed and last_position(self.visible_log()) < needed:
            return self.problem(session, "LAGGING")
        if word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            if self.busy_answers:
                self.busy_answers -= 1
                return [f"ERROR BUSY {self.server_id}"]
            async with self.slots:
                await asyncio.sleep(self.work_seconds)
            answer = await self.run_data(session, request_id, word, rest, text)
            if self.lost_answers and request_id != "-":
                self.lost_answers -= 1
                return None
            return answer
        return self.run_control(session, word, rest)

    async def run_data(
        self,
        session: Session,
        request_id: str,
        word: str,
        rest: str,
        text: str,
    ) -> list[str] | None:
        """Run what takes a slot; None if there is no answer."""
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session.prepared_statements:
                return self.problem(session, "UNKNOWNST")
            word, shape = session.prepared_statements[name]
            text = f"EXECUTE {word} {shape} {rest}"
        lost_primary_role = (
            session.may_write and session.transaction and not self.is_primary
        )
        if lost_primary_role and (word != "COMMIT" or session.pending):
            return self.problem(session, "READONLY")
        if word == "WRITE" and not self.is_primary:
            return self.problem(session, "READONLY")
        self.runs.append(
            Run(
                request_id,
                text,
                session.number,
                session.transaction,
                dict(session.values),
            )
        )
        if word == "READ":
            item = rest.split(" ")[0]
            return [
                f"ROW {self.value(session, item)}",
                self.complete_line(text),
            ]
        if word == "WRITE":
            item, _, data = rest.partition(" ")
            session.pending.append((item, data))
            if session.transaction:
                return [self.complete_line(text)]
        if not await self.commit(session):
            return None
        return [self.complete_line(text)]

    async def commit(self, session: Session) -> bool:
        """Append what a session wrote, and wait for the replicas.

        Returns:
          Whether the commit may be acknowledged: a server that loses the
          lead meanwhile may not.
        """
        writes = tuple(session.pending)
        self.end(session)
        if not writes:
            return True
        number = self.position()[1] + 1
        self.log.append(Commit((self.group.term, number), writes))
        while self.is_primary:
            if self.group.replicate(self) >= self.group.sync_replicas:
                return True
            await asyncio.sleep(0.01)
        return False

    def end(self, session: Session) -> None:
        """End a session's transaction."""
        session.pending.clear()
        session.state = "I"
        session.transaction = 0
        session.may_write = False

    def value(self, session: Session, item: str) -> str:
        """Return what an item holds, as the session sees it."""
        shown = self.visible_log()
        writes = [one for commit in shown for one in commit.writes]
        found = [
            data for name, data in [*writes, *session.pending] if name == item
        ]
        return found[-1] if found else "none"

    def complete_line(self, text: str) -> str:
        """Return the end of a result."""
        return f"COMPLETE {self.server_id}.{len(self.runs)}"

    def problem(self, session: Session, code: str) -> list[str]:
        """Fail a statement and, in one, the transaction."""
        if session.state == "T":
            session.state = "E"
        return [f"ERROR {code} {self.server_id}"]

    def run_control(self, session: Session, word: str, rest: str) -> list[str]:
        """Run what takes no slot."""
        if word == "BEGIN":
            if not rest and not self.is_primary:
                return self.problem(session, "READONLY")
            session.state = "T"
            session.may_write = not rest
            session.transaction = next(self.transactions)
        elif word == "ROLLBACK":
            self.end(session)
        elif word == "SET":
            name, _, value = rest.partition(" ")
            session.values[name] = value
        elif word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            session.prepared_statements[name] = (kind, shape)
        elif word == "RESET":
            session.values.clear()
            session.prepared_statements.clear()
        else:
            return self.run_order(word, rest)
        return ["COMPLETE -"]

    def run_order(self, word: str, rest: str) -> list[str]:
        """Run an order to the server itself."""
        if word == "SUSPEND" and int(rest) > self.term:
            self.suspended_term = int(rest)
        elif word == "RESUME":
            self.suspended_term = 0
        elif word == "DEMOTE" and int(rest) > self.term:
            self.is_primary = False
            self.report()
        elif word != "STATUS":
            return ["ERROR MALFORMED unknown"]
        role = "primary" if self.is_primary else "replica"
        term, number = self.position()
        return [
            f"ROW {role} {self.term} {term}.{number} {self.suspended_term} "
            f"{self.lag_ms()} 0 "
            f"{self.open_connections}",
            "COMPLETE -",
        ]


def last_position(log: list[Commit]) -> Position:
    """Return the position of a log's last entry.

    Args:
      log: The log.
    """
    return log[-1].position if log else (1, 0)

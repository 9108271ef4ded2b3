"""Stand-in backend server for the line protocol."""

import asyncio
import itertools
import time
import typing
from collections.abc import Callable

import attrs

Position = tuple[int, int]
# Slot count that the users' servers report.
SLOTS = 5
# Lag that a server with stale visible data reports.
STALE_LAG_MS = 5_000


@attrs.frozen
class Commit:
    """Log entry.

    Attributes:
      position: Term and number.
      writes: Written (item, value) pairs.
    """

    position: Position
    writes: tuple[tuple[str, str], ...]


@attrs.frozen
class Run:
    """Record of a statement that a server ran.

    Attributes:
      request_id: Request id; `-` for a statement that no caller sent.
      text: Statement text without the position prefix.
      connection: Connection number.
      transaction: Transaction number; 0 outside a transaction.
      values: Session variables of the connection.
      account: Client name that was sent when the connection was opened.
      at: Time of the run on the monotonic clock, in seconds.
    """

    request_id: str
    text: str
    connection: int
    transaction: int
    values: dict[str, str]
    account: str = ""
    at: float = attrs.field(factory=time.monotonic, eq=False)


@attrs.define(eq=False)
class Session:
    """State of a connection.

    Attributes:
      number: Connection number, unique per server.
      state: `I` (idle), `T` (in a transaction) or `E` (in a failed
        transaction).
      transaction: Number of the open transaction; 0 outside a transaction.
      may_write: Whether the transaction may write.
      pending: Uncommitted writes.
      values: Session variables.
      prepared_statements: Kind and text of prepared statements by name.
      account: Client name that was sent when the connection was opened.
    """

    number: int
    state: str = "I"
    transaction: int = 0
    may_write: bool = False
    pending: list[tuple[str, str]] = attrs.Factory(list)
    values: dict[str, str] = attrs.Factory(dict)
    prepared_statements: dict[str, tuple[str, str]] = attrs.Factory(dict)
    account: str = ""


class GroupView(typing.Protocol):
    """Part of a database group that a server uses."""

    name: str
    term: int
    sync_replicas: int

    def replicate(self, primary: "LineServer") -> int:
        """Copy the primary's log to its replicas; return how many got it."""


class LineServer:
    """Stand-in server of a database group, with fault injection.

    Attributes:
      server_id: Server id.
      log: Commits in order.
      is_primary: Whether the server is the primary.
      running: Whether the server is up; a stopped one refuses connections.
      silent: Whether the server reads requests but sends no responses.
      replication_cut: Whether commits of the primary do not arrive.
      busy_answers: Number of upcoming reads, writes and commits that get BUSY.
      lost_answers: Number of upcoming reads, writes and commits that run but
        get no response.
      work_seconds: Duration of a read, write or commit.
      slots: Limit on concurrent reads, writes and commits.
      visible_entries: Number of log entries visible to reads; None for all. On
        a primary, all entries are visible.
      suspended_term: Term of the SUSPEND order that stopped replication to the
        server; 0 if replication is not suspended.
      runs: All statements that the server ran.
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
        """Listen on a free port, or on the previous one after a restart."""
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.running = True

    async def close(self) -> None:
        """Simulate a crash: abort all connections."""
        self.running = False
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def report(self) -> None:
        """Report the current role and state."""
        self.report_to(self)

    def receives(self) -> bool:
        """Return whether commits of the primary reach the server."""
        return (
            self.running
            and not self.replication_cut
            and not self.suspended_term
        )

    def receive(self, log: list[Commit]) -> None:
        """Replace the log by that of the primary.

        Args:
          log: Log of the primary.
        """
        self.log[:] = log

    def position(self) -> Position:
        """Return the position of the last log entry."""
        return last_position(self.log)

    def visible_log(self) -> list[Commit]:
        """Return the log entries visible to reads."""
        if self.is_primary or self.visible_entries is None:
            return self.log
        return self.log[: self.visible_entries]

    def lag_ms(self) -> int:
        """Return the reported replication lag in milliseconds."""
        behind = len(self.log) - len(self.visible_log())
        return STALE_LAG_MS if behind else 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        if not self.running:
            # It was being accepted when the server crashed.
            writer.transport.abort()
            return
        self.writers.add(writer)
        self.open_connections += 1
        try:
            await self.serve_queries(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            # The peer disconnected; dropping the session rolls back its transaction.
            return
        finally:
            self.open_connections -= 1
            self.writers.discard(writer)
            writer.close()

    async def serve_queries(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Perform the handshake and serve a connection's queries in order."""
        greeting = (await reader.readuntil(b"\r\n")).decode().split()
        refusal = self.refusal(greeting)
        if refusal:
            writer.write(f"ERROR {refusal}\r\n".encode())
            return
        session = Session(next(self.connection_numbers), account=greeting[2])
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
        """Return the error for a rejected handshake, or an empty string."""
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
        """Send a response, the session state and the visible position."""
        term, number = last_position(self.visible_log())
        lines = [*lines, f"READY {session.state} {term}.{number}"]
        writer.write("".join(f"{one}\r\n" for one in lines).encode())

    async def run(
        self, session: Session, request_id: str, text: str
    ) -> list[str] | None:
        """Run a query; return the response, or None to send none."""
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
        """Run a read, write or commit; return None to send no response."""
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
                session.account,
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
        """Append a session's writes to the log and wait for the replicas.

        Returns:
          Whether the commit may be acknowledged; False if the server lost the
          primary role while waiting.
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
        """Reset a session's transaction state."""
        session.pending.clear()
        session.state = "I"
        session.transaction = 0
        session.may_write = False

    def value(self, session: Session, item: str) -> str:
        """Return an item's value as visible to the session."""
        shown = self.visible_log()
        writes = [one for commit in shown for one in commit.writes]
        found = [
            data for name, data in [*writes, *session.pending] if name == item
        ]
        return found[-1] if found else "none"

    def complete_line(self, text: str) -> str:
        """Return the COMPLETE line with the server signature."""
        return f"COMPLETE {self.server_id}.{len(self.runs)}"

    def problem(self, session: Session, code: str) -> list[str]:
        """Return an error response; fail the open transaction, if any."""
        if session.state == "T":
            session.state = "E"
        return [f"ERROR {code} {self.server_id}"]

    def run_control(self, session: Session, word: str, rest: str) -> list[str]:
        """Run a session control statement, which takes no slot."""
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
        """Run a replication control order and return the server status."""
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
    """Return the position of the last entry; (1, 0) for an empty log.

    Args:
      log: Log to inspect.
    """
    return log[-1].position if log else (1, 0)

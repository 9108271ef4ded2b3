"""A caller of the line protocol."""

import asyncio

import attrs

CONNECT_SECONDS = 2.0
ANSWER_SECONDS = 10.0


@attrs.frozen
class LineAnswer:
    """What a caller received for one query.

    Attributes:
      rows: The result's rows.
      last: The line that ended the result.
      state: `I`, `T` or `E`.
    """

    rows: list[str]
    last: str
    state: str

    @property
    def code(self) -> str:
        """The error's code, empty on success."""
        return self.last.split(" ")[1] if self.last[:5] == "ERROR" else ""

    @property
    def signature(self) -> str:
        """The server's signature, empty where there is none."""
        found = self.last.removeprefix("COMPLETE ")
        return "" if found in ("-", self.last) else found


class LineCaller:
    """One connection.

    Attributes:
      greeting: The answer to naming the database.
      number: Queries that were sent.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.greeting = ""
        self.number = 0

    @classmethod
    async def connect(cls, port: int, database: str) -> "LineCaller":
        """Connect to a proxy on this machine and name a database.

        Args:
          port: Where the proxy listens.
          database: The database.
        """
        async with asyncio.timeout(CONNECT_SECONDS):
            caller = cls(*await asyncio.open_connection("127.0.0.1", port))
            caller.writer.write(f"CONNECT {database} caller\r\n".encode())
            caller.greeting = await caller.line()
        return caller

    async def line(self) -> str:
        """Return the next line; empty once the proxy has closed."""
        async with asyncio.timeout(ANSWER_SECONDS):
            return (await self.reader.readline()).decode().rstrip("\r\n")

    async def ask(self, text: str, request_id: str = "") -> LineAnswer:
        """Send a query and return the whole answer.

        Args:
          text: The query.
          request_id: Its id; one of the caller's own if empty.

        Raises:
          ConnectionResetError: The proxy closed the connection.
        """
        self.number += 1
        request_id = request_id or f"r{id(self):x}-{self.number}"
        self.writer.write(f"QUERY {request_id} {text}\r\n".encode())
        rows: list[str] = []
        last = ""
        while True:
            line = await self.line()
            word, _, rest = line.partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "READY":
                return LineAnswer(rows, last, rest.split(" ")[0])
            elif not word:
                raise ConnectionResetError("closed by the proxy")
            else:
                last = line

    async def close(self) -> None:
        """End the session."""
        self.writer.write(b"TERM\r\n")
        self.writer.close()

"""Client for the line protocol."""

import asyncio

import attrs

CONNECT_SECONDS = 2.0
ANSWER_SECONDS = 10.0


@attrs.frozen
class LineAnswer:
    """Response to one query.

    Attributes:
      rows: The result's rows.
      last: The `COMPLETE` or `ERROR` line that ended the result.
      state: Session state: `I` (idle), `T` (in a transaction) or `E` (in a
        failed transaction).
    """

    rows: list[str]
    last: str
    state: str

    @property
    def code(self) -> str:
        """Error code; empty on success."""
        return self.last.split(" ")[1] if self.last[:5] == "ERROR" else ""

    @property
    def signature(self) -> str:
        """Server signature; empty if the response has none."""
        found = self.last.removeprefix("COMPLETE ")
        return "" if found in ("-", self.last) else found


class LineCaller:
    """Client connection.

    Attributes:
      greeting: Response line to the `CONNECT` request.
      number: Number of queries sent.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.greeting = ""
        self.number = 0

    @classmethod
    async def connect(
        cls, port: int, database: str, key: str = "caller"
    ) -> "LineCaller":
        """Connect to a database through a proxy on the local host.

        Args:
          port: Port on which the proxy listens.
          database: Database name.
          key: Key of the caller's client account.

        Raises:
          TimeoutError: The proxy did not respond within CONNECT_SECONDS.
        """
        async with asyncio.timeout(CONNECT_SECONDS):
            caller = cls(*await asyncio.open_connection("127.0.0.1", port))
            caller.writer.write(f"CONNECT {database} {key}\r\n".encode())
            caller.greeting = await caller.line()
        return caller

    async def line(self) -> str:
        """Return the next line, or an empty string at end of stream.

        Raises:
          TimeoutError: No line arrived within ANSWER_SECONDS.
        """
        async with asyncio.timeout(ANSWER_SECONDS):
            return (await self.reader.readline()).decode().rstrip("\r\n")

    async def ask(self, text: str, request_id: str = "") -> LineAnswer:
        """Send a query and return the complete response.

        Args:
          text: Query text.
          request_id: Request id; generated if empty.

        Raises:
          ConnectionResetError: The proxy closed the connection.
          TimeoutError: No line arrived within ANSWER_SECONDS.
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

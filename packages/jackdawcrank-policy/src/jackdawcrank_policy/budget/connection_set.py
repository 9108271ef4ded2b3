"""The connections of one proxy to one backend server."""

import enum

import attrs


class ConnectionState(enum.StrEnum):
    """The state of a connection."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"
    RESETTING = "resetting"
    CLOSING = "closing"


@attrs.define
class Connection:
    """A connection to a backend server.

    Attributes:
      state: Its state.
      owner: The number of the transaction that holds it while it is busy.
    """

    state: ConnectionState = ConnectionState.OPENING
    owner: int | None = None


@attrs.define
class ConnectionSet:
    """Decides which connections to open, use, reset and close.

    A connection has one owner at a time and is reset between owners. A
    connection that timed out, broke or returned an unexpected response is
    closed and never reused. It counts as open until it is closed, so the share
    is never exceeded.

    Attributes:
      share: The maximum number of open connections.
      warm: The number of idle connections to keep in reserve.
      connections: The open connections by number.
      last_number: The number of the newest connection.
    """

    share: int
    warm: int = 2
    connections: dict[int, Connection] = attrs.Factory(dict)
    last_number: int = 0

    def count(self, state: ConnectionState) -> int:
        """Return how many connections are in a state."""
        return sum(
            connection.state is state
            for connection in self.connections.values()
        )

    def to_open(self, waiting: int = 0) -> list[int]:
        """Return the numbers of connections that must be opened now.

        Args:
          waiting: The number of transactions that wait for a connection.
        """
        ready = sum(
            self.count(state)
            for state in (
                ConnectionState.OPENING,
                ConnectionState.IDLE,
                ConnectionState.RESETTING,
            )
        )
        needed = min(
            waiting + self.warm - ready, self.share - len(self.connections)
        )
        return [self.open() for _ in range(needed)]

    def open(self) -> int:
        """Add a connection that is being opened; return its number."""
        self.last_number += 1
        self.connections[self.last_number] = Connection()
        return self.last_number

    def mark_idle(self, number: int) -> bool:
        """Mark a connection as idle after it was opened or reset.

        Args:
          number: The connection's number.

        Returns:
          Whether it may be used; if not, it must be closed.
        """
        connection = self.connections[number]
        if connection.state is ConnectionState.CLOSING:
            return False
        connection.state = ConnectionState.IDLE
        connection.owner = None
        return True

    def acquire(self, owner: int) -> int | None:
        """Assign an idle connection to a transaction; None if there is none.

        The most recently opened connection is used first, so that the others
        can be closed when there are too many.

        Args:
          owner: The transaction's number.
        """
        for number, connection in reversed(self.connections.items()):
            if connection.state is ConnectionState.IDLE:
                connection.state = ConnectionState.BUSY
                connection.owner = owner
                return number
        return None

    def owns(self, number: int, owner: int) -> bool:
        """Return whether a response on a connection is for a transaction.

        Args:
          number: The number of the connection that received the response.
          owner: The number of the transaction that sent the statement.
        """
        connection = self.connections.get(number)
        if connection is None or connection.state is not ConnectionState.BUSY:
            return False
        return connection.owner == owner

    def release(self, number: int, owner: int, clean: bool) -> bool:
        """End a transaction's use of a connection.

        Args:
          number: The connection's number.
          owner: The transaction's number.
          clean: Whether every statement got the expected response.

        Returns:
          Whether to reset it and then call `mark_idle`. If not, it must be
          closed, unless another transaction holds it.
        """
        if not self.owns(number, owner):
            return False
        if not clean or self.excess() > 0:
            self.mark_closing(number)
            return False
        self.connections[number].state = ConnectionState.RESETTING
        return True

    def excess(self) -> int:
        """Return how many connections that are not closing exceed the share."""
        closing = self.count(ConnectionState.CLOSING)
        return len(self.connections) - closing - self.share

    def mark_closing(self, number: int) -> None:
        """Mark a connection that must be closed."""
        self.connections[number].state = ConnectionState.CLOSING

    def remove(self, number: int) -> None:
        """Remove a connection that was closed."""
        self.connections.pop(number, None)

    def set_share(self, share: int) -> list[int]:
        """Change the share; return the idle connections to close.

        Busy connections above the share are closed when they are released.

        Args:
          share: The maximum number of open connections.
        """
        self.share = share
        idle = [
            number
            for number, connection in self.connections.items()
            if connection.state is ConnectionState.IDLE
        ]
        surplus = idle[: max(0, self.excess())]
        for number in surplus:
            self.mark_closing(number)
        return surplus

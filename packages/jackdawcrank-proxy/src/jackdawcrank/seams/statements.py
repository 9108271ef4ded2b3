"""Statements that a caller can send on a session."""

import attrs


@attrs.frozen
class Begin:
    """Begins a transaction.

    Attributes:
      read_only: Whether writes are not allowed in it.
    """

    read_only: bool


@attrs.frozen
class Commit:
    """Commits the open transaction."""


@attrs.frozen
class Rollback:
    """Rolls back the open transaction."""


@attrs.frozen
class DataStatement:
    """Reads or writes data; forwarded unchanged.

    Attributes:
      writes: Whether the statement changes data.
      text: The text as received from the caller.
    """

    writes: bool
    text: str


@attrs.frozen
class ExecutePrepared:
    """Executes a prepared statement.

    Attributes:
      name: The caller's name of the prepared statement.
      arguments: The arguments, as received from the caller.
    """

    name: str
    arguments: str


@attrs.frozen
class DefinePrepared:
    """Defines a prepared statement.

    Attributes:
      name: The caller's name of the prepared statement.
      writes: Whether the statement changes data.
      shape: The text of the statement.
    """

    name: str
    writes: bool
    shape: str


@attrs.frozen
class DeallocatePrepared:
    """Deallocates a prepared statement.

    Attributes:
      name: The caller's name of the prepared statement.
    """

    name: str


@attrs.frozen
class SetSessionValue:
    """Sets a session variable.

    Attributes:
      name: The name of the variable.
      value: The new value.
    """

    name: str
    value: str


@attrs.frozen
class InvalidStatement:
    """A text that is not a valid statement.

    Attributes:
      detail: Why the text is not valid.
    """

    detail: str


Statement = (
    Begin
    | Commit
    | Rollback
    | DataStatement
    | ExecutePrepared
    | DefinePrepared
    | DeallocatePrepared
    | SetSessionValue
    | InvalidStatement
)

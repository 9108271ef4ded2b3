"""What a caller's session may ask."""

import attrs


@attrs.frozen
class Begin:
    """Opens a transaction.

    Attributes:
      read_only: Whether it may not write.
    """

    read_only: bool


@attrs.frozen
class Commit:
    """Commits the transaction."""


@attrs.frozen
class Rollback:
    """Rolls the transaction back."""


@attrs.frozen
class DataStatement:
    """Reads or writes data; forwarded as it stands.

    Attributes:
      writes: Whether it changes data.
      text: The caller's text.
    """

    writes: bool
    text: str


@attrs.frozen
class ExecutePrepared:
    """Executes a prepared statement.

    Attributes:
      name: The caller's name of it.
      arguments: The rest of the caller's text.
    """

    name: str
    arguments: str


@attrs.frozen
class DefinePrepared:
    """Prepares a statement.

    Attributes:
      name: The caller's name for it.
      writes: Whether it changes data.
      shape: Its text.
    """

    name: str
    writes: bool
    shape: str


@attrs.frozen
class DeallocatePrepared:
    """Forgets a prepared statement.

    Attributes:
      name: The caller's name of it.
    """

    name: str


@attrs.frozen
class SetSessionValue:
    """Sets a session value.

    Attributes:
      name: The value's name.
      value: The value.
    """

    name: str
    value: str


@attrs.frozen
class InvalidStatement:
    """A text that is no statement.

    Attributes:
      detail: What is wrong with it.
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

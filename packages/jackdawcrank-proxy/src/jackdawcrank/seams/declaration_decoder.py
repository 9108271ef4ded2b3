"""How declarations and server reports are read from stored rows."""

import typing

from jackdawcrank.seams.metadata_store import StoredRow
from jackdawcrank_policy.catalog import Declarations, ListedServer


class DeclarationDecoder(typing.Protocol):
    """Where declarations lie in the store, and what their rows mean.

    Attributes:
      declarations_table: The table of declarations.
      servers_table: The table of server reports, a row a server.
    """

    declarations_table: str
    servers_table: str

    def read_declarations(self, row: StoredRow) -> Declarations | None:
        """Return the declarations in a row; None if it holds none.

        Args:
          row: A row of the declarations table.
        """

    def read_server(self, row: StoredRow) -> ListedServer | None:
        """Return the server in a row; None if the row is unreadable.

        Args:
          row: A row of the servers table.
        """

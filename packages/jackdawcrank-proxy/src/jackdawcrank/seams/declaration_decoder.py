"""Interface for decoding declarations and server reports from rows."""

import typing

from jackdawcrank.seams.metadata_store import StoredRow
from jackdawcrank_policy.catalog import Declarations, ListedServer


class DeclarationDecoder(typing.Protocol):
    """Names the tables in the metadata store and decodes their rows.

    Attributes:
      declarations_table: The table that contains the declarations.
      servers_table: The table of server reports, one row per server.
    """

    declarations_table: str
    servers_table: str

    def read_declarations(self, row: StoredRow) -> Declarations | None:
        """Return the declarations in a row; None if there are none.

        Args:
          row: A row of the declarations table.
        """

    def read_server(self, row: StoredRow) -> ListedServer | None:
        """Return the server in a row; None if the row is unreadable.

        Args:
          row: A row of the servers table.
        """

"""The record stored in a group for each write with a request id."""

import re

import attrs
import xxhash

MAX_REQUEST_ID_LENGTH = 64
CREATE_TABLE = (
    "CREATE TABLE IF NOT EXISTS jackdawcrank_requests ("
    "request_id VARCHAR(64) PRIMARY KEY, statement_digest VARCHAR(32), "
    "affected_rows BIGINT, last_insert_id BIGINT, created_at BIGINT)"
)
INSERT_RECORD = (
    "INSERT INTO jackdawcrank_requests (request_id, statement_digest, "
    "affected_rows, last_insert_id, created_at) VALUES (%s, %s, NULL, NULL, %s)"
)
UPDATE_RECORD = (
    "UPDATE jackdawcrank_requests SET affected_rows = %s, "
    "last_insert_id = %s WHERE request_id = %s"
)
SELECT_RECORD = (
    "SELECT statement_digest, affected_rows, last_insert_id "
    "FROM jackdawcrank_requests WHERE request_id = %s"
)
REQUEST_ID = re.compile(r"[A-Za-z0-9._:/-]{1,64}")


@attrs.frozen
class RequestResult:
    """The result of the first execution.

    Attributes:
      affected_rows: The rows that the statement changed.
      last_insert_id: The last generated key, or 0.
    """

    affected_rows: int
    last_insert_id: int


@attrs.frozen
class RequestRecord:
    """A row of the request table.

    Attributes:
      statement_digest: The digest of the statement that ran.
      result: The result of that statement.
      is_finished: Whether the result is known. It is unknown if a statement
        that commits implicitly stored its record, but its connection was lost
        before the result was written.
    """

    statement_digest: str
    result: RequestResult
    is_finished: bool = True

    @classmethod
    def from_row(cls, row: tuple[object, ...]) -> "RequestRecord":
        """Return the record in a row returned by `SELECT_RECORD`.

        Args:
          row: Digest, affected rows and last insert id.
        """
        digest, affected_rows, last_insert_id = row[:3]
        result = RequestResult(
            int(str(affected_rows or 0)), int(str(last_insert_id or 0))
        )
        return cls(str(digest), result, affected_rows is not None)


def is_request_id(text: str) -> bool:
    """Return whether a text is a valid request id."""
    return REQUEST_ID.fullmatch(text) is not None


def digest_statement(statement: str) -> str:
    """Return the 32-character digest of a statement without its options."""
    return xxhash.xxh3_128_hexdigest(
        statement.encode("utf-8", "surrogateescape")
    )

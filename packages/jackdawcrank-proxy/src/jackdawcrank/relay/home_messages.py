"""What proxies and homes say to each other.

Frames are msgpack lists: the request's number, the kind, then the fields in
the order of the types below. Number 0 expects no answer.
"""

import enum
import typing

import msgpack

from jackdawcrank.relay.execution import Execution
from jackdawcrank.relay.session_view import SessionView
from jackdawcrank.seams.metadata_store import (
    StoredRow,
    TableChanges,
    TableSnapshot,
)
from jackdawcrank.seams.replies import Problem, Reply, SessionState
from jackdawcrank_policy.catalog import Consistency, DatabaseSpec
from jackdawcrank_policy.sessions import PreparedStatement
from jackdawcrank_policy.values.position import Position

# A statement of 1 MiB, its session values and the framing.
MAX_FRAME_BYTES = 2 * 1024 * 1024


class Kind(enum.IntEnum):
    """The kinds of messages."""

    RUN = 1
    BEGIN = 2
    RUN_IN_TRANSACTION = 3
    COMMIT = 4
    UNDO = 5
    ANSWER = 6
    ALIVE = 9
    LEAVING = 10
    FOLLOW = 11
    IMAGE = 12
    CHANGES = 13


Fields = list[typing.Any]


def pack(number: int, kind: Kind, *fields: typing.Any) -> bytes:
    """Return a frame's body.

    Args:
      number: The request's number, or 0.
      kind: What the message is.
      *fields: Its fields.
    """
    return typing.cast(bytes, msgpack.packb([number, int(kind), *fields]))


def unpack(body: bytes) -> tuple[int, Kind, Fields]:
    """Return a frame's number, kind and fields.

    Args:
      body: The frame's body.

    Raises:
      ValueError: It is no message.
    """
    try:
        number, kind, *fields = msgpack.unpackb(body, use_list=True)
        return int(number), Kind(kind), fields
    except (
        TypeError,
        ValueError,
        msgpack.exceptions.UnpackException,
    ) as error:
        raise ValueError(f"not a message: {error}") from error


def encode_position(position: Position | None) -> Fields | None:
    """Return a position as sent."""
    return [position.term, position.offset] if position else None


def decode_position(fields: Fields | None) -> Position | None:
    """Return the position that was sent."""
    return Position(*fields) if fields else None


def encode_session(session: SessionView, spec: DatabaseSpec) -> Fields:
    """Return what a home needs to know of a session.

    Args:
      session: The session.
      spec: Its database's declaration.
    """
    return [
        session.database,
        [
            spec.group,
            spec.consistency.value,
            spec.max_age_seconds,
            spec.statement_timeout_seconds,
            spec.latency_objective_seconds,
            spec.priority,
        ],
        session.memory.values,
        encode_position(session.last_position),
        session.read_only,
    ]


def decode_spec(name: str, fields: Fields) -> DatabaseSpec:
    """Return the declaration that was sent.

    Args:
      name: The database's name.
      fields: The rest of it.
    """
    group, consistency, *rest = fields
    return DatabaseSpec(name, group, Consistency(consistency), *rest)


def encode_execution(execution: Execution | None) -> Fields | None:
    """Return a statement as sent."""
    if execution is None:
        return None
    prepared = execution.prepared
    return [
        execution.request_id,
        execution.writes,
        execution.text,
        [prepared.writes, prepared.shape] if prepared else None,
    ]


def decode_execution(fields: Fields | None) -> Execution | None:
    """Return the statement that was sent."""
    if fields is None:
        return None
    request_id, writes, text, prepared = fields
    return Execution(
        request_id,
        writes,
        text,
        PreparedStatement(*prepared) if prepared else None,
    )


def encode_reply(reply: Reply) -> Fields:
    """Return an answer as sent."""
    return [
        reply.rows,
        reply.signature,
        reply.problem.value if reply.problem else None,
        reply.detail,
        reply.state.value,
        encode_position(reply.position),
    ]


def decode_reply(fields: Fields) -> Reply:
    """Return the answer that was sent."""
    rows, signature, problem, detail, state, position = fields
    return Reply(
        tuple(rows),
        signature,
        Problem(problem) if problem else None,
        detail,
        SessionState(state),
        decode_position(position),
    )


def encode_rows(rows: typing.Iterable[StoredRow]) -> Fields:
    """Return rows as sent."""
    return [[row.key, row.value, row.revision] for row in rows]


def decode_rows(fields: Fields) -> tuple[StoredRow, ...]:
    """Return the rows that were sent."""
    return tuple(StoredRow(*row) for row in fields)


def encode_image(image: TableSnapshot) -> Fields:
    """Return a table as sent."""
    return [encode_rows(image.rows), image.revision, image.store_seconds]


def decode_image(fields: Fields) -> TableSnapshot:
    """Return the table that was sent."""
    rows, revision, store_seconds = fields
    return TableSnapshot(decode_rows(rows), revision, store_seconds)


def encode_changes(changes: TableChanges) -> Fields:
    """Return changes as sent."""
    return [encode_rows(changes.rows), changes.removed, changes.revision]


def decode_changes(fields: Fields) -> TableChanges:
    """Return the changes that were sent."""
    rows, removed, revision = fields
    return TableChanges(decode_rows(rows), tuple(removed), revision)

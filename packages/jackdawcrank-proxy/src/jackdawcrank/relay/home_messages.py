"""Messages between entry proxies and home proxies.

A frame is a msgpack list: the request number, the message kind, then the
fields in the order of the types below. Messages with number 0 get no reply.
"""

import enum
import typing

import msgpack

from jackdawcrank.relay.execution import Execution
from jackdawcrank.relay.session_view import SessionView
from jackdawcrank.seams.replies import Problem, Reply, SessionState
from jackdawcrank_policy.catalog import Consistency, DatabaseSpec
from jackdawcrank_policy.sessions import PreparedStatement
from jackdawcrank_policy.values.position import Position

# Holds a statement of 1 MiB with its session values and the framing.
MAX_FRAME_BYTES = 2 * 1024 * 1024


class Kind(enum.IntEnum):
    """The kind of a message."""

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
    STORE_ANSWERS = 14
    RESEND = 15
    ALLOWANCE_REQUEST = 16
    ALLOWANCE_GRANT = 17
    CHECK_PRIMARY = 18
    STEP_DOWN = 19


Fields = list[typing.Any]


def pack(number: int, kind: Kind, *fields: typing.Any) -> bytes:
    """Return the encoded body of a frame.

    Args:
      number: The request number, or 0 if no reply is expected.
      kind: The kind of the message.
      *fields: The fields of the message.
    """
    return typing.cast(bytes, msgpack.packb([number, int(kind), *fields]))


def unpack(body: bytes) -> tuple[int, Kind, Fields]:
    """Return the request number, kind and fields of a frame.

    Args:
      body: The encoded body of the frame.

    Raises:
      ValueError: The body is not a valid message.
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
    """Return a position as message fields, or None."""
    return [position.term, position.offset] if position else None


def decode_position(fields: Fields | None) -> Position | None:
    """Return the position decoded from message fields, or None."""
    return Position(*fields) if fields else None


def encode_session(session: SessionView, spec: DatabaseSpec) -> Fields:
    """Return the part of a session that a home needs, as message fields.

    Args:
      session: The session.
      spec: The declaration of its database.
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
        session.context.values,
        encode_position(session.last_position),
        session.read_only,
        session.account,
    ]


def decode_spec(name: str, fields: Fields) -> DatabaseSpec:
    """Return a database declaration decoded from message fields.

    Args:
      name: The name of the database.
      fields: The other fields of the declaration.
    """
    group, consistency, *rest = fields
    return DatabaseSpec(name, group, Consistency(consistency), *rest)


def encode_execution(execution: Execution | None) -> Fields | None:
    """Return a statement as message fields, or None."""
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
    """Return the statement decoded from message fields, or None."""
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
    """Return a reply as message fields."""
    return [
        reply.rows,
        reply.signature,
        reply.problem.value if reply.problem else None,
        reply.detail,
        reply.state.value,
        encode_position(reply.position),
    ]


def decode_reply(fields: Fields) -> Reply:
    """Return the reply decoded from message fields."""
    rows, signature, problem, detail, state, position = fields
    return Reply(
        tuple(rows),
        signature,
        Problem(problem) if problem else None,
        detail,
        SessionState(state),
        decode_position(position),
    )

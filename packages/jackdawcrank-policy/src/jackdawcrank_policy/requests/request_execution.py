"""The at-most-once execution of one write with a request id."""

import dataclasses
import enum
import functools

import attrs

from jackdawcrank_policy.requests.request_record import (
    CREATE_TABLE,
    INSERT_RECORD,
    SELECT_RECORD,
    UPDATE_RECORD,
    RequestRecord,
    RequestResult,
)
from jackdawcrank_policy.requests.statement_reply import (
    ConnectionLost,
    ServerError,
    StatementDone,
    StatementReply,
)
from jackdawcrank_policy.values import (
    Failed,
    NotRun,
    NotRunReason,
    Position,
    Unknown,
)

ER_DUPLICATE_KEY = 1062
ER_NO_SUCH_TABLE = 1146
ER_LOCK_WAIT_TIMEOUT = 1205
ER_DEADLOCK = 1213
ER_READ_ONLY = 1290
ER_QUERY_TIMEOUT = 3024
ROLLED_BACK_CODES = frozenset(
    {ER_LOCK_WAIT_TIMEOUT, ER_DEADLOCK, ER_READ_ONLY, ER_QUERY_TIMEOUT}
)
# MySQL reports this error when a server shuts down and ends its connections.
CONNECTION_LOST_CODE = 1053
CONNECTION_LOST_SQLSTATE = "08S01"
BUSY_RETRY_MS = 200
NO_PRIMARY_RETRY_MS = 500


class RequestStep(enum.Enum):
    """The steps of an execution; the last three follow a server error."""

    BEGIN = "begin"
    INSERT = "insert"
    RUN = "run"
    RECORD = "record"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    CREATE = "create"
    LOOK_UP = "look_up"


@attrs.frozen
class Statement:
    """A statement for the executor to run on the execution's connection.

    Attributes:
      step: The step of the execution that the statement belongs to.
      sql: The text, with a `%s` placeholder for each parameter.
      parameters: The values of the placeholders.
    """

    step: RequestStep
    sql: str
    parameters: tuple[str | int, ...] = ()


@dataclasses.dataclass(frozen=True)
class Executed:
    """The write is committed on the primary and must be acknowledged.

    Attributes:
      result: The result of the first execution.
      repeated: Whether an earlier execution gave the result. A repeat is
        acknowledged under the rules for a read from the primary.
      position: The position of the commit, if this execution committed.
    """

    result: RequestResult
    repeated: bool
    position: Position | None = None


ExecutionOutcome = Executed | NotRun | Failed | Unknown


@attrs.define
class RequestExecution:
    """Runs a write and its request record in one backend transaction.

    Call `start` and run the returned statement. Pass each reply to `on_reply`,
    which returns the next statement or the final outcome. The whole execution
    uses one connection. The connection must be closed after `ConnectionLost`
    and after every outcome other than `Executed`.

    A repeat that runs concurrently with the first execution blocks on the
    unique key of the record until the first execution has committed or rolled
    back. The statement is sent at most once per execution, and an execution is
    never restarted after the statement was sent.

    Attributes:
      request_id: The caller's request id.
      digest: The digest of the statement.
      sql: The text of the statement.
      created_at: The time of the request, in Unix seconds.
      implicit_commit: Whether the statement commits implicitly, as DDL does.
      step: The step whose reply is awaited.
      result: The result of the statement, set when it has run.
      after_rollback: The statement or outcome that follows the ROLLBACK.
      created_table: Whether creation of the request table was attempted.
    """

    request_id: str
    digest: str
    sql: str
    created_at: int
    implicit_commit: bool = False
    step: RequestStep = RequestStep.BEGIN
    result: RequestResult = RequestResult(0, 0)
    after_rollback: Statement | ExecutionOutcome | None = None
    created_table: bool = False

    def start(self) -> Statement:
        """Return the first statement."""
        return self.mark_sent(Statement(RequestStep.BEGIN, "BEGIN"))

    def on_reply(self, reply: StatementReply) -> Statement | ExecutionOutcome:
        """Return the statement or outcome that follows a reply.

        Args:
          reply: The reply to the most recently returned statement.
        """
        next_step = _handle_reply(reply, self)
        if isinstance(next_step, Statement):
            return self.mark_sent(next_step)
        return next_step

    def mark_sent(self, statement: Statement) -> Statement:
        """Return a statement after recording its step as awaiting a reply."""
        self.step = statement.step
        return statement

    def roll_back(
        self, continuation: Statement | ExecutionOutcome
    ) -> Statement:
        """Return a ROLLBACK and store what follows it."""
        self.after_rollback = continuation
        return Statement(RequestStep.ROLLBACK, "ROLLBACK")

    def on_success(self, reply: StatementDone) -> Statement | ExecutionOutcome:
        """Return the statement or outcome that follows a successful reply."""
        match self.step:
            case RequestStep.BEGIN:
                return Statement(
                    RequestStep.INSERT,
                    INSERT_RECORD,
                    (self.request_id, self.digest, self.created_at),
                )
            case RequestStep.INSERT:
                return Statement(RequestStep.RUN, self.sql)
            case RequestStep.RUN:
                self.result = RequestResult(
                    reply.affected_rows, reply.last_insert_id
                )
                return Statement(
                    RequestStep.RECORD,
                    UPDATE_RECORD,
                    (
                        self.result.affected_rows,
                        self.result.last_insert_id,
                        self.request_id,
                    ),
                )
            case RequestStep.RECORD:
                return Statement(RequestStep.COMMIT, "COMMIT")
            case RequestStep.COMMIT:
                return Executed(self.result, False, reply.position)
            case RequestStep.CREATE:
                return Statement(RequestStep.BEGIN, "BEGIN")
            case RequestStep.ROLLBACK:
                assert self.after_rollback is not None
                return self.after_rollback
            case RequestStep.LOOK_UP:
                return self.compare_record(reply)

    def compare_record(self, reply: StatementDone) -> ExecutionOutcome:
        """Return the outcome for a request whose id is already recorded."""
        if not reply.rows:
            return _overloaded("the request's record has just been removed")
        record = RequestRecord.from_row(reply.rows[0])
        if record.statement_digest == self.digest:
            if not record.is_finished:
                return Unknown("the first execution has no recorded result")
            return Executed(record.result, repeated=True)
        return NotRun(
            NotRunReason.BAD_OPTION,
            "the request id was used for another statement",
        )

    def on_error(self, error: ServerError) -> Statement | ExecutionOutcome:
        """Return the statement or outcome that follows a server error."""
        match self.step:
            case RequestStep.INSERT:
                return self.on_insert_error(error)
            case RequestStep.RUN | RequestStep.RECORD:
                if self.implicit_commit:
                    return Unknown(
                        "the statement may have committed implicitly"
                    )
                return self.roll_back(_failed(error))
            case RequestStep.COMMIT if error.code in ROLLED_BACK_CODES:
                return _failed(error)
            case RequestStep.COMMIT:
                return Unknown(
                    f"the server answered the commit with error {error.code}"
                )
            case RequestStep.ROLLBACK:
                assert self.after_rollback is not None
                if isinstance(self.after_rollback, Statement):
                    return _no_primary(error.message)
                return self.after_rollback
            case _:
                return _no_primary(error.message)

    def on_insert_error(
        self, error: ServerError
    ) -> Statement | ExecutionOutcome:
        """Return the statement or outcome that follows a failed insert."""
        if error.code == ER_DUPLICATE_KEY:
            return self.roll_back(
                Statement(
                    RequestStep.LOOK_UP, SELECT_RECORD, (self.request_id,)
                )
            )
        if error.code == ER_NO_SUCH_TABLE and not self.created_table:
            self.created_table = True
            return self.roll_back(Statement(RequestStep.CREATE, CREATE_TABLE))
        if error.code in (ER_LOCK_WAIT_TIMEOUT, ER_DEADLOCK):
            return self.roll_back(
                _overloaded("the same request is already running")
            )
        if error.code == ER_READ_ONLY:
            return self.roll_back(_no_primary(error.message))
        return self.roll_back(_failed(error))

    def on_connection_lost(self, reply: ConnectionLost) -> ExecutionOutcome:
        """Return the outcome of an execution that lost its connection.

        The server rolls back a transaction whose connection ends before its
        COMMIT was sent.
        """
        if self.step is RequestStep.COMMIT:
            return Unknown("the connection was lost during the commit")
        statement_sent = self.step in (RequestStep.RUN, RequestStep.RECORD)
        if statement_sent and self.implicit_commit:
            return Unknown("the statement may have committed implicitly")
        if statement_sent:
            return Failed(
                CONNECTION_LOST_CODE,
                CONNECTION_LOST_SQLSTATE,
                f"rolled back after the connection was lost: {reply.detail}",
            )
        if self.step is RequestStep.ROLLBACK and isinstance(
            self.after_rollback, Failed | NotRun
        ):
            return self.after_rollback
        return _no_primary(reply.detail)


@functools.singledispatch
def _handle_reply(
    reply: StatementReply, execution: RequestExecution
) -> Statement | ExecutionOutcome:
    raise TypeError(f"unsupported reply: {reply!r}")


@_handle_reply.register
def _(
    reply: StatementDone, execution: RequestExecution
) -> Statement | ExecutionOutcome:
    return execution.on_success(reply)


@_handle_reply.register
def _(
    reply: ServerError, execution: RequestExecution
) -> Statement | ExecutionOutcome:
    return execution.on_error(reply)


@_handle_reply.register
def _(
    reply: ConnectionLost, execution: RequestExecution
) -> Statement | ExecutionOutcome:
    return execution.on_connection_lost(reply)


def _failed(error: ServerError) -> Failed:
    return Failed(error.code, error.sqlstate, error.message)


def _overloaded(detail: str) -> NotRun:
    return NotRun(NotRunReason.OVERLOADED, detail, BUSY_RETRY_MS)


def _no_primary(detail: str) -> NotRun:
    return NotRun(NotRunReason.NO_PRIMARY, detail, NO_PRIMARY_RETRY_MS)

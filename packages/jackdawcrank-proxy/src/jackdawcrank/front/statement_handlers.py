"""Handlers for the kinds of statements that callers send."""

from collections.abc import Awaitable, Callable, Mapping

from jackdawcrank.front.caller_session import CallerSession
from jackdawcrank.front.values import make_number_row, make_text_rows
from jackdawcrank.results.errors import not_run, not_supported, result_error
from jackdawcrank.statements import (
    FrontKind,
    MalformedOption,
    Options,
    Statement,
    classify,
    options_from_attributes,
    parse_set,
    split_options,
)
from jackdawcrank_policy.requests import is_request_id
from jackdawcrank_policy.values import NotRun, NotRunReason
from jackdawcrank_wire.messages import (
    ResultError,
    ResultOk,
    StatementKind,
    StatementResult,
)

Handler = Callable[
    [CallerSession, Statement, str, Options], Awaitable[StatementResult]
]


async def handle_statement(
    session: CallerSession, sql: str, attributes: Mapping[str, str]
) -> StatementResult:
    """Run a caller's statement.

    Args:
      session: The caller's session.
      sql: The statement as the caller sent it.
      attributes: The statement's query attributes.
    """
    split = split_options(sql)
    if isinstance(split, MalformedOption):
        return _bad_option(split)
    attribute_options = options_from_attributes(attributes)
    if isinstance(attribute_options, MalformedOption):
        return _bad_option(attribute_options)
    options = attribute_options.with_defaults(split.options).with_defaults(
        session.session_variables.defaults
    )
    statement = classify(split.sql)
    try:
        handler = _HANDLERS[statement.kind]
        return await handler(session, statement, split.sql, options)
    finally:
        session.on_statement_end()


async def _run_read_or_write(
    session: CallerSession, statement: Statement, sql: str, options: Options
) -> StatementResult:
    lost = session.discard_lost_transaction()
    if lost is not None:
        return lost
    if session.transaction is None and not session.autocommit:
        session.begin_transaction()
    if statement.stateful and session.transaction is None:
        return not_supported("session state outside a transaction")
    is_read = statement.kind is FrontKind.READ
    kind = StatementKind.READ if is_read else StatementKind.WRITE
    if session.transaction is None and is_read and not session.database:
        return not_run("unknown_group", "No database selected", 1046, "3D000")
    return await session.send(kind, sql, options)


async def _run_schema_change(
    session: CallerSession, statement: Statement, sql: str, options: Options
) -> StatementResult:
    if statement.stateful:
        return await _run_read_or_write(session, statement, sql, options)
    ended = await session.end_transaction(StatementKind.COMMIT)
    if isinstance(ended, ResultError):
        return ended
    return await session.send(StatementKind.WRITE, sql, options)


async def _begin(
    session: CallerSession, statement: Statement, sql: str, options: Options
) -> StatementResult:
    ended = await session.end_transaction(StatementKind.COMMIT)
    if isinstance(ended, ResultError):
        return ended
    session.begin_transaction(read_only="read only" in sql.lower())
    return ResultOk(in_transaction=True)


async def _commit(
    session: CallerSession, statement: Statement, sql: str, options: Options
) -> StatementResult:
    lost = session.discard_lost_transaction()
    if lost is not None:
        return lost
    return await session.end_transaction(StatementKind.COMMIT, options)


async def _roll_back(
    session: CallerSession, statement: Statement, sql: str, options: Options
) -> StatementResult:
    return await session.end_transaction(StatementKind.ROLLBACK, options)


async def _set(
    session: CallerSession, statement: Statement, sql: str, options: Options
) -> StatementResult:
    items = parse_set(sql)
    if items is None:
        return not_supported("this form of SET")
    was_autocommit = session.autocommit
    for item in items:
        refusal = session.session_variables.assign(item)
        if refusal is not None:
            return refusal
    if session.autocommit and not was_autocommit:
        return await session.end_transaction(StatementKind.COMMIT, options)
    return ResultOk()


async def _use(
    session: CallerSession, statement: Statement, sql: str, options: Options
) -> StatementResult:
    return await session.use_group(statement.argument)


async def _show_request(
    session: CallerSession, statement: Statement, sql: str, options: Options
) -> StatementResult:
    if not is_request_id(statement.argument):
        return not_run("bad_option", "malformed request id", 1210)
    request_options = Options(
        request_id=statement.argument, deadline_ms=options.deadline_ms
    )
    return await session.send(StatementKind.SHOW_REQUEST, sql, request_options)


async def _show_warnings(
    session: CallerSession, statement: Statement, sql: str, options: Options
) -> StatementResult:
    # Warnings remain on the pooled backend connection and are not available.
    return make_text_rows(("Level", "Code", "Message"), ())


async def _session_token(
    session: CallerSession, statement: Statement, sql: str, options: Options
) -> StatementResult:
    refusal = session.progress.merge(session.database or "", options)
    if refusal is not None:
        return refusal
    error = await session.fetch_last_read_position(options)
    if error is not None:
        return error
    text = session.router.sign(session.progress.token)
    return make_text_rows(("@@session_token",), ((text,),))


async def _last_insert_id(
    session: CallerSession, statement: Statement, sql: str, options: Options
) -> StatementResult:
    return make_number_row("last_insert_id()", session.last_insert_id)


async def _connection_id(
    session: CallerSession, statement: Statement, sql: str, options: Options
) -> StatementResult:
    number = int(session.session_id.rpartition("-")[2])
    return make_number_row("connection_id()", number)


async def _empty(
    session: CallerSession, statement: Statement, sql: str, options: Options
) -> StatementResult:
    return not_run("not_supported", "Query was empty", 1065, "42000")


async def _multiple(
    session: CallerSession, statement: Statement, sql: str, options: Options
) -> StatementResult:
    return not_supported("more than one statement at once")


async def _unsupported(
    session: CallerSession, statement: Statement, sql: str, options: Options
) -> StatementResult:
    return not_supported("this statement")


def _bad_option(malformed: MalformedOption) -> ResultError:
    return result_error(NotRun(NotRunReason.BAD_OPTION, malformed.detail))


_HANDLERS: dict[FrontKind, Handler] = {
    FrontKind.READ: _run_read_or_write,
    FrontKind.WRITE: _run_read_or_write,
    FrontKind.IMPLICIT_COMMIT: _run_schema_change,
    FrontKind.BEGIN: _begin,
    FrontKind.COMMIT: _commit,
    FrontKind.ROLLBACK: _roll_back,
    FrontKind.SET: _set,
    FrontKind.USE: _use,
    FrontKind.SHOW_REQUEST: _show_request,
    FrontKind.SHOW_WARNINGS: _show_warnings,
    FrontKind.SESSION_TOKEN: _session_token,
    FrontKind.LAST_INSERT_ID: _last_insert_id,
    FrontKind.CONNECTION_ID: _connection_id,
    FrontKind.EMPTY: _empty,
    FrontKind.MULTIPLE: _multiple,
    FrontKind.UNSUPPORTED: _unsupported,
}

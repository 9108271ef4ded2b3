"""At-most-once execution of writes that carry a request id."""

from jackdawcrank_policy.requests.expiry import (
    REQUEST_RECORD_SECONDS,
    expired_before,
)
from jackdawcrank_policy.requests.request_execution import (
    CONNECTION_LOST_CODE,
    Executed,
    RequestExecution,
    RequestStep,
    Statement,
)
from jackdawcrank_policy.requests.request_record import (
    CREATE_TABLE,
    MAX_REQUEST_ID_LENGTH,
    RequestRecord,
    RequestResult,
    digest_statement,
    is_request_id,
)
from jackdawcrank_policy.requests.statement_reply import (
    ConnectionLost,
    ServerError,
    StatementDone,
    StatementReply,
)

__all__ = [
    "CONNECTION_LOST_CODE",
    "CREATE_TABLE",
    "MAX_REQUEST_ID_LENGTH",
    "REQUEST_RECORD_SECONDS",
    "ConnectionLost",
    "Executed",
    "RequestExecution",
    "RequestRecord",
    "RequestResult",
    "RequestStep",
    "ServerError",
    "Statement",
    "StatementDone",
    "StatementReply",
    "digest_statement",
    "expired_before",
    "is_request_id",
]

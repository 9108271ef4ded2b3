"""Messages exchanged between proxies."""

from jackdawcrank_wire.messages.aged_report import AgedReport
from jackdawcrank_wire.messages.answer import Answer
from jackdawcrank_wire.messages.answer_end import AnswerEnd
from jackdawcrank_wire.messages.ask_evidence import AskEvidence
from jackdawcrank_wire.messages.cancel import Cancel
from jackdawcrank_wire.messages.challenge import Challenge
from jackdawcrank_wire.messages.changes_answer import ChangesAnswer
from jackdawcrank_wire.messages.changes_request import ChangesRequest
from jackdawcrank_wire.messages.chunk_credit import ChunkCredit
from jackdawcrank_wire.messages.closing import Closing
from jackdawcrank_wire.messages.column_info import ColumnInfo
from jackdawcrank_wire.messages.config_version import ConfigVersion
from jackdawcrank_wire.messages.evidence_answer import EvidenceAnswer
from jackdawcrank_wire.messages.execute import Execute
from jackdawcrank_wire.messages.give_up_lease import GiveUpLease
from jackdawcrank_wire.messages.hello import PROTOCOL_VERSION, Hello
from jackdawcrank_wire.messages.lease_given_up import LeaseGivenUp
from jackdawcrank_wire.messages.leaving import Leaving
from jackdawcrank_wire.messages.message import MESSAGE_TYPES, Message
from jackdawcrank_wire.messages.ping import Ping
from jackdawcrank_wire.messages.pong import Pong
from jackdawcrank_wire.messages.proof import Proof
from jackdawcrank_wire.messages.refused import RefusalReason, Refused
from jackdawcrank_wire.messages.replica_positions import ReplicaPositions
from jackdawcrank_wire.messages.request_failed import RequestFailed
from jackdawcrank_wire.messages.result_error import ResultError
from jackdawcrank_wire.messages.result_ok import ResultOk
from jackdawcrank_wire.messages.result_rows import ResultRows, Row, Rows
from jackdawcrank_wire.messages.rows_chunk import RowsChunk
from jackdawcrank_wire.messages.statement_kind import StatementKind
from jackdawcrank_wire.messages.statement_outcome import StatementOutcome
from jackdawcrank_wire.messages.statement_request import StatementRequest
from jackdawcrank_wire.messages.statement_result import StatementResult

__all__ = [
    "AgedReport",
    "Answer",
    "AnswerEnd",
    "AskEvidence",
    "Cancel",
    "Challenge",
    "ChangesAnswer",
    "ChangesRequest",
    "ChunkCredit",
    "Closing",
    "ColumnInfo",
    "ConfigVersion",
    "EvidenceAnswer",
    "Execute",
    "GiveUpLease",
    "Hello",
    "LeaseGivenUp",
    "Leaving",
    "MESSAGE_TYPES",
    "Message",
    "PROTOCOL_VERSION",
    "Ping",
    "Pong",
    "Proof",
    "RefusalReason",
    "Refused",
    "ReplicaPositions",
    "RequestFailed",
    "ResultError",
    "ResultOk",
    "ResultRows",
    "Row",
    "Rows",
    "RowsChunk",
    "StatementKind",
    "StatementOutcome",
    "StatementRequest",
    "StatementResult",
]

"""The message types and their numbers in the protocol."""

from jackdawcrank_wire.messages.answer import Answer
from jackdawcrank_wire.messages.answer_end import AnswerEnd
from jackdawcrank_wire.messages.ask_evidence import AskEvidence
from jackdawcrank_wire.messages.cancel import Cancel
from jackdawcrank_wire.messages.challenge import Challenge
from jackdawcrank_wire.messages.changes_answer import ChangesAnswer
from jackdawcrank_wire.messages.changes_request import ChangesRequest
from jackdawcrank_wire.messages.chunk_credit import ChunkCredit
from jackdawcrank_wire.messages.closing import Closing
from jackdawcrank_wire.messages.config_version import ConfigVersion
from jackdawcrank_wire.messages.evidence_answer import EvidenceAnswer
from jackdawcrank_wire.messages.execute import Execute
from jackdawcrank_wire.messages.give_up_lease import GiveUpLease
from jackdawcrank_wire.messages.hello import Hello
from jackdawcrank_wire.messages.lease_given_up import LeaseGivenUp
from jackdawcrank_wire.messages.leaving import Leaving
from jackdawcrank_wire.messages.ping import Ping
from jackdawcrank_wire.messages.pong import Pong
from jackdawcrank_wire.messages.proof import Proof
from jackdawcrank_wire.messages.refused import Refused
from jackdawcrank_wire.messages.replica_positions import ReplicaPositions
from jackdawcrank_wire.messages.request_failed import RequestFailed
from jackdawcrank_wire.messages.rows_chunk import RowsChunk

Message = (
    Challenge
    | Proof
    | Hello
    | Ping
    | Pong
    | Execute
    | Answer
    | RowsChunk
    | AnswerEnd
    | ChunkCredit
    | Cancel
    | Refused
    | GiveUpLease
    | LeaseGivenUp
    | AskEvidence
    | EvidenceAnswer
    | ConfigVersion
    | ChangesRequest
    | ChangesAnswer
    | Leaving
    | ReplicaPositions
    | Closing
    | RequestFailed
)

# Numbers are never reused, because peers of different versions communicate.
MESSAGE_TYPES: dict[int, type[Message]] = {
    1: Challenge,
    2: Proof,
    3: Hello,
    4: Ping,
    5: Pong,
    6: Execute,
    7: Answer,
    8: RowsChunk,
    9: AnswerEnd,
    10: ChunkCredit,
    11: Cancel,
    12: Refused,
    13: GiveUpLease,
    14: LeaseGivenUp,
    15: AskEvidence,
    16: EvidenceAnswer,
    17: ConfigVersion,
    18: ChangesRequest,
    19: ChangesAnswer,
    20: Leaving,
    21: ReplicaPositions,
    22: Closing,
    23: RequestFailed,
}

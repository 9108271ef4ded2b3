"""Tests of message numbers and field defaults, which other versions use."""

import attrs
import pytest

from jackdawcrank_wire.messages import (
    MESSAGE_TYPES,
    ColumnInfo,
    Message,
    ResultError,
    ResultOk,
    ResultRows,
    StatementRequest,
)

NUMBERS = """
1 Challenge, 2 Proof, 3 Hello, 4 Ping, 5 Pong, 6 Execute, 7 Answer,
8 RowsChunk, 9 AnswerEnd, 10 ChunkCredit, 11 Cancel, 12 Refused,
13 GiveUpLease, 14 LeaseGivenUp, 15 AskEvidence, 16 EvidenceAnswer,
17 ConfigVersion, 18 ChangesRequest, 19 ChangesAnswer, 20 Leaving,
21 ReplicaPositions, 22 Closing, 23 RequestFailed
"""


def test_numbers_are_never_reused() -> None:
    pairs = [entry.split() for entry in NUMBERS.split(",")]
    published = {int(number): name for number, name in pairs}
    actual = {number: cls.__name__ for number, cls in MESSAGE_TYPES.items()}
    assert {number: actual.get(number) for number in published} == published
    assert len(set(MESSAGE_TYPES.values())) == len(MESSAGE_TYPES)


@pytest.mark.parametrize(
    "cls",
    [
        *MESSAGE_TYPES.values(),
        StatementRequest,
        ResultRows,
        ResultOk,
        ResultError,
        ColumnInfo,
    ],
)
def test_fields_with_defaults_come_last(cls: type[Message]) -> None:
    has_default = [
        field.default is not attrs.NOTHING for field in attrs.fields(cls)
    ]
    assert has_default == sorted(has_default)

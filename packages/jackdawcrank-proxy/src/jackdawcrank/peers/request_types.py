"""Request messages and the types of their answers."""

import typing

from jackdawcrank_wire.messages import (
    Answer,
    AskEvidence,
    ChangesAnswer,
    ChangesRequest,
    EvidenceAnswer,
    Execute,
    GiveUpLease,
    LeaseGivenUp,
    Message,
)

Request = Execute | GiveUpLease | AskEvidence | ChangesRequest
RequestAnswer = Answer | LeaseGivenUp | EvidenceAnswer | ChangesAnswer

ANSWER_TYPES: dict[type[Message], type[Message]] = {
    Execute: Answer,
    GiveUpLease: LeaseGivenUp,
    AskEvidence: EvidenceAnswer,
    ChangesRequest: ChangesAnswer,
}


def is_request(message: Message) -> typing.TypeGuard[Request]:
    """Return whether a message expects an answer.

    Args:
      message: The message.
    """
    return type(message) in ANSWER_TYPES

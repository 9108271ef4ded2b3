"""Tests of answers and refusals that match no pending request."""

from jackdawcrank.peers.pending_requests import PendingRequests
from jackdawcrank_wire.codec.envelope import MESSAGE_NUMBERS
from jackdawcrank_wire.messages import (
    Answer,
    AnswerEnd,
    AskEvidence,
    ConfigVersion,
    Execute,
    Message,
    RefusalReason,
    Refused,
    RequestFailed,
    ResultOk,
)


def refusal(message_type: type[Message]) -> Refused:
    number = MESSAGE_NUMBERS[message_type]
    return Refused(1, RefusalReason.UNSUPPORTED, number)


async def test_a_refusal_of_another_message_ends_no_request() -> None:
    requests = PendingRequests("vm-b")
    request = requests.add(1, Execute)
    requests.refuse(refusal(ConfigVersion))
    requests.refuse(refusal(AskEvidence))
    assert not request.first.done()
    requests.refuse(refusal(Execute))
    assert not request.first.result().sent


async def test_messages_without_a_pending_request_are_dropped() -> None:
    requests = PendingRequests("vm-b")
    request = requests.add(1, Execute)
    assert requests.resolve(Answer(2, ResultOk()))
    assert requests.add_chunk(1, ((b"row",),))
    assert requests.add_chunk(1, AnswerEnd(1))
    requests.handle_failure(RequestFailed(2))
    assert requests.dropped == 3
    assert not request.first.done()


async def test_a_refusal_after_the_answer_changes_nothing() -> None:
    requests = PendingRequests("vm-b")
    request = requests.add(1, Execute)
    answer = Answer(1, ResultOk())
    requests.resolve(answer)
    requests.refuse(refusal(Execute))
    requests.fail_all("silent")
    assert request.first.result() == answer

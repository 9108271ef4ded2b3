"""Dispatch of the messages that a stream receives."""

import functools
import typing

from jackdawcrank_wire.codec import Malformed
from jackdawcrank_wire.messages import (
    Answer,
    AnswerEnd,
    Cancel,
    Challenge,
    ChangesAnswer,
    ChunkCredit,
    Closing,
    EvidenceAnswer,
    LeaseGivenUp,
    Message,
    Ping,
    Pong,
    Proof,
    RefusalReason,
    Refused,
    RequestFailed,
    RowsChunk,
)

if typing.TYPE_CHECKING:
    from jackdawcrank.peers.peer_stream import PeerStream


@functools.singledispatch
def receive(message: Message | Malformed, stream: "PeerStream") -> bool:
    """Process a received message.

    Args:
      message: The message.
      stream: The stream that received the message.

    Returns:
      False if the peer violated the protocol and the stream has to end.
    """
    assert not isinstance(message, Malformed)
    stream.incoming.start_handler(message)
    stream.start_liveness_checks()
    return True


@receive.register(Malformed)
def receive_malformed(message: Malformed, stream: "PeerStream") -> bool:
    """Refuse a message type of a newer version; reject anything else."""
    if not message.unknown_type:
        return False
    refused = Refused(
        message.request_number,
        RefusalReason.UNSUPPORTED,
        message.unknown_type,
    )
    stream.post(refused)
    return True


@receive.register(Challenge)
@receive.register(Proof)
def receive_handshake(_: Challenge | Proof, __: "PeerStream") -> bool:
    """Reject a message that is only valid in the handshake."""
    return False


@receive.register(Ping)
def receive_ping(message: Ping, stream: "PeerStream") -> bool:
    """Answer a ping."""
    stream.post(Pong(message.number))
    return True


@receive.register(Pong)
def receive_pong(_: Pong, stream: "PeerStream") -> bool:
    """Resume the tasks that wait for a pong."""
    stream.resolve_pong_waiters()
    return True


@receive.register(Answer)
@receive.register(LeaseGivenUp)
@receive.register(EvidenceAnswer)
@receive.register(ChangesAnswer)
def receive_answer(
    message: Answer | LeaseGivenUp | EvidenceAnswer | ChangesAnswer,
    stream: "PeerStream",
) -> bool:
    """Resolve the request that an answer belongs to."""
    return stream.pending.resolve(message)


@receive.register(RowsChunk)
def receive_chunk(message: RowsChunk, stream: "PeerStream") -> bool:
    """Queue a chunk of a large answer for its request."""
    return stream.pending.add_chunk(message.request_number, message.rows)


@receive.register(AnswerEnd)
def receive_end(message: AnswerEnd, stream: "PeerStream") -> bool:
    """Queue the end of a large answer for its request."""
    return stream.pending.add_chunk(message.request_number, message)


@receive.register(Refused)
def receive_refused(message: Refused, stream: "PeerStream") -> bool:
    """End a request that reached no handler."""
    stream.pending.refuse(message)
    return True


@receive.register(RequestFailed)
def receive_failed(message: RequestFailed, stream: "PeerStream") -> bool:
    """End a request whose handler failed."""
    stream.pending.handle_failure(message)
    return True


@receive.register(ChunkCredit)
def receive_credit(message: ChunkCredit, stream: "PeerStream") -> bool:
    """Allow more chunks of a large answer to be sent."""
    stream.incoming.add_credit(message.request_number, message.chunks)
    return True


@receive.register(Cancel)
def receive_cancel(message: Cancel, stream: "PeerStream") -> bool:
    """Cancel the handler of a request."""
    stream.incoming.cancel(message.request_number)
    return True


@receive.register(Closing)
def receive_closing(message: Closing, stream: "PeerStream") -> bool:
    """Mark the stream as closing and end the requests not handled."""
    stream.peer_closing = True
    stream.pending.refuse_above(message.last_request_number)
    return True

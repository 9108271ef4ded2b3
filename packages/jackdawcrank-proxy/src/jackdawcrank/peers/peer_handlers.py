"""The handlers of messages that peers send."""

import collections.abc
import typing

from jackdawcrank.peers.streamed_result import StreamedResult
from jackdawcrank_wire.messages import Message

PeerAnswer = Message | StreamedResult | None
PeerHandler = collections.abc.Callable[
    [str, typing.Any], collections.abc.Awaitable[PeerAnswer]
]


class PeerHandlers:
    """Finds the handler of a message by its type.

    A handler is called with the VM that sent the message and the message. It
    returns the answer to a request, whose request number the stream fills in,
    and None for a message that has no answer. It is cancelled when the sender
    is lost or no longer waits.
    """

    def __init__(self) -> None:
        self.by_type: dict[type[Message], PeerHandler] = {}

    def register(
        self, message_type: type[Message], handler: PeerHandler
    ) -> None:
        """Set the handler of a message type.

        Args:
          message_type: The type.
          handler: Called for each message of the type.
        """
        self.by_type[message_type] = handler

    def find(self, message_type: type[Message]) -> PeerHandler | None:
        """Return the handler of a message type, if there is one.

        Args:
          message_type: The type.
        """
        return self.by_type.get(message_type)

"""Registry of the handlers of peers' messages."""

import collections.abc
import typing

from jackdawcrank.peers.streamed_result import StreamedResult
from jackdawcrank_wire.messages import Message

PeerAnswer = Message | StreamedResult | None
PeerHandler = collections.abc.Callable[
    [str, typing.Any], collections.abc.Awaitable[PeerAnswer]
]


class PeerHandlers:
    """Maps message types to handlers.

    A handler is called with the sending VM and the message. It returns the
    answer to a request, whose request number the stream fills in, or None for
    a message that expects no answer. It is cancelled when the stream is lost
    or the sender cancels the request.
    """

    def __init__(self) -> None:
        self.by_type: dict[type[Message], PeerHandler] = {}

    def register(
        self, message_type: type[Message], handler: PeerHandler
    ) -> None:
        """Set the handler of a message type.

        Args:
          message_type: The message type.
          handler: Called for each message of the type.
        """
        self.by_type[message_type] = handler

    def find(self, message_type: type[Message]) -> PeerHandler | None:
        """Return the handler of a message type, or None.

        Args:
          message_type: The message type.
        """
        return self.by_type.get(message_type)

"""Multiplexed request streams between proxies."""

from jackdawcrank.peers.peer_handlers import (
    PeerAnswer,
    PeerHandler,
    PeerHandlers,
)
from jackdawcrank.peers.peer_server import PeerServer
from jackdawcrank.peers.peer_stream_pool import PeerStreamPool
from jackdawcrank.peers.peer_unreachable import PeerUnreachable
from jackdawcrank.peers.request_types import Request, is_request
from jackdawcrank.peers.streamed_answer import StreamedAnswer
from jackdawcrank.peers.streamed_result import StreamedResult

__all__ = [
    "PeerAnswer",
    "PeerHandler",
    "PeerHandlers",
    "PeerStreamPool",
    "PeerServer",
    "PeerUnreachable",
    "Request",
    "StreamedAnswer",
    "StreamedResult",
    "is_request",
]

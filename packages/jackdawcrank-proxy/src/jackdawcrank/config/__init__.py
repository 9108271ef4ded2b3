"""Replication of the configuration to this proxy."""

from jackdawcrank.config.compactor import ChangeLogCompactor
from jackdawcrank.config.follower import ConfigurationFollower
from jackdawcrank.config.peer_records import (
    PeerUpdate,
    decode_peer_record,
    peer_records,
)
from jackdawcrank.config.snapshot import decode_snapshot, encode_snapshot

__all__ = [
    "ChangeLogCompactor",
    "ConfigurationFollower",
    "PeerUpdate",
    "decode_snapshot",
    "encode_snapshot",
    "decode_peer_record",
    "peer_records",
]

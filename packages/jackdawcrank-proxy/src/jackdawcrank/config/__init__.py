"""The configuration in force on this proxy."""

from jackdawcrank.config.collector import ChangeLogCollector
from jackdawcrank.config.follower import ConfigurationFollower
from jackdawcrank.config.peer_records import (
    Learned,
    learned_from,
    peer_records,
)
from jackdawcrank.config.snapshot import decode_snapshot, encode_snapshot

__all__ = [
    "ChangeLogCollector",
    "ConfigurationFollower",
    "Learned",
    "decode_snapshot",
    "encode_snapshot",
    "learned_from",
    "peer_records",
]

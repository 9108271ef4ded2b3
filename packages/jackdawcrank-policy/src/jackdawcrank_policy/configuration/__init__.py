"""The versioned configuration and the changes that produce it."""

from jackdawcrank_policy.configuration.change import Change, Value
from jackdawcrank_policy.configuration.configuration import Configuration
from jackdawcrank_policy.configuration.entry import Entry
from jackdawcrank_policy.configuration.kind import RESOURCE_KINDS, Kind
from jackdawcrank_policy.configuration.state import (
    AlreadyApplied,
    Applied,
    ConfigurationState,
    MissingChanges,
)

__all__ = [
    "RESOURCE_KINDS",
    "AlreadyApplied",
    "Applied",
    "Change",
    "Configuration",
    "ConfigurationState",
    "Entry",
    "Kind",
    "MissingChanges",
    "Value",
]

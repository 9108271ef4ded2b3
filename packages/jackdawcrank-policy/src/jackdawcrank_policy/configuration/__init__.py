"""The configuration in force, by version."""

from jackdawcrank_policy.configuration.change import Change, Value
from jackdawcrank_policy.configuration.configuration import Configuration
from jackdawcrank_policy.configuration.entry import Entry
from jackdawcrank_policy.configuration.kind import RESOURCE_KINDS, Kind
from jackdawcrank_policy.configuration.state import (
    Applied,
    ConfigurationState,
    Gap,
    Old,
)

__all__ = [
    "RESOURCE_KINDS",
    "Applied",
    "Change",
    "Configuration",
    "ConfigurationState",
    "Entry",
    "Gap",
    "Kind",
    "Old",
    "Value",
]

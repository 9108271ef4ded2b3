"""The resource API for operators."""

from jackdawcrank.operators.api import OperatorApi
from jackdawcrank.operators.ports import (
    ActionDone,
    ActionOutcome,
    ActionRefused,
    NoSuchTarget,
    OperatorPorts,
)

__all__ = [
    "ActionDone",
    "ActionOutcome",
    "ActionRefused",
    "NoSuchTarget",
    "OperatorApi",
    "OperatorPorts",
]

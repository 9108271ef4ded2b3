"""The resource API for operators."""

from jackdawcrank.operators.api import OperatorApi
from jackdawcrank.operators.ports import (
    ActionDone,
    ActionOutcome,
    ActionRefused,
    OperatorPorts,
    TargetNotFound,
)

__all__ = [
    "ActionDone",
    "ActionOutcome",
    "ActionRefused",
    "TargetNotFound",
    "OperatorApi",
    "OperatorPorts",
]

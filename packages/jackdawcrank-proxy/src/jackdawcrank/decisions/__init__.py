"""The log of the process's decisions, for failure analysis, and metrics."""

from jackdawcrank.decisions.decision_log import DecisionLog
from jackdawcrank.decisions.measurements import Measurements

__all__ = ["DecisionLog", "Measurements"]

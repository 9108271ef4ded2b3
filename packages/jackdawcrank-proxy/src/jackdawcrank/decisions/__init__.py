"""What the process decided, for whoever explains a failure afterwards."""

from jackdawcrank.decisions.decision_log import DecisionLog
from jackdawcrank.decisions.measurements import Measurements

__all__ = ["DecisionLog", "Measurements"]

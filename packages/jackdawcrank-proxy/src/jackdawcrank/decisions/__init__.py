"""What the process decided, for whoever explains a failure afterwards."""

from jackdawcrank.decisions.decision_log import DecisionLog

__all__ = ["DecisionLog"]

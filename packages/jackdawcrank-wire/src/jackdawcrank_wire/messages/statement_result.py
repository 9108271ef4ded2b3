"""The result of a statement."""

from jackdawcrank_wire.messages.result_error import ResultError
from jackdawcrank_wire.messages.result_ok import ResultOk
from jackdawcrank_wire.messages.result_rows import ResultRows

StatementResult = ResultRows | ResultOk | ResultError

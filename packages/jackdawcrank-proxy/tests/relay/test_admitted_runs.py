from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.session_view import SessionView
from jackdawcrank.relay.statement_runner import (
    NO_PRIMARY,
    SILENT,
    Attempts,
    StatementRunner,
)
from jackdawcrank.seams.replies import Problem, Reply
from jackdawcrank_policy.accounts.account_allowance import Admission


class Runner(StatementRunner):
    """Fails its attempts for given reasons, then answers."""

    def __init__(self, limits: Any, reasons: list[str], answers: bool) -> None:
        super().__init__(Mock(), DecisionLog("vm1"), limits)
        self.reasons = reasons
        self.answers = answers

    def can_retry(self, group: Any, attempts: Attempts) -> bool:
        return bool(self.reasons) or self.answers

    async def pause(self, attempts: Attempts) -> None:
        """Do not wait."""

    async def try_read(
        self, session: SessionView, execution: Any, attempts: Attempts
    ) -> Reply | None:
        if not self.reasons:
            return Reply()
        attempts.reason = self.reasons.pop(0)
        return None


@pytest.mark.parametrize(
    ("reasons", "answers", "given_back", "again"),
    [
        ([], True, 0, 0),
        ([NO_PRIMARY, Problem.BUSY.value], False, 1, 0),
        ([NO_PRIMARY, SILENT], False, 0, 0),
        ([SILENT, NO_PRIMARY], True, 0, 1),
        ([SILENT, SILENT], True, 0, 2),
    ],
)
async def test_tokens_follow_what_reached_a_server(
    reasons: list[str], answers: bool, given_back: int, again: int
) -> None:
    """A refused operation would use up the limit; a second run would not."""
    limits = Mock()

    async def admit(account: str, _request: str, seconds: float) -> Admission:
        assert account == "acme" and 0 < seconds <= 1.0
        return Admission(account)

    limits.admit = admit
    session: Any = SimpleNamespace(
        database="plots",
        account="acme",
        spec=SimpleNamespace(statement_timeout_seconds=1.0),
        group=SimpleNamespace(declared_version=1),
    )
    execution: Any = SimpleNamespace(request_id="1", writes=False)
    reply = await Runner(limits, reasons, answers).run_single(
        session, execution
    )
    assert (reply.problem is None) == answers
    assert limits.give_back.call_count == given_back
    assert limits.ran_again.call_count == again


async def test_operations_without_an_account_are_not_limited() -> None:
    """Deployments without accounts are served at no cost."""
    limits = Mock()
    session: Any = SimpleNamespace(
        database="plots",
        account="",
        spec=SimpleNamespace(statement_timeout_seconds=1.0),
        group=SimpleNamespace(declared_version=1),
    )
    execution: Any = SimpleNamespace(request_id="1", writes=False)
    await Runner(limits, [], True).run_single(session, execution)
    assert not limits.method_calls

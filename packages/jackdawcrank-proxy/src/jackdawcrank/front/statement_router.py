"""What a caller's session needs of the rest of the process."""

from typing import Protocol

from jackdawcrank_policy.tokens import InvalidToken, SessionToken
from jackdawcrank_policy.values import Branch, NotRun
from jackdawcrank_wire.messages import StatementRequest, StatementResult


class StatementRouter(Protocol):
    """Runs statements wherever they belong and knows the groups."""

    async def execute(self, request: StatementRequest) -> StatementResult:
        """Run a statement on one of its group's home proxies."""

    def is_configured(self) -> bool:
        """Return whether any configuration has been read yet."""

    def knows_group(self, group: str) -> bool:
        """Return whether a group is declared."""

    def statement_timeout_ms(self, group: str) -> int:
        """Return the longest that a statement on a group may run."""

    def branch(self, group: str) -> Branch:
        """Return the branch of a group's log."""

    def caller_class(self, user: str) -> str:
        """Return the name of a caller's class."""

    def admit(self, user: str) -> NotRun | None:
        """Count a statement against a caller's limits, or refuse it."""

    def finish(self, user: str) -> None:
        """Count the end of a statement that was admitted."""

    def sign(self, token: SessionToken) -> str:
        """Return a session token as signed text."""

    def verify(self, text: str) -> SessionToken | InvalidToken:
        """Return the session token in a signed text."""

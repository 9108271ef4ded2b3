"""Interface between caller sessions and statement routing."""

from typing import Protocol

from jackdawcrank_policy.tokens import InvalidToken, SessionToken
from jackdawcrank_policy.values import Branch, NotRun
from jackdawcrank_wire.messages import StatementRequest, StatementResult


class StatementRouter(Protocol):
    """Routes statements to home proxies and provides group settings."""

    async def execute(self, request: StatementRequest) -> StatementResult:
        """Run a statement on a home proxy of its database group."""

    def is_configured(self) -> bool:
        """Return whether this proxy has read a configuration."""

    def knows_group(self, group: str) -> bool:
        """Return whether a group is declared."""

    def statement_timeout_ms(self, group: str) -> int:
        """Return the statement timeout of a group, in milliseconds."""

    def branch(self, group: str) -> Branch:
        """Return the current branch of a group's log."""

    def caller_class(self, user: str) -> str:
        """Return the name of the caller's class."""

    def admit(self, user: str) -> NotRun | None:
        """Count a statement against the caller's limits, or refuse it."""

    def finish(self, user: str) -> None:
        """Release the admission of a finished statement."""

    def sign(self, token: SessionToken) -> str:
        """Return a session token as signed text."""

    def verify(self, text: str) -> SessionToken | InvalidToken:
        """Return the session token in a signed text."""

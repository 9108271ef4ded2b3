"""Routes callers' statements to the home proxies of their groups."""

import zlib
from collections.abc import Callable

import attrs

from jackdawcrank.metrics import Metrics
from jackdawcrank.metrics import names as metric_names
from jackdawcrank.peers import PeerStreamPool, PeerUnreachable
from jackdawcrank.process.caller_classes import CallerClasses
from jackdawcrank.process.home_registry import HomeRegistry
from jackdawcrank.results import result_error, rolled_back_error
from jackdawcrank_policy.budget import writer_names
from jackdawcrank_policy.retry import RetryBudget
from jackdawcrank_policy.tokens import (
    InvalidToken,
    SessionToken,
    TokenSigner,
)
from jackdawcrank_policy.values import (
    Branch,
    NotRun,
    NotRunReason,
    Unknown,
)
from jackdawcrank_wire.messages import (
    Answer,
    Execute,
    ResultError,
    StatementKind,
    StatementOutcome,
    StatementRequest,
    StatementResult,
)

ANSWER_MARGIN_SECONDS = 0.5
MAX_HOMES_TRIED = 4
NO_HOME_RETRY_MS = 300
DEFAULT_TIMEOUT_MS = 30_000
# Reasons for refusal that may not apply to another home.
RETRYABLE_REASONS = frozenset(
    {
        NotRunReason.SHUTTING_DOWN.value,
        NotRunReason.PEER_UNREACHABLE.value,
        NotRunReason.STALE_TOKEN.value,
        NotRunReason.NO_SERVER.value,
    }
)
# Statements that have no effect if the transaction is not open.
ROLLBACK_KINDS = frozenset({StatementKind.ROLLBACK, StatementKind.END_SESSION})


class EntryRouter:
    """Runs statements on this VM or forwards them to other home proxies.

    Attributes:
      vm: This VM's name.
      registry: The homes on this VM.
      peer_pool: The streams to other VMs.
      classes: The callers' classes.
      signer: Signs and verifies session tokens.
      metrics: The metrics of this process.
      clock: Returns the time in seconds on the monotonic clock.
      pinned: The home proxy of each open transaction, by transaction id.
      retries: Limits the retries on other homes.
    """

    def __init__(
        self,
        vm: str,
        registry: HomeRegistry,
        peer_pool: PeerStreamPool,
        classes: CallerClasses,
        signer: TokenSigner,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.vm = vm
        self.registry = registry
        self.peer_pool = peer_pool
        self.classes = classes
        self.signer = signer
        self.metrics = metrics
        self.clock = clock
        self.pinned: dict[str, str] = {}
        self.retries = RetryBudget()

    async def execute(self, request: StatementRequest) -> StatementResult:
        """Run a statement on one of its group's home proxies.

        Args:
          request: The statement with its options.
        """
        started_at = self.clock()
        if request.transaction_id:
            result = await self._execute_in_transaction(request)
        else:
            result = await self._execute_outside_transaction(request)
        self._record_metrics(request, result, started_at)
        return result

    def is_configured(self) -> bool:
        """Return whether a configuration has been read."""
        return self.registry.configuration.version > 0

    def knows_group(self, group: str) -> bool:
        """Return whether a group is declared.

        Args:
          group: The group's name.
        """
        return group in self.registry.configuration.groups

    def statement_timeout_ms(self, group: str) -> int:
        """Return the statement timeout of a group in milliseconds.

        Args:
          group: The group's name.
        """
        spec = self.registry.configuration.groups.get(group)
        return spec.statement_timeout_ms if spec else DEFAULT_TIMEOUT_MS

    def branch(self, group: str) -> Branch:
        """Return the current branch of a group's log.

        Args:
          group: The group's name.
        """
        row = self.registry.configuration.group_rows.get(group)
        return row.branch if row else Branch()

    def caller_class(self, user: str) -> str:
        """Return the name of a caller's class.

        Args:
          user: The caller's user name.
        """
        return self.classes.name_of(user)

    def admit(self, user: str) -> NotRun | None:
        """Admit a statement of a caller; return the refusal if it is refused.

        Args:
          user: The caller's user name.
        """
        return self.classes.admit(user)

    def finish(self, user: str) -> None:
        """Record that an admitted statement has finished.

        Args:
          user: The caller's user name.
        """
        self.classes.finish(user)

    def sign(self, token: SessionToken) -> str:
        """Return a session token as signed text.

        Args:
          token: The token.
        """
        return self.signer.sign(token)

    def verify(self, text: str) -> SessionToken | InvalidToken:
        """Return the session token in a signed text if the text is valid.

        Args:
          text: The text that a caller sent.
        """
        return self.signer.verify(text)

    async def serve_peer(self, request: StatementRequest) -> StatementResult:
        """Run a statement that another entry proxy forwarded.

        Args:
          request: The statement with its options.
        """
        home = self.registry.homes.get(request.group)
        if home is None or (home.retiring and not request.transaction_id):
            return _no_home("this proxy is not a home of the group")
        return await home.group.execute(request)

    async def _execute_outside_transaction(
        self, request: StatementRequest
    ) -> StatementResult:
        """Run a statement outside a transaction, retrying on other homes."""
        deadline = self.clock() + request.deadline_ms / 1000
        self.retries.record_attempt()
        result: StatementResult | None = None
        for attempt_number, home in enumerate(self._candidate_homes(request)):
            if attempt_number and not self.retries.try_withdraw():
                break
            attempt = request
            if attempt_number:
                remaining_ms = int((deadline - self.clock()) * 1000)
                if remaining_ms <= 0:
                    break
                attempt = attrs.evolve(request, deadline_ms=remaining_ms)
            result = await self._execute_at_home(home, attempt)
            if not _may_retry_elsewhere(result, request):
                return result
        return result or _no_home("no home proxy is known")

    async def _execute_in_transaction(
        self, request: StatementRequest
    ) -> StatementResult:
        home = self.pinned.get(request.transaction_id)
        if home is None and request.kind in ROLLBACK_KINDS:
            return rolled_back_error("it is not open on this entry proxy")
        if home is None:
            homes = self._candidate_homes(request)
            if not homes:
                return _no_home("no home proxy is known")
            home = homes[0]
        self.pinned[request.transaction_id] = home
        result = await self._execute_at_home(home, request)
        if not result_keeps_transaction(result):
            self.pinned.pop(request.transaction_id, None)
        return result

    def _candidate_homes(self, request: StatementRequest) -> list[str]:
        """Return the group's home proxies in the order of attempts."""
        row = self.registry.configuration.group_rows.get(request.group)
        if row is None:
            return []
        is_home = self.vm in row.writers and self.registry.active(row.group)
        other_homes = [v for v in writer_names(row.writers) if v != self.vm]
        if other_homes:
            start = zlib.crc32(request.session_id.encode()) % len(other_homes)
            other_homes = other_homes[start:] + other_homes[:start]
        candidates = [self.vm, *other_homes] if is_home else other_homes
        return candidates[:MAX_HOMES_TRIED]

    async def _execute_at_home(
        self, home: str, request: StatementRequest
    ) -> StatementResult:
        if home == self.vm:
            return await self.serve_peer(request)
        self.metrics.count(metric_names.FORWARDED)
        timeout = request.deadline_ms / 1000 + ANSWER_MARGIN_SECONDS
        answer = await self.peer_pool.request(
            home, Execute(0, request), timeout
        )
        if isinstance(answer, Answer):
            return answer.result
        if isinstance(answer, PeerUnreachable):
            return _unreachable(answer, request)
        return result_error(Unknown("the home proxy sent an unexpected answer"))

    def _record_metrics(
        self,
        request: StatementRequest,
        result: StatementResult,
        started_at: float,
    ) -> None:
        group = request.group
        self.metrics.count(metric_names.STATEMENTS, group=group)
        elapsed = self.clock() - started_at
        self.metrics.timing(metric_names.STATEMENT_TIME, elapsed, group)
        if isinstance(result, ResultError):
            metric = {
                StatementOutcome.NOT_RUN: metric_names.REFUSED,
                StatementOutcome.FAILED: metric_names.FAILED,
                StatementOutcome.UNKNOWN: metric_names.UNKNOWN,
            }[result.outcome]
            self.metrics.count(metric, group=group)


def result_keeps_transaction(result: StatementResult) -> bool:
    """Return whether a transaction is still open after a result.

    Args:
      result: The result of one of its statements.
    """
    return bool(result.in_transaction)


def _may_retry_elsewhere(
    result: StatementResult, request: StatementRequest
) -> bool:
    if not isinstance(result, ResultError):
        return False
    if result.outcome is StatementOutcome.NOT_RUN:
        return result.reason in RETRYABLE_REASONS
    is_read = request.kind is StatementKind.READ
    in_doubt = result.outcome is StatementOutcome.UNKNOWN
    # With a request id, a retry returns the recorded result of the first
    # attempt if that one was executed.
    is_idempotent = is_read or bool(request.request_id)
    return in_doubt and is_idempotent and request.repeatable


def _unreachable(
    answer: PeerUnreachable, request: StatementRequest
) -> ResultError:
    if request.transaction_id:
        if request.kind is StatementKind.COMMIT and answer.sent:
            return result_error(Unknown(answer.detail))
        return rolled_back_error(answer.detail)
    if answer.sent:
        return result_error(Unknown(answer.detail))
    return result_error(
        NotRun(NotRunReason.PEER_UNREACHABLE, answer.detail, NO_HOME_RETRY_MS)
    )


def _no_home(detail: str) -> ResultError:
    return result_error(
        NotRun(NotRunReason.PEER_UNREACHABLE, detail, NO_HOME_RETRY_MS)
    )

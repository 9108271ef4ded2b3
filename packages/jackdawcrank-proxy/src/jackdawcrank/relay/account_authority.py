"""Checks the keys of callers against declarations of proven age."""

import math
import typing

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.relay_settings import AccountBounds
from jackdawcrank.relay.table_follower import TableFollower
from jackdawcrank.seams.replies import Problem, SessionState
from jackdawcrank_policy.accounts import (
    PROOF_MARGIN_SECONDS,
    Identified,
    Unproven,
    identify,
)
from jackdawcrank_policy.catalog import AccountSpec, Declarations

# A request that is waiting for an answer of the store may last this share of
# the bound, so that a VM which loses the store serves on for most of the bound.
WAIT_SHARE = 0.25
# Enough of a digest to tell an account's keys apart.
LOGGED_DIGITS = 8
UNKNOWN = "unknown"
WITHDRAWN = "withdrawn"
UNPROVEN = "unproven"
DETAILS = {
    UNKNOWN: "the key is not known",
    WITHDRAWN: "the key was withdrawn",
    UNPROVEN: "it cannot be proven now that the key is still valid",
}


class Catalog(typing.Protocol):
    """Holds the declarations in force."""

    declarations: Declarations | None


class KeyHolder(typing.Protocol):
    """A session whose caller sent a key.

    Attributes:
      database: The database that the caller named.
      key_digest: The SHA-256 digest of the key.
      account: The account that the session runs for; empty for none.
      identified: Whether the key was needed and identified.
      checked_version: The version of the declarations under which the key was
        accepted last; None before that.
      state: The transaction state.
    """

    database: str
    key_digest: bytes
    account: str
    identified: bool
    checked_version: int | None
    state: SessionState


@attrs.frozen
class KeyRefusal:
    """Why a caller may not run a statement.

    Attributes:
      problem: What the caller is told outside a transaction.
      detail: The error message.
    """

    problem: Problem
    detail: str


class AccountAuthority:
    """Decides for each statement whether its caller's key is valid.

    Attributes:
      catalog: Holds the declarations in force.
      follower: Follows the declarations and proves their age.
      bounds: The promises about client accounts.
      log: Records refusals and changes of the proof.
      proven_until: The local time until which the declarations may be relied
        on, in seconds since boot; infinite if no bound is set.
      proven: Whether the age was proven when it was last looked at; None before
        that.
    """

    def __init__(
        self,
        catalog: Catalog,
        follower: TableFollower,
        bounds: AccountBounds,
        log: DecisionLog,
    ) -> None:
        self.catalog = catalog
        self.follower = follower
        self.bounds = bounds
        self.log = log
        self.proven_until = math.inf
        self.proven: bool | None = None
        follower.on_proof_changed = self.update_proof
        self.update_proof()

    def apply_bounds(self, bounds: AccountBounds) -> None:
        """Apply changed promises.

        Args:
          bounds: The new promises.
        """
        self.bounds = bounds
        self.update_proof()

    def longest_wait_seconds(self) -> float:
        """Return the longest wait of one call for changed declarations."""
        bound = self.bounds.revocation_seconds
        return math.inf if bound is None else bound * WAIT_SHARE

    def update_proof(self) -> None:
        """Compute until when the declarations may be relied on."""
        bound = self.bounds.revocation_seconds
        self.proven_until = (
            math.inf
            if bound is None
            else self.follower.proven.local_seconds
            + bound
            - PROOF_MARGIN_SECONDS
        )
        self.observe()

    def age(self) -> float:
        """Return the proven bound of the declarations' age in seconds."""
        return boot_seconds() - self.follower.proven.local_seconds

    def declares_accounts(self) -> bool:
        """Return whether the declarations in force have client accounts."""
        declarations = self.catalog.declarations
        return declarations is not None and declarations.accounts is not None

    def observe(self) -> bool:
        """Log a change of the proof; return whether callers can be served."""
        if not self.declares_accounts():
            return True
        proven = boot_seconds() <= self.proven_until
        if proven is not self.proven:
            before, self.proven = self.proven, proven
            if not proven:
                self.log.event("keys_unproven", **self.logged_age())
            elif before is not None:
                self.log.event("keys_proven", **self.logged_age())
        return proven

    def logged_age(self) -> dict[str, float | None]:
        """Return the age and its bound as fields of a log line."""
        return {
            "age": finite(self.age()),
            "bound": self.bounds.revocation_seconds,
        }

    def check(self, session: KeyHolder, request_id: str) -> KeyRefusal | None:
        """Return why a session may not run a statement now, or None.

        Args:
          session: The session.
          request_id: The request id that the caller sent; empty on connecting.
        """
        declarations = self.catalog.declarations
        if declarations is None:
            return None
        if declarations.version == session.checked_version and (
            not session.identified or boot_seconds() <= self.proven_until
        ):
            return None
        if (
            session.database not in declarations.databases
            and not session.identified
        ):
            # The session is told that there is no such database.
            return None
        found = identify(
            declarations,
            session.database,
            session.key_digest,
            self.age(),
            self.bounds.revocation_seconds,
        )
        self.observe()
        if isinstance(found, Identified):
            return self.accept(session, declarations, found.account, request_id)
        if isinstance(found, Unproven):
            return self.refuse(session, request_id, UNPROVEN)
        reason = WITHDRAWN if session.identified else UNKNOWN
        return self.refuse(session, request_id, reason)

    def accept(
        self,
        session: KeyHolder,
        declarations: Declarations,
        account: AccountSpec | None,
        request_id: str,
    ) -> KeyRefusal | None:
        """Record an accepted key, unless it belongs to another account now.

        Args:
          session: The session.
          declarations: The declarations in force.
          account: The account of its key; None if the database needs none.
          request_id: The request id that the caller sent.
        """
        name = account.name if account else ""
        if session.identified and account and name != session.account:
            return self.refuse(session, request_id, WITHDRAWN)
        if (
            session.state is SessionState.IN_TRANSACTION
            and name != session.account
        ):
            # The connection of an open transaction belongs to the account
            # under which it began.
            return None
        session.account = name
        session.identified = account is not None
        session.checked_version = declarations.version
        return None

    def refuse(
        self, session: KeyHolder, request_id: str, reason: str
    ) -> KeyRefusal:
        """Log and count a refusal, and return it.

        Args:
          session: The session.
          request_id: The request id that the caller sent.
          reason: The reason, a key of `DETAILS`.
        """
        unproven = reason == UNPROVEN
        self.log.measurements.account_operation(
            session.account, UNPROVEN if unproven else "unknown_key"
        )
        self.log.routine(
            "key_refused",
            request=request_id,
            database=session.database,
            account=session.account,
            key=session.key_digest.hex()[:LOGGED_DIGITS],
            reason=reason,
            age=finite(self.age()),
        )
        problem = Problem.BUSY if unproven else Problem.UNKNOWN_KEY
        return KeyRefusal(problem, DETAILS[reason])


def finite(seconds: float) -> float | None:
    """Return a duration for the log; None if it is infinite."""
    return round(seconds, 3) if math.isfinite(seconds) else None

"""One accepted version of the configuration."""

import hmac
from collections.abc import Mapping

import attrs

from jackdawcrank_policy.catalog.account_spec import AccountSpec
from jackdawcrank_policy.catalog.database_spec import DatabaseSpec
from jackdawcrank_policy.catalog.served_group import ServedGroup


@attrs.frozen
class Declarations:
    """The databases, groups and client accounts that operators declared.

    Attributes:
      version: The version; increases with each accepted configuration.
      databases: The databases by name.
      groups: The groups by name.
      idle_transaction_seconds: The time without a statement after which a
        transaction may be rolled back.
      accounts: The client accounts by name; None if none are declared, so that
        callers need no key.
      accounts_by_digest: The client accounts by the digest of each key.
    """

    version: int
    databases: Mapping[str, DatabaseSpec]
    groups: Mapping[str, ServedGroup]
    idle_transaction_seconds: float
    accounts: Mapping[str, AccountSpec] | None = None
    accounts_by_digest: Mapping[bytes, AccountSpec] = attrs.field(
        init=False, repr=False
    )

    @accounts_by_digest.default
    def _index_accounts(self) -> Mapping[bytes, AccountSpec]:
        return {
            digest: account
            for account in (self.accounts or {}).values()
            for digest in account.key_digests
        }

    def supersedes(self, other: "Declarations | None") -> bool:
        """Return whether this version is newer than another.

        Args:
          other: The version in force; None before the first.
        """
        return other is None or self.version > other.version

    def account_of(self, key_digest: bytes) -> AccountSpec | None:
        """Return the client account that a key belongs to, or None.

        Args:
          key_digest: The SHA-256 digest of the key.
        """
        account = self.accounts_by_digest.get(key_digest)
        if account is None:
            return None
        # The table lookup compares digests in variable time.
        known = any(
            hmac.compare_digest(key_digest, one) for one in account.key_digests
        )
        return account if known else None

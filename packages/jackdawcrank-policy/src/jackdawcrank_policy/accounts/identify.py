"""Identification of a caller's client account by its key."""

import typing

import attrs

from jackdawcrank_policy.catalog import AccountSpec, Declarations

# Covers the rounding of the store's clock (1 ms), the drift of clocks within
# the bound (2.5 ms of 5 s) and a store that reads its clock up to 0.24 s after
# the rows of an answer.
PROOF_MARGIN_SECONDS = 0.25


@attrs.frozen
class Identified:
    """The caller may run statements.

    Attributes:
      account: The account of the key; None if the database needs no key.
    """

    account: AccountSpec | None


@attrs.frozen
class UnknownKey:
    """The key belongs to no account."""


@attrs.frozen
class Unproven:
    """The declarations may be older than the bound on withdrawals allows."""


Identification: typing.TypeAlias = Identified | UnknownKey | Unproven


def needs_key(declarations: Declarations, database: str) -> bool:
    """Return whether callers of a database need the key of an account.

    Args:
      declarations: The declarations in force.
      database: The name of the database. An undeclared one needs a key, since
        a transaction may have begun on it before.
    """
    if declarations.accounts is None:
        return False
    spec = declarations.databases.get(database)
    return spec is None or not spec.anonymous


def is_proven(age: float, bound: float | None) -> bool:
    """Return whether declarations of an age may be relied on.

    Args:
      age: The proven bound of their age in seconds; infinite if there is none.
      bound: The seconds after which no statement with a withdrawn key may run;
        None if there is no such bound.
    """
    return bound is None or age <= bound - PROOF_MARGIN_SECONDS


def identify(
    declarations: Declarations,
    database: str,
    key_digest: bytes,
    age: float,
    bound: float | None,
) -> Identification:
    """Return the account of a caller, or why it may not run statements.

    A key that is unknown here may be known to newer declarations, so it is
    rejected for good only if the age is proven, too.

    Args:
      declarations: The declarations in force.
      database: The name of the database that the caller asked for.
      key_digest: The SHA-256 digest of the caller's key.
      age: The proven bound of the declarations' age in seconds.
      bound: The seconds after which no statement with a withdrawn key may run;
        None if there is no such bound.
    """
    if not needs_key(declarations, database):
        return Identified(None)
    if not is_proven(age, bound):
        return Unproven()
    account = declarations.account_of(key_digest)
    return UnknownKey() if account is None else Identified(account)

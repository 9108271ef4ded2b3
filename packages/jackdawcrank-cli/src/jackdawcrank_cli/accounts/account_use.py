"""What became of the operations of each client account."""

import collections
from collections.abc import Iterable

import attrs

from jackdawcrank_cli.explain.log_lines import LogLine

# Other events name accounts, too, but do not tell of their operations.
ACCOUNT_EVENTS = frozenset(
    {
        "account_counting",
        "account_limited",
        "account_unreadable",
        "account_usage",
        "key_refused",
    }
)
UNKNOWN_KEY_REASONS = ("unknown", "withdrawn")


@attrs.define
class AccountUse:
    """The operations of one account.

    Refused operations are logged one by one and, for the busiest accounts of
    each VM, summed up as well. Under load some lines are dropped, so the larger
    of the two numbers is the better one.

    Attributes:
      account: The account; empty if the key is of none.
      operations: Operations that were admitted.
      summed_limited: Operations refused over the limit, by sums.
      logged_limited: Operations refused over the limit, by single lines.
      unproven: Refusals since the age of the keys could not be proven.
      unknown: Refusals since the key is unknown or withdrawn.
      holder: The VM that counts it, as last logged; empty if none is.
      keys: The first hex digits of the digests of refused keys, by number of
        refusals.
      faults: What is wrong with its declaration, in order.
    """

    account: str
    operations: int = 0
    summed_limited: int = 0
    logged_limited: int = 0
    unproven: int = 0
    unknown: int = 0
    holder: str = ""
    keys: collections.Counter[str] = attrs.Factory(collections.Counter)
    faults: dict[str, None] = attrs.Factory(dict)

    @property
    def limited(self) -> int:
        """Operations that were refused over the limit."""
        return max(self.summed_limited, self.logged_limited)

    def rank(self) -> tuple[int, int, str]:
        """Return what sorts the account with the most operations first."""
        refused = self.limited + self.unproven + self.unknown
        return (-self.operations, -refused, self.account)

    def add(self, line: LogLine) -> None:
        """Add a line that names the account.

        Args:
          line: The line; lines of other events change nothing.
        """
        if line.event == "account_usage":
            self.operations += whole_number(line, "admitted")
            self.summed_limited += whole_number(line, "limited")
        elif line.event == "account_limited":
            self.logged_limited += 1
        elif line.event == "key_refused":
            self.add_refused_key(line)
        elif line.event == "account_unreadable":
            self.faults[line.text("detail")] = None
        elif line.event == "account_counting":
            self.holder = line.vm
        self.holder = line.text("holder") or self.holder

    def add_refused_key(self, line: LogLine) -> None:
        """Add the refusal of a key."""
        if line.text("reason") in UNKNOWN_KEY_REASONS:
            self.unknown += 1
        else:
            self.unproven += 1
        if line.text("key"):
            self.keys[line.text("key")] += 1


def find_account_uses(lines: Iterable[LogLine]) -> list[AccountUse]:
    """Return the use of each account, that with most operations first.

    Args:
      lines: The lines of all logs.
    """
    found: dict[str, AccountUse] = {}
    for line in sorted(lines, key=lambda one: one.at):
        if line.event in ACCOUNT_EVENTS and "account" in line.fields:
            name = line.text("account")
            found.setdefault(name, AccountUse(name)).add(line)
    return sorted(found.values(), key=AccountUse.rank)


def whole_number(line: LogLine, name: str) -> int:
    """Return a field that holds a number; 0 if it holds none.

    Args:
      line: The line.
      name: The field's name.
    """
    value = line.fields.get(name)
    return value if isinstance(value, int) else 0

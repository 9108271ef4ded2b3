"""Election of a successor while servers may join or start again."""

from collections.abc import Collection, Iterable

import attrs

from jackdawcrank_policy.succession.choose_successor import (
    FrozenServer,
    NoSuccessor,
    Successor,
    choose_successor,
)


@attrs.frozen
class CompareReplicas:
    """All listed replicas must be suspended and compared."""


@attrs.frozen
class OrderPromotion:
    """A server must be promoted.

    Attributes:
      successor: The server.
      needs_new_token: Whether an order for another server was sent under the
        present token. That order could take effect after this one.
    """

    successor: Successor
    needs_new_token: bool


ElectionStep = CompareReplicas | NoSuccessor | OrderPromotion


@attrs.define
class Election:
    """Decides what to do next until a promotion takes effect.

    A replica that joins, or starts again and so is no longer suspended, may
    confirm commits of the old primary that the compared replicas lack. So an
    order counts on a comparison of all replicas that are listed, and each order
    needs a new one.

    Attributes:
      confirming: Number of replicas that must receive a commit before it is
        acknowledged.
      compared: The replicas of the last comparison; None if none is in force.
      choice: Its result.
      ordered: The server that was last ordered under the present token; empty
        if none was.
    """

    confirming: int
    compared: frozenset[str] | None = None
    choice: Successor | NoSuccessor = NoSuccessor(())
    ordered: str = ""

    def step(self, listed: Iterable[str]) -> ElectionStep:
        """Return the next step.

        Args:
          listed: The replicas that are listed now.
        """
        if self.compared is None or not self.compared.issuperset(listed):
            return CompareReplicas()
        if isinstance(self.choice, NoSuccessor):
            return self.choice
        return OrderPromotion(
            self.choice, self.ordered not in ("", self.choice.server_id)
        )

    def compared_replicas(
        self,
        replicas: Collection[str],
        frozen: Iterable[FrozenServer],
        missing: Iterable[str],
    ) -> None:
        """Record a comparison.

        Args:
          replicas: The replicas that were to be suspended.
          frozen: Those that were.
          missing: Replicas that are not listed but may hold a commit.
        """
        self.compared = frozenset(replicas)
        self.choice = choose_successor(
            frozen, [*replicas, *missing], self.confirming
        )

    def primary_stepped_down(self) -> None:
        """Record that the old primary confirms no commit from now on."""
        self.compared = None

    def order_sent(self, server_id: str) -> None:
        """Record an order, after which the replicas must be compared again.

        Args:
          server_id: The server that was ordered.
        """
        self.ordered = server_id
        self.compared = None

    def token_replaced(self) -> None:
        """Record that orders have a higher token from now on."""
        self.ordered = ""

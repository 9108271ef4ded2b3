"""Estimate and allocation of one server's permits by the capacity holder.

Load: bursts that reach some homes of a server more than others. Today each
home finds its own window by refusals. Together they send more than the server
takes, while the windows of the homes with little demand stay unused.
"""

from collections.abc import Collection

import attrs

from jackdawcrank_policy.capacity.division import divide_permits

# Bounds and start of the estimate, per slot of the server. Below 1 a slot would
# be idle; while one statement runs, the next is in transit, hence 2; with more
# than 3, statements wait in the server, where priorities do not count.
MIN_PER_SLOT = 1.0
START_PER_SLOT = 2.0
MAX_PER_SLOT = 3.0
# A server refuses several statements of one overflow; they count once.
DECREASE_FACTOR = 0.9
INTERVAL_SECONDS = 0.1
# Permits added per interval. A burst lasts about 6 s; the estimate of a server
# with 4 slots reaches its upper bound within 0.8 s.
GROWTH_STEP = 0.5
# Part of a rise of demand that counts at once. A home with a few statements per
# second reports peaks of 2 or 3 that last for 30 ms; permits for them would lie
# idle for the rest of an interval. Of a burst, a part is a fair share already.
RISE_WEIGHT = 0.4
# A home that has not reported for this time needs no more than its reserve.
REPORT_SECONDS = 1.0


@attrs.define
class HomeReport:
    """The latest report of a home and the answer to it.

    Attributes:
      at: When the report arrived, in seconds.
      demand: The peak of statements in flight and waiting.
      steady: The demand by which the permits are divided.
      places: The permits granted to the home.
    """

    at: float
    demand: int
    steady: float
    places: int = 0

    def update(self, demand: int, now: float) -> None:
        """Record a new report.

        Args:
          demand: The peak of statements in flight and waiting.
          now: The current time.
        """
        self.at = now
        self.demand = demand
        rise = max(0.0, demand - self.steady)
        self.steady = min(demand, self.steady + RISE_WEIGHT * rise)


@attrs.define
class ServerPermits:
    """Allocates the permits of one server; times are in seconds.

    Attributes:
      slots: The server's slots.
      total: The estimate of the statements that may be in flight.
      reports: The latest report by home.
      decreased_at: When the estimate was last decreased.
      refused_at: When a report with refusals last arrived.
      grown_at: When the estimate last grew.
    """

    slots: int
    total: float = 0.0
    reports: dict[str, HomeReport] = attrs.Factory(dict)
    decreased_at: float = float("-inf")
    refused_at: float = float("-inf")
    grown_at: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        """Set the estimate to its start."""
        self.total = START_PER_SLOT * self.slots

    def serve(
        self,
        home: str,
        demand: int,
        refusals: int,
        homes: Collection[str],
        now: float,
    ) -> int:
        """Apply a report and return the permits of the home, at least 1.

        Permits that other homes still use are not granted again: a share
        grows when the shares of others have shrunk with their next reports.

        Args:
          home: The home that reports.
          demand: Its peak of statements in flight and waiting.
          refusals: Its statements that the server refused as full.
          homes: All homes of the group.
          now: The current time.
        """
        self.forget(now)
        demand = max(1, demand)
        report = self.reports.setdefault(home, HomeReport(now, demand, demand))
        report.update(demand, now)
        self.update_total(refusals, homes, now)
        available = self.available(homes)
        demands = {one: int(rep.steady) for one, rep in self.reports.items()}
        share = divide_permits(available, demands)[home]
        granted = sum(
            max(1, rep.places)
            for one, rep in self.reports.items()
            if one != home
        )
        report.places = max(1, min(share, available - granted))
        return report.places

    def forget(self, now: float) -> None:
        """Forget the homes whose grants have expired.

        Args:
          now: The current time.
        """
        self.reports = {
            home: report
            for home, report in self.reports.items()
            if now - report.at < REPORT_SECONDS
        }

    def available(self, homes: Collection[str]) -> int:
        """Return the permits of the homes that report.

        One is reserved for each other home.

        Args:
          homes: All homes of the group.
        """
        reserved = sum(one not in self.reports for one in homes)
        return int(self.total) - reserved

    def update_total(
        self, refusals: int, homes: Collection[str], now: float
    ) -> None:
        """Adjust the estimate to a report.

        Args:
          refusals: The statements that the server refused as full.
          homes: All homes of the group.
          now: The current time.
        """
        if refusals:
            self.refused_at = now
            if now - self.decreased_at >= INTERVAL_SECONDS:
                self.decreased_at = now
                self.total = max(
                    MIN_PER_SLOT * self.slots, self.total * DECREASE_FACTOR
                )
            return
        demand = sum(report.steady for report in self.reports.values())
        calm_since = max(self.grown_at, self.refused_at)
        if demand >= self.available(homes) and (
            now - calm_since >= INTERVAL_SECONDS
        ):
            self.grown_at = now
            self.total = min(
                MAX_PER_SLOT * self.slots, self.total + GROWTH_STEP
            )

"""Health of a group's servers, judged by the outcomes of reads.

A server that fails part of its requests quickly has a low expected time, so the
estimate of time alone would prefer it. Such a server gets no reads for a pause
and is then tried with one read at a time.
"""

import collections
import math
from collections.abc import Sequence

import attrs

# Outcomes that count as evidence: the last ones of a server, no older than the
# maximum age. At about 10 reads per second and server of one proxy, 20 outcomes
# are 2 s.
WINDOW_OUTCOMES = 20
MAX_OUTCOME_AGE_SECONDS = 10.0
# Single failures are common: lost packets, locks, a server that restarts.
MIN_FAILURES = 5
EJECTION_SHARE = 0.25
# Outcomes of other servers without which there is no comparison.
MIN_PEER_OUTCOMES = 5
# Standard deviations by which a server's failures must exceed what its peers'
# rate predicts. Otherwise the cause may be shared: a bad statement, or the
# network of this VM. With 5 to 90% of all reads failing everywhere, 3 deviations
# ejected a server 176 times in 350,000 reads, and 5 deviations 6 times.
MIN_DEVIATIONS = 5.0
# Lengths of successive pauses. The first one costs little if the cause passes.
PAUSE_SECONDS = (0.5, 1.0, 2.0, 4.0)
# Half of the longest statement time (2 s), the longest an attempt may take. A
# trial whose read was refused or never sent has no outcome and ends then.
TRIAL_SECONDS = 1.0
READMITTING_TRIALS = 2
# A server that flaps keeps its pause length for this long after a readmission
# or a failure.
CALM_SECONDS = 10.0


@attrs.frozen
class ServerEjected:
    """A server gets no reads for a pause.

    Attributes:
      server_id: The server.
      failures: Failed reads among the counted ones.
      answers: The counted reads.
      pause_seconds: The length of the pause.
    """

    server_id: str
    failures: int
    answers: int
    pause_seconds: float


@attrs.frozen
class ServerReadmitted:
    """A server gets reads again.

    Attributes:
      server_id: The server.
    """

    server_id: str


HealthChange = ServerEjected | ServerReadmitted


@attrs.define
class ServerOutcomes:
    """The recent outcomes of one server and its pause.

    Attributes:
      outcomes: When each counted read ended and whether it failed.
      pauses: Number of pauses since the last calm time.
      ejected: Whether the server is paused or on trial.
      paused_until: End of the latest pause, in seconds.
      trial_until: When the present trial ends without an outcome, in seconds.
      good_trials: Successful trials in a row.
      calm_since: The last failure or readmission, in seconds.
    """

    outcomes: collections.deque[tuple[float, bool]] = attrs.Factory(
        lambda: collections.deque(maxlen=WINDOW_OUTCOMES)
    )
    pauses: int = 0
    ejected: bool = False
    paused_until: float = -math.inf
    trial_until: float = -math.inf
    good_trials: int = 0
    calm_since: float = -math.inf

    def record(self, failed: bool, now: float) -> None:
        """Add an outcome and drop those that are too old."""
        if failed:
            self.calm_since = now
        elif self.pauses and now - self.calm_since >= CALM_SECONDS:
            self.pauses = 0
        self.outcomes.append((now, failed))
        while now - self.outcomes[0][0] > MAX_OUTCOME_AGE_SECONDS:
            self.outcomes.popleft()

    def on_trial(self, now: float) -> bool:
        """Return whether an outcome is that of a trial.

        Other outcomes of an ejected server belong to reads that were sent
        before its pause.
        """
        return now >= self.paused_until and self.trial_until > -math.inf

    def counts(self, now: float) -> tuple[int, int]:
        """Return the numbers of failed and of all counted reads."""
        recent = [
            failed
            for ended_at, failed in self.outcomes
            if now - ended_at <= MAX_OUTCOME_AGE_SECONDS
        ]
        return sum(recent), len(recent)


@attrs.define
class OutcomeHealth:
    """Health of the servers of one group as observed by one proxy.

    Attributes:
      servers: The outcomes of each server, by server id.
    """

    servers: dict[str, ServerOutcomes] = attrs.Factory(dict)

    def forget(self, server_id: str) -> None:
        """Remove a server that has left the group.

        Args:
          server_id: The server.
        """
        self.servers.pop(server_id, None)

    def server(self, server_id: str) -> ServerOutcomes:
        """Return the outcomes of a server, which are empty at first."""
        server = self.servers.get(server_id)
        if server is None:
            server = self.servers[server_id] = ServerOutcomes()
        return server

    def answered(self, server_id: str, now: float) -> HealthChange | None:
        """Record a read that a server has answered.

        Args:
          server_id: The server.
          now: The current time in seconds.
        """
        server = self.server(server_id)
        if not server.ejected:
            server.record(False, now)
            return None
        if not server.on_trial(now):
            return None
        server.trial_until = -math.inf
        server.good_trials += 1
        if server.good_trials < READMITTING_TRIALS:
            return None
        server.ejected = False
        server.calm_since = now
        server.outcomes.clear()
        return ServerReadmitted(server_id)

    def failed(self, server_id: str, now: float) -> HealthChange | None:
        """Record a read that a server has failed.

        Args:
          server_id: The server.
          now: The current time in seconds.
        """
        server = self.server(server_id)
        if server.ejected:
            if not server.on_trial(now):
                return None
            return self.eject(server_id, 1, 1, now)
        server.record(True, now)
        failures, answers = server.counts(now)
        if (
            failures < MIN_FAILURES
            or failures <= answers * EJECTION_SHARE
            or not self.peers_are_better(server_id, failures, answers, now)
        ):
            return None
        ejected = sum(one.ejected for one in self.servers.values())
        if ejected + 1 > len(self.servers) // 2:
            return None
        return self.eject(server_id, failures, answers, now)

    def peers_are_better(
        self, server_id: str, failures: int, answers: int, now: float
    ) -> bool:
        """Return whether the other servers clearly fail less often."""
        counts = [
            one.counts(now)
            for peer_id, one in self.servers.items()
            if peer_id != server_id and not one.ejected
        ]
        peer_failures = sum(failed for failed, _ in counts)
        peer_answers = sum(answered for _, answered in counts)
        if peer_answers < MIN_PEER_OUTCOMES:
            return False
        # One more failure and one more answer, since a few outcomes without a
        # failure do not prove a rate of zero.
        share = (peer_failures + 1) / (peer_answers + 2)
        # The peers' rate is an estimate, too, which widens the deviation.
        spread = answers + answers**2 / (peer_answers + 2)
        deviation = math.sqrt(share * (1.0 - share) * spread)
        return failures - answers * share > MIN_DEVIATIONS * deviation

    def eject(
        self, server_id: str, failures: int, answers: int, now: float
    ) -> ServerEjected:
        """Start the next pause of a server."""
        server = self.servers[server_id]
        pause = PAUSE_SECONDS[min(server.pauses, len(PAUSE_SECONDS) - 1)]
        server.pauses += 1
        server.ejected = True
        server.paused_until = now + pause
        server.trial_until = -math.inf
        server.good_trials = 0
        server.calm_since = now
        return ServerEjected(server_id, failures, answers, pause)

    def begin_trial(self, server_id: str, now: float) -> None:
        """Record that a read is about to be sent to a server.

        Args:
          server_id: The server.
          now: The current time in seconds.
        """
        server = self.servers.get(server_id)
        if server is not None and server.ejected:
            server.trial_until = now + TRIAL_SECONDS

    def withheld(self, server_ids: Sequence[str], now: float) -> set[str]:
        """Return the servers that do not get a read for now.

        At most half of the given servers are withheld, and thus never the only
        one.

        Args:
          server_ids: All servers that could take the read.
          now: The current time in seconds.
        """
        paused = [
            (max(server.paused_until, server.trial_until), server_id)
            for server_id in server_ids
            if (server := self.servers.get(server_id)) is not None
            and server.ejected
            and max(server.paused_until, server.trial_until) > now
        ]
        paused.sort(reverse=True)
        return {server_id for _, server_id in paused[: len(server_ids) // 2]}

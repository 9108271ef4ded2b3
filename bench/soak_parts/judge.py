"""Checks the history of a run that has come to rest."""

import asyncio
import re
from typing import Any

import attrs

from jackdawcrank.embedded import EmbeddedSystem
from jackdawcrank_policy.values import Position
from jackdawcrank_standins.backend import BackendGroup, BackendServer
from jackdawcrank_standins.history import (
    CallerOutcome,
    CallerRecord,
    History,
    LogEntry,
    TermRecord,
    check_history,
)
from soak_parts.records import Answer, Recorder, WriteRecord

SETTLE_SECONDS = 30.0
POLL_SECONDS = 0.05
INSERTED = re.compile(r"INTO entries .*?VALUES \('([^']+)'")


@attrs.define
class TermWatch:
    """Notes when each term's primary began to accept writes.

    Attributes:
      system: The system.
      terms: The openings of terms by group.
    """

    system: EmbeddedSystem
    terms: dict[str, list[TermRecord]] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            for group in self.system.groups.values():
                self.look(group)
            await asyncio.sleep(POLL_SECONDS)

    def look(self, group: BackendGroup) -> None:
        """Note a group's new term, if there is one."""
        known = self.terms.setdefault(group.name, [])
        newest = known[-1].term if known else 0
        for server in group.servers.values():
            replication = server.replication
            if replication.writable and replication.term > newest:
                now = asyncio.get_running_loop().time()
                known.append(TermRecord(replication.term, now, server.name))
                newest = replication.term


def leader(group: BackendGroup) -> BackendServer | None:
    """Return the primary of the group's highest term."""
    servers = list(group.servers.values())
    highest = max(server.replication.fence_term for server in servers)
    for server in servers:
        replication = server.replication
        if replication.writable and replication.term == highest:
            return server
    return None


def at_rest(group: BackendGroup) -> bool:
    """Return whether all servers of a group hold the same log."""
    return leader(group) is not None and all(
        server.replication.caught_up() for server in group.servers.values()
    )


async def settle(system: EmbeddedSystem) -> bool:
    """Wait until every group is at rest; return whether it is."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + SETTLE_SECONDS
    while loop.time() < deadline:
        if all(map(at_rest, system.groups.values())):
            return True
        await asyncio.sleep(POLL_SECONDS)
    return False


def rows(server: BackendServer) -> list[str]:
    """Return the write ids in a server's committed table."""
    cursor = server.database.committed.execute(
        "SELECT write_id FROM entries ORDER BY id"
    )
    return [row[0] for row in cursor.fetchall()]


def history(
    group: BackendGroup,
    writes: list[WriteRecord],
    terms: list[TermRecord],
    must_survive: bool,
) -> History:
    """Return the history of one group.

    A write counts as answered when it was sent, so that the time of its
    answer's way to the caller cannot make a timely answer look late.
    """
    primary = leader(group)
    written_under = committed_terms(group)
    answers = [
        CallerRecord(
            write_id=write.write_id,
            outcome=CallerOutcome(write.answer.value),
            answered_at=write.started_at,
            term=written_under.get(write.write_id, 0),
            must_survive=must_survive,
        )
        for write in writes
    ]
    logs = {
        server.name: tuple(
            LogEntry(Position(0, place), write_id)
            for place, write_id in enumerate(rows(server), start=1)
        )
        for server in group.servers.values()
    }
    return History(answers, terms, logs, primary.name if primary else "")


def committed_terms(group: BackendGroup) -> dict[str, int]:
    """Return the term under which each write was committed last."""
    terms: dict[str, int] = {}
    for server in group.servers.values():
        for record in server.executed:
            match = INSERTED.search(record.sql) if record.writes else None
            if match is None or record.position is None:
                continue
            term = record.position.term
            terms[match[1]] = max(term, terms.get(match[1], 0))
    return terms


def judge(
    system: EmbeddedSystem, recorder: Recorder, watch: TermWatch
) -> dict[str, Any]:
    """Return the violations of a run, by rule and group."""
    found: list[dict[str, str]] = []
    for group in system.groups.values():
        writes = [w for w in recorder.writes if w.group == group.name]
        terms = watch.terms.get(group.name, [])
        record = history(group, writes, terms, system.options.confirm_writes)
        for violation in check_history(record):
            found.append(
                {
                    "group": group.name,
                    "rule": str(violation.rule),
                    "subject": violation.subject,
                    "detail": violation.detail,
                }
            )
    return {
        "violations": found,
        "lost_and_said_so": recorder.reported_losses,
        "lost_acknowledged": len(lost(system, recorder)),
        "stale_reads": [attrs.asdict(miss) for miss in recorder.stale],
        "not_at_rest": [
            state(group)
            for group in system.groups.values()
            if not at_rest(group)
        ],
        "same_data": all(map(same_data, system.groups.values())),
        "broken": broken(system),
    }


def state(group: BackendGroup) -> list[str]:
    """Return a line for each server of a group."""
    return [
        f"{server.name}: fence {server.replication.fence_term}, told"
        f" {server.replication.primary} for {server.replication.term},"
        f" log {server.replication.log.end},"
        f" verified {server.replication.verified}, up {server.up}"
        for server in group.servers.values()
    ]


def lost(system: EmbeddedSystem, recorder: Recorder) -> list[str]:
    """Return the acknowledged writes that the final primaries lack."""
    missing: list[str] = []
    for group in system.groups.values():
        primary = leader(group)
        kept = set(rows(primary)) if primary is not None else set()
        missing.extend(
            write.write_id
            for write in recorder.writes
            if write.group == group.name
            and write.answer is Answer.DONE
            and write.write_id not in kept
        )
    return missing


def same_data(group: BackendGroup) -> bool:
    """Return whether all servers of a group hold the same data."""
    dumps = {
        tuple(server.database.committed.iterdump())
        for server in group.servers.values()
    }
    return len(dumps) == 1


def broken(system: EmbeddedSystem) -> list[str]:
    """Return the unexpected errors of the stand-ins."""
    return [
        repr(error)
        for group in system.groups.values()
        for server in group.servers.values()
        for error in server.broken
    ]

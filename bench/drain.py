"""Measures what leaving proxies and backend servers cost callers.

Three proxies and one database group of three backend servers run in this
process. Callers send statements without a pause, more at once than the group
has slots. Then each proxy in turn is drained over the resource API and started
again, and after that a replica and the primary are declared as leaving.

A statement is cut if it was sent and its connection ended without an answer,
if its answer says that its outcome is unknown, or if it was rolled back; every
statement is valid, so that only the system can be the cause. Writes are looked
up afterwards: a write that got no answer but stands is counted as an answer
lost, a write that said `not_run` but stands as a false refusal.
"""

import asyncio
import collections
import random
import time
from typing import Any

import aiohttp
import asyncmy
import attrs
from asyncmy import errors as asyncmy_errors

from jackdawcrank.embedded.embedded_options import (
    CALLER_PASSWORD,
    CALLER_USER,
    OPERATOR_TOKEN,
    EmbeddedOptions,
)
from jackdawcrank.embedded.embedded_system import EmbeddedSystem
from jackdawcrank.process import Proxy
from jackdawcrank_standins.backend import BackendServer
from report import Check, seed_argument, write_result

GROUP = "depot"
CALLERS = 24
SLOTS = 3
STATEMENT_SECONDS = 0.03
WRITERS = 8
TRANSACTION_SHARE = 0.25
REPLICATION_SECONDS = 1.0
WARM_UP_SECONDS = 2.0
SETTLE_SECONDS = 3.0
RETRY_SECONDS = 0.02
DRAIN_LIMIT_SECONDS = 30.0
TARGET_SECONDS = 2.0
CUT_OUTCOMES = ("no_answer", "unknown", "failed")
PHASES = ("proxy_drains", "replica_drain", "primary_drain")
MARK = "/*bench*/"
LAST_CLIENT_ERROR = 2999
FIRST_CLIENT_ERROR = 2000


@attrs.define
class Tally:
    """What became of the callers' statements.

    Attributes:
      outcomes: How many statements had each outcome.
      refused_writes: The ids of writes that said `not_run`.
      lost_writes: The ids of writes whose connection ended.
      examples: The first message of each outcome that is no success.
    """

    outcomes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    acknowledged: set[int] = attrs.field(factory=set)
    refused_writes: set[int] = attrs.field(factory=set)
    lost_writes: set[int] = attrs.field(factory=set)
    examples: dict[str, str] = attrs.field(factory=dict)

    def note(self, outcome: str, detail: str = "") -> None:
        """Count one statement."""
        self.outcomes[outcome] += 1
        if detail:
            self.examples.setdefault(outcome, detail[:200])


class Caller:
    """One caller that sends statements without a pause.

    Attributes:
      system: The system.
      tally: What became of the statements.
      ids: The next write's id, shared by all callers.
      reads_only: Whether the caller reads only, and may read old rows.
    """

    def __init__(
        self,
        system: EmbeddedSystem,
        tally: Tally,
        ids: Any,
        seed: str,
        reads_only: bool,
    ) -> None:
        self.system = system
        self.tally = tally
        self.ids = ids
        self.rng = random.Random(seed)
        self.reads_only = reads_only
        self.connection: Any = None
        self.stopping = False

    async def run(self) -> None:
        """Send statements until told to stop."""
        while not self.stopping:
            if self.connection is None and not await self.connect():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if self.reads_only:
                await self.read()
            elif self.rng.random() < TRANSACTION_SHARE:
                await self.transaction()
            else:
                await self.write()
        await self.disconnect()

    async def connect(self) -> bool:
        """Connect to a proxy that is ready, as the balancer would."""
        ready = [p for p in self.system.proxies.values() if p.ready]
        if not ready:
            return False
        proxy = self.rng.choice(ready)
        try:
            self.connection = await connect(proxy)
        except (asyncmy_errors.MySQLError, OSError):
            self.tally.note("connect_failed")
            return False
        return True

    async def disconnect(self) -> None:
        """Close the connection."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()

    async def send(self, sql: str) -> str:
        """Send a statement and return its outcome."""
        try:
            async with self.connection.cursor() as cursor:
                await cursor.execute(sql)
                await cursor.fetchall()
        except asyncmy_errors.MySQLError as error:
            code = error.args[0] if error.args else 0
            text = str(error.args[-1]) if error.args else repr(error)
            outcome = outcome_of(code, text)
        except (OSError, EOFError, asyncio.IncompleteReadError) as error:
            outcome, text = "no_answer", repr(error)
        else:
            self.tally.note("done")
            return "done"
        self.tally.note(outcome, text)
        if outcome == "no_answer" or "shutting_down" in text:
            await self.disconnect()
        elif outcome == "not_run":
            await asyncio.sleep(RETRY_SECONDS)
        return outcome

    async def read(self) -> None:
        """Send one read that may be a little old."""
        await self.send(
            f"SELECT COUNT(*) FROM drained {MARK} /*max_age_ms='5000'*/"
        )

    async def write(self) -> None:
        """Send one write on its own."""
        number = next(self.ids)
        sql = f"INSERT INTO drained (id) VALUES ({number}) {MARK}"
        self.note_write(number, await self.send(sql))

    async def transaction(self) -> None:
        """Send one transaction of a write and a read."""
        number = next(self.ids)
        outcome = "done"
        for sql in (
            "BEGIN",
            f"INSERT INTO drained (id) VALUES ({number}) {MARK}",
            f"SELECT COUNT(*) FROM drained {MARK}",
            "COMMIT",
        ):
            outcome = await self.send(sql)
            if outcome != "done":
                if self.connection is not None and sql != "BEGIN":
                    await self.send("ROLLBACK")
                break
        self.note_write(number, outcome)

    def note_write(self, number: int, outcome: str) -> None:
        """Remember what a write was told."""
        if outcome == "done":
            self.tally.acknowledged.add(number)
        elif outcome in ("not_run", "failed"):
            self.tally.refused_writes.add(number)
        else:
            self.tally.lost_writes.add(number)


def outcome_of(code: object, text: str) -> str:
    """Return the outcome that an error stands for."""
    for word in ("not_run", "failed", "unknown"):
        if text.startswith(word):
            return word
    client_errors = range(FIRST_CLIENT_ERROR, LAST_CLIENT_ERROR + 1)
    return "no_answer" if code in client_errors else "failed"


class Operator:
    """Asks the resource API of one proxy."""

    def __init__(self, system: EmbeddedSystem) -> None:
        self.system = system

    async def request(
        self, vm: str, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Send a request to a VM and return the status and JSON value."""
        port = self.system.proxies[vm].api.port
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        url = f"http://127.0.0.1:{port}{path}"
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.request(method, url, json=body) as answer,
        ):
            return answer.status, await answer.json()

    async def set_serving(self, name: str) -> None:
        """Declare a backend server as serving again."""
        vm = next(iter(self.system.proxies))
        path = f"/v1/BackendServer/{name}"
        _, document = await self.request(vm, "GET", path)
        document["spec"]["state"] = "serving"
        await self.request(vm, "PUT", path, document)


async def drain_proxies(system: EmbeddedSystem) -> list[dict[str, Any]]:
    """Drain each proxy over another one and start it again."""
    found = []
    for vm in list(system.proxies):
        proxy = system.proxies[vm]
        other = next(name for name in system.proxies if name != vm)
        started = time.monotonic()
        path = f"/v1/vms/{vm}/drain"
        status, _ = await Operator(system).request(other, "POST", path)
        async with asyncio.timeout(DRAIN_LIMIT_SECONDS):
            await proxy.stopped.wait()
        seconds = round(time.monotonic() - started, 3)
        found.append({"vm": vm, "status": status, "seconds": seconds})
        await system.start_proxy(vm)
        await asyncio.sleep(SETTLE_SECONDS)
    return found


async def drain_server(system: EmbeddedSystem, name: str) -> dict[str, Any]:
    """Declare a server as leaving and find its last statement."""
    server = server_named(system, name)
    vm = next(iter(system.proxies))
    asked = time.monotonic()
    path = f"/v1/servers/{name}/drain"
    status, _ = await Operator(system).request(vm, "POST", path)
    accepted = time.monotonic()
    await asyncio.sleep(SETTLE_SECONDS + TARGET_SECONDS)
    times = [r.time for r in server.executed if MARK in r.sql]
    last = max(times, default=asked)
    return {
        "server": name,
        "status": status,
        "statements_before": sum(t <= asked for t in times),
        "statements_after_target": sum(
            t > accepted + TARGET_SECONDS for t in times
        ),
        "accepted_seconds": round(accepted - asked, 3),
        "last_new_work_seconds": round(max(0.0, last - accepted), 3),
    }


def server_named(system: EmbeddedSystem, name: str) -> BackendServer:
    """Return a backend server's stand-in."""
    return system.groups[GROUP].servers[name]


async def connect(proxy: Proxy) -> Any:
    """Return a caller's connection that commits each statement."""
    return await asyncmy.connect(
        host="127.0.0.1",
        port=proxy.front.port,
        user=CALLER_USER,
        password=CALLER_PASSWORD,
        db=GROUP,
        autocommit=True,
    )


async def stored_ids(system: EmbeddedSystem) -> set[int]:
    """Return the ids of all writes that stand."""
    proxy = next(p for p in system.proxies.values() if p.ready)
    connection = await connect(proxy)
    async with connection.cursor() as cursor:
        await cursor.execute("SELECT id FROM drained")
        rows = await cursor.fetchall()
    connection.close()
    return {int(row[0]) for row in rows}


async def create_table(system: EmbeddedSystem) -> None:
    """Create the table that callers write to."""
    proxy = next(iter(system.proxies.values()))
    connection = await connect(proxy)
    async with connection.cursor() as cursor:
        await cursor.execute("CREATE TABLE drained (id INT PRIMARY KEY)")
    connection.close()


async def measure(seed: int) -> tuple[dict[str, Any], list[Check]]:
    """Return all figures and those with a target."""
    options = EmbeddedOptions(
        slots=SLOTS, statement_seconds=STATEMENT_SECONDS, lag_seconds=0.1
    )
    system = EmbeddedSystem(options)
    await system.start()
    await create_table(system)
    await asyncio.sleep(REPLICATION_SECONDS)
    ids = iter(range(1, 10**9))
    tallies = {name: Tally() for name in PHASES}
    callers = [
        Caller(system, tallies[PHASES[0]], ids, f"{seed}/{n}", n >= WRITERS)
        for n in range(CALLERS)
    ]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(WARM_UP_SECONDS)
    proxies = await drain_proxies(system)
    enter(callers, tallies["replica_drain"])
    servers = sorted(system.groups[GROUP].servers)
    primary = system.primary_of(GROUP)
    replica = next(name for name in servers if name != primary)
    leaving = [await drain_server(system, replica)]
    await Operator(system).set_serving(replica)
    await asyncio.sleep(SETTLE_SECONDS)
    enter(callers, tallies["primary_drain"])
    leaving.append(await drain_server(system, system.primary_of(GROUP)))
    for caller in callers:
        caller.stopping = True
    await asyncio.gather(*tasks)
    stored = await stored_ids(system)
    await system.close()
    figures: dict[str, Any] = {
        "callers": CALLERS,
        "slots": SLOTS * len(servers),
        "proxies": proxies,
        "servers": leaving,
    }
    for name, tally in tallies.items():
        figures[name] = tally_figures(tally, stored)
    return figures, checks_of(figures, leaving)


def enter(callers: list[Caller], tally: Tally) -> None:
    """Count what callers send from now on in another tally."""
    for caller in callers:
        caller.tally = tally


def tally_figures(tally: Tally, stored: set[int]) -> dict[str, Any]:
    """Return a tally as JSON values."""
    outcomes = tally.outcomes
    return {
        "outcomes": dict(sorted(outcomes.items())),
        "cut": sum(outcomes[name] for name in CUT_OUTCOMES),
        "acknowledged_but_missing": len(tally.acknowledged - stored),
        "refused_but_standing": len(tally.refused_writes & stored),
        "unanswered_but_standing": len(tally.lost_writes & stored),
        "examples": tally.examples,
    }


def checks_of(
    figures: dict[str, Any], leaving: list[dict[str, Any]]
) -> list[Check]:
    """Return the figures that have a target."""
    checks: list[Check] = []
    for name in PHASES:
        for figure in (
            "cut",
            "acknowledged_but_missing",
            "refused_but_standing",
        ):
            count = figures[name][figure]
            checks.append(Check(f"{name}: {figure}", count, "0", count == 0))
    for role, item in zip(("replica", "primary"), leaving, strict=True):
        seconds = item["last_new_work_seconds"]
        met = item["status"] == 200 and seconds <= TARGET_SECONDS
        name = f"{role} leaving: last new work after acceptance"
        checks.append(Check(name, seconds, "<= 2 s", met))
    return checks


def run(seed: int) -> bool:
    """Run the benchmark and write its result."""
    figures, checks = asyncio.run(measure(seed))
    return bool(write_result("drain", seed, figures, checks))


def main() -> None:
    """Run from the command line."""
    raise SystemExit(0 if run(seed_argument(__doc__)) else 1)


if __name__ == "__main__":
    main()

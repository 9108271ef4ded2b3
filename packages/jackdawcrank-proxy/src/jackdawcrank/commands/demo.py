"""A scripted demo of session consistency, failover and draining."""

import asyncio
import time
from typing import Any

import asyncmy
import click
from asyncmy.errors import MySQLError

from jackdawcrank.commands.platform_demo import run_platform_demo
from jackdawcrank.embedded import EmbeddedOptions, EmbeddedSystem

GROUP = "depot"
LAG_SECONDS = 0.3
CATCH_UP_SECONDS = 1.0
# A newly started home waits until leases that others may hold have expired.
LEASE_EXPIRY_SECONDS = 4.0
WRITE_RETRY_SECONDS = 0.02
STEP_TIMEOUT_SECONDS = 20.0
EXIT_OK = 0
EXIT_FAILED = 1


class DemoFailed(Exception):
    """A step did not give the expected result."""


async def run_demo() -> int:
    """Run the demo; return the exit status."""
    system = EmbeddedSystem(EmbeddedOptions(lag_seconds=LAG_SECONDS))
    await system.start()
    try:
        await Demo(system).run()
    except (DemoFailed, MySQLError) as error:
        click.echo(f"FAILED: {error}", err=True)
        return EXIT_FAILED
    finally:
        await system.close()
    if not await run_platform_demo():
        click.echo("FAILED: on the users' platform", err=True)
        return EXIT_FAILED
    click.echo("done")
    return EXIT_OK


class Demo:
    """The steps of the demo.

    Attributes:
      system: The embedded system.
      number: The number of the current step.
    """

    def __init__(self, system: EmbeddedSystem) -> None:
        self.system = system
        self.number = 0

    async def run(self) -> None:
        """Run all steps."""
        self.report_step("3 proxies, 3 backend servers, replicas lag by 300 ms")
        token = await self.write_and_read_back()
        await self.read_from_replica(token)
        await self.replace_primary(token)
        await self.drain_proxy()

    async def write_and_read_back(self) -> str:
        """Write through one proxy and read through another."""
        first = await self.connect("vm1")
        await run(
            first,
            "CREATE TABLE pallets (id BIGINT PRIMARY KEY AUTO_INCREMENT, "
            "state VARCHAR(20))",
        )
        await run(
            first,
            "INSERT INTO pallets (state) VALUES ('broken') "
            "/*request_id='booking-1'*/",
        )
        ((token,),) = await run(first, "SELECT @@session_token")
        self.report_step("wrote on vm1 with request id booking-1")
        second = await self.connect("vm2")
        rows = await run(
            second, f"SELECT id, state FROM pallets /*session='{token}'*/"
        )
        require(rows == ((1, "broken"),), f"vm2 read {rows}")
        self.report_step(f"read the own write on vm2 with the token: {rows}")
        await run(
            second,
            "INSERT INTO pallets (state) VALUES ('broken') "
            "/*request_id='booking-1'*/",
        )
        ((count,),) = await run(second, "SELECT COUNT(*) FROM pallets")
        require(count == 1, f"the repeat made {count} rows")
        self.report_step("repeated booking-1 on vm2: still one row")
        return str(token)

    async def read_from_replica(self, token: str) -> None:
        """Read by maximum age and by token after replicas caught up."""
        await asyncio.sleep(CATCH_UP_SECONDS)
        before = self.replica_reads()
        caller = await self.connect("vm3")
        await run(caller, "SELECT COUNT(*) FROM pallets /*max_age_ms='5000'*/")
        await run(caller, f"SELECT COUNT(*) FROM pallets /*session='{token}'*/")
        served = self.replica_reads() - before
        require(served == 2, f"replicas served {served} of 2 reads")
        self.report_step(
            "a read up to 5 s old and a token read: both from replicas"
        )

    async def replace_primary(self, token: str) -> None:
        """Partition the primary and measure the write unavailability."""
        await asyncio.sleep(LEASE_EXPIRY_SECONDS)
        primary = self.system.primary_of(GROUP)
        self.system.groups[GROUP].partition(primary)
        partitioned_at = time.monotonic()
        gap = await self.first_write_after(partitioned_at)
        new_primary = self.system.primary_of(GROUP)
        require(new_primary != primary, "the primary was not replaced")
        self.report_step(
            f"cut {primary} off; {new_primary} took over, "
            f"writes were back after {gap:.2f} s"
        )
        caller = await self.connect("vm2")
        rows = await run(
            caller,
            f"SELECT state FROM pallets WHERE id = 1 /*session='{token}'*/",
        )
        require(rows == (("broken",),), f"after the change: {rows}")
        self.report_step("the write from before is still there for its token")
        self.system.groups[GROUP].heal(primary)

    async def first_write_after(self, started: float) -> float:
        """Return the seconds from `started` to the first acknowledged write.

        Raises:
          DemoFailed: No write was acknowledged in time.
        """
        number = 0
        while time.monotonic() - started < STEP_TIMEOUT_SECONDS:
            number += 1
            try:
                caller = await self.connect("vm1")
                await run(
                    caller,
                    "INSERT INTO pallets (state) VALUES ('mended') "
                    f"/*request_id='after-{number}',deadline_ms='3000'*/",
                )
                return time.monotonic() - started
            except (MySQLError, OSError):
                await asyncio.sleep(WRITE_RETRY_SECONDS)
        raise DemoFailed("no write was acknowledged after the cut")

    async def drain_proxy(self) -> None:
        """Drain a proxy while a transaction is open on it."""
        proxy = self.system.proxies["vm3"]
        caller = await self.connect("vm3")
        await run(caller, "BEGIN")
        await run(caller, "INSERT INTO pallets (state) VALUES ('released')")
        await proxy.drain("demo")
        await asyncio.sleep(0.2)
        await run(caller, "UPDATE pallets SET state = 'gone' WHERE id = 1")
        await run(caller, "COMMIT")
        await asyncio.wait_for(proxy.stopped.wait(), STEP_TIMEOUT_SECONDS)
        other = await self.connect("vm1")
        rows = await run(other, "SELECT state FROM pallets WHERE id = 1")
        require(rows == (("gone",),), f"after the drain: {rows}")
        self.report_step(
            "drained vm3 in the middle of a transaction: it committed"
        )

    async def connect(self, vm: str) -> Any:
        """Open a caller connection to a proxy."""
        description = self.system.describe()
        ports = {c["vm"]: c["port"] for c in description["callers"]}
        return await asyncmy.connect(
            host="127.0.0.1",
            port=ports[vm],
            user=description["caller_user"],
            password=description["caller_password"],
            database=GROUP,
            autocommit=True,
        )

    def replica_reads(self) -> int:
        """Return the number of reads served by replicas."""
        return sum(
            home.group.counters.replica_reads
            for proxy in self.system.proxies.values()
            for home in proxy.registry.homes.values()
        )

    def report_step(self, text: str) -> None:
        """Print the result of a step with its number."""
        self.number += 1
        click.echo(f"{self.number}. {text}")


async def run(connection: Any, sql: str) -> Any:
    """Run a statement and return its rows.

    Args:
      connection: A caller's connection.
      sql: The statement.
    """
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return await cursor.fetchall()


def require(condition: bool, detail: str) -> None:
    """Raise DemoFailed unless a condition holds.

    Args:
      condition: Whether the step succeeded.
      detail: The actual result, for the error message.
    """
    if not condition:
        raise DemoFailed(detail)

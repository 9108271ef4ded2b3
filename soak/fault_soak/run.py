"""Runs the fault soak: `python -m fault_soak.run --seeds 1-50 --seconds 20`."""

import asyncio
import collections
import pathlib
import random
import signal
import sys
import tempfile

import attrs
import click

from fault_soak.account_faults import AccountFaults
from fault_soak.accounts import SoakAccounts, check_accounts
from fault_soak.cable import LinkFault
from fault_soak.callers import Caller, CallHistory
from fault_soak.faults import RandomFaults
from fault_soak.world import GROUP, SoakEnvironment

# A failover takes at most 7 s.
RECOVERY_SECONDS = 8.0


@attrs.frozen
class SoakResult:
    """Result of one run.

    Attributes:
      seed: Seed of the run.
      broken: Descriptions of violated guarantees.
      answers: Number of answers by code.
      promotions: Number of changes of primary.
      faults: Names of the injected faults, in order.
      run_directory: Directory with the settings and logs of the proxies.
    """

    seed: int
    broken: tuple[str, ...]
    answers: dict[str, int]
    promotions: int
    faults: tuple[str, ...]
    run_directory: pathlib.Path


async def soak(
    seed: int,
    seconds: float,
    proxies: int,
    callers: int,
    with_accounts: bool = False,
) -> SoakResult:
    """Run the soak with one seed and check the recorded history.

    Args:
      seed: Seed for the choice of faults and caller operations.
      seconds: Duration of fault injection, in seconds.
      proxies: Number of proxy processes.
      callers: Number of concurrent callers.
      with_accounts: Whether callers belong to client accounts, whose keys are
        withdrawn and one of which sends beyond its limit.
    """
    rng = random.Random(seed)
    run_directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    environment = SoakEnvironment(run_directory, proxies, rng)
    history = CallHistory()
    faults = RandomFaults(environment)
    accounts = SoakAccounts() if with_accounts else None
    fault_series: list[RandomFaults | AccountFaults] = [faults]
    if accounts:
        accounts.declare(environment.platform)
        account_rng = random.Random(f"{seed}-accounts")
        fault_series.append(
            AccountFaults(environment, history, accounts, account_rng)
        )
    try:
        await environment.start()
        caller_tasks = [
            asyncio.create_task(
                Caller(
                    f"c{n}",
                    environment,
                    history,
                    random.Random(f"{seed}-{n}"),
                    accounts,
                    accounts.account_of_caller(n) if accounts else "",
                ).run()
            )
            for n in range(callers)
        ]
        injections = [asyncio.create_task(one.run()) for one in fault_series]
        await asyncio.sleep(seconds)
        await stop(injections)
        await end_faults_and_recover(environment)
        await stop(caller_tasks)
        check_history(environment, history)
        if accounts:
            servers = environment.platform.groups[GROUP].servers
            history.broken += check_accounts(
                accounts,
                history.sent,
                {name: server.runs for name, server in servers.items()},
            )
    finally:
        await environment.close()
    return SoakResult(
        seed,
        tuple(history.broken),
        history.answers,
        environment.platform.groups[GROUP].term - 1,
        tuple(fault for one in fault_series for fault in one.injected),
        run_directory,
    )


async def stop(tasks: "list[asyncio.Task[None]]") -> None:
    """Cancel tasks and wait for them.

    Raises:
      Exception: The first error raised by a task, other than cancellation.
    """
    for task in tasks:
        task.cancel()
    for outcome in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(outcome, Exception):
            raise outcome


async def end_faults_and_recover(environment: SoakEnvironment) -> None:
    """Clear all faults, restart what is down and wait for recovery."""
    platform = environment.platform
    platform.lose_orders = 0
    for link in platform.links.values():
        link.set_fault(LinkFault.NONE)
    for server in platform.groups[GROUP].servers.values():
        server.replication_cut = server.draining = False
        server.lost_answers = 0
        if not server.running:
            await server.start()
        server.report()
    for proxy in environment.proxies:
        environment.signal(proxy, signal.SIGCONT)
        if proxy.process and proxy.process.returncode is not None:
            await environment.start_proxy(proxy)
    await asyncio.sleep(RECOVERY_SECONDS)


def check_history(environment: SoakEnvironment, history: CallHistory) -> None:
    """Compare the answers of callers with the log of the primary."""
    primary = environment.platform.groups[GROUP].primary()
    if primary is None:
        history.broken.append("RECOVER: no primary after the recovery time")
        return
    writes = [write for commit in primary.log for write in commit.writes]
    held = dict(writes)
    counts: dict[str, int] = {}
    for item, _ in writes:
        counts[item] = counts.get(item, 0) + 1
    for item, value in history.acknowledged.items():
        if held.get(item) != value:
            history.broken.append(
                f"LOST: {item} was acknowledged but its value is not stored"
            )
    for item in history.refused & held.keys():
        history.broken.append(f"REFUSED: {item} was refused but is stored")
    for item, count in counts.items():
        if count > 1:
            history.broken.append(f"TWICE: {item} was applied {count} times")
    for first_item, second_item in history.transactions:
        if (first_item in held) != (second_item in held):
            history.broken.append(
                f"PINNED: only one of {first_item}, {second_item} is stored"
            )


def parse_seeds(text: str) -> list[int]:
    """Parse a list of seeds and seed ranges such as `3,5-9`.

    Args:
      text: Comma-separated seeds and inclusive ranges.
    """
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


@click.command()
@click.option("--seeds", default="1-3", help="Seeds, such as 3,5-9.")
@click.option("--seconds", default=20.0, help="How long faults strike.")
@click.option("--proxies", default=4, help="Proxy processes.")
@click.option("--callers", default=8, help="Callers at once.")
@click.option("--jobs", default=1, help="Seeds at once.")
@click.option("--accounts", is_flag=True, help="Callers belong to accounts.")
def main(
    seeds: str,
    seconds: float,
    proxies: int,
    callers: int,
    jobs: int,
    accounts: bool,
) -> None:
    """Run the seeds and print one result per line; exit 1 on any violation."""

    async def run_seeds() -> int:
        concurrency_limit = asyncio.Semaphore(jobs)
        failed_seeds = 0

        async def run_seed(seed: int) -> None:
            nonlocal failed_seeds
            async with concurrency_limit:
                result = await soak(seed, seconds, proxies, callers, accounts)
            failed_seeds += bool(result.broken)
            status = "BROKEN" if result.broken else "kept"
            click.echo(
                f"seed {seed}: {status}; answers {result.answers}; "
                f"promotions {result.promotions}; logs {result.run_directory}"
            )
            kinds = collections.Counter(
                violation.partition(":")[0] for violation in result.broken
            )
            for kind, count in kinds.items():
                click.echo(f"  {count} violations of {kind}")
            for violation in result.broken[:5]:
                click.echo(f"  {violation}")

        await asyncio.gather(*(run_seed(seed) for seed in parse_seeds(seeds)))
        return failed_seeds

    sys.exit(1 if asyncio.run(run_seeds()) else 0)


if __name__ == "__main__":
    main()

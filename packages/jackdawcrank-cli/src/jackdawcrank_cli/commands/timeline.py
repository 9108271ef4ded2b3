"""Shows the timeline events of all VMs, merged in order."""

import asyncio
import pathlib
import re
import time
from collections.abc import Mapping
from typing import Any
from urllib.parse import urlencode

import attrs
import click

from jackdawcrank_cli.client import CONNECTION_ERRORS, Client
from jackdawcrank_cli.commands.run import run
from jackdawcrank_cli.config import CliConfig
from jackdawcrank_cli.exit_codes import ExitCode
from jackdawcrank_cli.failure import CommandFailed
from jackdawcrank_wire.events import (
    MalformedEvent,
    TimelineEvent,
    from_json_line,
    merge_events,
    to_json_lines,
    to_trace_events,
)

REORDER_DELAY_SECONDS = 0.5
UNITS = {"s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}


class TimeType(click.ParamType[float]):
    """Parameter type for a Unix time or an age such as `10m`."""

    name = "time"

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> float:
        """Return the argument as Unix time in seconds."""
        match = re.fullmatch(r"(\d+(?:\.\d+)?)([smhd]?)", str(value))
        if match is None:
            self.fail(f"{value!r} is no time such as 10m, 2h or 1790000000")
        number, unit = float(match[1]), match[2]
        return time.time() - number * UNITS[unit] if unit else number


@attrs.frozen
class Selection:
    """Filter for timeline events.

    Attributes:
      group: The database group; empty for all.
      request: The caller's request id; empty for all.
      after: The earliest time in Unix seconds; None for no limit.
      before: The latest time in Unix seconds; None for no limit.
      vms: The VMs; empty for all.
    """

    group: str = ""
    request: str = ""
    after: float | None = None
    before: float | None = None
    vms: tuple[str, ...] = ()

    def query(self, follow: bool) -> str:
        """Return the URL query string for the timeline API of a proxy."""
        values = {
            "group": self.group,
            "request": self.request,
            "after": self.after,
            "before": self.before,
            "follow": "1" if follow else "",
        }
        return urlencode({k: v for k, v in values.items() if v})


@click.command()
@click.option("--group", default="", help="Only events of this group.")
@click.option("--request", default="", help="Only events of this request id.")
@click.option("--vm", "vms", multiple=True, help="Only this VM; repeatable.")
@click.option("--since", type=TimeType(), help="Only from this time on.")
@click.option("--until", type=TimeType(), help="Only up to this time.")
@click.option("--follow", is_flag=True, help="Go on with events to come.")
@click.option(
    "--export",
    type=click.Choice(["jsonl", "trace"]),
    help="Write JSON lines, or a trace for a browser's trace viewer.",
)
@click.option(
    "--to",
    "path",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="File for the export; absent: standard output.",
)
@click.pass_obj
def timeline(
    config: CliConfig,
    group: str,
    request: str,
    vms: tuple[str, ...],
    since: float | None,
    until: float | None,
    follow: bool,
    export: str | None,
    path: pathlib.Path | None,
) -> None:
    """Show the events of all VMs in one order.

    TIME is a Unix time or a time before now: 30s, 10m, 2h, 1d.
    """
    selection = Selection(group, request, since, until, vms)
    if follow:
        if export == "trace" or path is not None:
            raise click.UsageError("--follow prints; it can't export a trace")
        as_json = export == "jsonl" or config.output == "json"
        run(config, lambda client: show_live(client, selection, as_json))
        return
    events = run(config, lambda client: gather(client, selection))
    write(render(events, export, config.output), path)


def render(events: list[TimelineEvent], export: str | None, output: str) -> str:
    """Return events as text in the requested format."""
    if export == "trace":
        return to_trace_events(events) + "\n"
    if export == "jsonl" or output == "json":
        return to_json_lines(events)
    return "".join(event_text(event) + "\n" for event in events)


def write(text: str, path: pathlib.Path | None) -> None:
    """Write text to a file, or to standard output if there is no path."""
    if path is None:
        click.echo(text, nl=False)
    else:
        path.write_text(text, encoding="utf-8")


async def select_vm_urls(
    client: Client, selection: Selection
) -> dict[str, str]:
    """Return the resource API URL of each selected VM by name.

    Raises:
      CommandFailed: A selected VM is unknown, or no proxy answered.
    """
    status = await client.call("GET", "/v1/status")
    urls = {vm["name"]: vm_url(vm) for vm in status["vms"]}
    unknown = [name for name in selection.vms if name not in urls]
    if unknown:
        message = f"there is no VM {', '.join(unknown)}"
        raise CommandFailed(message, ExitCode.NOT_FOUND)
    names = selection.vms or tuple(urls)
    return {name: urls[name] for name in names}


def vm_url(vm: Mapping[str, Any]) -> str:
    """Return the URL of the resource API of a VM."""
    return f"http://{vm['host']}:{vm['operatorPort']}"


async def gather(client: Client, selection: Selection) -> list[TimelineEvent]:
    """Return the merged events of all selected VMs that answer."""
    urls = await select_vm_urls(client, selection)
    query = selection.query(follow=False)
    parts = await asyncio.gather(
        *(
            fetch_events(client, name, f"{url}/v1/timeline?{query}")
            for name, url in urls.items()
        )
    )
    return merge_events(event for part in parts for event in part)


async def fetch_events(
    client: Client, vm: str, url: str
) -> list[TimelineEvent]:
    """Return the events of one VM.

    If the connection fails or times out, a warning is printed and the events
    read so far are returned.
    """
    events: list[TimelineEvent] = []
    try:
        async with asyncio.timeout(client.config.timeout):
            async for line in client.lines(url):
                add_event(events, line)
    except CONNECTION_ERRORS as error:
        warn_missing(vm, error)
    return events


async def show_live(
    client: Client, selection: Selection, as_json: bool
) -> None:
    """Print events as they arrive.

    Events are buffered for REORDER_DELAY_SECONDS so that those of different
    VMs can be sorted.
    """
    urls = await select_vm_urls(client, selection)
    query = selection.query(follow=True)
    pending: list[TimelineEvent] = []
    readers = [
        asyncio.create_task(
            collect(client, name, f"{url}/v1/timeline?{query}", pending)
        )
        for name, url in urls.items()
    ]
    while pending or not all(reader.done() for reader in readers):
        await asyncio.sleep(REORDER_DELAY_SECONDS)
        ready, pending[:] = list(pending), []
        form = "json" if as_json else "table"
        click.echo(render(merge_events(ready), None, form), nl=False)


async def collect(
    client: Client, vm: str, url: str, pending: list[TimelineEvent]
) -> None:
    """Append the events of one VM to `pending` until its stream ends."""
    try:
        async for line in client.lines(url):
            add_event(pending, line)
    except CONNECTION_ERRORS as error:
        warn_missing(vm, error)


def add_event(events: list[TimelineEvent], line: str) -> None:
    """Parse a line and append its event; malformed lines are skipped."""
    event = from_json_line(line)
    if not isinstance(event, MalformedEvent):
        events.append(event)


def warn_missing(vm: str, error: BaseException) -> None:
    """Warn that events of a VM may be missing."""
    reason = type(error).__name__
    click.echo(f"events of VM {vm} are missing: {reason}", err=True)


def event_text(event: TimelineEvent) -> str:
    """Return an event as one human-readable line."""
    whole = int(event.wall)
    clock = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(whole))
    millis = int((event.wall - whole) * 1000)
    parts = [f"{clock}.{millis:03d}Z", event.vm, str(event.kind)]
    if event.group:
        parts.append(f"group={event.group}")
    if event.term:
        parts.append(f"term={event.term}")
    if event.request_id:
        parts.append(f"request={event.request_id}")
    parts += (f"{k}={v}" for k, v in sorted(event.detail.items()))
    return "  ".join(parts)

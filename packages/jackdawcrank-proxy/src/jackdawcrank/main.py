"""The command-line interface of the proxy process."""

import asyncio
import pathlib
import sys

import click

from jackdawcrank.logs import configure_logging
from jackdawcrank_wire.settings import SettingsErrors, load_settings

EXIT_INVALID_SETTINGS = 2


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="jackdawcrank-proxy")
def main() -> None:
    """Run a database proxy with session consistency."""


@main.command()
@click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=pathlib.Path),
    required=True,
    help="JSON file with the settings of this VM.",
)
def run(settings_path: pathlib.Path) -> None:
    """Run the proxy of one VM until SIGTERM, then shut down gracefully."""
    from jackdawcrank.commands.run import run_proxy

    settings = load_settings(settings_path)
    if isinstance(settings, SettingsErrors):
        click.echo(str(settings), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    configure_logging(settings.log_format, settings.log_verbosity)
    sys.exit(asyncio.run(run_proxy(settings)))


@main.command()
@click.option("--vms", default=3, show_default=True, type=click.IntRange(1, 60))
@click.option(
    "--group",
    "groups",
    multiple=True,
    default=("depot",),
    show_default=True,
    help="Name of a database group; may be given several times.",
)
@click.option(
    "--lag-seconds",
    default=0.2,
    show_default=True,
    type=click.FloatRange(0.0, 60.0),
    help="Replication lag of the replicas.",
)
@click.option(
    "--ready-file",
    type=click.Path(path_type=pathlib.Path),
    help="File to write as JSON once callers are served.",
)
@click.option(
    "--log-verbosity",
    default="warning",
    show_default=True,
    type=click.Choice(["debug", "info", "warning", "error"]),
)
@click.option(
    "--platform",
    is_flag=True,
    help="Use the stand-in of the users' platform in place of MySQL servers.",
)
def embedded(
    vms: int,
    groups: tuple[str, ...],
    lag_seconds: float,
    ready_file: pathlib.Path | None,
    log_verbosity: str,
    platform: bool,
) -> None:
    """Run proxies and stand-ins in one process until SIGTERM."""
    from jackdawcrank.commands.embedded import run_embedded, run_until_stopped
    from jackdawcrank.embedded import EmbeddedOptions
    from jackdawcrank.embedded.platform_system import PlatformSystem

    configure_logging("text", log_verbosity)
    if platform:
        system = PlatformSystem(vms)
        sys.exit(asyncio.run(run_until_stopped(system, ready_file)))
    options = EmbeddedOptions(vms=vms, groups=groups, lag_seconds=lag_seconds)
    sys.exit(asyncio.run(run_embedded(options, ready_file)))


@main.command()
def demo() -> None:
    """Show the main job in one scripted session."""
    from jackdawcrank.commands.demo import run_demo

    configure_logging("text", "error")
    sys.exit(asyncio.run(run_demo()))


if __name__ == "__main__":
    main()

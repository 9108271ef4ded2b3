"""Entry point of the jackdawcrankctl command line."""

import sys
from typing import Any

import click

from jackdawcrank_cli.commands.accounts import accounts
from jackdawcrank_cli.commands.actions import drain, promote, requests
from jackdawcrank_cli.commands.apply import apply
from jackdawcrank_cli.commands.delete import delete
from jackdawcrank_cli.commands.diff import diff
from jackdawcrank_cli.commands.explain import explain
from jackdawcrank_cli.commands.get import describe, get
from jackdawcrank_cli.commands.losses import losses
from jackdawcrank_cli.commands.queues import queues
from jackdawcrank_cli.commands.settings import settings
from jackdawcrank_cli.commands.status import status
from jackdawcrank_cli.commands.timeline import timeline
from jackdawcrank_cli.commands.watch import watch
from jackdawcrank_cli.config import CliConfig, config_options, output_option
from jackdawcrank_cli.exit_codes import epilog
from jackdawcrank_cli.failure import CommandFailed

COMMANDS = (
    apply,
    diff,
    get,
    describe,
    watch,
    delete,
    drain,
    promote,
    requests,
    status,
    timeline,
    explain,
    losses,
    accounts,
    queues,
    settings,
)


class CommandGroup(click.Group):
    """Command group that reports failures as a message and exit status."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command and turn CommandFailed into an exit status."""
        try:
            return super().invoke(ctx)
        except CommandFailed as failure:
            click.echo(f"Error: {failure.message}", err=True)
            ctx.exit(int(failure.code))


@click.group(cls=CommandGroup, epilog=epilog())
@config_options
@click.version_option(package_name="jackdawcrank-cli")
@click.pass_context
def main(context: click.Context, /, **options: Any) -> None:
    """Operate jackdawcrank."""
    context.obj = CliConfig(**options)


for command in COMMANDS:
    main.add_command(command)
    if command not in (explain, losses, accounts, queues, settings):
        command.params.append(output_option())


if __name__ == "__main__":
    sys.exit(main())

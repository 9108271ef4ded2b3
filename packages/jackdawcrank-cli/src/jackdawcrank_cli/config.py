"""Global options of the command line, each declared once."""

import pathlib
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import click

ENVIRONMENT_PREFIX = "JACKDAWCRANK"
F = TypeVar("F", bound=Callable[..., Any])


def option(help_text: str, default: Any = None, **more: Any) -> Any:
    """Return the attrs field of a setting.

    Args:
      help_text: What the setting means.
      default: Its value if neither option nor environment variable is set.
      **more: Further arguments for the click option.
    """
    metadata = {"help": help_text, "more": more}
    return attrs.field(default=default, metadata=metadata)


@attrs.frozen(kw_only=True)
class CliConfig:
    """The settings shared by all commands."""

    server: str = option(
        "URL of a proxy's resource API; several, separated by commas, are "
        "tried in turn.",
        default="http://127.0.0.1:8306",
    )
    token: str | None = option("Operator token.", show_default=False)
    token_file: pathlib.Path | None = option(
        "File that holds the operator token.",
        type=click.Path(dir_okay=False, path_type=pathlib.Path),
    )
    output: str = option(
        "Form of the output.",
        default="table",
        type=click.Choice(["table", "json"]),
    )
    timeout: float = option(
        "Longest time for one answer, in seconds.",
        default=20.0,
        type=click.FloatRange(min=0.1),
    )

    @property
    def servers(self) -> tuple[str, ...]:
        """Return the URLs to try, in order."""
        urls = (url.strip().rstrip("/") for url in self.server.split(","))
        return tuple(url for url in urls if url)

    def bearer_token(self) -> str:
        """Return the operator token.

        Raises:
          click.UsageError: The token file can't be read.
        """
        if self.token is not None:
            return self.token
        if self.token_file is None:
            return ""
        try:
            return self.token_file.read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            message = f"--token-file {self.token_file}: {error}"
            raise click.UsageError(message) from error


def output_option() -> click.Option:
    """Return the option that overrides the output format of a command."""

    def override(
        context: click.Context, _: click.Parameter, value: str | None
    ) -> None:
        if value is not None:
            context.obj = attrs.evolve(context.obj, output=value)

    field = attrs.fields(CliConfig).output
    return click.Option(
        ["-o", "--output"],
        expose_value=False,
        callback=override,
        help=field.metadata["help"],
        type=field.metadata["more"]["type"],
    )


def config_options(command: F) -> F:
    """Add an option for each setting to a command."""
    for field in reversed(attrs.fields(CliConfig)):
        name = field.name.replace("_", "-")
        flags = [f"--{name}"]
        if field.name == "output":
            flags.append("-o")
        more: dict[str, Any] = {"show_default": field.default is not None}
        more.update(field.metadata["more"])
        decorator = click.option(
            *flags,
            field.name,
            default=field.default,
            envvar=f"{ENVIRONMENT_PREFIX}_{field.name.upper()}",
            show_envvar=True,
            help=field.metadata["help"],
            **more,
        )
        command = decorator(command)
    return command

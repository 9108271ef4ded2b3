"""Configuration of logging."""

import logging as standard_logging

from absl import flags, logging

from jackdawcrank.logs.formatters import JsonFormatter, TextFormatter
from jackdawcrank.logs.log_format import LogFormat

VERBOSITIES = ("debug", "info", "warning", "error", "fatal")


def configure_logging(
    log_format: LogFormat | str = LogFormat.TEXT, verbosity: str = "info"
) -> None:
    """Write structured log lines to standard error.

    Args:
      log_format: `text` for key=value pairs or `json`.
      verbosity: The lowest level that is written: `debug`, `info`,
        `warning`, `error` or `fatal`.

    Raises:
      ValueError: The format or the verbosity is unknown.
    """
    if verbosity not in VERBOSITIES:
        raise ValueError(f"{verbosity!r} is not one of {VERBOSITIES}")
    # click parses the options, so absl must not wait for a command line.
    flags.FLAGS.mark_as_parsed()
    formatter = make_formatter(LogFormat(log_format))
    logging.use_absl_handler()
    logging.set_verbosity(verbosity)
    logging.set_stderrthreshold(verbosity)
    logging.get_absl_handler().setFormatter(formatter)


def make_formatter(log_format: LogFormat) -> standard_logging.Formatter:
    """Return the formatter for a log format.

    Args:
      log_format: The log format.
    """
    if log_format is LogFormat.JSON:
        return JsonFormatter()
    return TextFormatter()

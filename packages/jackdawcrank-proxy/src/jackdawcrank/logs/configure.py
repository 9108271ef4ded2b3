"""Setting up of logs."""

import logging as standard_logging

from absl import flags, logging

from jackdawcrank.logs.formatters import JsonFormatter, TextFormatter
from jackdawcrank.logs.log_format import LogFormat

VERBOSITIES = ("debug", "info", "warning", "error", "fatal")


def configure_logging(
    log_format: LogFormat | str = LogFormat.TEXT, verbosity: str = "info"
) -> None:
    """Send structured lines to standard error.

    Args:
      log_format: `text` for key=value pairs or `json`.
      verbosity: The least important level that is written: `debug`, `info`,
        `warning`, `error` or `fatal`.

    Raises:
      ValueError: The format or the verbosity is not one of these.
    """
    if verbosity not in VERBOSITIES:
        raise ValueError(f"{verbosity!r} is not one of {VERBOSITIES}")
    # The options come from click; absl has no command line to wait for.
    flags.FLAGS.mark_as_parsed()
    formatter = make_formatter(LogFormat(log_format))
    logging.use_absl_handler()
    logging.set_verbosity(verbosity)
    logging.set_stderrthreshold(verbosity)
    logging.get_absl_handler().setFormatter(formatter)


def make_formatter(log_format: LogFormat) -> standard_logging.Formatter:
    """Return the formatter of a form.

    Args:
      log_format: The form.
    """
    if log_format is LogFormat.JSON:
        return JsonFormatter()
    return TextFormatter()

"""MySQL functions that SQLite lacks."""

import calendar
import datetime
import hashlib
import re
import sqlite3
from collections.abc import Callable
from typing import Any, Protocol

from jackdawcrank_standins.backend.statement_context import (
    Scalar,
    StatementContext,
)

PREFIX = "mysql_"
DATETIME_FORMAT = "%Y-%m-%d %H:%M:%S"
DATE_LENGTH = 10


class ContextHolder(Protocol):
    """What knows the context of the statement that runs now."""

    context: StatementContext


def parse_datetime(value: Any) -> datetime.datetime | None:
    """Return the time that a text means, or None."""
    try:
        return datetime.datetime.fromisoformat(str(value))
    except ValueError:
        return None


def format_datetime(value: datetime.datetime) -> str:
    """Return a time in MySQL's written form."""
    text = value.strftime(DATETIME_FORMAT)
    return f"{text}.{value.microsecond:06d}" if value.microsecond else text


def add_months(value: datetime.datetime, months: int) -> datetime.datetime:
    """Return a time moved by months, at most to the month's last day."""
    index = value.year * 12 + value.month - 1 + months
    year, month = index // 12, index % 12 + 1
    day = min(value.day, calendar.monthrange(year, month)[1])
    return value.replace(year=year, month=month, day=day)


SECONDS_OF_UNIT = {
    "MICROSECOND": 1e-6,
    "SECOND": 1,
    "MINUTE": 60,
    "HOUR": 3600,
    "DAY": 86400,
    "WEEK": 604800,
}
MONTHS_OF_UNIT = {"MONTH": 1, "QUARTER": 3, "YEAR": 12}


def date_add(value: Any, amount: Any, unit: str) -> str | None:
    """Return a time plus an amount of a unit."""
    start = parse_datetime(value)
    if start is None or amount is None:
        return None
    unit = unit.upper().removesuffix("S")
    if unit in MONTHS_OF_UNIT:
        moved = add_months(start, int(amount) * MONTHS_OF_UNIT[unit])
    else:
        seconds = float(amount) * SECONDS_OF_UNIT[unit]
        moved = start + datetime.timedelta(seconds=seconds)
    whole_days = unit in MONTHS_OF_UNIT or unit in ("DAY", "WEEK")
    if len(str(value)) == DATE_LENGTH and whole_days:
        return moved.strftime("%Y-%m-%d")
    return format_datetime(moved)


def date_subtract(value: Any, amount: Any, unit: str) -> str | None:
    """Return a time minus an amount of a unit."""
    return None if amount is None else date_add(value, -float(amount), unit)


def date_difference(left: Any, right: Any) -> int | None:
    """Return the days from one date to another."""
    first, second = parse_datetime(left), parse_datetime(right)
    if first is None or second is None:
        return None
    return (first.date() - second.date()).days


def timestamp_difference(unit: str, left: Any, right: Any) -> int | None:
    """Return the whole units from one time to another."""
    first, second = parse_datetime(left), parse_datetime(right)
    if first is None or second is None:
        return None
    unit = unit.upper().removesuffix("S")
    if unit in MONTHS_OF_UNIT:
        months = (second.year - first.year) * 12 + second.month - first.month
        return int(months / MONTHS_OF_UNIT[unit])
    return int((second - first).total_seconds() / SECONDS_OF_UNIT[unit])


def date_format(value: Any, pattern: str) -> str | None:
    """Return a time in the form that a pattern of strftime describes."""
    time = parse_datetime(value)
    return None if time is None else time.strftime(pattern)


def parse_date(text: Any, pattern: str) -> str | None:
    """Return the time that a text means by a pattern of strptime."""
    try:
        time = datetime.datetime.strptime(str(text), pattern)
    except ValueError:
        return None
    timed = any(code in pattern for code in ("%H", "%I", "%M", "%S"))
    return format_datetime(time) if timed else time.strftime("%Y-%m-%d")


def from_unixtime(seconds: Any) -> str | None:
    """Return the time that is some seconds after the start of 1970."""
    if seconds is None:
        return None
    start = datetime.datetime(1970, 1, 1)
    return format_datetime(start + datetime.timedelta(seconds=seconds))


def substring_index(text: Any, delimiter: Any, count: int) -> str | None:
    """Return the text before a delimiter's occurrence, or after it."""
    if text is None or delimiter is None:
        return None
    parts = text_of(text).split(text_of(delimiter))
    kept = parts[:count] if count >= 0 else parts[count:]
    return text_of(delimiter).join(kept)


def field(value: Any, *choices: Any) -> int:
    """Return the place of a value among choices, counted from 1; or 0."""
    return choices.index(value) + 1 if value in choices else 0


def time_part(name: str) -> Callable[[Any], int | None]:
    """Return a function that reads one part of a time."""

    def read(value: Any) -> int | None:
        time = parse_datetime(value)
        return None if time is None else int(getattr(time, name))

    return read


def date_of(value: Any) -> str | None:
    """Return the date of a time."""
    time = parse_datetime(value)
    return None if time is None else time.strftime("%Y-%m-%d")


def concat(*parts: Any) -> str | None:
    """Return the parts joined, or None if one of them is NULL."""
    if any(part is None for part in parts):
        return None
    return "".join(text_of(part) for part in parts)


def concat_ws(separator: Any, *parts: Any) -> str | None:
    """Return the parts that are not NULL, joined by a separator."""
    if separator is None:
        return None
    kept = (text_of(part) for part in parts if part is not None)
    return str(separator).join(kept)


def text_of(value: Any) -> str:
    """Return a value as text."""
    return value.decode() if isinstance(value, bytes) else str(value)


def left(text: Any, length: int) -> str | None:
    """Return the first characters of a text."""
    return None if text is None else text_of(text)[: max(length, 0)]


def right(text: Any, length: int) -> str | None:
    """Return the last characters of a text."""
    if text is None:
        return None
    return text_of(text)[-length:] if length > 0 else ""


def pad_left(text: Any, length: int, fill: Any) -> str | None:
    """Return a text filled up on the left and cut at a length."""
    if text is None or fill is None:
        return None
    missing = length - len(text_of(text))
    padding = (text_of(fill) * max(missing, 0))[: max(missing, 0)]
    return (padding + text_of(text))[:length]


def pad_right(text: Any, length: int, fill: Any) -> str | None:
    """Return a text filled up on the right and cut at a length."""
    if text is None or fill is None:
        return None
    missing = max(length - len(text_of(text)), 0)
    return (text_of(text) + (text_of(fill) * missing)[:missing])[:length]


def reverse(text: Any) -> str | None:
    """Return a text backwards."""
    return None if text is None else text_of(text)[::-1]


def repeat(text: Any, times: int) -> str | None:
    """Return a text a number of times."""
    return None if text is None else text_of(text) * max(times, 0)


def regexp(pattern: Any, text: Any) -> int | None:
    """Return whether a regular expression matches somewhere in a text."""
    if pattern is None or text is None:
        return None
    return int(bool(re.search(str(pattern), text_of(text), re.IGNORECASE)))


def digest(name: str) -> Callable[[Any], str | None]:
    """Return a function that hashes a text to hexadecimal digits."""

    def compute(value: Any) -> str | None:
        if value is None:
            return None
        data = value if isinstance(value, bytes) else text_of(value).encode()
        return hashlib.new(name, data, usedforsecurity=False).hexdigest()

    return compute


def truncate(value: Any, digits: int) -> float | None:
    """Return a number cut after some digits."""
    if value is None:
        return None
    factor: float = 10**digits
    return int(value * factor) / factor


def divide_whole(left_value: Any, right_value: Any) -> int | None:
    """Return the whole part of a quotient; NULL for a division by zero."""
    if left_value is None or not right_value:
        return None
    return int(left_value / right_value)


def least(*values: Any) -> Scalar:
    """Return the least of some values, or None if one is NULL."""
    result: Scalar = None
    if not any(value is None for value in values):
        result = min(values)
    return result


def greatest(*values: Any) -> Scalar:
    """Return the greatest of some values, or None if one is NULL."""
    result: Scalar = None
    if not any(value is None for value in values):
        result = max(values)
    return result


PURE: dict[str, tuple[int, Callable[..., Any]]] = {
    "date_add": (3, date_add),
    "date_sub": (3, date_subtract),
    "datediff": (2, date_difference),
    "timestampdiff": (3, timestamp_difference),
    "date_format": (2, date_format),
    "date": (1, date_of),
    "year": (1, time_part("year")),
    "month": (1, time_part("month")),
    "day": (1, time_part("day")),
    "hour": (1, time_part("hour")),
    "minute": (1, time_part("minute")),
    "second": (1, time_part("second")),
    "concat": (-1, concat),
    "concat_ws": (-1, concat_ws),
    "left": (2, left),
    "right": (2, right),
    "lpad": (3, pad_left),
    "rpad": (3, pad_right),
    "reverse": (1, reverse),
    "repeat": (2, repeat),
    "md5": (1, digest("md5")),
    "sha1": (1, digest("sha1")),
    "truncate": (2, truncate),
    "str_to_date": (2, parse_date),
    "from_unixtime": (1, from_unixtime),
    "substring_index": (3, substring_index),
    "field": (-1, field),
    "div": (2, divide_whole),
    "least": (-1, least),
    "greatest": (-1, greatest),
}


def register(connection: sqlite3.Connection, holder: ContextHolder) -> None:
    """Add MySQL's functions to a SQLite connection.

    Args:
      connection: The connection that gets the functions.
      holder: Knows the context of the statement that runs on it.
    """
    for name, (count, function) in PURE.items():
        connection.create_function(
            PREFIX + name, count, function, deterministic=True
        )
    connection.create_function("regexp", 2, regexp, deterministic=True)
    for name, (count, function) in contextual(holder).items():
        connection.create_function(PREFIX + name, count, function)


def contextual(
    holder: ContextHolder,
) -> dict[str, tuple[int, Callable[..., Any]]]:
    """Return the functions that read the statement's context."""

    def last_insert_id() -> int:
        return holder.context.last_insert_id

    def set_last_insert_id(value: Any) -> Any:
        holder.context.new_last_insert_id = int(value)
        return value

    def unix_timestamp() -> int:
        now = holder.context.now.replace(tzinfo=datetime.UTC)
        return int(now.timestamp())

    def unix_timestamp_of(value: Any) -> int | None:
        time = parse_datetime(value)
        if time is None:
            return None
        return int(time.replace(tzinfo=datetime.UTC).timestamp())

    def variable(name: str) -> Scalar:
        return holder.context.variables.get(name)

    def rand() -> float:
        return holder.context.random()

    def new_uuid() -> str:
        return holder.context.uuid()

    return {
        "now": (0, lambda: format_datetime(holder.context.now)),
        "curdate": (0, lambda: holder.context.now.strftime("%Y-%m-%d")),
        "curtime": (0, lambda: holder.context.now.strftime("%H:%M:%S")),
        "unix_timestamp": (0, unix_timestamp),
        "unix_timestamp_of": (1, unix_timestamp_of),
        "last_insert_id": (0, last_insert_id),
        "set_last_insert_id": (1, set_last_insert_id),
        "rand": (0, rand),
        "uuid": (0, new_uuid),
        "database": (0, lambda: holder.context.database),
        "connection_id": (0, lambda: holder.context.connection_id),
        "variable": (1, variable),
    }

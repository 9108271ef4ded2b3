"""Caches translated statements by their shape."""

import collections
import re

import attrs

from jackdawcrank_standins.backend import literals
from jackdawcrank_standins.backend.compiled import Compiled, StatementKind
from jackdawcrank_standins.backend.literals import Value
from jackdawcrank_standins.backend.translation import Translator

NUMBER_MARKER = 900719925470000
TEXT_MARKER = "__literal{}__"
MARKERS = re.compile(r"'?(?<!\w)9007199254(7\d{4})(?!\w)'?|'__literal(\d+)__'")
LEFT_OVER = re.compile(r"9007199254|__literal")
# Names, or texts so that no quote inside them counts.
NAMES = re.compile(r"'(?:[^']|'')*'|(`[^`]*`)")
BY_PLACE = re.compile(r"\bBY (?:[^()?]*,\s*)?\?\d")
MAX_TEXT = 1024
MAX_LITERALS = 500


@attrs.frozen
class Bound:
    """A translated statement with the values of its parameters.

    Attributes:
      compiled: The statement.
      values: The values of its parameters, in order.
    """

    compiled: Compiled
    values: tuple[Value, ...] = ()


@attrs.define
class StatementCache:
    """Translates statements and remembers the newest translations.

    A statement whose literals can be parameters is kept once for all values
    of them; another one is kept by its full text.

    Attributes:
      translator: Translates what the cache lacks.
      capacity: How many shapes and how many texts are kept.
      shapes: Translations by shape; None where literals must stay.
      wholes: Translations by shape and literals, where these must stay.
      texts: Translations by full text.
    """

    translator: Translator
    capacity: int = 4096
    shapes: collections.OrderedDict[str, Compiled | None] = attrs.field(
        factory=collections.OrderedDict
    )
    wholes: collections.OrderedDict[literals.Shape, Bound] = attrs.field(
        factory=collections.OrderedDict
    )
    texts: collections.OrderedDict[str, Bound] = attrs.field(
        factory=collections.OrderedDict
    )

    def bind(self, sql: str) -> Bound:
        """Return the translation of a statement.

        Args:
          sql: One statement in MySQL's dialect.

        Raises:
          Failure: The statement cannot be translated.
        """
        bound = self.texts.get(sql)
        if bound is not None:
            return bound
        bound = self.bind_shape(sql)
        if len(sql) <= MAX_TEXT:
            self.texts[sql] = bound
        if len(self.texts) > self.capacity:
            self.texts.popitem(last=False)
        return bound

    def bind_shape(self, sql: str) -> Bound:
        """Return the translation of a statement by its shape."""
        shape = literals.split(sql)
        if shape.key in self.shapes:
            compiled = self.shapes[shape.key]
        else:
            compiled = self.generalize(shape)
            self.shapes[shape.key] = compiled
            if len(self.shapes) > self.capacity:
                self.shapes.popitem(last=False)
        if compiled is None:
            return self.bind_whole(shape)
        return Bound(compiled, shape.values)

    def bind_whole(self, shape: literals.Shape) -> Bound:
        """Return the translation of a statement whose literals stay in it."""
        bound = self.wholes.get(shape)
        if bound is None:
            values = tuple(map(literals.literal, shape.values))
            sql = literals.fill(shape.key, values)
            bound = Bound(self.translator.translate(sql))
            self.wholes[shape] = bound
            if len(self.wholes) > self.capacity:
                self.wholes.popitem(last=False)
        return bound

    def generalize(self, shape: literals.Shape) -> Compiled | None:
        """Return a translation with parameters, or None if it has none.

        Each literal is replaced by a marker; the translation is usable for
        any values if it shows each marker in a place for a value.
        """
        if len(shape.values) > MAX_LITERALS:
            return None
        marked = literals.fill(shape.key, markers(shape.values))
        compiled = self.translator.translate(marked)
        if compiled.kind is StatementKind.SCHEMA:
            return None
        sql = parametrize(compiled.sql[0], len(shape.values))
        if sql is None:
            return None
        if compiled.insert_only_sql is None:
            return attrs.evolve(compiled, sql=(sql,))
        marked = compiled.insert_only_sql
        places = [place_of(match) for match in MARKERS.finditer(marked)]
        return attrs.evolve(
            compiled,
            sql=(sql,),
            insert_only_sql=MARKERS.sub(parameter, marked),
            insert_only_parameters=max(places, default=-1) + 1,
        )

    def clear(self) -> None:
        """Forget everything, after a change of the schema."""
        self.shapes.clear()
        self.wholes.clear()
        self.texts.clear()


def markers(values: tuple[Value, ...]) -> tuple[str, ...]:
    """Return one recognizable literal of the same type for each value."""
    return tuple(
        f"'{TEXT_MARKER.format(place)}'"
        if isinstance(value, (str, bytes))
        else str(NUMBER_MARKER + place)
        for place, value in enumerate(values)
    )


def place_of(match: re.Match[str]) -> int:
    """Return which literal a marker stands for."""
    if match[2] is not None:
        return int(match[2])
    return int(match[1]) - NUMBER_MARKER % 100000


def parameter(match: re.Match[str]) -> str:
    """Return the SQLite parameter for a marker."""
    return f"?{place_of(match) + 1}"


def parametrize(sql: str, count: int) -> str | None:
    """Return a translation with parameters in place of markers.

    Args:
      sql: The translation of a statement with markers.
      count: How many markers the statement had.

    Returns:
      None if a marker is missing or stands where a value cannot.
    """
    found = {place_of(match) for match in MARKERS.finditer(sql)}
    result = MARKERS.sub(parameter, sql)
    if len(found) != count or LEFT_OVER.search(result):
        return None
    if any(LEFT_OVER.search(name) for name in NAMES.findall(sql)):
        return None
    if BY_PLACE.search(result):
        return None
    return result

"""Rewrites MySQL expressions for SQLite."""

import functools

from sqlglot import exp

from jackdawcrank_standins.backend.functions import PREFIX

RENAMED = {
    "NOW": "now",
    "SYSDATE": "now",
    "LOCALTIME": "now",
    "UNIX_TIMESTAMP": "unix_timestamp",
    "LAST_INSERT_ID": "last_insert_id",
    "CONNECTION_ID": "connection_id",
    "FIELD": "field",
}
WITH_ARGUMENT = {
    "UNIX_TIMESTAMP": "unix_timestamp_of",
    "LAST_INSERT_ID": "set_last_insert_id",
}
SESSION_FUNCTIONS = {
    "USER": "@@user",
    "CURRENT_USER": "@@user",
    "SESSION_USER": "@@user",
    "VERSION": "@@version",
}
UNIT_DAY = "DAY"


def call(name: str, *arguments: exp.Expression) -> exp.Expression:
    """Return a call of one of the added functions."""
    return exp.Anonymous(this=PREFIX + name, expressions=list(arguments))


def variable(name: str) -> exp.Expression:
    """Return the reading of a variable."""
    return call("variable", exp.Literal.string(name))


def unit_of(node: exp.Expression) -> exp.Expression:
    """Return the unit of an interval as a text literal."""
    unit = node.args.get("unit")
    name = unit.name if unit is not None else UNIT_DAY
    return exp.Literal.string(name.upper())


@functools.singledispatch
def rewrite(node: exp.Expression) -> exp.Expression:
    """Return what stands for an expression node in SQLite.

    Args:
      node: A node whose children are rewritten after it.
    """
    return node


@rewrite.register
def _(node: exp.Anonymous) -> exp.Expression:
    name = str(node.this).upper()
    if name in SESSION_FUNCTIONS:
        return variable(SESSION_FUNCTIONS[name])
    if node.expressions and name in WITH_ARGUMENT:
        return call(WITH_ARGUMENT[name], *node.expressions)
    if name in RENAMED:
        return call(RENAMED[name], *node.expressions)
    return node


@rewrite.register(exp.CurrentTimestamp)
@rewrite.register(exp.UtcTimestamp)
def _(node: exp.Expression) -> exp.Expression:
    return call("now")


@rewrite.register
def _(node: exp.CurrentDate) -> exp.Expression:
    return call("curdate")


@rewrite.register
def _(node: exp.CurrentTime) -> exp.Expression:
    return call("curtime")


@rewrite.register
def _(node: exp.CurrentUser) -> exp.Expression:
    return variable("@@user")


@rewrite.register
def _(node: exp.CurrentVersion) -> exp.Expression:
    return variable("@@version")


@rewrite.register
def _(node: exp.CurrentSchema) -> exp.Expression:
    return call("database")


@rewrite.register
def _(node: exp.Uuid) -> exp.Expression:
    return call("uuid")


@rewrite.register
def _(node: exp.Rand) -> exp.Expression:
    return call("rand")


@rewrite.register
def _(node: exp.Parameter) -> exp.Expression:
    return variable("@" + node.name.lower())


@rewrite.register
def _(node: exp.SessionParameter) -> exp.Expression:
    return variable("@@" + node.name.lower())


@rewrite.register(exp.DateAdd)
@rewrite.register(exp.DateSub)
def _(node: exp.Expression) -> exp.Expression:
    name = "date_add" if isinstance(node, exp.DateAdd) else "date_sub"
    amount = node.expression
    if isinstance(amount, exp.Interval):
        return call(name, node.this, amount.this, unit_of(amount))
    return call(name, node.this, amount, unit_of(node))


@rewrite.register(exp.Add)
@rewrite.register(exp.Sub)
def _(node: exp.Expression) -> exp.Expression:
    amount = node.expression
    if not isinstance(amount, exp.Interval):
        return node
    name = "date_add" if isinstance(node, exp.Add) else "date_sub"
    return call(name, node.this, amount.this, unit_of(amount))


@rewrite.register
def _(node: exp.DateDiff) -> exp.Expression:
    return call("datediff", node.this, node.expression)


@rewrite.register
def _(node: exp.TimestampDiff) -> exp.Expression:
    return call("timestampdiff", unit_of(node), node.expression, node.this)


@rewrite.register
def _(node: exp.TimeToStr) -> exp.Expression:
    pattern = exp.Literal.string(node.args["format"].name)
    return call("date_format", node.this, pattern)


@rewrite.register
def _(node: exp.StrToDate) -> exp.Expression:
    pattern = exp.Literal.string(node.args["format"].name)
    return call("str_to_date", node.this, pattern)


@rewrite.register
def _(node: exp.UnixToTime) -> exp.Expression:
    return call("from_unixtime", node.this)


@rewrite.register
def _(node: exp.SubstringIndex) -> exp.Expression:
    delimiter, count = node.args["delimiter"], node.args["count"]
    return call("substring_index", node.this, delimiter, count)


@rewrite.register(exp.TsOrDsToDate)
@rewrite.register(exp.Date)
def _(node: exp.Expression) -> exp.Expression:
    return call("date", node.this)


@rewrite.register(exp.Year)
@rewrite.register(exp.Month)
@rewrite.register(exp.Day)
@rewrite.register(exp.DayOfMonth)
@rewrite.register(exp.Hour)
@rewrite.register(exp.Minute)
@rewrite.register(exp.Second)
def _(node: exp.Expression) -> exp.Expression:
    name = type(node).__name__.lower()
    inner = node.this
    if isinstance(inner, exp.TsOrDsToDate):
        inner = inner.this
    return call("day" if name == "dayofmonth" else name, inner)


@rewrite.register
def _(node: exp.Concat) -> exp.Expression:
    return call("concat", *node.expressions)


@rewrite.register
def _(node: exp.ConcatWs) -> exp.Expression:
    return call("concat_ws", *node.expressions)


@rewrite.register(exp.Left)
@rewrite.register(exp.Right)
def _(node: exp.Expression) -> exp.Expression:
    name = type(node).__name__.lower()
    return call(name, node.this, node.expression)


@rewrite.register
def _(node: exp.Pad) -> exp.Expression:
    name = "lpad" if node.args.get("is_left") else "rpad"
    fill = node.args.get("fill_pattern") or exp.Literal.string(" ")
    return call(name, node.this, node.expression, fill)


@rewrite.register
def _(node: exp.Repeat) -> exp.Expression:
    return call("repeat", node.this, node.args["times"])


@rewrite.register
def _(node: exp.Reverse) -> exp.Expression:
    return call("reverse", node.this)


@rewrite.register
def _(node: exp.MD5) -> exp.Expression:
    return call("md5", node.this)


@rewrite.register
def _(node: exp.SHA) -> exp.Expression:
    return call("sha1", node.this)


@rewrite.register
def _(node: exp.Trunc) -> exp.Expression:
    digits = node.args.get("decimals") or exp.Literal.number(0)
    return call("truncate", node.this, digits)


@rewrite.register
def _(node: exp.IntDiv) -> exp.Expression:
    return call("div", node.this, node.expression)


@rewrite.register(exp.Least)
@rewrite.register(exp.Greatest)
def _(node: exp.Expression) -> exp.Expression:
    name = type(node).__name__.lower()
    return call(name, node.this, *node.expressions)


@rewrite.register
def _(node: exp.Cast) -> exp.Expression:
    parameters = node.to.expressions
    if not parameters:
        return node
    if not node.is_type(exp.DType.DECIMAL):
        return exp.cast(node.this, node.to.this)
    scale = parameters[1].this if len(parameters) > 1 else exp.Literal.number(0)
    value = exp.cast(node.this, exp.DType.DOUBLE)
    return exp.Anonymous(this="round", expressions=[value, scale])


@rewrite.register
def _(node: exp.JSONExtract) -> exp.Expression:
    path = exp.Literal.string(str(node.expression.sql("mysql")).strip("'"))
    return exp.Anonymous(this="json_extract", expressions=[node.this, path])

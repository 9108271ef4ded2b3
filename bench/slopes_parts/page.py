"""The tables of the capacity page."""

import pathlib
from typing import Any

from report import revision
from slopes_parts.capacity import BUDGETS

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "CAPACITY.md"
Row = dict[str, Any]


def write_page(figures: dict[str, Any], seed: int) -> None:
    """Write the measured tables into the capacity page.

    Args:
      figures: What the benchmark found.
      seed: Its seed.
    """
    text = PAGE.read_text()
    command = "bench/slopes.py --write-page"
    source = f"Measured by `{command} --seed {seed}` at `{revision()}`.\n"
    tables = {
        "source": source,
        "slopes": slope_table(figures["slopes"]),
        "full size": full_size_tables(figures["full_size"]),
        "events": event_table(figures["events"]),
    }
    for name, table in tables.items():
        text = replace_part(text, name, table)
    PAGE.write_text(text)


def replace_part(text: str, name: str, table: str) -> str:
    """Return a page with one marked part replaced.

    Args:
      text: The page.
      name: The part's name in its markers.
      table: The new content.
    """
    begin, end = f"<!-- {name} begin -->\n", f"<!-- {name} end -->"
    head, _, rest = text.partition(begin)
    _, _, tail = rest.partition(end)
    return f"{head}{begin}\n{table}\n{end}{tail}"


def number(value: float) -> str:
    """Return a figure with three digits that count.

    Args:
      value: The figure.
    """
    if value == 0 or abs(value) < 1e-12:
        return "0"
    if 100 <= abs(value) < 1e12:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def slope_table(slopes: list[Row]) -> str:
    """Return the table of slopes.

    Args:
      slopes: Every slope.
    """
    rows = [
        "| role | per | quantity | slope | standard error | at none | sizes |",
        "|---|---|---|---|---|---|---|",
    ]
    for slope in slopes:
        sizes = ", ".join(number(size) for size in slope["sizes"])
        cells = [slope["role"], slope["unit"], slope["quantity"]]
        cells += [number(slope[key]) for key in ("slope", "error", "base")]
        rows.append("| " + " | ".join([*cells, sizes]) + " |")
    return "\n".join(rows) + "\n"


def full_size_tables(lines: list[Row]) -> str:
    """Return a table for each resource, with its sum and budget.

    Args:
      lines: The lines at full size.
    """
    tables = []
    for resource in dict.fromkeys(line["resource"] for line in lines):
        paid = [line for line in lines if line["resource"] == resource]
        total = sum(line["amount"] for line in paid)
        tables.append(f"### {resource}\n")
        tables.append(line_table(paid))
        tables.append(verdict(resource, total))
    return "\n".join(tables)


def line_table(lines: list[Row]) -> str:
    """Return the table of some lines.

    Args:
      lines: The lines.
    """
    rows = ["| role | per | slope | x size | = |", "|---|---|---|---|---|"]
    for line in lines:
        cells = [line["role"], line["unit"]]
        cells += [number(line[key]) for key in ("slope", "size", "amount")]
        rows.append("| " + " | ".join(cells) + " |")
    return "\n".join(rows) + "\n"


def verdict(resource: str, total: float) -> str:
    """Return a resource's sum beside its budget.

    Args:
      resource: The resource.
      total: The sum.
    """
    budget = BUDGETS.get(resource)
    if budget is None:
        return f"Sum: {number(total)}; no budget is stated.\n"
    share = f"{total / budget:.0%} of the budget of {number(budget)}"
    word = "within" if total <= budget else "**past**"
    return f"Sum: {number(total)}, {share}: {word} the budget.\n"


def event_table(lines: list[Row]) -> str:
    """Return the table of single events.

    Args:
      lines: The lines.
    """
    rows = [
        "| event and cost | role | per | slope | x size | = |",
        "|---|---|---|---|---|---|",
    ]
    for line in lines:
        cells = [line["resource"], line["role"], line["unit"]]
        cells += [number(line[key]) for key in ("slope", "size", "amount")]
        rows.append("| " + " | ".join(cells) + " |")
    return "\n".join(rows) + "\n"

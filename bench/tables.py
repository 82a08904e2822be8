"""Tables of the measuring tool for the terminal."""

from rich.table import Column, Table

from bench.results import Measurement, spread_of

__all__ = ["compare_table", "entries_table", "values_table"]


def entries_table(entries: dict[str, str]) -> Table:
    """Return the table of all entries."""
    table = Table("name", "measures", title="make bench NAME=...")
    for name, summary in entries.items():
        table.add_row(name, summary)
    return table


def values_table(measurement: Measurement) -> Table:
    """Return the table of each figure's median and spread."""
    title = f"{measurement['name']} at {measurement['commit']}"
    table = Table(Column("figure", overflow="fold"), title=title)
    for heading in ("median", "smallest", "largest", "spread"):
        table.add_column(heading, justify="right")
    for path, figures in measurement["values"].items():
        spread = spread_of(figures)
        numbers = (_number(value) for value in spread[:3])
        table.add_row(path, *numbers, f"{spread.relative:.0%}")
    for path, note in measurement["notes"].items():
        table.add_row(path, note)
    return table


def compare_table(measurement: Measurement, earlier: Measurement) -> Table:
    """Return the table of each figure's ratio to an earlier commit."""
    title = f"{measurement['name']}: ratio to {earlier['commit']}"
    table = Table(Column("figure", overflow="fold"), title=title)
    for heading in ("then", "now", "ratio"):
        table.add_column(heading, justify="right")
    for path, figures in measurement["values"].items():
        if path not in earlier["values"]:
            continue
        then = spread_of(earlier["values"][path]).median
        now = spread_of(figures).median
        ratio = f"{now / then:.2f}" if then else "-"
        table.add_row(path, _number(then), _number(now), ratio)
    return table


def _number(value: float) -> str:
    if value == int(value) and abs(value) < 1e15:
        return f"{int(value):,}"
    return f"{value:,.4g}"

"""Needs at the size that is asked for; rewrites tables of docs/CAPACITY.md."""

from pathlib import Path
from typing import Any, NamedTuple

from bench.plots import write_plots
from bench.sizing import (
    BLOCKS_OF_A_PROMPT,
    CLAIMED_SHARE,
    CONTROL_MEMBERS,
    DATA_CENTRES,
    DAY_S,
    DRIVERS,
    LOSSES_DAY,
    NODES,
    PROMPTS,
    REQUESTS_S,
    RESTARTS_DAY,
    STORES,
    TARGETS,
    WORKSPACES,
    Need,
    Size,
    make_size,
)
from bench.slopes import Slope, measure_slopes
from vanillabeam.claims import ClaimSettings
from vanillabeam.spread.copy import PAGE_BYTES
from vanillabeam.spread.core import PAGE_PERIOD_S
from vanillabeam.targets import TargetsSettings

__all__ = ["run"]

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BEGIN = "<!-- begin {} -->\n"
END = "<!-- end {} -->"
LIMIT_CORES = 0.013
LIMIT_MEMORY = 128e6
LIMIT_BYTES_S = 16_000.0
LIMIT_ASIDE = 7
RACK_NODES = 20


class _Limit(NamedTuple):
    name: str
    asked: float
    found: float
    unit: str


def run(seed: int) -> dict[str, Any]:
    """Measure the slopes, print the tables and write them into the page."""
    slopes = measure_slopes(seed)
    needs = make_size(slopes)
    limits = _limits(needs, Size(slopes))
    tables = {
        "drivers": _drivers_table(),
        "needs": _needs_table(needs),
        "limits": _limits_table(limits),
        "failures": _failures_table(Size(slopes)),
        "slopes": _slopes_table(slopes),
    }
    PAGE.write_text(_fill(PAGE.read_text(), tables))
    write_plots(slopes)
    for table in tables.values():
        print(table)
    return {
        "limits": {each.name: each.found for each in limits},
        "needs": {
            f"{each.role}: {each.mechanism}": {
                "bytes_s": each.bytes_s,
                "cores": each.cores,
                "memory": each.memory,
            }
            for each in needs
        },
    }


def _fill(page: str, tables: dict[str, str]) -> str:
    for name, table in tables.items():
        begin, end = BEGIN.format(name), END.format(name)
        head, _, rest = page.partition(begin)
        _, found, tail = rest.partition(end)
        if not found:
            raise ValueError(f"{PAGE.name} has no markers for {name}")
        page = f"{head}{begin}\n{table}\n{end}{tail}"
    return page


def _sum(needs: list[Need], field: str, part: str, *roles: str) -> float:
    return sum(
        getattr(each, field)
        for each in needs
        if each.part == part and each.role in roles
    )


def _limits(needs: list[Need], size: Size) -> list[_Limit]:
    entry = ("entry", "entry, owner part")
    leader = (*entry, "control")
    bytes_s = _sum(needs, "bytes_s", "control", *entry)
    whole = next(each for each in needs if each.mechanism.startswith("whole VM"))
    shard_memory = _sum(needs, "memory", "memory", "log shard")
    base = size.at("whole VM, at rest", "memory_bytes", 0)
    permits = next(each for each in needs if each.mechanism.startswith("permits"))
    return [
        _Limit("control bytes, entry, both ways", LIMIT_BYTES_S, bytes_s, "B/s"),
        _Limit("control bytes, entry, sent only", LIMIT_BYTES_S, bytes_s / 2, "B/s"),
        _Limit(
            "control bytes, leader of the ticket log, both ways",
            LIMIT_BYTES_S,
            _sum(needs, "bytes_s", "control", *leader),
            "B/s",
        ),
        _Limit(
            "control bytes, entry, permits counted too",
            LIMIT_BYTES_S,
            bytes_s + permits.bytes_s,
            "B/s",
        ),
        _Limit(
            "control processor time, entry",
            LIMIT_CORES,
            _sum(needs, "cores", "control", *entry),
            "cores",
        ),
        _Limit(
            "control processor time, leader of the ticket log",
            LIMIT_CORES,
            _sum(needs, "cores", "control", *leader),
            "cores",
        ),
        _Limit(
            "control processor time, entry, permits counted too",
            LIMIT_CORES,
            _sum(needs, "cores", "control", *entry) + permits.cores,
            "cores",
        ),
        _Limit("memory, entry and control VM", LIMIT_MEMORY, whole.memory, "B"),
        _Limit(
            "memory, control VM with old tickets and one full claims shard",
            LIMIT_MEMORY,
            whole.memory + _tickets_kept(needs) + shard_memory,
            "B",
        ),
        _Limit(
            "memory, store VM's block index and process",
            LIMIT_MEMORY,
            _sum(needs, "memory", "memory", "store") + base,
            "B",
        ),
        _Limit("VMs set aside", LIMIT_ASIDE, CONTROL_MEMBERS, "VMs"),
        _Limit(
            "one process: streams, prompts and permits",
            1.0,
            _sum(needs, "cores", "work", *entry),
            "cores",
        ),
    ]


def _tickets_kept(needs: list[Need]) -> float:
    return next(n.memory for n in needs if n.mechanism.startswith("numbers of old"))


def _failures_table(size: Size) -> str:
    vms = NODES / DATA_CENTRES
    owned = TARGETS / NODES
    hold_s = TargetsSettings().takeover_s
    copy_bytes = size.at("workspace records", "json_bytes", WORKSPACES)
    page_rate = PAGE_BYTES / PAGE_PERIOD_S
    events = LOSSES_DAY + RESTARTS_DAY
    blocks = PROMPTS * BLOCKS_OF_A_PROMPT / STORES
    settings = ClaimSettings()
    shard_claims_s = settings.max_records / settings.retention_s
    shards = REQUESTS_S * CLAIMED_SHARE / shard_claims_s
    rows = [
        ("restarts and losses a day", f"{events}, one each {DAY_S / events:.0f} s"),
        ("full copy of the workspaces", f"{copy_bytes / 1e6:.1f} MB as JSON"),
        (
            "its transfer, paced below the limit",
            f"{copy_bytes / page_rate / 60:.0f} min at {page_rate / 1000:.1f} kB/s; "
            "serving begins before it ends",
        ),
        ("moves of a target's owner a day", f"{2 * events * owned:.0f}, out and back"),
        (
            "share of targets held at the cold window by them",
            f"{2 * events * owned * hold_s / DAY_S / TARGETS:.2%} on average, "
            f"{hold_s:.0f} s a move",
        ),
        (
            f"a rack of {RACK_NODES} entries of one data centre",
            f"{RACK_NODES * owned:.0f} of {vms * owned:.0f} targets change owner at "
            f"once; each entry left has {vms / (vms - RACK_NODES):.2f} times the load",
        ),
        (
            "a data centre",
            f"{TARGETS / DATA_CENTRES:.0f} targets gone; the others need "
            f"{DATA_CENTRES / (DATA_CENTRES - 1):.2f} times their load",
        ),
        (
            "a store",
            f"{blocks:,.0f} blocks, {1 / STORES:.0%} of returning prompts recompute",
        ),
        (
            f"claims on {CLAIMED_SHARE:.0%} of requests",
            f"{shards:,.0f} shards at the bounds of one: {settings.max_records:,} keys "
            f"for {settings.retention_s / DAY_S:.0f} days",
        ),
    ]
    return _table(("event or load", "what it costs"), rows)


def _drivers_table() -> str:
    rows = [(each.name, _number(each.value), each.source) for each in DRIVERS]
    return _table(("driver", "value", "source"), rows)


def _needs_table(needs: list[Need]) -> str:
    heads = ("role", "mechanism", "part", "bytes a second", "core", "state or memory")
    rows = [
        (
            each.role,
            each.mechanism,
            each.part,
            f"{each.bytes_s:,.0f}" if each.bytes_s else "-",
            f"{each.cores:.2%}" if each.cores else "-",
            f"{each.memory / 1e6:.2f} MB" if each.memory else "-",
        )
        for each in needs
    ]
    return _table(heads, rows)


def _limits_table(limits: list[_Limit]) -> str:
    rows = []
    for each in limits:
        over = each.found / each.asked
        verdict = "met on paper" if over <= 1 else f"short: {over:.2f} times the limit"
        asked, found = _unit(each.asked, each.unit), _unit(each.found, each.unit)
        rows.append((each.name, asked, found, verdict))
    return _table(("limit", "asked", "found", "verdict"), rows)


def _unit(value: float, unit: str) -> str:
    if unit == "cores":
        return f"{value:.2%} of a core"
    if unit == "B":
        return f"{value / 1e6:.1f} MB"
    return f"{value:,.0f} {unit}"


def _slopes_table(slopes: list[Slope]) -> str:
    heads = ("mechanism", "quantity", "driver", "sizes", "base", "each", "residual")
    rows = [
        (
            each.mechanism,
            f"`{each.quantity}`",
            each.driver,
            f"{each.sizes[0]:,} to {each.sizes[-1]:,} ({len(each.sizes)})",
            _number(each.line.base),
            _number(each.line.slope),
            f"{each.line.residual:.0%}",
        )
        for each in slopes
    ]
    return _table(heads, rows)


def _table(heads: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    lines = [heads, tuple("---" for _ in heads), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def _number(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.4g}"

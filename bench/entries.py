"""Discovery of the measuring tool's entries: modules of bench that define ``run``."""

import ast
from collections.abc import Callable
from importlib import import_module
from pathlib import Path
from typing import Any

__all__ = ["Entry", "find_entries", "load_entry"]

#: Function ``run(seed)`` of an entry. It measures once, every variant that it
#: compares, and returns a dictionary; numbers in it, at any depth, are figures.
Entry = Callable[[int], dict[str, Any]]

_FOLDER = Path(__file__).parent


def find_entries(folder: Path = _FOLDER) -> dict[str, str]:
    """Return the summary line of each entry, by name.

    Modules are parsed, not imported, so one with a broken import is listed and
    does not hide the others.
    """
    entries = {}
    for path in sorted(folder.glob("*.py")):
        tree = ast.parse(path.read_text())
        if any(_is_run(node) for node in tree.body):
            doc = ast.get_docstring(tree) or ""
            entries[path.stem] = doc.partition("\n")[0]
    return entries


def load_entry(name: str) -> Entry:
    """Return the ``run`` function of entry ``name``."""
    return import_module(f"bench.{name}").run


def _is_run(node: ast.stmt) -> bool:
    return isinstance(node, ast.FunctionDef) and node.name == "run"

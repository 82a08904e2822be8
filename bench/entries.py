"""The entries of the measuring tool: modules here that define ``run``."""

import ast
from collections.abc import Callable
from importlib import import_module
from pathlib import Path
from typing import Any

__all__ = ["Entry", "find_entries", "load_entry"]

#: ``run(seed)`` measures once and returns a dictionary; numbers in it, at any
#: depth, are the figures. It measures every variant that it compares.
Entry = Callable[[int], dict[str, Any]]

_FOLDER = Path(__file__).parent


def find_entries(folder: Path = _FOLDER) -> dict[str, str]:
    """Return the summary line of each entry, by name.

    Modules are read, not imported: one that is broken hides no other.
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

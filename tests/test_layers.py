"""Imports between the modules of the package: no circle, and one way between layers."""

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

import vanillabeam

PACKAGE = Path(vanillabeam.__file__).parent

#: Top-level modules and packages by layer. Each imports only from its own layer and
#: from those above it in this table.
LAYERS = {
    "base": """
        addresses allocator blocks config counters decisions earlysignals exceptions
        hopheaders memory metrics notices output pauses peercall problems refusals
        rendezvous shares targetwire tasks wire
    """,
    "settings": "logs reference settings settingschecks settingsrecords",
    "connections": """
        accepting answerheads connecting httpread httpserver limits listeners middleware
        peerhttp ports requestscope socketstate tls
    """,
    "parts": """
        admission answers burn cache canary capacity claims control fleet forwarding
        imports lifecycle log members orders overload peerloads readiness remotemembers
        routing spread store targets tickets waiting
    """,
    "assembly": "components fleetgauges fleetvm",
    "faces": """
        callers gauges operators targetapp
    """,
    "programs": "cli daemon platform vm",
}
#: Top-level modules and packages of only one of the two systems
#: (docs/design/faces.md). Neither uses the other's.
SYSTEMS = {
    "a system of its own": """
        admission answers blocks burn cache callers claims components config control
        daemon gauges imports members metrics middleware operators orders remotemembers
        routing spread store targetapp targets targetwire tickets vm
    """,
    "a fleet on the platform": """
        canary capacity counters earlysignals fleet fleetgauges fleetvm forwarding
        overload pauses peerloads platform ports refusals waiting
    """,
}
RANKS = {
    unit: rank for rank, units in enumerate(LAYERS.values()) for unit in units.split()
}


def modules():
    """Return the file of each module below the package, by dotted name."""
    files = {}
    for path in PACKAGE.rglob("*.py"):
        parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
        files[".".join(p for p in parts if p != "__init__")] = path
    return files


def imported(node, names):
    """Return the modules that an import statement names, wherever it stands."""
    if isinstance(node, ast.Import):
        return {alias.name for alias in node.names} & names
    if not isinstance(node, ast.ImportFrom):
        return set()
    assert not node.level, "relative import"
    found = {f"{node.module}.{alias.name}" for alias in node.names} & names
    is_whole = len(found) == len(node.names) or node.module not in names
    return found if is_whole else found | {node.module}


def imports():
    """Return the modules that each module imports, in functions too."""
    files = modules()
    names = set(files)
    return {
        name: set().union(
            *(imported(node, names) for node in ast.walk(ast.parse(path.read_text())))
        )
        - {name}
        for name, path in files.items()
    }


def unit(module):
    """Return the top-level module or package that a module belongs to."""
    return module.split(".")[1] if "." in module else ""


def unit_imports():
    """Return the top-level modules and packages that each of them imports."""
    graph = {}
    for module, others in imports().items():
        units = {unit(other) for other in others} - {unit(module), ""}
        graph.setdefault(unit(module), set()).update(units)
    return graph


def circle(graph):
    """Return the names along one circle of a graph, none if there is none."""
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as exc:
        return exc.args[1]
    return []


def test_a_circle_is_found():
    assert circle({"a": {"b"}, "b": {"c"}, "c": {"a"}})
    assert not circle({"a": {"b", "c"}, "b": {"c"}})


@pytest.mark.parametrize(
    "text",
    [
        "import vanillabeam.wire",
        "from vanillabeam import wire",
        "from vanillabeam.wire import decode",
        "if TYPE_CHECKING:\n    from vanillabeam.wire import decode",
        "def late():\n    from vanillabeam.wire import decode",
    ],
)
def test_each_form_of_import_is_read(text):
    names = {"vanillabeam", "vanillabeam.wire"}
    found = set().union(*(imported(node, names) for node in ast.walk(ast.parse(text))))
    assert found == {"vanillabeam.wire"}


# Guards against modules that can only be read and changed together.
def test_no_modules_import_each_other_in_a_circle():
    assert circle(imports()) == []


# Guards against packages that import only in a lucky order.
def test_no_packages_import_each_other_in_a_circle():
    assert circle(unit_imports()) == []


def test_each_module_or_package_has_one_layer():
    listed = [unit for units in LAYERS.values() for unit in units.split()]
    assert sorted(listed) == sorted(set(unit_imports()) - {""})


def test_imports_point_one_way_between_layers():
    upward = {
        (name, other)
        for name, others in unit_imports().items()
        for other in others
        if name and RANKS[name] < RANKS[other]
    }
    assert upward == set()


# Guards against parts of one system that change when the other does.
def test_neither_system_imports_the_other():
    graph = unit_imports()
    own, fleet = (set(units.split()) for units in SYSTEMS.values())
    crossing = {
        (name, other)
        for names, others in ((own, fleet), (fleet, own))
        for name in names
        for other in graph[name] & others
    }
    assert crossing == set()

from tests.builders import make_workspace
from vanillabeam.auth import Operators, Workspaces, digest
from vanillabeam.config import Config


def make_workspaces(*records):
    workspaces = Workspaces()
    workspaces.config_changed(Config(1, workspaces={w.name: w for w in records}))
    return workspaces


def test_a_key_names_its_workspace():
    workspaces = make_workspaces(
        make_workspace("a", "key-a"), make_workspace("b", "key-b")
    )
    assert workspaces.authenticate("key-b").unwrap().name == "b"
    assert workspaces.authenticate("key-c").failure().status == 401
    assert workspaces.authenticate(None).failure().status == 401


def test_a_replaced_key_stops_to_work_and_the_new_one_works():
    workspaces = make_workspaces(make_workspace("a", "old"), make_workspace("b", "b"))
    changed = make_workspace("a", "new")
    workspaces.config_changed(
        Config(2, workspaces={"a": changed, "b": make_workspace("b", "b")})
    )
    assert workspaces.authenticate("old").failure().type == "unauthenticated"
    assert workspaces.authenticate("new").unwrap().name == "a"
    assert workspaces.authenticate("b").unwrap().name == "b"


def test_a_key_that_moves_to_another_workspace_follows():
    workspaces = make_workspaces(make_workspace("a", "shared"))
    workspaces.config_changed(
        Config(2, workspaces={"b": make_workspace("b", "shared")})
    )
    assert workspaces.authenticate("shared").unwrap().name == "b"


def test_operators_by_key():
    operators = Operators([{"name": "aline", "key_digest": digest("k")}])
    assert operators.authenticate("k").unwrap() == "aline"
    assert operators.authenticate("x").failure().status == 401

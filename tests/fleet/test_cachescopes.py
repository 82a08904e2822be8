"""Scopes of cached prompts: none outlives the rule that it was made under."""

from hypothesis import given, strategies as st

from tests.fleet.builders import make_deployment, make_workspace
from vanillabeam import wire
from vanillabeam.fleet.cachescopes import (
    MAX_SHARERS,
    apply_sharing,
    is_ended_scope,
    make_scopes,
    make_sharing,
)
from vanillabeam.fleet.directory import Directory
from vanillabeam.fleet.loads import make_load
from vanillabeam.fleet.machine import FleetMachine, make_deploy
from vanillabeam.fleet.watch import make_reply

NAMES = ("brewer", "depot", "kiosk", "*1", "a/b")


def deployment_of(isolated):
    """Return a deployment.

    :param isolated: by the name of each workspace, whether it is isolated.
    """
    workspaces = tuple(
        make_workspace(name=name, keys=(name,), isolated=flag)
        for name, flag in isolated.items()
    )
    return make_deployment(workspaces=workspaces)


class Fleet:
    """A machine that takes deployments, and who has put parts into each scope."""

    def __init__(self):
        self.machine = FleetMachine()
        self.makers = {}
        self.deployment = None

    def deploy(self, isolated, *, knows_scopes=True, is_skipped=False):
        """Put a deployment in force; use its scopes unless no VM ever has it."""
        self.deployment = deployment_of(isolated)
        sharing = make_sharing(self.deployment) if knows_scopes else None
        index = self.machine.state["index"] + 1
        command = make_deploy(index, "{}", sharing)
        self.machine.apply(index, wire.encode(command).decode())
        return [] if is_skipped else self.use()

    def use(self):
        """Have each workspace make and use parts; return the pairs that may not be."""
        scopes = self.scopes()
        flags = {each.name: each.isolated for each in self.deployment.workspaces}
        for each in self.deployment.workspaces:
            self.makers.setdefault(scopes.of(each), set()).add(each.name)
        return [
            (each.name, maker)
            for each in self.deployment.workspaces
            for maker in self.makers[scopes.of(each)]
            if maker != each.name and (each.isolated or flags.get(maker))
        ]

    def scopes(self):
        return make_scopes(self.machine.state, self.deployment)

    def scope_of(self, name):
        (workspace,) = (w for w in self.deployment.workspaces if w.name == name)
        return self.scopes().of(workspace)


# Guards against parts of a workspace that others go on using once it is isolated.
def test_the_others_share_a_new_scope_once_a_workspace_is_isolated():
    fleet = Fleet()
    fleet.deploy({"brewer": False, "depot": False})
    before = fleet.scopes()
    assert fleet.deploy({"brewer": True, "depot": False}) == []
    assert fleet.scope_of("depot") != before.shared
    assert is_ended_scope(f"{before.shared}/m/1", fleet.scopes())
    assert not is_ended_scope(f"{fleet.scope_of('depot')}/m/1", fleet.scopes())
    assert not is_ended_scope("brewer/m/1", fleet.scopes())


DEPLOYMENTS = st.lists(
    st.tuples(
        st.dictionaries(st.sampled_from(NAMES), st.booleans(), min_size=1),
        st.booleans(),
    ),
    min_size=1,
    max_size=8,
)


# Guards against a scope that comes back: skipped versions, workspaces that are shared,
# isolated and shared again, removed and added again.
@given(DEPLOYMENTS)
def test_no_workspace_uses_what_it_may_not_whatever_the_versions(deployments):
    fleet = Fleet()
    for isolated, is_skipped in deployments:
        assert fleet.deploy(isolated, is_skipped=is_skipped) == []


# Guards against a fleet that is rolled back to a release without scopes and forward.
@given(DEPLOYMENTS, st.lists(st.booleans(), min_size=8, max_size=8))
def test_no_workspace_does_when_some_versions_come_from_the_release_before(
    deployments, known
):
    fleet = Fleet()
    for (isolated, _), knows_scopes in zip(deployments, known, strict=False):
        assert fleet.deploy(isolated, knows_scopes=knows_scopes) == []


def test_a_version_that_isolates_nobody_keeps_all_scopes():
    fleet = Fleet()
    fleet.deploy({"brewer": True, "depot": False, "kiosk": False})
    before = {name: fleet.scope_of(name) for name in ("brewer", "depot", "kiosk")}
    fleet.deploy({"brewer": True, "depot": False, "kiosk": False, "a/b": True})
    assert {name: fleet.scope_of(name) for name in before} == before
    fleet.deploy({"brewer": False, "depot": False})
    assert fleet.scope_of("depot") == before["depot"]


def test_an_isolated_workspace_keeps_its_scope_when_another_one_is_isolated():
    fleet = Fleet()
    fleet.deploy({"brewer": True, "depot": False, "kiosk": False})
    fleet.deploy({"brewer": True, "depot": True, "kiosk": False})
    assert fleet.scope_of("brewer") == "brewer"


# Guards against a request that was admitted before its workspace became isolated, or
# whose workspace was removed since, and that goes on at another target.
def test_a_request_shares_nothing_if_its_workspace_was_or_is_isolated():
    fleet = Fleet()
    fleet.deploy({"brewer": True})
    admitted = make_workspace(name="brewer", isolated=False)
    assert fleet.scopes().of(admitted) == "brewer"
    fleet.deploy({"depot": False})
    assert fleet.scopes().of(make_workspace(name="brewer", isolated=True)) == "brewer"


def test_names_of_workspaces_are_no_other_scope():
    fleet = Fleet()
    fleet.deploy(dict.fromkeys(NAMES, True) | {"kiosk": False})
    scopes = [fleet.scope_of(name) for name in NAMES]
    assert len(set(scopes)) == len(NAMES)
    assert not any("/" in scope for scope in scopes)


def test_the_workspaces_that_are_remembered_are_bounded():
    names = [f"w-{number}" for number in range(MAX_SHARERS)]
    state = {"cache_scope": "1", "sharers": names}
    fields = apply_sharing(state, {"isolated": [], "shared": ["new"]}, 9)
    assert fields == {"cache_scope": "9", "sharers": ["new"]}


def test_the_scope_survives_in_a_snapshot_and_only_its_name_is_sent():
    fleet, restored = Fleet(), FleetMachine()
    fleet.deploy({"brewer": False})
    restored.restore(fleet.machine.snapshot())
    assert restored.state == fleet.machine.state
    request = {"version": 0, "epoch": "", "index": 0}
    reply = make_reply(
        request, "e", Directory(), restored.state, [], [], make_load(), 1.0
    )
    assert reply["state"]["cache_scope"] == "1"
    assert "sharers" not in reply["state"]

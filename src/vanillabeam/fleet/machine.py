"""The fleet log's state machine: deployments, evacuations, weight versions.

A deployment or weight version is numbered: a copy of one changes nothing, wherever it
stands in the log. An evacuation or its end holds until the next order about the same
data centre, so a copy must not come after that one: :func:`order_subject` names what
such orders are about, and the log's leader refuses those that others have overtaken.
"""

import base64
import zlib
from collections.abc import Callable
from typing import Literal, NotRequired, TypedDict

import msgspec

from vanillabeam.canary.records import RolloutChange, Rollouts
from vanillabeam.canary.state import apply_rollout
from vanillabeam.exceptions import InvariantBroken
from vanillabeam.fleet.cachescopes import Sharing, apply_sharing
from vanillabeam.fleet.departures import Departures, apply_departures, make_departures
from vanillabeam.fleet.quarantine import (
    Quarantine,
    QuarantineChange,
    QuarantinedPart,
    apply_change,
)
from vanillabeam.fleet.storeepochs import EpochChange, StoreEpochs, apply_epochs

__all__ = [
    "Command",
    "FleetMachine",
    "FleetState",
    "departures",
    "fence_offset",
    "make_departure_change",
    "make_deploy",
    "make_epoch_change",
    "make_fence_raise",
    "make_quarantine_change",
    "make_rollout_command",
    "order_subject",
    "store_epochs",
]

#: Characters from which a document is packed in its command. Replicas send a command
#: whole, and each text inside another doubles the quotes of the inner one. Shorter
#: ones are stored so that replicas of the first release can read them.
PACKED_LENGTH = 2 * 1024 * 1024
PACKING_LEVEL = 1
#: Fields of the state that watchers don't need.
_UNWATCHED = frozenset({"departures", "store_epochs"})


class Command(TypedDict):
    """One entry of the fleet log.

    :param kind: ``deploy`` puts a document in force if its number is the
        highest so far; ``evacuate`` and ``restore`` take a data centre out of
        service and back; ``weights`` names a model's newest version.
    :param number: number of the deployment, or weight version.
    :param document: deployment document as the operator sent it.
    :param packed: the document compressed, in base64, in place of ``document``.
    :param sharing: the workspaces of the deployment, by whether they are isolated;
        absent from releases without scopes of cached prompts.
    :param quarantine: change of a quarantined part, in a ``restore`` of no data centre,
        which releases that know no quarantine apply without effect.
    :param fence_offset: least offset of fencing numbers from now on, sent likewise.
    :param departures: starts of targets that have ended or drain, sent likewise.
    :param rollout: change of a service's rollout to another software version, sent
        likewise.
    :param store_epochs: changes of the stores' recorded epochs, sent likewise.
    """

    kind: Literal["deploy", "evacuate", "restore", "weights"]
    number: NotRequired[int]
    document: NotRequired[str]
    packed: NotRequired[str]
    sharing: NotRequired[Sharing]
    data_centre: NotRequired[str]
    model: NotRequired[str]
    quarantine: NotRequired[QuarantineChange]
    fence_offset: NotRequired[int]
    departures: NotRequired[Departures]
    rollout: NotRequired[RolloutChange]
    store_epochs: NotRequired[list[EpochChange]]


class FleetState(TypedDict):
    """State after applying the log up to one index.

    :param index: index of the last applied entry.
    :param number: number of the deployment in force; 0 before the first.
    :param document: deployment document in force.
    :param evacuated: data centres that get no new work.
    :param weights: newest version named for each model.
    :param quarantine: parts of prompts that are kept from targets.
    :param fence_offset: number that the log's term is added to for the fencing number
        of orders; it never decreases. Absent for 0.
    :param departures: starts of targets that have ended or drain; absent for none.
    :param cache_scope: name of the scope that workspaces share cached prompts in.
    :param sharers: workspaces that may have put something into it.
    :param rollouts: newest rollout of each service to another software version,
        running or ended; absent for none.
    :param store_epochs: epoch of each store in which parts may be saved; absent for
        none.
    """

    index: int
    number: int
    document: str
    evacuated: list[str]
    weights: dict[str, int]
    quarantine: NotRequired[Quarantine]
    fence_offset: NotRequired[int]
    departures: NotRequired[Departures]
    cache_scope: NotRequired[str]
    sharers: NotRequired[list[str]]
    rollouts: NotRequired[Rollouts]
    store_epochs: NotRequired[StoreEpochs]


def make_deploy(number: int, document: str, sharing: Sharing | None = None) -> Command:
    """Return the command that puts a document in force; a long one is packed.

    :param sharing: its workspaces, by whether they are isolated.
    """
    command = Command(kind="deploy", number=number)
    if len(document) < PACKED_LENGTH:
        command["document"] = document
    else:
        packed = base64.b64encode(zlib.compress(document.encode(), PACKING_LEVEL))
        command["packed"] = packed.decode()
    if sharing is not None:
        command["sharing"] = sharing
    return command


def make_quarantine_change(
    part: str, basis: int | None, record: QuarantinedPart | None
) -> Command:
    """Return the command that replaces a part's record, or ends its quarantine.

    :param basis: number of the record that is replaced; ``None`` replaces any.
    """
    change = QuarantineChange(part=part, basis=basis, record=record)
    return Command(kind="restore", data_centre="", quarantine=change)


def make_fence_raise(offset: int) -> Command:
    """Return the command that raises the offset of fencing numbers."""
    return Command(kind="restore", data_centre="", fence_offset=offset)


def make_departure_change(change: Departures) -> Command:
    """Return the command that adds departures of targets."""
    return Command(kind="restore", data_centre="", departures=change)


def make_rollout_command(change: RolloutChange) -> Command:
    """Return the command that replaces a service's rollout record."""
    return Command(kind="restore", data_centre="", rollout=change)


def make_epoch_change(changes: list[EpochChange]) -> Command:
    """Return the command that records epochs of stores."""
    return Command(kind="restore", data_centre="", store_epochs=changes)


class _RolloutRecord(TypedDict):
    service: str


class _RolloutOrder(TypedDict):
    record: _RolloutRecord


class _Order(TypedDict):
    kind: str
    data_centre: NotRequired[str]
    rollout: NotRequired[_RolloutOrder]


def order_subject(command: str) -> str:
    """Return the data centre that an order is about, empty for other commands.

    Orders about one data centre undo each other, so their order matters. So do orders
    of rollouts of one service, whose changes are about that service.
    """
    try:
        order = msgspec.json.decode(command, type=_Order)
    except msgspec.MsgspecError:
        return ""
    if "rollout" in order:
        return f"rollout {order['rollout']['record']['service']}"
    is_order = order["kind"] in ("evacuate", "restore")
    return order.get("data_centre", "") if is_order else ""


def _read_document(command: Command) -> str:
    if "packed" not in command:
        return command["document"]
    return zlib.decompress(base64.b64decode(command["packed"])).decode()


class FleetMachine:
    """Replicated state, built from the same log on every control VM.

    :param on_change: called after each applied command or restored snapshot.
    :ivar news_index: index of the last command that changed more than departures,
        of which watchers hear by their lists of targets, and epochs of stores.

    >>> machine = FleetMachine()
    >>> machine.apply(1, '{"kind":"weights","model":"m","number":2}')
    'done'
    >>> machine.state["weights"]
    {'m': 2}
    """

    def __init__(self, on_change: Callable[[], None] | None = None):
        self.on_change = on_change
        self.news_index = 0
        self.state = FleetState(
            index=0, number=0, document="", evacuated=[], weights={}
        )

    def apply(self, index: int, command: str) -> str:
        """Apply the command at ``index``.

        :raises InvariantBroken: if ``index`` is not above the last one, or
            this release does not know the command.
        """
        if index <= self.state["index"]:
            raise InvariantBroken(f"index {index} after {self.state['index']}")
        try:
            decoded = msgspec.json.decode(command, type=Command)
            changes = _changes(decoded, self.state, index)
        except (msgspec.MsgspecError, ValueError, KeyError, zlib.error) as exc:
            raise InvariantBroken(f"no command of this release: {exc!r}") from exc
        self.state = _replace(self.state, changes) | {"index": index}
        if not changes or changes.keys() - _UNWATCHED:
            self.news_index = index
        self._notify()
        return "done"

    def snapshot(self) -> bytes:
        """Return the whole state as bytes, the same on every control VM."""
        return msgspec.json.encode(self.state, order="sorted")

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by that of ``snapshot``.

        :raises InvariantBroken: if the snapshot is older than the state.
        """
        state = msgspec.json.decode(snapshot, type=FleetState)
        if state["index"] < self.state["index"]:
            raise InvariantBroken(
                f"snapshot of {state['index']} after {self.state['index']}"
            )
        self.state = state
        self.news_index = state["index"]
        self._notify()

    def _notify(self) -> None:
        if self.on_change is not None:
            self.on_change()


def fence_offset(state: FleetState) -> int:
    """Return the offset of fencing numbers."""
    return state.get("fence_offset", 0)


def departures(state: FleetState) -> Departures:
    """Return the starts of targets that have ended or drain."""
    return state.get("departures") or make_departures()


def store_epochs(state: FleetState) -> dict[str, int]:
    """Return the recorded epoch of each store, by its address."""
    return dict(state.get("store_epochs", ()))


def _replace(state: FleetState, changes: dict) -> FleetState:
    """Return the state with changed fields, without those that are ``None``."""
    merged = state | changes
    return FleetState(**{k: v for k, v in merged.items() if v is not None})


def _changes(command: Command, state: FleetState, index: int) -> dict:
    """Return the fields that ``command`` changes."""
    if "quarantine" in command:
        known = state.get("quarantine", {})
        return {"quarantine": apply_change(known, command["quarantine"], index)}
    if "fence_offset" in command:
        return {"fence_offset": max(command["fence_offset"], fence_offset(state))}
    if "departures" in command:
        change = apply_departures(departures(state), command["departures"])
        return {"departures": change}
    if "store_epochs" in command:
        known = state.get("store_epochs", [])
        return {"store_epochs": apply_epochs(known, command["store_epochs"])}
    if "rollout" in command:
        known = state.get("rollouts", {})
        return {"rollouts": apply_rollout(known, command["rollout"], index)}
    match command["kind"]:
        case "deploy" if not state["document"] or command["number"] > state["number"]:
            scope = apply_sharing(state, command.get("sharing"), index)
            fields = {"cache_scope": None, "sharers": None} | scope
            document = _read_document(command)
            return {"number": command["number"], "document": document} | fields
        case "evacuate":
            evacuated = {*state["evacuated"], command["data_centre"]}
            return {"evacuated": sorted(evacuated)}
        case "restore":
            evacuated = {*state["evacuated"]} - {command["data_centre"]}
            return {"evacuated": sorted(evacuated)}
        case "weights":
            current = state["weights"].get(command["model"], 0)
            newest = max(current, command["number"])
            return {"weights": state["weights"] | {command["model"]: newest}}
    return {}

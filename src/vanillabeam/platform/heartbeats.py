"""What workers say of themselves, as targets."""

from typing import Literal, NotRequired, TypedDict

import msgspec
from returns.result import Failure, Result, Success

from vanillabeam.addresses import is_address
from vanillabeam.exceptions import MalformedBody
from vanillabeam.fleet import Target

__all__ = ["read_born", "read_heartbeat", "read_versions"]


class Model(TypedDict):
    """A model that a worker holds.

    :param version: of its weights.
    """

    name: str
    version: int


class _Heartbeat(TypedDict):
    service: str
    address: str
    zone: str
    #: Of the worker's software, not of its weights.
    version: str
    slots: int
    state: Literal["ready", "draining"]
    cold_left_ms: float
    seq: int
    born: int
    models: NotRequired[list[Model]]


class _Leave(TypedDict):
    born: int


def read_heartbeat(worker: str, body: bytes) -> Result[Target, MalformedBody]:
    """Return the target that a heartbeat describes.

    :param worker: the id in the call's path.
    """
    try:
        said = msgspec.json.decode(body, type=_Heartbeat)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return Failure(MalformedBody(str(exc)))
    if not worker or not is_address(said["address"]) or said["seq"] < 0:
        return Failure(MalformedBody("no id, address or sequence"))
    return Success(
        Target(
            name=worker,
            born_ms=said["born"],
            sequence=said["seq"],
            service=said["service"],
            address=said["address"],
            data_centre=said["zone"],
            slots=said["slots"],
            draining=said["state"] == "draining",
            cold_ms=said["cold_left_ms"],
            versions=read_versions(said.get("models", [])),
        )
    )


def read_versions(models: list[Model]) -> dict[str, int]:
    """Return the weight version of each model."""
    return {model["name"]: model["version"] for model in models}


def read_born(body: bytes) -> int | None:
    """Return which start of a worker sent ``body``, if it says so."""
    try:
        return msgspec.json.decode(body, type=_Leave)["born"]
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None

"""Heartbeats of the platform's workers, parsed into targets."""

from typing import Literal, NotRequired, TypedDict

from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.addresses import is_address
from vanillabeam.exceptions import MalformedBody
from vanillabeam.fleet import Target
from vanillabeam.fleet.deployments import MAX_NUMBER

__all__ = ["read_heartbeat", "read_leave", "read_versions"]


class Model(TypedDict):
    """A model that a worker has loaded.

    :param version: version of the model's weights.
    """

    name: str
    version: int


class _Heartbeat(TypedDict):
    service: str
    address: str
    zone: str
    #: Version of the worker's software, not of its weights.
    version: str
    slots: int
    state: Literal["ready", "draining"]
    cold_left_ms: float
    seq: int
    born: int
    models: NotRequired[list[Model]]


class _Leave(TypedDict):
    born: NotRequired[int]


def read_heartbeat(worker: str, body: bytes) -> Result[Target, MalformedBody]:
    """Return the target that a heartbeat describes.

    :param worker: id of the worker, from the path of the call.
    :param body: the heartbeat, as JSON.
    """
    decoded = wire.decode(_Heartbeat, body)
    if isinstance(decoded, Failure):
        return decoded
    heartbeat = decoded.unwrap()
    if not worker or not is_address(heartbeat["address"]):
        return Failure(MalformedBody("no id or address"))
    if min(heartbeat["slots"], heartbeat["seq"]) < 0:
        return Failure(MalformedBody("a number is below 0"))
    models = heartbeat.get("models", [])
    numbers = [heartbeat[name] for name in ("slots", "cold_left_ms", "seq", "born")]
    numbers += [model["version"] for model in models]
    if max(abs(number) for number in numbers) > MAX_NUMBER:
        return Failure(MalformedBody("a number is out of range"))
    return Success(
        Target(
            name=worker,
            born_ms=heartbeat["born"],
            sequence=heartbeat["seq"],
            service=heartbeat["service"],
            address=heartbeat["address"],
            data_centre=heartbeat["zone"],
            slots=heartbeat["slots"],
            draining=heartbeat["state"] == "draining",
            cold_ms=heartbeat["cold_left_ms"],
            versions=read_versions(models),
            software=heartbeat["version"],
        )
    )


def read_versions(models: list[Model]) -> dict[str, int]:
    """Return the weight version of each model."""
    return {model["name"]: model["version"] for model in models}


def read_leave(body: bytes) -> Result[int | None, MalformedBody]:
    """Return the start time of the worker that sent a leave call.

    :param body: body of the call, as JSON.
    :returns: Unix milliseconds, or ``None`` if the call has none. A body that can't be
        read is another writer's: it ends no worker.
    """
    if not body:
        return Success(None)
    leave = wire.decode(_Leave, body)
    if isinstance(leave, Failure):
        return leave
    born_ms = leave.unwrap().get("born")
    if born_ms is not None and abs(born_ms) > MAX_NUMBER:
        return Failure(MalformedBody("a number is out of range"))
    return Success(born_ms)

"""What a target should hold and do, by the configuration."""

from typing import NamedTuple

from vanillabeam.config import Config, TargetRole, TargetRoleKind
from vanillabeam.targetwire import Announcement

__all__ = [
    "DesiredState",
    "counts_as_ready",
    "matches_announcement",
    "models_taken_out",
    "stores_to_load_from",
    "desired_state",
]


class DesiredState(NamedTuple):
    """The state that an order carries.

    :param exact: whether anything else that is loaded has to go.
    """

    role: str
    models: dict[str, dict[str, str]]
    adapters: dict[str, dict[str, str]]
    exact: bool


def desired_state(config: Config, announcement: Announcement) -> DesiredState:
    """Return what the target of ``announcement`` should be.

    A role that names no models leaves the target those that it announces, in
    the versions of the configuration.
    """
    role = config.target_roles.get(
        announcement["target"], TargetRole(announcement["target"])
    )
    models = role.models or tuple(announcement["models"])
    adapters = role.adapters or tuple(announcement.get("adapters", {}))
    return DesiredState(
        role=str(role.kind),
        models={
            name: _weights(config.models[name])
            for name in models
            if name in config.models
        },
        adapters={
            name: _weights(config.adapters[name])
            for name in adapters
            if name in config.adapters
        },
        exact=bool(role.models),
    )


def _weights(record) -> dict[str, str]:
    return {"version": record.version, "weights": record.weights}


def matches_announcement(desired: DesiredState, announcement: Announcement) -> bool:
    """Return whether the announced models and adapters are the desired ones.

    The role isn't announced; who ordered it knows it.
    """
    if desired.exact and set(announcement["models"]) - set(desired.models):
        return False
    return not _weights_to_load(desired, announcement)


def _weights_to_load(
    desired: DesiredState, announcement: Announcement
) -> list[dict[str, str]]:
    loaded = {**announcement["models"], **announcement.get("adapters", {})}
    wanted = {**desired.models, **desired.adapters}
    return [
        weights
        for name, weights in wanted.items()
        if loaded.get(name) != weights["version"]
    ]


def stores_to_load_from(
    desired: DesiredState, announcement: Announcement
) -> tuple[str, ...]:
    """Return the weight stores that the target has to load from.

    A weight store is what stands in a location before the path: scheme and
    host, or all of it if there is no path.
    """
    stores = {
        _store_of(weights["weights"])
        for weights in _weights_to_load(desired, announcement)
    }
    return tuple(sorted(stores))


def _store_of(weights: str) -> str:
    scheme, separator, rest = weights.rpartition("://")
    return scheme + separator + rest.partition("/")[0]


def models_taken_out(
    desired: DesiredState, announcement: Announcement
) -> tuple[str, ...]:
    """Return the models that the target stops serving for the order's time."""
    swapped = any(
        name not in desired.models or desired.models[name]["version"] != version
        for name, version in announcement["models"].items()
        if desired.exact or name in desired.models
    )
    leaves = desired.role != TargetRoleKind.SERVING
    return tuple(sorted(announcement["models"])) if swapped or leaves else ()


def counts_as_ready(config: Config, announcement: Announcement, model: str) -> bool:
    """Return whether the target, if it serves, counts towards ``min_ready``."""
    in_service = config.in_service(announcement["data_centre"])
    return (
        model in announcement["models"]
        and in_service
        and not announcement.get("leaving", False)
    )

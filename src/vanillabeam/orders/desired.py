"""Desired state of a target by the configuration, compared with its announcement."""

from typing import NamedTuple

from vanillabeam.config import Config, TargetRole, TargetRoleKind
from vanillabeam.targetwire import Announcement

__all__ = [
    "DesiredState",
    "counts_as_ready",
    "is_met_by",
    "models_taken_out",
    "stores_to_load_from",
    "desired_state",
]


class DesiredState(NamedTuple):
    """State that an order asks a target to reach.

    :param role: a value of :class:`TargetRoleKind`.
    :param models: ``version`` and ``weights`` of each model, by name.
    :param adapters: ``version`` and ``weights`` of each adapter, by name.
    :param exact: whether the target must unload all other models.
    """

    role: str
    models: dict[str, dict[str, str]]
    adapters: dict[str, dict[str, str]]
    exact: bool


def desired_state(config: Config, announcement: Announcement) -> DesiredState:
    """Return the state that ``config`` asks of the target of ``announcement``.

    If the target's role names no models, the target keeps those that it
    announces, in the versions of the configuration; likewise for adapters.
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


def is_met_by(desired: DesiredState, announcement: Announcement) -> bool:
    """Return whether the announced models and adapters are the desired ones.

    The role is not compared: targets do not announce it.
    """
    if desired.exact and set(announcement["models"]) - set(desired.models):
        return False
    return not _weights_to_load(desired, announcement)


def _weights_to_load(
    desired: DesiredState, announcement: Announcement
) -> list[dict[str, str]]:
    loaded = {**announcement["models"], **announcement.get("adapters", {})}
    desired_weights = {**desired.models, **desired.adapters}
    return [
        weights
        for name, weights in desired_weights.items()
        if loaded.get(name) != weights["version"]
    ]


def stores_to_load_from(
    desired: DesiredState, announcement: Announcement
) -> tuple[str, ...]:
    """Return the weight stores from which the target has to load, sorted.

    A weight store is the part of a weights location before the path: scheme and
    host, or the whole location if it has no path.
    """
    stores = {
        _weight_store(weights["weights"])
        for weights in _weights_to_load(desired, announcement)
    }
    return tuple(sorted(stores))


def _weight_store(weights: str) -> str:
    scheme, separator, rest = weights.rpartition("://")
    return scheme + separator + rest.partition("/")[0]


def models_taken_out(
    desired: DesiredState, announcement: Announcement
) -> tuple[str, ...]:
    """Return the models that the target does not serve while it obeys the order."""
    changes_models = any(
        name not in desired.models or desired.models[name]["version"] != version
        for name, version in announcement["models"].items()
        if desired.exact or name in desired.models
    )
    leaves_service = desired.role != TargetRoleKind.SERVING
    return (
        tuple(sorted(announcement["models"]))
        if changes_models or leaves_service
        else ()
    )


def counts_as_ready(config: Config, announcement: Announcement, model: str) -> bool:
    """Return whether a target in role serving counts towards ``min_ready``.

    :param model: the model whose ready targets are counted.
    """
    in_service = config.in_service(announcement["data_centre"])
    return (
        model in announcement["models"]
        and in_service
        and not announcement.get("leaving", False)
    )

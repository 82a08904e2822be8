"""Failures of operators' calls about rollouts."""

from http import HTTPStatus

from vanillabeam.exceptions import Run, VanillabeamError

__all__ = [
    "DurationInvalid",
    "NoRollout",
    "RolloutRunning",
    "RolloutUnconfirmed",
    "RolloutsDisabled",
    "VersionMissing",
]


class DurationInvalid(VanillabeamError):
    """The duration of a rollout is no positive number, or exceeds one day."""

    type = "duration-invalid"
    status = HTTPStatus.BAD_REQUEST
    run = Run.NOT_RUN
    advice = "Name a duration in seconds above 0, and 86400 at most."


class VersionMissing(VanillabeamError):
    """An order of a rollout names no software version."""

    type = "version-missing"
    status = HTTPStatus.BAD_REQUEST
    run = Run.NOT_RUN
    advice = "Name the software version that the traffic moves to."


class RolloutRunning(VanillabeamError):
    """Another rollout of the service is running."""

    type = "rollout-running"
    status = HTTPStatus.CONFLICT
    run = Run.NOT_RUN
    advice = "Wait until it has ended; vanillabeam rollout state shows it."


class NoRollout(VanillabeamError):
    """The service has had no rollout."""

    type = "no-rollout"
    status = HTTPStatus.NOT_FOUND
    run = Run.NOT_RUN
    advice = "Start one with vanillabeam rollout start."


class RolloutsDisabled(VanillabeamError):
    """The settings of the fleet have no bounds for rollouts."""

    type = "rollouts-disabled"
    status = HTTPStatus.NOT_FOUND
    run = Run.NOT_RUN
    advice = "Set the bounds expose_share, expose_slack and rollback_ms."


class RolloutUnconfirmed(VanillabeamError):
    """Whether the order took effect is open, as the fleet log gave no answer."""

    type = "rollout-unconfirmed"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    run = Run.UNKNOWN
    advice = "Send the same order again; it is not taken twice."
    retry_after_s = 0.5

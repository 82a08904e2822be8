"""The failures of membership."""

from http import HTTPStatus

from vanillabeam.exceptions import Run, VanillabeamError

__all__ = ["PeerSilent"]


class PeerSilent(VanillabeamError):
    """A VM did not answer a heartbeat in time."""

    type = "peer-silent"
    status = HTTPStatus.GATEWAY_TIMEOUT
    run = Run.NOT_RUN
    advice = "See vanillabeam status for the VMs that are alive."
    retry_after_s = 1.0

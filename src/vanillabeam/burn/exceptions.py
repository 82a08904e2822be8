"""Failures of the service-level burn report."""

from http import HTTPStatus

from vanillabeam.exceptions import Run, VanillabeamError

__all__ = ["SummaryInvalid"]


class SummaryInvalid(VanillabeamError):
    """A VM's summary can't be merged with the others."""

    type = "burn-summary-invalid"
    status = HTTPStatus.BAD_GATEWAY
    run = Run.NOT_RUN
    advice = "Ask again once all VMs run the same release and objectives."

"""Failures of config dissemination."""

from http import HTTPStatus

from vanillabeam.exceptions import Run, VanillabeamError

__all__ = ["CopyBehind", "StoreDamaged"]


class CopyBehind(VanillabeamError):
    """The VM that was asked has no whole copy, or an older one."""

    type = "copy-behind"
    status = HTTPStatus.CONFLICT
    run = Run.NOT_RUN
    advice = "Ask another VM of the data centre."
    retry_after_s = 1.0


class StoreDamaged(VanillabeamError):
    """The copy on disk is damaged before its tail."""

    type = "store-damaged"
    advice = "Remove the spread folder of this VM; it asks the others."

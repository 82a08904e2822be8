"""Failures that stores return to their clients."""

from http import HTTPStatus

from vanillabeam.exceptions import Run, VanillabeamError

__all__ = [
    "BlockBusy",
    "BlockDamaged",
    "BlockUnknown",
    "ChecksumMismatch",
    "HeaderInvalid",
    "NotWorthKeeping",
    "QuotaExceeded",
    "StoreBusy",
    "StoreFull",
    "UploadSilent",
    "WorkspaceNotInForce",
]


class BlockUnknown(VanillabeamError):
    """The store has no sealed block of this id."""

    type = "block-unknown"
    status = HTTPStatus.NOT_FOUND
    run = Run.NOT_RUN
    advice = "Compute the prefix again."


class BlockBusy(VanillabeamError):
    """Another upload of the same block is under way."""

    type = "block-busy"
    status = HTTPStatus.CONFLICT
    run = Run.NOT_RUN
    advice = "Leave it: the other upload brings the block."
    retry_after_s = 5.0


class BlockDamaged(VanillabeamError):
    """The bytes on disk are not those that were sealed."""

    type = "block-damaged"
    status = HTTPStatus.GONE
    run = Run.NOT_RUN
    advice = "Compute the prefix again; look at the store's disk if it repeats."


class ChecksumMismatch(VanillabeamError):
    """The uploaded bytes do not have the stated length or checksum."""

    type = "checksum-mismatch"
    status = HTTPStatus.UNPROCESSABLE_ENTITY
    run = Run.NOT_RUN
    advice = "Upload the block again."


class HeaderInvalid(VanillabeamError):
    """The id or a header of a block request does not hold."""

    type = "header-invalid"
    status = HTTPStatus.BAD_REQUEST
    run = Run.NOT_RUN
    advice = "Correct what the detail names."


class NotWorthKeeping(VanillabeamError):
    """What the store holds is worth more than this block."""

    type = "not-worth-keeping"
    status = HTTPStatus.INSUFFICIENT_STORAGE
    run = Run.NOT_RUN
    advice = "Leave it; add store capacity if this is frequent."


class QuotaExceeded(VanillabeamError):
    """The workspace's quota leaves no room for the block."""

    type = "quota-exceeded"
    status = HTTPStatus.INSUFFICIENT_STORAGE
    run = Run.NOT_RUN
    advice = "Raise the workspace's quota_bytes by a ticket."


class StoreBusy(VanillabeamError):
    """The store has as many transfers under way as it takes."""

    type = "store-busy"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    run = Run.NOT_RUN
    advice = "Try again after the time in Retry-After."
    retry_after_s = 1.0


class StoreFull(VanillabeamError):
    """Neither memory nor disk has room that could be freed now."""

    type = "store-full"
    status = HTTPStatus.INSUFFICIENT_STORAGE
    run = Run.NOT_RUN
    advice = "Try again later; see the operators' page on full stores."
    retry_after_s = 10.0


class UploadSilent(VanillabeamError):
    """An upload stopped sending before its end."""

    type = "upload-silent"
    status = HTTPStatus.REQUEST_TIMEOUT
    run = Run.NOT_RUN
    advice = "Upload the block again on a new connection."


class WorkspaceNotInForce(VanillabeamError):
    """No workspace in force has the tag that the block id carries."""

    type = "workspace-not-in-force"
    status = HTTPStatus.FORBIDDEN
    run = Run.NOT_RUN
    advice = "Check that the workspace's ticket is in force at the store."

"""Failures of tickets: typed refusals, and unknown outcomes."""

from http import HTTPStatus

from vanillabeam.exceptions import Run, VanillabeamError

__all__ = [
    "REFUSALS",
    "SnapshotInvalid",
    "TicketExpired",
    "TicketInvalid",
    "TicketNumberTaken",
    "TicketOutcomeUnknown",
    "TicketRefused",
    "TicketStale",
    "TicketUnresolved",
    "UnknownTicket",
]


class TicketRefused(VanillabeamError):
    """Base of the refusals: nothing of the ticket is or will be in force.

    :param faults: one ``path: description`` for each fault.
    """

    type = "ticket-refused"
    status = HTTPStatus.CONFLICT
    run = Run.NOT_RUN
    advice = "Correct the ticket and send it under a new number."

    def __init__(self, detail: str = "", faults: tuple[str, ...] = ()):
        super().__init__(detail or "\n".join(faults))
        self.faults = faults


class TicketInvalid(TicketRefused):
    """The document does not hold by itself; every fault is listed."""

    type = "ticket-invalid"
    status = HTTPStatus.BAD_REQUEST
    advice = "Correct the paths that are named and send the ticket again."


class TicketUnresolved(TicketRefused):
    """The document names something that the configuration does not have."""

    type = "ticket-unresolved"
    advice = "Set what is missing in this ticket or in one before it."


class TicketNumberTaken(TicketRefused):
    """Another ticket was accepted under this number."""

    type = "ticket-number-taken"
    advice = "Look at the holder with ticket show; send under a new number."


class TicketStale(TicketRefused):
    """A higher number was accepted for something that the ticket touches."""

    type = "ticket-stale"
    advice = "Look at the state in force; send under a higher number."


class TicketExpired(TicketRefused):
    """The number lies below those whose answers are still kept."""

    type = "ticket-expired"
    advice = "Send under a number above those accepted so far."


class TicketOutcomeUnknown(VanillabeamError):
    """The ticket was proposed, and whether it was accepted is not known."""

    type = "ticket-outcome-unknown"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = "Send the same ticket again: it is applied once at most."
    retry_after_s = 1.0


class UnknownTicket(VanillabeamError):
    """No ticket of this number is in force on this VM."""

    type = "unknown-ticket"
    status = HTTPStatus.NOT_FOUND
    run = Run.NOT_RUN
    advice = "Ask again later: this VM may be behind."


class SnapshotInvalid(VanillabeamError):
    """A snapshot does not hold the configuration that it claims to."""

    type = "snapshot-invalid"
    advice = "Replace this VM's data folder; it rejoins as a new member."


#: Refusal classes by ``type``, to rebuild a refusal from a reply of the log.
REFUSALS: dict[str, type[TicketRefused]] = {
    kind.type: kind
    for kind in (
        TicketInvalid,
        TicketUnresolved,
        TicketNumberTaken,
        TicketStale,
        TicketExpired,
    )
}

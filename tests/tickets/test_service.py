import trio
from returns.result import Failure, Success

from tests.tickets.builders import Applied, make_body
from vanillabeam.exceptions import NotReady, TargetFailed
from vanillabeam.tickets import (
    Accepted,
    TicketInvalid,
    TicketMachine,
    TicketNumberTaken,
    TicketOutcomeUnknown,
    TicketService,
    TicketSummary,
    UnknownTicket,
)


class OneVmLog:
    """Log that applies proposed commands at once and can lose the answer."""

    def __init__(self, machine: TicketMachine):
        self.machine = machine
        self.index = 0
        self.failure = None
        self.applies = True

    async def propose(self, command):
        await trio.lowlevel.checkpoint()
        reply = ""
        if self.applies:
            self.index += 1
            reply = self.machine.apply(self.index, command)
        if self.failure is not None:
            return Failure(self.failure)
        return Success(Applied(self.index, reply))


def make_ticket_service():
    machine = TicketMachine()
    log = OneVmLog(machine)
    return TicketService(machine, log.propose), log


def run(async_fn):
    return trio.run(async_fn)


def test_accepted_ticket_is_shown_and_in_the_config():
    service, _ = make_ticket_service()
    assert run(lambda: service.apply(make_body(3))) == Success(Accepted(3, 1))
    summary = service.show(3).unwrap()
    assert isinstance(summary, TicketSummary)
    assert (summary.author, summary.index) == ("ama", 1)
    assert service.config().models["m"].version == "1"
    assert isinstance(service.show(4).failure(), UnknownTicket)


def test_lost_answer_is_an_unknown_outcome_and_a_resend_returns_the_index():
    service, log = make_ticket_service()
    log.failure = TargetFailed()
    lost = run(lambda: service.apply(make_body(3)))
    assert isinstance(lost.failure(), TicketOutcomeUnknown)
    log.failure = None
    assert run(lambda: service.apply(make_body(3))) == Success(Accepted(3, 1))
    assert log.index == 1


def test_failure_is_kept_when_the_ticket_was_not_proposed():
    service, log = make_ticket_service()
    log.failure, log.applies = NotReady(), False
    assert isinstance(run(lambda: service.apply(make_body(3))).failure(), NotReady)


def test_refusals_keep_their_type_through_the_log():
    service, log = make_ticket_service()
    assert isinstance(run(lambda: service.apply(b"{}")).failure(), TicketInvalid)
    assert log.index == 0
    run(lambda: service.apply(make_body(3)))
    service._answer_without_log = lambda ticket: None
    taken = run(lambda: service.apply(make_body(3, "kofi"))).failure()
    assert isinstance(taken, TicketNumberTaken)
    assert "ama" in taken.faults[0]


def test_listeners_are_called_before_the_answer():
    service, _ = make_ticket_service()
    steps = []
    service.listen(steps.append)

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(service.apply, make_body(3))
            config = await service.config_after(0)
            assert (config.index, steps[0].index) == (1, 1)

    run(main)

"""Join requests of one VM on virtual time, as the bootstrapper and client send them.

The rules of the client, such as whom it asks next, are the product's own; only its
waits and its network are simulated.
"""

from typing import NamedTuple

import trio

from vanillabeam.log.bootstrap import RETRY_S
from vanillabeam.log.client import RETRY_S as ATTEMPT_RETRY_S, LogClient, _may_retry
from vanillabeam.log.events import JoinRequest
from vanillabeam.log.exceptions import NoLeader, OutcomeUnknown
from vanillabeam.log.records import Address, Member
from vanillabeam.log.requests import GroupRequest, failure_from

__all__ = ["Joiner", "Knock"]

#: Period in seconds at which a joiner looks for an answer.
POLL_S = 0.02
#: Delay in seconds of a join request on its way.
DELAY_S = 0.002


class Knock(NamedTuple):
    """A join request on its way to a VM.

    :param sender: name of the VM that wants to join.
    :param attempt: number of the sender's attempt.
    """

    sender: str
    attempt: int
    member: Member


class Joiner:
    """Asks for membership while its replica has no leader.

    :param vm: the VM that wants to join.
    :param seeds: names of the VMs that its settings list, which may be lost.
    """

    def __init__(self, vm, seeds, settings):
        self.vm = vm
        contacts = [Address(seed, seed) for seed in seeds]
        self.client = LogClient("tickets", contacts, None, settings)
        self.contacts = contacts
        self.attempt = 0
        self.request_ends_s = None
        self.attempt_ends_s = None
        self.answers = None

    def step(self, cluster):
        """Take one step; return the seconds until the next."""
        if self.request_ends_s is None:
            if self.vm.state.leader:
                return self._period_s()
            self.request_ends_s = cluster.now_s + self.client.settings.propose_timeout_s
            known = [Address(peer.vm, peer.vm) for peer in self.vm.state.peers]
            others = [seed for seed in self.contacts if seed.vm != self.vm.name]
            self.client.set_members([*known, *others])
        if self.attempt_ends_s is None:
            return self._ask(cluster)
        return self._await_answer(cluster)

    def _period_s(self):
        state = self.vm.state
        return state.settings.election_s if state.group_id else RETRY_S

    def _ask(self, cluster):
        if cluster.now_s >= self.request_ends_s:
            return self._end_request()
        self.attempt += 1
        self.answers = None
        self.address = self.client._next_address()
        limit_s = self.client._attempt_timeout_s(GroupRequest(kind="knock"))
        self.attempt_ends_s = min(cluster.now_s + limit_s, self.request_ends_s)
        receiver = cluster.vms[self.address]
        if cluster.refuses_calls(receiver):
            return self._fail(NoLeader("connection refused"))
        if cluster.reaches(self.vm.name, self.address):
            name = self.vm.name
            member = Member(self.vm.state.member_id, name, name)
            cluster.schedule(DELAY_S, receiver, Knock(name, self.attempt, member))
        return POLL_S

    def _await_answer(self, cluster):
        outcome = None
        if self.answers is not None and cluster.reaches(self.address, self.vm.name):
            try:
                outcome = self.answers.receive_nowait()
            except (trio.WouldBlock, trio.EndOfChannel):
                outcome = None
        if outcome is not None:
            failure = failure_from(outcome)
            if failure is not None:
                return self._fail(failure)
            self.client.leader = self.address
            return self._end_request()
        if cluster.now_s < self.attempt_ends_s:
            return POLL_S
        return self._fail(OutcomeUnknown(self.address))

    def _fail(self, failure):
        self.attempt_ends_s = None
        if not _may_retry(failure, GroupRequest(kind="knock")):
            return self._end_request()
        self.client._update_leader(failure, self.address)
        return ATTEMPT_RETRY_S

    def _end_request(self):
        self.request_ends_s = self.attempt_ends_s = None
        return self._period_s()


def deliver(knock, receiver, cluster):
    """Hand a join request to a VM, whose answer the sender then waits for."""
    request_id, answers = receiver.waiters.add()
    joiner = cluster.joiners[knock.sender]
    if joiner.attempt == knock.attempt:
        joiner.answers = answers
    cluster.handle_events(receiver, [JoinRequest(request_id, knock.member)])

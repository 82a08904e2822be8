"""Client of a group: finds the leader and never proposes a command twice."""

from collections.abc import Sequence

import trio
from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.exceptions import Run, VanillabeamError
from vanillabeam.log.exceptions import (
    ChangePending,
    LeaderChanged,
    LogError,
    NoLeader,
    NotLeader,
    OutcomeUnknown,
    ProposalLost,
    ReplicaStopped,
    StorageFailed,
)
from vanillabeam.log.records import DEFAULT_SETTINGS, Address, Applied, LogSettings
from vanillabeam.log.requests import (
    GroupRequest,
    Outcome,
    failure_from,
    request_path,
)
from vanillabeam.peercall import PeerCall

__all__ = ["LogClient"]

RETRY_S = 0.1
_RETRIED = (
    ChangePending,
    LeaderChanged,
    NoLeader,
    NotLeader,
    ProposalLost,
    ReplicaStopped,
    StorageFailed,
)


class LogClient:
    """Sends commands, reads and membership changes to a group's leader.

    Works on any VM, whether or not it has a replica of the group.

    :param group: name of the group.
    :param members: VMs to contact; any of them can name the leader.
    :param call: sends a request to another VM.
    :ivar leader: address of the last known leader, empty if unknown.

    >>> client = LogClient("tickets", members, call)
    >>> result = await client.propose('{"number": 7}')
    >>> result.unwrap().index
    12
    """

    def __init__(
        self,
        group: str,
        members: Sequence[Address],
        call: PeerCall,
        settings: LogSettings = DEFAULT_SETTINGS,
    ):
        self.group = group
        self.settings = settings
        self.leader = ""
        self._addresses = [member.address for member in members]
        self._asked = 0
        self._call = call

    def set_members(self, members: Sequence[Address]) -> None:
        """Replace the VMs to contact; an empty list is ignored."""
        if members:
            self._addresses = [member.address for member in members]

    async def propose(
        self, command: str, after: int | None = None
    ) -> Result[Applied, LogError]:
        """Propose a command and wait until it is committed and applied.

        :param after: index of the log that the command's author knew; ``None`` if
            it may follow any other command.
        :returns: its index, term and reply. If the ``run`` of a failure is
            ``NOT_RUN``, the command was not and will not be committed; after
            any other failure it may be.
        """
        request = GroupRequest(kind="propose", command=command)
        if after is not None:
            request["after"] = after
        outcome = await self.request(request)
        return outcome.map(_applied)

    async def read(self) -> Result[int, LogError]:
        """Return a read index: one at or above everything committed so far."""
        outcome = await self.request(GroupRequest(kind="read"))
        return outcome.map(lambda result: result["index"])

    async def add_member(self, vm: str) -> Result[None, LogError]:
        """Allow a VM to join; it becomes a voter once its log is up to date."""
        outcome = await self.request(GroupRequest(kind="add", vm=vm))
        return outcome.map(lambda _: None)

    async def remove_member(self, vm: str) -> Result[None, LogError]:
        """Remove a VM from the group."""
        outcome = await self.request(GroupRequest(kind="remove", vm=vm))
        return outcome.map(lambda _: None)

    async def request(self, request: GroupRequest) -> Result[Outcome, LogError]:
        """Send a request to the current leader.

        Retries for up to ``propose_timeout_s`` where that can't run a command
        twice.
        """
        body = wire.encode(request)
        last_failure: LogError = NoLeader("no member was reached")
        with trio.move_on_after(self.settings.propose_timeout_s):
            while True:
                address = self._next_address()
                last_failure = OutcomeUnknown("no answer in time")
                result = await self._ask(
                    address, body, self._attempt_timeout_s(request)
                )
                if isinstance(result, Success):
                    self.leader = address
                    return result
                last_failure = result.failure()
                if not _may_retry(last_failure, request):
                    return result
                self._update_leader(last_failure, address)
                await trio.sleep(RETRY_S)
        if isinstance(last_failure, NotLeader):
            return Failure(NoLeader(f"group {self.group} has no leader"))
        return Failure(last_failure)

    def _attempt_timeout_s(self, request: GroupRequest) -> float:
        """Return the timeout of one attempt in seconds.

        A proposal may use the whole time, because it is not sent again after a
        timeout.
        """
        if request["kind"] == "propose":
            return self.settings.propose_timeout_s
        return self.settings.election_s

    def _next_address(self) -> str:
        """Return the leader's address, or that of the next VM in turn.

        The turn goes on with the next request: its first attempts don't all go to
        VMs that gave the one before no answer.
        """
        if self.leader:
            return self.leader
        self._asked += 1
        return self._addresses[(self._asked - 1) % len(self._addresses)]

    def _update_leader(self, failure: LogError, address: str) -> None:
        hint = failure.leader if isinstance(failure, NotLeader) else ""
        self.leader = hint if hint != address else ""

    async def _ask(
        self, address: str, body: bytes, timeout_s: float
    ) -> Result[Outcome, LogError]:
        answer: Result[bytes, VanillabeamError] = Failure(OutcomeUnknown(address))
        with trio.move_on_after(timeout_s):
            answer = await self._call(address, request_path(self.group), body)
        if isinstance(answer, Failure):
            return Failure(_call_failure(answer.failure()))
        decoded = wire.decode(Outcome, answer.unwrap())
        if isinstance(decoded, Failure):
            return Failure(OutcomeUnknown(str(decoded.failure())))
        failure = failure_from(decoded.unwrap())
        return Success(decoded.unwrap()) if failure is None else Failure(failure)


def _call_failure(failure: VanillabeamError) -> LogError:
    if failure.run is Run.NOT_RUN:
        return NoLeader(str(failure))
    return OutcomeUnknown(str(failure))


def _may_retry(failure: LogError, request: GroupRequest) -> bool:
    """Return whether a retry can neither run a command twice nor hide a result."""
    if isinstance(failure, _RETRIED):
        return True
    return isinstance(failure, OutcomeUnknown) and request["kind"] != "propose"


def _applied(outcome: Outcome) -> Applied:
    return Applied(outcome["index"], outcome["term"], outcome["reply"])

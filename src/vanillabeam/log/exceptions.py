"""Failures of the replicated log."""

from http import HTTPStatus

from vanillabeam.exceptions import Run, VanillabeamError

__all__ = [
    "ChangePending",
    "DataFolderDamaged",
    "GroupNotOpen",
    "LeaderChanged",
    "LogError",
    "NoLeader",
    "NotAllowed",
    "NotLeader",
    "OutcomeUnknown",
    "Overtaken",
    "ProposalLost",
    "ReplicaStopped",
    "StorageFailed",
    "UnknownMember",
    "WouldLoseQuorum",
    "failure_types",
]


class LogError(VanillabeamError):
    """Base of the failures of the replicated log.

    If ``run`` is ``NOT_RUN``, the command was certainly not proposed.
    """

    type = "log-failed"
    status = HTTPStatus.SERVICE_UNAVAILABLE
    run = Run.NOT_RUN
    advice = "Send the request again."
    retry_after_s = 1.0


class NotLeader(LogError):
    """This replica does not lead its group.

    :param leader: address of the leader if it is known, else empty.
    """

    type = "log-not-leader"

    def __init__(self, detail: str = "", leader: str = ""):
        super().__init__(detail)
        self.leader = leader


class NoLeader(LogError):
    """No leader was found in time: the group may lack a quorum."""

    type = "log-no-leader"
    retry_after_s = 2.0


class LeaderChanged(LogError):
    """The leader hands over or stepped down before it took the request."""

    type = "log-leader-changed"


class GroupNotOpen(LogError):
    """The group is being founded: too few founding members vote yet."""

    type = "log-group-not-open"
    advice = "Start the other control VMs, then send the request again."
    retry_after_s = 5.0


class ProposalLost(LogError):
    """Another entry was committed in the command's place."""

    type = "log-proposal-lost"


class Overtaken(LogError):
    """A command about the same subject came first, which the author didn't know."""

    type = "log-overtaken"
    advice = "Send the command again if it still stands."


class OutcomeUnknown(LogError):
    """The command was proposed; whether it was or will be committed is open."""

    type = "log-outcome-unknown"
    run = Run.UNKNOWN
    advice = "Ask again with the same request; it is not taken twice."


class ChangePending(LogError):
    """A change of members waits until the one before it is committed."""

    type = "log-change-pending"


class WouldLoseQuorum(LogError):
    """A change of members would leave a group that cannot commit."""

    type = "log-would-lose-quorum"
    status = HTTPStatus.CONFLICT
    advice = "Bring members back or add one first; see the recovery page."
    retry_after_s = None


class UnknownMember(LogError):
    """No member or allowed VM has that name."""

    type = "log-unknown-member"
    status = HTTPStatus.NOT_FOUND
    advice = "See the members in the group's status."
    retry_after_s = None


class NotAllowed(LogError):
    """A VM asked to join a group that does not expect it."""

    type = "log-not-allowed"
    status = HTTPStatus.FORBIDDEN
    advice = "Add the VM to the control members first."
    retry_after_s = 5.0


class ReplicaStopped(LogError):
    """This replica has stopped and neither votes nor accepts entries."""

    type = "log-replica-stopped"
    advice = "Send the request again; another VM takes it."


class StorageFailed(LogError):
    """A write or sync failed; the replica begins again once its disk works."""

    type = "log-storage-failed"
    advice = "See the recovery page: free the disk, or replace it and restart."
    retry_after_s = None


class DataFolderDamaged(LogError):
    """A data folder holds damage other than a torn tail; nothing is skipped."""

    type = "log-data-folder-damaged"
    status = HTTPStatus.INTERNAL_SERVER_ERROR
    advice = "See the recovery page: move the folder away and rejoin empty."
    retry_after_s = None


class ForceRefused(LogError):
    """A group may not be continued from one replica alone, or not from this one."""

    type = "log-force-refused"
    status = HTTPStatus.CONFLICT
    advice = "See the recovery page; nothing was changed."
    retry_after_s = None


def failure_types() -> dict[str, type[LogError]]:
    """Return the failure classes of the log, keyed by their ``type``."""
    kinds = [LogError, *LogError.__subclasses__()]
    return {kind.type: kind for kind in kinds}

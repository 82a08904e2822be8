"""Records of the log lines about the fleet state and the control VMs."""

from typing import NamedTuple

__all__ = [
    "ControlForgotten",
    "ControlHeard",
    "ControlUnanswered",
    "DeploymentApplied",
    "DeploymentRefused",
    "DeploymentUnreadable",
    "DocumentDelayed",
    "DocumentFetched",
    "HomeChosen",
    "LeaderKnown",
    "LeaderMissing",
    "LoadsExchanged",
    "MembershipChanged",
    "OrderRead",
    "OrderSettled",
    "OrderUnsettled",
    "QuorumLost",
    "StateInForce",
]


class StateInForce(NamedTuple):
    """A newer fleet state came into force on this VM.

    :param quarantined: parts of prompts that are kept from targets; some of them if
        there are many.
    :param read_s: seconds for which this process read a new deployment; 0 without one.
    """

    index: int
    number: int
    evacuated: list[str]
    weights: dict[str, int]
    quarantined: list[str]
    read_s: float


class OrderRead(NamedTuple):
    """An operator's order, of those that undo each other, was read.

    :param index: index up to which this VM had applied the fleet log then.
    :param connection_s: age of the caller's connection in seconds.
    :param pause_s: length of this process's last pause in seconds; 0 for none.
    """

    kind: str
    subject: str
    index: int
    connection_s: float
    pause_s: float


class OrderSettled(NamedTuple):
    """An operator's order is settled for good.

    :param subject: data centre or model that the order concerns.
    """

    kind: str
    number: int | None
    subject: str | None
    index: int


class OrderUnsettled(NamedTuple):
    """An operator's order was refused, or its outcome is unknown."""

    kind: str
    number: int | None
    subject: str | None
    failure: str
    run: str


class DeploymentRefused(NamedTuple):
    """A deployment document sent by an operator is invalid."""

    detail: str


class DeploymentUnreadable(NamedTuple):
    """A committed deployment can't be read here; the one in force stays."""

    number: int
    detail: str


class DeploymentApplied(NamedTuple):
    """A control VM's replica has applied the commit of another deployment.

    :param characters: length of the document.
    :param read_s: seconds for which this process read it.
    """

    index: int
    number: int
    characters: int
    read_s: float


class DocumentFetched(NamedTuple):
    """All pieces of a deployment's document have arrived.

    :param address: control VM that sent the last of them.
    :param characters: length of the document.
    :param pieces: number of its pieces, with those that were here already.
    :param received_bytes: bytes of all replies with pieces since the process started.
    :param waited_s: seconds since a control VM named a document that isn't here.
    """

    address: str
    number: int
    characters: int
    pieces: int
    received_bytes: int
    waited_s: float


class DocumentDelayed(NamedTuple):
    """A control VM that has a document sent none of its pieces; another one is asked.

    :param reason: type of the failure; ``timeout`` if the whole reply was late.
    :param pieces: number of the document's pieces; 0 while it isn't known.
    :param missing: number of those that aren't here yet.
    """

    address: str
    number: int
    reason: str
    pieces: int
    missing: int


class ControlUnanswered(NamedTuple):
    """A control VM gave no whole reply to a watch request in time.

    :param waited_s: seconds since the request was made.
    :param reason: type of the failure; ``timeout`` if the whole reply was late.
    """

    address: str
    waited_s: float
    reason: str


class ControlHeard(NamedTuple):
    """A control VM's process answered for the first time."""

    address: str
    epoch: str
    index: int


class ControlForgotten(NamedTuple):
    """A control VM is no longer watched."""

    address: str


class HomeChosen(NamedTuple):
    """An entry VM reports its load to another control VM from now on.

    :param previous: address of the one before; empty at first.
    """

    address: str
    previous: str


class LoadsExchanged(NamedTuple):
    """The group of entry VMs that this one exchanges loads with has changed.

    :param group: data centre, number of halvings and part of it; empty for no group.
    :param members: other VMs of the group.
    :param heard: those whose load was received lately.
    """

    group: str
    members: int
    heard: int


class MembershipChanged(NamedTuple):
    """The leader put another membership of a log's group into force.

    :param group: name of the group.
    :param reason: what the change was started for.
    :param term: the leader's term.
    :param index: index of the entry with the membership, which isn't committed yet.
    :param added_voters: VMs whose replicas vote from now on.
    :param removed_voters: VMs whose replicas vote no more.
    :param added_learners: VMs whose replicas receive the log and don't vote yet.
    :param removed_learners: VMs of learners that were removed; promoted ones aren't.
    :param voters_before: VMs of the voters before the change.
    :param majority_before: number of voters that were a majority.
    :param voters: VMs of the voters from now on.
    :param majority: number of voters that are a majority from now on.
    :param losses_left: number of voters that may be lost without losing the majority,
        once the change is committed.
    """

    group: str
    reason: str
    term: int
    index: int
    added_voters: list[str]
    removed_voters: list[str]
    added_learners: list[str]
    removed_learners: list[str]
    voters_before: list[str]
    majority_before: int
    voters: list[str]
    majority: int
    losses_left: int


class QuorumLost(NamedTuple):
    """A leader of a log's group stepped down: no majority answered it in time.

    :param group: name of the group.
    :param term: term in which it led.
    :param voters: VMs of the group's voters.
    :param majority: number of voters that are a majority.
    :param silent: voters that didn't answer in time, with the seconds since each was
        heard, at most those since this VM became leader.
    """

    group: str
    term: int
    voters: list[str]
    majority: int
    silent: dict[str, float]


class LeaderMissing(NamedTuple):
    """A replica of a log's group has had no leader for some seconds.

    :param group: name of the group.
    :param role: role of this replica: ``voter``, ``learner``, or ``removed`` if it is
        no member by its own log.
    :param term: term of this replica.
    :param leaderless_s: seconds since it last had one.
    :param voters: VMs of the voters, by its own log.
    :param majority: number of voters that are a majority.
    :param silent: voters that didn't answer it lately; empty unless it is a voter, as
        only voters ask.
    """

    group: str
    role: str
    term: int
    leaderless_s: float
    voters: list[str]
    majority: int
    silent: list[str]


class LeaderKnown(NamedTuple):
    """A replica that logged ``leader-missing`` has a leader again.

    :param group: name of the group.
    :param term: term of this replica.
    :param leader: VM of the leader.
    :param leaderless_s: seconds for which it had none.
    """

    group: str
    term: int
    leader: str
    leaderless_s: float

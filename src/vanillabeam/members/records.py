"""Membership records and messages, and the merge of two records."""

from enum import IntEnum
from typing import NamedTuple, NotRequired, TypedDict

__all__ = [
    "AppState",
    "DataCentreSummary",
    "Heartbeat",
    "Member",
    "Probe",
    "ProbeReply",
    "Seed",
    "Status",
    "merge",
]


class Status(IntEnum):
    """Status of a VM; within one incarnation the higher status takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class AppState(NamedTuple):
    """Application state that a VM reports with its membership record.

    :param config_index: index of the ticket in force at the VM.
    :param config_hash: hash of the configuration in force.
    :param since: Unix time in seconds since which the index is in force.
    :param roles: the VM's roles.
    :param ready: whether the VM accepts work.
    :param load: percentage of the VM's capacity that is in use.
    :param full: whether the VM holds the whole configuration.
    :param ports: ports of the VM's ``targets`` and ``store`` listeners.
    """

    config_index: int = 0
    config_hash: str = ""
    since: int = 0
    roles: tuple[str, ...] = ()
    ready: bool = False
    load: int = 0
    full: bool = False
    ports: dict[str, int] = {}


class Member(NamedTuple):
    """Membership record of one VM.

    Only the VM itself increments its incarnation and its version.

    :param address: ``host:port`` of the VM's listener for peers.
    :param incarnation: incremented to refute a suspicion or a declaration of death.
    :param version: incremented at each change of ``state``.
    """

    name: str
    address: str
    data_centre: str
    incarnation: int
    status: Status
    version: int
    state: AppState


class DataCentreSummary(NamedTuple):
    """Summary of a data centre, sent to the other data centres.

    :param age_s: seconds since a VM of the data centre created the summary.
    :param alive: number of live VMs.
    :param ready: number of live VMs that accept work.
    :param load: mean load of the ready VMs in percent.
    :param lowest_index: lowest ticket index in force at a live VM.
    :param highest_index: highest ticket index in force at a live VM.
    :param highest_hash: hash of the configuration at the highest index.
    :param contacts: names and addresses of a few live VMs.
    """

    data_centre: str
    age_s: float
    alive: int
    ready: int
    load: int
    lowest_index: int
    highest_index: int
    highest_hash: str
    contacts: tuple[tuple[str, str], ...]


class Seed(NamedTuple):
    """A VM from the settings, contacted to join and to heal partitions."""

    address: str
    data_centre: str


class Heartbeat(TypedDict):
    """Body of ``POST /peer/members/heartbeat`` and of its answer.

    :param sender: the sending VM's own record.
    :param members: records that changed recently or that the receiver may lack.
    :param view: hash of all records of the sender's data centre.
    :param summaries: summaries of data centres other than the receiver's.
    :param join: whether the sender has no peers yet and requests all records.
    """

    sender: Member
    members: list[Member]
    view: str
    summaries: list[DataCentreSummary]
    join: NotRequired[bool]


class Probe(TypedDict):
    """Body of ``POST /peer/members/probe``: the VM to send a heartbeat to."""

    name: str
    address: str


class ProbeReply(TypedDict):
    """Answer to :class:`Probe`: whether the probed VM answered."""

    answered: bool


def merge(one: Member, other: Member) -> Member:
    """Return the merge of two records of one VM.

    The merge is commutative and associative: the record with the higher
    incarnation wins as a whole; within one incarnation the higher status and the
    state of the higher version win independently.
    """
    if one.incarnation != other.incarnation:
        return max(one, other, key=lambda member: member.incarnation)
    newer = max(one, other, key=lambda member: member.version)
    return newer._replace(status=max(one.status, other.status))

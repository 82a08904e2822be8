"""What VMs know of each other: records, their order and their messages."""

from enum import IntEnum
from typing import NamedTuple, NotRequired, TypedDict

__all__ = [
    "AppState",
    "Heartbeat",
    "Member",
    "Probe",
    "ProbeReply",
    "Seed",
    "Status",
    "DataCentreSummary",
    "merge",
]


class Status(IntEnum):
    """What is held of a VM; within one incarnation the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class AppState(NamedTuple):
    """What a VM says of its own work.

    :param config_index: ticket index in force there.
    :param config_hash: hash of the configuration in force.
    :param since: Unix time in seconds since which the index is in force.
    :param roles: the VM's roles.
    :param ready: whether it takes work.
    :param load: percent of its capacity that is in use.
    :param full: whether it holds the whole configuration.
    :param ports: ports of its ``targets`` and ``store`` listeners.
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
    """One VM as it is known.

    Only the VM itself raises its incarnation and its version.

    :param incarnation: raised to refute a suspicion or a death.
    :param version: counts the changes of ``state``.
    """

    name: str
    address: str
    data_centre: str
    incarnation: int
    status: Status
    version: int
    state: AppState


class DataCentreSummary(NamedTuple):
    """A data centre as seen from others.

    :param age_s: seconds since one of its VMs made it.
    :param alive: VMs alive there.
    :param ready: those that take work.
    :param load: mean load of those in percent.
    :param lowest_index: lowest ticket index in force there.
    :param highest_index: highest one.
    :param highest_hash: hash of the configuration at that.
    :param contacts: names and addresses of a few VMs there.
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
    """A VM from the settings, to begin with and to find the others again."""

    address: str
    data_centre: str


class Heartbeat(TypedDict):
    """``POST /peer/members/heartbeat`` and its answer, both the same.

    :param sender: the sending VM's own record.
    :param members: records that changed lately or may be missing.
    :param view: hash of all records of the sender's data centre.
    :param summaries: other data centres.
    :param join: the sender knows nobody yet and asks for every record.
    """

    sender: Member
    members: list[Member]
    view: str
    summaries: list[DataCentreSummary]
    join: NotRequired[bool]


class Probe(TypedDict):
    """``POST /peer/members/probe``: send a heartbeat to this VM for me."""

    name: str
    address: str


class ProbeReply(TypedDict):
    """Whether the probed VM answered."""

    answered: bool


def merge(one: Member, other: Member) -> Member:
    """Return what both records of one VM say together.

    The order of merges makes no difference: the higher incarnation wins
    whole; within one, the higher status and the higher version do.
    """
    if one.incarnation != other.incarnation:
        return max(one, other, key=lambda member: member.incarnation)
    newer = max(one, other, key=lambda member: member.version)
    return newer._replace(status=max(one.status, other.status))

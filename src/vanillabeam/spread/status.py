"""Status of all VMs: the index in force on each, and since when."""

from typing import NamedTuple

from vanillabeam.members import DataCentreSummary, Member

__all__ = [
    "FleetStatus",
    "UnreachableDataCentre",
    "VmStatus",
    "find_missing",
    "make_fleet_status",
]


class VmStatus(NamedTuple):
    """Status of one VM, from the membership records of its data centre.

    :param index: index of the configuration in force.
    :param since: Unix time in seconds at which ``index`` came into force.
    :param whole: whether its copy of the configuration has all workspaces.
    """

    vm: str
    data_centre: str
    index: int
    since: int
    ready: bool
    whole: bool


class UnreachableDataCentre(NamedTuple):
    """A data centre that did not answer, with its last summary.

    :param lowest_index: lowest index in force on its VMs in that summary.
    :param age_s: age of the summary in seconds.
    """

    data_centre: str
    lowest_index: int
    age_s: float


class FleetStatus(NamedTuple):
    """Status of the VMs of all data centres that answered.

    :param unreachable: data centres that did not answer.
    """

    vms: tuple[VmStatus, ...]
    unreachable: tuple[UnreachableDataCentre, ...]


def make_fleet_status(
    members: tuple[Member, ...], unreachable: list[DataCentreSummary]
) -> FleetStatus:
    """Return the status from membership records and stale summaries."""
    vms = [
        VmStatus(
            vm=member.name,
            data_centre=member.data_centre,
            index=member.state.config_index,
            since=member.state.since,
            ready=member.state.ready,
            whole=member.state.full,
        )
        for member in members
    ]
    summaries = [
        UnreachableDataCentre(s.data_centre, s.lowest_index, s.age_s)
        for s in unreachable
    ]
    return FleetStatus(tuple(sorted(vms)), tuple(sorted(summaries)))


def find_missing(status: FleetStatus, index: int) -> tuple[str, ...]:
    """Return the VMs without ``index`` in force and the unreachable data centres.

    :returns: names of VMs, and of data centres as ``data centre NAME``.
    """
    vms = [vm.vm for vm in status.vms if vm.index < index]
    data_centres = [f"data centre {dc.data_centre}" for dc in status.unreachable]
    return tuple(vms + data_centres)

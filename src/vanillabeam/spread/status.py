"""Which VMs have which index in force, and since when."""

from typing import NamedTuple

from vanillabeam.members import DataCentreSummary, Member

__all__ = ["FleetStatus", "UnseenDataCentre", "VmStatus", "make_status", "missing"]


class VmStatus(NamedTuple):
    """One VM as the VMs of its data centre know it.

    :param since: Unix time in seconds since which ``index`` is in force there.
    :param whole: whether it holds all workspaces itself.
    """

    vm: str
    data_centre: str
    index: int
    since: int
    ready: bool
    whole: bool


class UnseenDataCentre(NamedTuple):
    """A data centre that could not be asked: what was last heard of it.

    :param lowest_index: lowest index in force there, ``age_s`` seconds ago.
    """

    data_centre: str
    lowest_index: int
    age_s: float


class FleetStatus(NamedTuple):
    """All VMs that could be asked for, and the data centres that could not."""

    vms: tuple[VmStatus, ...]
    unseen: tuple[UnseenDataCentre, ...]


def make_status(
    members: tuple[Member, ...], unseen: list[DataCentreSummary]
) -> FleetStatus:
    """Return the status from membership records."""
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
    cut_off = [UnseenDataCentre(s.data_centre, s.lowest_index, s.age_s) for s in unseen]
    return FleetStatus(tuple(sorted(vms)), tuple(sorted(cut_off)))


def missing(status: FleetStatus, index: int) -> tuple[str, ...]:
    """Return who does not have ``index`` in force, or can't be asked.

    :returns: names of VMs, and of data centres as ``data centre NAME``.
    """
    vms = [vm.vm for vm in status.vms if vm.index < index]
    places = [f"data centre {place.data_centre}" for place in status.unseen]
    return tuple(vms + places)

"""Newest loads that other entry VMs have sent directly."""

from itertools import chain
from typing import NamedTuple, TypedDict

from vanillabeam.fleet.loads import EntryLoad, accumulate, make_load

__all__ = ["LoadNotice", "OpenAtTarget", "PeerLoads", "describe"]

#: Seconds without a message after which a VM counts as having no open work. It sends
#: several in that time while it has some.
SILENCE_S = 1.5


class OpenAtTarget(NamedTuple):
    """Open work of one entry VM at one target, short as it is sent to many VMs.

    :param room: tokens of memory that its prompts take.
    :param calls: number of open requests.
    :param work: ranks, each followed by its tokens of open work.
    """

    target: str
    room: int
    calls: int
    work: tuple[int, ...]


class LoadNotice(TypedDict):
    """Open work of one entry VM, all of it, so that a later one replaces a lost one.

    :param boot: id of the sending process.
    :param sequence: number of the message since that process started.
    :param group: group that the VM exchanges loads with.
    :param targets: what is open at each target.
    """

    vm: str
    boot: str
    sequence: int
    group: str
    targets: list[OpenAtTarget]


class _Known(NamedTuple):
    notice: LoadNotice
    load: EntryLoad
    at_s: float


class PeerLoads:
    """Sum of what the other VMs of a group have open.

    >>> loads = PeerLoads()
    >>> loads.update(notice, now_s=1.0)
    True
    >>> loads.total["room"]
    {'t-1': 1200}

    :ivar total: open work of the VMs that were heard lately; not to be changed.
    """

    def __init__(self):
        #: Newest message of each VM, the one heard longest ago first.
        self._known: dict[str, _Known] = {}
        self.total = make_load()

    def update(self, notice: LoadNotice, now_s: float) -> bool:
        """Record a VM's message; return whether it is newer than the known one."""
        known = self._known.get(notice["vm"])
        if known is not None and not _is_newer(notice, known.notice):
            return False
        self._drop(notice["vm"])
        load = _read(notice["targets"])
        self._known[notice["vm"]] = _Known(notice, load, now_s)
        accumulate(self.total, load)
        return True

    def vms(self) -> list[str]:
        """Return the VMs that were heard lately."""
        return list(self._known)

    def clear(self) -> None:
        """Forget all VMs, as another group begins."""
        self._known.clear()
        self.total = make_load()

    def drop_silent(self, now_s: float) -> None:
        """Forget the VMs that were not heard lately."""
        limit_s = now_s - SILENCE_S
        while self._known:
            vm, known = next(iter(self._known.items()))
            if known.at_s > limit_s:
                return
            self._drop(vm)

    def _drop(self, vm: str) -> None:
        known = self._known.pop(vm, None)
        if known is not None:
            accumulate(self.total, known.load, -1)


def describe(load: EntryLoad) -> list[OpenAtTarget]:
    """Return a VM's own open work as it is sent."""
    calls = load.get("calls", {})
    return [
        OpenAtTarget(
            target,
            load["room"].get(target, 0),
            calls.get(target, 0),
            tuple(chain.from_iterable(load["work"].get(target, {}).items())),
        )
        for target in sorted({*load["work"], *load["room"], *calls})
    ]


def _read(targets: list[OpenAtTarget]) -> EntryLoad:
    work = {
        each.target: dict(zip(each.work[::2], each.work[1::2], strict=False))
        for each in targets
        if each.work
    }
    room = {each.target: each.room for each in targets if each.room}
    calls = {each.target: each.calls for each in targets if each.calls}
    return make_load(work, room, calls=calls)


def _is_newer(notice: LoadNotice, known: LoadNotice) -> bool:
    """Return whether a message was sent after another one of its VM.

    Messages of two processes can't be told apart by age: the one that arrives later
    counts.
    """
    if notice["boot"] != known["boot"]:
        return True
    return notice["sequence"] > known["sequence"]

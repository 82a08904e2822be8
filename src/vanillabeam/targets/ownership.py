"""Owner of each target, and the share of its window that is safe to grant."""

from collections.abc import Iterable
from typing import NamedTuple

from vanillabeam.rendezvous import rank
from vanillabeam.targets.records import EntryVm
from vanillabeam.targets.settings import TargetsSettings

__all__ = ["Ownership"]


class Absence(NamedTuple):
    """An entry VM that is missing from the view, or was until recently.

    :param since_s: monotonic time at which the VM was lost.
    :param returned_s: monotonic time at which the VM was seen again, ``None``
        while it is missing.
    """

    entry: EntryVm
    since_s: float
    returned_s: float | None = None


class Ownership:
    """This VM's view of the live entries, and the owners that follow from it.

    :param me: this VM.

    >>> me = EntryVm("e1", "dc1", "10.0.0.1:7003")
    >>> view = Ownership(me, TargetsSettings())
    >>> view.members_changed([me], now_s=0.0)
    >>> view.owner_of("engine-1", "dc1").vm
    'e1'
    """

    def __init__(self, me: EntryVm, settings: TargetsSettings):
        self.me = me
        self.settings = settings
        self.live: dict[str, EntryVm] = {}
        self.absent: dict[str, Absence] = {}
        self.first_view_s: float | None = None

    @property
    def has_view(self) -> bool:
        """Return whether a first view of the entries was received."""
        return bool(self.live)

    def members_changed(self, live: Iterable[EntryVm], now_s: float) -> None:
        """Replace the view of the live entries; this VM is always in it."""
        if self.first_view_s is None:
            self.first_view_s = now_s
        view = {entry.vm: entry for entry in live}
        view[self.me.vm] = self.me
        for vm, entry in self.live.items():
            if vm not in view:
                self.absent[vm] = Absence(entry, now_s)
        for vm, absence in self.absent.items():
            if vm in view and absence.returned_s is None:
                self.absent[vm] = absence._replace(returned_s=now_s)
        self.live = view
        self._forget_old_absences(now_s)

    def remove_member(self, vm: str) -> None:
        """Remove a VM that has handed over its targets.

        Such a VM grants no more permits, so no share is reserved for it.
        """
        self.live.pop(vm, None)
        self.absent.pop(vm, None)

    def owner_of(self, target: str, data_centre: str) -> EntryVm | None:
        """Return the entry that owns ``target`` in this view."""
        candidates = self._candidates(data_centre)
        if not candidates:
            return None
        return self.live[rank(target, candidates)[0]]

    def peers(self, data_centre: str) -> list[EntryVm]:
        """Return the other live entries that may own targets of ``data_centre``."""
        names = self._candidates(data_centre)
        return [self.live[vm] for vm in names if vm != self.me.vm]

    def missing_vm_may_own(self, target: str, data_centre: str) -> bool:
        """Return whether a missing VM would own ``target`` if it were live."""
        lost = self._missing_entries(data_centre)
        if data_centre != self.me.data_centre:
            return bool(lost)
        return rank(target, [self.me.vm, *lost])[0] != self.me.vm

    def may_have_peers(self, data_centre: str) -> bool:
        """Return whether other entries may own targets of ``data_centre``."""
        return bool(self.peers(data_centre)) or self.settings.entries_expected > 1

    def share(self, data_centre: str, foreign_seen_s: float, now_s: float) -> float:
        """Return the fraction of a target's window that this VM may grant.

        A missing VM may still grant permits of the same target, so its share is
        reserved for it. The share is used again once the VM has been missing for
        ``share_reclaim_s`` without foreign runs at the target, or once it has
        been back for ``takeover_s``.

        :param foreign_seen_s: monotonic time at which foreign runs, those without
            a permit of this VM, were last seen at the target.
        """
        reserved = [
            absence.entry
            for absence in self.absent.values()
            if self._share_is_reserved(absence, foreign_seen_s, now_s)
        ]
        if data_centre == self.me.data_centre:
            return self._local_share(reserved, foreign_seen_s, now_s)
        if any(entry.data_centre == data_centre for entry in reserved):
            return 0.0
        return self._fraction(len(self.live), reserved)

    def _local_share(
        self, reserved: list[EntryVm], foreign_seen_s: float, now_s: float
    ) -> float:
        local = self.me.data_centre
        live = sum(entry.data_centre == local for entry in self.live.values())
        missing = [entry for entry in reserved if entry.data_centre == local]
        share = self._fraction(live, missing)
        quiet_s = now_s - max(self.first_view_s, foreign_seen_s)
        if quiet_s < self.settings.share_reclaim_s and self.settings.entries_expected:
            share = min(share, live / max(live, self.settings.entries_expected))
        return share

    def _fraction(self, live: int, missing: list[EntryVm]) -> float:
        returned = sum(entry.vm in self.live for entry in missing)
        visible = max(1, live - returned)
        return visible / (visible + len(missing))

    def _share_is_reserved(
        self, absence: Absence, foreign_seen_s: float, now_s: float
    ) -> bool:
        if absence.returned_s is not None:
            return now_s - absence.returned_s < self.settings.takeover_s
        quiet_s = now_s - max(absence.since_s, foreign_seen_s)
        return quiet_s < self.settings.share_reclaim_s

    def _candidates(self, data_centre: str) -> list[str]:
        local = [vm for vm, e in self.live.items() if e.data_centre == data_centre]
        return local or list(self.live)

    def _missing_entries(self, data_centre: str) -> dict[str, EntryVm]:
        return {
            vm: absence.entry
            for vm, absence in self.absent.items()
            if absence.returned_s is None and absence.entry.data_centre == data_centre
        }

    def _forget_old_absences(self, now_s: float) -> None:
        keep_s = 100 * self.settings.share_reclaim_s
        self.absent = {
            vm: absence
            for vm, absence in self.absent.items()
            if now_s - absence.since_s < keep_s
            and (
                absence.returned_s is None
                or now_s - absence.returned_s < self.settings.takeover_s
            )
        }

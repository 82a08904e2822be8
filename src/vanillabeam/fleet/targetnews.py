"""Targets of a VM's directory by the replies of all control VMs."""

from collections.abc import Mapping

import trio

from vanillabeam.decisions import LeavingReported, TargetSilent, log_record
from vanillabeam.fleet.directory import Directory, Incarnation
from vanillabeam.fleet.polling import ControlVm
from vanillabeam.fleet.targetlog import log_target
from vanillabeam.fleet.unlisted import note_unlisted
from vanillabeam.fleet.watch import WatchReply

__all__ = ["TargetNews"]

#: Seconds without a reply from any control VM after which silent targets are
#: kept, because their announcements can't arrive.
CONTROL_SILENCE_S = 2.0
#: Seconds for which a target stays paused after the leader's last reply with it.
PAUSE_S = 1.0
#: Seconds without a reply after which what a control VM said of leaving targets no
#: longer counts.
LEAVING_SILENCE_S = 5.0


class TargetNews:
    """Applies replies to the directory, and drops what no control VM hears any more.

    :param control_vms: the polled control VMs by address.
    :param silence_s: seconds without an announcement after which a target is dropped.
    :ivar leaving_here: on a control VM, the targets that have told it that they leave.

    >>> news = TargetNews(directory, control_vms, silence_s=4.0)
    >>> news.apply(reply, control_vm, now_s=1.0)
    """

    def __init__(
        self,
        directory: Directory,
        control_vms: Mapping[str, ControlVm],
        silence_s: float,
    ):
        self.leaving_here: frozenset[Incarnation] = frozenset()
        self._directory = directory
        self._control_vms = control_vms
        self._silence_s = silence_s
        self._paused_until_s: dict[str, float] = {}

    def apply(self, reply: WatchReply, control_vm: ControlVm, now_s: float) -> None:
        """Apply what a control VM's reply says of targets."""
        control_vm.leaving = frozenset(map(tuple, reply.get("leaving", ())))
        for incarnation in reply["ended"]:
            self._directory.mark_ended(tuple(incarnation))
        changed = control_vm.sent.apply(reply, self._directory, self._silence_s, now_s)
        for target, age_s in changed:
            log_target(target, age_s)
        for name, born_ms, model, version in reply.get("seen", ()):
            self._directory.update_weight_version((name, born_ms), model, version)
        for name in reply.get("paused", ()):
            self._paused_until_s[name] = now_s + PAUSE_S
        ages_s = reply["ages_s"]
        note_unlisted(self._directory, ages_s, control_vm, self._silence_s, now_s)

    def is_paused(self, target: str, now_s: float) -> bool:
        """Return whether a target is about to load weights."""
        return now_s < self._paused_until_s.get(target, 0.0)

    def unlisted_count(self, now_s: float) -> int:
        """Return the number of targets that control VMs hear and this VM doesn't list.

        Replies that are older than the silence of a target don't count.
        """
        recent = self._heard_after(now_s - self._silence_s)
        return len({name for vm in recent for name in vm.unlisted_since_s})

    def update_leaving(self) -> None:
        """Combine the targets that leave, by this VM and each one heard lately."""
        recent = self._heard_after(trio.current_time() - LEAVING_SILENCE_S)
        leaving = self.leaving_here.union(*(vm.leaving for vm in recent))
        before = self._directory.leaving
        if not self._directory.set_leaving(leaving):
            return
        for name, born_ms in sorted(leaving ^ before):
            log_record(LeavingReported(name, born_ms, (name, born_ms) in leaving))

    def drop_silent(self) -> None:
        """Drop targets without recent announcements, if any control VM replies."""
        now_s = trio.current_time()
        if not self._heard_after(now_s - CONTROL_SILENCE_S):
            return
        for incarnation in self._directory.silent_since(now_s - self._silence_s):
            log_record(TargetSilent(*incarnation))
            self._directory.forget(incarnation[0])

    def _heard_after(self, since_s: float) -> list[ControlVm]:
        return [vm for vm in self._control_vms.values() if vm.last_seen_s >= since_s]

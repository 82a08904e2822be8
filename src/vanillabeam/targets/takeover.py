"""Begin, hand over, take over and end the ownership of targets."""

from returns.result import Failure

from vanillabeam.targets.events import (
    Effect,
    Handover,
    HandoverReceived,
    HandoverRequested,
    PermitAnswer,
    RequestHandover,
    SendHandover,
)
from vanillabeam.targets.exceptions import NotOwner
from vanillabeam.targets.grants import OwnedTarget
from vanillabeam.targets.ownerstate import Owner
from vanillabeam.targetwire import Announcement

__all__ = [
    "begin_ownership",
    "take_over_lost",
    "take_over_unanswered",
    "remove_stale",
    "hand_over",
    "hand_over_all",
    "receive_handover",
    "relinquish_moved",
]


def begin_ownership(
    state: Owner, announcement: Announcement, now_s: float
) -> list[Effect]:
    """Become the owner of a target that this VM did not own.

    The permits of every other entry that may have owned the target are requested
    first. Where a previous owner can't be reached, grants wait until its permits
    must have expired. Without another entry, the cold window opens at once.

    :returns: requests for a handover, one for each entry that may have owned the
        target.
    """
    name = announcement["target"]
    if name in state.awaiting_handover or _handed_over_recently(state, name, now_s):
        return []
    target = _make_target(state, announcement, now_s)
    if name in state.early_handovers:
        state.owned[name] = target
        _merge_handover(state, target, state.early_handovers.pop(name)[0])
        return []
    peers = state.ownership.peers(announcement["data_centre"])
    if name in state.handed_over or _predecessor_lost(state, target, now_s):
        state.owned[name] = target
        take_over_lost(state, name, now_s)
        return []
    if not peers:
        state.owned[name] = target
        return []
    state.awaiting_handover[name] = {entry.vm for entry in peers}
    target.handover_requested_s = now_s
    state.relinquished[name] = target
    return [RequestHandover(name, entry) for entry in peers]


def take_over_lost(state: Owner, name: str, now_s: float) -> None:
    """Take a target over from a VM that can't be reached.

    No permit is granted until the other VM must have detected the loss as well.
    Then only the cold window is granted until the other VM's last permit must
    have expired.
    """
    if state.awaiting_handover.pop(name, None) is not None:
        state.owned[name] = state.relinquished.pop(name)
    target = state.owned.get(name)
    if target is None:
        return
    if not state.owns(target):
        _relinquish(state, target)
        return
    target.window.reset(now_s)
    target.no_grants_until_s = now_s + state.settings.view_lag_s
    target.cold_until_s = now_s + state.settings.takeover_s


def receive_handover(
    state: Owner, event: HandoverReceived, now_s: float
) -> list[Effect]:
    """Merge a handover; own the target once every other entry has answered."""
    handover = event.handover
    name = handover.target
    if event.leaving:
        state.ownership.remove_member(event.entry)
        state.early_handovers[name] = (handover, now_s)
        return []
    epoch = max(handover.epoch, state.epochs.get(name, 0))
    state.epochs[name] = epoch
    target = state.owned.get(name) or state.relinquished.get(name)
    if target is None:
        return []
    _merge_handover(state, target, handover)
    if name not in state.awaiting_handover:
        return []
    if not handover.complete:
        take_over_lost(state, name, now_s)
        return []
    state.awaiting_handover[name].discard(event.entry)
    if not state.awaiting_handover[name]:
        _complete_takeover(state, target)
    return []


def hand_over(state: Owner, event: HandoverRequested, now_s: float) -> list[Effect]:
    """Stop granting permits of a target and send its state to its new owner."""
    entry = event.entry
    name = event.target
    target = state.owned.get(name)
    effects: list[Effect] = []
    if target is not None:
        effects.extend(_relinquish(state, target))
    elif name not in state.relinquished:
        return [SendHandover(Handover(name, "", 0, 0), entry)]
    state.handed_over[name] = (now_s, entry.vm)
    complete = name not in state.awaiting_handover
    handover = make_handover(state.relinquished[name])._replace(complete=complete)
    return [*effects, SendHandover(handover, entry)]


def relinquish_moved(state: Owner, now_s: float) -> list[Effect]:
    """Relinquish the targets that another entry owns in the new view."""
    effects: list[Effect] = []
    for target in list(state.owned.values()):
        if not state.owns(target):
            effects.extend(_relinquish(state, target))
    for name in list(state.awaiting_handover):
        if not state.owns(state.relinquished[name]):
            del state.awaiting_handover[name]
    return effects


def hand_over_all(state: Owner, now_s: float) -> list[Effect]:
    """Hand every target over to the entries that may own it after this VM."""
    effects: list[Effect] = []
    for target in list(state.owned.values()):
        effects.extend(_relinquish(state, target))
        peers = state.ownership.peers(target.data_centre)
        handover = make_handover(target)
        effects.extend(SendHandover(handover, entry, True) for entry in peers)
    state.stopping = True
    return effects


def take_over_unanswered(state: Owner, now_s: float) -> None:
    """Take over the targets whose previous owners never answered.

    The requests may have been dropped before they were sent. After this time the
    permits of previous owners have expired.
    """
    for name in list(state.awaiting_handover):
        waited_s = now_s - state.relinquished[name].handover_requested_s
        if waited_s >= state.settings.takeover_s:
            take_over_lost(state, name, now_s)


def remove_stale(state: Owner, now_s: float) -> None:
    """Remove silent targets and old records of relinquished ones."""
    max_silence_s = state.settings.target_timeout_s + state.settings.takeover_s
    for name, target in list(state.owned.items()):
        if now_s - target.last_seen_s > max_silence_s and not target.in_use:
            del state.owned[name]
    for name, target in list(state.relinquished.items()):
        if (
            name not in state.awaiting_handover
            and now_s - target.last_seen_s > max_silence_s
        ):
            del state.relinquished[name]
    keep_s = state.settings.takeover_s
    state.handed_over = {
        n: h for n, h in state.handed_over.items() if now_s - h[0] < 2 * keep_s
    }
    state.early_handovers = {
        n: o for n, o in state.early_handovers.items() if now_s - o[1] < keep_s
    }


def make_handover(target: OwnedTarget) -> Handover:
    """Return the state of ``target`` for its new owner."""
    return Handover(
        target=target.name,
        boot_id=target.announcement["boot_id"],
        epoch=target.epoch,
        window=target.window.size,
        grants=tuple(target.permits.values()),
    )


def _complete_takeover(state: Owner, target: OwnedTarget) -> None:
    name = target.name
    del state.awaiting_handover[name]
    del state.relinquished[name]
    target.epoch = state.next_epoch(name)
    state.owned[name] = target


def _make_target(state: Owner, announcement: Announcement, now_s: float) -> OwnedTarget:
    name = announcement["target"]
    epoch = state.next_epoch(name)
    target = state.relinquished.pop(name, None)
    if target is None:
        shares = state.make_shares()
        return OwnedTarget(
            announcement, epoch, state.settings, shares, state.rng, now_s
        )
    target.apply_announcement(announcement, now_s)
    target.window.reset(now_s)
    target.epoch = epoch
    return target


def _merge_handover(state: Owner, target: OwnedTarget, handover: Handover) -> None:
    state.epochs[target.name] = max(handover.epoch, state.epochs.get(target.name, 0))
    if handover.boot_id != target.announcement["boot_id"]:
        return
    for grant in handover.grants:
        if grant.permit_id not in state.closed_permits:
            target.adopt(grant)
    if handover.complete:
        target.window.size = min(target.window.capacity, handover.window)


def _relinquish(state: Owner, target: OwnedTarget) -> list[Effect]:
    del state.owned[target.name]
    state.relinquished[target.name] = target
    effects: list[Effect] = []
    for waiting in target.queue.clear():
        state.queued_requests.pop(waiting.key, None)
        state.last_poll_s.pop(waiting.key, None)
        refusal = Failure(NotOwner(target.name))
        effects.append(PermitAnswer(waiting.key, target.name, refusal))
    return effects


def _handed_over_recently(state: Owner, name: str, now_s: float) -> bool:
    last_handover = state.handed_over.get(name)
    if last_handover is None or now_s - last_handover[0] >= state.settings.takeover_s:
        return False
    return last_handover[1] not in state.ownership.absent


def _predecessor_lost(state: Owner, target: OwnedTarget, now_s: float) -> bool:
    ownership = state.ownership
    if ownership.missing_vm_may_own(target.name, target.data_centre):
        return True
    recently_started = now_s - ownership.first_view_s < state.settings.view_lag_s
    return recently_started and ownership.may_have_peers(target.data_centre)

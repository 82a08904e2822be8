"""How ownership of a target begins, passes on and ends."""

from typing import TYPE_CHECKING

from returns.result import Failure

from vanillabeam.targets.events import (
    Answer,
    AskHandover,
    Effect,
    Handover,
    HandoverAsked,
    HandoverReceived,
    SendHandover,
)
from vanillabeam.targets.exceptions import NotOwner
from vanillabeam.targets.grants import OwnedTarget
from vanillabeam.targetwire import Announcement

if TYPE_CHECKING:
    from vanillabeam.targets.owner import Owner

__all__ = ["begin", "by_loss", "forget", "hand_over", "leave", "received", "review"]


def begin(state: "Owner", said: Announcement, now_s: float) -> list[Effect]:
    """Become the owner of a target that this VM did not own.

    Every other entry that may have owned it is asked for its permits first;
    one that can't be asked is waited out; without any, the cold window opens
    at once.
    """
    name = said["target"]
    if name in state.awaiting or _handed_lately(state, name, now_s):
        return []
    target = _make(state, said, now_s)
    if name in state.offers:
        state.owned[name] = target
        _merge(state, target, state.offers.pop(name)[0])
        return []
    peers = state.ownership.peers(said["data_centre"])
    if name in state.handed or _predecessor_lost(state, target, now_s):
        state.owned[name] = target
        by_loss(state, name, now_s)
        return []
    if not peers:
        state.owned[name] = target
        return []
    state.awaiting[name] = {entry.vm for entry in peers}
    state.given_up[name] = target
    return [AskHandover(name, entry) for entry in peers]


def by_loss(state: "Owner", name: str, now_s: float) -> None:
    """Take a target over from a VM that can't be asked.

    Nothing is granted until that VM must have noticed too, then only the cold
    window until its last permit must have expired.
    """
    if state.awaiting.pop(name, None) is not None:
        state.owned[name] = state.given_up.pop(name)
    target = state.owned.get(name)
    if target is None:
        return
    if not state.owns(target):
        _give_up(state, target)
        return
    target.window.shut(now_s)
    target.quiet_until_s = now_s + state.settings.view_lag_s
    target.hold_until_s = now_s + state.settings.takeover_s


def received(state: "Owner", event: HandoverReceived, now_s: float) -> list[Effect]:
    """Take in what a predecessor knew; own the target once all have answered."""
    handover = event.handover
    name = handover.target
    if event.leaving:
        state.ownership.left(event.entry)
        state.offers[name] = (handover, now_s)
        return []
    known = max(handover.epoch, state.epochs.get(name, 0))
    state.epochs[name] = known
    target = state.owned.get(name) or state.given_up.get(name)
    if target is None:
        return []
    _merge(state, target, handover)
    if name not in state.awaiting:
        return []
    if not handover.sure:
        by_loss(state, name, now_s)
        return []
    state.awaiting[name].discard(event.entry)
    if not state.awaiting[name]:
        _own(state, target)
    return []


def hand_over(state: "Owner", event: HandoverAsked, now_s: float) -> list[Effect]:
    """Stop granting and give what is known of a target to its new owner."""
    entry = event.entry
    name = event.target
    target = state.owned.get(name)
    effects: list[Effect] = []
    if target is not None:
        effects.extend(_give_up(state, target))
    elif name not in state.given_up:
        return [SendHandover(Handover(name, "", 0, 0), entry)]
    state.handed[name] = (now_s, entry.vm)
    sure = name not in state.awaiting
    handover = describe(state.given_up[name])._replace(sure=sure)
    return [*effects, SendHandover(handover, entry)]


def review(state: "Owner", now_s: float) -> list[Effect]:
    """Give up what another entry owns in the new view."""
    effects: list[Effect] = []
    for target in list(state.owned.values()):
        if not state.owns(target):
            effects.extend(_give_up(state, target))
    for name in list(state.awaiting):
        if not state.owns(state.given_up[name]):
            del state.awaiting[name]
    return effects


def leave(state: "Owner", now_s: float) -> list[Effect]:
    """Hand every target to the entries that may own it without this VM."""
    effects: list[Effect] = []
    for target in list(state.owned.values()):
        effects.extend(_give_up(state, target))
        peers = state.ownership.peers(target.data_centre)
        handover = describe(target)
        effects.extend(SendHandover(handover, entry, True) for entry in peers)
    state.stopping = True
    return effects


def forget(state: "Owner", now_s: float) -> None:
    """Drop targets that are gone and those long given up."""
    gone_s = state.settings.target_gone_s + state.settings.takeover_s
    for name, target in list(state.owned.items()):
        if now_s - target.heard_s > gone_s and not target.in_use:
            del state.owned[name]
    for name, target in list(state.given_up.items()):
        if name not in state.awaiting and now_s - target.heard_s > gone_s:
            del state.given_up[name]
    keep_s = state.settings.takeover_s
    state.handed = {n: h for n, h in state.handed.items() if now_s - h[0] < 2 * keep_s}
    state.offers = {n: o for n, o in state.offers.items() if now_s - o[1] < keep_s}


def describe(target: OwnedTarget) -> Handover:
    """Return what a new owner needs to know of ``target``."""
    return Handover(
        target=target.name,
        boot_id=target.announcement["boot_id"],
        epoch=target.epoch,
        window=target.window.size,
        grants=tuple(target.permits.values()),
    )


def _own(state: "Owner", target: OwnedTarget) -> None:
    name = target.name
    del state.awaiting[name]
    del state.given_up[name]
    target.epoch = state.next_epoch(name)
    state.owned[name] = target


def _make(state: "Owner", said: Announcement, now_s: float) -> OwnedTarget:
    name = said["target"]
    epoch = state.next_epoch(name)
    target = state.given_up.pop(name, None)
    if target is None:
        shares = state.make_shares()
        return OwnedTarget(said, epoch, state.settings, shares, state.rng, now_s)
    target.announced(said, now_s)
    target.window.shut(now_s)
    target.epoch = epoch
    return target


def _merge(state: "Owner", target: OwnedTarget, handover: Handover) -> None:
    state.epochs[target.name] = max(handover.epoch, state.epochs.get(target.name, 0))
    if handover.boot_id != target.announcement["boot_id"]:
        return
    for grant in handover.grants:
        if grant.permit_id not in state.ended:
            target.adopt(grant)
    if handover.sure:
        target.window.size = min(target.window.capacity, handover.window)


def _give_up(state: "Owner", target: OwnedTarget) -> list[Effect]:
    del state.owned[target.name]
    state.given_up[target.name] = target
    effects: list[Effect] = []
    for waiting in target.queue.clear():
        state.asks.pop(waiting.key, None)
        state.polled_s.pop(waiting.key, None)
        refused = Failure(NotOwner(target.name))
        effects.append(Answer(waiting.key, target.name, refused))
    return effects


def _handed_lately(state: "Owner", name: str, now_s: float) -> bool:
    handed = state.handed.get(name)
    if handed is None or now_s - handed[0] >= state.settings.takeover_s:
        return False
    return handed[1] not in state.ownership.absent


def _predecessor_lost(state: "Owner", target: OwnedTarget, now_s: float) -> bool:
    ownership = state.ownership
    if ownership.lost_above(target.name, target.data_centre):
        return True
    young = now_s - ownership.first_view_s < state.settings.view_lag_s
    return young and ownership.may_have_peers(target.data_centre)

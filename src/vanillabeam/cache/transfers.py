"""The transfers core: which blocks move when, within each link's bucket."""

from functools import singledispatch
from typing import NamedTuple

from vanillabeam.cache.blocks import chain_prefix, release_tag_of
from vanillabeam.cache.link import Link
from vanillabeam.cache.transferrecords import (
    CancelTransfer,
    Effect,
    EntryCountChanged,
    Event,
    ExportOffered,
    ImportAbandoned,
    ImportAnswer,
    ImportRequested,
    SizedBlock,
    StartTransfer,
    StoreLost,
    TargetChanged,
    TargetRef,
    Tick,
    Transfer,
    TransferEnded,
    TransferKind,
)
from vanillabeam.exceptions import InvariantBroken

__all__ = ["Transfers", "handle"]

MAX_QUEUED_IMPORTS = 512
MAX_QUEUED_EXPORTS = 1_024
MAX_STARTED_PER_LINK = 8
MAX_STARTED_PER_TARGET = 4

LinkKey = tuple[str, str]


class _Ask(NamedTuple):
    blocks: tuple[str, ...]
    waits_for: set[int]
    moved: set[str]


class Transfers:
    """Transfers of one entry, waiting and started.

    :param limit_bytes_s: most bytes a second on each link, all entries
        together.

    >>> state = Transfers(limit_bytes_s=1e9)
    >>> handle(Tick(), state, now_s=0.0)
    []
    """

    def __init__(self, limit_bytes_s: float):
        self.limit_bytes_s = limit_bytes_s
        self.entries = 1
        self.links: dict[LinkKey, Link] = {}
        self.queued: dict[LinkKey, list[Transfer]] = {}
        self.started: dict[int, Transfer] = {}
        self.imports: dict[int, _Ask] = {}
        self.last_id = 0
        self.dropped_exports = 0

    def link(self, data_centre: str, store: str, now_s: float) -> Link:
        """Return the link between a data centre and a store."""
        key = (data_centre, store)
        if key not in self.links:
            self.links[key] = Link(self.limit_bytes_s / self.entries, now_s)
        return self.links[key]

    def bytes_ahead(self, data_centre: str, store: str) -> int:
        """Return the bytes of imports that wait for a link."""
        queued = self.queued.get((data_centre, store), ())
        return sum(each.size for each in queued if each.kind is TransferKind.IMPORT)

    def all(self) -> list[Transfer]:
        """Return every transfer, started ones first."""
        waiting = [each for queue in self.queued.values() for each in queue]
        return [*self.started.values(), *waiting]


@singledispatch
def handle(event: Event, state: Transfers, now_s: float) -> list[Effect]:
    """Change ``state`` by ``event`` and return what the shell must do.

    :param now_s: monotonic time in seconds.
    :raises InvariantBroken: if blocks of two releases would share an order.
    """
    raise InvariantBroken(f"transfers do not take {type(event).__name__}")


@handle.register
def _(event: ImportRequested, state: Transfers, now_s: float) -> list[Effect]:
    _check_one_release(event.blocks)
    under_way = _imports_under_way(state, event.target_ref, event.store)
    blocks = tuple(block.block_id for block in event.blocks)
    pending = _Ask(blocks, set(), set())
    missing: list[SizedBlock] = []
    for block in event.blocks:
        transfer = under_way.get(block.block_id)
        if transfer is None:
            missing.append(block)
            continue
        _join(transfer, event, pending)
    if missing and _queued_imports(state) < MAX_QUEUED_IMPORTS:
        transfer = _new(
            state, event.kind, event.target_ref, event.store, tuple(missing)
        )
        _queue(state, transfer)
        _join(transfer, event, pending)
    if not pending.waits_for:
        return [ImportAnswer(event.import_id, 0)]
    state.imports[event.import_id] = pending
    return _start_all(state, now_s)


@handle.register
def _(event: ImportAbandoned, state: Transfers, now_s: float) -> list[Effect]:
    pending = state.imports.pop(event.import_id, None)
    if pending is None:
        return []
    effects: list[Effect] = []
    for transfer in state.all():
        if transfer.transfer_id not in pending.waits_for:
            continue
        transfer.import_ids.discard(event.import_id)
        if not transfer.import_ids:
            effects.extend(_drop(state, transfer))
    return effects


@handle.register
def _(event: ExportOffered, state: Transfers, now_s: float) -> list[Effect]:
    _check_one_release(event.blocks)
    under_way = {
        block.block_id
        for transfer in state.all()
        if transfer.kind is TransferKind.EXPORT and transfer.store == event.store
        for block in transfer.blocks
    }
    # One order a block: a link is held for one block's time, not for a chain's.
    for block in event.blocks:
        if block.block_id not in under_way:
            transfer = _new(
                state, TransferKind.EXPORT, event.target_ref, event.store, (block,)
            )
            transfer.value = event.value
            _queue(state, transfer)
    _bound_exports(state)
    return _start_all(state, now_s)


@handle.register
def _(event: TransferEnded, state: Transfers, now_s: float) -> list[Effect]:
    transfer = state.started.pop(event.transfer_id, None)
    if transfer is None:
        return []
    link = state.link(*transfer.link_key, now_s)
    if event.seconds > 0:
        sharing = 1 + _started_on(state, transfer)
        link.moved(event.size, event.seconds, sharing)
        link.give_back(transfer.size - event.size)
    effects: list[Effect] = []
    for number in sorted(transfer.import_ids):
        pending = state.imports[number]
        pending.moved.update(event.moved)
        pending.waits_for.discard(transfer.transfer_id)
        effects.extend(_answer_if_done(state, number))
    return effects + _start_all(state, now_s)


@handle.register
def _(event: TargetChanged, state: Transfers, now_s: float) -> list[Effect]:
    effects: list[Effect] = []
    for transfer in state.all():
        target_ref = transfer.target_ref
        same = target_ref.boot_id == event.boot_id
        same = same and event.versions.get(target_ref.model) == target_ref.version
        if target_ref.target == event.target and not same:
            effects.extend(_drop(state, transfer))
    return effects


@handle.register
def _(event: StoreLost, state: Transfers, now_s: float) -> list[Effect]:
    effects: list[Effect] = []
    for transfer in state.all():
        if transfer.store == event.store:
            effects.extend(_drop(state, transfer))
    for key in [key for key in state.links if key[1] == event.store]:
        del state.links[key]
    return effects


@handle.register
def _(event: EntryCountChanged, state: Transfers, now_s: float) -> list[Effect]:
    state.entries = max(1, event.entries)
    for link in state.links.values():
        link.set_limit(state.limit_bytes_s / state.entries)
    return []


@handle.register
def _(event: Tick, state: Transfers, now_s: float) -> list[Effect]:
    for transfer in state.started.values():
        link = state.link(*transfer.link_key, now_s)
        elapsed_s = now_s - transfer.started_s
        link.overdue(transfer.size, elapsed_s, _started_on(state, transfer))
    return _start_all(state, now_s)


def _check_one_release(blocks: tuple[SizedBlock, ...]) -> None:
    chains = {chain_prefix(block.block_id) for block in blocks}
    releases = {release_tag_of(block.block_id) for block in blocks}
    if len(chains) > 1 or len(releases) > 1:
        raise InvariantBroken("blocks of several chains in one order")


def _imports_under_way(
    state: Transfers, target_ref: TargetRef, store: str
) -> dict[str, Transfer]:
    under_way: dict[str, Transfer] = {}
    for transfer in state.all():
        same = (transfer.target_ref.target, transfer.target_ref.boot_id) == (
            target_ref.target,
            target_ref.boot_id,
        )
        if (
            transfer.kind is not TransferKind.EXPORT
            and same
            and transfer.store == store
        ):
            under_way.update((block.block_id, transfer) for block in transfer.blocks)
    return under_way


def _new(
    state: Transfers,
    kind: TransferKind,
    target_ref: TargetRef,
    store: str,
    blocks: tuple[SizedBlock, ...],
) -> Transfer:
    state.last_id += 1
    return Transfer(state.last_id, kind, target_ref, store, blocks)


def _queue(state: Transfers, transfer: Transfer) -> None:
    state.queued.setdefault(transfer.link_key, []).append(transfer)


def _join(transfer: Transfer, event: ImportRequested, pending: _Ask) -> None:
    transfer.import_ids.add(event.import_id)
    transfer.kind = min(transfer.kind, event.kind)
    pending.waits_for.add(transfer.transfer_id)


def _queued_imports(state: Transfers) -> int:
    queues = state.queued.values()
    return sum(
        each.kind is not TransferKind.EXPORT for queue in queues for each in queue
    )


def _bound_exports(state: Transfers) -> None:
    exports = [each for each in state.all() if each.kind is TransferKind.EXPORT]
    waiting = [each for each in exports if each.started_s is None]
    waiting.sort(key=lambda transfer: transfer.order)
    for transfer in waiting[MAX_QUEUED_EXPORTS:]:
        state.dropped_exports += 1
        _unqueue(state, transfer)


def _unqueue(state: Transfers, transfer: Transfer) -> None:
    key = transfer.link_key
    state.queued[key].remove(transfer)
    if not state.queued[key]:
        del state.queued[key]


def _drop(state: Transfers, transfer: Transfer) -> list[Effect]:
    """End a transfer: a started one is cancelled, its asks get an answer."""
    effects: list[Effect] = []
    if transfer.started_s is None:
        _unqueue(state, transfer)
    else:
        del state.started[transfer.transfer_id]
        effects.append(CancelTransfer(transfer.transfer_id))
    for number in sorted(transfer.import_ids):
        state.imports[number].waits_for.discard(transfer.transfer_id)
        effects.extend(_answer_if_done(state, number))
    return effects


def _answer_if_done(state: Transfers, number: int) -> list[Effect]:
    pending = state.imports[number]
    if pending.waits_for:
        return []
    del state.imports[number]
    leading = 0
    while leading < len(pending.blocks) and pending.blocks[leading] in pending.moved:
        leading += 1
    return [ImportAnswer(number, leading)]


def _start_all(state: Transfers, now_s: float) -> list[Effect]:
    effects: list[Effect] = []
    for key in list(state.queued):
        effects.extend(_start_on(state, key, now_s))
    return effects


def _start_on(state: Transfers, key: LinkKey, now_s: float) -> list[Effect]:
    """Start what the link's bucket takes; a waiting import holds the rest up."""
    effects: list[Effect] = []
    link = state.link(*key, now_s)
    started = [each for each in state.started.values() if each.link_key == key]
    room = MAX_STARTED_PER_LINK - len(started)
    for transfer in sorted(state.queued[key], key=lambda each: each.order):
        if room <= 0:
            break
        if _is_target_busy(state, transfer):
            continue
        if not link.take(
            transfer.size, transfer.kind is not TransferKind.IMPORT, now_s
        ):
            break
        room -= 1
        _unqueue(state, transfer)
        transfer.started_s = now_s
        state.started[transfer.transfer_id] = transfer
        effects.append(_start(transfer))
    return effects


def _started_on(state: Transfers, transfer: Transfer) -> int:
    key = transfer.link_key
    return sum(each.link_key == key for each in state.started.values())


def _is_target_busy(state: Transfers, transfer: Transfer) -> bool:
    target = transfer.target_ref.target
    started = sum(each.target_ref.target == target for each in state.started.values())
    return started >= MAX_STARTED_PER_TARGET


def _start(transfer: Transfer) -> StartTransfer:
    blocks = tuple(block.block_id for block in transfer.blocks)
    return StartTransfer(
        transfer.transfer_id, transfer.kind, transfer.target_ref, transfer.store, blocks
    )

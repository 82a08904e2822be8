"""Functional core of block transfers: queues, priorities and link limits."""

from functools import singledispatch
from typing import NamedTuple

from vanillabeam.blocks import chain_prefix, release_tag_of
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


class _PendingImport(NamedTuple):
    blocks: tuple[str, ...]
    transfer_ids: set[int]
    moved: set[str]


class Transfers:
    """Queued and started transfers of one entry VM.

    :param limit_bytes_s: limit of each link in bytes a second, shared by all
        entry VMs.
    :ivar entries: number of live entry VMs that share the links.
    :ivar links: rate limits by data centre and store.
    :ivar queued: transfers that wait for their link, by link.
    :ivar started: started transfers by id.
    :ivar imports: import requests without an answer, by id.
    :ivar dropped_exports: exports dropped because the queue was full.

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
        self.imports: dict[int, _PendingImport] = {}
        self.last_id = 0
        self.dropped_exports = 0

    def link(self, data_centre: str, store: str, now_s: float) -> Link:
        """Return the rate limit of the link between a data centre and a store."""
        key = (data_centre, store)
        if key not in self.links:
            self.links[key] = Link(self.limit_bytes_s / self.entries, now_s)
        return self.links[key]

    def bytes_ahead(self, data_centre: str, store: str) -> int:
        """Return the total bytes of the imports that are queued for a link."""
        queued = self.queued.get((data_centre, store), ())
        return sum(t.size for t in queued if t.kind is TransferKind.IMPORT)

    def all(self) -> list[Transfer]:
        """Return all transfers, the started ones first."""
        queued = [each for queue in self.queued.values() for each in queue]
        return [*self.started.values(), *queued]


@singledispatch
def handle(event: Event, state: Transfers, now_s: float) -> list[Effect]:
    """Apply ``event`` to ``state`` and return the effects for the shell.

    :param now_s: monotonic time in seconds.
    :raises InvariantBroken: if the blocks of an event belong to more than one
        chain or release.
    """
    raise InvariantBroken(f"transfers do not take {type(event).__name__}")


@handle.register
def _(event: ImportRequested, state: Transfers, now_s: float) -> list[Effect]:
    _check_one_chain(event.blocks)
    in_progress = _imports_in_progress(state, event.target_ref, event.store)
    blocks = tuple(block.block_id for block in event.blocks)
    pending = _PendingImport(blocks, set(), set())
    missing: list[SizedBlock] = []
    for block in event.blocks:
        transfer = in_progress.get(block.block_id)
        if transfer is None:
            missing.append(block)
            continue
        _attach(transfer, event, pending)
    if missing and _queued_imports(state) < MAX_QUEUED_IMPORTS:
        transfer = _new_transfer(
            state, event.kind, event.target_ref, event.store, tuple(missing)
        )
        _enqueue(state, transfer)
        _attach(transfer, event, pending)
    if not pending.transfer_ids:
        return [ImportAnswer(event.import_id, 0)]
    state.imports[event.import_id] = pending
    return _start_queued(state, now_s)


@handle.register
def _(event: ImportAbandoned, state: Transfers, now_s: float) -> list[Effect]:
    pending = state.imports.pop(event.import_id, None)
    if pending is None:
        return []
    effects: list[Effect] = []
    for transfer in state.all():
        if transfer.transfer_id not in pending.transfer_ids:
            continue
        transfer.import_ids.discard(event.import_id)
        if not transfer.import_ids:
            effects.extend(_drop(state, transfer))
    return effects


@handle.register
def _(event: ExportOffered, state: Transfers, now_s: float) -> list[Effect]:
    _check_one_chain(event.blocks)
    in_progress = {
        block.block_id
        for transfer in state.all()
        if transfer.kind is TransferKind.EXPORT and transfer.store == event.store
        for block in transfer.blocks
    }
    # Each block gets its own order, so that an export occupies a link only for
    # the time of one block, not of a whole chain.
    for block in event.blocks:
        if block.block_id not in in_progress:
            transfer = _new_transfer(
                state, TransferKind.EXPORT, event.target_ref, event.store, (block,)
            )
            transfer.value = event.value
            _enqueue(state, transfer)
    _drop_excess_exports(state)
    return _start_queued(state, now_s)


@handle.register
def _(event: TransferEnded, state: Transfers, now_s: float) -> list[Effect]:
    transfer = state.started.pop(event.transfer_id, None)
    if transfer is None:
        return []
    link = state.link(*transfer.link_key, now_s)
    if event.seconds > 0:
        sharing = 1 + _count_started_on_link(state, transfer)
        link.record_transfer(event.size, event.seconds, sharing)
        link.refund(transfer.size - event.size)
    effects: list[Effect] = []
    for import_id in sorted(transfer.import_ids):
        pending = state.imports[import_id]
        pending.moved.update(event.moved)
        pending.transfer_ids.discard(transfer.transfer_id)
        effects.extend(_answer_if_complete(state, import_id))
    return effects + _start_queued(state, now_s)


@handle.register
def _(event: TargetChanged, state: Transfers, now_s: float) -> list[Effect]:
    effects: list[Effect] = []
    for transfer in state.all():
        target_ref = transfer.target_ref
        is_current = target_ref.boot_id == event.boot_id
        is_current = (
            is_current and event.versions.get(target_ref.model) == target_ref.version
        )
        if target_ref.target == event.target and not is_current:
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
        link.record_overdue(
            transfer.size, elapsed_s, _count_started_on_link(state, transfer)
        )
    return _start_queued(state, now_s)


def _check_one_chain(blocks: tuple[SizedBlock, ...]) -> None:
    prefixes = {chain_prefix(block.block_id) for block in blocks}
    releases = {release_tag_of(block.block_id) for block in blocks}
    if len(prefixes) > 1 or len(releases) > 1:
        raise InvariantBroken("blocks of several chains in one order")


def _imports_in_progress(
    state: Transfers, target_ref: TargetRef, store: str
) -> dict[str, Transfer]:
    in_progress: dict[str, Transfer] = {}
    for transfer in state.all():
        is_same_boot = (transfer.target_ref.target, transfer.target_ref.boot_id) == (
            target_ref.target,
            target_ref.boot_id,
        )
        if (
            transfer.kind is not TransferKind.EXPORT
            and is_same_boot
            and transfer.store == store
        ):
            in_progress.update((block.block_id, transfer) for block in transfer.blocks)
    return in_progress


def _new_transfer(
    state: Transfers,
    kind: TransferKind,
    target_ref: TargetRef,
    store: str,
    blocks: tuple[SizedBlock, ...],
) -> Transfer:
    state.last_id += 1
    return Transfer(state.last_id, kind, target_ref, store, blocks)


def _enqueue(state: Transfers, transfer: Transfer) -> None:
    state.queued.setdefault(transfer.link_key, []).append(transfer)


def _attach(
    transfer: Transfer, event: ImportRequested, pending: _PendingImport
) -> None:
    transfer.import_ids.add(event.import_id)
    transfer.kind = min(transfer.kind, event.kind)
    pending.transfer_ids.add(transfer.transfer_id)


def _queued_imports(state: Transfers) -> int:
    queues = state.queued.values()
    return sum(
        each.kind is not TransferKind.EXPORT for queue in queues for each in queue
    )


def _drop_excess_exports(state: Transfers) -> None:
    exports = [each for each in state.all() if each.kind is TransferKind.EXPORT]
    queued = [each for each in exports if each.started_s is None]
    queued.sort(key=lambda transfer: transfer.sort_key)
    for transfer in queued[MAX_QUEUED_EXPORTS:]:
        state.dropped_exports += 1
        _dequeue(state, transfer)


def _dequeue(state: Transfers, transfer: Transfer) -> None:
    key = transfer.link_key
    state.queued[key].remove(transfer)
    if not state.queued[key]:
        del state.queued[key]


def _drop(state: Transfers, transfer: Transfer) -> list[Effect]:
    """Remove a transfer: cancel it if started, and answer its import requests."""
    effects: list[Effect] = []
    if transfer.started_s is None:
        _dequeue(state, transfer)
    else:
        del state.started[transfer.transfer_id]
        effects.append(CancelTransfer(transfer.transfer_id))
    for import_id in sorted(transfer.import_ids):
        state.imports[import_id].transfer_ids.discard(transfer.transfer_id)
        effects.extend(_answer_if_complete(state, import_id))
    return effects


def _answer_if_complete(state: Transfers, import_id: int) -> list[Effect]:
    pending = state.imports[import_id]
    if pending.transfer_ids:
        return []
    del state.imports[import_id]
    leading = 0
    while leading < len(pending.blocks) and pending.blocks[leading] in pending.moved:
        leading += 1
    return [ImportAnswer(import_id, leading)]


def _start_queued(state: Transfers, now_s: float) -> list[Effect]:
    effects: list[Effect] = []
    for key in list(state.queued):
        effects.extend(_start_on_link(state, key, now_s))
    return effects


def _start_on_link(state: Transfers, key: LinkKey, now_s: float) -> list[Effect]:
    """Start queued transfers of a link within the limits of its bucket.

    Transfers start in order of priority; one that the bucket cannot cover yet
    blocks those behind it.
    """
    effects: list[Effect] = []
    link = state.link(*key, now_s)
    started = [each for each in state.started.values() if each.link_key == key]
    free_slots = MAX_STARTED_PER_LINK - len(started)
    for transfer in sorted(state.queued[key], key=lambda each: each.sort_key):
        if free_slots <= 0:
            break
        if _is_target_busy(state, transfer):
            continue
        if not link.take(
            transfer.size, transfer.kind is not TransferKind.IMPORT, now_s
        ):
            break
        free_slots -= 1
        _dequeue(state, transfer)
        transfer.started_s = now_s
        state.started[transfer.transfer_id] = transfer
        effects.append(_start(transfer))
    return effects


def _count_started_on_link(state: Transfers, transfer: Transfer) -> int:
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

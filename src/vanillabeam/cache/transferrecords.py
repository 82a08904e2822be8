"""Events, effects and records of the transfers core."""

from enum import IntEnum
from typing import NamedTuple

__all__ = [
    "ImportAnswer",
    "ImportAbandoned",
    "CancelTransfer",
    "Effect",
    "TransferEnded",
    "Event",
    "ExportOffered",
    "ImportRequested",
    "TransferKind",
    "EntryCountChanged",
    "TargetRef",
    "SizedBlock",
    "StartTransfer",
    "StoreLost",
    "TargetChanged",
    "Tick",
    "Transfer",
]


class TransferKind(IntEnum):
    """Kinds of transfers, the most urgent first."""

    IMPORT = 0
    PREFETCH = 1
    EXPORT = 2


class TargetRef(NamedTuple):
    """A target as it was when the request was admitted.

    :param address: ``host:port`` of the target.
    :param index: index of the configuration; the order's fencing number.
    """

    target: str
    address: str
    boot_id: str
    data_centre: str
    model: str
    version: str
    index: int


class SizedBlock(NamedTuple):
    """A block and its bytes, for an export as estimated."""

    block_id: str
    size: int


class Transfer:
    """Blocks that one order moves.

    :ivar asks: who waits for an import.
    :ivar worth: seconds saved a byte; exports go by it.
    :ivar started_s: ``None`` while it waits for its link.
    """

    def __init__(
        self,
        transfer_id: int,
        kind: TransferKind,
        target_ref: TargetRef,
        store: str,
        blocks: tuple[SizedBlock, ...],
        value: float = 0.0,
    ):
        self.transfer_id = transfer_id
        self.kind = kind
        self.target_ref = target_ref
        self.store = store
        self.blocks = blocks
        self.value = value
        self.size = sum(block.size for block in blocks)
        self.import_ids: set[int] = set()
        self.started_s: float | None = None

    @property
    def link_key(self) -> tuple[str, str]:
        """Names the link: the target's data centre and the store."""
        return (self.target_ref.data_centre, self.store)

    @property
    def order(self) -> tuple[int, float, int]:
        """Sorts transfers that wait for the same link."""
        return (self.kind, -self.value, self.transfer_id)


class ImportRequested(NamedTuple):
    """Someone wants blocks at a target.

    :param ask: number that the answer carries.
    :param blocks: parents first.
    :param kind: ``IMPORT`` or ``PREFETCH``.
    """

    import_id: int
    target_ref: TargetRef
    store: str
    blocks: tuple[SizedBlock, ...]
    kind: TransferKind = TransferKind.IMPORT


class ImportAbandoned(NamedTuple):
    """Whoever asked no longer waits."""

    import_id: int


class ExportOffered(NamedTuple):
    """A target holds blocks that a store lacks.

    :param worth: expected seconds saved a byte.
    """

    target_ref: TargetRef
    store: str
    blocks: tuple[SizedBlock, ...]
    value: float


class TransferEnded(NamedTuple):
    """A transfer that was started has ended.

    :param moved: ids that the target says it moved.
    :param size: bytes that it says it moved.
    :param seconds: time that it took; 0 for a failure.
    """

    transfer_id: int
    moved: tuple[str, ...]
    size: int
    seconds: float


class TargetChanged(NamedTuple):
    """A target has another boot, or another version of a model, or is gone.

    :param boot_id: the boot in force; empty if the target is gone.
    :param versions: weight version by model.
    """

    target: str
    boot_id: str
    versions: dict[str, str]


class StoreLost(NamedTuple):
    """A store is no longer alive."""

    store: str


class EntryCountChanged(NamedTuple):
    """So many entries share each link with this one."""

    entries: int


class Tick(NamedTuple):
    """Time has passed."""


class StartTransfer(NamedTuple):
    """Send the order."""

    transfer_id: int
    kind: TransferKind
    target_ref: TargetRef
    store: str
    blocks: tuple[str, ...]


class CancelTransfer(NamedTuple):
    """End a transfer that was started; its ``TransferEnded`` still follows."""

    transfer_id: int


class ImportAnswer(NamedTuple):
    """What became of an ask.

    :param blocks: how many blocks from the first one on are imported.
    """

    import_id: int
    blocks: int


Event = (
    ImportRequested
    | ImportAbandoned
    | ExportOffered
    | TransferEnded
    | TargetChanged
    | StoreLost
    | EntryCountChanged
    | Tick
)
Effect = StartTransfer | CancelTransfer | ImportAnswer

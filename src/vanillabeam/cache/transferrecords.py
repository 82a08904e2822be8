"""Events, effects and records of the transfers core."""

from enum import IntEnum
from typing import NamedTuple

__all__ = [
    "CancelTransfer",
    "Effect",
    "EntryCountChanged",
    "Event",
    "ExportOffered",
    "ImportAbandoned",
    "ImportAnswer",
    "ImportRequested",
    "SizedBlock",
    "StartTransfer",
    "StoreLost",
    "TargetChanged",
    "TargetRef",
    "Tick",
    "Transfer",
    "TransferEnded",
    "TransferKind",
]


class TransferKind(IntEnum):
    """Kinds of transfers, ordered by priority, the most urgent first."""

    IMPORT = 0
    PREFETCH = 1
    EXPORT = 2


class TargetRef(NamedTuple):
    """A target's address, boot and version at the time a request was admitted.

    :param address: ``host:port`` of the target.
    :param boot_id: id of the target's boot.
    :param version: weight version for which the request was admitted.
    :param index: index of the configuration; fencing number of transfer orders.
    """

    target: str
    address: str
    boot_id: str
    data_centre: str
    model: str
    version: str
    index: int


class SizedBlock(NamedTuple):
    """A block and its size in bytes; for an export the size is an estimate."""

    block_id: str
    size: int


class Transfer:
    """Blocks that one order to a target imports or exports.

    :ivar size: total size of the blocks in bytes.
    :ivar import_ids: ids of the import requests that wait for this transfer.
    :ivar value: expected seconds saved for each byte; orders waiting exports.
    :ivar started_s: monotonic time of the start in seconds; ``None`` while the
        transfer waits for its link.
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
        """Key of the link: the target's data centre and the store."""
        return (self.target_ref.data_centre, self.store)

    @property
    def sort_key(self) -> tuple[int, float, int]:
        """Sort key of transfers that wait for the same link."""
        return (self.kind, -self.value, self.transfer_id)


class ImportRequested(NamedTuple):
    """A request needs blocks imported to its target.

    :param import_id: id that the answer repeats.
    :param blocks: blocks to import, parents first.
    :param kind: ``IMPORT`` or ``PREFETCH``.
    """

    import_id: int
    target_ref: TargetRef
    store: str
    blocks: tuple[SizedBlock, ...]
    kind: TransferKind = TransferKind.IMPORT


class ImportAbandoned(NamedTuple):
    """The requester of an import no longer waits for it."""

    import_id: int


class ExportOffered(NamedTuple):
    """A target holds blocks that a store does not hold.

    :param value: expected seconds saved for each exported byte.
    """

    target_ref: TargetRef
    store: str
    blocks: tuple[SizedBlock, ...]
    value: float


class TransferEnded(NamedTuple):
    """A started transfer has completed or failed.

    :param moved: ids of the blocks that the target reports as transferred.
    :param size: bytes that the target reports as transferred.
    :param seconds: duration of the transfer; 0 for a failure.
    """

    transfer_id: int
    moved: tuple[str, ...]
    size: int
    seconds: float


class TargetChanged(NamedTuple):
    """A target has restarted, has loaded another version or has ended.

    :param boot_id: id of the target's current boot; empty if the target has ended.
    :param versions: weight versions that are loaded, by model.
    """

    target: str
    boot_id: str
    versions: dict[str, str]


class StoreLost(NamedTuple):
    """A store is no longer among the live stores."""

    store: str


class EntryCountChanged(NamedTuple):
    """The number of live entry VMs, which share each link, has changed."""

    entries: int


class Tick(NamedTuple):
    """Timer tick: update rate estimates and start queued transfers."""


class StartTransfer(NamedTuple):
    """Send the order for a transfer to its target."""

    transfer_id: int
    kind: TransferKind
    target_ref: TargetRef
    store: str
    blocks: tuple[str, ...]


class CancelTransfer(NamedTuple):
    """Cancel a started transfer; its :class:`TransferEnded` still follows."""

    transfer_id: int


class ImportAnswer(NamedTuple):
    """Result of an import request.

    :param blocks: number of leading blocks that were imported.
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

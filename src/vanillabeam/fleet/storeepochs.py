"""Epochs of KV cache stores in which parts may be saved, in the replicated state.

The leader records a store's epoch once no copy of the index lists parts of an earlier
one. Each later leader compares the epoch that it finds with the recorded one.
"""

from typing import NotRequired, TypedDict

__all__ = ["MAX_STORES", "EpochChange", "StoreEpochs", "apply_epochs"]

#: Stores that are kept; those that were recorded first are dropped.
MAX_STORES = 4_096

#: Address and epoch of each store, in the order in which they were recorded.
StoreEpochs = list[tuple[str, int]]


class EpochChange(TypedDict):
    """Replacement of a store's recorded epoch.

    :param store: address of the store.
    :param basis: epoch that is replaced; absent if none was recorded. A change with
        another basis has no effect, as its proposer did not know the newest state.
    :param epoch: epoch in which parts may be saved.
    """

    store: str
    basis: NotRequired[int]
    epoch: int


def apply_epochs(known: StoreEpochs, changes: list[EpochChange]) -> StoreEpochs:
    """Return the recorded epochs after the changes."""
    epochs = dict(known)
    for change in changes:
        if epochs.get(change["store"]) == change.get("basis"):
            epochs.pop(change["store"], None)
            epochs[change["store"]] = change["epoch"]
    return list(epochs.items())[-MAX_STORES:]

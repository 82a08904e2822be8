"""What entries ask of stores, on the wire."""

from typing import TypedDict

__all__ = ["FIND_PATH", "FindReply", "FindRequest"]

FIND_PATH = "/peer/store/find"


class FindRequest(TypedDict):
    """``POST /peer/store/find``: which blocks of a chain are held.

    :param blocks: ids, parents first.
    """

    blocks: list[str]


class FindReply(TypedDict):
    """Answer to :class:`FindRequest`.

    :param lengths: bytes of each block, 0 where it is not held.
    :param chance: chance that the prompt returns.
    """

    lengths: list[int]
    chance: float

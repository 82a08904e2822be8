"""Messages that entry VMs exchange with stores."""

from typing import TypedDict

__all__ = ["FIND_PATH", "FindReply", "FindRequest"]

FIND_PATH = "/peer/store/find"


class FindRequest(TypedDict):
    """Body of ``POST /peer/store/find``, which looks up the blocks of a chain.

    :param blocks: block ids, parents first.
    """

    blocks: list[str]


class FindReply(TypedDict):
    """Answer to :class:`FindRequest`.

    :param lengths: size in bytes of each block, 0 if it is not stored.
    :param chance: probability that the prompt's blocks are used again.
    """

    lengths: list[int]
    chance: float
